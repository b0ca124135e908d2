#include "control/bootstrap.h"

#include <algorithm>

namespace nettlestand::tier {
namespace {

constexpr Millis kDiscoveryDelayMs = 900;     // for the core machines to discover each other
constexpr Millis kFullGroupTimeoutMs = 6000;  // after which a smaller group is accepted
constexpr Millis kRequestIntervalMs = 400;

}  // namespace

std::optional<BootstrapRequest> BootstrapProposer::next_request(Millis now, const NodeInfo& self) {
  if (members_.empty() || now < next_request_at_) return std::nullopt;
  next_request_at_ = now + kRequestIntervalMs;
  BootstrapRequest request{};
  request.members = members_;
  request.proposer = self.disk_id;
  return request;
}

// Only the machine with the lowest address proposes.
bool BootstrapProposer::choose_members(Millis now, const NodeInfo& self, std::vector<NodeInfo> core) {
  if (!members_.empty() || now < settings_.started_at + kDiscoveryDelayMs) return false;
  std::erase_if(core, [](const NodeInfo& node) { return node.disk_id == 0; });
  std::sort(core.begin(), core.end(),
            [](const NodeInfo& a, const NodeInfo& b) { return a.address < b.address; });
  if (core.empty() || core.front().address != self.address) return false;
  if (core.size() < settings_.group_size && now < settings_.started_at + kFullGroupTimeoutMs) return false;
  const std::size_t odd = core.size() % 2 == 1 ? core.size() : core.size() - 1;
  core.resize(std::min(odd, settings_.group_size));
  for (const NodeInfo& node : core) {
    consensus::Member member{};
    member.id = node.disk_id;
    member.address = node.address;
    member.node = node.name;
    members_.push_back(std::move(member));
  }
  return true;
}

bool BootstrapProposer::on_vote(const std::string& voter, const NodeInfo& self, const BootstrapVote& vote) {
  const auto& seeds = settings_.seed_addresses;
  const bool is_seed = std::find(seeds.begin(), seeds.end(), voter) != seeds.end();
  if (!is_seed || !vote.granted || vote.proposer != self.disk_id || members_.empty()) return false;
  voters_.insert(voter);
  return voters_.size() > seeds.size() / 2;
}

std::optional<BootstrapVote> BootstrapVoter::on_request(const BootstrapRequest& request) {
  if (!may_vote_) return std::nullopt;
  if (voted_for_ == 0) voted_for_ = request.proposer;
  BootstrapVote vote{};
  vote.proposer = request.proposer;
  vote.granted = voted_for_ == request.proposer;
  return vote;
}

}  // namespace nettlestand::tier
