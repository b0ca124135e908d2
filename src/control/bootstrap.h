// Bootstrap of the consensus groups, which happens once in a system's life, on empty disks. One core machine
// proposes the first members and the seeds vote. Each seed votes for one proposer only, so that no two sets
// of groups can be created. No I/O.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "messaging/messages.h"

namespace nettlestand::tier {

// The proposing core machine.
class BootstrapProposer {
 public:
  struct Settings {
    std::vector<std::string> seed_addresses;  // internal addresses of the seed nodes
    std::size_t group_size = 3;               // desired number of members
    Millis started_at = 0;
  };
  explicit BootstrapProposer(Settings settings) : settings_(std::move(settings)) {}

  // Returns the request to send to the seeds now; nothing while it is too early or if another machine is the
  // proposer. `core`: the known core machines, including this one.
  std::optional<BootstrapRequest> next_request(Millis now, const NodeInfo& self, std::vector<NodeInfo> core);
  // Handles a vote. Each seed counts once, however many requests it answers. Returns true once a majority of
  // the seeds has voted for this proposer.
  bool on_vote(const std::string& voter, const NodeInfo& self, const BootstrapVote& vote);

  const std::vector<std::string>& seeds() const { return settings_.seed_addresses; }
  const std::vector<consensus::Member>& members() const { return members_; }

 private:
  bool choose_members(Millis now, const NodeInfo& self, std::vector<NodeInfo> core);

  Settings settings_;
  Millis next_request_at_ = 0;
  std::vector<consensus::Member> members_;  // chosen once, then fixed
  std::set<std::string> voters_;
};

// A voting seed. Votes for the first proposer that asks, and never for another one.
class BootstrapVoter {
 public:
  // `may_vote`: whether this is the first start of the process. After a restart it may have voted before.
  explicit BootstrapVoter(bool may_vote) : may_vote_(may_vote) {}
  std::optional<BootstrapVote> on_request(const BootstrapRequest& request);

 private:
  bool may_vote_;
  std::optional<std::uint64_t> voted_for_;
};

}  // namespace nettlestand::tier
