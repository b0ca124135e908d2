// How much of each zone's demand goes to which zone: the plan that one decides for all. No I/O, no clock:
// facts and a time in, a plan out. What a node does with one, or without one, is in follower.h.
//   - Near first: a zone serves its own demand as far as it can, and what is held to it before the rest. No
//   demand
//     leaves its zone to make room for another's.
//   - Only what is over moves, the shortest way, to zones with room beside their own demand.
//   - Nobody is sent more than it can take at that moment, less head-room; and its part of moved traffic
//   grows by
//     so much a second at most. It shrinks at once where the room does.
//   - Capacity that is lost counts at once; what comes back counts after a hold, which doubles with each
//   relapse,
//     and then step by step. Until then others go on serving what it lost. Own demand that nobody else can
//     take is not refused for that: it may use all that is really there.
//   - What is left over is refused where it came from.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace nettlestand::zones {

// Thousandths of a call a second, of mean cost. Whole numbers, so that demand is kept or refused to the last
// one.
using Load = std::int64_t;

inline constexpr double kUnreachable = std::numeric_limits<double>::infinity();

// How far a class of requests may be moved.
enum class Affinity { kNone, kRegion, kZone };

struct ZoneInput {
  std::string zone, region;
  Load capacity = 0;         // what it can take now, starting servers by their ramp
  double available = 1;      // of that, what may be used: under 1 while it is drained by hand, 0 once it is
  std::vector<Load> demand;  // by class: what clients ask for there
};

struct PlanInput {
  double now = 0;                             // s; never before that of the last decision
  std::vector<ZoneInput> zones;               // named once each; the order is free
  std::vector<std::vector<double>> distance;  // [from][to], ms; kUnreached where nothing gets through
};

struct PlannerSettings {
  std::vector<Affinity> classes;  // by class
  double headroom = 0.1;          // of a zone's capacity: moved traffic leaves so much free
  double max_move_rate = 0.5;     // of a zone's capacity: by so much a second may moved traffic to it grow
  double recovery_rate = 0.2;     // of a zone's capacity: by so much a second does it count again
  double recovery_hold = 5;  // s for which nothing more may be lost before that begins; doubled with each
  double max_recovery_hold = 300;   // relapse, s at the most
  double relapse_memory = 600;      // s without a relapse after which it is `hold` again
  double relapse_threshold = 0.25;  // of the capacity that counts: less than that lost at once is no relapse
};

struct Plan {
  std::uint64_t token = 0, epoch = 0;                // who decides, and its how many-th plan: both only grow
  double lease = 0;                                  // s for which it may be followed
  std::vector<std::string> zones, regions;           // the region of each zone
  std::vector<std::vector<std::vector<Load>>> load;  // [from][class][to]
  std::vector<std::vector<Load>> refused;            // [from][class]
  // [from][to]: what `from` may send there by its own decision once it has no plan. However many zones do so,
  // together they stay within the target's room.
  std::vector<std::vector<Load>> fallback_limits;
  std::vector<std::string>
      explanations;  // a line for each zone whose demand is moved or refused, or that is held back
};

// Decides one plan after another; what it remembers of the last ones is what makes it steady.
class Planner {
 public:
  // Throws std::invalid_argument for settings that can't be used.
  explicit Planner(PlannerSettings settings);

  // Throws std::invalid_argument for facts that can't be so, and then remembers nothing of them. `token`,
  // `epoch` and `lease` are for the caller to set.
  Plan make_plan(const PlanInput& input);

 private:
  struct Recovery {
    Load trusted = 0;                                               // of its capacity
    double seen_at = 0;                                             // s; told of last
    double better_since = std::numeric_limits<double>::infinity();  // s; has had more than counts since
    double relapsed_at = -std::numeric_limits<double>::infinity();
    double hold = 0;
    bool recovered = true;  // since its last relapse
  };
  using Move = std::tuple<std::string, Affinity, std::string>;  // from, what may move, to

  void check(const PlanInput& input) const;
  Load trusted_capacity(const std::string& zone, Load capacity, double now, double step);

  PlannerSettings settings_;
  std::map<std::string, Recovery> recovery_;
  std::map<std::string, Load> moved_to_;
  std::map<Move, Load> moved_;
  double planned_at_ = -std::numeric_limits<double>::infinity();
};

// What of `demand` is let in where only `room` can be: nobody gets more than it asks for, and who asks for
// more than its part of the room by `shares` (0: none) gets no more than others in proportion. Sums up to the
// room, or to all of the demand.
std::vector<Load> max_min_fair_shares(const std::vector<Load>& demand, const std::vector<double>& shares,
                                      Load capacity);

}  // namespace nettlestand::zones
