// The I/O around the replicas of one core machine: persists their state, sends their messages, and passes
// committed commands to the state machines.
//
// While a group's write is in progress, the group sends nothing and its incoming messages are queued. A
// stalled disk therefore costs this machine the leadership of its groups, within an election timeout, and
// nothing else.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "control/journal.h"
#include "messaging/messages.h"
#include "messaging/messenger.h"
#include "storage/disk_queue.h"

namespace nettlestand::tier {

// The replicated state machine of a group.
class GroupStateMachine {
 public:
  virtual ~GroupStateMachine() = default;
  // Applies a committed command.
  virtual void apply(Millis now, const consensus::LogEntry& entry) = 0;
  // Serializes the state for a snapshot, and restores it.
  virtual std::string save() const = 0;
  virtual void load(const std::string& state) = 0;
};

// A core machine's journal and the queue of writes to it. The queue is destroyed first.
struct ControlDisk {
  std::unique_ptr<ControlJournal> journal;
  std::unique_ptr<storage::DiskQueue> queue;
};

// Runs one replica per group.
class ReplicaHost {
 public:
  ReplicaHost(Messenger& messenger, ControlDisk disk);
  ~ReplicaHost();

  void add_group(GroupId group, GroupStateMachine* state_machine, Millis now);
  consensus::Replica& replica(GroupId group) { return *groups_.at(group).replica; }
  const consensus::Replica& replica(GroupId group) const { return *groups_.at(group).replica; }
  std::uint64_t disk_id() const { return disk_.journal->disk_id(); }
  storage::DiskQueue* disk_queue() { return disk_.queue.get(); }
  // Whether this disk belongs to no group and has cast no vote in any; the same of one group.
  bool has_no_state() const;
  bool has_no_state(GroupId group) const;
  // What the disk kept of the bootstrap when it was opened. Only until the first write.
  const BootstrapState& stored_bootstrap_state() const { return disk_.journal->bootstrap_state(); }
  void store_bootstrap_state(BootstrapState state, storage::DiskQueue::Done done);

  void tick(Millis now);
  void on_message(Millis now, const std::string& from, const GroupMessage& message);
  // Processes the replicas' pending output. To be called after each proposal or other direct use of a
  // replica.
  void process_ready(Millis now);

  // Replaces failed members by live core machines, one change at a time, in a group that this node leads.
  // `group_size`: the desired number of members.
  void repair_members(Millis now, GroupId group, const std::vector<consensus::Member>& live,
                      std::size_t group_size);

 private:
  struct Group {
    std::unique_ptr<consensus::Replica> replica;
    GroupStateMachine* state_machine = nullptr;
    // Output that is being persisted. Nothing of it is sent or applied before that is done.
    std::optional<consensus::Ready> pending_write;
    bool appended = false;      // it is in the journal but not yet synced
    bool write_failed = false;  // the disk returned an error; the write is retried with the next tick
    std::deque<consensus::Message> inbox;
    std::vector<consensus::ReplicaId> logged_members;  // as last written to the program's log
  };
  bool process_group(Millis now, GroupId id, Group& group);
  void write(GroupId id, Group& group);
  void on_written(Millis now, GroupId id, const absl::Status& status);
  void send_and_apply(Millis now, GroupId id, Group& group, consensus::Ready ready);
  void process_inbox(Millis now, Group& group);
  void log_members(GroupId id, Group& group);
  void checkpoint_if_due();
  // Whether a write of any group is in progress. A failed write doesn't count, since the checkpoint that
  // frees the space it needs must not wait for it.
  bool has_pending_write() const;

  Messenger& messenger_;
  ControlDisk disk_;
  std::map<GroupId, Group> groups_;
  std::map<consensus::ReplicaId, std::string>
      reply_address_;  // of replicas that aren't members in this replica's view
  bool processing_ = false, checkpointing_ = false;
};

}  // namespace nettlestand::tier
