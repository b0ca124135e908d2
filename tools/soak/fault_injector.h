// Injects faults and planned operations into the processes of a soak test: signals, restarts and changes of
// the list of servers, in series that overlap.
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

// What a run injects.
enum class Profile : std::uint8_t {
  kPlanned,  // SIGTERM, SIGHUP, configuration changes, draining servers: no request may be lost
  kAll  // also killed and stopped processes, and servers that are full, return errors and break connections
};

// Tells the oracle about unplanned faults, so that it knows when a lost response is excused.
class FaultInjector {
 public:
  FaultInjector(standins::TierWorld& world, Oracle& oracle, Profile profile, std::uint64_t seed);

  // Injects faults until `end`, then restores all processes and servers.
  void run(Millis end);
  // Waits until every process runs and is ready; reports a violation if that takes too long.
  void recover();

  std::size_t signals() const { return signals_; }

 private:
  void inject();
  void inject_unplanned();
  // Actions by the time at which they are due.
  using Schedule = std::multimap<Millis, std::function<void()>>;
  static void run_due(Schedule& schedule);
  // Checks exit codes and the termination grace period, and restarts processes that have ended.
  void check_processes();
  void terminate(std::size_t node);
  void reload(std::size_t node);
  void terminate_in_series();
  void kill(std::size_t node, Millis down);
  // SIGSTOP, then SIGCONT after `duration`.
  void pause(std::size_t node, Millis duration);
  void drain_server();
  void set_engine_mode(standins::EngineMode mode, Millis duration);
  // Another instance takes over a server's address; the list shows it later.
  void replace_server(Millis lag);
  // All servers refuse half of the requests and send each answer twice.
  void answer_twice(Millis duration);
  // Starts the next process of a node with a disk before the running one is killed.
  void start_too_early(std::size_t node, Millis overlap);
  void schedule_restart(std::size_t node, Millis at);
  std::size_t random_node() { return random_below(world_.nodes()); }
  std::uint64_t random_below(std::uint64_t bound) { return random_() % bound; }

  standins::TierWorld& world_;
  Oracle& oracle_;
  Profile profile_;
  std::mt19937_64 random_;
  Schedule scheduled_faults_;                  // pending faults of a series
  Schedule scheduled_recoveries_;              // pending actions that end a fault
  std::map<std::size_t, Millis> terminating_;  // nodes that received SIGTERM, and when
  std::size_t signals_ = 0, replaced_servers_ = 0;
};

}  // namespace nettlestand::tier::soak
