#include "control/replica_host.h"

#include <algorithm>
#include <utility>

#include "control/member_repair.h"
#include "node/log.h"

namespace nettlestand::tier {
namespace {

// Limits of the log before it is compacted into a snapshot. A replica that starts or was just elected has to
// apply the whole log before it can serve as leader.
constexpr std::size_t kCompactEntries = 128;
constexpr std::size_t kCompactBytes = 1U << 20;
// Messages queued per group during a write. Senders repeat what is dropped.
constexpr std::size_t kMaxQueuedMessages = 256;

}  // namespace

ReplicaHost::ReplicaHost(Messenger& messenger, ControlDisk disk)
    : messenger_(messenger), disk_(std::move(disk)) {}

ReplicaHost::~ReplicaHost() { disk_.queue.reset(); }

void ReplicaHost::add_group(GroupId id, GroupStateMachine* state_machine, Millis now) {
  Group& group = groups_[id];
  consensus::StoredState stored = disk_.journal->take_stored_state(id);
  if (stored.snapshot && !stored.snapshot->state.empty()) state_machine->load(stored.snapshot->state);
  group.state_machine = state_machine;
  group.replica = std::make_unique<consensus::Replica>(disk_id(), std::move(stored), consensus::Timing{},
                                                       disk_id() * 31 + id, now);
}

bool ReplicaHost::has_no_state() const {
  return std::all_of(groups_.begin(), groups_.end(),
                     [this](const auto& item) { return has_no_state(item.first); });
}

bool ReplicaHost::has_no_state(GroupId group) const {
  return replica(group).members().empty() && replica(group).term() == 0;
}

void ReplicaHost::store_bootstrap_state(BootstrapState state, storage::DiskQueue::Done done) {
  disk_.queue->submit([this, state = std::move(state)] { return disk_.journal->append_bootstrap(state); },
                      std::move(done));
}

bool ReplicaHost::has_pending_write() const {
  return std::any_of(groups_.begin(), groups_.end(), [](const auto& item) {
    return item.second.pending_write.has_value() && !item.second.write_failed;
  });
}

void ReplicaHost::tick(Millis now) {
  for (auto& [id, group] : groups_) {
    if (!group.pending_write) group.replica->tick(now);
    if (group.write_failed) write(id, group);
  }
  process_ready(now);
}

void ReplicaHost::on_message(Millis now, const std::string& from, const GroupMessage& message) {
  const auto found = groups_.find(message.group);
  if (found == groups_.end()) return;
  Group& group = found->second;
  reply_address_[message.message.from] = from;
  if (!group.pending_write) {
    group.replica->step(now, message.message);
    return process_ready(now);
  }
  if (group.inbox.size() >= kMaxQueuedMessages) group.inbox.pop_front();
  group.inbox.push_back(message.message);
}

void ReplicaHost::process_ready(Millis now) {
  if (processing_) return;
  processing_ = true;
  for (bool again = true; again;) {
    again = false;
    for (auto& [id, group] : groups_) again = process_group(now, id, group) || again;
  }
  processing_ = false;
  checkpoint_if_due();
}

// Returns whether the group may have more to do immediately.
bool ReplicaHost::process_group(Millis now, GroupId id, Group& group) {
  if (group.pending_write) return false;
  process_inbox(now, group);
  if (!group.replica->has_ready()) return false;
  consensus::Ready ready = group.replica->take_ready();
  const bool durable = ready.hard || ready.snapshot || !ready.entries.empty();
  if (!durable) {
    send_and_apply(now, id, group, std::move(ready));
    return true;
  }
  group.pending_write = std::move(ready);
  group.appended = false;
  write(id, group);
  return !group.pending_write;
}

void ReplicaHost::process_inbox(Millis now, Group& group) {
  while (!group.inbox.empty()) {
    const consensus::Message message = std::move(group.inbox.front());
    group.inbox.pop_front();
    group.replica->step(now, message);
  }
}

void ReplicaHost::write(GroupId id, Group& group) {
  group.write_failed = false;
  // After a failed sync the records are already in the journal and only need the sync.
  const auto append = [this, id, &group]() -> absl::Status {
    if (group.appended) return absl::OkStatus();
    absl::Status status = disk_.journal->append(id, *group.pending_write);
    group.appended = status.ok();
    return status;
  };
  disk_.queue->submit(append,
                      [this, id](Millis now, const absl::Status& status) { on_written(now, id, status); });
}

void ReplicaHost::on_written(Millis now, GroupId id, const absl::Status& status) {
  Group& group = groups_.at(id);
  if (!status.ok()) {
    NETTLESTAND_WARNING("control journal write failed group=" << id << " error=" << status.message());
    group.write_failed = true;
    return;
  }
  consensus::Ready ready = *std::move(group.pending_write);
  group.pending_write.reset();
  send_and_apply(now, id, group, std::move(ready));
  process_ready(now);
}

void ReplicaHost::send_and_apply(Millis now, GroupId id, Group& group, consensus::Ready ready) {
  for (consensus::Message& message : ready.messages) {
    const consensus::Member* peer = group.replica->member(message.to);
    const std::string address = peer != nullptr ? peer->address : reply_address_[message.to];
    GroupMessage out{};
    out.group = id;
    out.message = std::move(message);
    messenger_.send(address, encode_message(MessageType::kConsensus, out), Lane::kControl);
  }
  if (ready.snapshot && !ready.snapshot->state.empty()) group.state_machine->load(ready.snapshot->state);
  for (const consensus::LogEntry& entry : ready.committed) {
    if (entry.kind == consensus::EntryKind::kCommand) group.state_machine->apply(now, entry);
  }
  group.replica->persisted(now);
  log_members(id, group);
  const bool is_long =
      group.replica->log_size() > kCompactEntries || group.replica->log_bytes() > kCompactBytes;
  if (is_long && group.replica->applied() == group.replica->commit_index()) {
    group.replica->compact(group.state_machine->save());
  }
}

// Logs a membership change once it is complete, so that the old members are no longer needed.
void ReplicaHost::log_members(GroupId id, Group& group) {
  if (!group.replica->members_are_committed()) return;
  std::vector<consensus::ReplicaId> members;
  for (const consensus::Member& member : group.replica->members()) members.push_back(member.id);
  if (members == group.logged_members) return;
  if (!group.logged_members.empty())
    NETTLESTAND_INFO("members changed group=" << id << " size=" << members.size());
  group.logged_members = std::move(members);
}

// The states are captured while no write is in progress, and written after all queued writes.
void ReplicaHost::checkpoint_if_due() {
  if (checkpointing_ || !disk_.journal->needs_checkpoint() || has_pending_write()) return;
  std::map<GroupId, consensus::StoredState> states;
  for (auto& [id, group] : groups_) {
    // The entries of a failed write are not applied to the state machine yet.
    if (!group.pending_write) group.replica->compact(group.state_machine->save());
    states[id] = group.replica->stored();
  }
  checkpointing_ = true;
  disk_.queue->submit([this, states = std::move(states)] { return disk_.journal->checkpoint(states); },
                      [this](Millis, const absl::Status& status) {
                        checkpointing_ = false;
                        if (status.ok()) return;
                        NETTLESTAND_WARNING("control journal checkpoint failed error=" << status.message());
                      });
}

void ReplicaHost::repair_members(Millis now, GroupId id, const std::vector<consensus::Member>& live,
                                 std::size_t group_size) {
  Group& group = groups_.at(id);
  consensus::Replica& replica = *group.replica;
  if (group.pending_write || replica.role() != consensus::Role::kLeader) return;
  MemberRepair repair = plan_member_repair(replica, live, group_size, now);
  replica.set_learners(std::move(repair.learners));
  if (repair.new_members) replica.propose_members(now, *std::move(repair.new_members));
  process_ready(now);
}

}  // namespace nettlestand::tier
