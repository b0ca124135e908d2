// Tracks how many balancers share the servers and the rate limits, and which of them this node is, from
// membership changes with hysteresis. No I/O, no clock. The result becomes an event of the decision module
// (BalancersChanged); nothing else of membership affects routing.
//   - A balancer that joined or was lost counts so only after a delay, which is longer for one that flaps.
//   - A node that hears nobody any more keeps its assignment: it can't tell its own isolation from the death
//     of all.
//   - Rate limits are never divided by less than half of the earlier number of balancers: the two sides of a
//     partition, each of which takes the other for dead, together stay under twice the limit.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "peers/member.h"

namespace nettlestand::peers {

// This node's place among the balancers.
struct BalancerAssignment {
  int index = 0, count = 1;  // this balancer's index among the live ones, and their number
  // By how much rate limits are divided: `count`, or more if many balancers were lost.
  double rate_limit_divisor = 1;
  bool operator==(const BalancerAssignment&) const = default;
};

struct BalancerTrackerSettings {
  Identity self;
  int index = 0, count = 1;  // as configured; used until membership knows better
  double join_delay = 2;     // s for which a new balancer must stay before it counts
  // Seconds for which a lost balancer must stay away before it is dropped. This and join_delay double with
  // each flap.
  double loss_delay = 3;
  double max_delay = 60;        // s; limit of both delays
  double settle_time = 3;       // s without a change after the start before anything is reported
  double max_settle_time = 30;  // s; limit of the wait for that
  // Seconds for which dead balancers still count half in the divisor of rate limits.
  double loss_memory = 600;
};

// Computes the assignment from membership changes; see above.
class BalancerTracker {
 public:
  // Throws std::invalid_argument for unusable settings.
  BalancerTracker(BalancerTrackerSettings settings, double now);

  // Takes a membership change into account; call tick() afterwards.
  void on_member_changed(double now, const Member& member);
  // Returns the assignment if it has changed.
  std::optional<BalancerAssignment> tick(double now);
  // When tick() should be called; infinite if nothing is pending.
  double next_tick() const { return next_tick_; }
  const BalancerAssignment& assignment() const { return assignment_; }

 private:
  // `present` follows membership; `counted` follows `present` after a delay.
  struct BalancerEntry {
    Identity identity;
    bool tier_known = false;
    bool present = false, counted = false, dead = false;
    double since = 0;  // s; since when it is present or absent
    double flapped_at = -1e18;
    int flaps = 0;
  };
  double change_delay(const BalancerEntry& entry) const;
  BalancerAssignment assign(double now) const;

  BalancerTrackerSettings settings_;
  std::map<MemberKey, BalancerEntry> entries_;  // all balancers except this node
  BalancerAssignment assignment_;
  double started_, last_change_, next_tick_;
  bool settled_ = false;
};

}  // namespace nettlestand::peers
