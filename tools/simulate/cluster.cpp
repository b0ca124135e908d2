#include "simulate/cluster.h"

#include <algorithm>
#include <deque>

#include "batch/item_schedule.h"
#include "node/log.h"

namespace nettlestand::tier::simulate {
namespace {

constexpr Millis kTickIntervalMs = 40;
constexpr Millis kCheckIntervalMs = 50;
// Time that a machine needs to catch up after an outage.
constexpr Millis kCatchUpMs = 5700;
constexpr Millis kConnectionTimeoutMs = 1500;  // a message that a cut delays for longer is lost
constexpr Millis kCutRetryIntervalMs = 60;
constexpr Millis kSyncDurationMs = 1, kSlowSyncDurationMs = 30;
constexpr Millis kRestartRetryDelayMs = 300;
constexpr Millis kConfigurationLeaseMs = 3700;  // revoke_ms minus the safety margin of the nodes
constexpr double kExtraDelayProbability = 0.05;
constexpr double kReorderProbability = 0.15;  // per message, while messages are reordered
constexpr std::uint64_t kMaxReorderDelayMs = 4000;
constexpr double kCorruptionProbability = 0.3;  // per chunk of a configuration, while links are lossy
constexpr std::size_t kMaxActiveRuns = 6;
constexpr int kMaxItemAttempts = 2;
constexpr std::uint64_t kRejectedPercent = 25, kFailedPercent = 4;  // of the items that are sent

const char* const kZones[] = {"a", "b", "c"};

}  // namespace

// The messenger of a process. Messages on a link arrive in order unless reordering is set.
class Cluster::SimulatedLink : public Messenger {
 public:
  SimulatedLink(Cluster& cluster, std::size_t self) : cluster_(cluster), self_(self) {}
  using Messenger::send;
  void send(const std::string& address, std::string_view message, Lane) override {
    const std::size_t to = cluster_.index_of(address);
    if (to == cluster_.size()) return;
    Scheduler& scheduler = cluster_.scheduler_;
    std::string body(message);
    if (cluster_.lossy_) cluster_.corrupt_configuration(body);
    Millis delay = 1 + static_cast<Millis>(cluster_.random(3));
    if (cluster_.lossy_ && cluster_.chance(kExtraDelayProbability))
      delay += static_cast<Millis>(cluster_.random(400));
    if (cluster_.reordering_ && cluster_.chance(kReorderProbability)) {
      delay += static_cast<Millis>(cluster_.random(kMaxReorderDelayMs));
      scheduler.schedule_after(delay, [&cluster = cluster_, from = self_, to, sent = scheduler.now(),
                                       body = std::move(body)] { cluster.deliver(from, to, sent, body); });
      return;
    }
    Millis& idle_at = cluster_.link_idle_at_[{self_, to}];
    idle_at = std::max(idle_at, scheduler.now() + delay);
    scheduler.schedule_at(idle_at, [&cluster = cluster_, from = self_, to, sent = scheduler.now(),
                                    body = std::move(body)] { cluster.deliver(from, to, sent, body); });
  }
  const std::string& own_address() const override { return cluster_.machines_[self_]->address; }

 private:
  Cluster& cluster_;
  std::size_t self_;
};

// Simulated disk queue: completes one write and its sync after the other, each after its duration.
class Cluster::SimulatedDiskQueue : public storage::DiskQueue {
 public:
  SimulatedDiskQueue(Cluster& cluster, std::size_t machine, std::function<absl::Status()> sync)
      : cluster_(cluster),
        machine_(machine),
        generation_(cluster.machines_[machine]->generation),
        sync_(std::move(sync)) {}

  void submit(Write write, Done done) override {
    Machine& machine = *cluster_.machines_[machine_];
    const Millis now = cluster_.now();
    if (cluster_.options_.injected_fault == InjectedFault::kAcknowledgeBeforeSync) {
      const absl::Status status = write();
      write = [] { return absl::OkStatus(); };
      cluster_.scheduler_.schedule_at(now, [this, done, status, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.lock()) done(cluster_.local_time(machine_), status);
      });
    }
    pending_.push_back({std::move(write), std::move(done)});
    const Millis time = now < machine.disk_slow_until ? kSlowSyncDurationMs : kSyncDurationMs;
    machine.disk_idle_at = std::max({machine.disk_idle_at, machine.disk_stalled_until, now}) + time;
    cluster_.scheduler_.schedule_at(machine.disk_idle_at, [this, alive = std::weak_ptr<bool>(alive_)] {
      if (alive.lock()) complete_next_write();
    });
  }
  // Called when the process is killed: applies some of the pending writes without syncing them.
  void apply_unsynced_writes() {
    SimulatedDisk& disk = *cluster_.machines_[machine_]->disk;
    disk.set_syncs_ignored(true);
    while (!pending_.empty() && cluster_.chance(0.7)) {
      if (!pending_.front().write().ok()) break;
      pending_.pop_front();
    }
    (void)sync_();
    disk.set_syncs_ignored(false);
  }

 private:
  struct Request {
    Write write;
    Done done;
  };
  void complete_next_write() {
    if (pending_.empty()) return;
    Request request = std::move(pending_.front());
    pending_.pop_front();
    absl::Status status = request.write();
    if (status.ok()) status = sync_();
    if (cluster_.options_.injected_fault == InjectedFault::kAcknowledgeBeforeSync) return;
    cluster_.run_in_process(machine_, generation_, [this, done = std::move(request.done), status] {
      done(cluster_.local_time(machine_), status);
    });
  }

  Cluster& cluster_;
  std::size_t machine_;
  std::uint64_t generation_;
  std::function<absl::Status()> sync_;
  std::deque<Request> pending_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Simulated list of servers of the platform; always contains the same server.
class Cluster::SimulatedServerList : public ServerListSource {
 public:
  SimulatedServerList(Cluster& cluster, std::size_t machine, Millis interval, Callback done)
      : cluster_(cluster), machine_(machine), interval_(interval), done_(std::move(done)) {
    next();
  }

 private:
  void next() {
    const std::uint64_t generation = cluster_.machines_[machine_]->generation;
    cluster_.scheduler_.schedule_after(interval_, [this, generation, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.lock()) return;
      cluster_.run_in_process(machine_, generation, [this, alive] {
        if (!alive.lock()) return;
        ListedServer server{};
        server.id = "i-1";
        server.service = "s";
        server.address = "10.9.0.1:80";
        done_(cluster_.local_time(machine_), {server});
      });
      next();
    });
  }
  Cluster& cluster_;
  std::size_t machine_;
  Millis interval_;
  Callback done_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Runs batch items with the production schedule on simulated servers that take some time, reject some items,
// fail and interrupt responses.
class Cluster::SimulatedItemRunner : public JobRunner, private ItemHost {
 public:
  SimulatedItemRunner(Cluster& cluster, std::size_t machine, const JobTable& table, Hooks hooks)
      : cluster_(cluster),
        machine_(machine),
        generation_(cluster.machines_[machine]->generation),
        table_(table),
        hooks_(std::move(hooks)),
        schedule_(table, *this) {}

  void pump(Millis now) override { schedule_.pump(now); }
  void stop(const JobKey& key) override { schedule_.stop(key); }
  void forget(const JobKey& key) override { schedule_.forget(key); }

 private:
  bool may_run(Millis now, const JobKey& key) override { return hooks_.may_run(now, key); }
  ItemLimits limits_for(Millis, const std::string&) override {
    ItemLimits out;
    out.state = ItemLimits::RouteState::kPresent;
    out.max_attempts = kMaxItemAttempts;
    return out;
  }
  bool is_routed(const Job&, std::uint32_t) const override { return true; }
  bool can_start() const override { return active_runs_ < kMaxActiveRuns; }
  bool has_capacity(Millis, const std::string&) override { return can_start(); }
  void on_corrupted_item(const JobKey& key, std::uint32_t, StartReason) override {
    cluster_.history_.report_violation("an item would have been sent with the wrong body: " + key.id);
  }
  void on_result(Millis now, const JobKey& key, JobResult result) override {
    hooks_.report_result(now, key, std::move(result));
  }
  void abandon(RunId) override {}

  // A run is sent shortly after its start. By then it may no longer be allowed.
  void start(Millis, const ItemRun& run) override {
    ++active_runs_;
    const JobItem& item = table_.find(run.key)->spec.items[run.item];
    schedule_in_process(static_cast<Millis>(cluster_.random(3)), [this, run, id = item.id, body = item.body] {
      if (schedule_.may_send(run.id) && hooks_.may_run(cluster_.local_time(machine_), run.key)) {
        cluster_.history_.on_item_sent(cluster_.now(), run.key.id, id, body);
        return schedule_in_process(30 + static_cast<Millis>(cluster_.random(300)), [this, run] { end(run); });
      }
      RunOutcome refused;
      refused.end = RunEnd::kRejected;
      finish(run, std::move(refused));
    });
  }
  void end(const ItemRun& run) {
    RunOutcome outcome;
    const std::uint64_t random_percent = cluster_.random(100);
    outcome.end = random_percent < kRejectedPercent                        ? RunEnd::kRejected
                  : random_percent < kRejectedPercent + kFailedPercent     ? RunEnd::kServerError
                  : random_percent < kRejectedPercent + 2 * kFailedPercent ? RunEnd::kInterrupted
                                                                           : RunEnd::kCompleted;
    const bool has_text = outcome.end == RunEnd::kCompleted || outcome.end == RunEnd::kInterrupted;
    if (has_text) {
      outcome.text = run.partial_text;
      outcome.text->text += "run " + std::to_string(++cluster_.run_count_);
      outcome.text->has_event = true;
    }
    finish(run, std::move(outcome));
  }
  void finish(const ItemRun& run, RunOutcome outcome) {
    --active_runs_;
    const Millis now = cluster_.local_time(machine_);
    schedule_.on_run_ended(now, run.id, std::move(outcome));
    schedule_.pump(now);
  }
  void schedule_in_process(Millis delay, std::function<void()> action) {
    cluster_.scheduler_.schedule_after(
        delay, [this, action = std::move(action), alive = std::weak_ptr<bool>(alive_)] {
          if (!alive.lock()) return;
          cluster_.run_in_process(machine_, generation_, [action, alive] {
            if (alive.lock()) action();
          });
        });
  }

  Cluster& cluster_;
  std::size_t machine_;
  std::uint64_t generation_;
  const JobTable& table_;
  Hooks hooks_;
  ItemSchedule schedule_;
  std::size_t active_runs_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// ---------------------------------------------------------------- machines

Cluster::Cluster(const ClusterOptions& options, History& history)
    : options_(options), history_(history), random_(options.seed) {
  for (std::size_t i = 0; i < options.core; ++i) add(MachineKind::kCore);
  for (std::size_t i = 0; i < options.edges; ++i) add(MachineKind::kEdge);
  for (std::size_t i = 0; i < options.stores; ++i) add(MachineKind::kStore);
  for (std::size_t i = 0; i < 3; ++i) {
    const std::string& address = machines_[random(options.core + options.edges)]->address;
    const std::string control = address.substr(0, address.rfind(':')) + ":8407";
    if (std::find(seeds_.begin(), seeds_.end(), control) == seeds_.end()) seeds_.push_back(control);
  }
  for (auto& machine : machines_) machine->settings.seeds = seeds_;
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    scheduler_.schedule_at(static_cast<Millis>(random(300)), [this, i] { start(i); });
  }
  initial_machines_added_ = true;
  scheduler_.schedule_at(kCheckIntervalMs, [this] { check_invariants(); });
}

Cluster::~Cluster() = default;

std::size_t Cluster::add(MachineKind kind) {
  const std::size_t i = machines_.size();
  auto machine = std::make_unique<Machine>();
  machine->kind = kind;
  machine->name = (kind == MachineKind::kCore   ? "core-"
                   : kind == MachineKind::kEdge ? "edge-"
                                                : "store-") +
                  std::to_string(i);
  const std::string ip = "10." + std::to_string(i % 3 + 1) + ".0." + std::to_string(i + 1);
  machine->address = ip + ":7660";
  index_by_address_[machine->address] = i;
  Settings& settings = machine->settings;
  settings.node_name = machine->name;
  settings.ip = ip;
  settings.zone = kZones[i % 3];
  settings.internal_port_range = {7660, 7675};
  settings.seeds = initial_machines_added_ ? current_seeds() : seeds_;
  settings.bootstrap = !initial_machines_added_;
  settings.data_dir = kind == MachineKind::kEdge ? "" : "/data";
  settings.fault_tolerance.machines = options_.tolerance;
  settings.bounds.grace_s = 8;
  settings.bounds.global_revocation = true;
  settings.bounds.revoke_ms = 5000;
  settings.bounds.quota_window_s = 5;
  settings.bounds.quota_overage = 0.1;
  settings.bounds.quota_slack = 20;
  settings.bounds.status_s = 600;
  settings.cloud_api.address = "10.9.0.9:80";
  settings.cloud_api.rate_per_s = 40;
  settings.limits.disk_mb = 2;
  settings.limits.memory_mb = 256;
  settings.limits.link_mbps = 100;
  if (kind != MachineKind::kEdge) machine->disk = std::make_unique<SimulatedDisk>(random_());
  machine->disk_identity = random_() | 1;
  machines_.push_back(std::move(machine));
  processes_.emplace_back();
  last_sequence_.push_back(0);
  if (initial_machines_added_) scheduler_.schedule_after(0, [this, i] { start(i); });
  if (initial_machines_added_) mark_unavailable(i, now());
  return i;
}

NodeCore::Disks Cluster::open_disks(std::size_t i) {
  Machine& machine = *machines_[i];
  NodeCore::Disks disks;
  if (!machine.disk) return disks;
  const std::uint64_t identity =
      options_.injected_fault == InjectedFault::kIdentitySurvivesWipe ? machine.disk_identity : random_() | 1;
  machine.disk->set_syncs_ignored(options_.injected_fault == InjectedFault::kNoSyncOnStart &&
                                  machine.generation > 1);
  if (machine.kind == MachineKind::kCore) {
    ControlJournal::Options options;
    options.directory = "/data";
    options.segment_bytes = options_.large_configurations ? 1U << 20 : 128U << 10;
    options.files = machine.disk.get();
    if (machine.settings.bootstrap) options.first_start_seeds = machine.settings.internal_seed_addresses();
    auto journal = ControlJournal::open(options, identity);
    if (journal.ok()) {
      ControlDisk disk;
      disk.journal = *std::move(journal);
      disk.queue =
          std::make_unique<SimulatedDiskQueue>(*this, i, [raw = disk.journal.get()] { return raw->sync(); });
      disks.control = std::move(disk);
    }
  } else {
    JobJournal::Options options;
    options.directory = "/data";
    options.disk_mb = 2;
    options.segment_bytes = options_.small_job_journals ? 160U << 10 : 64U << 10;
    if (options_.small_job_journals) options.disk_mb = 1;
    options.files = machine.disk.get();
    StoreDisk disk;
    disk.table = std::make_unique<JobTable>();
    auto journal = JobJournal::open(options, identity, *disk.table, now());
    if (journal.ok()) {
      disk.journal = *std::move(journal);
      disk.queue =
          std::make_unique<SimulatedDiskQueue>(*this, i, [raw = disk.journal.get()] { return raw->sync(); });
      disks.store = std::move(disk);
    }
  }
  machine.disk->set_syncs_ignored(false);
  return disks;
}

NodeCore::Identity Cluster::make_identity(std::size_t i) {
  NodeCore::Identity out;
  out.is_store = machines_[i]->kind == MachineKind::kStore;
  // The wall clock may be off by seconds.
  out.generation = static_cast<std::uint64_t>(1000000 + now() + static_cast<Millis>(random(4000)));
  out.random_seed = random_();
  return out;
}

// Addresses of machines that exist now, as an operator would write them into new settings.
std::vector<std::string> Cluster::current_seeds() {
  std::vector<std::string> out;
  std::vector<std::size_t> nodes = machines_of(MachineKind::kEdge);
  for (const std::size_t core : machines_of(MachineKind::kCore)) nodes.push_back(core);
  while (out.size() < 3 && !nodes.empty()) {
    const std::size_t index = random(nodes.size());
    const std::string& address = machines_[nodes[index]]->address;
    out.push_back(address.substr(0, address.rfind(':')) + ":8407");
    nodes.erase(nodes.begin() + static_cast<std::ptrdiff_t>(index));
  }
  return out;
}

void Cluster::start(std::size_t i) {
  Machine& machine = *machines_[i];
  if (machine.removed || machine.running) return;
  ++machine.generation;
  if (machine.generation > 1) machine.settings.seeds = current_seeds();
  machine.frozen_until = 0;
  machine.deferred.clear();
  NodeCore::Disks disks = open_disks(i);
  if (machine.disk && !disks.control && !disks.store) {  // the journal could not be opened
    scheduler_.schedule_after(kRestartRetryDelayMs, [this, i] { start(i); });
    return;
  }
  machine.running = true;
  Process& process = processes_[i];
  process.messenger = std::make_unique<SimulatedLink>(*this, i);
  ServerListSourceFactory listing = [this, i](Millis interval, ServerListSource::Callback done) {
    return std::make_unique<SimulatedServerList>(*this, i, interval, std::move(done));
  };
  process.core = std::make_unique<NodeCore>(*process.messenger, machine.settings, make_identity(i),
                                            std::move(disks), std::move(listing), local_time(i));
  process.core->start([this, i](const JobTable& table, JobRunner::Hooks hooks) {
    return std::make_unique<SimulatedItemRunner>(*this, i, table, std::move(hooks));
  });
  NodeCore::Hooks hooks;
  hooks.on_job_reply = [this](JobReply reply) {
    const auto found = job_calls_.find(reply.call);
    if (found == job_calls_.end()) return;
    const JobCallback done = std::move(found->second);
    job_calls_.erase(found);
    done(reply);
  };
  process.core->set_hooks(std::move(hooks));
  last_sequence_[i] = 0;
  tick(i, machine.generation);
}

void Cluster::stop(std::size_t i, Millis downtime) {
  Machine& machine = *machines_[i];
  if (!machine.running) return;
  machine.running = false;
  processes_[i].core.reset();
  processes_[i].messenger.reset();
  machine.disk_idle_at = 0;
  machine.settings.bootstrap = false;
  mark_unavailable(i, now() + downtime);
  scheduler_.schedule_after(downtime, [this, i] { start(i); });
}

void Cluster::tick(std::size_t i, std::uint64_t generation) {
  run_in_process(i, generation, [this, i] { processes_[i].core->tick(local_time(i)); });
  if (!machines_[i]->running || machines_[i]->generation != generation) return;
  scheduler_.schedule_after(kTickIntervalMs, [this, i, generation] { tick(i, generation); });
}

bool Cluster::is_responsive(std::size_t i) const {
  return machines_[i]->running && now() >= machines_[i]->frozen_until;
}

NodeCore* Cluster::node(std::size_t i) { return processes_[i].core.get(); }

std::vector<std::size_t> Cluster::machines_of(MachineKind kind) const {
  std::vector<std::size_t> out;
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (machines_[i]->kind == kind && !machines_[i]->removed) out.push_back(i);
  }
  return out;
}

std::size_t Cluster::leader() {
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (!is_responsive(i) || machines_[i]->kind != MachineKind::kCore) continue;
    if (processes_[i].core->control()->leads(local_time(i), kConfigGroup)) return i;
  }
  return machines_.size();
}

Millis Cluster::local_time(std::size_t i) const {
  return now() + 1000 - machines_[i]->clock_lag;  // the steady clock has an arbitrary start
}

void Cluster::run_in_process(std::size_t i, std::uint64_t generation, const std::function<void()>& run) {
  Machine& machine = *machines_[i];
  if (!machine.running || machine.generation != generation) return;
  if (now() >= machine.frozen_until) return run();
  machine.deferred.push_back([this, i, generation, run] { run_in_process(i, generation, run); });
}

std::size_t Cluster::index_of(const std::string& address) const {
  const auto found = index_by_address_.find(address);
  return found == index_by_address_.end() ? machines_.size() : found->second;
}

// Models a node with faulty memory that serves wrong bytes of a configuration. The result may still be a
// valid configuration.
void Cluster::corrupt_configuration(std::string& message) {
  if (message.front() != static_cast<char>(MessageType::kConfigTextReply) || !chance(kCorruptionProbability))
    return;
  auto reply = decode<ConfigTextReply>(std::string_view(message).substr(1));
  if (!reply || reply->bytes.empty()) return;
  char& byte = reply->bytes[random(reply->bytes.size())];
  byte = byte == 'x' ? 'y' : 'x';
  message = encode_message(MessageType::kConfigTextReply, *reply);
}

void Cluster::deliver(std::size_t from, std::size_t to, Millis sent, std::string message) {
  if (cuts_.contains({from, to})) {
    if (now() < sent + kConnectionTimeoutMs) {
      scheduler_.schedule_after(kCutRetryIntervalMs, [this, from, to, sent, body = std::move(message)] {
        deliver(from, to, sent, body);
      });
    }
    return;
  }
  run_in_process(to, machines_[to]->generation, [this, from, to, body = std::move(message)] {
    processes_[to].core->on_message(local_time(to), machines_[from]->address, body);
  });
}

// ---------------------------------------------------------------- faults

void Cluster::mark_unavailable(std::size_t i, Millis until) {
  // A machine that is catching up may need this one, so it stays unavailable for longer.
  for (auto& other : machines_) {
    if (now() < other->unavailable_until)
      other->unavailable_until = std::max(other->unavailable_until, until + kCatchUpMs);
  }
  machines_[i]->unavailable_until = std::max(machines_[i]->unavailable_until, until + kCatchUpMs);
}

std::size_t Cluster::unavailable_count() const {
  return static_cast<std::size_t>(std::count_if(machines_.begin(), machines_.end(), [this](const auto& m) {
    return m->kind != MachineKind::kEdge && now() < m->unavailable_until;
  }));
}

bool Cluster::can_tolerate_loss(std::size_t i) const {
  const std::size_t others = unavailable_count() - (now() < machines_[i]->unavailable_until ? 1 : 0);
  return others + 1 <= static_cast<std::size_t>(options_.tolerance);
}

void Cluster::apply_unsynced_writes(std::size_t i) {
  NodeCore* core = processes_[i].core.get();
  if (core == nullptr || !machines_[i]->disk) return;
  storage::DiskQueue* queue =
      core->control() != nullptr ? core->control()->disk_queue() : core->store()->disk_queue();
  static_cast<SimulatedDiskQueue*>(queue)->apply_unsynced_writes();
}

// Visible when a single scenario is run with --log.
void Cluster::log_fault(const char* what, std::size_t i, Millis duration) const {
  NETTLESTAND_INFO("fault " << what << " machine=" << machines_[i]->name << " at=" << now()
                            << " for=" << duration);
}

void Cluster::kill(std::size_t i, Millis downtime) {
  log_fault("kill", i, downtime);
  if (!machines_[i]->running) return;
  apply_unsynced_writes(i);
  stop(i, downtime);
}

void Cluster::lose_power(std::size_t i, Millis downtime) {
  kill(i, downtime);
  if (machines_[i]->disk) machines_[i]->disk->lose_power();
  mark_unavailable(i, now() + downtime);
}

void Cluster::wipe(std::size_t i, Millis downtime) {
  log_fault("wipe", i, downtime);
  kill(i, downtime);
  if (machines_[i]->disk) machines_[i]->disk->wipe();
  mark_unavailable(i, now() + downtime);
}

void Cluster::freeze(std::size_t i, Millis duration) {
  Machine& machine = *machines_[i];
  if (!is_responsive(i)) return;
  log_fault("freeze", i, duration);
  machine.frozen_until = now() + duration;
  if (options_.injected_fault == InjectedFault::kClockStopsWhileFrozen) machine.clock_lag += duration;
  mark_unavailable(i, machine.frozen_until);
  scheduler_.schedule_after(duration, [this, i, generation = machine.generation] {
    if (machines_[i]->generation != generation) return;
    std::vector<std::function<void()>> waiting;
    waiting.swap(machines_[i]->deferred);
    for (const auto& run : waiting) run();
  });
}

void Cluster::stall_disk(std::size_t i, Millis duration) {
  machines_[i]->disk_stalled_until = std::max(machines_[i]->disk_stalled_until, now() + duration);
  mark_unavailable(i, now() + duration);
}

void Cluster::slow_disk(std::size_t i, Millis duration) {
  machines_[i]->disk_slow_until = std::max(machines_[i]->disk_slow_until, now() + duration);
  mark_unavailable(i, now() + duration);
}

void Cluster::set_disk_full(std::size_t i, bool full) {
  log_fault(full ? "disk full" : "disk not full", i, 0);
  if (machines_[i]->disk) machines_[i]->disk->set_full(full);
  mark_unavailable(i, now());
}

bool Cluster::corrupt_disk(std::size_t i) {
  return machines_[i]->disk && machines_[i]->disk->corrupt_synced_byte();
}

void Cluster::remove(std::size_t i) {
  log_fault("remove", i, 0);
  Machine& machine = *machines_[i];
  machine.removed = true;
  machine.running = false;
  processes_[i].core.reset();
  processes_[i].messenger.reset();
  index_by_address_.erase(machine.address);
}

// ---------------------------------------------------------------- calls

void Cluster::call_operator(std::size_t machine, OperatorCall call, OperatorCallback done) {
  if (!is_responsive(machine)) return;
  processes_[machine].core->operator_relay().start(local_time(machine), std::move(call), std::move(done));
}

bool Cluster::call_store(std::size_t machine, JobCall call, JobCallback done) {
  if (!is_responsive(machine)) return false;
  const std::string address =
      primary_address(processes_[machine].core->control_client().state().placement(), call.tenant);
  if (address.empty()) return false;
  call.call = ++last_job_call_;
  job_calls_[call.call] = std::move(done);
  processes_[machine].messenger->send(address, encode_message(MessageType::kJobCall, call));
  return true;
}

// ---------------------------------------------------------------- checks at any time

void Cluster::check_invariants() {
  check_leases();
  for (std::size_t i = 0; i < machines_.size(); ++i) check_node_version(i);
  scheduler_.schedule_after(kCheckIntervalMs, [this] { check_invariants(); });
}

void Cluster::check_leases() {
  for (GroupId group = 0; group < kGroups; ++group) {
    std::size_t holders = 0;
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      if (!is_responsive(i) || machines_[i]->kind != MachineKind::kCore) continue;
      if (processes_[i].core->control()->leads(local_time(i), group)) ++holders;
    }
    if (holders > 1) history_.report_violation("two leaders hold the lease of the same group");
  }
}

// The version of a process never decreases, and a process that may serve has every version that was
// acknowledged more than one lease ago.
void Cluster::check_node_version(std::size_t i) {
  if (!is_responsive(i)) return;
  const ControlClient& control_client = processes_[i].core->control_client();
  const std::uint64_t sequence = control_client.state().sequence();
  if (sequence < last_sequence_[i]) history_.report_violation("a node reverted to an older version");
  if (sequence > last_sequence_[i]) history_.on_version_applied(control_client.state().text());
  last_sequence_[i] = sequence;
  if (!control_client.has_config_lease(local_time(i))) return;
  if (control_client.state().generation() < history_.newest_acknowledged_at(now() - kConfigurationLeaseMs))
    history_.report_violation("a node serves with an outdated version");
}

}  // namespace nettlestand::tier::simulate
