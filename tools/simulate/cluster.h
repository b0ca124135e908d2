// A whole serving tier in simulated time, on one thread: the shipped code of every process, with clock, links
// and disks handed in.
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

enum class MachineKind : std::uint8_t { kCore, kEdge, kStore };

// Faults outside the control code's own files, planted to show that the oracle sees them.
enum class InjectedFault : std::uint8_t {
  kNone,
  kAcknowledgeBeforeSync,  // a disk tells that a write is durable before it is
  kIdentitySurvivesWipe,   // an emptied disk keeps its identity, and may vote again
  kNoSyncOnStart,          // what a killed process wrote is shown and not synced
  kClockStopsWhileFrozen   // a node's clock stands still while it is frozen, so that leases last
};

struct ClusterOptions {
  std::uint64_t seed = 1;
  std::size_t core = 3, edges = 4, stores = 3;
  int tolerance = 1;
  bool large_configurations = false;  // some travel in several pieces
  bool small_job_journals = false;    // whose segments have to be given back while their jobs stay
  InjectedFault injected_fault = InjectedFault::kNone;
};

class Cluster {
 public:
  struct Machine {
    std::string name, address;  // "ip:port" for other nodes
    MachineKind kind = MachineKind::kEdge;
    std::unique_ptr<SimulatedDisk> disk;
    Settings settings{};
    std::uint64_t generation = 0;  // number of its present or last process
    bool running = false, removed = false;
    Millis frozen_until = 0;
    Millis unavailable_until = 0;  // counts as lost up to then
    Millis disk_idle_at = 0, disk_stalled_until = 0, disk_slow_until = 0;
    std::uint64_t disk_identity = 0;              // for kIdentitySurvivesWipe
    Millis clock_lag = 0;                         // for kClockStopsWhileFrozen
    std::vector<std::function<void()>> deferred;  // what came while it was frozen
  };

  Cluster(const ClusterOptions& options, History& history);
  ~Cluster();

  Scheduler& scheduler() { return scheduler_; }
  Millis now() const { return scheduler_.now(); }
  std::size_t size() const { return machines_.size(); }
  const Machine& machine(std::size_t i) const { return *machines_[i]; }
  bool is_responsive(std::size_t i) const;
  // Null while it is down.
  NodeCore* node(std::size_t i);
  std::vector<std::size_t> machines_of(MachineKind kind) const;  // that are not gone
  // The machine that leads the configuration's group by its lease, or size().
  std::size_t leader();
  std::uint64_t random(std::uint64_t below) { return random_() % below; }
  bool chance(double p) { return static_cast<double>(random_() >> 11) * 0x1.0p-53 < p; }

  // ---- faults
  void kill(std::size_t i, Millis down);
  void lose_power(std::size_t i, Millis down);
  void wipe(std::size_t i, Millis down);
  void freeze(std::size_t i, Millis span);
  void stall_disk(std::size_t i, Millis span);
  void slow_disk(std::size_t i, Millis span);
  void set_disk_full(std::size_t i, bool full);
  bool corrupt_disk(std::size_t i);
  // Takes a machine away for good.
  void remove(std::size_t i);
  // Adds an empty machine; its index.
  std::size_t add(MachineKind kind);
  void cut(std::size_t from, std::size_t to) { cuts_.insert({from, to}); }
  void heal_cuts() { cuts_.clear(); }
  void set_lossy(bool lossy) { lossy_ = lossy; }
  // Some messages come late, behind newer ones: as of a connection that another one has replaced.
  void set_reordering(bool late) { reordering_ = late; }
  // Writes a fault to the log.
  void log_fault(const char* what, std::size_t i, Millis span) const;
  void mark_unavailable(std::size_t i, Millis until);
  // Machines with a disk that count as lost now.
  std::size_t unavailable_count() const;
  // Whether one more of them may be lost for good without going beyond what has to be borne.
  bool can_tolerate_loss(std::size_t i) const;

  // ---- calls from outside
  using OperatorCallback = std::function<void(std::uint32_t status, const std::string& body)>;
  void call_operator(std::size_t at, OperatorCall call, OperatorCallback done);
  using JobCallback = std::function<void(const JobReply&)>;
  // Passes a call on batch jobs to the primary that a node knows of; false where it knows none.
  bool call_store(std::size_t at, JobCall call, JobCallback done);

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
  std::vector<std::string> current_seeds();
  void stop(std::size_t i, Millis down);
  void tick(std::size_t i, std::uint64_t generation);
  void corrupt_configuration(std::string& message);
  void deliver(std::size_t from, std::size_t to, Millis sent, std::string message);
  // Runs something of a process's life now, or once the machine thaws; never in another life.
  void run_in_process(std::size_t i, std::uint64_t generation, const std::function<void()>& run);
  Millis local_time(std::size_t i) const;
  NodeCore::Disks open_disks(std::size_t i);
  NodeCore::Identity make_identity(std::size_t i);
  void apply_unsynced_writes(std::size_t i);
  void check_invariants();
  void check_leases();
  void check_node_version(std::size_t i);
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
  std::vector<std::uint64_t> last_sequence_;  // of each machine's present life
  bool lossy_ = false, reordering_ = false, initial_machines_added_ = false;
};

}  // namespace nettlestand::tier::simulate
