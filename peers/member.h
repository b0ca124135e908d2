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
using Key = std::uint64_t;
Key key_of(const std::string& name);

enum class State : std::uint8_t {
  kAlive,
  kSuspect,  // somebody has failed to reach it, twice
  kLeaving,  // it has said that it is about to go, and finishes what it has
  kDead,     // several have failed to reach it, and it has not said otherwise
  kLeft      // it has said goodbye
};
const char* name_of(State state);
// No life comes back from these.
inline bool is_over(State state) { return state == State::kDead || state == State::kLeft; }

constexpr std::size_t kLongestName = 32, kLongestShort = 12;  // bytes

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
  Identity id;
  bool described = false;  // id is known beyond the key
  Key key = 0;
  Address address = 0;
  std::uint64_t life = 0;  // larger with each life of this name
  std::uint32_t incarnation = 0;
  State state = State::kAlive;
  double since = 0;            // s by this node's clock, in this state
  double heard_at = -1e18;     // s; its last datagram to this node
  std::size_t reached_by = 0;  // others that have said within some periods that they reach it
  std::size_t doubted_by = 0;  // accusers, where it is suspected
};

// A change of one member, told in order and exactly once.
struct Change {
  Member member;
  State before = State::kDead;
  bool first = false;  // it was not known before
  Key by = 0;          // who said so; this node's own key where it found out itself
};

// What one node says of another, or of itself.
struct Update {
  Key key = 0;
  std::uint64_t life = 0;
  std::uint32_t incarnation = 0;
  State state = State::kAlive;
  Address address = 0;
  Key accuser = 0;                           // of a suspicion: who failed to reach it
  std::shared_ptr<const Identity> identity;  // the first times that a life is told of
};

enum class Kind : std::uint8_t {
  kPing,     // answer with an ack
  kAck,      // to a ping, or to a ping that was asked for
  kPingReq,  // ping `target` for me
  kNews,     // updates alone
  kAsk,      // send me a page of your table, from the key `target` on
  kPage,     // that page, with identities; `target` is where the next one begins, 0: there is none
  kDigest,   // a part of the sender's table; what the receiver knows better comes back as news
  kWhoIs,    // describe yourself
  kHeard,    // a request to ping was heard: who asked is not deaf (Lifeguard's nack)
  kTaken     // the sender reaches another process under your name, whose life is `target_life`
};
constexpr Kind kLastKind = Kind::kTaken;

struct Message {
  Kind kind = Kind::kNews;
  std::uint32_t seq = 0;  // of a ping, and of its ack
  Key from = 0;
  std::uint64_t life = 0;  // of the sender
  Key target = 0;  // whom a ping is for: it may be somebody else's address by now; of whom an ack tells
  std::uint64_t target_life = 0;
  bool reaches = false;  // of an ack: the sender has answered itself
  std::vector<Update> updates;
};

constexpr std::size_t kMostBytes = 256;  // of a datagram, as the platform's protocol has it
constexpr std::size_t kSealBytes = 16;
constexpr std::size_t kMostUpdates = 8;  // in a datagram
// What a datagram and an update take up on the wire, at the most.
std::size_t bytes_of(const Message& message);
std::size_t bytes_of(const Update& update);

}  // namespace nettlestand::peers
