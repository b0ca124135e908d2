#include "soak/disturbances.h"

#include <signal.h>

#include <chrono>
#include <thread>

#include "soak/clients.h"

namespace nettlestand::tier::soak {
namespace {

using standins::EngineMode;

constexpr Millis kGraceMs = 8000;
constexpr Millis kGraceSlackMs = 1500;  // of a machine that is busy
constexpr Millis kRestartMs = 300;      // after a process has ended
constexpr Millis kStepMs = 20;
constexpr std::uint64_t kMostPauseMs = 700;  // between two strikes
constexpr Millis kRecoverMs = 30000;
constexpr Millis kCatchUpMs = 3000;  // of a process that runs again
constexpr int kCleanExit = 0;
constexpr int kEndedBySigterm = 128 + SIGTERM;  // while it was being executed
constexpr std::uint64_t kPlannedKinds = 5;

}  // namespace

Disturbances::Disturbances(standins::TierWorld& world, Ledger& ledger, Profile profile, std::uint64_t seed)
    : world_(world), ledger_(ledger), profile_(profile), random_(seed) {}

// ---------------------------------------------------------------- processes

void Disturbances::restart_later(std::size_t node, Millis at) {
  returns_.emplace(at, [this, node] {
    if (!world_.is_running(node)) world_.start(node);
  });
}

void Disturbances::terminate(std::size_t node) {
  if (!world_.is_running(node) || ending_.contains(node)) return;
  world_.signal(node, SIGTERM);
  ++signals_;
  ending_[node] = steady_now();
}

// A process that has only just been executed can't hold signals back yet: SIGHUP would end it.
void Disturbances::reload(std::size_t node) {
  if (!world_.is_running(node) || !world_.has_started(node)) return;
  world_.signal(node, SIGHUP);
  ++signals_;
}

// A roll over some nodes, the next before the one before it is back.
void Disturbances::terminate_series() {
  const std::size_t first = any_node(), count = 1 + below(world_.nodes() / 2);
  const Millis gap = static_cast<Millis>(below(1500));
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t node = (first + i) % world_.nodes();
    strikes_.emplace(steady_now() + static_cast<Millis>(i) * gap, [this, node] { terminate(node); });
  }
}

void Disturbances::kill(std::size_t node, Millis down) {
  const Millis now = steady_now();
  ledger_.on_unplanned(node, now, now + down + kCatchUpMs);
  ++signals_;
  ending_.erase(node);
  world_.kill(node);
  restart_later(node, now + down);
}

void Disturbances::stand_still(std::size_t node, Millis time) {
  if (!world_.is_running(node) || ending_.contains(node)) return;
  const Millis now = steady_now();
  ledger_.on_unplanned(node, now, now + time + kCatchUpMs);
  ++signals_;
  world_.signal(node, SIGSTOP);
  returns_.emplace(now + time, [this, node] {
    if (world_.is_running(node)) world_.signal(node, SIGCONT);
  });
}

// Processes end with 0 within their grace where they were told to, and never otherwise.
void Disturbances::watch_processes() {
  for (std::size_t node = 0; node < world_.nodes(); ++node) {
    const auto ending = ending_.find(node);
    const std::optional<int> code = world_.ended(node);
    if (code) {
      if (ending == ending_.end()) ledger_.fail("a process ended by itself: " + world_.name(node));
      const bool before_start = *code == kEndedBySigterm && !world_.has_started(node);
      if (*code != kCleanExit && !before_start) {
        ledger_.fail("a process ended with " + std::to_string(*code) + ": " + world_.name(node));
      }
      ending_.erase(node);
      restart_later(node, steady_now() + kRestartMs);
    } else if (ending != ending_.end() && steady_now() > ending->second + kGraceMs + kGraceSlackMs) {
      ledger_.fail("a process outlives its grace: " + world_.name(node));
      kill(node, kRestartMs);
    }
  }
}

// ---------------------------------------------------------------- servers

void Disturbances::drain_server() {
  std::vector<standins::Platform::Entry> list = world_.listed();
  list[below(list.size())].state = "draining";
  world_.platform().set_servers(list);
  returns_.emplace(steady_now() + 2000, [this] { world_.platform().set_servers(world_.listed()); });
}

void Disturbances::set_engine(EngineMode mode, Millis time) {
  const std::size_t engine = below(world_.engines());
  const Millis now = steady_now();
  ledger_.on_unplanned_everywhere(now, now + time);
  world_.engine(engine).set_mode(mode);
  returns_.emplace(now + time, [this, engine] { world_.engine(engine).set_mode(EngineMode::kStream); });
}

// ---------------------------------------------------------------- time

void Disturbances::strike() {
  switch (below(profile_ == Profile::kPlanned ? kPlannedKinds : 2 * kPlannedKinds)) {
    case 0:
      return terminate(any_node());
    case 1:
      return terminate_series();
    case 2:
    case 3:
      return reload(any_node());
    case 4:
      return drain_server();
    default:
      return strike_unplanned();
  }
}

void Disturbances::strike_unplanned() {
  const auto time = [this](std::uint64_t most) { return static_cast<Millis>(100 + below(most)); };
  switch (below(7)) {
    case 0:
      return kill(any_node(), time(1500));
    case 1:  // all stores at once
      for (std::size_t node = world_.edges(); node < world_.nodes(); ++node) kill(node, time(600));
      return;
    case 2:
      return stand_still(any_node(), time(3000));
    case 3:  // a store, so that results and ends wait for a copy
      return stand_still(world_.edges() + below(world_.nodes() - world_.edges()), time(900));
    case 4:
      return set_engine(EngineMode::kFull, time(2500));
    case 5:
      return set_engine(EngineMode::kError, time(800));
    default:
      return set_engine(EngineMode::kCutInEvent, time(500));
  }
}

void Disturbances::act_on_due(Schedule& schedule) {
  while (!schedule.empty() && schedule.begin()->first <= steady_now()) {
    const std::function<void()> act = std::move(schedule.begin()->second);
    schedule.erase(schedule.begin());
    act();
  }
}

void Disturbances::run(Millis end) {
  Millis next = steady_now();
  while (steady_now() < end) {
    watch_processes();
    act_on_due(returns_);
    act_on_due(strikes_);
    if (steady_now() >= next) {
      strike();
      next = steady_now() + static_cast<Millis>(below(kMostPauseMs));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kStepMs));
  }
  recover();
}

void Disturbances::recover() {
  strikes_.clear();
  const Millis until = steady_now() + kRecoverMs;
  const auto all_run = [this] {
    for (std::size_t node = 0; node < world_.nodes(); ++node) {
      if (!world_.is_running(node) || ending_.contains(node)) return false;
      if (node < world_.edges() && !world_.ready(node)) return false;
    }
    return true;
  };
  while (!returns_.empty() || !ending_.empty() || !all_run()) {
    if (steady_now() >= until) return ledger_.fail("RECOVER: not all nodes are ready once all is calm");
    watch_processes();
    act_on_due(returns_);
    std::this_thread::sleep_for(std::chrono::milliseconds(kStepMs));
  }
}

}  // namespace nettlestand::tier::soak
