// The operator API at the leader of the configuration group: changing and reading the configuration, and
// retiring storage machines. No I/O.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "control/pending_operator_calls.h"
#include "control/placement.h"
#include "control/state.h"

namespace nettlestand::tier {

// Handles the calls and answers them once their log entries are applied.
class OperatorApi {
 public:
  // Access to the configuration group's replica.
  struct GroupAccess {
    // Appends a command to the group's log. Returns nothing if this replica is not the leader.
    std::function<std::optional<EntryId>(Millis, const ControlCommand&)> propose;
    // Persists and sends what was proposed.
    std::function<void(Millis)> process_ready;
    // Whether the log holds entries that are not yet applied.
    std::function<bool()> has_unapplied_entries;
    // Whether a placement change is among them.
    std::function<bool()> placement_pending;
    // Null if this replica is not the leader.
    std::function<const PlacementPlanner*()> planner;
  };
  OperatorApi(const ControlState& state, GroupAccess group) : state_(state), group_(std::move(group)) {}

  // To be called only while this replica holds the leader lease.
  void on_call(Millis now, const OperatorCall& call, OperatorCallback done);
  void on_config_change_applied(EntryId entry, ChangeOutcome outcome);
  void on_placement_applied(EntryId entry);
  void expire(Millis now, bool leads) { pending_calls_.expire(now, leads); }
  bool has_pending_calls() const { return !pending_calls_.empty(); }

 private:
  // A reply with status 0 means that the call is answered later through `done`.
  OperatorReply read(const OperatorCall& call) const;
  OperatorReply change_config(Millis now, const OperatorCall& call, OperatorCallback& done);
  OperatorReply retire(Millis now, const OperatorCall& call, OperatorCallback& done);
  OperatorReply propose(Millis now, const ControlCommand& command, const OperatorCall& call,
                        OperatorCallback& done);

  const ControlState& state_;
  GroupAccess group_;
  PendingOperatorCalls pending_calls_;
};

}  // namespace nettlestand::tier
