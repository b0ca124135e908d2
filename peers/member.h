// What membership speaks of: members, what is said of them, and the messages that carry it. Values alone.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace nettlestand::peers {

// Where datagrams go: the host's own numbering, such as IPv4 address and port in 48 bits, or a node's place
// in a list that all nodes have. 0: nowhere, or not known.
using Address = std::uint64_t;
// A name's digest: what datagrams carry of it.
using MemberKey = std::uint64_t;
MemberKey member_key(const std::string& name);

enum class MemberState : std::uint8_t {
  kAlive,
  kSuspect,  // somebody has failed to reach it, twice
  kLeaving,  // it has said that it is about to go, and finishes what it has
  kDead,     // several have failed to reach it, and it has not said otherwise
  kLeft      // it has said goodbye
};
const char* name_of(MemberState state);
// No life comes back from these.
inline bool has_ended(MemberState state) {
  return state == MemberState::kDead || state == MemberState::kLeft;
}

constexpr std::size_t kMaxNameBytes = 32, kMaxLabelBytes = 12;  // bytes

struct Identity {
  std::string name;          // 1 to 32 bytes, unique in the cluster
  std::string zone, region;  // 0 to 12 bytes
  std::string version;       // 0 to 12 bytes
  std::uint8_t tier = 0;     // of the servers that it sends to
  std::uint32_t number = 0;  // its place among the nodes of its tier, as its own configuration has it

  bool operator==(const Identity&) const = default;
};

// One member as this node holds it.
struct Member {
  Identity identity;
  bool identity_known = false;  // id is known beyond the key
  MemberKey key = 0;
  Address address = 0;
  std::uint64_t generation = 0;  // larger with each life of this name
  std::uint32_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  double since = 0;              // s by this node's clock, in this state
  double heard_at = -1e18;       // s; its last datagram to this node
  std::size_t reached_by = 0;    // others that have said within some periods that they reach it
  std::size_t suspected_by = 0;  // accusers, where it is suspected
};

// A change of one member, told in order and exactly once.
struct Change {
  Member member;
  MemberState before = MemberState::kDead;
  bool first_seen = false;  // it was not known before
  MemberKey source = 0;     // who said so; this node's own key where it found out itself
};

// What one node says of another, or of itself.
struct Update {
  MemberKey key = 0;
  std::uint64_t generation = 0;
  std::uint32_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  Address address = 0;
  MemberKey reporter = 0;                    // of a suspicion: who failed to reach it
  std::shared_ptr<const Identity> identity;  // the first times that a life is told of
};

enum class MessageKind : std::uint8_t {
  kPing,             // answer with an ack
  kAck,              // to a ping, or to a ping that was asked for
  kPingReq,          // ping `target` for me
  kGossip,           // updates alone
  kPageRequest,      // send me a page of your table, from the key `target` on
  kPage,             // that page, with identities; `target` is where the next one begins, 0: there is none
  kDigest,           // a part of the sender's table; what the receiver knows better comes back as news
  kIdentityRequest,  // describe yourself
  kNack,             // a request to ping was heard: who asked is not deaf (Lifeguard's nack)
  kNameTaken         // the sender reaches another process under your name, whose life is `target_life`
};
constexpr MessageKind kLastMessageKind = MessageKind::kNameTaken;

struct Message {
  MessageKind kind = MessageKind::kGossip;
  std::uint32_t seq = 0;  // of a ping, and of its ack
  MemberKey from = 0;
  std::uint64_t generation = 0;  // of the sender
  MemberKey target = 0;  // whom a ping is for: it may be somebody else's address by now; of whom an ack tells
  std::uint64_t target_generation = 0;
  bool direct_ack = false;  // of an ack: the sender has answered itself
  std::vector<Update> updates;
};

constexpr std::size_t kMaxDatagramBytes = 256;  // of a datagram, as the platform's protocol has it
constexpr std::size_t kMacBytes = 16;
constexpr std::size_t kMaxUpdates = 8;  // in a datagram
// What a datagram and an update take up on the wire, at the most.
std::size_t max_encoded_bytes(const Message& message);
std::size_t max_encoded_bytes(const Update& update);

}  // namespace nettlestand::peers
