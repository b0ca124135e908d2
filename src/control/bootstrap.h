// Forming the replica groups, once in the system's life, on empty disks: one core machine proposes the first
// members, and the seeds vote. Each seed gives its vote to one proposer, so two groups can't both be formed.
// No I/O.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "messaging/messages.h"

namespace nettlestand::tier {

// The core machine that proposes.
class BootstrapProposer {
 public:
  struct Settings {
    std::vector<std::string> seed_addresses;  // where the seeds' nodes listen
    std::size_t group_size = 3;               // wanted
    Millis started_at = 0;
  };
  explicit BootstrapProposer(Settings settings) : settings_(std::move(settings)) {}

  // What the seeds are to be asked now; nothing while it is too early or another machine proposes. `core`:
  // the core machines that are known, this one too.
  std::optional<BootstrapRequest> next_request(Millis now, const NodeInfo& self, std::vector<NodeInfo> core);
  // Counts voters, not votes: a seed that answers several requests has one vote. True once a majority of the
  // seeds has voted for this proposer.
  bool on_vote(const std::string& voter, const NodeInfo& self, const BootstrapVote& vote);

  const std::vector<std::string>& seeds() const { return settings_.seed_addresses; }
  const std::vector<consensus::Member>& members() const { return members_; }

 private:
  bool choose_members(Millis now, const NodeInfo& self, std::vector<NodeInfo> core);

  Settings settings_;
  Millis next_request_at_ = 0;
  std::vector<consensus::Member> members_;  // chosen once
  std::set<std::string> voters_;
};

// A seed: votes for the first proposer that asks, and for no other in its life.
class BootstrapVoter {
 public:
  // `may_vote`: the process runs for the first time. One that was restarted may have voted before.
  explicit BootstrapVoter(bool may_vote) : may_vote_(may_vote) {}
  std::optional<BootstrapVote> on_request(const BootstrapRequest& request);

 private:
  bool may_vote_;
  std::optional<std::uint64_t> voted_for_;
};

}  // namespace nettlestand::tier
