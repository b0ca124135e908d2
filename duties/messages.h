// What nodes and the leader among the voters say to each other about duties. Values alone.
#pragma once

#include <cstdint>
#include <string>

#include "duties/table.h"

namespace nettlestand::duties {

struct Request {
  enum class Kind : std::uint8_t {
    kAsk,       // I would have it; repeated while that is so
    kRenew,     // I have it by `token`, and go on
    kGiveBack,  // I have stopped, and want it no more for now; `failed`: I could not do it
    kPass,      // an operator: it is to go to `to`
    kDefine,    // an operator: `settings`
    kRemove     // an operator
  };
  Kind kind = Kind::kAsk;
  std::uint64_t seq = 0;  // of its sender; the reply has it too
  Node node;              // who says so
  std::string duty;
  Token token = 0;
  bool failed = false;
  std::string to;
  Duty settings;
};

struct Reply {
  enum class Kind : std::uint8_t {
    kWaiting,    // somebody else has it, or it is being dealt with: ask again
    kYours,      // the table has it with you by `token`: renew, and it is yours from the renewal on
    kRenewed,    // it is yours for `length` from when you sent this renewal
    kLost,       // it is not yours (any more)
    kHandOver,   // an operator wants it elsewhere: stop, and give it back
    kDone,       // given back; an operator's word is in the log
    kRefused,    // never: see `why`
    kNotLeader,  // ask another voter
    kBusy        // not now: the log is not getting on
  };
  Kind kind = Kind::kWaiting;
  std::uint64_t seq = 0;  // 0: not asked for
  std::string duty;
  Token token = 0;
  double length = 0;  // s
  Refusal why = Refusal::kNone;
};

}  // namespace nettlestand::duties
