// Each node's client of the control groups. Finds the groups' leaders, keeps the configuration, the placement
// of batch shards and the server lists up to date, and holds the lease without which no request may be
// served.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/config_text.h"
#include "control/placement.h"
#include "control/state.h"
#include "membership/partial_view.h"
#include "messaging/messages.h"
#include "messaging/messenger.h"
#include "routing/quota.h"

namespace nettlestand::tier {

// Group 0 holds the configuration. The other groups are shards of the services, by a hash of the service
// name.
constexpr std::uint32_t kConfigGroup = 0;
constexpr std::uint32_t kServiceShards = 2;
constexpr std::uint32_t kGroups = 1 + kServiceShards;
// The group that is responsible for a service.
std::uint32_t service_group_of(const std::string& service);

struct ControlClientSettings {
  Millis lease_ms = 4000;  // how long the configuration may be used after the last answered poll was sent
  bool is_store = false;
  QuotaBounds quota;
};

// Polls the leaders of the control groups. No I/O of its own.
class ControlClient {
 public:
  // New versions are served to other nodes through `config_texts`.
  ControlClient(Messenger& messenger, PartialView& view, ConfigTextProvider& config_texts,
                ControlClientSettings settings);
  // On stores: reports of joining replicas that have become in sync, sent with each poll.
  void set_in_sync_source(std::function<std::vector<InSyncReport>()> source) {
    in_sync_source_ = std::move(source);
  }

  // On machines with a replica of the configuration group: the state that the replica has applied.
  void set_replica_source(std::function<const ControlState*()> source) {
    replica_source_ = std::move(source);
  }

  void tick(Millis now);
  void on_config_text(Millis now, const std::string& from, const ConfigTextReply& reply);
  void on_reply(Millis now, const std::string& from, const PollReply& reply);
  void mark_leaving() { leaving_ = true; }
  // Polls for quota immediately if a tenant has run out of tokens.
  void poll_if_urgent(Millis now);

  // Null until the first version has arrived.
  std::shared_ptr<const Configuration> configuration() const { return state_.configuration(); }
  const ControlState& state() const { return state_; }
  // Whether the configuration is recent enough to serve requests by it.
  bool has_config_lease(Millis now) const { return now < lease_until_; }
  // How long a node that holds the lease may be without a newer configuration that others have.
  Millis config_lease_ms() const { return settings_.lease_ms; }
  // Whether a primary of a batch shard may still act as one.
  bool has_primary_lease(Millis now) const { return now < placement_confirmed_at_ + kPrimaryLeaseMs; }
  std::vector<ListedServer> servers() const;
  // Increases with each new server list.
  std::uint64_t server_list_version() const { return server_list_version_; }
  bool has_all_server_lists() const { return lists_.size() == kServiceShards; }
  // This node's position among the live nodes of its role, and among those in its zone.
  std::size_t index() const { return index_; }
  std::size_t count() const { return count_; }
  std::size_t zone_index() const { return zone_index_; }
  std::size_t zone_count() const { return zone_count_; }
  QuotaLease& quota() { return quota_; }
  // The presumed address of a group's leader; empty if unknown.
  const std::string& leader(std::uint32_t group) const { return leaders_[group].address; }
  void hint_leader(std::uint32_t group, const std::string& address);

 private:
  struct LeaderContact {
    std::string address;
    Millis last_poll_at = 0, last_reply_at = 0, next_poll_at = 0;
    bool confirmed = false;
  };
  // A poll reply that renews the lease once this node has the version named in it.
  struct LeaseRenewal {
    std::uint64_t sequence = 0;
    Millis poll_sent_at = 0;
  };
  void poll(Millis now, std::uint32_t group);
  std::string next_core_address();
  std::vector<std::string> config_text_sources() const;
  void want_version(Millis now, const ConfigVersion& id);
  void fetch_config_text(Millis now);
  bool adopt_from_replica();
  void adopt(const ConfigTextFetcher::Fetched& fetched, std::shared_ptr<const Configuration> parsed);
  void renew_lease();
  Millis poll_interval(std::uint32_t group) const;
  void update_placement(const PollReply& reply);
  void apply_reply(Millis now, const PollReply& reply);
  void update_server_lists(const PollReply& reply);

  Messenger& messenger_;
  PartialView& view_;
  ConfigTextProvider& config_texts_;
  ControlClientSettings settings_;
  std::function<std::vector<InSyncReport>()> in_sync_source_;
  std::function<const ControlState*()> replica_source_;
  ConfigTextFetcher fetcher_;
  Millis fetch_started_at_ = 0;
  std::deque<LeaseRenewal> pending_renewals_;  // by ascending sequence
  std::array<LeaderContact, kGroups> leaders_;
  std::size_t next_core_ = 0;
  ControlState state_;
  std::map<std::uint32_t, ServerList> lists_;
  std::uint64_t server_list_version_ = 0;
  QuotaLease quota_;
  Millis lease_until_ = 0, last_urgent_poll_at_ = 0;
  // When the last poll was sent whose reply confirmed that the placement held here is current.
  Millis placement_confirmed_at_ = -kPrimaryLeaseMs;
  std::size_t index_ = 0, count_ = 1, zone_index_ = 0, zone_count_ = 1, edge_count_ = 1;
  bool leaving_ = false;
};

}  // namespace nettlestand::tier
