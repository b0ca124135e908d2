#include "batch/store_service.h"

#include <algorithm>
#include <utility>

#include "batch/item_route.h"
#include "control/placement.h"
#include "node/log.h"

namespace nettlestand::tier {
namespace {

constexpr Millis kExpiryIntervalMs = 2000;  // between checks for expired jobs
constexpr Millis kExpiryGraceMs = 30000;    // beyond the configured status_s
// Of memory_mb, that jobs may take before new ones are refused. A store also holds copies of jobs that others
// have accepted, at worst as many again.
constexpr double kJobMemoryShare = 0.4;
// Of memory_mb, beyond which no further items start until jobs have expired. Accepted jobs may be delayed.
constexpr double kResultMemoryShare = 0.45;
constexpr double kBytesPerMegabyte = 1U << 20;

}  // namespace

StoreService::StoreService(Messenger& messenger, ControlClient& control_client, const Settings& settings,
                           StoreDisk disk, const JobRunnerFactory& runner)
    : messenger_(messenger),
      control_client_(control_client),
      settings_(settings),
      disk_(std::move(disk)),
      writer_(*disk_.journal, *disk_.queue),
      replication_receiver_(messenger, control_client, *disk_.table, writer_, body_check_, disk_id()),
      call_handler_(messenger, *disk_.table, *this, body_check_) {
  body_check_.record_mismatch(BodyCheckStep::kRestart, disk_.journal->corrupted_items());
  JobRunner::Hooks hooks;
  hooks.may_run = [this](Millis now, const JobKey& key) {
    return may_serve(now, key) && !call_handler_.is_submission_pending(key);
  };
  hooks.report_result = [this](Millis now, const JobKey& key, JobResult result) {
    add_result(now, key, std::move(result));
  };
  hooks.tenure_of = [this](const JobKey& key) { return tenure_of(key); };
  hooks.has_memory = [this] { return fits_memory(0, kResultMemoryShare); };
  runner_ = runner(*disk_.table, std::move(hooks));
}

StoreService::~StoreService() { disk_.queue.reset(); }

// ---------------------------------------------------------------- shards

ShardPrimary* StoreService::primary_of(const JobKey& key) {
  const auto found = tenures_.find(batch_shard_of(key.tenant));
  return found == tenures_.end() ? nullptr : &found->second.primary;
}

PrimaryTenure StoreService::tenure_of(const JobKey& key) const {
  const auto found = tenures_.find(batch_shard_of(key.tenant));
  if (found == tenures_.end()) return {};
  return {found->second.primary.epoch(), found->second.number};
}

bool StoreService::may_serve(Millis now, const JobKey& key) {
  const ShardPrimary* primary = primary_of(key);
  return primary != nullptr && primary->ready() && control_client_.has_primary_lease(now);
}

bool StoreService::accepts_job(const JobKey& key, std::size_t memory_bytes) {
  return primary_of(key)->has_enough_replicas() && disk_.journal->accepts_jobs() &&
         fits_memory(memory_bytes, kJobMemoryShare);
}

bool StoreService::fits_memory(std::size_t more_bytes, double share) const {
  const double limit = share * kBytesPerMegabyte * static_cast<double>(settings_.limits.memory_mb);
  return static_cast<double>(disk_.table->memory_bytes() + more_bytes) <= limit;
}

const Route* StoreService::route_of(const JobSpec& job) {
  const auto configuration = control_client_.configuration();
  return configuration ? route_of_job(*configuration, job) : nullptr;
}

void StoreService::change(Millis now, JobChange change) {
  ShardPrimary* primary = primary_of(key_of(change));
  primary->add(std::move(change));
  advance(now);
}

bool StoreService::is_placed_here(const ShardPlacement* row) const {
  return row != nullptr && !row->members.empty() && row->members.front() == disk_id();
}

void StoreService::on_placement(Millis now) {
  for (const ShardPlacement& row : control_client_.state().placement().shards) {
    is_placed_here(&row) ? become_primary(row) : step_down(now, row.shard);
  }
  advance(now);
}

void StoreService::become_primary(const ShardPlacement& row) {
  const auto found = tenures_.find(row.shard);
  if (found != tenures_.end()) return found->second.primary.set_placement(row);
  // Changes from the previous primary may still be queued for the disk: the table is complete only after
  // them.
  if (writer_.is_idle()) return begin_tenure(row.shard);
  writer_.submit([] { return absl::OkStatus(); },
                 [this, shard = row.shard](Millis later, const absl::Status&) {
                   begin_tenure(shard);
                   advance(later);
                 });
}

void StoreService::begin_tenure(std::uint32_t shard) {
  const ShardPlacement* row = control_client_.state().placement().row(shard);
  if (!is_placed_here(row) || tenures_.contains(shard)) return;
  const auto required_replicas = static_cast<std::size_t>(settings_.fault_tolerance.machines) + 1;
  NETTLESTAND_INFO("primary of shard=" << shard << " epoch=" << row->epoch);
  // A restarted process may be the primary in the same epoch as before its restart: its messages are numbered
  // above the earlier ones.
  MessageNumber numbers{};
  numbers.generation = disk_.journal->starts();
  numbers.tenure = ++last_tenure_number_;
  const auto added = tenures_.emplace(
      shard,
      Tenure(numbers.tenure, ShardPrimary(shard, disk_id(), required_replicas, *disk_.table, numbers)));
  added.first->second.primary.set_placement(*row);
}

void StoreService::step_down(Millis now, std::uint32_t shard) {
  const auto found = tenures_.find(shard);
  if (found == tenures_.end()) return;
  NETTLESTAND_INFO("no longer primary of shard=" << shard);
  // The table has to reflect the disk, so that the new primary finds what differs. A batch that is still
  // being written is applied once its write is done.
  for (const JobChange& change : found->second.primary.take_durable_uncommitted())
    disk_.table->apply(now, change);
  apply_prefix(now, found->second.failed_batch, found->second.failed_batch_queued);
  tenures_.erase(found);
  for (const JobKey& key : disk_.table->keys_in_shard(shard)) runner_->forget(key);
  std::erase_if(next_positions_,
                [shard](const auto& item) { return batch_shard_of(item.first.tenant) == shard; });
  call_handler_.drop_shard(shard);
}

std::vector<InSyncReport> StoreService::in_sync_reports() {
  std::vector<InSyncReport> out;
  for (auto& [shard, tenure] : tenures_) {
    for (const InSyncReport& report : tenure.primary.in_sync_reports()) out.push_back(report);
  }
  return out;
}

void StoreService::tick(Millis now) {
  retry_failed_batches();
  advance(now);
  runner_->pump(now);
  call_handler_.tick(now);
  if (now < next_expiry_check_) return;
  next_expiry_check_ = now + kExpiryIntervalMs;
  expire_jobs(now);
  reclaim_segment();
}

// ---------------------------------------------------------------- the disk

// Changes that the journal holds, or will hold with its next write, and the table does not.
std::vector<JobChange> StoreService::uncommitted() const {
  std::vector<JobChange> out;
  for (const auto& [shard, tenure] : tenures_) {
    const std::vector<JobChange> written = tenure.primary.durable_uncommitted();
    out.insert(out.end(), written.begin(), written.end());
    const auto queued = tenure.failed_batch.begin() + static_cast<std::ptrdiff_t>(tenure.failed_batch_queued);
    out.insert(out.end(), tenure.failed_batch.begin(), queued);
  }
  return out;
}

void StoreService::reclaim_segment() {
  if (!writer_.is_idle()) return;  // retried at the next check
  auto plan = disk_.journal->plan_reclaim(*disk_.table, uncommitted());
  if (!plan) return;
  NETTLESTAND_INFO("reclaiming journal segment=" << plan->segment << " copied=" << plan->changes.size());
  writer_.submit([this, plan = *std::move(plan)] { return disk_.journal->reclaim(plan); },
                 [](Millis, const absl::Status&) {});
}

// ---------------------------------------------------------------- replication

void StoreService::advance(Millis now) {
  if (advancing_) return;
  advancing_ = true;
  do {
    take_committed(now);  // snapshots for other stores are made from the table
    write_batches();
    send_outgoing(now);
  } while (take_committed(now));
  advancing_ = false;
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

void StoreService::retry_failed_batches() {
  for (auto& [shard, tenure] : tenures_) {
    if (tenure.failed_batch.empty() || tenure.retrying) continue;
    tenure.retrying = true;
    write_batch(shard, tenure, tenure.failed_batch);
  }
}

void StoreService::apply_prefix(Millis now, const std::vector<JobChange>& changes, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) disk_.table->apply(now, changes[i]);
}

void StoreService::write_batch(std::uint32_t shard, Tenure& tenure, std::vector<JobChange> batch) {
  const auto shared = std::make_shared<const std::vector<JobChange>>(std::move(batch));
  writer_.append(shared, [this, shard, number = tenure.number, shared](Millis now, const absl::Status& status,
                                                                       std::size_t queued) {
    on_batch_written(now, shard, number, *shared, status, queued);
  });
}

void StoreService::on_batch_written(Millis now, std::uint32_t shard, std::uint64_t number,
                                    const std::vector<JobChange>& batch, const absl::Status& status,
                                    std::size_t queued) {
  const auto found = tenures_.find(shard);
  const bool current = found != tenures_.end() && found->second.number == number;
  if (!current) return apply_prefix(now, batch, queued);
  Tenure& tenure = found->second;
  tenure.retrying = false;
  if (!status.ok()) {
    tenure.failed_batch = batch;
    tenure.failed_batch_queued = std::max(tenure.failed_batch_queued, queued);
    return;
  }
  tenure.failed_batch.clear();
  tenure.failed_batch_queued = 0;
  tenure.primary.on_batch_durable();
  advance(now);
}

void StoreService::send_outgoing(Millis now) {
  const PlacementTable& table = control_client_.state().placement();
  for (auto& [shard, tenure] : tenures_) {
    for (const Replicate& message : tenure.primary.outgoing(now)) {
      const StoreRecord* peer = table.store(message.to);
      if (peer != nullptr) messenger_.send(peer->address, encode_message(MessageType::kReplicate, message));
    }
  }
}

void StoreService::on_replicate_reply(Millis now, const ReplicateReply& reply) {
  const auto found = tenures_.find(reply.shard);
  if (found == tenures_.end()) return;
  const bool was_ready = found->second.primary.ready();
  found->second.primary.on_reply(reply);
  advance(now);
  const auto after = tenures_.find(reply.shard);
  if (!was_ready && after != tenures_.end() && after->second.primary.ready()) runner_->pump(now);
}

void StoreService::commit(Millis now, const std::vector<JobChange>& batch) {
  for (const JobChange& change : batch) {
    const JobKey key = key_of(change);
    disk_.table->apply(now, change);
    if (change.removed) next_positions_.erase(key);
    if (change.removed || change.ended) runner_->forget(key);
    call_handler_.on_committed(now, change);
  }
  runner_->pump(now);
}

void StoreService::add_result(Millis now, const JobKey& key, JobResult result) {
  ShardPrimary* primary = primary_of(key);
  const Job* job = disk_.table->find(key);
  if (primary == nullptr || job == nullptr) return;
  auto [position, first] = next_positions_.try_emplace(key, static_cast<std::uint32_t>(job->results.size()));
  JobChange change{};
  change.tenant = key.tenant;
  change.job = key.id;
  change.first_position = position->second++;
  change.results.push_back(std::move(result));
  primary->add(std::move(change));
  advance(now);
}

void StoreService::expire_jobs(Millis now) {
  const Millis keep = static_cast<Millis>(settings_.bounds.status_s * 1000) + kExpiryGraceMs;
  std::vector<JobKey> expired;
  for (const auto& [key, job] : disk_.table->jobs()) {
    if ((job.complete() || job.ended) && job.accepted_at + keep < now && may_serve(now, key))
      expired.push_back(key);
  }
  for (const JobKey& key : expired) {
    JobChange change{};
    change.tenant = key.tenant;
    change.job = key.id;
    change.removed = true;
    primary_of(key)->add(std::move(change));
  }
  if (!expired.empty()) advance(now);
}

}  // namespace nettlestand::tier
