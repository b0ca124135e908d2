// Membership's datagrams: MessagePack arrays of at most 256 bytes, for one cluster, perhaps sealed with its
// key. Bytes in, a message or why not out; no sockets. The format stands in docs/design/peers.md.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "peers/decide.h"

namespace nettlestand::peers {

constexpr std::size_t kMostBytes = 256;  // of a datagram, as the platform's protocol has it
constexpr std::uint8_t kWireVersion = 1;

enum class Refusal {
  kNone,
  kMalformed,     // no message, or figures out of range
  kVersion,       // of another version
  kOtherCluster,  // of another name
  kSeal,          // sealed with none of this cluster's keys, or corrupted on the way
  kReplay         // heard before, or long ago
};
const char* name_of(Refusal refusal);

// What a cluster's nodes share.
struct Cluster {
  std::string name = "nettlestand";
  std::vector<std::string>
      keys;  // 32 bytes each; the first seals, all are taken: a change of keys needs two for a while
};

// Not for two threads at once. One for a node's life.
class Wire {
 public:
  // Throws std::invalid_argument for a key that is not 32 bytes long.
  explicit Wire(Cluster cluster);

  // Throws std::length_error where it would be over kMostBytes: a defect of the caller.
  std::string encode(const Message& message);
  // The message, or none and `why`.
  std::optional<Message> decode(std::string_view bytes, Refusal& why);

 private:
  // What was heard of one life: the highest number, and which of the 64 below it.
  struct Heard {
    std::uint64_t life = 0, highest = 0, below = 0;
  };
  bool fresh(Key from, std::uint64_t life, std::uint64_t number);

  Cluster cluster_;
  const std::uint32_t cluster_id_;
  std::uint64_t sent_ = 0;
  std::unordered_map<Key, Heard> heard_;
};

}  // namespace nettlestand::peers
