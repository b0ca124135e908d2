#include "control/formation.h"

#include <algorithm>

namespace nettlestand::tier {
namespace {

constexpr Millis kDiscoveryMs = 900;  // for the core machines to find each other
constexpr Millis kPatienceMs = 6000;  // after which fewer members than wanted will do
constexpr Millis kRequestEveryMs = 400;

}  // namespace

std::optional<FormationRequest> FormationProposer::next_request(Millis now, const NodeInfo& self,
                                                                std::vector<NodeInfo> core) {
  if (now < settings_.started + kDiscoveryMs || now < next_request_) return std::nullopt;
  next_request_ = now + kRequestEveryMs;
  if (members_.empty() && !choose_members(now, self, std::move(core))) return std::nullopt;
  FormationRequest request{};
  request.members = members_;
  request.proposer = self.disk_id;
  return request;
}

// The machine with the lowest address proposes; the others leave it to that one.
bool FormationProposer::choose_members(Millis now, const NodeInfo& self, std::vector<NodeInfo> core) {
  std::erase_if(core, [](const NodeInfo& node) { return node.disk_id == 0; });
  std::sort(core.begin(), core.end(),
            [](const NodeInfo& a, const NodeInfo& b) { return a.address < b.address; });
  if (core.empty() || core.front().address != self.address) return false;
  if (core.size() < settings_.members && now < settings_.started + kPatienceMs) return false;
  const std::size_t odd = core.size() % 2 == 1 ? core.size() : core.size() - 1;
  core.resize(std::min(odd, settings_.members));
  for (const NodeInfo& node : core) {
    consensus::Member member{};
    member.id = node.disk_id;
    member.address = node.address;
    member.node = node.name;
    members_.push_back(std::move(member));
  }
  return true;
}

bool FormationProposer::on_vote(const std::string& voter, const NodeInfo& self, const FormationVote& vote) {
  const auto& seeds = settings_.seed_addresses;
  const bool is_seed = std::find(seeds.begin(), seeds.end(), voter) != seeds.end();
  if (!is_seed || !vote.granted || vote.proposer != self.disk_id || members_.empty()) return false;
  voters_.insert(voter);
  return voters_.size() > seeds.size() / 2;
}

std::optional<FormationVote> FormationVoter::on_request(const FormationRequest& request) {
  if (!may_vote_) return std::nullopt;
  if (!voted_for_) voted_for_ = request.proposer;
  FormationVote vote{};
  vote.proposer = request.proposer;
  vote.granted = *voted_for_ == request.proposer;
  return vote;
}

}  // namespace nettlestand::tier
