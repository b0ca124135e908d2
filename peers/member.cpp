#include "peers/member.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace nettlestand::peers {
namespace {

// Sizes in MessagePack.
std::size_t number(std::uint64_t n) {
  return n < 128 ? 1 : n < 256 ? 2 : n < 65536 ? 3 : n <= 0xFFFFFFFF ? 5 : 9;
}
std::size_t text(const std::string& s) { return s.size() + (s.size() < 32 ? 1 : 2); }

}  // namespace

MemberKey member_key(const std::string& name) {
  const MemberKey out = XXH64(name.data(), name.size(), 0);
  return out == 0 ? 1 : out;  // 0 means no member
}

const char* name_of(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      return "dead";
    default:
      return "left";
  }
}

std::size_t max_encoded_bytes(const Update& u) {
  std::size_t out = 1 + number(u.key) + number(u.generation) + number(u.incarnation) + 1 + number(u.address) +
                    number(u.reporter);
  if (u.identity) {
    const Identity& id = *u.identity;
    out += text(id.name) + text(id.zone) + text(id.region) + text(id.version) + number(id.tier) +
           number(id.number);
  }
  return out;
}

std::size_t max_encoded_bytes(const Message& m) {
  constexpr std::size_t kCounter = 9;  // the sequence number that the sender's codec adds
  std::size_t out = 1 + 1 + 5 + kCounter + 1 + number(m.seq) + number(m.from) + number(m.generation) +
                    number(m.target) + number(m.target_generation) + 1 + 1 + kMacBytes;
  for (const Update& u : m.updates) out += max_encoded_bytes(u);
  return out;
}

}  // namespace nettlestand::peers
