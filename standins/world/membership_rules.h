// Rules over what the nodes of a world said of each other, from their logs (component peers) and from what
// the script did to processes and ways. They know nothing of how membership works.
#pragma once

#include <vector>

#include "standins/world/timeline.h"

namespace nettlestand::standins {

struct MembershipBounds {
  double detection = 5;        // s from a process' end until all know that live and are connected
  double evidence_window = 4;  // s before a verdict in which its reasons may lie
  double convergence = 8;      // s that a timeline has to be quiet at its end, for views to be equal
  double startup_grace = 1;    // s at the start for the rules on deaths, for nodes to hear of each other
};

// - a death is known to all that live and are connected
// - nobody is called dead that a quarter of the nodes reaches both ways, by who is reached by one of these
// - views are equal at the end
// - no life comes back from the dead
std::vector<TimelineRule> membership_rules(const MembershipBounds& bounds);

}  // namespace nettlestand::standins
