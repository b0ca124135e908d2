// The operator's calls at any node: passes them on to the leader of the configuration's group, and again
// where that one doesn't answer or no longer leads. No I/O of its own.
#pragma once

#include <functional>
#include <map>

#include "control/control_client.h"

namespace nettlestand::tier {

class OperatorRelay {
 public:
  // 503: certainly not taken. 504: it may be in force.
  using Done = std::function<void(std::uint32_t status, const std::string& body)>;

  // `first_number`: drawn by chance at each start of the process, so that a reply to a call of its earlier
  // life is not taken for the reply to one of this life.
  OperatorRelay(Messenger& messenger, ControlClient& control_client, std::uint64_t first_attempt_id)
      : messenger_(messenger), control_client_(control_client), last_attempt_id_(first_attempt_id) {}

  void start(Millis now, OperatorCall call, Done done);
  void on_reply(Millis now, const OperatorReply& reply);
  void tick(Millis now);

 private:
  struct PendingCall {
    OperatorCall call{};
    Done done;
    Millis deadline = 0;        // then the caller is answered, whatever is known
    Millis retry_at = 0;        // while no leader is known or it was the wrong one
    Millis reply_deadline = 0;  // while a leader has been asked; 0: none is
    bool may_be_applied = false;
  };
  using Calls = std::map<std::uint64_t, PendingCall>;

  void send_to_leader(Millis now, PendingCall pending);
  void fail(const PendingCall& pending);

  Messenger& messenger_;
  ControlClient& control_client_;
  std::uint64_t last_attempt_id_;
  Calls calls_;  // by the number of their newest try
};

}  // namespace nettlestand::tier
