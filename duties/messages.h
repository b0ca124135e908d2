// What nodes and voters say to each other about duties. Values alone; wire.h has them as bytes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "duties/lease_table.h"

namespace nettlestand::duties {

struct Request {
  enum class Kind : std::uint8_t {
    kAcquire,        // I would have it; repeated while that is so
    kRenew,          // I have it by `token`, and go on
    kRelease,        // I have stopped, and want it no more for now; `failed`: I could not do it
    kTransfer,       // an operator: it is to go to the node called `to`, or to any other where that is empty
    kDefine,         // an operator, or a node whose file names a duty that is not there: `settings`
    kRemove,         // an operator: the duty is to be forgotten
    kListDuties,     // an operator: all duties, as JSON
    kListVoters,     // an operator: who votes, as JSON
    kAddVoter,       // an operator: the voter called `to`, at the address `text` (or as files name it)
    kRemoveVoter,    // an operator: the voter called `to`
    kPublishReport,  // `text` is this node's newest word on its service; the leader keeps the last of each
                     // node
    kCollectReports  // what all nodes had kept, a reply each, and a last one
  };
  Kind kind = Kind::kAcquire;
  std::uint64_t seq = 0;  // of its sender; the reply has it too
  Node node;              // who says so
  std::string duty;
  Token token = 0;
  bool failed = false;
  std::string target, text;
  Duty settings;
};
constexpr auto kLastRequestKind = Request::Kind::kCollectReports;

struct Reply {
  enum class Kind : std::uint8_t {
    kWaiting,    // somebody else has it, or it is being dealt with: ask again
    kGranted,    // the table has it with you by `token`: renew, and it is yours from the renewal on
    kRenewed,    // it is yours for `length` from when you sent this renewal
    kLost,       // it is not yours (any more)
    kHandOver,   // an operator wants it elsewhere: stop, and give it back
    kDone,       // given back; an operator's word is in the log; all has been told
    kRefused,    // never: see `why` and `text`
    kNotLeader,  // ask another voter; `text` is the leader's name, if that is known
    kBusy,       // not now: the log is not getting on
    kText        // what was asked for
  };
  Kind kind = Kind::kWaiting;
  std::uint64_t seq = 0;  // 0: not asked for
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

// What goes over one connection.
struct Frame {
  enum class Kind : std::uint8_t {
    kHello,             // the first one each way: who is there, and a nonce that seals what comes back
    kPing,              // is answered with one more, `number` one higher than an even one
    kRequests,          // from a node
    kReplies,           // to a node
    kRaft,              // `bytes`, between voters
    kForward,           // a voter that does not lead hands on what its client `number` asked
    kForwardReplies,    // and gets the replies
    kForwardClientGone  // that client is there no more
  };
  Kind kind = Kind::kPing;
  std::uint64_t number = 0;
  std::vector<Request> requests;
  std::vector<Reply> replies;
  std::string bytes;
  // Of a hello.
  std::string cluster, nonce;
  Node sender;
  std::uint64_t voter_id = 0;     // its id among the voters; 0: none of them
  std::uint64_t start_count = 0;  // how often this voter's state was started on
  std::uint64_t start_id = 0;     // drawn at that start
};
constexpr auto kLastFrameKind = Frame::Kind::kForwardClientGone;

}  // namespace nettlestand::duties
