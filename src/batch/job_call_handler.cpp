#include "batch/job_call_handler.h"

#include <algorithm>
#include <utility>

#include "batch/item_digest.h"
#include "batch/job_results_page.h"
#include "control/placement.h"
#include "node/log.h"

namespace nettlestand::tier {
namespace {

constexpr std::uint32_t kOk = 200, kAccepted = 202, kNotFound = 404, kTooManyRequests = 429,
                        kServerError = 500, kUnavailable = 503;
// Of a job until its submission has committed: in the batch, its record on disk, and the messages to
// replicas.
constexpr std::size_t kCopiesInTransit = 6;
constexpr std::uint32_t kNotPrimary = 0;      // reply status: nothing was stored
constexpr std::uint32_t kPrimaryChanged = 1;  // reply status: the change may have been stored
// For a change to commit; after that the call fails, with its outcome left open.
constexpr Millis kCommitTimeoutMs = 2200;

std::int64_t tokens_of(const JobSpec& spec) {
  std::int64_t sum = 0;
  for (const JobItem& item : spec.items) sum += item.tokens;
  return sum;
}

JobChange change_of(const JobKey& key) {
  JobChange out{};
  out.tenant = key.tenant;
  out.job = key.id;
  return out;
}

}  // namespace

void JobCallHandler::answer(const std::string& to, std::uint64_t call, std::uint32_t status,
                            std::string body) {
  JobReply reply{};
  reply.call = call;
  reply.status = status;
  reply.body = std::move(body);
  messenger_.send(to, encode_message(MessageType::kJobReply, reply));
}

void JobCallHandler::answer(const WaitingCall& waiting, std::uint32_t status, std::string body) {
  answer(waiting.from, waiting.call.call, status, std::move(body));
}

void JobCallHandler::on_call(Millis now, const std::string& from, JobCall call) {
  WaitingCall waiting;
  waiting.from = from;
  waiting.key = {call.tenant, call.job};
  waiting.call = std::move(call);
  if (!host_.may_serve(now, waiting.key)) return answer(waiting, kNotPrimary, "");
  switch (waiting.call.kind) {
    case JobCallKind::kSubmit:
      return submit(now, std::move(waiting));
    case JobCallKind::kEnd:
      return end_job(now, std::move(waiting));
    case JobCallKind::kRead:
    case JobCallKind::kBody:
      waiting.deadline = now + waiting.call.wait_ms;
      if (!try_answer(now, waiting)) add_waiting(std::move(waiting));
      return;
  }
}

void JobCallHandler::submit(Millis now, WaitingCall waiting) {
  const JobKey key = waiting.key;
  if (waiting.call.spec.size() != 1) return answer(waiting, kServerError, "");
  waiting.deadline = now + kCommitTimeoutMs;
  if (table_.find(key) != nullptr) return answer(waiting, kAccepted, "{}");
  if (pending_submissions_.contains(key)) {
    waiting.call.spec.clear();
    return add_waiting(std::move(waiting));
  }
  const std::size_t memory_bytes = memory_of(waiting.call.spec.front());
  if (!host_.accepts_job(key, memory_in_transit(waiting.call.spec.front())))
    return answer(waiting, kUnavailable, "");
  JobChange change = change_of(key);
  change.spec.swap(waiting.call.spec);
  const JobSpec& spec = change.spec.front();
  if (const std::size_t corrupted = count_corrupted_items(change); corrupted > 0) {
    body_check_.record_mismatch(BodyCheckStep::kStoreCall, corrupted);
    NETTLESTAND_WARNING("item content does not match its digest job=" << key.id << " items=" << corrupted
                                                                      << " step="
                                                                      << name_of(BodyCheckStep::kStoreCall));
    return answer(waiting, kNotPrimary, "");  // nothing is stored; the edge node sends it again
  }
  const Route* route = host_.route_of(spec);
  if (route == nullptr) return answer(waiting, kUnavailable, "");
  if (!fits_queue_limit(key, spec, *route)) return answer(waiting, kTooManyRequests, "");
  pending_submissions_[key] = {tokens_of(spec), memory_bytes};
  add_waiting(std::move(waiting));
  host_.change(now, std::move(change));
}

// Whether a job fits within the route's limit on a tenant's queued tokens.
bool JobCallHandler::fits_queue_limit(const JobKey& key, const JobSpec& spec, const Route& route) const {
  if (route.max_queued_tokens <= 0) return true;
  std::int64_t tokens = tokens_of(spec) + table_.waiting_tokens(key.tenant, spec.route);
  for (const auto& [other, pending] : pending_submissions_) {
    if (other.tenant == key.tenant) tokens += pending.tokens;
  }
  return tokens <= route.max_queued_tokens;
}

std::size_t JobCallHandler::memory_in_transit(const JobSpec& one_more) const {
  std::size_t bytes = memory_of(one_more);
  for (const auto& [key, pending] : pending_submissions_) bytes += pending.memory_bytes;
  return kCopiesInTransit * bytes;
}

void JobCallHandler::end_job(Millis now, WaitingCall waiting) {
  const JobKey key = waiting.key;
  const Job* job = table_.find(key);
  if (job == nullptr && !pending_submissions_.contains(key)) return answer(waiting, kNotFound, "");
  if (job != nullptr && job->ended) return answer(waiting, kOk, "{}");
  host_.stop(key);
  JobChange change = change_of(key);
  change.ended = true;
  waiting.deadline = now + kCommitTimeoutMs;
  add_waiting(std::move(waiting));
  host_.change(now, std::move(change));
}

bool JobCallHandler::try_answer(Millis now, const WaitingCall& waiting) {
  const Job* job = table_.find(waiting.key);
  const bool timed_out = now >= waiting.deadline;
  if (!host_.may_serve(now, waiting.key)) {
    answer(waiting, kPrimaryChanged, "");
    return true;
  }
  switch (waiting.call.kind) {
    case JobCallKind::kSubmit:
      if (job == nullptr && !timed_out) return false;
      answer(waiting, job != nullptr ? kAccepted : kServerError, "{}");
      return true;
    case JobCallKind::kEnd:
      if ((job == nullptr || !job->ended) && !timed_out) return false;
      answer(waiting, job != nullptr && job->ended ? kOk : kServerError, "{}");
      return true;
    case JobCallKind::kRead:
      return try_answer_read(waiting, job, timed_out);
    case JobCallKind::kBody:
      answer_body(waiting, job);
      return true;
  }
  return true;
}

bool JobCallHandler::try_answer_read(const WaitingCall& waiting, const Job* job, bool timed_out) {
  if (job == nullptr) {
    answer(waiting, is_submission_pending(waiting.key) ? kUnavailable : kNotFound, "");
    return true;
  }
  const std::uint64_t start = waiting.call.start_after;
  if (job->results.size() <= start && job->open() && !timed_out) return false;
  answer(waiting, kOk, results_page(*job, start));
  return true;
}

void JobCallHandler::answer_body(const WaitingCall& waiting, const Job* job) {
  if (job == nullptr || job->ended) return answer(waiting, kNotFound, "");
  const auto& items = job->spec.items;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (items[i].id == waiting.call.item && !job->has_result[i]) return answer(waiting, kOk, items[i].body);
  }
  answer(waiting, kNotFound, "");
}

void JobCallHandler::tick(Millis now) {
  waiting_calls_.remove_if([&](const WaitingCall& waiting) {
    if (now < waiting.deadline && host_.may_serve(now, waiting.key)) return false;
    return try_answer(now, waiting);
  });
}

void JobCallHandler::on_committed(Millis now, const JobChange& change) {
  const JobKey key = key_of(change);
  if (!change.spec.empty()) pending_submissions_.erase(key);
  waiting_calls_.remove_if(
      [&](const WaitingCall& waiting) { return waiting.key == key && try_answer(now, waiting); });
}

void JobCallHandler::drop_shard(std::uint32_t shard) {
  std::erase_if(pending_submissions_,
                [shard](const auto& item) { return batch_shard_of(item.first.tenant) == shard; });
  waiting_calls_.remove_if([&](const WaitingCall& waiting) {
    if (batch_shard_of(waiting.key.tenant) != shard) return false;
    // A queued change may have reached a replica: the caller has to ask the new primary.
    answer(waiting, kPrimaryChanged, "");
    return true;
  });
}

}  // namespace nettlestand::tier
