// Encoder and decoder of ZMTP 3.1 (RFC 37 of the ZeroMQ project) with the NULL security mechanism. No I/O.
//
// A connection between nodes carries messages in one direction: the connecting side is a PUSH socket, the
// accepting side a PULL socket. The connecting side sends the address at which it listens in the property
// "X-Address" of its READY command.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace nettlestand::tier {

// Larger messages are rejected. A configuration of 4 MiB and a page of job results fit.
constexpr std::uint64_t kMaxFrameBytes = 24ULL << 20;

// A decoded frame: part of a message, or a command such as READY.
struct ZmtpFrame {
  bool is_command = false;
  bool has_more = false;  // further frames of the same message follow
  std::string body;
};

// Returns the greeting of 64 bytes that each side sends first.
std::string zmtp_greeting();
// Returns an encoded READY command with the socket type and, unless it is empty, the sender's address.
std::string zmtp_ready(std::string_view socket_type, std::string_view address);
// Returns a message encoded as a single frame.
std::string zmtp_message(std::string_view body);
// Returns the value of a property in the body of a READY command, or nullopt if the body is another command,
// is malformed or has no such property.
std::optional<std::string> zmtp_ready_property(std::string_view command_body, std::string_view name);

// Incremental decoder of the byte stream from a peer: a greeting, then frames.
class ZmtpDecoder {
 public:
  enum class Result { kFrame, kNeedMore, kError };
  // Appends received bytes.
  void feed(std::string_view bytes);
  // Decodes the next frame; the greeting is validated and skipped. After kError the connection must be
  // closed.
  Result next(ZmtpFrame& frame);
  // Memory that the received bytes take. Frees what is not needed any more.
  std::size_t memory_bytes();

 private:
  bool greeting_seen_ = false;
  std::size_t consumed_ = 0;  // bytes at the start of buffer_ that are decoded already
  std::string buffer_;
};

}  // namespace nettlestand::tier
