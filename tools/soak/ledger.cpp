#include "soak/ledger.h"

#include <algorithm>
#include <set>

namespace nettlestand::tier::soak {
namespace {

constexpr Millis kContactMs = 3000;    // after trouble a node is held to its promises again
constexpr Millis kLossSlackMs = 200;   // a request that crosses the close of its connection is not owed
constexpr Millis kOwedUntilMs = 3000;  // of a request's four seconds: later its time may be up
constexpr std::size_t kMostBroken = 20;
constexpr int kTooMany = 429, kUnavailable = 503, kTimedOut = 408, kMisdirected = 421, kUnauthorized = 401;

// A status that promises that the request has not run and will not.
bool promises_no_run(int status) {
  return status == kTooMany || status == kUnavailable || status == kTimedOut || status == kMisdirected;
}

}  // namespace

void Ledger::fail_locked(const std::string& what) {
  if (broken_.size() < kMostBroken) broken_.push_back(what);
}

void Ledger::fail(const std::string& what) {
  const std::lock_guard lock(mutex_);
  fail_locked(what);
}

std::vector<std::string> Ledger::broken() const {
  const std::lock_guard lock(mutex_);
  return broken_;
}

void Ledger::on_sent(const LiveRequest& request) {
  const std::lock_guard lock(mutex_);
  requests_.emplace(request.id, request);
}

void Ledger::on_outcome(const std::string& id, const Outcome& outcome) {
  const std::lock_guard lock(mutex_);
  requests_.at(id).outcome = outcome;
}

void Ledger::on_unplanned(std::size_t node, Millis from, Millis until) {
  const std::lock_guard lock(mutex_);
  troubles_[node].push_back({from, until});
}

void Ledger::on_unplanned_everywhere(Millis from, Millis until) {
  const std::lock_guard lock(mutex_);
  everywhere_.push_back({from, until});
}

// ---------------------------------------------------------------- jobs

void Ledger::on_job(const SubmittedJob& job) {
  const std::lock_guard lock(mutex_);
  jobs_.emplace(job.id, job);
}

void Ledger::on_job_answer(const std::string& job, bool accepted, bool refused) {
  const std::lock_guard lock(mutex_);
  jobs_.at(job).accepted = accepted;
  jobs_.at(job).refused = refused;
}

void Ledger::on_job_end_asked(const std::string& job) {
  const std::lock_guard lock(mutex_);
  jobs_.at(job).end_asked = true;
}

void Ledger::on_page(const std::string& job, const std::vector<std::string>& items,
                     const std::vector<std::string>& texts) {
  const std::lock_guard lock(mutex_);
  SubmittedJob& record = jobs_.at(job);
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (!record.bodies.contains(items[i])) fail_locked("MIXED: an item of another job: " + items[i]);
    if (texts[i] != whole_text_) fail_locked("MIXED: a result is not the item's whole text: " + items[i]);
    if (i < record.listed.size()) {
      if (record.listed[i] != items[i]) fail_locked("TWICE: a position holds another result: " + job);
      continue;
    }
    const bool again = std::find(record.listed.begin(), record.listed.end(), items[i]) != record.listed.end();
    if (again) fail_locked("TWICE: an item stands at two positions: " + items[i]);
    record.listed.push_back(items[i]);
  }
}

void Ledger::on_job_missing(const std::string& job) {
  const std::lock_guard lock(mutex_);
  if (jobs_.at(job).accepted) fail_locked("LOST: an accepted job is not there: " + job);
}

std::vector<SubmittedJob> Ledger::accepted_jobs() const {
  const std::lock_guard lock(mutex_);
  std::vector<SubmittedJob> out;
  for (const auto& [id, job] : jobs_) {
    if (job.accepted) out.push_back(job);
  }
  return out;
}

std::vector<SubmittedJob> Ledger::open_jobs() const {
  std::vector<SubmittedJob> out = accepted_jobs();
  std::erase_if(
      out, [](const SubmittedJob& job) { return job.end_asked || job.listed.size() == job.bodies.size(); });
  return out;
}

// ---------------------------------------------------------------- the end

bool Ledger::was_troubled(const LiveRequest& request) const {
  const auto meets = [&request](const Trouble& trouble) {
    return trouble.from <= request.outcome.ended_at && request.sent_at <= trouble.until + kContactMs;
  };
  if (std::any_of(everywhere_.begin(), everywhere_.end(), meets)) return true;
  const auto own = troubles_.find(request.node);
  return own != troubles_.end() && std::any_of(own->second.begin(), own->second.end(), meets);
}

// Only planned work around it, and a request ended without a whole answer.
void Ledger::check_lost(const LiveRequest& request, bool was_passed_on) {
  const Outcome& outcome = request.outcome;
  if (outcome.complete || !outcome.whole_sent || was_troubled(request)) return;
  const Millis lasted = outcome.ended_at - request.sent_at;
  if (lasted > kOwedUntilMs) return;
  if (!was_passed_on && lasted <= kLossSlackMs) return;
  fail_locked("LOST: no whole answer after " + std::to_string(lasted) + " ms at node " +
              std::to_string(request.node) + (was_passed_on ? ", passed on: " : ", read: ") + request.id);
}

void Ledger::check_live(const std::vector<standins::SeenRequest>& runs) {
  std::map<std::string, std::size_t> counts;
  for (const standins::SeenRequest& run : runs) {
    const auto found = requests_.find(run.id);
    if (found == requests_.end()) continue;
    const LiveRequest& request = found->second;
    ++counts[run.id];
    if (run.body != request.body) fail_locked("UNASKED: another body: " + run.id);
    if (run.target != request.target) fail_locked("UNASKED: another path or query: " + run.id);
    if (run.tenant != request.tenant) fail_locked("UNASKED: another tenant: " + run.id);
    if (!run.api_key.empty()) fail_locked("UNASKED: the key was passed on: " + run.id);
  }
  for (const auto& [id, request] : requests_) {
    const std::size_t count = counts[id];
    if (!request.repeatable && count > 1) fail_locked("TWICE: " + id);
    if (count > 0 && promises_no_run(request.outcome.status)) fail_locked("REFUSED, and it ran: " + id);
    check_lost(request, count > 0);
  }
}

void Ledger::check_items(const std::vector<standins::SeenRequest>& runs) {
  std::map<std::string, const SubmittedJob*> owners;
  for (const auto& [id, job] : jobs_) {
    for (const auto& [item, body] : job.bodies) owners.emplace(item, &job);
  }
  for (const standins::SeenRequest& run : runs) {
    if (requests_.contains(run.id)) continue;
    const auto owner = owners.find(run.id);
    if (owner == owners.end()) {
      fail_locked("UNASKED: nobody sent " + run.id);
      continue;
    }
    const SubmittedJob& job = *owner->second;
    if (run.body != job.bodies.at(run.id)) fail_locked("UNASKED: another body: item " + run.id);
    if (run.tenant != job.tenant) fail_locked("UNASKED: another tenant: item " + run.id);
    if (job.refused) fail_locked("REFUSED, and an item ran: " + run.id);
  }
}

void Ledger::check(const std::vector<standins::SeenRequest>& runs) {
  const std::lock_guard lock(mutex_);
  check_live(runs);
  check_items(runs);
}

Ledger::Totals Ledger::totals() const {
  const std::lock_guard lock(mutex_);
  Totals out;
  out.requests = requests_.size();
  out.jobs = jobs_.size();
  for (const auto& [id, request] : requests_) {
    const Outcome& outcome = request.outcome;
    if (!outcome.complete) ++out.unanswered;
    if (outcome.complete && outcome.status == 200) ++out.served;
    if (promises_no_run(outcome.status)) ++out.refused;
    if (outcome.status == kUnauthorized) ++out.denied;
  }
  for (const auto& [id, job] : jobs_) out.results += job.listed.size();
  return out;
}

}  // namespace nettlestand::tier::soak
