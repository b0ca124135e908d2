// The operator's calls at the leader of the configuration's group: orders that change the configuration,
// reading it, and emptying storage machines. No I/O.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "control/placement.h"
#include "control/state.h"
#include "control/waiting_calls.h"

namespace nettlestand::tier {

class OperatorApi {
 public:
  struct Group {
    // Appends a command to the group's log; nothing where this replica does not lead.
    std::function<std::optional<EntryId>(Millis, const ControlCommand&)> propose;
    // Writes and sends what was proposed.
    std::function<void(Millis)> drive;
    // Whether the log holds entries that are not applied yet.
    std::function<bool()> has_undecided;
    // Whether a change of the placement is among them.
    std::function<bool()> placement_pending;
    // Null where this replica does not lead.
    std::function<const PlacementPlanner*()> planner;
  };
  OperatorApi(const ControlState& state, Group group) : state_(state), group_(std::move(group)) {}

  // To be called under the leader's lease alone.
  void on_call(Millis now, const OperatorCall& call, OperatorDone done);
  void on_order_applied(EntryId entry, OrderOutcome outcome);
  void on_placement_applied(EntryId entry);
  void expire(Millis now, bool leads) { waiting_.expire(now, leads); }
  bool has_waiting() const { return !waiting_.empty(); }

 private:
  // An answer with status 0 comes later, through `done`.
  OperatorReply read(const OperatorCall& call) const;
  OperatorReply order(Millis now, const OperatorCall& call, OperatorDone& done);
  OperatorReply retire(Millis now, const OperatorCall& call, OperatorDone& done);
  OperatorReply propose(Millis now, const ControlCommand& command, const OperatorCall& call,
                        OperatorDone& done);

  const ControlState& state_;
  Group group_;
  WaitingCalls waiting_;
};

}  // namespace nettlestand::tier
