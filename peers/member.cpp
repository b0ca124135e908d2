#include "peers/member.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace nettlestand::peers {
namespace {

// MessagePack's sizes.
std::size_t number(std::uint64_t n) {
  return n < 128 ? 1 : n < 256 ? 2 : n < 65536 ? 3 : n <= 0xFFFFFFFF ? 5 : 9;
}
std::size_t text(const std::string& s) { return s.size() + (s.size() < 32 ? 1 : 2); }

}  // namespace

Key key_of(const std::string& name) {
  const Key out = XXH64(name.data(), name.size(), 0);
  return out == 0 ? 1 : out;  // 0 is nobody
}

const char* name_of(State state) {
  switch (state) {
    case State::kAlive:
      return "alive";
    case State::kSuspect:
      return "suspect";
    case State::kLeaving:
      return "leaving";
    case State::kDead:
      return "dead";
    default:
      return "left";
  }
}

std::size_t bytes_of(const Update& u) {
  std::size_t out =
      1 + number(u.key) + number(u.life) + number(u.incarnation) + 1 + number(u.address) + number(u.accuser);
  if (u.identity) {
    const Identity& id = *u.identity;
    out += text(id.name) + text(id.zone) + text(id.region) + text(id.version) + number(id.tier) +
           number(id.number);
  }
  return out;
}

std::size_t bytes_of(const Message& m) {
  constexpr std::size_t kCounter = 9;  // the datagram's number, which its sender's wire gives it
  std::size_t out = 1 + 1 + 5 + kCounter + 1 + number(m.seq) + number(m.from) + number(m.life) +
                    number(m.target) + number(m.target_life) + 1 + 1 + kSealBytes;
  for (const Update& u : m.updates) out += bytes_of(u);
  return out;
}

}  // namespace nettlestand::peers
