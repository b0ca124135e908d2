#include "batch/shard_primary.h"

#include <algorithm>
#include <iterator>

namespace nettlestand::tier {
namespace {

constexpr Millis kResendMs = 350;                 // what was not answered is sent again
constexpr std::size_t kRepairBytes = 512U << 10;  // of copies in one message, beyond the first
constexpr std::size_t kBatchBytes = 2U << 20;     // of changes in one batch, beyond the first

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
    if (id != self_) peers_[id].must_hold = true;
  }
  for (const StoreId id : row.joining) peers_[id].joining = true;
  settle();
}

void ShardPrimary::settle() {
  if (may_commit() && is_in_line()) settled_ = true;
}

bool ShardPrimary::is_in_line() const {
  return row_.epoch > 0 && std::all_of(peers_.begin(), peers_.end(), [](const auto& item) {
           return !item.second.must_hold || item.second.holds_all();
         });
}

MessageNumber ShardPrimary::next_number() {
  ++last_number_.message;
  return last_number_;
}

Replicate ShardPrimary::message(StoreId to) const {
  Replicate out{};
  out.shard = shard_;
  out.epoch = row_.epoch;
  out.to = to;
  return out;
}

std::vector<JobChange> ShardPrimary::next_batch() {
  if (!batch_.empty() || !committed_.empty() || queued_.empty()) return {};
  if (!ready() || !may_commit()) return {};
  std::size_t bytes = 0, count = 0;
  for (; count < queued_.size() && bytes < kBatchBytes; ++count) bytes += size_of(queued_[count]) + 1;
  const auto end = queued_.begin() + static_cast<std::ptrdiff_t>(count);
  batch_.assign(std::make_move_iterator(queued_.begin()), std::make_move_iterator(end));
  queued_.erase(queued_.begin(), end);
  local_durable_ = false;
  for (auto& [id, peer] : peers_) {
    peer.batch_sent.reset();
    peer.batch_acked = false;
  }
  return batch_;
}

void ShardPrimary::local_durable() {
  local_durable_ = true;
  try_commit();
}

void ShardPrimary::repair(Millis now, StoreId id, Peer& peer, std::vector<Replicate>& out) {
  if (peer.repair && now < peer.repair_sent_at + kResendMs) return;
  if (!peer.repair) {
    peer.repair = next_number();
    peer.repair_changes.clear();
    peer.sent_copies.clear();
    std::size_t bytes = 0;
    for (const JobKey& key : peer.missing) {
      if (bytes >= kRepairBytes) break;
      peer.repair_changes.push_back(table_.copy_of(key));
      peer.sent_copies.insert(key);
      bytes += size_of(peer.repair_changes.back()) + 1;
    }
  }
  peer.repair_sent_at = now;
  Replicate copies = message(id);
  copies.number = *peer.repair;
  copies.changes = peer.repair_changes;
  out.push_back(std::move(copies));
}

std::vector<Replicate> ShardPrimary::outgoing(Millis now) {
  std::vector<Replicate> out;
  for (auto& [id, peer] : peers_) {
    if (!peer.digested) {
      if (peer.asked_at != 0 && now < peer.asked_at + kResendMs) continue;
      peer.asked_at = now;
      if (!peer.ask) peer.ask = next_number();
      Replicate ask = message(id);
      ask.number = *peer.ask;
      ask.digest_wanted = true;
      out.push_back(std::move(ask));
      continue;
    }
    if (!peer.missing.empty()) {
      repair(now, id, peer, out);
      continue;
    }
    if (batch_.empty() || peer.batch_acked) continue;
    if (peer.batch_sent && now < peer.batch_sent_at + kResendMs) continue;
    if (!peer.batch_sent) peer.batch_sent = next_number();
    peer.batch_sent_at = now;
    Replicate next = message(id);
    next.number = *peer.batch_sent;
    next.changes = batch_;
    out.push_back(std::move(next));
  }
  return out;
}

void ShardPrimary::on_reply(const ReplicateReply& reply) {
  const auto found = peers_.find(reply.from);
  if (found == peers_.end() || reply.epoch != row_.epoch || !reply.accepted) return;
  Peer& peer = found->second;
  if (reply.has_digest && !peer.digested && peer.ask == reply.number) {
    peer.digested = true;
    std::set<JobKey> seen;
    for (const JobDigest& held : reply.digest) {
      const JobKey key{held.tenant, held.job};
      seen.insert(key);
      if (table_.find(key) == nullptr || encode(table_.digest(key)) != encode(held)) peer.missing.insert(key);
    }
    for (const JobKey& key : table_.keys_of(shard_)) {
      if (!seen.contains(key)) peer.missing.insert(key);
    }
    return settle();
  }
  if (peer.repair == reply.number) {
    for (const JobKey& key : peer.sent_copies) peer.missing.erase(key);
    peer.repair.reset();
    return settle();
  }
  if (!batch_.empty() && peer.batch_sent == reply.number) {
    peer.batch_acked = true;
    try_commit();
  }
}

void ShardPrimary::try_commit() {
  if (batch_.empty() || !local_durable_ || !committed_.empty()) return;
  if (!may_commit()) return;
  for (const auto& [id, peer] : peers_) {
    if (peer.must_hold && !peer.batch_acked) return;
  }
  committed_.swap(batch_);
}

// Who has not acknowledged the batch gets copies of its jobs. They are made from the table, which holds the
// batch only once the host has applied it: before that a copy would tell a peer to forget a new job.
std::vector<JobChange> ShardPrimary::take_committed() {
  std::vector<JobChange> out;
  out.swap(committed_);
  if (out.empty()) return out;
  for (auto& [id, peer] : peers_) {
    if (peer.batch_acked) continue;
    for (const JobChange& change : out) {
      peer.missing.insert(key_of(change));
      peer.sent_copies.erase(key_of(change));  // the copy on its way is older
    }
  }
  return out;
}

std::vector<JobChange> ShardPrimary::written() const {
  return local_durable_ ? batch_ : std::vector<JobChange>();
}

std::vector<JobChange> ShardPrimary::take_written() {
  std::vector<JobChange> out;
  if (local_durable_) out.swap(batch_);
  return out;
}

std::vector<InSyncReport> ShardPrimary::in_sync() {
  std::vector<InSyncReport> out;
  if (!is_in_line()) return out;
  for (auto& [id, peer] : peers_) {
    if (!peer.joining || !peer.holds_all()) continue;
    peer.must_hold = true;  // from here on nothing is committed without it
    InSyncReport report{};
    report.shard = shard_;
    report.epoch = row_.epoch;
    report.store = id;
    out.push_back(report);
  }
  return out;
}

}  // namespace nettlestand::tier
