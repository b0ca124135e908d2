#include "simulate/scenario.h"

#include <algorithm>
#include <deque>
#include <memory>

#include "simulate/workload.h"

namespace nettlestand::tier::simulate {
namespace {

constexpr Millis kFaultsStartMs = 6000;  // the tier has formed; faults begin
constexpr Millis kFaultsEndMs = 40000;   // no new faults after this time
constexpr Millis kAllStartedMs = 300;    // all machines have started
constexpr Millis kFormingMs = 1700;      // after that, in which the groups are created
// Time to recover before the checks.
constexpr Millis kRecoveryMs = 12000;
// Limits for the checks: a change is acknowledged, all nodes apply it, all jobs are finished.
constexpr Millis kAcknowledgeTimeoutMs = 4000;
constexpr Millis kApplyTimeoutMs = 2000;
constexpr Millis kJobsTimeoutMs = 20000;
constexpr int kManyChanges = 150;  // more than a replica keeps in its log before it takes a snapshot
constexpr Millis kManyChangesIntervalMs = 30;
constexpr Millis kOverlapWindowMs = 3000;  // two faults injected within this time count as overlapping

// Runs the phases of a scenario: formation, faults, recovery and final checks.
class Scenario {
 public:
  Scenario(std::uint64_t seed, InjectedFault injected_fault)
      : loses_core_while_forming_(seed % 4 == 1),
        reorders_messages_(reorders_messages(seed)),
        cluster_(options(seed, injected_fault), history_),
        operators_(cluster_, history_, has_large_configurations(seed)),
        jobs_(cluster_, history_, has_small_job_journals(seed)) {}

  ScenarioResult run() {
    schedule_traffic();
    if (loses_core_while_forming_) {
      cluster_.scheduler().schedule_at(random_duration(kAllStartedMs, kFormingMs), [this] { lose_core(); });
    }
    cluster_.scheduler().run_until(1500);
    operators_.submit_changes();
    cluster_.scheduler().run_until(kFaultsStartMs);
    cluster_.set_reordering(reorders_messages_);
    inject_next_fault();
    advance_until(kFaultsEndMs);
    heal();
    advance_until(kFaultsEndMs + kRecoveryMs);
    check_recovered();
    result_.violation = history_.violation();
    result_.acknowledged_changes = history_.acknowledged_change_count();
    result_.results_read = history_.results();
    result_.longest_change_ms = static_cast<Millis>(operators_.longest_wait_ms());
    return std::move(result_);
  }

 private:
  static bool has_large_configurations(std::uint64_t seed) { return seed % 4 == 3; }
  // Scenarios whose faults hit only the stores, while messages are reordered all the time.
  static bool reorders_messages(std::uint64_t seed) { return seed % 5 == 2; }
  static bool has_small_job_journals(std::uint64_t seed) { return seed % 6 == 1; }
  static ClusterOptions options(std::uint64_t seed, InjectedFault injected_fault) {
    ClusterOptions out;
    out.seed = seed;
    out.injected_fault = injected_fault;
    out.large_configurations = has_large_configurations(seed);
    if (reorders_messages(seed)) out.stores = 4 + seed % 3;
    out.small_job_journals = has_small_job_journals(seed);
    out.core = seed % 5 == 0 ? 5 : seed % 7 == 0 ? 4 : 3;
    out.stores = seed % 5 == 0 ? 5 + seed % 3 : 3 + seed % 2;
    out.tolerance = seed % 5 == 0 ? 2 : 1;
    out.edges = 2 + seed % 4;
    return out;
  }

  // Advances the time until `end` or the first violation.
  void advance_until(Millis end) {
    while (cluster_.now() < end && history_.violation().empty())
      cluster_.scheduler().run_until(cluster_.now() + 100);
  }

  // ---- traffic
  void schedule_traffic() {
    schedule_periodically(700, 900, [this] { operators_.submit_changes(); });
    schedule_periodically(400, 500, [this] { operators_.read_configuration(); });
    schedule_periodically(300, 500, [this] { jobs_.submit(); });
    schedule_periodically(80, 120, [this] { jobs_.read_random_job(); });
    schedule_periodically(1500, 2500, [this] { jobs_.end_random_job(); });
  }
  // Runs `run` repeatedly, after random delays of `min_ms` to `min_ms + range_ms`.
  void schedule_periodically(Millis min_ms, Millis range_ms, std::function<void()> run) {
    cluster_.scheduler().schedule_after(
        min_ms + static_cast<Millis>(cluster_.random(static_cast<std::uint64_t>(range_ms))),
        [this, min_ms, range_ms, run] {
          if (traffic_enabled_) run();
          schedule_periodically(min_ms, range_ms, run);
        });
  }

  // ---- faults
  void inject_next_fault() {
    if (cluster_.now() >= kFaultsEndMs) return;
    const auto fault = static_cast<Fault>(cluster_.random(static_cast<std::uint64_t>(Fault::kCount)));
    if (inject(fault)) record_fault(fault);
    // Some faults come in quick succession, some leave time to recover.
    const Millis delay = cluster_.chance(0.4) ? static_cast<Millis>(cluster_.random(800))
                                              : 1000 + static_cast<Millis>(cluster_.random(7000));
    cluster_.scheduler().schedule_after(delay, [this] { inject_next_fault(); });
  }
  void record_fault(Fault fault) {
    ++result_.fault_counts[static_cast<std::size_t>(fault)];
    result_.fault_log.push_back(std::to_string(cluster_.now()) + " " + fault_name(fault));
    std::erase_if(recent_faults_,
                  [this](const auto& r) { return r.second + kOverlapWindowMs < cluster_.now(); });
    for (const auto& [other, injected_at] : recent_faults_)
      result_.overlapping_faults.emplace_back(other, fault);
    recent_faults_.emplace_back(fault, cluster_.now());
  }

  std::size_t random_machine_of(MachineKind kind) {
    const std::vector<std::size_t> all = cluster_.machines_of(kind);
    return all[cluster_.random(all.size())];
  }
  // A core or store machine: one that has a disk.
  std::size_t random_disk_machine() {
    const bool core = !reorders_messages_ && cluster_.chance(0.5);
    return random_machine_of(core ? MachineKind::kCore : MachineKind::kStore);
  }
  std::size_t random_machine() {
    const bool edge = !reorders_messages_ && cluster_.chance(0.3);
    return edge ? random_machine_of(MachineKind::kEdge) : random_disk_machine();
  }
  Millis random_duration(Millis min_ms, Millis range_ms) {
    return min_ms + static_cast<Millis>(cluster_.random(static_cast<std::uint64_t>(range_ms)));
  }

  // Returns false if the fault is not applicable at the moment.
  bool inject(Fault fault) {
    switch (fault) {
      case Fault::kKill:
        cluster_.kill(random_machine(), random_duration(100, 3000));
        return true;
      case Fault::kLosePower:
        cluster_.lose_power(random_machine(), random_duration(300, 4000));
        return true;
      case Fault::kWipe:
        return lose_if_tolerated(random_disk_machine(),
                                 [this](std::size_t i) { cluster_.wipe(i, random_duration(300, 3000)); });
      case Fault::kFreeze:
        cluster_.freeze(random_machine(), random_duration(200, 6000));
        return true;
      case Fault::kCutOff:
        cut_machine(random_machine(), true, true, random_duration(500, 20000));
        return true;
      case Fault::kCutOneWay:
        cut_machine(random_machine(), cluster_.chance(0.5), false, random_duration(500, 15000));
        return true;
      case Fault::kCutHalves:
        cut_halves(random_duration(500, 12000));
        return true;
      case Fault::kCutFromCore:
        cut_from_core(random_disk_machine(), random_duration(500, 20000));
        return true;
      case Fault::kKillCore:
        for (const std::size_t i : cluster_.machines_of(MachineKind::kCore))
          cluster_.kill(i, random_duration(100, 900));
        return true;
      case Fault::kPowerCore:
        for (const std::size_t i : cluster_.machines_of(MachineKind::kCore))
          cluster_.lose_power(i, random_duration(300, 2000));
        return true;
      case Fault::kPowerAll:
        lose_power_everywhere();
        return true;
      case Fault::kPowerAllAndWipe:
        return lose_if_tolerated(random_disk_machine(), [this](std::size_t i) {
          lose_power_everywhere();
          cluster_.wipe(i, random_duration(300, 2000));
        });
      default:
        return inject_other(fault);
    }
  }
  // The second part of inject().
  bool inject_other(Fault fault) {
    const std::size_t leader = cluster_.leader();
    const bool has_leader = leader < cluster_.size();
    switch (fault) {
      case Fault::kLeaderKilled:
        if (has_leader) operators_.submit_changes(2), cluster_.kill(leader, random_duration(100, 3000));
        return has_leader;
      case Fault::kLeaderPower:
        if (has_leader) {
          operators_.submit_changes();
          cluster_.scheduler().schedule_after(random_duration(0, 12), [this, leader] {
            cluster_.lose_power(leader, random_duration(300, 3000));
          });
        }
        return has_leader;
      case Fault::kLeaderWiped:
        return has_leader && lose_if_tolerated(leader, [this](std::size_t i) {
                 operators_.submit_changes();
                 cluster_.scheduler().run_until(cluster_.now());
                 cluster_.wipe(i, random_duration(300, 2500));
               });
      case Fault::kLeaderCut:
        if (has_leader) {
          cut_machine(leader, true, cluster_.chance(0.7), random_duration(2000, 20000));
          operators_.submit_changes(2);
        }
        return has_leader;
      case Fault::kReplace:
        return replace(random_disk_machine());
      case Fault::kReplaceOldest:
        return replace(oldest_machine(cluster_.chance(0.5) ? MachineKind::kCore : MachineKind::kStore));
      case Fault::kRetire:
        return retire(false);
      case Fault::kRetireAndWipe:
        return retire(true);
      case Fault::kAddStore:
        return add(MachineKind::kStore, 8);
      case Fault::kAddCore:
        return add(MachineKind::kCore, 9);
      case Fault::kDiskStall:
        cluster_.stall_disk(random_disk_machine(), random_duration(500, 4500));
        return true;
      case Fault::kDiskSlow:
        cluster_.slow_disk(random_disk_machine(), random_duration(1000, 6000));
        return true;
      case Fault::kDiskFull:
        fill_disk(random_disk_machine(), random_duration(500, 5000));
        return true;
      case Fault::kDiskRot:
        // A corrupted disk counts as a lost one.
        return lose_if_tolerated(random_disk_machine(), [this](std::size_t i) {
          cluster_.corrupt_disk(i);
          cluster_.kill(i, random_duration(100, 1500));
        });
      case Fault::kLossy:
        cluster_.set_lossy(true);
        cluster_.scheduler().schedule_after(random_duration(1000, 6000),
                                            [this] { cluster_.set_lossy(false); });
        return true;
      case Fault::kManyChanges:
        for (int i = 0; i < kManyChanges; ++i) {
          cluster_.scheduler().schedule_after(i * kManyChangesIntervalMs, [this] {
            if (traffic_enabled_) operators_.submit_changes();
          });
        }
        return true;
      case Fault::kLate:
        cluster_.set_reordering(true);
        cluster_.scheduler().schedule_after(random_duration(1000, 6000), [this] {
          cluster_.set_reordering(reorders_messages_ && cluster_.now() < kFaultsEndMs);
        });
        return true;
      case Fault::kStoresInTurn:
        take_stores_down_in_turn();
        return true;
      case Fault::kRace:
        operators_.submit_changes(2 + cluster_.random(3));
        return true;
      default:
        return false;
    }
  }

  // Kills all core machines at the same moment, or takes their power.
  void lose_core() {
    const bool power = cluster_.chance(0.5);
    result_.fault_log.push_back(std::to_string(cluster_.now()) +
                                (power ? " power_forming" : " kill_forming"));
    for (const std::size_t i : cluster_.machines_of(MachineKind::kCore)) {
      const Millis downtime = random_duration(100, 900);
      power ? cluster_.lose_power(i, downtime) : cluster_.kill(i, downtime);
    }
  }
  // Applies a fault that loses a disk if the tier has to tolerate the loss of one more.
  template <class Lose>
  bool lose_if_tolerated(std::size_t i, Lose lose) {
    if (!cluster_.can_tolerate_loss(i)) return false;
    lose(i);
    return true;
  }
  void lose_power_everywhere() {
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      if (!cluster_.machine(i).removed) cluster_.lose_power(i, random_duration(300, 1500));
    }
  }
  // Cuts the messages from (`out`) and to (`in`) a machine.
  void cut_machine(std::size_t i, bool out, bool in, Millis duration) {
    for (std::size_t j = 0; j < cluster_.size(); ++j) {
      if (out || !in) cluster_.cut(i, j);
      if (in || !out) cluster_.cut(j, i);
    }
    schedule_heal(duration, {i});
  }
  // Exceeds the fault tolerance for a while, but no disk is lost: the tier may be unavailable, but it must
  // not lose data.
  void take_stores_down_in_turn() {
    const std::size_t alone = random_machine_of(MachineKind::kStore);
    const Millis duration = random_duration(2500, 2000);
    for (const std::size_t i : cluster_.machines_of(MachineKind::kStore)) {
      if (i != alone) cut_machine(i, true, true, duration);
    }
    cluster_.scheduler().schedule_after(duration, [this, alone] {
      if (!cluster_.machine(alone).removed) cluster_.kill(alone, random_duration(1500, 3000));
    });
  }
  void cut_from_core(std::size_t i, Millis duration) {
    for (const std::size_t j : cluster_.machines_of(MachineKind::kCore)) {
      cluster_.cut(i, j);
      cluster_.cut(j, i);
    }
    schedule_heal(duration, {i});
  }
  void cut_halves(Millis duration) {
    std::vector<std::size_t> core = cluster_.machines_of(MachineKind::kCore);
    const std::size_t half = core.size() / 2;
    for (std::size_t a = 0; a < half; ++a) {
      for (std::size_t b = half; b < core.size(); ++b) {
        cluster_.cut(core[a], core[b]);
        cluster_.cut(core[b], core[a]);
      }
    }
    schedule_heal(duration, core);
  }
  // All cuts heal together, so overlapping cuts end with the first of them, or start again.
  void schedule_heal(Millis duration, const std::vector<std::size_t>& cut) {
    for (const std::size_t i : cut) cluster_.mark_unavailable(i, cluster_.now() + duration);
    if (!cut.empty()) cluster_.log_fault("cut", cut.front(), duration);
    cluster_.scheduler().schedule_after(duration, [this] { cluster_.heal_cuts(); });
  }
  // The machine of a kind that was added first.
  std::size_t oldest_machine(MachineKind kind) {
    std::size_t out = random_machine_of(kind);
    for (const std::size_t i : cluster_.machines_of(kind)) out = std::min(out, i);
    return out;
  }
  // Removes a machine and adds an empty one of the same kind after a delay.
  bool replace(std::size_t i) {
    return lose_if_tolerated(i, [this](std::size_t removed) {
      const MachineKind kind = cluster_.machine(removed).kind;
      cluster_.remove(removed);
      const Millis delay = random_duration(200, 2000);
      cluster_.mark_unavailable(removed, cluster_.now() + delay);
      cluster_.scheduler().schedule_after(delay, [this, kind] { cluster_.add(kind); });
    });
  }
  // Retires a store, then removes it.
  bool retire(bool then_wipe) {
    const std::vector<std::size_t> stores = cluster_.machines_of(MachineKind::kStore);
    if (stores.size() < 4) return false;
    const std::size_t store = stores[cluster_.random(stores.size())];
    // `done` is called from within a node, which must not be destroyed there.
    operators_.retire(store, [this, store, then_wipe] {
      cluster_.scheduler().schedule_after(1, [this, store, then_wipe] { remove_store(store, then_wipe); });
    });
    return true;
  }
  void remove_store(std::size_t store, bool then_wipe) {
    if (cluster_.machine(store).removed) return;
    cluster_.remove(store);
    if (then_wipe) inject(Fault::kWipe);
  }
  bool add(MachineKind kind, std::size_t max_machines) {
    if (cluster_.machines_of(kind).size() >= max_machines) return false;
    cluster_.add(kind);
    return true;
  }
  void fill_disk(std::size_t i, Millis duration) {
    cluster_.set_disk_full(i, true);
    cluster_.mark_unavailable(i, cluster_.now() + duration);
    cluster_.scheduler().schedule_after(duration, [this, i] { cluster_.set_disk_full(i, false); });
  }

  // ---- the end
  void heal() {
    cluster_.heal_cuts();
    cluster_.set_lossy(false);
    cluster_.set_reordering(false);
    for (std::size_t i = 0; i < cluster_.size(); ++i) cluster_.set_disk_full(i, false);
  }
  // Whether every machine runs again. Some faults last beyond the end of the fault phase.
  bool all_running() {
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      const Cluster::Machine& machine = cluster_.machine(i);
      if (machine.removed) continue;
      if (!cluster_.is_responsive(i) || cluster_.now() < machine.disk_stalled_until) return false;
    }
    return true;
  }
  void check_recovered() {
    const Millis until = cluster_.now() + 8000;
    while (!all_running() && cluster_.now() < until && history_.violation().empty())
      advance_until(cluster_.now() + 100);
    heal();
    advance_until(cluster_.now() + kRecoveryMs);
    if (!history_.violation().empty()) return;
    operators_.stop_losing_replies();
    if (!change_is_acknowledged())
      history_.report_violation("no change is acknowledged after the faults have ended");
    traffic_enabled_ = false;
    advance_until(cluster_.now() + kApplyTimeoutMs + 1000);
    check_nodes();
    check_jobs();
    check_last_read();
  }
  // Whether a change is acknowledged in time. A change that another operator's change overtakes is followed
  // by another attempt.
  bool change_is_acknowledged() {
    for (int attempts = 0; attempts < 5; ++attempts) {
      operators_.read_configuration();
      advance_until(cluster_.now() + 500);
      const ChangeId change = operators_.submit_change();
      const Millis until = cluster_.now() + kAcknowledgeTimeoutMs;
      while (cluster_.now() < until && history_.violation().empty()) {
        if (operators_.was_acknowledged(change)) return true;
        if (operators_.was_rejected(change)) break;
        advance_until(cluster_.now() + 50);
      }
      if (cluster_.now() >= until) return false;
    }
    return false;
  }
  void check_nodes() {
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      if (!cluster_.is_responsive(i)) continue;
      const ControlClient& control_client = cluster_.node(i)->control_client();
      if (control_client.state().generation() < history_.newest_acknowledged())
        return history_.report_violation(
            "a node does not have the newest configuration after the faults have ended: " +
            cluster_.machine(i).name);
    }
  }
  void check_jobs() {
    const Millis until = cluster_.now() + kJobsTimeoutMs;
    while (!history_.unfinished_jobs().empty() && cluster_.now() < until && history_.violation().empty()) {
      for (const std::string& job : history_.unfinished_jobs()) jobs_.read(job);
      advance_until(cluster_.now() + 300);
    }
    const std::vector<std::string> open = history_.unfinished_jobs();
    if (!open.empty() && history_.violation().empty())
      history_.report_violation("a job does not finish after the faults have ended: " + open.front());
    for (const std::string& job : history_.accepted_jobs()) jobs_.read(job);
    advance_until(cluster_.now() + 500);
  }
  void check_last_read() {
    if (!history_.violation().empty()) return;
    bool answered = false;
    OperatorCall call{};
    call.method = "GET";
    call.path = "/nettlestand/config/read";
    const Millis started = cluster_.now();
    cluster_.call_operator(random_machine_of(MachineKind::kCore), call,
                           [this, &answered, started](std::uint32_t status, const std::string& body) {
                             answered = status == 200;
                             if (!answered) return;
                             history_.on_read(started, cluster_.now(), body);
                             history_.check_final(body);
                           });
    advance_until(cluster_.now() + 3000);
    if (!answered) history_.report_violation("the configuration can't be read after the faults have ended");
  }

  bool loses_core_while_forming_;
  bool reorders_messages_;
  History history_;
  Cluster cluster_;
  Operators operators_;
  JobClients jobs_;
  ScenarioResult result_;
  std::deque<std::pair<Fault, Millis>> recent_faults_;
  bool traffic_enabled_ = true;
};

}  // namespace

const char* fault_name(Fault fault) {
  static const char* const kNames[] = {
      "kill",          "lose_power",      "wipe",         "freeze",       "cut_off",    "cut_one_way",
      "cut_halves",    "cut_from_core",   "kill_core",    "power_core",   "power_all",  "power_all_and_wipe",
      "leader_killed", "leader_power",    "leader_wiped", "leader_cut",   "replace",    "replace_oldest",
      "retire",        "retire_and_wipe", "add_store",    "add_core",     "disk_stall", "disk_slow",
      "disk_full",     "disk_rot",        "lossy",        "many_changes", "race",       "stores_in_turn",
      "late"};
  return kNames[static_cast<std::size_t>(fault)];
}

ScenarioResult run_scenario(std::uint64_t seed, InjectedFault injected_fault) {
  return Scenario(seed, injected_fault).run();
}

}  // namespace nettlestand::tier::simulate
