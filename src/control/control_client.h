// Each node's end of the control state: finds the groups' leaders, follows the configuration, the placement
// of batch shards and the lists of servers, and holds the lease without which nothing may be served.
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

// Group 0 holds the configuration; the others are the shards of the services, by a hash of their names.
constexpr std::uint32_t kConfigGroup = 0;
constexpr std::uint32_t kServiceShards = 2;
constexpr std::uint32_t kGroups = 1 + kServiceShards;
std::uint32_t service_group_of(const std::string& service);

struct ControlClientSettings {
  Millis lease_ms = 4000;  // how long the configuration counts as fresh after the last poll that was answered
  bool is_store = false;
  QuotaBounds quota;
};

class ControlClient {
 public:
  // Versions that are taken over are offered to others through `content`.
  ControlClient(Messenger& messenger, PartialView& view, ConfigTextProvider& config_texts,
                ControlClientSettings settings);
  void set_in_sync_source(std::function<std::vector<InSyncReport>()> source) {
    in_sync_source_ = std::move(source);
  }

  // On machines that hold a replica of the configuration's group: what it has applied.
  void set_replica_source(std::function<const ControlState*()> source) {
    replica_source_ = std::move(source);
  }

  void tick(Millis now);
  void on_config_text(Millis now, const std::string& from, const ConfigTextReply& reply);
  void on_reply(Millis now, const std::string& from, const PollReply& reply);
  void mark_leaving() { leaving_ = true; }
  // Asks for quota at once where a tenant has run out.
  void poll_if_urgent(Millis now);

  // Null before the first version has come.
  std::shared_ptr<const Configuration> configuration() const { return state_.configuration(); }
  const ControlState& state() const { return state_; }
  bool has_config_lease(Millis now) const { return now < lease_until_; }
  // Whether a batch primary may still act as one.
  bool has_primary_lease(Millis now) const { return now < placement_confirmed_at_ + kPrimaryLeaseMs; }
  std::vector<ListedServer> servers() const;
  // Rises with each list that is taken over.
  std::uint64_t server_list_version() const { return server_list_version_; }
  bool has_all_server_lists() const { return lists_.size() == kServiceShards; }
  // This node's place among the live ones of its class, and among those of its zone.
  std::size_t index() const { return index_; }
  std::size_t count() const { return count_; }
  std::size_t zone_index() const { return zone_index_; }
  std::size_t zone_count() const { return zone_count_; }
  QuotaLease& quota() { return quota_; }
  // Where the leader of a group is believed to be; empty: not known.
  const std::string& leader(std::uint32_t group) const { return leaders_[group].address; }
  void hint_leader(std::uint32_t group, const std::string& address);

 private:
  struct LeaderContact {
    std::string address;
    Millis last_poll_at = 0, last_reply_at = 0, next_poll_at = 0;
    bool confirmed = false;
  };
  // A poll's answer that makes this node fresh once it holds the version that the answer named.
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
  std::deque<LeaseRenewal> pending_renewals_;  // by rising sequence
  std::array<LeaderContact, kGroups> leaders_;
  std::size_t next_core_ = 0;
  ControlState state_;
  std::map<std::uint32_t, ServerList> lists_;
  std::uint64_t server_list_version_ = 0;
  QuotaLease quota_;
  Millis lease_until_ = 0, last_urgent_poll_at_ = 0;
  Millis placement_confirmed_at_ =
      -kPrimaryLeaseMs;  // when the last poll was sent whose answer left the placement whole
  std::size_t index_ = 0, count_ = 1, zone_index_ = 0, zone_count_ = 1, edge_count_ = 1;
  bool leaving_ = false;
};

}  // namespace nettlestand::tier
