#include "soak/oracle.h"

#include <algorithm>
#include <limits>
#include <set>

namespace nettlestand::tier::soak {
namespace {

constexpr Millis kRecoveryMarginMs = 3000;  // after the end of a fault, until responses are owed again
// A request that was not forwarded may have crossed the close of its connection. If it ended within this
// time, no response is owed.
constexpr Millis kConnectionCloseMarginMs = 200;
// A response that is lost later than this is not owed: the deadline of a request is 4 s and may have expired.
constexpr Millis kResponseOwedMs = 3000;
constexpr std::size_t kMaxViolations = 20;
constexpr int kTooManyRequests = 429, kServiceUnavailable = 503, kRequestTimeout = 408,
              kMisdirectedRequest = 421, kUnauthorized = 401;

}  // namespace

bool guarantees_no_run(int status) {
  return status == kTooManyRequests || status == kServiceUnavailable || status == kRequestTimeout ||
         status == kMisdirectedRequest;
}

void Oracle::add_violation(const std::string& what) {
  ++violation_counts_[what.substr(0, what.find(':'))];
  if (violations_.size() < kMaxViolations) violations_.push_back(what);
}

void Oracle::report_violation(const std::string& what) {
  const std::lock_guard lock(mutex_);
  add_violation(what);
}

std::vector<std::string> Oracle::violations() const {
  const std::lock_guard lock(mutex_);
  return violations_;
}

void Oracle::on_sent(const LiveRequest& request) {
  const std::lock_guard lock(mutex_);
  requests_.emplace(request.id, request);
}

void Oracle::on_retry(const std::string& id, std::size_t node, Millis sent_at) {
  const std::lock_guard lock(mutex_);
  LiveRequest& request = requests_.at(id);
  request.refused.push_back(request);
  request.node = node;
  request.sent_at = sent_at;
  request.outcome = {};
}

void Oracle::on_outcome(const std::string& id, const RequestOutcome& outcome) {
  const std::lock_guard lock(mutex_);
  requests_.at(id).outcome = outcome;
}

void Oracle::on_node_fault(std::size_t node, Millis from, Millis until) {
  const std::lock_guard lock(mutex_);
  fault_intervals_[node].push_back({from, until});
}

void Oracle::on_global_fault(Millis from, Millis until) {
  const std::lock_guard lock(mutex_);
  global_fault_intervals_.push_back({from, until});
}

// ---------------------------------------------------------------- jobs

void Oracle::on_job(const SubmittedJob& job) {
  const std::lock_guard lock(mutex_);
  jobs_.emplace(job.id, job);
}

void Oracle::on_job_submitted(const std::string& job, bool accepted, bool rejected) {
  const std::lock_guard lock(mutex_);
  jobs_.at(job).accepted = accepted;
  jobs_.at(job).rejected = rejected;
}

void Oracle::on_job_end_requested(const std::string& job) {
  const std::lock_guard lock(mutex_);
  jobs_.at(job).end_requested = true;
}

void Oracle::on_result_page(const std::string& job, const std::vector<std::string>& items,
                            const std::vector<std::string>& texts) {
  const std::lock_guard lock(mutex_);
  SubmittedJob& record = jobs_.at(job);
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (!record.bodies.contains(items[i])) add_violation("MIXED: an item of another job: " + items[i]);
    if (texts[i] != expected_result_)
      add_violation("MIXED: a result is not the complete text of its item: " + items[i]);
    if (i < record.results.size()) {
      if (record.results[i] != items[i]) add_violation("TWICE: the result at a position changed: " + job);
      continue;
    }
    const bool is_duplicate =
        std::find(record.results.begin(), record.results.end(), items[i]) != record.results.end();
    if (is_duplicate) add_violation("TWICE: an item is listed at two positions: " + items[i]);
    record.results.push_back(items[i]);
  }
}

void Oracle::on_job_missing(const std::string& job) {
  const std::lock_guard lock(mutex_);
  if (jobs_.at(job).accepted) add_violation("LOST: an accepted job is missing: " + job);
}

std::vector<SubmittedJob> Oracle::accepted_jobs() const {
  const std::lock_guard lock(mutex_);
  std::vector<SubmittedJob> out;
  for (const auto& [id, job] : jobs_) {
    if (job.accepted) out.push_back(job);
  }
  return out;
}

std::vector<SubmittedJob> Oracle::unfinished_jobs() const {
  std::vector<SubmittedJob> out = accepted_jobs();
  std::erase_if(out, [](const SubmittedJob& job) {
    return job.end_requested || job.results.size() == job.bodies.size();
  });
  return out;
}

// ---------------------------------------------------------------- final checks

bool Oracle::overlaps_fault(const LiveRequest& request) const {
  const auto overlaps = [&request](const FaultInterval& interval) {
    return interval.from <= request.outcome.ended_at && request.sent_at <= interval.until + kRecoveryMarginMs;
  };
  if (std::any_of(global_fault_intervals_.begin(), global_fault_intervals_.end(), overlaps)) return true;
  const auto node_intervals = fault_intervals_.find(request.node);
  return node_intervals != fault_intervals_.end() &&
         std::any_of(node_intervals->second.begin(), node_intervals->second.end(), overlaps);
}

// Only planned operations happened around the request, and it ended without a complete response.
void Oracle::check_response_owed(const LiveRequest& request, bool was_forwarded) {
  const RequestOutcome& outcome = request.outcome;
  if (outcome.response_complete || !outcome.request_sent || overlaps_fault(request)) return;
  const Millis duration_ms = outcome.ended_at - request.sent_at;
  if (duration_ms > kResponseOwedMs) return;
  if (!was_forwarded && duration_ms <= kConnectionCloseMarginMs) return;
  add_violation("LOST: no complete response after " + std::to_string(duration_ms) + " ms at node " +
                std::to_string(request.node) + (was_forwarded ? ", forwarded: " : ", read: ") + request.id);
}

// A run belongs to the last attempt that was sent before it. An idempotent request may be refused after a run
// by its server, whose response is passed on unchanged, but not by the node.
void Oracle::check_refusals(const LiveRequest& request, const std::vector<Millis>& runs) {
  std::vector<RequestAttempt> attempts = request.refused;
  attempts.push_back(request);
  for (std::size_t i = 0; i < attempts.size(); ++i) {
    const RequestOutcome& outcome = attempts[i].outcome;
    if (!guarantees_no_run(outcome.status)) continue;
    if (request.idempotent && outcome.from_server) continue;
    const Millis from = attempts[i].sent_at;
    const Millis until =
        i + 1 < attempts.size() ? attempts[i + 1].sent_at : std::numeric_limits<Millis>::max();
    const bool ran =
        std::any_of(runs.begin(), runs.end(), [&](Millis at) { return at >= from && at < until; });
    if (!ran) continue;
    add_violation(std::string("REFUSED by ") + (outcome.from_server ? "a server" : "the node") +
                  ", but it ran: " + request.id);
  }
}

void Oracle::check_live(const std::vector<standins::ReceivedRequest>& runs) {
  std::map<std::string, std::vector<Millis>> run_times;
  for (const standins::ReceivedRequest& run : runs) {
    const auto found = requests_.find(run.id);
    if (found == requests_.end()) continue;
    const LiveRequest& request = found->second;
    run_times[run.id].push_back(run.received_at);
    if (run.body != request.body) add_violation("UNASKED: a server received the wrong body: " + run.id);
    if (run.target != request.target)
      add_violation("UNASKED: a server received the wrong path or query: " + run.id);
    if (run.tenant != request.tenant) add_violation("UNASKED: a server received the wrong tenant: " + run.id);
    if (!run.api_key.empty()) add_violation("UNASKED: the API key was forwarded: " + run.id);
  }
  for (const auto& [id, request] : requests_) {
    const std::vector<Millis>& times = run_times[id];
    if (!request.idempotent && times.size() > 1) add_violation("TWICE: " + id);
    check_refusals(request, times);
    const bool was_forwarded =
        std::any_of(times.begin(), times.end(), [&request](Millis at) { return at >= request.sent_at; });
    check_response_owed(request, was_forwarded);
  }
}

void Oracle::check_items(const std::vector<standins::ReceivedRequest>& runs) {
  std::map<std::string, const SubmittedJob*> owners;
  for (const auto& [id, job] : jobs_) {
    for (const auto& [item, body] : job.bodies) owners.emplace(item, &job);
  }
  for (const standins::ReceivedRequest& run : runs) {
    if (requests_.contains(run.id)) continue;
    const auto owner = owners.find(run.id);
    if (owner == owners.end()) {
      add_violation("UNASKED: no client sent " + run.id);
      continue;
    }
    const SubmittedJob& job = *owner->second;
    if (run.body != job.bodies.at(run.id))
      add_violation("UNASKED: a server received the wrong body: item " + run.id);
    if (run.tenant != job.tenant)
      add_violation("UNASKED: a server received the wrong tenant: item " + run.id);
    if (job.rejected) add_violation("REFUSED, but an item ran: " + run.id);
  }
}

void Oracle::check(const std::vector<standins::ReceivedRequest>& runs) {
  const std::lock_guard lock(mutex_);
  check_live(runs);
  check_items(runs);
}

std::map<std::string, std::size_t> Oracle::violation_counts() const {
  const std::lock_guard lock(mutex_);
  return violation_counts_;
}

Oracle::Totals Oracle::totals() const {
  const std::lock_guard lock(mutex_);
  Totals out;
  out.requests = requests_.size();
  out.jobs = jobs_.size();
  for (const auto& [id, request] : requests_) {
    const RequestOutcome& outcome = request.outcome;
    if (!outcome.response_complete) ++out.unanswered;
    if (outcome.response_complete && outcome.status == 200) ++out.served;
    if (guarantees_no_run(outcome.status)) ++out.rejected;
    if (outcome.status == kUnauthorized) ++out.unauthorized;
  }
  for (const auto& [id, job] : jobs_) out.results += job.results.size();
  return out;
}

}  // namespace nettlestand::tier::soak
