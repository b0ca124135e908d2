#include "simulate/campaign.h"

#include <algorithm>
#include <deque>
#include <memory>

#include "simulate/actors.h"

namespace nettlestand::tier::simulate {
namespace {

constexpr Millis kFormedMs = 6000;   // then the faults begin
constexpr Millis kFaultsMs = 40000;  // and end
constexpr Millis kRecoverMs = 12000;
constexpr Millis kAckMs = 4000;
constexpr Millis kApplyMs = 2000;
constexpr Millis kFinishMs = 20000;
constexpr int kManyChanges = 150;  // more than a replica keeps before it folds its log
constexpr Millis kManyChangesGapMs = 30;
constexpr Millis kOverlapMs = 3000;  // two faults that strike within this time overlap

class Campaign {
 public:
  Campaign(std::uint64_t seed, Planted planted)
      : late_world_(is_late_world(seed)),
        cluster_(options(seed, planted), history_),
        operators_(cluster_, history_, has_large_configurations(seed)),
        jobs_(cluster_, history_, has_small_job_journals(seed)) {}

  Outcome run() {
    schedule_traffic();
    cluster_.scheduler().run_until(1500);
    operators_.change();
    cluster_.scheduler().run_until(kFormedMs);
    cluster_.set_late(late_world_);
    next_fault();
    step_until(kFaultsMs);
    heal();
    step_until(kFaultsMs + kRecoverMs);
    check_recovered();
    outcome_.broken = history_.broken();
    outcome_.orders = history_.acknowledged_orders();
    outcome_.results = history_.results();
    outcome_.longest_order = static_cast<Millis>(operators_.longest_wait());
    return std::move(outcome_);
  }

 private:
  static bool has_large_configurations(std::uint64_t seed) { return seed % 4 == 3; }
  // Worlds in which trouble befalls the stores alone and messages come late all the time.
  static bool is_late_world(std::uint64_t seed) { return seed % 5 == 2; }
  static bool has_small_job_journals(std::uint64_t seed) { return seed % 6 == 1; }
  static ClusterOptions options(std::uint64_t seed, Planted planted) {
    ClusterOptions out;
    out.seed = seed;
    out.planted = planted;
    out.large_configurations = has_large_configurations(seed);
    if (is_late_world(seed)) out.stores = 4 + seed % 3;
    out.small_job_journals = has_small_job_journals(seed);
    out.core = seed % 5 == 0 ? 5 : seed % 7 == 0 ? 4 : 3;
    out.stores = seed % 5 == 0 ? 5 + seed % 3 : 3 + seed % 2;
    out.tolerance = seed % 5 == 0 ? 2 : 1;
    out.edges = 2 + seed % 4;
    return out;
  }

  void step_until(Millis end) {
    while (cluster_.now() < end && history_.broken().empty())
      cluster_.scheduler().run_until(cluster_.now() + 100);
  }

  // ---- traffic
  void schedule_traffic() {
    every(700, 900, [this] { operators_.change(); });
    every(400, 500, [this] { operators_.read(); });
    every(300, 500, [this] { jobs_.submit(); });
    every(80, 120, [this] { jobs_.read_some(); });
    every(1500, 2500, [this] { jobs_.end_some(); });
  }
  void every(Millis least, Millis span, std::function<void()> run) {
    cluster_.scheduler().after(least + static_cast<Millis>(cluster_.random(static_cast<std::uint64_t>(span))),
                               [this, least, span, run] {
                                 if (traffic_) run();
                                 every(least, span, run);
                               });
  }

  // ---- faults
  void next_fault() {
    if (cluster_.now() >= kFaultsMs) return;
    const auto fault = static_cast<Fault>(cluster_.random(static_cast<std::uint64_t>(Fault::kCount)));
    if (strike(fault)) note(fault);
    // Some come together, some with time to recover between them.
    const Millis pause = cluster_.chance(0.4) ? static_cast<Millis>(cluster_.random(800))
                                              : 1000 + static_cast<Millis>(cluster_.random(7000));
    cluster_.scheduler().after(pause, [this] { next_fault(); });
  }
  void note(Fault fault) {
    ++outcome_.struck[static_cast<std::size_t>(fault)];
    outcome_.log.push_back(std::to_string(cluster_.now()) + " " + name_of(fault));
    std::erase_if(recent_, [this](const auto& r) { return r.second + kOverlapMs < cluster_.now(); });
    for (const auto& [other, time] : recent_) outcome_.overlaps.emplace_back(other, fault);
    recent_.emplace_back(fault, cluster_.now());
  }

  std::size_t any(MachineKind kind) {
    const std::vector<std::size_t> all = cluster_.machines_of(kind);
    return all[cluster_.random(all.size())];
  }
  std::size_t any_counted() {
    const bool core = !late_world_ && cluster_.chance(0.5);
    return any(core ? MachineKind::kCore : MachineKind::kStore);
  }
  std::size_t any_machine() {
    const bool edge = !late_world_ && cluster_.chance(0.3);
    return edge ? any(MachineKind::kEdge) : any_counted();
  }
  Millis span(Millis least, Millis more) {
    return least + static_cast<Millis>(cluster_.random(static_cast<std::uint64_t>(more)));
  }

  // False where it can't strike now.
  bool strike(Fault fault) {
    switch (fault) {
      case Fault::kKill:
        cluster_.kill(any_machine(), span(100, 3000));
        return true;
      case Fault::kLosePower:
        cluster_.lose_power(any_machine(), span(300, 4000));
        return true;
      case Fault::kWipe:
        return lose_for_good(any_counted(), [this](std::size_t i) { cluster_.wipe(i, span(300, 3000)); });
      case Fault::kFreeze:
        cluster_.freeze(any_machine(), span(200, 6000));
        return true;
      case Fault::kCutOff:
        cut_off(any_machine(), true, true, span(500, 20000));
        return true;
      case Fault::kCutOneWay:
        cut_off(any_machine(), cluster_.chance(0.5), false, span(500, 15000));
        return true;
      case Fault::kCutHalves:
        cut_halves(span(500, 12000));
        return true;
      case Fault::kCutFromCore:
        cut_from_core(any_counted(), span(500, 20000));
        return true;
      case Fault::kKillCore:
        for (const std::size_t i : cluster_.machines_of(MachineKind::kCore)) cluster_.kill(i, span(100, 900));
        return true;
      case Fault::kPowerCore:
        for (const std::size_t i : cluster_.machines_of(MachineKind::kCore))
          cluster_.lose_power(i, span(300, 2000));
        return true;
      case Fault::kPowerAll:
        power_all();
        return true;
      case Fault::kPowerAllAndWipe:
        return lose_for_good(any_counted(), [this](std::size_t i) {
          power_all();
          cluster_.wipe(i, span(300, 2000));
        });
      default:
        return strike_more(fault);
    }
  }
  bool strike_more(Fault fault) {
    const std::size_t leader = cluster_.leader();
    const bool led = leader < cluster_.size();
    switch (fault) {
      case Fault::kLeaderKilled:
        if (led) operators_.change(2), cluster_.kill(leader, span(100, 3000));
        return led;
      case Fault::kLeaderPower:
        if (led) {
          operators_.change();
          cluster_.scheduler().after(span(0, 12),
                                     [this, leader] { cluster_.lose_power(leader, span(300, 3000)); });
        }
        return led;
      case Fault::kLeaderWiped:
        return led && lose_for_good(leader, [this](std::size_t i) {
                 operators_.change();
                 cluster_.scheduler().run_until(cluster_.now());
                 cluster_.wipe(i, span(300, 2500));
               });
      case Fault::kLeaderCut:
        if (led) {
          cut_off(leader, true, cluster_.chance(0.7), span(2000, 20000));
          operators_.change(2);
        }
        return led;
      case Fault::kReplace:
        return replace(any_counted());
      case Fault::kReplaceOldest:
        return replace(oldest(cluster_.chance(0.5) ? MachineKind::kCore : MachineKind::kStore));
      case Fault::kRetire:
        return retire(false);
      case Fault::kRetireAndWipe:
        return retire(true);
      case Fault::kAddStore:
        return add(MachineKind::kStore, 8);
      case Fault::kAddCore:
        return add(MachineKind::kCore, 9);
      case Fault::kDiskStall:
        cluster_.stall_disk(any_counted(), span(500, 4500));
        return true;
      case Fault::kDiskSlow:
        cluster_.slow_disk(any_counted(), span(1000, 6000));
        return true;
      case Fault::kDiskFull:
        fill_disk(any_counted(), span(500, 5000));
        return true;
      case Fault::kDiskRot:
        // A damaged disk is as good as lost.
        return lose_for_good(any_counted(), [this](std::size_t i) {
          cluster_.rot_disk(i);
          cluster_.kill(i, span(100, 1500));
        });
      case Fault::kLossy:
        cluster_.set_lossy(true);
        cluster_.scheduler().after(span(1000, 6000), [this] { cluster_.set_lossy(false); });
        return true;
      case Fault::kManyChanges:
        for (int i = 0; i < kManyChanges; ++i) {
          cluster_.scheduler().after(i * kManyChangesGapMs, [this] {
            if (traffic_) operators_.change();
          });
        }
        return true;
      case Fault::kLate:
        cluster_.set_late(true);
        cluster_.scheduler().after(span(1000, 6000),
                                   [this] { cluster_.set_late(late_world_ && cluster_.now() < kFaultsMs); });
        return true;
      case Fault::kStoresInTurn:
        stores_in_turn();
        return true;
      case Fault::kRace:
        operators_.change(2 + cluster_.random(3));
        return true;
      default:
        return false;
    }
  }

  template <class Lose>
  bool lose_for_good(std::size_t i, Lose lose) {
    if (!cluster_.may_lose(i)) return false;
    lose(i);
    return true;
  }
  void power_all() {
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      if (!cluster_.machine(i).gone) cluster_.lose_power(i, span(300, 1500));
    }
  }
  void cut_off(std::size_t i, bool out, bool in, Millis time) {
    for (std::size_t j = 0; j < cluster_.size(); ++j) {
      if (out || !in) cluster_.cut(i, j);
      if (in || !out) cluster_.cut(j, i);
    }
    end_cuts(time, {i});
  }
  // More than has to be borne at once, but no disk is lost: service may rest, and nothing may be forgotten.
  void stores_in_turn() {
    const std::size_t alone = any(MachineKind::kStore);
    const Millis time = span(2500, 2000);
    for (const std::size_t i : cluster_.machines_of(MachineKind::kStore)) {
      if (i != alone) cut_off(i, true, true, time);
    }
    cluster_.scheduler().after(time, [this, alone] {
      if (!cluster_.machine(alone).gone) cluster_.kill(alone, span(1500, 3000));
    });
  }
  void cut_from_core(std::size_t i, Millis time) {
    for (const std::size_t j : cluster_.machines_of(MachineKind::kCore)) {
      cluster_.cut(i, j);
      cluster_.cut(j, i);
    }
    end_cuts(time, {i});
  }
  void cut_halves(Millis time) {
    std::vector<std::size_t> core = cluster_.machines_of(MachineKind::kCore);
    const std::size_t half = core.size() / 2;
    for (std::size_t a = 0; a < half; ++a) {
      for (std::size_t b = half; b < core.size(); ++b) {
        cluster_.cut(core[a], core[b]);
        cluster_.cut(core[b], core[a]);
      }
    }
    end_cuts(time, core);
  }
  // All cuts heal together: cuts that overlap end with the first of them or go on anew.
  void end_cuts(Millis time, const std::vector<std::size_t>& cut) {
    for (const std::size_t i : cut) cluster_.count_as_lost(i, cluster_.now() + time);
    if (!cut.empty()) cluster_.tell("cut", cut.front(), time);
    cluster_.scheduler().after(time, [this] { cluster_.heal_cuts(); });
  }
  std::size_t oldest(MachineKind kind) {
    std::size_t out = any(kind);
    for (const std::size_t i : cluster_.machines_of(kind)) out = std::min(out, i);
    return out;
  }
  bool replace(std::size_t i) {
    return lose_for_good(i, [this](std::size_t gone) {
      const MachineKind kind = cluster_.machine(gone).kind;
      cluster_.remove(gone);
      const Millis pause = span(200, 2000);
      cluster_.count_as_lost(gone, cluster_.now() + pause);
      cluster_.scheduler().after(pause, [this, kind] { cluster_.add(kind); });
    });
  }
  bool retire(bool then_wipe) {
    const std::vector<std::size_t> stores = cluster_.machines_of(MachineKind::kStore);
    if (stores.size() < 4) return false;
    const std::size_t store = stores[cluster_.random(stores.size())];
    // The answer comes on the stack of a node, which must not be taken away there.
    operators_.retire(store, [this, store, then_wipe] {
      cluster_.scheduler().after(1, [this, store, then_wipe] { take_away(store, then_wipe); });
    });
    return true;
  }
  void take_away(std::size_t store, bool then_wipe) {
    if (cluster_.machine(store).gone) return;
    cluster_.remove(store);
    if (then_wipe) strike(Fault::kWipe);
  }
  bool add(MachineKind kind, std::size_t most) {
    if (cluster_.machines_of(kind).size() >= most) return false;
    cluster_.add(kind);
    return true;
  }
  void fill_disk(std::size_t i, Millis time) {
    cluster_.set_disk_full(i, true);
    cluster_.count_as_lost(i, cluster_.now() + time);
    cluster_.scheduler().after(time, [this, i] { cluster_.set_disk_full(i, false); });
  }

  // ---- the end
  void heal() {
    cluster_.heal_cuts();
    cluster_.set_lossy(false);
    cluster_.set_late(false);
    for (std::size_t i = 0; i < cluster_.size(); ++i) cluster_.set_disk_full(i, false);
  }
  // Some faults last beyond the end; only then calm begins.
  bool all_run() {
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      const Cluster::Machine& machine = cluster_.machine(i);
      if (machine.gone) continue;
      if (!cluster_.runs(i) || cluster_.now() < machine.disk_stalled_until) return false;
    }
    return true;
  }
  void check_recovered() {
    const Millis until = cluster_.now() + 8000;
    while (!all_run() && cluster_.now() < until && history_.broken().empty())
      step_until(cluster_.now() + 100);
    heal();
    step_until(cluster_.now() + kRecoverMs);
    if (!history_.broken().empty()) return;
    operators_.lose_no_answers();
    if (!order_is_taken()) history_.fail("no order is acknowledged once all is calm");
    traffic_ = false;
    step_until(cluster_.now() + kApplyMs + 1000);
    check_nodes();
    check_jobs();
    check_last_read();
  }
  // One that loses to another operator's is followed by the next.
  bool order_is_taken() {
    for (int tries = 0; tries < 5; ++tries) {
      operators_.read();
      step_until(cluster_.now() + 500);
      const OrderId order = operators_.change_once();
      const Millis until = cluster_.now() + kAckMs;
      while (cluster_.now() < until && history_.broken().empty()) {
        if (operators_.was_acknowledged(order)) return true;
        if (operators_.was_refused(order)) break;
        step_until(cluster_.now() + 50);
      }
      if (cluster_.now() >= until) return false;
    }
    return false;
  }
  void check_nodes() {
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      if (!cluster_.runs(i)) continue;
      const ControlClient& control_client = cluster_.node(i)->control_client();
      if (control_client.state().generation() < history_.acknowledged())
        return history_.fail("a node has not followed once all is calm: " + cluster_.machine(i).name);
    }
  }
  void check_jobs() {
    const Millis until = cluster_.now() + kFinishMs;
    while (!history_.open_jobs().empty() && cluster_.now() < until && history_.broken().empty()) {
      for (const std::string& job : history_.open_jobs()) jobs_.read(job);
      step_until(cluster_.now() + 300);
    }
    const std::vector<std::string> open = history_.open_jobs();
    if (!open.empty() && history_.broken().empty()) history_.fail("a job is never done: " + open.front());
    for (const std::string& job : history_.accepted_jobs()) jobs_.read(job);
    step_until(cluster_.now() + 500);
  }
  void check_last_read() {
    if (!history_.broken().empty()) return;
    bool answered = false;
    OperatorCall call{};
    call.method = "GET";
    call.path = "/nettlestand/config/read";
    const Millis started = cluster_.now();
    cluster_.call_operator(any(MachineKind::kCore), call,
                           [this, &answered, started](std::uint32_t status, const std::string& body) {
                             answered = status == 200;
                             if (!answered) return;
                             history_.on_read(started, cluster_.now(), body);
                             history_.check_final(body);
                           });
    step_until(cluster_.now() + 3000);
    if (!answered) history_.fail("the configuration can't be read once all is calm");
  }

  bool late_world_;
  History history_;
  Cluster cluster_;
  Operators operators_;
  JobClients jobs_;
  Outcome outcome_;
  std::deque<std::pair<Fault, Millis>> recent_;
  bool traffic_ = true;
};

}  // namespace

const char* name_of(Fault fault) {
  static const char* const kNames[] = {
      "kill",          "lose_power",      "wipe",         "freeze",       "cut_off",    "cut_one_way",
      "cut_halves",    "cut_from_core",   "kill_core",    "power_core",   "power_all",  "power_all_and_wipe",
      "leader_killed", "leader_power",    "leader_wiped", "leader_cut",   "replace",    "replace_oldest",
      "retire",        "retire_and_wipe", "add_store",    "add_core",     "disk_stall", "disk_slow",
      "disk_full",     "disk_rot",        "lossy",        "many_changes", "race",       "stores_in_turn",
      "late"};
  return kNames[static_cast<std::size_t>(fault)];
}

Outcome play(std::uint64_t seed, Planted planted) { return Campaign(seed, planted).run(); }

}  // namespace nettlestand::tier::simulate
