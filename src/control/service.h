// The control service of a core machine. Takes part in the consensus groups and, for those that it leads,
// answers the nodes' polls, handles operator calls, reads the platform's server list and plans the placement
// of batch shards. No I/O of its own.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "control/bootstrap.h"
#include "control/config_text.h"
#include "control/control_client.h"
#include "control/node_registry.h"
#include "control/operator_api.h"
#include "control/placement.h"
#include "control/replica_host.h"
#include "control/server_list_source.h"
#include "node/settings.h"

namespace nettlestand::tier {

// Connects the consensus groups with the components that act for their leader.
class ControlService {
 public:
  // `list_source_factory` may be empty; then no server list is read.
  ControlService(Messenger& messenger, PartialView& view, ConfigTextProvider& config_texts,
                 const Settings& settings, ServerListSourceFactory list_source_factory, ControlDisk disk,
                 Millis now);
  ~ControlService();

  void tick(Millis now);
  // Transfers the leadership of all groups that this node leads, before it stops.
  void step_down(Millis now);
  void on_consensus(Millis now, const std::string& from, const GroupMessage& message);
  void on_poll(Millis now, const std::string& from, const Poll& poll);
  void on_bootstrap_request(const std::string& from, const BootstrapRequest& request);
  // A leader has answered: the groups exist, and this machine's part in the bootstrap is over.
  void on_leader_heard();
  void on_bootstrap_vote(const std::string& from, const BootstrapVote& vote);
  void on_operator_call(Millis now, const OperatorCall& call, OperatorCallback done);

  const ControlState& state() const;
  const ReplicaHost& host() const { return replica_host_; }
  storage::DiskQueue* disk_queue() { return replica_host_.disk_queue(); }
  // Whether this node leads the group and holds its lease.
  bool leads(Millis now, GroupId group) const;

 private:
  class ConfigStateMachine;
  class EmptyStateMachine;

  QuotaBounds quota_bounds() const;
  // The number of members that a group needs for the configured fault tolerance.
  std::size_t group_size() const;
  OperatorApi::GroupAccess operator_group();
  std::optional<EntryId> propose(Millis now, const ControlCommand& command);
  BootstrapProposer::Settings bootstrap_settings(Millis now) const;
  void propose_bootstrap(Millis now);
  // Makes the new bootstrap_state_ durable.
  void change_bootstrap_state();
  void store_bootstrap_state();
  void on_bootstrap_state_stored(Millis now, std::uint64_t revision, const absl::Status& status);
  bool is_bootstrap_state_durable() const { return bootstrap_durable_revision_ == bootstrap_revision_; }
  bool lacks_a_group() const;
  void create_groups(Millis now);
  void update_leadership(Millis now, GroupId group);
  void on_leadership_gained(Millis now, GroupId group);
  void on_leadership_lost(GroupId group);
  void propose_placement(Millis now);
  void start_server_list(GroupId group);
  void on_server_list(Millis now, GroupId group, std::vector<ListedServer> servers);
  void balance_leaders(Millis now, GroupId group);
  void push_updates(Millis now, GroupId group);
  PollReply make_reply(GroupId group, NodeRegistry::Subscriber& subscriber);
  void add_server_list(GroupId group, NodeRegistry::Subscriber& subscriber, PollReply& reply);
  void add_configuration(NodeRegistry::Subscriber& subscriber, PollReply& reply);
  void redirect_poll(const std::string& from, GroupId group);
  void grant_tokens(Millis now, const Poll& poll, PollReply& reply);
  void on_config_change_applied(Millis now, EntryId entry, const ConfigChange& change, ChangeOutcome outcome);
  void on_placement_applied(Millis now, EntryId entry);

  Messenger& messenger_;
  PartialView& view_;
  ConfigTextProvider& config_texts_;
  const Settings& settings_;
  ServerListSourceFactory list_source_factory_;
  std::unique_ptr<ConfigStateMachine> config_machine_;
  std::unique_ptr<EmptyStateMachine> empty_machine_;
  ReplicaHost replica_host_;
  BootstrapState bootstrap_state_;
  // Of bootstrap_state_: counts its changes, and which of them is durable.
  std::uint64_t bootstrap_revision_ = 0, bootstrap_durable_revision_ = 0;
  bool bootstrap_write_failed_ = false;  // it is repeated with the next tick
  BootstrapProposer bootstrap_proposer_;
  BootstrapVoter bootstrap_voter_;
  std::map<std::string, BootstrapVote> undelivered_votes_;  // by proposer's address; sent once durable
  OperatorApi operator_api_;
  bool stepped_down_ = false;

  // State of a leader; reset with each term.
  std::array<NodeRegistry, kGroups> registries_;
  std::map<GroupId, consensus::Term> leader_terms_;
  std::optional<PlacementPlanner> planner_;
  bool placement_pending_ = false;
  QuotaOwner quota_;
  std::map<GroupId, std::unique_ptr<ServerListSource>> list_sources_;
  std::map<GroupId, ServerList> server_lists_;
};

}  // namespace nettlestand::tier
