// The I/O round one core machine's replicas: writes and syncs what they want durable, sends their messages,
// and hands committed commands on.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "control/journal.h"
#include "messaging/messages.h"
#include "messaging/network.h"

namespace nettlestand::tier {

// The state machine of a group.
class GroupStateMachine {
 public:
  virtual ~GroupStateMachine() = default;
  virtual void apply(consensus::LogIndex index, const std::string& command) = 0;
  virtual std::string save() const = 0;
  virtual void load(const std::string& state) = 0;
};

class ReplicaHost {
 public:
  ReplicaHost(Network& network, std::unique_ptr<ControlJournal> journal);

  void add_group(GroupId group, GroupStateMachine* machine, Millis now);
  consensus::Replica& replica(GroupId group) { return *groups_.at(group).replica; }
  const consensus::Replica& replica(GroupId group) const { return *groups_.at(group).replica; }
  std::uint64_t disk_id() const { return journal_->disk_id(); }
  // Whether this disk belongs to no group and has promised nothing.
  bool is_blank() const;

  void tick(Millis now);
  void on_message(Millis now, const std::string& from, const GroupMessage& message);
  // Does what the replicas want done; to be called after each step or proposal.
  void drive(Millis now);

  // Adds live core machines in place of dead members, one change at a time; for groups that this node leads.
  void repair_members(Millis now, GroupId group, const std::vector<consensus::Member>& live);

 private:
  struct Group {
    std::unique_ptr<consensus::Replica> replica;
    GroupStateMachine* machine = nullptr;
    std::optional<consensus::Ready> unsynced;  // to be made durable before anything else happens
    bool appended = false;                     // and written to the journal, but not synced
  };
  bool drive_group(Millis now, GroupId id, Group& group);
  absl::Status make_durable(GroupId id, Group& group);
  void finish(Millis now, GroupId id, Group& group, consensus::Ready ready);
  void checkpoint_if_due();
  bool blocked() const;

  Network& network_;
  std::unique_ptr<ControlJournal> journal_;
  std::map<GroupId, Group> groups_;
  std::map<consensus::ReplicaId, std::string> reply_address_;  // of replicas that are no members here
};

}  // namespace nettlestand::tier
