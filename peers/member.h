// The data types of membership: members, updates about them, and the messages that carry updates.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace nettlestand::peers {

// Where datagrams go. The host chooses the encoding: IPv4 address and port in 48 bits, or an index from 1
// into a list that all nodes share. 0: none or unknown.
using Address = std::uint64_t;
// Hash of a member's name, which stands for the name in datagrams.
using MemberKey = std::uint64_t;
MemberKey member_key(const std::string& name);

// What is known of a member's current generation, in order of precedence.
enum class MemberState : std::uint8_t {
  kAlive,
  kSuspect,  // somebody has failed to reach it, twice
  kLeaving,  // it has announced that it will leave, and finishes its work
  kDead,     // several members have failed to reach it, and it has not refuted
  kLeft      // it has said goodbye
};
const char* name_of(MemberState state);
// Whether a generation has ended for good in this state.
inline bool has_ended(MemberState state) {
  return state == MemberState::kDead || state == MemberState::kLeft;
}

constexpr std::size_t kMaxNameBytes = 32, kMaxLabelBytes = 12;

// How a member describes itself.
struct Identity {
  std::string name;          // 1 to 32 bytes, unique in the cluster
  std::string zone, region;  // 0 to 12 bytes
  std::string version;       // 0 to 12 bytes
  std::uint8_t tier = 0;     // of the servers that it sends to
  std::uint32_t number = 0;  // its configured position among the nodes of its tier

  bool operator==(const Identity&) const = default;
};

// A member as this node knows it.
struct Member {
  Identity identity;
  bool identity_known = false;  // `identity` is known, not only `key`
  MemberKey key = 0;
  Address address = 0;
  std::uint64_t generation = 0;  // larger for each process start under this name
  std::uint32_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  double since = 0;         // s by this node's clock; when it entered this state
  double heard_at = -1e18;  // s; its last datagram to this node
  // Other members that have recently reported that they reach it.
  std::size_t reached_by = 0;
  std::size_t suspected_by = 0;  // members that report failing to reach it, if it is suspected
};

// A change of one member. Changes are reported in order and exactly once.
struct Change {
  Member member;
  MemberState before = MemberState::kDead;
  bool first_seen = false;  // the member was not known before
  MemberKey source = 0;     // who reported it; this node's key if it found out itself
};

// What one node reports of another or of itself.
struct Update {
  MemberKey key = 0;
  std::uint64_t generation = 0;
  std::uint32_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  Address address = 0;
  MemberKey reporter = 0;                    // of a suspicion: who failed to reach the member
  std::shared_ptr<const Identity> identity;  // sent the first times that a generation is gossiped
};

// The kinds of datagrams.
enum class MessageKind : std::uint8_t {
  kPing,             // answered by an ack
  kAck,              // answers a ping, or a ping request on behalf of the target
  kPingReq,          // asks the receiver to ping `target`
  kGossip,           // only updates
  kPageRequest,      // asks for a page of the receiver's table, from key `target` on
  kPage,             // a page with identities; `target` is where the next one begins, 0 if there is none
  kDigest,           // a part of the sender's table; newer updates come back as gossip
  kIdentityRequest,  // asks the receiver to describe itself
  // Confirms that a ping request arrived, so that the requester knows that it receives messages (Lifeguard's
  // nack).
  kNack,
  // The sender reaches another process under the receiver's name, whose generation is `target_generation`.
  kNameTaken
};
constexpr MessageKind kLastMessageKind = MessageKind::kNameTaken;

// The content of a datagram.
struct Message {
  MessageKind kind = MessageKind::kGossip;
  std::uint32_t seq = 0;  // of a ping and its ack
  MemberKey from = 0;
  std::uint64_t generation = 0;  // of the sender
  // Of a ping, the member it is meant for, as the address may be another member's by now; of an ack, the
  // member that it reports as reached.
  MemberKey target = 0;
  std::uint64_t target_generation = 0;
  bool direct_ack = false;  // of an ack: the sender itself was pinged
  std::vector<Update> updates;
};

constexpr std::size_t kMaxDatagramBytes = 256;  // as the platform's protocol prescribes
constexpr std::size_t kMacBytes = 16;           // message authentication code
constexpr std::size_t kMaxUpdates = 8;          // in a datagram
// Upper bounds for the encoded size of a datagram and of an update.
std::size_t max_encoded_bytes(const Message& message);
std::size_t max_encoded_bytes(const Update& update);

}  // namespace nettlestand::peers
