#include "control/service.h"

#include <algorithm>
#include <utility>

#include "node/log.h"

namespace nettlestand::tier {
namespace {

constexpr Millis kMinLeadershipMs = 4000;    // before a leader transfers a group to its preferred leader
constexpr Millis kPreferredContactMs = 400;  // within which the preferred leader must have replied
constexpr Millis kMinListIntervalMs = 400;
constexpr double kListRateShare = 0.25;  // of the rate limit of the platform's API, for all shards together
constexpr Millis kQuotaLeaseMarginMs = 1000;
constexpr std::uint32_t kUnavailable = 503;

}  // namespace

// The configuration group's state machine.
class ControlService::ConfigStateMachine : public GroupStateMachine {
 public:
  explicit ConfigStateMachine(ControlService& service) : service_(service) {}
  void apply(Millis now, const consensus::LogEntry& entry) override {
    const auto command = decode<ControlCommand>(entry.data);
    if (!command) return;  // all replicas skip it
    const EntryId id{entry.term, entry.index};
    for (const ConfigChange& change : command->config_changes) {
      const ChangeOutcome outcome = state.apply(change);
      service_.on_config_change_applied(now, id, change, outcome);
    }
    for (const PlacementChange& change : command->placement_changes) {
      state.apply(change);
      service_.on_placement_applied(now, id);
    }
  }
  std::string save() const override { return encode(state.snapshot()); }
  void load(const std::string& bytes) override {
    const auto snapshot = decode<ControlSnapshot>(bytes);
    if (!snapshot) return;
    state.restore(*snapshot);
    if (state.sequence() > 0)
      service_.config_texts_.add_version(state.config_version(), state.shared_text(), {});
  }
  ControlState state;

 private:
  ControlService& service_;
};

// A service shard replicates only its leadership: the server list comes from the platform, and each new
// leader reads it again.
class ControlService::EmptyStateMachine : public GroupStateMachine {
 public:
  void apply(Millis, const consensus::LogEntry&) override {}
  std::string save() const override { return {}; }
  void load(const std::string&) override {}
};

ControlService::ControlService(Messenger& messenger, PartialView& view, ConfigTextProvider& config_texts,
                               const Settings& settings, ServerListSourceFactory list_source_factory,
                               ControlDisk disk, Millis now)
    : messenger_(messenger),
      view_(view),
      config_texts_(config_texts),
      settings_(settings),
      list_source_factory_(std::move(list_source_factory)),
      config_machine_(std::make_unique<ConfigStateMachine>(*this)),
      empty_machine_(std::make_unique<EmptyStateMachine>()),
      replica_host_(messenger, std::move(disk)),
      bootstrap_state_(replica_host_.stored_bootstrap_state()),
      bootstrap_proposer_(bootstrap_settings(now)),
      bootstrap_voter_(bootstrap_state_.takes_part, bootstrap_state_.voted_for),
      operator_api_(config_machine_->state, operator_group()),
      quota_(quota_bounds(), false) {
  replica_host_.add_group(kConfigGroup, config_machine_.get(), now);
  for (GroupId group = 1; group < kGroups; ++group) replica_host_.add_group(group, empty_machine_.get(), now);
}

ControlService::~ControlService() = default;

const ControlState& ControlService::state() const { return config_machine_->state; }

QuotaBounds ControlService::quota_bounds() const {
  const BoundsSettings& bounds = settings_.bounds;
  return {bounds.quota_window_s, bounds.quota_overage, bounds.quota_slack};
}

OperatorApi::GroupAccess ControlService::operator_group() {
  OperatorApi::GroupAccess out;
  out.propose = [this](Millis now, const ControlCommand& command) { return propose(now, command); };
  out.process_ready = [this](Millis now) { replica_host_.process_ready(now); };
  out.has_unapplied_entries = [this] { return replica_host_.replica(kConfigGroup).has_unapplied_entries(); };
  out.placement_pending = [this] { return placement_pending_; };
  out.planner = [this] { return planner_ ? &*planner_ : nullptr; };
  return out;
}

std::optional<EntryId> ControlService::propose(Millis now, const ControlCommand& command) {
  consensus::Replica& replica = replica_host_.replica(kConfigGroup);
  const auto index = replica.propose(now, encode(command));
  if (!index) return std::nullopt;
  if (!command.placement_changes.empty()) placement_pending_ = true;
  return EntryId{replica.term(), *index};
}

// ---------------------------------------------------------------- bootstrap

std::size_t ControlService::group_size() const {
  return static_cast<std::size_t>(2 * settings_.fault_tolerance.machines + 1);
}

BootstrapProposer::Settings ControlService::bootstrap_settings(Millis now) const {
  BootstrapProposer::Settings out;
  out.seed_addresses = bootstrap_state_.seeds;
  out.group_size = group_size();
  out.started_at = now;
  out.members = bootstrap_state_.proposed_members;
  return out;
}

bool ControlService::lacks_a_group() const {
  for (GroupId group = 0; group < kGroups; ++group) {
    if (replica_host_.has_no_state(group)) return true;
  }
  return false;
}

void ControlService::propose_bootstrap(Millis now) {
  if (bootstrap_write_failed_) store_bootstrap_state();
  if (!bootstrap_state_.takes_part) return;
  if (bootstrap_state_.elected) return create_groups(now);
  if (!replica_host_.has_no_state()) return;
  if (bootstrap_proposer_.choose_members(now, view_.self(), view_.core())) {
    bootstrap_state_.proposed_members = bootstrap_proposer_.members();
    change_bootstrap_state();
  }
  if (!is_bootstrap_state_durable()) return;
  const auto request = bootstrap_proposer_.next_request(now, view_.self());
  if (!request) return;
  const std::string message = encode_message(MessageType::kBootstrapRequest, *request);
  for (const std::string& seed : bootstrap_proposer_.seeds()) messenger_.send(seed, message);
}

void ControlService::on_bootstrap_request(const std::string& from, const BootstrapRequest& request) {
  if (!bootstrap_state_.takes_part) return;
  const auto vote = bootstrap_voter_.on_request(request);
  if (!vote) return;
  if (bootstrap_state_.voted_for != bootstrap_voter_.voted_for()) {
    bootstrap_state_.voted_for = bootstrap_voter_.voted_for();
    undelivered_votes_[from] = *vote;
    return change_bootstrap_state();
  }
  if (is_bootstrap_state_durable()) messenger_.send(from, encode_message(MessageType::kBootstrapVote, *vote));
}

void ControlService::on_bootstrap_vote(const std::string& from, const BootstrapVote& vote) {
  if (!bootstrap_state_.takes_part || bootstrap_state_.elected || !replica_host_.has_no_state()) return;
  if (!bootstrap_proposer_.on_vote(from, view_.self(), vote)) return;
  bootstrap_state_.elected = true;
  change_bootstrap_state();
}

// Also after a restart: a group that is not on this disk has sent nothing yet.
void ControlService::create_groups(Millis now) {
  if (!is_bootstrap_state_durable() || !lacks_a_group()) return;
  NETTLESTAND_INFO("consensus groups bootstrapped members=" << bootstrap_proposer_.members().size());
  for (GroupId group = 0; group < kGroups; ++group) {
    if (replica_host_.has_no_state(group))
      replica_host_.replica(group).bootstrap(bootstrap_proposer_.members());
  }
  replica_host_.process_ready(now);
}

void ControlService::on_leader_heard() {
  if (!bootstrap_state_.takes_part || (bootstrap_state_.elected && lacks_a_group())) return;
  bootstrap_state_.takes_part = false;
  change_bootstrap_state();
}

void ControlService::change_bootstrap_state() {
  ++bootstrap_revision_;
  store_bootstrap_state();
}

void ControlService::store_bootstrap_state() {
  bootstrap_write_failed_ = false;
  replica_host_.store_bootstrap_state(
      bootstrap_state_, [this, revision = bootstrap_revision_](Millis now, const absl::Status& status) {
        on_bootstrap_state_stored(now, revision, status);
      });
}

void ControlService::on_bootstrap_state_stored(Millis now, std::uint64_t revision,
                                               const absl::Status& status) {
  if (!status.ok()) {
    NETTLESTAND_WARNING("bootstrap state not written error=" << status.message());
    bootstrap_write_failed_ = true;
    return;
  }
  bootstrap_durable_revision_ = std::max(bootstrap_durable_revision_, revision);
  if (!is_bootstrap_state_durable()) return;
  for (const auto& [proposer, vote] : undelivered_votes_)
    messenger_.send(proposer, encode_message(MessageType::kBootstrapVote, vote));
  undelivered_votes_.clear();
  propose_bootstrap(now);
}

// ---------------------------------------------------------------- leadership

bool ControlService::leads(Millis now, GroupId group) const {
  return replica_host_.replica(group).has_lease(now);
}

void ControlService::tick(Millis now) {
  propose_bootstrap(now);
  replica_host_.tick(now);
  for (GroupId group = 0; group < kGroups; ++group) {
    update_leadership(now, group);
    if (!leads(now, group)) continue;
    replica_host_.repair_members(now, group, registries_[group].live_core(now), group_size());
    group == kConfigGroup ? propose_placement(now) : start_server_list(group);
    balance_leaders(now, group);
  }
  operator_api_.expire(now, replica_host_.replica(kConfigGroup).role() == consensus::Role::kLeader);
}

void ControlService::update_leadership(Millis now, GroupId group) {
  const consensus::Replica& replica = replica_host_.replica(group);
  const bool led = replica.role() == consensus::Role::kLeader;
  if (!led && leader_terms_.erase(group) > 0) on_leadership_lost(group);
  if (led && leader_terms_[group] != replica.term()) on_leadership_gained(now, group);
}

void ControlService::on_leadership_gained(Millis now, GroupId group) {
  const consensus::Term term = replica_host_.replica(group).term();
  NETTLESTAND_INFO("leadership won group=" << group << " term=" << term);
  leader_terms_[group] = term;
  registries_[group].clear();
  if (group != kConfigGroup) {
    server_lists_.erase(group);
    return;
  }
  planner_.emplace(static_cast<std::size_t>(settings_.fault_tolerance.machines), now);
  placement_pending_ = false;
  quota_ = QuotaOwner(quota_bounds(), config_machine_->state.sequence() > 0);
}

void ControlService::on_leadership_lost(GroupId group) {
  NETTLESTAND_INFO("leadership lost group=" << group);
  registries_[group].clear();
  list_sources_.erase(group);
  if (group == kConfigGroup) planner_.reset();
}

void ControlService::on_consensus(Millis now, const std::string& from, const GroupMessage& message) {
  replica_host_.on_message(now, from, message);
}

void ControlService::step_down(Millis now) {
  for (GroupId group = 0; group < kGroups; ++group) {
    consensus::Replica& replica = replica_host_.replica(group);
    for (const consensus::Member& member : std::vector<consensus::Member>(replica.members())) {
      if (replica.transfer_leadership(now, member.id)) break;
    }
  }
  stepped_down_ = true;
  replica_host_.process_ready(now);
}

// Each group has a preferred leader, so that the load of the groups is balanced over the core machines.
void ControlService::balance_leaders(Millis now, GroupId group) {
  consensus::Replica& replica = replica_host_.replica(group);
  if (stepped_down_ || replica.leader_since() + kMinLeadershipMs > now || operator_api_.has_pending_calls())
    return;
  std::vector<consensus::ReplicaId> ids;
  for (const consensus::Member& member : replica.members()) ids.push_back(member.id);
  if (ids.empty()) return;
  std::sort(ids.begin(), ids.end());
  const consensus::ReplicaId preferred = ids[group % ids.size()];
  const auto* progress = replica.progress(preferred);
  if (preferred == replica.id() || progress == nullptr || progress->last_reply_at + kPreferredContactMs < now)
    return;
  if (!replica.transfer_leadership(now, preferred)) return;
  NETTLESTAND_INFO("leadership transferred group=" << group);
  replica_host_.process_ready(now);
}

void ControlService::propose_placement(Millis now) {
  if (!planner_ || placement_pending_) return;
  const auto change = planner_->plan(now, config_machine_->state.placement());
  if (!change) return;
  ControlCommand command{};
  command.placement_changes.push_back(*change);
  if (propose(now, command)) replica_host_.process_ready(now);
}

void ControlService::start_server_list(GroupId group) {
  if (list_sources_.contains(group) || !list_source_factory_) return;
  const double calls_per_s = std::max(settings_.cloud_api.rate_per_s, 1.0) * kListRateShare / kServiceShards;
  const Millis interval = std::max(kMinListIntervalMs, static_cast<Millis>(1000 / calls_per_s));
  list_sources_[group] =
      list_source_factory_(interval, [this, group](Millis now, std::vector<ListedServer> servers) {
        on_server_list(now, group, std::move(servers));
      });
}

void ControlService::on_server_list(Millis now, GroupId group, std::vector<ListedServer> servers) {
  if (!leads(now, group)) return;
  std::erase_if(servers, [group](const ListedServer& s) { return service_group_of(s.service) != group; });
  std::sort(servers.begin(), servers.end(),
            [](const ListedServer& a, const ListedServer& b) { return a.id < b.id; });
  for (ListedServer& server : servers) server.cold_left_ms = server.cold_left_ms > 0 ? 1 : 0;
  ServerList& list = server_lists_[group];
  const consensus::Term term = replica_host_.replica(group).term();
  const bool first = list.sequence == 0 || list.term != term;
  if (!first && encode(list.servers) == encode(servers)) return;
  list.term = term;
  list.sequence = first ? 1 : list.sequence + 1;
  list.servers = std::move(servers);
  push_updates(now, group);
}

// ---------------------------------------------------------------- polls

void ControlService::on_poll(Millis now, const std::string& from, const Poll& poll) {
  if (poll.group >= kGroups) return;
  if (!leads(now, poll.group)) return redirect_poll(from, poll.group);
  NodeRegistry& registry = registries_[poll.group];
  PollReply out = make_reply(poll.group, registry.on_poll(now, from, poll));
  out.sent_at = poll.sent_at;
  if (poll.group == kConfigGroup) {
    if (planner_) planner_->on_poll(now, poll);
    registry.fill_position(now, poll, out);
    grant_tokens(now, poll, out);
  }
  messenger_.send(from, encode_message(MessageType::kPollReply, out), Lane::kControl);
}

void ControlService::redirect_poll(const std::string& from, GroupId group) {
  PollReply out{};
  out.group = group;
  const consensus::Replica& replica = replica_host_.replica(group);
  if (const auto* leader = replica.member(replica.leader())) out.leader = leader->address;
  messenger_.send(from, encode_message(MessageType::kPollReply, out), Lane::kControl);
}

// Builds a reply with what the subscriber does not have yet. It is assumed to have it from then on, until its
// next poll says otherwise.
PollReply ControlService::make_reply(GroupId group, NodeRegistry::Subscriber& subscriber) {
  PollReply out{};
  out.group = group;
  out.from_leader = true;
  group == kConfigGroup ? add_configuration(subscriber, out) : add_server_list(group, subscriber, out);
  return out;
}

void ControlService::add_server_list(GroupId group, NodeRegistry::Subscriber& subscriber, PollReply& out) {
  const auto found = server_lists_.find(group);
  if (found == server_lists_.end()) return;
  const ServerList& list = found->second;
  const bool has = subscriber.list_term == list.term && subscriber.list_sequence == list.sequence;
  if (!has) out.servers.push_back(list);
  subscriber.list_term = list.term;
  subscriber.list_sequence = list.sequence;
}

void ControlService::add_configuration(NodeRegistry::Subscriber& subscriber, PollReply& out) {
  const ControlState& state = config_machine_->state;
  out.config = state.config_version();
  out.placement_sequence = state.placement().sequence;
  if (subscriber.placement_sequence < state.placement().sequence) {
    out.placement.push_back(state.placement());
    subscriber.placement_sequence = state.placement().sequence;
  }
}

void ControlService::push_updates(Millis now, GroupId group) {
  for (NodeRegistry::Subscriber* subscriber : registries_[group].push_targets(now)) {
    const PollReply out = make_reply(group, *subscriber);
    messenger_.send(subscriber->address, encode_message(MessageType::kPollReply, out), Lane::kControl);
  }
}

void ControlService::grant_tokens(Millis now, const Poll& poll, PollReply& out) {
  if (poll.tokens.empty() || !config_machine_->state.configuration()) return;
  // Unreachable nodes use their fixed fallback share until their lease expires, so they have to be counted. A
  // new leader, whose registry is still empty, takes their number from the membership view.
  const NodeRegistry& registry = registries_[kConfigGroup];
  const Millis lease = static_cast<Millis>(settings_.bounds.revoke_ms) + kQuotaLeaseMarginMs;
  std::size_t known = registry.live_edges(now, lease);
  if (replica_host_.replica(kConfigGroup).leader_since() + lease > now) {
    std::size_t seen = view_.self().is_store ? 0 : 1;
    for (const NodeInfo& node : view_.nodes()) seen += node.is_store ? 0 : 1;
    known = std::max(known, seen);
  }
  const Millis missing = quota_missing_ms(registry.registered_edges(now));
  const std::size_t reachable = std::max<std::size_t>(registry.live_edges(now, missing), 1);
  known = std::max(known, reachable);
  out.grants = quota_.grant(now, *config_machine_->state.configuration(),
                            static_cast<double>(reachable) / static_cast<double>(known), known, poll.tokens);
}

// ---------------------------------------------------------------- operator calls

void ControlService::on_operator_call(Millis now, const OperatorCall& call, OperatorCallback done) {
  if (leads(now, kConfigGroup)) return operator_api_.on_call(now, call, std::move(done));
  const consensus::Replica& replica = replica_host_.replica(kConfigGroup);
  OperatorReply out = operator_reply(call, kUnavailable, error_body("not the leader"));
  out.not_leader = true;
  const consensus::Member* leader = replica.member(replica.leader());
  if (leader != nullptr && leader->id != replica.id()) out.leader = leader->address;
  done(out);
}

void ControlService::on_config_change_applied(Millis now, EntryId entry, const ConfigChange& change,
                                              ChangeOutcome outcome) {
  if (outcome == ChangeOutcome::kApplied) {
    NETTLESTAND_INFO("configuration applied generation=" << config_machine_->state.generation()
                                                         << " sequence="
                                                         << config_machine_->state.sequence());
    SequencedChange applied{};
    applied.sequence = config_machine_->state.sequence();
    applied.change = change;
    config_texts_.add_version(config_machine_->state.config_version(), config_machine_->state.shared_text(),
                              {std::move(applied)});
    if (leads(now, kConfigGroup)) push_updates(now, kConfigGroup);
  }
  operator_api_.on_config_change_applied(entry, outcome);
}

void ControlService::on_placement_applied(Millis now, EntryId entry) {
  placement_pending_ = false;
  if (leads(now, kConfigGroup)) push_updates(now, kConfigGroup);
  operator_api_.on_placement_applied(entry);
}

}  // namespace nettlestand::tier
