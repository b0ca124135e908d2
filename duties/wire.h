// Frames as bytes on a stream: a length, MessagePack, a seal. The seal is a BLAKE2b digest keyed by the
// cluster's key, over the nonce that the receiver drew for this connection, the frame's place on it, and the
// frame: what was recorded on another connection, doubled or left out is not taken. Without a key it is a
// checksum, and keeps out nobody.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "duties/messages.h"

namespace nettlestand::duties {

constexpr std::uint8_t kWireVersion = 1;
constexpr std::size_t kMaxFrameBytes = 64 * 1024 * 1024;   // bytes of one frame between voters,
constexpr std::size_t kMaxClientFrameBytes = 1024 * 1024;  // and from or to a node
constexpr std::size_t kMaxTextBytes = 256 * 1024;          // bytes of a request's or a reply's text
constexpr std::size_t kMaxMessagesPerFrame = 8192;         // requests or replies in one frame
constexpr std::size_t kNonceBytes = 16;                    // bytes

// 32 bytes each, none to two: the first one seals, all are taken.
struct Keys {
  std::vector<std::string> keys;
};

// Frames with no seal, for hosts without sockets, and what is sealed. decode throws BadBytes.
std::string encode(const Frame& frame);
Frame decode_frame(std::string_view bytes);

// One connection's two directions of frames.
class Channel {
 public:
  // Throws std::runtime_error for keys or a nonce of another length. `nonce`: this side's, kNonce random
  // bytes; `most`: bytes that a frame from the other side may have.
  Channel(const Keys& keys, std::string nonce, std::size_t most);

  // The bytes of the next frame this way. Anything but a hello needs the other side's hello first.
  std::string seal(const Frame& frame);
  // Takes bytes as they come.
  void append_received(std::string_view bytes) { received_.append(bytes); }
  // The next whole frame, or none yet. Throws BadBytes: then the connection is of no more use.
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
