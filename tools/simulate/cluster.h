// A complete serving tier in simulated time on one thread. It runs the production code of every process, with
// simulated clocks, links and disks.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "node/node_core.h"
#include "simulate/history.h"
#include "simulate/scheduler.h"
#include "simulate/simulated_disk.h"

namespace nettlestand::tier::simulate {

// Core machines replicate the control state, edge machines have no disk, stores keep batch jobs.
enum class MachineKind : std::uint8_t { kCore, kEdge, kStore };

// Bugs that are injected into the simulated environment to show that the checks find them. Bugs in the
// production code are injected by separate builds of the tests.
enum class InjectedFault : std::uint8_t {
  kNone,
  kAcknowledgeBeforeSync,  // a disk reports a write as durable before it is synced
  kIdentitySurvivesWipe,   // an emptied disk keeps its identity, so that its replica may vote again
  kNoSyncOnStart,          // on start, unsynced writes of a killed process are read but not synced
  kClockStopsWhileFrozen   // the clock of a frozen node stops, so that its leases don't expire
};

// `tolerance`: number of machines with a disk that may be lost at the same time.
struct ClusterOptions {
  std::uint64_t seed = 1;
  std::size_t core = 3, edges = 4, stores = 3;
  int tolerance = 1;
  bool large_configurations = false;  // some configurations are transferred in several chunks
  // Journals so small that segments have to be released while their jobs are still open.
  bool small_job_journals = false;
  InjectedFault injected_fault = InjectedFault::kNone;
};

// Machines with their disks, links and processes, the faults that can be injected, and the invariants that
// are checked at all times.
class Cluster {
 public:
  struct Machine {
    std::string name, address;  // "ip:port" as seen by other nodes
    MachineKind kind = MachineKind::kEdge;
    std::unique_ptr<SimulatedDisk> disk;
    Settings settings{};
    std::uint64_t generation = 0;  // number of the current or last process
    bool running = false, removed = false;
    Millis frozen_until = 0;
    Millis unavailable_until = 0;  // counts as unavailable until then
    Millis disk_idle_at = 0, disk_stalled_until = 0, disk_slow_until = 0;
    std::uint64_t disk_identity = 0;              // for kIdentitySurvivesWipe
    Millis clock_lag = 0;                         // for kClockStopsWhileFrozen
    std::vector<std::function<void()>> deferred;  // events that arrived while the machine was frozen
  };

  Cluster(const ClusterOptions& options, History& history);
  ~Cluster();

  Scheduler& scheduler() { return scheduler_; }
  Millis now() const { return scheduler_.now(); }
  std::size_t size() const { return machines_.size(); }
  const Machine& machine(std::size_t i) const { return *machines_[i]; }
  // Whether the process runs and is not frozen.
  bool is_responsive(std::size_t i) const;
  // Null while the machine is down.
  NodeCore* node(std::size_t i);
  std::vector<std::size_t> machines_of(MachineKind kind) const;  // without removed machines
  // The machine that holds the leader lease of the configuration group; size() if there is none.
  std::size_t leader();
  std::uint64_t random(std::uint64_t below) { return random_() % below; }
  bool chance(double p) { return static_cast<double>(random_() >> 11) * 0x1.0p-53 < p; }

  // ---- faults
  // Kills the process; it restarts after `downtime`.
  void kill(std::size_t i, Millis downtime);
  void lose_power(std::size_t i, Millis downtime);
  // Kills the process and empties its disk.
  void wipe(std::size_t i, Millis downtime);
  // Suspends the process as SIGSTOP does; events wait until it resumes.
  void freeze(std::size_t i, Millis duration);
  void stall_disk(std::size_t i, Millis duration);
  void slow_disk(std::size_t i, Millis duration);
  void set_disk_full(std::size_t i, bool full);
  bool corrupt_disk(std::size_t i);
  // Removes a machine for good.
  void remove(std::size_t i);
  // Adds an empty machine and returns its index.
  std::size_t add(MachineKind kind);
  void cut(std::size_t from, std::size_t to) { cuts_.insert({from, to}); }
  void heal_cuts() { cuts_.clear(); }
  // While set, links delay some messages and corrupt some chunks of configurations.
  void set_lossy(bool lossy) { lossy_ = lossy; }
  // While set, some messages are delivered after newer ones, as on a connection that was replaced by another.
  void set_reordering(bool reordering) { reordering_ = reordering; }
  // Logs a fault.
  void log_fault(const char* what, std::size_t i, Millis duration) const;
  // Counts a machine as unavailable until `until` and some time for it to catch up.
  void mark_unavailable(std::size_t i, Millis until);
  // Number of machines with a disk that count as unavailable now.
  std::size_t unavailable_count() const;
  // Whether the tier has to tolerate the permanent loss of this machine in addition to those that are
  // unavailable.
  bool can_tolerate_loss(std::size_t i) const;

  // ---- calls from outside
  using OperatorCallback = std::function<void(std::uint32_t status, const std::string& body)>;
  void call_operator(std::size_t machine, OperatorCall call, OperatorCallback done);
  using JobCallback = std::function<void(const JobReply&)>;
  // Sends a batch job call to the primary that the node knows. Returns false if it knows none.
  bool call_store(std::size_t machine, JobCall call, JobCallback done);

 private:
  class SimulatedLink;
  class SimulatedDiskQueue;
  class SimulatedServerList;
  class SimulatedItemRunner;

  struct Process {
    std::unique_ptr<SimulatedLink> messenger;
    std::unique_ptr<NodeCore> core;
  };

  void start(std::size_t i);
  // Seed addresses for a settings file that is written now.
  std::vector<std::string> current_seeds();
  void stop(std::size_t i, Millis downtime);
  void tick(std::size_t i, std::uint64_t generation);
  void corrupt_configuration(std::string& message);
  void deliver(std::size_t from, std::size_t to, Millis sent, std::string message);
  // Runs an event of a process now, or once a frozen machine resumes. Drops it if the process has been
  // restarted.
  void run_in_process(std::size_t i, std::uint64_t generation, const std::function<void()>& run);
  // Time of the steady clock of a machine.
  Millis local_time(std::size_t i) const;
  NodeCore::Disks open_disks(std::size_t i);
  NodeCore::Identity make_identity(std::size_t i);
  // Applies some pending writes of a killed process without syncing them.
  void apply_unsynced_writes(std::size_t i);
  void check_invariants();
  void check_leases();
  void check_node_version(std::size_t i);
  // size() if no machine has the address.
  std::size_t index_of(const std::string& address) const;

  ClusterOptions options_;
  History& history_;
  std::mt19937_64 random_;
  Scheduler scheduler_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::vector<Process> processes_;
  std::map<std::string, std::size_t> index_by_address_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::map<std::pair<std::size_t, std::size_t>, Millis> link_idle_at_;
  std::vector<std::string> seeds_;
  std::map<std::uint64_t, JobCallback> job_calls_;
  std::uint64_t last_job_call_ = 0, run_count_ = 0;
  std::vector<std::uint64_t> last_sequence_;  // newest configuration seen in each machine's current process
  bool lossy_ = false, reordering_ = false, initial_machines_added_ = false;
};

}  // namespace nettlestand::tier::simulate
