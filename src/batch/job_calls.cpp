#include "batch/job_calls.h"

#include <algorithm>
#include <utility>

#include "batch/item_digest.h"
#include "batch/job_page.h"
#include "control/placement.h"
#include "node/log.h"

namespace nettlestand::tier {
namespace {

constexpr std::uint32_t kOk = 200, kAccepted = 202, kNotFound = 404, kTooMany = 429, kServerError = 500,
                        kUnavailable = 503;
constexpr std::uint32_t kNotPrimary = 0;  // nothing was kept
constexpr std::uint32_t kMoved = 1;       // it may have been kept
constexpr Millis kCommitWaitMs = 2200;    // for a change to reach all copies, before its outcome is left open

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

void JobCalls::answer(const std::string& to, std::uint64_t call, std::uint32_t status, std::string body) {
  JobReply reply{};
  reply.call = call;
  reply.status = status;
  reply.body = std::move(body);
  messenger_.send(to, encode_message(MessageType::kJobReply, reply));
}

void JobCalls::answer(const Waiting& waiting, std::uint32_t status, std::string body) {
  answer(waiting.from, waiting.call.call, status, std::move(body));
}

void JobCalls::on_call(Millis now, const std::string& from, const JobCall& call) {
  Waiting waiting;
  waiting.from = from;
  waiting.call = call;
  waiting.key = {call.tenant, call.job};
  if (!host_.is_certain(now, waiting.key)) return answer(waiting, kNotPrimary, "");
  switch (call.kind) {
    case JobCallKind::kSubmit:
      return submit(now, std::move(waiting));
    case JobCallKind::kEnd:
      return end_job(now, std::move(waiting));
    case JobCallKind::kRead:
    case JobCallKind::kBody:
      waiting.until = now + call.wait_ms;
      if (!try_answer(now, waiting)) wait(std::move(waiting));
      return;
  }
}

void JobCalls::submit(Millis now, Waiting waiting) {
  const JobKey key = waiting.key;
  if (waiting.call.spec.size() != 1) return answer(waiting, kServerError, "");
  waiting.until = now + kCommitWaitMs;
  if (table_.find(key) != nullptr) return answer(waiting, kAccepted, "{}");
  if (submitted_.contains(key)) {
    waiting.call.spec.clear();
    return wait(std::move(waiting));
  }
  if (!host_.accepts_jobs(key)) return answer(waiting, kUnavailable, "");
  JobChange change = change_of(key);
  change.spec.swap(waiting.call.spec);
  const JobSpec& spec = change.spec.front();
  if (const std::size_t changed = changed_items(change); changed > 0) {
    body_check_.on_difference(BodyStep::kStoreCall, changed);
    NETTLESTAND_WARNING("bodies are not their client's job=" << key.id << " items=" << changed
                                                             << " step=" << name_of(BodyStep::kStoreCall));
    return answer(waiting, kNotPrimary, "");  // nothing is kept; the edge node sends it again
  }
  const Route* route = host_.route_named(spec.route);
  if (route == nullptr) return answer(waiting, kUnavailable, "");
  if (!fits(key, spec, *route)) return answer(waiting, kTooMany, "");
  submitted_[key] = tokens_of(spec);
  wait(std::move(waiting));
  host_.change(now, std::move(change));
}

// Whether a tenant's waiting tokens leave room for a job.
bool JobCalls::fits(const JobKey& key, const JobSpec& spec, const Route& route) const {
  if (route.max_queued_tokens <= 0) return true;
  std::int64_t tokens = tokens_of(spec) + table_.waiting_tokens(key.tenant, spec.route);
  for (const auto& [other, on_its_way] : submitted_) {
    if (other.tenant == key.tenant) tokens += on_its_way;
  }
  return tokens <= route.max_queued_tokens;
}

void JobCalls::end_job(Millis now, Waiting waiting) {
  const JobKey key = waiting.key;
  const Job* job = table_.find(key);
  if (job == nullptr && !submitted_.contains(key)) return answer(waiting, kNotFound, "");
  if (job != nullptr && job->ended) return answer(waiting, kOk, "{}");
  host_.stop(key);
  JobChange change = change_of(key);
  change.ended = true;
  waiting.until = now + kCommitWaitMs;
  wait(std::move(waiting));
  host_.change(now, std::move(change));
}

bool JobCalls::try_answer(Millis now, const Waiting& waiting) {
  const Job* job = table_.find(waiting.key);
  const bool late = now >= waiting.until;
  if (!host_.is_certain(now, waiting.key)) {
    answer(waiting, kMoved, "");
    return true;
  }
  switch (waiting.call.kind) {
    case JobCallKind::kSubmit:
      if (job == nullptr && !late) return false;
      answer(waiting, job != nullptr ? kAccepted : kServerError, "{}");
      return true;
    case JobCallKind::kEnd:
      if ((job == nullptr || !job->ended) && !late) return false;
      answer(waiting, job != nullptr && job->ended ? kOk : kServerError, "{}");
      return true;
    case JobCallKind::kRead:
      return try_answer_read(waiting, job, late);
    case JobCallKind::kBody:
      answer_body(waiting, job);
      return true;
  }
  return true;
}

bool JobCalls::try_answer_read(const Waiting& waiting, const Job* job, bool late) {
  if (job == nullptr) {
    answer(waiting, is_submitted(waiting.key) ? kUnavailable : kNotFound, "");
    return true;
  }
  const std::uint64_t start = waiting.call.start_after;
  if (job->results.size() <= start && job->open() && !late) return false;
  answer(waiting, kOk, page_of(*job, start));
  return true;
}

void JobCalls::answer_body(const Waiting& waiting, const Job* job) {
  if (job == nullptr || job->ended) return answer(waiting, kNotFound, "");
  const auto& items = job->spec.items;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (items[i].id == waiting.call.item && !job->listed[i]) return answer(waiting, kOk, items[i].body);
  }
  answer(waiting, kNotFound, "");
}

void JobCalls::tick(Millis now) {
  waiting_.remove_if([&](const Waiting& waiting) {
    if (now < waiting.until && host_.is_certain(now, waiting.key)) return false;
    return try_answer(now, waiting);
  });
}

void JobCalls::on_committed(Millis now, const JobChange& change) {
  const JobKey key = key_of(change);
  if (!change.spec.empty()) submitted_.erase(key);
  waiting_.remove_if([&](const Waiting& waiting) { return waiting.key == key && try_answer(now, waiting); });
}

void JobCalls::drop_shard(std::uint32_t shard) {
  std::erase_if(submitted_, [shard](const auto& item) { return batch_shard_of(item.first.tenant) == shard; });
  waiting_.remove_if([&](const Waiting& waiting) {
    if (batch_shard_of(waiting.key.tenant) != shard) return false;
    // A change that was queued may have reached a copy: the caller asks the new primary.
    answer(waiting, kMoved, "");
    return true;
  });
}

}  // namespace nettlestand::tier
