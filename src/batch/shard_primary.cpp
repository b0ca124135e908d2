#include "batch/shard_primary.h"

#include <algorithm>
#include <iterator>

namespace nettlestand::tier {
namespace {

constexpr Millis kResendMs = 350;                    // after which an unanswered message is sent again
constexpr std::size_t kMaxRepairBytes = 512U << 10;  // at which a message takes no further snapshot
constexpr std::size_t kMaxBatchBytes = 2U << 20;     // at which a batch takes no further change

std::size_t size_of(const JobChange& change) {
  std::size_t bytes = 0;
  for (const JobSpec& spec : change.spec) {
    for (const JobItem& item : spec.items) bytes += item.body.size() + item.path.size() + 64;
  }
  for (const JobResult& result : change.results) bytes += result.text.size() + 8;
  return bytes;
}

}  // namespace

void ShardPrimary::set_placement(const ShardPlacement& row) {
  if (row.epoch <= row_.epoch) return;
  row_ = row;
  peers_.clear();
  for (const StoreId id : row.members) {
    if (id != self_) peers_[id].required_for_commit = true;
  }
  for (const StoreId id : row.joining) peers_[id].joining = true;
  update_history_replicated();
}

void ShardPrimary::update_history_replicated() {
  if (may_commit() && members_in_sync()) history_replicated_ = true;
}

bool ShardPrimary::members_in_sync() const {
  return row_.epoch > 0 && std::all_of(peers_.begin(), peers_.end(), [](const auto& item) {
           return !item.second.required_for_commit || item.second.is_in_sync();
         });
}

MessageNumber ShardPrimary::next_number() {
  ++last_number_.message;
  return last_number_;
}

Replicate ShardPrimary::new_message(StoreId to) const {
  Replicate out{};
  out.shard = shard_;
  out.epoch = row_.epoch;
  out.to = to;
  return out;
}

std::vector<JobChange> ShardPrimary::next_batch() {
  if (!in_flight_batch_.empty() || !committed_.empty() || queued_.empty()) return {};
  if (!ready() || !may_commit()) return {};
  std::size_t bytes = 0, count = 0;
  for (; count < queued_.size() && bytes < kMaxBatchBytes; ++count) bytes += size_of(queued_[count]) + 1;
  const auto end = queued_.begin() + static_cast<std::ptrdiff_t>(count);
  in_flight_batch_.assign(std::make_move_iterator(queued_.begin()), std::make_move_iterator(end));
  queued_.erase(queued_.begin(), end);
  batch_durable_ = false;
  for (auto& [id, peer] : peers_) {
    peer.batch_number.reset();
    peer.batch_acked = false;
  }
  return in_flight_batch_;
}

void ShardPrimary::on_batch_durable() {
  batch_durable_ = true;
  try_commit();
}

void ShardPrimary::send_repair(Millis now, StoreId id, Peer& peer, std::vector<Replicate>& out) {
  if (peer.repair_number && now < peer.repair_sent_at + kResendMs) return;
  if (!peer.repair_number) {
    peer.repair_number = next_number();
    peer.repair_changes.clear();
    peer.jobs_in_repair.clear();
    std::size_t bytes = 0;
    for (const JobKey& key : peer.outdated_jobs) {
      if (bytes >= kMaxRepairBytes) break;
      peer.repair_changes.push_back(table_.snapshot_of(key));
      peer.jobs_in_repair.insert(key);
      bytes += size_of(peer.repair_changes.back()) + 1;
    }
  }
  peer.repair_sent_at = now;
  Replicate message = new_message(id);
  message.number = *peer.repair_number;
  message.changes = peer.repair_changes;
  out.push_back(std::move(message));
}

std::vector<Replicate> ShardPrimary::outgoing(Millis now) {
  std::vector<Replicate> out;
  for (auto& [id, peer] : peers_) {
    if (!peer.digest_received) {
      if (peer.digest_requested_at != 0 && now < peer.digest_requested_at + kResendMs) continue;
      peer.digest_requested_at = now;
      if (!peer.digest_request) peer.digest_request = next_number();
      Replicate request = new_message(id);
      request.number = *peer.digest_request;
      request.digest_wanted = true;
      out.push_back(std::move(request));
      continue;
    }
    if (!peer.outdated_jobs.empty()) {
      send_repair(now, id, peer, out);
      continue;
    }
    if (in_flight_batch_.empty() || peer.batch_acked) continue;
    if (peer.batch_number && now < peer.batch_sent_at + kResendMs) continue;
    if (!peer.batch_number) peer.batch_number = next_number();
    peer.batch_sent_at = now;
    Replicate next = new_message(id);
    next.number = *peer.batch_number;
    next.changes = in_flight_batch_;
    out.push_back(std::move(next));
  }
  return out;
}

void ShardPrimary::on_reply(const ReplicateReply& reply) {
  const auto found = peers_.find(reply.from);
  if (found == peers_.end() || reply.epoch != row_.epoch || !reply.accepted) return;
  Peer& peer = found->second;
  if (reply.has_digest && !peer.digest_received && peer.digest_request == reply.number) {
    peer.digest_received = true;
    std::set<JobKey> seen;
    for (const JobDigest& peer_digest : reply.digest) {
      const JobKey key{peer_digest.tenant, peer_digest.job};
      seen.insert(key);
      if (table_.find(key) == nullptr || encode(table_.digest(key)) != encode(peer_digest))
        peer.outdated_jobs.insert(key);
    }
    for (const JobKey& key : table_.keys_in_shard(shard_)) {
      if (!seen.contains(key)) peer.outdated_jobs.insert(key);
    }
    return update_history_replicated();
  }
  if (peer.repair_number == reply.number) {
    for (const JobKey& key : peer.jobs_in_repair) peer.outdated_jobs.erase(key);
    peer.repair_number.reset();
    return update_history_replicated();
  }
  if (!in_flight_batch_.empty() && peer.batch_number == reply.number) {
    peer.batch_acked = true;
    try_commit();
  }
}

void ShardPrimary::try_commit() {
  if (in_flight_batch_.empty() || !batch_durable_ || !committed_.empty()) return;
  if (!may_commit()) return;
  for (const auto& [id, peer] : peers_) {
    if (peer.required_for_commit && !peer.batch_acked) return;
  }
  committed_.swap(in_flight_batch_);
}

// Peers that have not acknowledged the batch get snapshots of its jobs instead. These are made from the
// table, which holds the batch only once the host has applied it: before that, a snapshot would tell a peer
// to remove a new job.
std::vector<JobChange> ShardPrimary::take_committed() {
  std::vector<JobChange> out;
  out.swap(committed_);
  if (out.empty()) return out;
  for (auto& [id, peer] : peers_) {
    if (peer.batch_acked) continue;
    for (const JobChange& change : out) {
      peer.outdated_jobs.insert(key_of(change));
      peer.jobs_in_repair.erase(key_of(change));  // the snapshot in flight is older
    }
  }
  return out;
}

std::vector<JobChange> ShardPrimary::durable_uncommitted() const {
  return batch_durable_ ? in_flight_batch_ : std::vector<JobChange>();
}

std::vector<JobChange> ShardPrimary::take_durable_uncommitted() {
  std::vector<JobChange> out;
  if (batch_durable_) out.swap(in_flight_batch_);
  return out;
}

std::vector<InSyncReport> ShardPrimary::in_sync_reports() {
  std::vector<InSyncReport> out;
  if (!members_in_sync()) return out;
  for (auto& [id, peer] : peers_) {
    if (!peer.joining || !peer.is_in_sync()) continue;
    peer.required_for_commit = true;  // from here on nothing commits without it
    InSyncReport report{};
    report.shard = shard_;
    report.epoch = row_.epoch;
    report.store = id;
    out.push_back(report);
  }
  return out;
}

}  // namespace nettlestand::tier
