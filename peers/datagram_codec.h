// Encodes and decodes membership datagrams: MessagePack arrays of at most 256 bytes for one cluster,
// authenticated if the cluster has keys, with replay protection. No sockets. The format is described in
// docs/design/peers.md.
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

// Why a datagram was rejected.
enum class DecodeError {
  kNone,
  kMalformed,     // no message, or values out of range
  kVersion,       // another protocol version
  kOtherCluster,  // another cluster name
  kBadMac,        // authenticated with none of this cluster's keys, or corrupted
  kReplay         // received before, or too old to tell
};
constexpr std::size_t kDecodeErrorCount = 6;
const char* name_of(DecodeError refusal);

// What the nodes of a cluster share.
struct Cluster {
  std::string name = "nettlestand";
  // 32 bytes each. The first authenticates outgoing datagrams, all are accepted: a change of keys needs two
  // for a while.
  std::vector<std::string> keys;
};

// Not thread-safe. A process must keep one instance for its whole life, as it numbers the outgoing datagrams.
class DatagramCodec {
 public:
  // Generations of members that replay protection remembers: at least these many, at most twice as many.
  static constexpr std::size_t kMaxReplayWindows = 16384;

  // Throws std::invalid_argument for a key that is not 32 bytes long.
  explicit DatagramCodec(Cluster cluster);

  // Throws std::length_error if the datagram would exceed kMaxDatagramBytes, which is a defect of the caller.
  std::string encode(const Message& message);
  // Replaces the keys; the replay windows are kept. Throws like the constructor, and then changes nothing.
  void set_keys(std::vector<std::string> keys);
  bool authenticated() const { return authenticated_; }
  // The message, or nullopt with the reason in `error`.
  std::optional<Message> decode(std::string_view bytes, DecodeError& error);
  // Decodes an authenticated body to the message and its sender's sequence number. Used by decode(), and by
  // fuzzing to reach the parser with bytes that no key has authenticated.
  std::optional<Message> decode_body(std::string_view body, std::uint64_t& number, DecodeError& error) const;

 private:
  // The sequence numbers received from one generation of one member: the highest, and a bit for each of the
  // 64 below it.
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
  ReplayWindows recent_, older_;  // windows in recent use, and those not used since the last rotation
};

}  // namespace nettlestand::peers
