#include "batch/item_schedule.h"

#include <utility>

namespace nettlestand::tier {
namespace {

constexpr Millis kRetryMs = 120;         // before an item that was turned away is offered again
constexpr Millis kFailureRetryMs = 300;  // after a server's own error
constexpr Millis kOverdueSlackMs = 500;  // beyond the route's max_wait_s
constexpr Millis kOverdueLookMs = 100;   // between looks for items that are overdue
constexpr double kMillisPerSecond = 1000;

bool is_overdue(Millis now, const Job& job, const ItemRules& rules) {
  if (rules.max_wait_s <= 0) return false;
  return now > job.accepted_at + static_cast<Millis>(rules.max_wait_s * kMillisPerSecond) + kOverdueSlackMs;
}

StartReason reason_after(RunEnd end) {
  switch (end) {
    case RunEnd::kTurnedAway:
      return StartReason::kTurnedAway;
    case RunEnd::kServerError:
      return StartReason::kServerError;
    default:
      return StartReason::kBroken;
  }
}

}  // namespace

const char* name_of(StartReason reason) {
  switch (reason) {
    case StartReason::kFirst:
      return "first";
    case StartReason::kTurnedAway:
      return "turned_away";
    case StartReason::kServerError:
      return "server_error";
    case StartReason::kBroken:
      return "broken";
  }
  return "unknown";
}

// The one place that decides whether an item may be sent.
bool ItemSchedule::may_start(Millis now, const Job& job, const JobState& state, std::uint32_t item) const {
  if (job.ended || state.stopped) return false;
  if (job.listed[item]) return false;
  const auto known = state.items.find(item);
  if (known == state.items.end()) return true;
  return known->second.phase == Phase::kWaiting && known->second.retry_at <= now;
}

bool ItemSchedule::may_send(RunId run) const {
  const auto running = runs_.find(run);
  if (running == runs_.end()) return false;
  const Job* job = table_.find(running->second.key);
  return job != nullptr && !job->ended && !job->listed[running->second.item];
}

void ItemSchedule::pump(Millis now) {
  pump_again_ = true;
  if (pumping_) return;  // a result that is told below may commit others: the loop that is under way goes on
  pumping_ = true;
  while (pump_again_) {
    pump_again_ = false;
    pump_once(now);
  }
  pumping_ = false;
}

void ItemSchedule::pump_once(Millis now) {
  Round round;
  round.now = now;
  if (now >= next_overdue_look_) {
    next_overdue_look_ = now + kOverdueLookMs;
    give_up_overdue(round);
  }
  start_in_turn(round);
}

const ItemRules& ItemSchedule::rules_of(Round& round, const std::string& route) {
  const auto known = round.rules.find(route);
  if (known != round.rules.end()) return known->second;
  return round.rules.emplace(route, host_.rules_of(round.now, route)).first->second;
}

// Room only shrinks during a round.
bool ItemSchedule::has_room(Round& round, const std::string& route) {
  if (round.full.contains(route)) return false;
  if (host_.has_room(round.now, route)) return true;
  round.full.insert(route);
  return false;
}

void ItemSchedule::give_up_overdue(Round& round) {
  for (const std::string& tenant : table_.open_tenants()) {
    std::optional<OpenJob> at;
    while ((at = table_.next_open(tenant, at))) {
      const JobKey key{tenant, at->id};
      if (host_.may_run(round.now, key)) give_up_if_overdue(round, key, *table_.find(key));
    }
  }
}

// Items of a job whose route is gone, or that has waited as long as the route allows.
void ItemSchedule::give_up_if_overdue(Round& round, const JobKey& key, const Job& job) {
  const ItemRules& rules = rules_of(round, job.spec.route);
  if (rules.state == ItemRules::State::kUnknown) return;
  if (rules.state == ItemRules::State::kOpen && !is_overdue(round.now, job, rules)) return;
  JobState& state = states_[key];
  std::vector<std::uint32_t> overdue;
  for (std::uint32_t item = 0; item < job.spec.items.size(); ++item) {
    const Phase phase = state.items[item].phase;
    const bool open = phase == Phase::kWaiting || phase == Phase::kWithheld;
    if (!state.stopped && !job.listed[item] && open) overdue.push_back(item);
  }
  for (const std::uint32_t item : overdue) {
    if (!states_.contains(key)) return;  // the results before have ended the job's time here
    decide(round.now, key, item, ResultState::kDeadLetter, "");
  }
}

void ItemSchedule::start_in_turn(Round& round) {
  std::vector<Turn> turns;
  for (std::string& tenant : table_.open_tenants()) turns.push_back({std::move(tenant), std::nullopt, false});
  for (bool progress = true; progress && host_.can_start();) {
    progress = false;
    for (Turn& turn : turns) progress = start_next(round, turn) || progress;
  }
}

// Starts one item of the tenant's oldest job that has one to start.
bool ItemSchedule::start_next(Round& round, Turn& turn) {
  while (!turn.over && host_.can_start()) {
    const auto job = table_.next_open(turn.tenant, turn.done);
    if (!job) {
      turn.over = true;
      return false;
    }
    if (start_one(round, {turn.tenant, job->id})) return true;
    turn.done = job;
  }
  return false;
}

bool ItemSchedule::start_one(Round& round, const JobKey& key) {
  if (!host_.may_run(round.now, key)) return false;
  const Job& job = *table_.find(key);
  const ItemRules& rules = rules_of(round, job.spec.route);
  if (rules.state != ItemRules::State::kOpen) return false;
  JobState& state = states_[key];
  const auto item = next_item(round, job, state);
  if (!item) return false;
  start(round.now, key, job, rules, state, *item);
  return true;
}

// Items that were sent before go before those that never were.
std::optional<std::uint32_t> ItemSchedule::next_item(Round& round, const Job& job, JobState& state) {
  for (const std::uint32_t item : state.retry) {
    if (!may_start(round.now, job, state, item)) continue;
    if (!has_room(round, job.spec.route)) return std::nullopt;
    return item;
  }
  const auto count = static_cast<std::uint32_t>(job.spec.items.size());
  while (state.next < count && !may_start(round.now, job, state, state.next)) ++state.next;
  if (state.next == count || !has_room(round, job.spec.route)) return std::nullopt;
  return state.next++;
}

void ItemSchedule::start(Millis now, const JobKey& key, const Job& job, const ItemRules& rules,
                         JobState& state, std::uint32_t item) {
  Item& own = state.items[item];
  state.retry.erase(item);
  ++own.starts;
  if (!job.is_intact(item)) {
    own.phase = Phase::kWithheld;
    return host_.withheld(key, item, own.reason);
  }
  own.phase = Phase::kRunning;
  own.run = ++last_run_;
  runs_.emplace(own.run, Running{key, item, rules.max_attempts});
  ItemRun run;
  run.id = own.run;
  run.key = key;
  run.item = item;
  run.number = own.starts;
  run.reason = own.reason;
  run.held = own.held;
  host_.start(now, run);
}

void ItemSchedule::on_end(Millis now, RunId run, RunOutcome outcome) {
  const auto running = runs_.find(run);
  if (running == runs_.end()) return;
  const auto [key, index, max_attempts] = running->second;
  runs_.erase(running);
  JobState& state = states_.at(key);
  Item& item = state.items.at(index);
  item.run = 0;
  item.phase = Phase::kWaiting;
  if (outcome.end == RunEnd::kCompleted) {
    return decide(now, key, index, ResultState::kCompleted,
                  outcome.text ? std::move(outcome.text->text) : "");
  }
  const bool failed = outcome.end == RunEnd::kServerError && ++item.failures >= max_attempts;
  if (failed || outcome.end == RunEnd::kUnprocessable) {
    return decide(now, key, index, ResultState::kDeadLetter, "");
  }
  if (outcome.text) item.held = *std::move(outcome.text);
  item.reason = reason_after(outcome.end);
  item.retry_at = now + (outcome.end == RunEnd::kServerError ? kFailureRetryMs : kRetryMs);
  state.retry.insert(index);
}

void ItemSchedule::decide(Millis now, const JobKey& key, std::uint32_t item, ResultState result,
                          std::string text) {
  JobState& state = states_[key];
  state.retry.erase(item);
  state.items[item].phase = Phase::kDecided;
  state.items[item].held = PartialText();
  JobResult out{};
  out.item = item;
  out.state = result;
  out.text = std::move(text);
  host_.decided(now, key, std::move(out));
}

void ItemSchedule::abandon_runs(JobState& state) {
  for (auto& [index, item] : state.items) {
    if (item.phase != Phase::kRunning) continue;
    item.phase = Phase::kWaiting;
    runs_.erase(item.run);
    host_.abandon(item.run);
  }
}

void ItemSchedule::stop(const JobKey& key) {
  JobState& state = states_[key];
  state.stopped = true;
  abandon_runs(state);
}

void ItemSchedule::forget(const JobKey& key) {
  const auto found = states_.find(key);
  if (found == states_.end()) return;
  abandon_runs(found->second);
  states_.erase(found);
}

}  // namespace nettlestand::tier
