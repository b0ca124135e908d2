// Decides for all nodes how much of each zone's demand goes to which zone. No I/O, no clock: takes the state
// of the zones and the time, returns a plan. plan_follower.h applies plans on a node.
//   - A zone serves its own demand first as far as it can, and of that first what is bound to it. No demand
//     leaves its zone to make capacity for that of another zone.
//   - Only the excess moves, over the shortest distance, to zones with capacity beyond their own demand.
//   - No zone is sent more than it can take at that moment, less headroom; traffic moved to a zone grows at a
//     bounded rate, and shrinks at once when the capacity does.
//   - Lost capacity counts as lost at once. Capacity that comes back counts after a hold time, which doubles
//     with each relapse, and then gradually; until then other zones go on serving the moved demand. A zone's
//     own demand that nobody else can take is not refused because of that: it may use all capacity that is
//     really there.
//   - The remaining demand is refused in the zone where it arises.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace nettlestand::zones {

// Thousandths of a call a second, of mean cost. Integers, so that no part of the demand is lost or invented
// by rounding.
using Load = std::int64_t;

// Distance to a zone that can't be reached.
inline constexpr double kUnreachable = std::numeric_limits<double>::infinity();

// How far a class of requests is bound to the place where it arises: not at all, to its region or to its
// zone.
enum class Affinity { kNone, kRegion, kZone };

// The state of one zone.
struct ZoneInput {
  std::string zone, region;
  Load capacity = 0;  // what it can take now; starting servers count by their ramp
  // Usable fraction of the capacity: below 1 while the zone is drained by an operator, 0 when it is drained.
  double available = 1;
  std::vector<Load> demand;  // by class: what clients ask for there
};

// The state of all zones at one time.
struct PlanInput {
  double now = 0;                             // s; never before the last plan's
  std::vector<ZoneInput> zones;               // each named once, in any order
  std::vector<std::vector<double>> distance;  // [from][to], ms; kUnreachable if nothing gets through
};

struct PlannerSettings {
  std::vector<Affinity> classes;  // of each class
  double headroom = 0.1;          // of a zone's capacity: kept free of moved traffic
  double max_move_rate = 0.5;     // of a zone's capacity, per second: growth of the traffic moved to it
  // Fraction of a zone's capacity that counts again per second while it recovers.
  double recovery_rate = 0.2;
  // Seconds without a further loss before that begins. Doubles with each relapse.
  double recovery_hold = 5;
  double max_recovery_hold = 300;  // s; limit of the doubled hold
  double relapse_memory = 600;     // s without a relapse after which the hold is recovery_hold again
  // Fraction of the trusted capacity; a smaller loss at once is no relapse.
  double relapse_threshold = 0.25;
};

// How much of each zone's demand goes to which zone.
struct Plan {
  std::uint64_t token = 0, epoch = 0;                // of the planner and its plan; both only grow
  double lease = 0;                                  // s for which the plan may be followed
  std::vector<std::string> zones, regions;           // the region of each zone
  std::vector<std::vector<std::vector<Load>>> load;  // [from][class][to]
  std::vector<std::vector<Load>> refused;            // [from][class]
  // [from][to]: what `from` may send there on its own decision when its plan has expired. Even if all zones
  // do so, they stay within the target's spare capacity together.
  std::vector<std::vector<Load>> fallback_limits;
  // A line for each zone whose demand is moved or refused, or that is not fully trusted.
  std::vector<std::string> explanations;
};

// Makes one plan after another; the state it keeps between them is what makes the plans stable.
class Planner {
 public:
  // Throws std::invalid_argument for unusable settings.
  explicit Planner(PlannerSettings settings);

  // Throws std::invalid_argument for invalid input, and then keeps nothing of it. The caller sets `token`,
  // `epoch` and `lease`.
  Plan make_plan(const PlanInput& input);

 private:
  // How far a zone's capacity is trusted.
  struct Recovery {
    Load trusted = 0;    // capacity that counts
    double seen_at = 0;  // s; last time that the zone was in the input
    // s; capacity has exceeded `trusted` since then
    double better_since = std::numeric_limits<double>::infinity();
    double relapsed_at = -std::numeric_limits<double>::infinity();
    double hold = 0;
    bool recovered = true;  // has begun to recover since its last relapse
  };
  using Move = std::tuple<std::string, Affinity, std::string>;  // from, affinity of the moved demand, to

  void check(const PlanInput& input) const;
  // The capacity that counts, `step` seconds after the last plan.
  Load trusted_capacity(const std::string& zone, Load capacity, double now, double step);

  PlannerSettings settings_;
  std::map<std::string, Recovery> recovery_;
  std::map<std::string, Load> moved_to_;
  std::map<Move, Load> moved_;
  double planned_at_ = -std::numeric_limits<double>::infinity();
};

// Divides `capacity` among tenants by their demand: nobody gets more than its demand, and a tenant whose
// demand exceeds its part of the capacity by `shares` (0: no share) gets no more than others in proportion.
// The result adds up to the capacity, or to the whole demand if that is less.
std::vector<Load> max_min_fair_shares(const std::vector<Load>& demand, const std::vector<double>& shares,
                                      Load capacity);

}  // namespace nettlestand::zones
