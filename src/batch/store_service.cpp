#include "batch/store_service.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>

#include "control/placement.h"
#include "node/log.h"

namespace nettlestand::tier {
namespace {

constexpr std::uint32_t kOk = 200, kAccepted = 202, kNotFound = 404, kTooMany = 429, kServerError = 500,
                        kUnavailable = 503;
constexpr std::uint32_t kNotPrimary = 0;  // nothing was kept
constexpr std::uint32_t kMoved = 1;       // it may have been kept
constexpr Millis kCommitWaitMs = 2200;    // for a change to reach all copies, before its outcome is left open
constexpr std::size_t kMaxPageBytes = 900U << 10;
constexpr Millis kExpiryMs = 2000;  // between looks for jobs that may go
constexpr Millis kKeepBeyondStatusMs = 30000;
// Of the numbers of a primary's messages: starts of the process, its tenures, messages.
constexpr unsigned kStartShift = 40, kTenureShift = 24;

std::string page_of(const Job& job, std::uint64_t start) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  const auto text = [&writer](const std::string& value) {
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  writer.StartObject();
  writer.Key("total");
  writer.Uint64(job.spec.items.size());
  writer.Key("results");
  writer.StartArray();
  std::uint64_t next = std::min<std::uint64_t>(start, job.results.size());
  for (std::size_t bytes = 0; next < job.results.size(); ++next) {
    const JobResult& result = job.results[next];
    bytes += result.text.size() + 128;
    if (next > start && bytes > kMaxPageBytes) break;
    writer.StartObject();
    writer.Key("id");
    text(job.spec.items[result.item].id);
    writer.Key("state");
    writer.String(result.state == ResultState::kCompleted ? "completed" : "dead_letter");
    writer.Key("text");
    text(result.text);
    writer.EndObject();
  }
  writer.EndArray();
  writer.Key("next_token");
  writer.Uint64(std::max(next, start));
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::int64_t tokens_of(const JobSpec& spec) {
  std::int64_t sum = 0;
  for (const JobItem& item : spec.items) sum += item.tokens;
  return sum;
}

}  // namespace

StoreService::StoreService(Messenger& messenger, ControlFollower& follower, const Settings& settings,
                           StoreDisk disk, const JobRunnerFactory& runner)
    : messenger_(messenger), follower_(follower), settings_(settings), disk_(std::move(disk)) {
  JobRunner::Hooks hooks;
  hooks.may_run = [this](Millis now, const JobKey& key) {
    return is_certain(now, key) && !submitted_.contains(key);
  };
  hooks.done = [this](Millis now, const JobKey& key, JobResult result) {
    add_result(now, key, std::move(result));
  };
  hooks.term = [this](const JobKey& key) { return term_of(key); };
  runner_ = runner(*disk_.table, std::move(hooks));
}

StoreService::~StoreService() { disk_.queue.reset(); }

// ---------------------------------------------------------------- shards

ShardPrimary* StoreService::primary_of(const JobKey& key) {
  const auto found = tenures_.find(batch_shard_of(key.tenant));
  return found == tenures_.end() ? nullptr : &found->second.primary;
}

PrimaryTerm StoreService::term_of(const JobKey& key) const {
  const auto found = tenures_.find(batch_shard_of(key.tenant));
  if (found == tenures_.end()) return {};
  return {found->second.primary.epoch(), found->second.number};
}

bool StoreService::is_certain(Millis now, const JobKey& key) {
  const ShardPrimary* primary = primary_of(key);
  return primary != nullptr && primary->ready() && follower_.has_primary_lease(now);
}

const ShardPlacement* StoreService::row_of(std::uint32_t shard) const {
  for (const ShardPlacement& row : follower_.state().placement().shards) {
    if (row.shard == shard) return &row;
  }
  return nullptr;
}

void StoreService::on_placement(Millis now) {
  for (const ShardPlacement& row : follower_.state().placement().shards) {
    const bool leads = !row.members.empty() && row.members.front() == disk_id();
    leads ? lead(row) : demote(now, row.shard);
  }
  drive(now);
}

void StoreService::lead(const ShardPlacement& row) {
  const auto found = tenures_.find(row.shard);
  if (found != tenures_.end()) return found->second.primary.set_placement(row);
  // What the primary before has sent may still be on its way to the disk: the table is whole behind it.
  if (writes_under_way_ == 0) return begin_tenure(row.shard);
  submit_write([] { return absl::OkStatus(); },
               [this, shard = row.shard](Millis later, const absl::Status&) {
                 begin_tenure(shard);
                 drive(later);
               });
}

void StoreService::begin_tenure(std::uint32_t shard) {
  const ShardPlacement* row = row_of(shard);
  const bool leads = row != nullptr && !row->members.empty() && row->members.front() == disk_id();
  if (!leads || tenures_.contains(shard)) return;
  const auto copies = static_cast<std::size_t>(settings_.fault_tolerance.machines) + 1;
  NETTLESTAND_INFO("primary of shard=" << shard << " epoch=" << row->epoch);
  const std::uint64_t number = ++tenure_numbers_;
  const auto added = tenures_.emplace(
      shard, Tenure(number, ShardPrimary(shard, disk_id(), copies, *disk_.table, first_number_of(number))));
  added.first->second.primary.set_placement(*row);
}

void StoreService::demote(Millis now, std::uint32_t shard) {
  const auto found = tenures_.find(shard);
  if (found == tenures_.end()) return;
  NETTLESTAND_INFO("no longer primary of shard=" << shard);
  // The table has to say what the disk holds, so that the new primary finds what differs. A batch that is
  // still being written is applied once it is.
  for (const JobChange& change : found->second.primary.take_written()) disk_.table->apply(now, change);
  apply_first(now, found->second.refused, found->second.refused_queued);
  tenures_.erase(found);
  for (const JobKey& key : disk_.table->keys_of(shard)) runner_->forget(key);
  std::erase_if(positions_, [shard](const auto& item) { return batch_shard_of(item.first.tenant) == shard; });
  std::erase_if(submitted_, [shard](const auto& item) { return batch_shard_of(item.first.tenant) == shard; });
  waiting_.remove_if([&](const Waiting& waiting) {
    if (batch_shard_of(waiting.key.tenant) != shard) return false;
    // A change that was queued may have reached a copy: the caller asks the new primary.
    answer(waiting.from, waiting.call.call, kMoved, "");
    return true;
  });
}

// A process may lead again in the epoch in which its last life did: numbers rise with each start and each
// tenure.
std::uint64_t StoreService::first_number_of(std::uint64_t tenure) const {
  return disk_.journal->starts() << kStartShift | tenure << kTenureShift;
}

std::vector<InSync> StoreService::in_sync() {
  std::vector<InSync> out;
  for (auto& [shard, tenure] : tenures_) {
    for (InSync& report : tenure.primary.in_sync()) out.push_back(std::move(report));
  }
  return out;
}

void StoreService::tick(Millis now) {
  for (auto& [shard, tenure] : tenures_) {
    if (tenure.refused.empty() || tenure.retrying) continue;
    tenure.retrying = true;
    write_batch(shard, tenure, tenure.refused);
  }
  drive(now);
  runner_->pump(now);
  answer_waiting(now, nullptr);
  if (now < next_expiry_) return;
  next_expiry_ = now + kExpiryMs;
  expire_jobs(now);
  reclaim();
}

// ---------------------------------------------------------------- the disk

void StoreService::submit_write(storage::DiskQueue::Write write, storage::DiskQueue::Done done) {
  ++writes_under_way_;
  disk_.queue->submit(std::move(write),
                      [this, done = std::move(done)](Millis now, const absl::Status& status) {
                        --writes_under_way_;
                        if (status.ok() == disk_refuses_) note_disk(status);
                        done(now, status);
                      });
}

// What the journal holds, or will with its next write, and the table does not.
std::vector<JobChange> StoreService::uncommitted() const {
  std::vector<JobChange> out;
  for (const auto& [shard, tenure] : tenures_) {
    const std::vector<JobChange> written = tenure.primary.written();
    out.insert(out.end(), written.begin(), written.end());
    const auto queued = tenure.refused.begin() + static_cast<std::ptrdiff_t>(tenure.refused_queued);
    out.insert(out.end(), tenure.refused.begin(), queued);
  }
  return out;
}

void StoreService::reclaim() {
  if (writes_under_way_ > 0) return;  // with the next look
  auto plan = disk_.journal->plan_reclaim(*disk_.table, uncommitted());
  if (!plan) return;
  NETTLESTAND_INFO("journal gives a segment back segment=" << plan->segment
                                                           << " copied=" << plan->changes.size());
  submit_write([this, plan = *std::move(plan)] { return disk_.journal->reclaim(plan); },
               [](Millis, const absl::Status&) {});
}

void StoreService::note_disk(const absl::Status& status) {
  disk_refuses_ = !status.ok();
  if (disk_refuses_) {
    NETTLESTAND_WARNING("journal failed error=" << status.message());
  } else {
    NETTLESTAND_INFO("journal is written again");
  }
}

// ---------------------------------------------------------------- replication

void StoreService::drive(Millis now) {
  if (driving_) return;
  driving_ = true;
  do {
    take_committed(now);  // copies for others are made from the table
    write_batches();
    send_outgoing(now);
  } while (take_committed(now));
  driving_ = false;
}

bool StoreService::take_committed(Millis now) {
  bool any = false;
  for (auto& [shard, tenure] : tenures_) {
    const std::vector<JobChange> batch = tenure.primary.take_committed();
    if (batch.empty()) continue;
    commit(now, batch);
    any = true;
  }
  return any;
}

void StoreService::write_batches() {
  for (auto& [shard, tenure] : tenures_) {
    std::vector<JobChange> batch = tenure.primary.next_batch();
    if (!batch.empty()) write_batch(shard, tenure, std::move(batch));
  }
}

// What the journal has queued gets onto the disk with a later write, though this one fails: whoever does not
// try it again has to count it as held.
void StoreService::write_changes(std::shared_ptr<const std::vector<JobChange>> changes, ChangesDone done) {
  const auto queued = std::make_shared<std::size_t>(0);
  const auto write = [this, changes, queued] {
    for (const JobChange& change : *changes) {
      if (absl::Status status = disk_.journal->append(change); !status.ok()) return status;
      ++*queued;
    }
    return absl::OkStatus();
  };
  submit_write(write, [done = std::move(done), queued](Millis now, const absl::Status& status) {
    done(now, status, *queued);
  });
}

void StoreService::apply_first(Millis now, const std::vector<JobChange>& changes, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) disk_.table->apply(now, changes[i]);
}

void StoreService::write_batch(std::uint32_t shard, Tenure& tenure, std::vector<JobChange> batch) {
  const auto shared = std::make_shared<const std::vector<JobChange>>(std::move(batch));
  write_changes(shared, [this, shard, number = tenure.number, shared](Millis now, const absl::Status& status,
                                                                      std::size_t queued) {
    on_batch_written(now, shard, number, *shared, status, queued);
  });
}

void StoreService::on_batch_written(Millis now, std::uint32_t shard, std::uint64_t number,
                                    const std::vector<JobChange>& batch, const absl::Status& status,
                                    std::size_t queued) {
  const auto found = tenures_.find(shard);
  const bool current = found != tenures_.end() && found->second.number == number;
  if (!current) return apply_first(now, batch, queued);
  Tenure& tenure = found->second;
  tenure.retrying = false;
  if (!status.ok()) {
    tenure.refused = batch;
    tenure.refused_queued = std::max(tenure.refused_queued, queued);
    return;
  }
  tenure.refused.clear();
  tenure.refused_queued = 0;
  tenure.primary.local_durable();
  drive(now);
}

void StoreService::send_outgoing(Millis now) {
  const PlacementTable& table = follower_.state().placement();
  for (auto& [shard, tenure] : tenures_) {
    for (const Replicate& message : tenure.primary.outgoing(now)) {
      const StoreRecord* peer = table.store(message.to);
      if (peer != nullptr) messenger_.send(peer->address, encode_message(MessageType::kReplicate, message));
    }
  }
}

// Only the primary of the very epoch that is known here is listened to; it sends again what was not answered.
bool StoreService::is_from_primary(const std::string& from, const Replicate& message) const {
  const ShardPlacement* row = row_of(message.shard);
  if (row == nullptr || row->epoch != message.epoch || row->members.empty()) return false;
  if (row->members.front() == disk_id()) return false;
  const StoreRecord* sender = follower_.state().placement().store(row->members.front());
  return sender != nullptr && sender->address == from;
}

// A message of an older connection may be read after one of the connection that came in its place.
bool StoreService::is_late(const Replicate& message) {
  LastMessage& last = last_messages_[message.shard];
  if (last.epoch == message.epoch && message.batch < last.number) return true;
  last = {message.epoch, message.batch};
  return false;
}

void StoreService::on_replicate(const std::string& from, const Replicate& message) {
  if (message.to != disk_id() || !is_from_primary(from, message)) return;
  if (is_late(message)) return;
  for (const JobChange& change : message.changes) {
    if (batch_shard_of(change.tenant) != message.shard) return;
  }
  const auto shared = std::make_shared<const Replicate>(message);
  const std::shared_ptr<const std::vector<JobChange>> changes(shared, &shared->changes);
  // Also where nothing is to be written: a digest tells of all that came before.
  write_changes(changes, [this, from, shared](Millis later, const absl::Status& status, std::size_t queued) {
    apply_first(later, shared->changes, queued);
    if (status.ok()) acknowledge(from, *shared);
  });
}

void StoreService::acknowledge(const std::string& from, const Replicate& message) {
  ReplicateReply reply{};
  reply.shard = message.shard;
  reply.epoch = message.epoch;
  reply.batch = message.batch;
  reply.from = disk_id();
  reply.accepted = true;
  if (message.digest_wanted) {
    reply.has_digest = true;
    for (const JobKey& key : disk_.table->keys_of(message.shard)) {
      reply.digest.push_back(disk_.table->digest(key));
    }
  }
  messenger_.send(from, encode_message(MessageType::kReplicateReply, reply));
}

void StoreService::on_replicate_reply(Millis now, const ReplicateReply& reply) {
  const auto found = tenures_.find(reply.shard);
  if (found == tenures_.end()) return;
  const bool was_ready = found->second.primary.ready();
  found->second.primary.on_reply(reply);
  drive(now);
  const auto after = tenures_.find(reply.shard);
  if (!was_ready && after != tenures_.end() && after->second.primary.ready()) runner_->pump(now);
}

void StoreService::commit(Millis now, const std::vector<JobChange>& batch) {
  for (const JobChange& change : batch) {
    const JobKey key = key_of(change);
    disk_.table->apply(now, change);
    if (!change.spec.empty()) submitted_.erase(key);
    if (change.removed) positions_.erase(key);
    if (change.removed || change.ended) runner_->forget(key);
    answer_waiting(now, &key);
  }
  runner_->pump(now);
}

void StoreService::add_result(Millis now, const JobKey& key, JobResult result) {
  ShardPrimary* primary = primary_of(key);
  const Job* job = disk_.table->find(key);
  if (primary == nullptr || job == nullptr) return;
  auto [position, first] = positions_.try_emplace(key, static_cast<std::uint32_t>(job->results.size()));
  JobChange change{};
  change.tenant = key.tenant;
  change.job = key.id;
  change.first_position = position->second++;
  change.results.push_back(std::move(result));
  primary->add(std::move(change));
  drive(now);
}

void StoreService::expire_jobs(Millis now) {
  const Millis keep = static_cast<Millis>(settings_.bounds.status_s * 1000) + kKeepBeyondStatusMs;
  std::vector<JobKey> old;
  for (const auto& [key, job] : disk_.table->jobs()) {
    if ((job.complete() || job.ended) && job.accepted_at + keep < now && is_certain(now, key))
      old.push_back(key);
  }
  for (const JobKey& key : old) {
    JobChange change{};
    change.tenant = key.tenant;
    change.job = key.id;
    change.removed = true;
    primary_of(key)->add(std::move(change));
  }
  if (!old.empty()) drive(now);
}

// ---------------------------------------------------------------- calls

void StoreService::answer(const std::string& to, std::uint64_t call, std::uint32_t status, std::string body) {
  JobReply reply{};
  reply.call = call;
  reply.status = status;
  reply.body = std::move(body);
  messenger_.send(to, encode_message(MessageType::kJobReply, reply));
}

void StoreService::on_job_call(Millis now, const std::string& from, const JobCall& call) {
  Waiting waiting;
  waiting.from = from;
  waiting.call = call;
  waiting.key = {call.tenant, call.job};
  if (!is_certain(now, waiting.key)) return answer(from, call.call, kNotPrimary, "");
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

void StoreService::submit(Millis now, Waiting waiting) {
  const JobKey& key = waiting.key;
  if (waiting.call.spec.size() != 1) return answer(waiting.from, waiting.call.call, kServerError, "");
  waiting.until = now + kCommitWaitMs;
  if (disk_.table->find(key) != nullptr) return answer(waiting.from, waiting.call.call, kAccepted, "{}");
  if (submitted_.contains(key)) {
    waiting.call.spec.clear();
    return wait(std::move(waiting));
  }
  ShardPrimary* primary = primary_of(key);
  if (!primary->has_enough_copies() || !disk_.journal->accepts_jobs()) {
    return answer(waiting.from, waiting.call.call, kUnavailable, "");
  }
  JobSpec spec = std::move(waiting.call.spec.front());
  waiting.call.spec.clear();
  const auto configuration = follower_.configuration();
  const Route* route = configuration ? configuration->route_named(spec.route) : nullptr;
  if (route == nullptr) return answer(waiting.from, waiting.call.call, kUnavailable, "");
  std::int64_t tokens = disk_.table->waiting_tokens(key.tenant, spec.route);
  for (const auto& [other, on_its_way] : submitted_) tokens += other.tenant == key.tenant ? on_its_way : 0;
  const std::int64_t own = tokens_of(spec);
  if (route->max_queued_tokens > 0 && tokens + own > route->max_queued_tokens) {
    return answer(waiting.from, waiting.call.call, kTooMany, "");
  }
  submitted_[key] = own;
  JobChange change{};
  change.tenant = key.tenant;
  change.job = key.id;
  change.spec.push_back(std::move(spec));
  primary->add(std::move(change));
  wait(std::move(waiting));
  drive(now);
}

void StoreService::end_job(Millis now, Waiting waiting) {
  const Job* job = disk_.table->find(waiting.key);
  if (job == nullptr && !submitted_.contains(waiting.key)) {
    return answer(waiting.from, waiting.call.call, kNotFound, "");
  }
  if (job != nullptr && job->ended) return answer(waiting.from, waiting.call.call, kOk, "{}");
  runner_->stop(waiting.key);
  JobChange change{};
  change.tenant = waiting.key.tenant;
  change.job = waiting.key.id;
  change.ended = true;
  primary_of(waiting.key)->add(std::move(change));
  waiting.until = now + kCommitWaitMs;
  wait(std::move(waiting));
  drive(now);
}

bool StoreService::try_answer(Millis now, const Waiting& waiting) {
  const JobCall& call = waiting.call;
  const Job* job = disk_.table->find(waiting.key);
  const bool late = now >= waiting.until;
  if (!is_certain(now, waiting.key)) {
    answer(waiting.from, call.call, kMoved, "");
    return true;
  }
  switch (call.kind) {
    case JobCallKind::kSubmit:
      if (job == nullptr && !late) return false;
      answer(waiting.from, call.call, job != nullptr ? kAccepted : kServerError, "{}");
      return true;
    case JobCallKind::kEnd:
      if ((job == nullptr || !job->ended) && !late) return false;
      answer(waiting.from, call.call, job != nullptr && job->ended ? kOk : kServerError, "{}");
      return true;
    case JobCallKind::kRead:
      if (job == nullptr) {
        answer(waiting.from, call.call, submitted_.contains(waiting.key) ? kUnavailable : kNotFound, "");
        return true;
      }
      if (job->results.size() <= call.start_after && !job->complete() && !job->ended && !late) return false;
      answer(waiting.from, call.call, kOk, page_of(*job, call.start_after));
      return true;
    case JobCallKind::kBody: {
      if (job == nullptr || job->ended) {
        answer(waiting.from, call.call, kNotFound, "");
        return true;
      }
      const auto& items = job->spec.items;
      for (std::size_t i = 0; i < items.size(); ++i) {
        if (items[i].id != call.item || job->listed[i]) continue;
        answer(waiting.from, call.call, kOk, items[i].body);
        return true;
      }
      answer(waiting.from, call.call, kNotFound, "");
      return true;
    }
  }
  return true;
}

void StoreService::answer_waiting(Millis now, const JobKey* key) {
  waiting_.remove_if([&](const Waiting& waiting) {
    if (key != nullptr && waiting.key != *key) return false;
    if (key == nullptr && now < waiting.until && is_certain(now, waiting.key)) return false;
    return try_answer(now, waiting);
  });
}

}  // namespace nettlestand::tier
