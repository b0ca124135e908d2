// What befalls the processes of a soak: signals, restarts and changes of the configuration, in series that
// overlap.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "soak/ledger.h"
#include "standins/tier/tier_world.h"

namespace nettlestand::tier::soak {

enum class Profile : std::uint8_t {
  kPlanned,  // SIGTERM, SIGHUP, changes, servers that leave: nothing may be lost
  kAll       // kills, processes that stand still, servers that are full, fail and break off too
};

class Disturbances {
 public:
  Disturbances(standins::TierWorld& world, Ledger& ledger, Profile profile, std::uint64_t seed);

  // Strikes until `end`, then brings all processes and servers back.
  void run(Millis end);
  // Sees to it that every process runs and none has ended by itself.
  void recover();

  std::size_t signals() const { return signals_; }

 private:
  void strike();
  void strike_unplanned();
  using Schedule = std::multimap<Millis, std::function<void()>>;
  static void act_on_due(Schedule& schedule);
  void watch_processes();
  void terminate(std::size_t node);
  void reload(std::size_t node);
  void terminate_series();
  void kill(std::size_t node, Millis down);
  void stand_still(std::size_t node, Millis time);
  void drain_server();
  void set_engine(standins::EngineMode mode, Millis time);
  void restart_later(std::size_t node, Millis at);
  std::size_t any_node() { return below(world_.nodes()); }
  std::uint64_t below(std::uint64_t bound) { return random_() % bound; }

  standins::TierWorld& world_;
  Ledger& ledger_;
  Profile profile_;
  std::mt19937_64 random_;
  Schedule strikes_;                      // what is still to come of series
  Schedule returns_;                      // what ends a trouble
  std::map<std::size_t, Millis> ending_;  // nodes that were told to end, since when
  std::size_t signals_ = 0;
};

}  // namespace nettlestand::tier::soak
