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

#include "soak/oracle.h"
#include "standins/tier/tier_world.h"

namespace nettlestand::tier::soak {

enum class Profile : std::uint8_t {
  kPlanned,  // SIGTERM, SIGHUP, changes, servers that leave: nothing may be lost
  kAll       // kills, processes that stand still, servers that are full, fail and break off too
};

class FaultInjector {
 public:
  FaultInjector(standins::TierWorld& world, Oracle& oracle, Profile profile, std::uint64_t seed);

  // Strikes until `end`, then brings all processes and servers back.
  void run(Millis end);
  // Sees to it that every process runs and none has ended by itself.
  void recover();

  std::size_t signals() const { return signals_; }

 private:
  void inject();
  void inject_unplanned();
  using Schedule = std::multimap<Millis, std::function<void()>>;
  static void run_due(Schedule& schedule);
  void check_processes();
  void terminate(std::size_t node);
  void reload(std::size_t node);
  void terminate_in_series();
  void kill(std::size_t node, Millis down);
  void pause(std::size_t node, Millis duration);
  void drain_server();
  void set_engine_mode(standins::EngineMode mode, Millis duration);
  void schedule_restart(std::size_t node, Millis at);
  std::size_t random_node() { return random_below(world_.nodes()); }
  std::uint64_t random_below(std::uint64_t bound) { return random_() % bound; }

  standins::TierWorld& world_;
  Oracle& oracle_;
  Profile profile_;
  std::mt19937_64 random_;
  Schedule scheduled_faults_;                  // what is still to come of series
  Schedule scheduled_recoveries_;              // what ends a trouble
  std::map<std::size_t, Millis> terminating_;  // nodes that were told to end, since when
  std::size_t signals_ = 0;
};

}  // namespace nettlestand::tier::soak
