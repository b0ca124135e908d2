#include "soak/fault_injector.h"

#include <signal.h>

#include <chrono>
#include <thread>

#include "soak/clients.h"

namespace nettlestand::tier::soak {
namespace {

using standins::EngineMode;

constexpr Millis kTerminationGraceMs = 8000;
constexpr Millis kTerminationSlackMs = 1500;  // for a busy machine
constexpr Millis kRestartDelayMs = 300;       // after the end of a process
constexpr Millis kStepIntervalMs = 20;
constexpr std::uint64_t kMaxFaultIntervalMs = 700;  // between two faults
constexpr Millis kRecoveryTimeoutMs = 30000;
constexpr Millis kCatchUpMs = 3000;  // for a process that runs again
constexpr int kCleanExit = 0;
constexpr int kEndedBySigterm = 128 + SIGTERM;  // terminated by the signal before the program was executed
constexpr std::uint64_t kPlannedFaultKinds = 5;
constexpr std::uint64_t kUnplannedFaultKinds = 13;

}  // namespace

FaultInjector::FaultInjector(standins::TierWorld& world, Oracle& oracle, Profile profile, std::uint64_t seed)
    : world_(world), oracle_(oracle), profile_(profile), random_(seed) {}

// ---------------------------------------------------------------- processes

void FaultInjector::schedule_restart(std::size_t node, Millis at) {
  scheduled_recoveries_.emplace(at, [this, node] {
    if (!world_.is_running(node)) world_.start(node);
  });
}

void FaultInjector::terminate(std::size_t node) {
  if (!world_.is_running(node) || terminating_.contains(node)) return;
  world_.signal(node, SIGTERM);
  ++signals_;
  terminating_[node] = steady_now();
}

// A process that has just been started can't block signals yet, so SIGHUP would terminate it.
void FaultInjector::reload(std::size_t node) {
  if (!world_.is_running(node) || !world_.has_started(node)) return;
  world_.signal(node, SIGHUP);
  ++signals_;
}

// Rolling restart of some nodes. The next node is terminated before the previous one is back.
void FaultInjector::terminate_in_series() {
  const std::size_t first = random_node(), count = 1 + random_below(world_.nodes() / 2);
  const Millis gap = static_cast<Millis>(random_below(1500));
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t node = (first + i) % world_.nodes();
    scheduled_faults_.emplace(steady_now() + static_cast<Millis>(i) * gap, [this, node] { terminate(node); });
  }
}

void FaultInjector::kill(std::size_t node, Millis down) {
  const Millis now = steady_now();
  oracle_.on_node_fault(node, now, now + down + kCatchUpMs);
  ++signals_;
  terminating_.erase(node);
  world_.kill(node);
  schedule_restart(node, now + down);
}

void FaultInjector::start_too_early(std::size_t node, Millis overlap) {
  if (!world_.has_disk(node) || !world_.is_running(node) || terminating_.contains(node)) return;
  const Millis now = steady_now();
  oracle_.on_node_fault(node, now, now + overlap + kCatchUpMs);
  ++signals_;
  world_.start_beside(node);
  scheduled_recoveries_.emplace(now + overlap, [this, node] {
    if (world_.is_running(node) && !terminating_.contains(node)) world_.kill(node);
  });
}

void FaultInjector::pause(std::size_t node, Millis duration) {
  if (!world_.is_running(node) || terminating_.contains(node)) return;
  const Millis now = steady_now();
  oracle_.on_node_fault(node, now, now + duration + kCatchUpMs);
  ++signals_;
  world_.signal(node, SIGSTOP);
  scheduled_recoveries_.emplace(now + duration, [this, node] {
    if (world_.is_running(node)) world_.signal(node, SIGCONT);
  });
}

// Processes have to exit with code 0 within the grace period after SIGTERM, and must not exit otherwise.
void FaultInjector::check_processes() {
  for (std::size_t node = 0; node < world_.nodes(); ++node) {
    const auto terminating = terminating_.find(node);
    const std::optional<int> code = world_.ended(node);
    if (code) {
      if (terminating == terminating_.end())
        oracle_.report_violation("a process exited unexpectedly: " + world_.name(node));
      const bool terminated_before_start = *code == kEndedBySigterm && !world_.has_started(node);
      if (*code != kCleanExit && !terminated_before_start) {
        oracle_.report_violation("a process exited with code " + std::to_string(*code) + ": " +
                                 world_.name(node));
      }
      terminating_.erase(node);
      schedule_restart(node, steady_now() + kRestartDelayMs);
    } else if (terminating != terminating_.end() &&
               steady_now() > terminating->second + kTerminationGraceMs + kTerminationSlackMs) {
      oracle_.report_violation("a process did not exit within its termination grace period: " +
                               world_.name(node));
      kill(node, kRestartDelayMs);
    }
  }
}

// ---------------------------------------------------------------- servers

void FaultInjector::drain_server() {
  std::vector<standins::Platform::Entry> list = world_.full_server_list();
  list[random_below(list.size())].state = "draining";
  world_.platform().set_servers(list);
  scheduled_recoveries_.emplace(steady_now() + 2000,
                                [this] { world_.platform().set_servers(world_.full_server_list()); });
}

void FaultInjector::set_engine_mode(EngineMode mode, Millis duration) {
  const std::size_t engine = random_below(world_.engines());
  const Millis now = steady_now();
  oracle_.on_global_fault(now, now + duration);
  world_.engine(engine).set_mode(mode);
  scheduled_recoveries_.emplace(now + duration,
                                [this, engine] { world_.engine(engine).set_mode(EngineMode::kStream); });
}

void FaultInjector::replace_server(Millis lag) {
  const std::size_t engine = random_below(world_.engines());
  world_.engine(engine).set_instance("i-" + std::to_string(engine) + "-" +
                                     std::to_string(++replaced_servers_));
  scheduled_recoveries_.emplace(steady_now() + lag,
                                [this] { world_.platform().set_servers(world_.full_server_list()); });
}

// Breaks no connection, so every response is still owed.
void FaultInjector::answer_twice(Millis duration) {
  for (std::size_t i = 0; i < world_.engines(); ++i) {
    world_.engine(i).set_mode(EngineMode::kFullAtTimes);
    world_.engine(i).set_answers_twice(true);
  }
  scheduled_recoveries_.emplace(steady_now() + duration, [this] {
    for (std::size_t i = 0; i < world_.engines(); ++i) {
      world_.engine(i).set_mode(EngineMode::kStream);
      world_.engine(i).set_answers_twice(false);
    }
  });
}

// ---------------------------------------------------------------- schedule

void FaultInjector::inject() {
  switch (random_below(profile_ == Profile::kPlanned ? kPlannedFaultKinds : 2 * kPlannedFaultKinds)) {
    case 0:
      return terminate(random_node());
    case 1:
      return terminate_in_series();
    case 2:
    case 3:
      return reload(random_node());
    case 4:
      return drain_server();
    default:
      return inject_unplanned();
  }
}

void FaultInjector::inject_unplanned() {
  const auto random_duration = [this](std::uint64_t max_ms) {
    return static_cast<Millis>(100 + random_below(max_ms));
  };
  switch (random_below(kUnplannedFaultKinds)) {
    case 0:
      return kill(random_node(), random_duration(1500));
    case 1:  // all stores at once
      for (std::size_t node = world_.edges(); node < world_.nodes(); ++node) kill(node, random_duration(600));
      return;
    case 2:
      return pause(random_node(), random_duration(3000));
    case 3:  // a store, so that results and job ends wait for replication
      return pause(world_.edges() + random_below(world_.nodes() - world_.edges()), random_duration(900));
    case 4:
      return set_engine_mode(EngineMode::kFull, random_duration(2500));
    case 5:
      return set_engine_mode(EngineMode::kError, random_duration(800));
    case 6:
    case 7:
      return answer_twice(random_duration(2500));
    case 8:
      return set_engine_mode(EngineMode::kRefuseAfterRun, random_duration(800));
    case 9:
      return start_too_early(random_node(), random_duration(900));
    case 10:
      return replace_server(random_duration(1500));
    case 11:
      return set_engine_mode(EngineMode::kLoseAnswer, random_duration(300));
    default:
      return set_engine_mode(EngineMode::kCutInEvent, random_duration(500));
  }
}

void FaultInjector::run_due(Schedule& schedule) {
  while (!schedule.empty() && schedule.begin()->first <= steady_now()) {
    const std::function<void()> action = std::move(schedule.begin()->second);
    schedule.erase(schedule.begin());
    action();
  }
}

void FaultInjector::run(Millis end) {
  Millis next = steady_now();
  while (steady_now() < end) {
    check_processes();
    run_due(scheduled_recoveries_);
    run_due(scheduled_faults_);
    if (steady_now() >= next) {
      inject();
      next = steady_now() + static_cast<Millis>(random_below(kMaxFaultIntervalMs));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kStepIntervalMs));
  }
  recover();
}

void FaultInjector::recover() {
  scheduled_faults_.clear();
  const Millis until = steady_now() + kRecoveryTimeoutMs;
  const auto all_running = [this] {
    for (std::size_t node = 0; node < world_.nodes(); ++node) {
      if (!world_.is_running(node) || terminating_.contains(node)) return false;
      if (node < world_.edges() && !world_.ready(node)) return false;
    }
    return true;
  };
  while (!scheduled_recoveries_.empty() || !terminating_.empty() || !all_running()) {
    if (steady_now() >= until)
      return oracle_.report_violation("RECOVER: not all nodes are ready after the faults have ended");
    check_processes();
    run_due(scheduled_recoveries_);
    std::this_thread::sleep_for(std::chrono::milliseconds(kStepIntervalMs));
  }
}

}  // namespace nettlestand::tier::soak
