// Rules for the membership views that nodes report in their logs (component peers), checked against the
// faults that the script applied to processes and links. Independent of how membership is implemented.
#pragma once

#include <vector>

#include "standins/world/timeline.h"

namespace nettlestand::standins {

// Time limits of the rules.
struct MembershipBounds {
  double detection = 5;        // s from the end of a process until all live, connected nodes have noticed
  double evidence_window = 4;  // s before a declaration of death in which its causes may lie
  double convergence = 8;      // s without faults at the end of a timeline after which views have to agree
  // s at the start that the rules on deaths ignore, while nodes learn of each other.
  double startup_grace = 1;
};

// The rules:
// - a death is known to all live, connected nodes
// - no node is declared dead while a quarter of the nodes reach it in both directions and the declaring node
//   reaches one of these
// - all views agree at the end
// - a process start (generation) that was declared ended never comes back
std::vector<TimelineRule> membership_rules(const MembershipBounds& bounds);

}  // namespace nettlestand::standins
