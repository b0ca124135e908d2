// Frames on a byte stream: a length, the MessagePack body, and an authentication tag. The tag is a BLAKE2b
// digest, keyed with the cluster's key, of the nonce that the receiver drew for this connection, the frame's
// sequence number and the body, so frames that were replayed from another connection, duplicated or dropped
// are rejected. Without a key the tag is only a checksum and authenticates nobody.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "duties/messages.h"

namespace nettlestand::duties {

constexpr std::uint8_t kWireVersion = 1;
constexpr std::size_t kMaxFrameBytes = 64 * 1024 * 1024;   // bytes, between voters
constexpr std::size_t kMaxClientFrameBytes = 1024 * 1024;  // bytes, from or to a node
constexpr std::size_t kMaxTextBytes = 256 * 1024;          // bytes of a request's text
constexpr std::size_t kMaxMessagesPerFrame = 8192;         // requests or replies
constexpr std::size_t kNonceBytes = 16;

// The cluster's keys, 32 bytes each, none to two: the first one authenticates outgoing frames, all are
// accepted on incoming ones.
struct Keys {
  std::vector<std::string> keys;
};

// A frame's body without length and tag. decode_frame() throws DecodeError.
std::string encode(const Frame& frame);
Frame decode_frame(std::string_view bytes);

// Both directions of one connection: encodes and authenticates outgoing frames, checks and decodes incoming
// ones.
class Channel {
 public:
  // `nonce`: kNonceBytes random bytes of this side; `most`: limit for the bytes of an incoming frame. Throws
  // std::runtime_error for keys or a nonce of the wrong length.
  Channel(const Keys& keys, std::string nonce, std::size_t most);

  // The bytes of the next outgoing frame. Any frame but a hello needs the other side's hello first.
  std::string seal(const Frame& frame);
  // Adds received bytes.
  void append_received(std::string_view bytes) { received_.append(bytes); }
  // The next complete incoming frame, or none yet. Throws DecodeError; the connection must then be closed.
  std::optional<Frame> next_frame();
  bool handshake_done() const { return !other_nonce_.empty(); }
  const std::string& nonce() const { return nonce_; }
  void set_max_frame_bytes(std::size_t most) { max_frame_bytes_ = most; }

 private:
  std::string digest(std::string_view body, const std::string& key, const std::string& nonce,
                     std::uint64_t number) const;
  std::vector<std::string> keys_;
  std::string nonce_, other_nonce_, received_;
  std::size_t max_frame_bytes_, consumed_ = 0;
  std::uint64_t frames_sent_ = 0, frames_received_ = 0;
};

}  // namespace nettlestand::duties
