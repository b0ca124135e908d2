// Which member of a group to replace, so that the group keeps its size while machines come and go. No I/O.
#pragma once

#include <optional>
#include <vector>

#include "consensus/replica.h"

namespace nettlestand::tier {

struct MemberRepair {
  std::vector<consensus::Member> learners;  // to be brought up to date
  std::optional<std::vector<consensus::Member>> new_members;
};

// For the group's leader. `live`: the core machines that it hears, members or not. `wanted`: the group's
// size. A dead member leaves and its successor enters in one change, once the successor has the log: at no
// moment does the group need more machines than it needed before.
MemberRepair plan_member_repair(const consensus::Replica& replica, const std::vector<consensus::Member>& live,
                                std::size_t group_size, Millis now);

}  // namespace nettlestand::tier
