// Bytes that anybody may send, to membership: the reader of datagrams, and behind it the deciding half, which
// must stay within its bounds and never make a datagram that is too long, whatever it is told. For libFuzzer.
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
  std::fprintf(stderr, "broken: %s\n", what);
  std::abort();
}

}  // namespace

// The input is a row of pieces: how long, how much time passes, from whom, and a datagram's inside.
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
    check(out.size() <= 4096, "too much is sent at once");
    for (np::Membership::Outgoing& o : out) {
      const std::string bytes = wire.encode(o.message);  // throws where it is too long
      check(bytes.size() <= np::kMaxDatagramBytes && np::max_encoded_bytes(o.message) >= bytes.size(),
            "a datagram's length");
      np::DecodeError error;
      check(other.decode(bytes, error).has_value(), "what is sent can't be read");
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
    check(core.members().size() <= settings.max_members + 1, "more members than there is room for");
    check(core.live_count() >= 1 && core.live_count() <= settings.max_members + 1,
          "the number of the living");
  }
  return 0;
}
