// libFuzzer target for the datagram decoder and the membership state machine behind it: whatever they
// receive, the member table stays within its bounds and no outgoing datagram is too long.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "peers/datagram_codec.h"
#include "peers/membership.h"

namespace np = nettlestand::peers;

namespace {

void check(bool condition, const char* what) {
  if (condition) return;
  std::fprintf(stderr, "check failed: %s\n", what);
  std::abort();
}

}  // namespace

// The input is a sequence of records: body length, elapsed time, sender, and the body of a datagram.
extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  np::MembershipSettings settings;
  settings.self.name = "n1";
  settings.address = 1;
  settings.generation = 100;
  settings.max_members = 32;
  np::Membership core(settings);
  np::DatagramCodec wire({}), other({});
  std::vector<np::Membership::Outgoing> out;
  double now = 10;
  const auto check_outgoing = [&] {
    check(out.size() <= 4096, "more than 4096 datagrams at once");
    for (np::Membership::Outgoing& o : out) {
      const std::string bytes = wire.encode(o.message);  // throws if it is too long
      check(bytes.size() <= np::kMaxDatagramBytes && np::max_encoded_bytes(o.message) >= bytes.size(),
            "an encoded datagram exceeds its bound");
      np::DecodeError error;
      check(other.decode(bytes, error).has_value(), "an outgoing datagram can't be decoded");
    }
    out.clear();
    core.changes();
  };
  core.start(now, {2, 3}, out);
  check_outgoing();
  for (std::size_t at = 0; at + 3 <= size;) {
    const std::size_t length = data[at];
    now += data[at + 1] * data[at + 1] / 2000.0;
    const np::Address from = data[at + 2] % 8 + 1;
    at += 3;
    const std::string body(reinterpret_cast<const char*>(data + at), std::min(length, size - at));
    at += body.size();
    for (int i = 0; i < 100 && core.next_tick() <= now; ++i) {
      core.tick(core.next_tick(), out);
      check_outgoing();
    }
    std::uint64_t number = 0;
    np::DecodeError error;
    if (const auto message = wire.decode_body(body, number, error)) {
      core.on_message(now, from, *message, out);
      check_outgoing();
    }
    check(core.members().size() <= settings.max_members + 1, "more members than the limit");
    check(core.live_count() >= 1 && core.live_count() <= settings.max_members + 1,
          "the live count is out of range");
  }
  return 0;
}
