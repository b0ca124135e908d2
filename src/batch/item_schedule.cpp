#include "batch/item_schedule.h"

#include <utility>

namespace nettlestand::tier {
namespace {

constexpr Millis kRetryDelayMs = 120;             // after a run that was rejected or interrupted
constexpr Millis kServerErrorRetryDelayMs = 300;  // after a server error
constexpr Millis kMaxWaitGraceMs = 500;           // beyond the route's max_wait_s
constexpr Millis kOverdueCheckIntervalMs = 100;
constexpr double kMillisPerSecond = 1000;

bool is_overdue(Millis now, const Job& job, const ItemLimits& limits) {
  if (limits.max_wait_s <= 0) return false;
  return now > job.accepted_at + static_cast<Millis>(limits.max_wait_s * kMillisPerSecond) + kMaxWaitGraceMs;
}

StartReason reason_after(RunEnd end) {
  switch (end) {
    case RunEnd::kRejected:
      return StartReason::kRejected;
    case RunEnd::kServerError:
      return StartReason::kServerError;
    default:
      return StartReason::kInterrupted;
  }
}

}  // namespace

const char* name_of(StartReason reason) {
  switch (reason) {
    case StartReason::kFirst:
      return "first";
    case StartReason::kRejected:
      return "turned_away";
    case StartReason::kServerError:
      return "server_error";
    case StartReason::kInterrupted:
      return "broken";
  }
  return "unknown";
}

// The only place that decides whether an item may start.
bool ItemSchedule::may_start(Millis now, const Job& job, const JobState& state, std::uint32_t item) const {
  if (job.ended || state.stopped) return false;
  if (job.has_result[item]) return false;
  const auto known = state.items.find(item);
  if (known == state.items.end()) return true;
  return known->second.phase == Phase::kWaiting && known->second.retry_at <= now;
}

bool ItemSchedule::may_send(RunId run) const {
  const auto running = runs_.find(run);
  if (running == runs_.end()) return false;
  const Job* job = table_.find(running->second.key);
  return job != nullptr && !job->ended && !job->has_result[running->second.item];
}

void ItemSchedule::pump(Millis now) {
  pump_again_ = true;
  if (pumping_) return;  // a result reported below may commit others: the loop in progress goes on
  pumping_ = true;
  while (pump_again_) {
    pump_again_ = false;
    pump_once(now);
  }
  pumping_ = false;
}

void ItemSchedule::pump_once(Millis now) {
  SchedulingRound round;
  round.now = now;
  if (now >= next_overdue_check_) {
    next_overdue_check_ = now + kOverdueCheckIntervalMs;
    dead_letter_items(round);
  }
  start_round_robin(round);
}

const ItemLimits& ItemSchedule::limits_for(SchedulingRound& round, const std::string& route) {
  const auto known = round.limits.find(route);
  if (known != round.limits.end()) return known->second;
  return round.limits.emplace(route, host_.limits_for(round.now, route)).first->second;
}

// Capacity only shrinks during a round, so a full route stays full.
bool ItemSchedule::has_capacity(SchedulingRound& round, const std::string& route) {
  if (round.full_routes.contains(route)) return false;
  if (host_.has_capacity(round.now, route)) return true;
  round.full_routes.insert(route);
  return false;
}

// Whether the configuration has the route under which an item was accepted. The path of an item whose content
// is damaged says nothing.
ItemSchedule::ItemRoute ItemSchedule::route_of(Millis now, const Job& job, const ItemLimits& limits,
                                               std::uint32_t item) const {
  const bool is_removed = limits.state == ItemLimits::RouteState::kRemoved;
  if (!is_removed && host_.is_routed(job, item)) return ItemRoute::kPresent;
  if (now < job.accepted_at + limits.max_config_lag_ms) return ItemRoute::kUnknown;
  return is_removed || job.is_intact(item) ? ItemRoute::kLost : ItemRoute::kUnknown;
}

void ItemSchedule::dead_letter_items(SchedulingRound& round) {
  for (const std::string& tenant : table_.open_tenants()) {
    std::optional<OpenJob> at;
    while ((at = table_.next_open_job(tenant, at))) {
      const JobKey key{tenant, at->id};
      if (host_.may_run(round.now, key)) dead_letter_items_of(round, key, *table_.find(key));
    }
  }
}

// Dead-letters the waiting items of a job whose maximum wait is over, and those that a new configuration does
// not lead to their route any more.
void ItemSchedule::dead_letter_items_of(SchedulingRound& round, const JobKey& key, const Job& job) {
  const ItemLimits& limits = limits_for(round, job.spec.route);
  if (limits.state == ItemLimits::RouteState::kUnknown) return;
  JobState& state = states_[key];
  const bool overdue = is_overdue(round.now, job, limits);
  if (!overdue && state.checked_generation == limits.generation) return;
  state.checked_generation = limits.generation;
  std::vector<std::uint32_t> dead;
  for (std::uint32_t item = 0; item < job.spec.items.size(); ++item) {
    const auto known = state.items.find(item);
    const Phase phase = known == state.items.end() ? Phase::kWaiting : known->second.phase;
    const bool open = phase == Phase::kWaiting || phase == Phase::kCorrupted;
    if (state.stopped || job.has_result[item] || !open) continue;
    const ItemRoute route = route_of(round.now, job, limits, item);
    if (overdue || route == ItemRoute::kLost) dead.push_back(item);
    if (route == ItemRoute::kUnknown) state.checked_generation = 0;
  }
  for (const std::uint32_t item : dead) {
    if (!states_.contains(key)) return;  // an earlier result has made the host forget the job
    finish(round.now, key, item, ResultState::kDeadLetter, "");
  }
}

void ItemSchedule::start_round_robin(SchedulingRound& round) {
  std::vector<TenantCursor> cursors;
  for (std::string& tenant : table_.open_tenants())
    cursors.push_back({std::move(tenant), std::nullopt, false});
  for (bool progress = true; progress && host_.can_start();) {
    progress = false;
    for (TenantCursor& cursor : cursors) progress = start_item_of_tenant(round, cursor) || progress;
  }
}

// Starts one item of the tenant's oldest job that has an item to start.
bool ItemSchedule::start_item_of_tenant(SchedulingRound& round, TenantCursor& cursor) {
  while (!cursor.exhausted && host_.can_start()) {
    const auto job = table_.next_open_job(cursor.tenant, cursor.last_checked);
    if (!job) {
      cursor.exhausted = true;
      return false;
    }
    if (start_item_of_job(round, {cursor.tenant, job->id})) return true;
    cursor.last_checked = job;
  }
  return false;
}

bool ItemSchedule::start_item_of_job(SchedulingRound& round, const JobKey& key) {
  if (!host_.may_run(round.now, key)) return false;
  const Job& job = *table_.find(key);
  const ItemLimits& limits = limits_for(round, job.spec.route);
  if (limits.state != ItemLimits::RouteState::kPresent) return false;
  JobState& state = states_[key];
  const auto item = next_item(round, job, state);
  if (!item) return false;
  start(round.now, key, job, limits, state, *item);
  return true;
}

// Items that ran before take precedence over those that never did.
std::optional<std::uint32_t> ItemSchedule::next_item(SchedulingRound& round, const Job& job,
                                                     JobState& state) {
  for (const std::uint32_t item : state.retry_items) {
    if (!may_start(round.now, job, state, item)) continue;
    if (!has_capacity(round, job.spec.route)) return std::nullopt;
    return item;
  }
  const auto count = static_cast<std::uint32_t>(job.spec.items.size());
  while (state.next_unstarted < count && !may_start(round.now, job, state, state.next_unstarted))
    ++state.next_unstarted;
  if (state.next_unstarted == count || !has_capacity(round, job.spec.route)) return std::nullopt;
  return state.next_unstarted++;
}

void ItemSchedule::start(Millis now, const JobKey& key, const Job& job, const ItemLimits& limits,
                         JobState& state, std::uint32_t item) {
  Item& own = state.items[item];
  state.retry_items.erase(item);
  ++own.attempts;
  if (!job.is_intact(item)) {
    own.phase = Phase::kCorrupted;
    return host_.on_corrupted_item(key, item, own.reason);
  }
  const ItemRoute route = route_of(now, job, limits, item);
  if (route == ItemRoute::kLost) return finish(now, key, item, ResultState::kDeadLetter, "");
  if (route == ItemRoute::kUnknown) return retry_later(now, state, item, kRetryDelayMs);
  own.phase = Phase::kRunning;
  own.run = ++last_run_;
  runs_.emplace(own.run, RunRecord{key, item, limits});
  ItemRun run;
  run.id = own.run;
  run.key = key;
  run.item = item;
  run.attempt = own.attempts;
  run.reason = own.reason;
  run.partial_text = own.partial_text;
  host_.start(now, run);
}

void ItemSchedule::on_run_ended(Millis now, RunId run, RunOutcome outcome) {
  const auto running = runs_.find(run);
  if (running == runs_.end()) return;
  const auto [key, index, limits] = running->second;
  runs_.erase(running);
  JobState& state = states_.at(key);
  Item& item = state.items.at(index);
  item.run = 0;
  item.phase = Phase::kWaiting;
  if (outcome.end == RunEnd::kCompleted) {
    return finish(now, key, index, ResultState::kCompleted,
                  outcome.text ? std::move(outcome.text->text) : "");
  }
  const bool failed = outcome.end == RunEnd::kServerError && ++item.failures >= limits.max_attempts;
  if (failed || outcome.end == RunEnd::kUnprocessable) {
    return finish(now, key, index, ResultState::kDeadLetter, "");
  }
  if (outcome.text) item.partial_text = *std::move(outcome.text);
  item.reason = reason_after(outcome.end);
  retry_later(now, state, index,
              outcome.end == RunEnd::kServerError ? kServerErrorRetryDelayMs : kRetryDelayMs);
  // The other items may have been checked against the next configuration while this one ran.
  if (state.checked_generation != limits.generation) state.checked_generation = 0;
}

void ItemSchedule::retry_later(Millis now, JobState& state, std::uint32_t item, Millis delay) {
  state.items[item].retry_at = now + delay;
  state.retry_items.insert(item);
}

void ItemSchedule::finish(Millis now, const JobKey& key, std::uint32_t item, ResultState result,
                          std::string text) {
  JobState& state = states_[key];
  state.retry_items.erase(item);
  state.items[item].phase = Phase::kFinished;
  state.items[item].partial_text = PartialText();
  JobResult out{};
  out.item = item;
  out.state = result;
  out.text = std::move(text);
  host_.on_result(now, key, std::move(out));
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
