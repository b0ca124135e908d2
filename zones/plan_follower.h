// How one node applies plans: it follows the newest one, and without a valid plan falls back to a rule that
// is safe whatever the other nodes do. No I/O, no clock.
//   - A plan is newer if its token is later, or if the token is the same and its epoch is later. Older ones
//     are never accepted.
//   - A plan is followed for its lease, counted from when it was made as far as that is known.
//   - Without a valid plan, demand stays in its own zone. Only the part that fails there is sent away, within
//     this zone's part of the capacity that each target was last known to have, and that part halves over
//     time. Demand bound to a zone or region stays there. A node that never had a plan sends nothing away.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "zones/planner.h"

namespace nettlestand::zones {

struct PlanFollowerSettings {
  std::string zone;               // of this node
  std::vector<Affinity> classes;  // as in PlannerSettings
  // Seconds without a valid plan in which the fallback limits halve.
  double fallback_half_life = 10;
};

// The fractions of this node's demand of each class that go to each zone; the remainder to 1 is refused. All
// nodes of a zone use the same fractions, each on its own demand.
struct TrafficSplit {
  std::vector<std::string> zones;
  std::vector<std::vector<double>> fractions;  // [class][zone], 0 to 1
  bool from_plan = false;
};

// Keeps the newest plan and splits this node's demand by it.
class PlanFollower {
 public:
  // Throws std::invalid_argument for unusable settings.
  explicit PlanFollower(PlanFollowerSettings settings);

  // Returns whether the plan was accepted. `age`: at least so many seconds have passed since it was made;
  // whatever transports plans adds up how long each hop kept it. A malformed plan is rejected and changes
  // nothing.
  bool offer(const Plan& plan, double age, double now);

  // The plan in force, if there is one.
  const Plan* plan(double now) const;
  // The age of the last plan, to be handed on with it.
  double age(double now) const { return now - made_at_; }
  // When split() next changes by itself: at the end of the lease; infinite without a plan.
  double lease_end() const { return plan_ ? lease_end_ : std::numeric_limits<double>::infinity(); }

  // `local_fraction`: the part of this zone's demand that its own servers can take as seen by this node, 0 to
  // 1; used only without a valid plan. `growth`: this node's demand as a multiple of its demand when the last
  // plan was made; what is sent to other zones does not grow with it. `distance`: ms, by zone of the last
  // plan; without a valid plan the nearest target is used first.
  TrafficSplit split(double local_fraction, double growth, const std::vector<double>& distance,
                     double now) const;

 private:
  void split_by_plan(double growth, TrafficSplit& out) const;
  void split_by_fallback(double local_fraction, double growth, const std::vector<double>& distance,
                         double now, TrafficSplit& out) const;
  Load demand(std::size_t c) const;

  PlanFollowerSettings settings_;
  std::optional<Plan> plan_;
  std::size_t zone_index_ = 0;  // of this node's zone in the plan
  double made_at_ = 0, lease_end_ = 0;
};

}  // namespace nettlestand::zones
