// Forwards operator calls from any node to the leader of the configuration group, and retries if the leader
// doesn't reply or has lost leadership. No I/O of its own.
#pragma once

#include <functional>
#include <map>

#include "control/control_client.h"

namespace nettlestand::tier {

// Tracks the forwarded calls until they are answered or time out.
class OperatorRelay {
 public:
  // Status 503: the call was certainly not applied. 504: it may have been.
  using Done = std::function<void(std::uint32_t status, const std::string& body)>;

  // `first_attempt_id`: random at each start of the process, so that a reply to a call from before a restart
  // is not mistaken for the reply to a new call.
  OperatorRelay(Messenger& messenger, ControlClient& control_client, std::uint64_t first_attempt_id)
      : messenger_(messenger), control_client_(control_client), last_attempt_id_(first_attempt_id) {}

  void start(Millis now, OperatorCall call, Done done);
  void on_reply(Millis now, const OperatorReply& reply);
  void tick(Millis now);

 private:
  struct PendingCall {
    OperatorCall call{};
    Done done;
    Millis deadline = 0;        // when the caller is answered at the latest
    Millis retry_at = 0;        // while the leader is unknown or the call was sent to another node
    Millis reply_deadline = 0;  // while a reply from the leader is pending; 0: none is
    bool may_be_applied = false;
  };
  using Calls = std::map<std::uint64_t, PendingCall>;

  void send_to_leader(Millis now, PendingCall pending);
  void fail(const PendingCall& pending);

  Messenger& messenger_;
  ControlClient& control_client_;
  std::uint64_t last_attempt_id_;
  Calls calls_;  // by the id of their latest attempt
};

}  // namespace nettlestand::tier
