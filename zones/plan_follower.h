// What one node does with plans: follows the newest, and without one goes by a rule that is safe whatever the
// others do. No I/O, no clock.
//   - A newer plan is one of a later token, or of the same token and a later epoch. An older one is never
//   taken.
//   - A plan is followed for its lease, counted from when it was made as far as that is known.
//   - Without one: near first; away only what fails near, within this zone's part of what each target was
//   last
//     known to bear, and that part halves as time goes by. What is held to a zone or region stays there. Who
//     never had a plan sends nothing away.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "zones/planner.h"

namespace nettlestand::zones {

struct PlanFollowerSettings {
  std::string zone;                // this node's
  std::vector<Affinity> classes;   // the planner's
  double fallback_half_life = 10;  // s without a plan in which what may be sent away halves
};

// Of this node's demand of each class, what goes where; what is left of 1 is refused. Nodes of one zone all
// use the same parts, each on its own demand.
struct TrafficSplit {
  std::vector<std::string> zones;
  std::vector<std::vector<double>> fractions;  // [class][zone], 0 to 1
  bool from_plan = false;
};

class PlanFollower {
 public:
  // Throws std::invalid_argument for settings that can't be used.
  explicit PlanFollower(PlanFollowerSettings settings);

  // Whether it is taken. `age`: s since it was made, at least; what carries plans adds up how long each held
  // it. What can't be a plan is not taken, and changes nothing.
  bool offer(const Plan& plan, double age, double now);

  // The plan that is followed, if any is.
  const Plan* plan(double now) const;
  // How old that is or was, to be handed on with it.
  double age(double now) const { return now - made_at_; }
  // When shares() changes by itself next: the end of the lease; infinite without a plan.
  double lease_end() const { return plan_ ? lease_end_ : std::numeric_limits<double>::infinity(); }

  // `near`: the part of this zone's demand that its own servers bear by what this node sees, 0 to 1; it
  // counts only without a plan. `growth`: this node's demand as a multiple of what it was when the last plan
  // was made; what goes to others does not grow with it. `distance`: ms, by zone of the last plan; without a
  // plan the nearest target is used first.
  TrafficSplit split(double local_fraction, double growth, const std::vector<double>& distance,
                     double now) const;

 private:
  void split_by_plan(double growth, TrafficSplit& out) const;
  void split_by_fallback(double local_fraction, double growth, const std::vector<double>& distance,
                         double now, TrafficSplit& out) const;
  Load demand(std::size_t c) const;

  PlanFollowerSettings settings_;
  std::optional<Plan> plan_;
  std::size_t zone_index_ = 0;  // of this node's zone in it
  double made_at_ = 0, lease_end_ = 0;
};

}  // namespace nettlestand::zones
