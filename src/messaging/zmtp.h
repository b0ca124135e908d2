// ZMTP 3.1 framing (RFC 37 of the ZeroMQ project) with the NULL mechanism: bytes in, frames out; no I/O.
//
// Between nodes one connection carries messages in one direction: the dialing side is a PUSH socket, the
// accepting side a PULL socket. The dialer names its own address in the property "X-Address" of READY.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace nettlestand::tier {

// The largest message that is accepted; a configuration of 4 MiB and a page of results fit.
constexpr std::uint64_t kMaxFrameBytes = 24ULL << 20;

struct ZmtpFrame {
  bool is_command = false;
  bool has_more = false;
  std::string body;
};

// The greeting of 64 bytes that each side sends first.
std::string zmtp_greeting();
// The READY command: socket type and, where it is not empty, the sender's address.
std::string zmtp_ready(std::string_view socket_type, std::string_view address);
// One frame of a message.
std::string zmtp_message(std::string_view body);
// The value of a property in the body of a READY command.
std::optional<std::string> zmtp_ready_property(std::string_view command_body, std::string_view name);

// Splits a peer's byte stream into its greeting and frames.
class ZmtpDecoder {
 public:
  enum class Result { kFrame, kNeedMore, kError };
  void feed(std::string_view bytes);
  // The next frame; the greeting is checked and passed over. After kError the connection can't be used.
  Result next(ZmtpFrame& frame);

 private:
  bool greeting_seen_ = false;
  std::size_t consumed_ = 0;
  std::string buffer_;
};

}  // namespace nettlestand::tier
