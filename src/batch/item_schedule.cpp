#include "batch/item_schedule.h"

#include <algorithm>

namespace nettlestand::tier {
namespace {

constexpr Millis kRetryMs = 120;         // before an item that was turned away is offered again
constexpr Millis kFailureRetryMs = 300;  // after a server's own error
constexpr Millis kOverdueSlackMs = 500;  // beyond the route's max_wait_s
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
  const JobsByTenant jobs = open_jobs(now);
  for (const auto& [tenant, keys] : jobs) {
    for (const JobKey& key : keys) {
      if (const Job* job = table_.find(key)) give_up_overdue(now, key, *job);
    }
  }
  start_in_turn(now, jobs);
}

ItemSchedule::JobsByTenant ItemSchedule::open_jobs(Millis now) const {
  std::map<std::string, std::vector<std::pair<Millis, JobKey>>> by_age;
  for (const auto& [key, job] : table_.jobs()) {
    if (job.complete() || job.ended || !host_.may_run(now, key)) continue;
    by_age[key.tenant].emplace_back(job.accepted_at, key);
  }
  JobsByTenant out;
  for (auto& [tenant, jobs] : by_age) {
    std::sort(jobs.begin(), jobs.end());
    for (auto& [accepted_at, key] : jobs) out[tenant].push_back(std::move(key));
  }
  return out;
}

// Items of a job whose route is gone, or that has waited as long as the route allows.
void ItemSchedule::give_up_overdue(Millis now, const JobKey& key, const Job& job) {
  const ItemRules rules = host_.rules_of(now, job);
  if (rules.state == ItemRules::State::kUnknown) return;
  if (rules.state == ItemRules::State::kOpen && !is_overdue(now, job, rules)) return;
  JobState& state = states_[key];
  std::vector<std::uint32_t> overdue;
  for (std::uint32_t item = 0; item < job.spec.items.size(); ++item) {
    const Phase phase = state.items[item].phase;
    const bool open = phase == Phase::kWaiting || phase == Phase::kWithheld;
    if (!state.stopped && !job.listed[item] && open) overdue.push_back(item);
  }
  for (const std::uint32_t item : overdue) {
    if (!states_.contains(key)) return;  // the results before have ended the job's time here
    decide(now, key, item, ResultState::kDeadLetter, "");
  }
}

void ItemSchedule::start_in_turn(Millis now, const JobsByTenant& jobs) {
  for (bool progress = true; progress && host_.can_start();) {
    progress = false;
    for (const auto& [tenant, keys] : jobs) {
      const bool started =
          std::any_of(keys.begin(), keys.end(), [&](const JobKey& key) { return start_one(now, key); });
      progress = progress || started;
    }
  }
}

bool ItemSchedule::start_one(Millis now, const JobKey& key) {
  const Job* job = table_.find(key);
  if (job == nullptr || !host_.can_start()) return false;
  const ItemRules rules = host_.rules_of(now, *job);
  if (rules.state != ItemRules::State::kOpen) return false;
  JobState& state = states_[key];
  const auto item = next_item(now, *job, state);
  if (!item) return false;
  start(now, key, *job, rules, state, *item);
  return true;
}

// Items that were turned away go before those that were never sent: they wait for no room here.
std::optional<std::uint32_t> ItemSchedule::next_item(Millis now, const Job& job, JobState& state) {
  for (const std::uint32_t item : state.retry) {
    if (may_start(now, job, state, item)) return item;
  }
  const auto count = static_cast<std::uint32_t>(job.spec.items.size());
  while (state.next < count && !may_start(now, job, state, state.next)) ++state.next;
  if (state.next == count || !host_.has_room(now, job)) return std::nullopt;
  return state.next++;
}

void ItemSchedule::start(Millis now, const JobKey& key, const Job& job, const ItemRules& rules,
                         JobState& state, std::uint32_t item) {
  Item& own = state.items[item];
  state.retry.erase(item);
  ++own.starts;
  if (!job.has_body(item)) {
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
