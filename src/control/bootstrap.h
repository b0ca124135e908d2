// Bootstrap of the consensus groups, which happens once in a system's life, on empty disks. One core machine
// proposes the first members and the seeds vote. Each seed votes for one proposer only, so that no two sets
// of groups can be created. No I/O.
//
// What a core machine has decided meanwhile is kept on its disk (BootstrapState) before anybody hears of it.
// A machine that is killed thus goes on where it was. One that comes with an empty disk at a later start
// knows nothing of its former vote and takes no part, nor does one that has heard of a leader.
#pragma once

#include <boost/hana/define_struct.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "messaging/messages.h"

namespace nettlestand::tier {

// What a disk keeps of the bootstrap.
struct BootstrapState {
  BOOST_HANA_DEFINE_STRUCT(BootstrapState,
                           (bool, takes_part),  // since the system's first start, at which the disk was empty
                           (std::vector<std::string>,
                            seeds),  // internal addresses, as set at that start: others have no vote
                           (std::uint64_t, voted_for),  // disk id of the proposer; 0: no vote
                           (std::vector<consensus::Member>, proposed_members),
                           (bool, elected));  // as the proposer, by a majority of the seeds
};

// The proposing core machine.
class BootstrapProposer {
 public:
  struct Settings {
    std::vector<std::string> seed_addresses;  // internal addresses of the seed nodes
    std::size_t group_size = 3;               // desired number of members
    Millis started_at = 0;
    std::vector<consensus::Member> members;  // proposed before a restart; none: none were
  };
  explicit BootstrapProposer(Settings settings)
      : settings_(std::move(settings)), members_(settings_.members) {}

  // Chooses the members to propose. Returns true if it has done so now: they have to be durable before the
  // first request is sent. False: they were chosen before, it is too early, or another machine is the
  // proposer. `core`: the known core machines, including this one.
  bool choose_members(Millis now, const NodeInfo& self, std::vector<NodeInfo> core);
  // Returns the request to send to the seeds now; nothing without members or if the last one was just sent.
  std::optional<BootstrapRequest> next_request(Millis now, const NodeInfo& self);
  // Handles a vote. Each seed counts once, however many requests it answers. Returns true once a majority of
  // the seeds has voted for this proposer.
  bool on_vote(const std::string& voter, const NodeInfo& self, const BootstrapVote& vote);

  const std::vector<std::string>& seeds() const { return settings_.seed_addresses; }
  const std::vector<consensus::Member>& members() const { return members_; }

 private:
  Settings settings_;
  Millis next_request_at_ = 0;
  std::vector<consensus::Member> members_;  // chosen once, then fixed
  std::set<std::string> voters_;
};

// A voting seed. Votes for the first proposer that asks, and never for another one.
class BootstrapVoter {
 public:
  // `may_vote`: whether all votes of this machine are known. `voted_for`: its vote so far; 0: none.
  BootstrapVoter(bool may_vote, std::uint64_t voted_for) : may_vote_(may_vote), voted_for_(voted_for) {}
  // The answer to a request. A vote that is given for the first time has to be durable before it is sent.
  std::optional<BootstrapVote> on_request(const BootstrapRequest& request);
  std::uint64_t voted_for() const { return voted_for_; }

 private:
  bool may_vote_;
  std::uint64_t voted_for_;
};

}  // namespace nettlestand::tier
