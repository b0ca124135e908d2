// Replacement of failed group members, so that a group keeps its size while machines come and go. No I/O.
#pragma once

#include <optional>
#include <vector>

#include "consensus/replica.h"

namespace nettlestand::tier {

// The next step of a repair, for the leader to carry out.
struct MemberRepair {
  std::vector<consensus::Member> learners;                    // replicas to bring up to date
  std::optional<std::vector<consensus::Member>> new_members;  // membership change to propose
};

// Plans the next step for a group's leader. `live`: the core machines that the leader hears from, members or
// not. A failed member and its replacement are exchanged in one change, once the replacement has the log, so
// that the group never depends on more machines than before.
MemberRepair plan_member_repair(const consensus::Replica& replica, const std::vector<consensus::Member>& live,
                                std::size_t group_size, Millis now);

}  // namespace nettlestand::tier
