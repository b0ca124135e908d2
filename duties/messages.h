// The messages between nodes and voters, as plain values. wire.h encodes and decodes them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "duties/lease_table.h"

namespace nettlestand::duties {

struct Request {
  enum class Kind : std::uint8_t {
    kAcquire,        // asks for the lease; repeated until it is granted
    kRenew,          // extends the lease with `token`
    kRelease,        // gives the lease with `token` back; `failed`: this node could not carry out the duty
    kTransfer,       // operator: moves the duty to the node `target`, or to any other node if that is empty
    kDefine,         // operator, or a node with a duty in its configuration that the table lacks: `settings`
    kRemove,         // operator: deletes the duty
    kListDuties,     // operator: all duties, as JSON
    kListVoters,     // operator: all voters, as JSON
    kAddVoter,       // operator: adds the voter `target`, at the address `text` if that is set
    kRemoveVoter,    // operator: removes the voter `target`
    kPublishReport,  // `text` is this node's latest report; the leader keeps the last one of each node
    kCollectReports  // returns all nodes' reports: one kText each, then kDone
  };
  Kind kind = Kind::kAcquire;
  std::uint64_t seq = 0;  // sequence number of the sender, repeated in the reply
  Node node;              // the sender
  std::string duty;
  Token token = 0;
  bool failed = false;
  std::string target, text;
  Duty settings;
};
constexpr auto kLastRequestKind = Request::Kind::kCollectReports;

struct Reply {
  enum class Kind : std::uint8_t {
    kWaiting,    // held by another node, or the request is in progress: ask again
    kGranted,    // granted with `token`; the lease is held only once a renewal has been confirmed
    kRenewed,    // held for `lease_seconds`, counted from when this renewal was sent
    kLost,       // this node does not hold it, or no longer
    kHandOver,   // an operator is moving it: stop and release it
    kDone,       // the release was received, the command was applied, or all reports were sent
    kRefused,    // permanent: see `refusal` and `text`
    kNotLeader,  // ask another voter; `text` is the leader's name, if known
    kBusy,       // temporarily unavailable: try again
    kText        // the requested text
  };
  Kind kind = Kind::kWaiting;
  std::uint64_t seq = 0;  // 0: not an answer to a request
  std::string duty;
  Token token = 0;
  double lease_seconds = 0;  // s
  Refusal refusal = Refusal::kNone;
  std::string text;
};
constexpr auto kLastReplyKind = Reply::Kind::kText;

inline Reply reply_to(const Request& r, Reply::Kind kind, Token token = 0) {
  Reply out;
  out.kind = kind;
  out.seq = r.seq;
  out.duty = r.duty;
  out.token = token;
  return out;
}

// One frame on a connection. The fields after `bytes` are those of a hello.
struct Frame {
  enum class Kind : std::uint8_t {
    kHello,  // first frame in each direction: the sender's identity, and a nonce for the tags of later frames
             // to it
    kPing,   // keep-alive; an even `number` is answered with a ping of `number` + 1
    kRequests,          // requests of a node
    kReplies,           // replies to a node
    kRaft,              // a Raft message in `bytes`, between voters
    kForward,           // requests of client `number`, forwarded by a voter that is not the leader
    kForwardReplies,    // the leader's replies to forwarded requests
    kForwardClientGone  // the forwarding voter's client `number` has disconnected
  };
  Kind kind = Kind::kPing;
  std::uint64_t number = 0;
  std::vector<Request> requests;
  std::vector<Reply> replies;
  std::string bytes;
  std::string cluster, nonce;
  Node sender;
  std::uint64_t voter_id = 0;     // 0: the sender is not a voter
  std::uint64_t start_count = 0;  // how often the voter's stored state was opened
  std::uint64_t start_id = 0;     // random, drawn at that start
};
constexpr auto kLastFrameKind = Frame::Kind::kForwardClientGone;

}  // namespace nettlestand::duties
