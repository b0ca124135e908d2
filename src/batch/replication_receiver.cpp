#include "batch/replication_receiver.h"

#include <algorithm>
#include <memory>
#include <vector>

#include "batch/item_digest.h"
#include "node/log.h"

namespace nettlestand::tier {

// Accepts only the primary of exactly the epoch that is known here. Other messages are dropped unanswered;
// the primary repeats what was not answered.
bool ReplicationReceiver::is_from_primary(const std::string& from, const Replicate& message) const {
  const PlacementTable& placement = control_client_.state().placement();
  const ShardPlacement* row = placement.row(message.shard);
  if (row == nullptr || row->epoch != message.epoch || row->members.empty()) return false;
  if (row->members.front() == self_) return false;
  const StoreRecord* sender = placement.store(row->members.front());
  return sender != nullptr && sender->address == from;
}

// After a reconnect, a message of the old connection may be read after one of the new connection.
bool ReplicationReceiver::is_stale(const Replicate& message) {
  LastMessage& last = last_messages_[message.shard];
  if (last.epoch == message.epoch && message.number < last.number) return true;
  last = {message.epoch, message.number};
  return false;
}

void ReplicationReceiver::check_bodies(const Replicate& message) {
  for (const JobChange& change : message.changes) {
    const std::size_t corrupted = count_corrupted_items(change);
    if (corrupted == 0) continue;
    body_check_.record_mismatch(BodyCheckStep::kCopy, corrupted);
    NETTLESTAND_WARNING("item content does not match its digest job="
                        << change.job << " items=" << corrupted << " step=" << name_of(BodyCheckStep::kCopy));
  }
}

void ReplicationReceiver::on_replicate(const std::string& from, const Replicate& message) {
  if (message.to != self_ || !is_from_primary(from, message)) return;
  if (is_stale(message)) return;
  const auto is_foreign = [&message](const JobChange& change) {
    return batch_shard_of(change.tenant) != message.shard;
  };
  if (std::any_of(message.changes.begin(), message.changes.end(), is_foreign)) return;
  check_bodies(message);
  const auto shared = std::make_shared<const Replicate>(message);
  const std::shared_ptr<const std::vector<JobChange>> changes(shared, &shared->changes);
  // An empty list of changes passes through the writer too: the digest has to cover all earlier writes.
  writer_.append(changes, [this, from, shared](Millis now, const absl::Status& status, std::size_t queued) {
    for (std::size_t i = 0; i < queued; ++i) table_.apply(now, shared->changes[i]);
    if (status.ok()) acknowledge(from, *shared);
  });
}

void ReplicationReceiver::acknowledge(const std::string& from, const Replicate& message) {
  ReplicateReply reply{};
  reply.shard = message.shard;
  reply.epoch = message.epoch;
  reply.number = message.number;
  reply.from = self_;
  reply.accepted = true;
  if (message.digest_wanted) {
    reply.has_digest = true;
    for (const JobKey& key : table_.keys_in_shard(message.shard)) reply.digest.push_back(table_.digest(key));
  }
  messenger_.send(from, encode_message(MessageType::kReplicateReply, reply));
}

}  // namespace nettlestand::tier
