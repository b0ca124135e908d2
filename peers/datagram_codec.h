// Membership's datagrams: MessagePack arrays of at most 256 bytes, for one cluster, perhaps sealed with its
// key. Bytes in, a message or why not out; no sockets. The format stands in docs/design/peers.md.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "peers/member.h"

namespace nettlestand::peers {

constexpr std::uint8_t kWireVersion = 2;

enum class DecodeError {
  kNone,
  kMalformed,     // no message, or figures out of range
  kVersion,       // of another version
  kOtherCluster,  // of another name
  kBadMac,        // sealed with none of this cluster's keys, or corrupted on the way
  kReplay         // heard before, or long ago
};
constexpr std::size_t kDecodeErrorCount = 6;
const char* name_of(DecodeError refusal);

// What a cluster's nodes share.
struct Cluster {
  std::string name = "nettlestand";
  std::vector<std::string>
      keys;  // 32 bytes each; the first seals, all are taken: a change of keys needs two for a while
};

// Not for two threads at once. One for a process's life.
class DatagramCodec {
 public:
  // Lives of members whose datagrams are told apart from repeats: the least, and the double at the most.
  static constexpr std::size_t kMaxReplayWindows = 16384;

  // Throws std::invalid_argument for a key that is not 32 bytes long.
  explicit DatagramCodec(Cluster cluster);

  // Throws std::length_error where it would be over kMostBytes: a defect of the caller.
  std::string encode(const Message& message);
  // Other keys from now on; what was heard stays heard. Throws as the constructor does, and changes nothing.
  void set_keys(std::vector<std::string> keys);
  bool authenticated() const { return authenticated_; }
  // The message, or none and `why`.
  std::optional<Message> decode(std::string_view bytes, DecodeError& error);
  // What is inside a seal: the message and its sender's number for it. For decode(), and for whoever tries
  // the reader with bytes that no key has sealed.
  std::optional<Message> decode_body(std::string_view body, std::uint64_t& number, DecodeError& error) const;

 private:
  // What was heard of one life of one member: the highest number, and which of the 64 below it.
  struct ReplayWindow {
    std::uint64_t highest = 0, below = 0;
  };
  struct Hash {
    std::size_t operator()(const std::pair<MemberKey, std::uint64_t>& of) const {
      return static_cast<std::size_t>(of.first ^ (of.second * 0x9E3779B97F4A7C15ULL));
    }
  };
  using ReplayWindows = std::unordered_map<std::pair<MemberKey, std::uint64_t>, ReplayWindow, Hash>;
  bool accept_number(MemberKey from, std::uint64_t generation, std::uint64_t number);

  Cluster cluster_;
  const std::uint32_t cluster_id_;
  bool authenticated_ = false;
  std::uint64_t last_number_ = 0;
  ReplayWindows recent_, older_;  // those that were heard of late, and those not for longer
};

}  // namespace nettlestand::peers
