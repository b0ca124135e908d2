// The operator's calls at any node: passes them on to the leader of the configuration's group, and again
// where that one doesn't answer or no longer leads. No I/O of its own.
#pragma once

#include <functional>
#include <map>

#include "control/follower.h"

namespace nettlestand::tier {

class OperatorRelay {
 public:
  // 503: certainly not taken. 504: it may be in force.
  using Done = std::function<void(std::uint32_t status, const std::string& body)>;

  // `first_number`: drawn by chance at each start of the process, so that a reply to a call of its earlier
  // life is not taken for the reply to one of this life.
  OperatorRelay(Messenger& messenger, ControlFollower& follower, std::uint64_t first_number)
      : messenger_(messenger), follower_(follower), numbers_(first_number) {}

  void start(Millis now, OperatorCall call, Done done);
  void on_reply(Millis now, const OperatorReply& reply);
  void tick(Millis now);

 private:
  struct Pending {
    OperatorCall call{};
    Done done;
    Millis until = 0;        // then the caller is answered, whatever is known
    Millis next_try = 0;     // while no leader is known or it was the wrong one
    Millis reply_until = 0;  // while a leader has been asked; 0: none is
    bool may_be_taken = false;
  };
  using Calls = std::map<std::uint64_t, Pending>;

  void try_leader(Millis now, Pending pending);
  void give_up(const Pending& pending);

  Messenger& messenger_;
  ControlFollower& follower_;
  std::uint64_t numbers_;
  Calls calls_;  // by the number of their newest try
};

}  // namespace nettlestand::tier
