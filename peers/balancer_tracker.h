// Among how many copies, and as which of them, this node splits servers and allowances: from what membership
// says, damped. No I/O, no clock. What comes out is an event of the decision module (CopiesChanged), and
// nothing else of membership reaches routing.
//   - Who has just come, or just gone, counts so only after a while; who flaps, only after a longer one.
//   - A node that hears nobody any more holds what it had: it can't tell its own cut from everybody's death.
//   - Allowances are never split among fewer than half of those that were here: two sides of a cut, each of
//     which takes the other for dead, together stay under twice an allowance.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "peers/member.h"

namespace nettlestand::peers {

struct BalancerAssignment {
  int index = 0, count = 1;  // this copy's place among the living, and their number
  double rate_limit_divisor =
      1;  // among how many allowances are split: `count`, or more where many were lost
  bool operator==(const BalancerAssignment&) const = default;
};

struct BalancerTrackerSettings {
  Identity self;
  int index = 0, count = 1;     // as configured: what holds until membership knows better
  double join_delay = 2;        // s for which who has come has to stay before it counts,
  double loss_delay = 3;        // and for which who has gone has to stay away; twice as long with each flap,
  double max_delay = 60;        // s at the most
  double settle_time = 3;       // s without a change, after a start, before anything is told,
  double max_settle_time = 30;  // s at the most
  double loss_memory = 600;     // s for which the dead count half in the split of allowances
};

class BalancerTracker {
 public:
  // Throws std::invalid_argument for settings that can't be used.
  BalancerTracker(BalancerTrackerSettings settings, double now);

  void on_member_changed(double now, const Member& member);
  // What holds from now on, where that is something new.
  std::optional<BalancerAssignment> tick(double now);
  // When tick() wants to be called; infinite where nothing is under way.
  double next_tick() const { return next_tick_; }
  const BalancerAssignment& assignment() const { return assignment_; }

 private:
  struct BalancerEntry {
    Identity identity;
    bool tier_known = false;  // its tier is
    bool present = false, counted = false, dead = false;
    double since = 0;  // s; present or not
    double flapped_at = -1e18;
    int flaps = 0;
  };
  double change_delay(const BalancerEntry& entry) const;
  BalancerAssignment assign(double now) const;

  BalancerTrackerSettings settings_;
  std::map<MemberKey, BalancerEntry> entries_;  // all but this node
  BalancerAssignment assignment_;
  double started_, last_change_, next_tick_;
  bool settled_ = false;
};

}  // namespace nettlestand::peers
