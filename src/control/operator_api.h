// The operator's calls at the leader of the configuration's group: orders that change the configuration,
// reading it, and emptying storage machines. No I/O.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "control/pending_operator_calls.h"
#include "control/placement.h"
#include "control/state.h"

namespace nettlestand::tier {

class OperatorApi {
 public:
  struct GroupAccess {
    // Appends a command to the group's log; nothing where this replica does not lead.
    std::function<std::optional<EntryId>(Millis, const ControlCommand&)> propose;
    // Writes and sends what was proposed.
    std::function<void(Millis)> process_ready;
    // Whether the log holds entries that are not applied yet.
    std::function<bool()> has_unapplied_entries;
    // Whether a change of the placement is among them.
    std::function<bool()> placement_pending;
    // Null where this replica does not lead.
    std::function<const PlacementPlanner*()> planner;
  };
  OperatorApi(const ControlState& state, GroupAccess group) : state_(state), group_(std::move(group)) {}

  // To be called under the leader's lease alone.
  void on_call(Millis now, const OperatorCall& call, OperatorCallback done);
  void on_config_change_applied(EntryId entry, ChangeOutcome outcome);
  void on_placement_applied(EntryId entry);
  void expire(Millis now, bool leads) { pending_calls_.expire(now, leads); }
  bool has_pending_calls() const { return !pending_calls_.empty(); }

 private:
  // An answer with status 0 comes later, through `done`.
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
