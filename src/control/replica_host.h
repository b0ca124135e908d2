// The I/O round one core machine's replicas: has written what they want durable, sends their messages, and
// hands committed commands on.
//
// While a group's write is under way that group hears and says nothing; what comes meanwhile waits. A disk
// that stalls so costs the groups that this machine leads, within an election's time, and nothing else.
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

// The state machine of a group.
class GroupStateMachine {
 public:
  virtual ~GroupStateMachine() = default;
  virtual void apply(Millis now, const consensus::LogEntry& entry) = 0;
  virtual std::string save() const = 0;
  virtual void load(const std::string& state) = 0;
};

// A core machine's disk: its journal, and the queue of writes to it. The queue is destroyed first.
struct ControlDisk {
  std::unique_ptr<ControlJournal> journal;
  std::unique_ptr<storage::DiskQueue> queue;
};

class ReplicaHost {
 public:
  ReplicaHost(Messenger& messenger, ControlDisk disk);
  ~ReplicaHost();

  void add_group(GroupId group, GroupStateMachine* state_machine, Millis now);
  consensus::Replica& replica(GroupId group) { return *groups_.at(group).replica; }
  const consensus::Replica& replica(GroupId group) const { return *groups_.at(group).replica; }
  std::uint64_t disk_id() const { return disk_.journal->disk_id(); }
  storage::DiskQueue* disk_queue() { return disk_.queue.get(); }
  // Whether this disk belongs to no group and has promised nothing.
  bool has_no_state() const;

  void tick(Millis now);
  void on_message(Millis now, const std::string& from, const GroupMessage& message);
  // Does what the replicas want done; to be called after each step or proposal.
  void process_ready(Millis now);

  // Replaces dead members by live core machines, one change at a time; for groups that this node leads.
  // `wanted`: the size of a group.
  void repair_members(Millis now, GroupId group, const std::vector<consensus::Member>& live,
                      std::size_t group_size);

 private:
  struct Group {
    std::unique_ptr<consensus::Replica> replica;
    GroupStateMachine* state_machine = nullptr;
    // Is being made durable: until then nothing of it is sent or applied.
    std::optional<consensus::Ready> pending_write;
    bool appended = false;      // and stands in the journal, but was not synced
    bool write_failed = false;  // the disk refused it; it is tried again with the next tick
    std::deque<consensus::Message> inbox;
    std::vector<consensus::ReplicaId> logged_members;  // that were last logged
  };
  bool process_group(Millis now, GroupId id, Group& group);
  void write(GroupId id, Group& group);
  void on_written(Millis now, GroupId id, const absl::Status& status);
  void send_and_apply(Millis now, GroupId id, Group& group, consensus::Ready ready);
  void process_inbox(Millis now, Group& group);
  void log_members(GroupId id, Group& group);
  void checkpoint_if_due();
  // Whether a write of any group is under way. One that the disk has refused is not: the checkpoint that
  // makes room for it must not wait for it.
  bool has_pending_write() const;

  Messenger& messenger_;
  ControlDisk disk_;
  std::map<GroupId, Group> groups_;
  std::map<consensus::ReplicaId, std::string> reply_address_;  // of replicas that are no members here
  bool processing_ = false, checkpointing_ = false;
};

}  // namespace nettlestand::tier
