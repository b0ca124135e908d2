#include "control/service.h"

#include <algorithm>
#include <set>

#include "node/log.h"

namespace nettlestand::tier {
namespace {

constexpr Millis kFormationWaitMs = 900;       // for the core machines to find each other
constexpr Millis kFormationPatienceMs = 6000;  // after which fewer than wanted will do
constexpr Millis kFormationRetryMs = 400;
constexpr Millis kRegisteredMs = 3500;  // a node counts as live for so long after its last poll
constexpr Millis kPushMs = 3000;        // and is told of changes unasked
constexpr Millis kCoreLiveMs = 1500;
constexpr Millis kLeaderRestMs = 4000;  // before a leader hands a group to its preferred owner
constexpr Millis kListIntervalMs = 400;
constexpr Millis kOrderWaitMs = 2500;
constexpr std::size_t kRecentOrders = 64;

constexpr std::uint32_t kOk = 200, kBadRequest = 400, kNotFound = 404, kConflict = 409, kPrecondition = 412,
                        kServerError = 500, kUnavailable = 503;

OperatorReply reply(const OperatorCall& call, std::uint32_t status, std::string body) {
  OperatorReply out{};
  out.call = call.call;
  out.status = status;
  out.body = std::move(body);
  return out;
}

std::string error_body(const std::string& what) {
  std::string out = "{\"error\":\"";
  for (const char c : what) {
    if (c == '"' || c == '\\') out.push_back('\\');
    if (static_cast<unsigned char>(c) >= 0x20) out.push_back(c);
  }
  return out + "\"}";
}

}  // namespace

class ControlService::ConfigMachine : public GroupStateMachine {
 public:
  explicit ConfigMachine(ControlService& service) : service_(service) {}
  void apply(consensus::LogIndex index, const std::string& bytes) override {
    const auto command = decode<ControlCommand>(bytes);
    if (!command) return;  // every replica passes over it alike
    for (const ConfigOrder& order : command->orders) {
      const OrderOutcome outcome = state.apply(order);
      service_.on_order_applied(index, order, outcome);
    }
    for (const PlacementChange& change : command->placements) {
      state.apply(change);
      service_.on_placement_applied();
    }
  }
  std::string save() const override { return encode(state.snapshot()); }
  void load(const std::string& bytes) override {
    if (const auto snapshot = decode<ControlSnapshot>(bytes)) state.restore(*snapshot);
  }
  ControlState state;

 private:
  ControlService& service_;
};

// A service shard replicates nothing but its ownership: the list is the platform's, and read anew by each
// owner.
class ControlService::EmptyMachine : public GroupStateMachine {
 public:
  void apply(consensus::LogIndex, const std::string&) override {}
  std::string save() const override { return {}; }
  void load(const std::string&) override {}
};

ControlService::ControlService(boost::asio::io_context& io, Network& network, PartialView& view,
                               const Settings& settings, std::unique_ptr<ControlJournal> journal)
    : io_(io),
      network_(network),
      view_(view),
      settings_(settings),
      config_(std::make_unique<ConfigMachine>(*this)),
      empty_(std::make_unique<EmptyMachine>()),
      host_(network, std::move(journal)),
      started_(steady_now()),
      quota_(quota_bounds(), false) {
  const Millis now = steady_now();
  host_.add_group(kConfigGroup, config_.get(), now);
  for (GroupId group = 1; group < kGroups; ++group) host_.add_group(group, empty_.get(), now);
}

ControlService::~ControlService() = default;

QuotaBounds ControlService::quota_bounds() const {
  const BoundSettings& bounds = settings_.bounds;
  return {bounds.quota_window_s, bounds.quota_overage, bounds.quota_slack};
}

// ---------------------------------------------------------------- forming the groups

// Once, on empty disks: the core machine with the lowest address asks the seeds, each of which says yes to
// one only.
void ControlService::form(Millis now) {
  if (!settings_.bootstrap || !host_.is_blank() || now < started_ + kFormationWaitMs || now < next_request_)
    return;
  next_request_ = now + kFormationRetryMs;
  if (proposed_.empty()) {
    std::vector<NodeInfo> core = view_.core();
    std::erase_if(core, [](const NodeInfo& node) { return node.disk_id == 0; });
    std::sort(core.begin(), core.end(),
              [](const NodeInfo& a, const NodeInfo& b) { return a.address < b.address; });
    if (core.empty() || core.front().address != view_.self().address) return;
    const auto wanted = static_cast<std::size_t>(2 * settings_.fault_tolerance.machines + 1);
    if (core.size() < wanted && now < started_ + kFormationPatienceMs) return;
    core.resize(std::min(core.size() % 2 == 1 ? core.size() : core.size() - 1, wanted));
    for (const NodeInfo& node : core) {
      consensus::Member member{};
      member.id = node.disk_id;
      member.address = node.address;
      member.node = node.name;
      proposed_.push_back(std::move(member));
    }
  }
  votes_ = 0;
  FormationRequest request{};
  request.members = proposed_;
  request.proposer = host_.disk_id();
  for (const std::string& seed : settings_.seeds) {
    network_.send(settings_.internal_address_of(seed),
                  encode_message(MessageType::kFormationRequest, request));
  }
}

void ControlService::on_formation_vote(Millis now, const FormationVote& vote) {
  if (vote.proposer != host_.disk_id() || !vote.granted || proposed_.empty() || !host_.is_blank()) return;
  if (++votes_ <= settings_.seeds.size() / 2) return;
  NETTLESTAND_INFO("groups formed members=" << proposed_.size());
  for (GroupId group = 0; group < kGroups; ++group) host_.replica(group).bootstrap(proposed_);
  host_.drive(now);
}

// ---------------------------------------------------------------- leading

bool ControlService::leads(Millis now, GroupId group) const { return host_.replica(group).has_lease(now); }

void ControlService::tick(Millis now) {
  form(now);
  host_.tick(now);
  for (GroupId group = 0; group < kGroups; ++group) {
    const consensus::Replica& replica = host_.replica(group);
    const bool led = replica.role() == consensus::Role::kLeader;
    if (!led && led_term_.erase(group) > 0) {
      NETTLESTAND_INFO("leadership lost group=" << group);
      subscribers_.erase(group);
      listings_.erase(group);
      if (group == kConfigGroup) planner_.reset();
    }
    if (led && led_term_[group] != replica.term()) {
      NETTLESTAND_INFO("leadership won group=" << group << " term=" << replica.term());
      led_term_[group] = replica.term();
      subscribers_[group].clear();
      if (group == kConfigGroup) {
        planner_.emplace(static_cast<std::size_t>(settings_.fault_tolerance.machines), now);
        placement_pending_ = false;
        quota_ = QuotaOwner(quota_bounds(), config_->state.sequence() > 0);
      } else {
        lists_.erase(group);
      }
    }
    if (!leads(now, group)) continue;
    host_.repair_members(now, group, live_core(now, group));
    group == kConfigGroup ? lead_config(now) : lead_services(now, group);
    spread_leaders(now, group);
  }
  expire_waiting(now);
}

void ControlService::on_consensus(Millis now, const std::string& from, const GroupMessage& message) {
  host_.on_message(now, from, message);
}

void ControlService::step_down(Millis now) {
  for (GroupId group = 0; group < kGroups; ++group) {
    consensus::Replica& replica = host_.replica(group);
    for (const consensus::Member& member : std::vector<consensus::Member>(replica.members())) {
      if (replica.transfer(now, member.id)) break;
    }
  }
  stepped_down_ = true;
  host_.drive(now);
}

// Each group has a preferred owner, so that the groups' load spreads over the core.
void ControlService::spread_leaders(Millis now, GroupId group) {
  consensus::Replica& replica = host_.replica(group);
  if (stepped_down_ || replica.led_since() + kLeaderRestMs > now || !waiting_.empty()) return;
  std::vector<consensus::ReplicaId> ids;
  for (const consensus::Member& member : replica.members()) ids.push_back(member.id);
  std::sort(ids.begin(), ids.end());
  const consensus::ReplicaId preferred = ids[group % ids.size()];
  const auto* progress = replica.progress(preferred);
  if (preferred == replica.id() || progress == nullptr || progress->heard + 400 < now) return;
  if (!replica.transfer(now, preferred)) return;
  NETTLESTAND_INFO("leadership handed over group=" << group);
  host_.drive(now);
}

void ControlService::lead_config(Millis now) {
  if (!planner_ || placement_pending_) return;
  if (const auto change = planner_->plan(now, config_->state.placement())) propose_placement(now, *change);
}

void ControlService::propose_placement(Millis now, const PlacementChange& change) {
  ControlCommand command{};
  command.placements.push_back(change);
  if (!host_.replica(kConfigGroup).propose(now, encode(command))) return;
  placement_pending_ = true;
  host_.drive(now);
}

void ControlService::lead_services(Millis now, GroupId group) {
  (void)now;
  if (listings_.contains(group) || settings_.cloud_api.address.empty()) return;
  const double calls_per_s = std::max(settings_.cloud_api.rate_per_s, 1.0) / 4 / kServiceShards;
  const Millis interval = std::max(kListIntervalMs, static_cast<Millis>(1000 / calls_per_s));
  listings_[group] = std::make_unique<ListingReader>(
      io_, settings_.cloud_api.address, interval, [this, group](std::vector<ListedServer> servers) {
        const Millis read_at = steady_now();
        if (!leads(read_at, group)) return;
        std::erase_if(servers,
                      [group](const ListedServer& s) { return service_group_of(s.service) != group; });
        std::sort(servers.begin(), servers.end(),
                  [](const ListedServer& a, const ListedServer& b) { return a.id < b.id; });
        for (ListedServer& server : servers) server.cold_left_ms = server.cold_left_ms > 0 ? 1 : 0;
        ServerList& list = lists_[group];
        const bool first = list.sequence == 0 || list.term != host_.replica(group).term();
        if (!first && encode(list.servers) == encode(servers)) return;
        list.term = host_.replica(group).term();
        list.sequence = first ? 1 : list.sequence + 1;
        list.servers = std::move(servers);
        push(read_at, group);
      });
}

std::vector<consensus::Member> ControlService::live_core(Millis now, GroupId group) const {
  std::vector<consensus::Member> out;
  const auto found = subscribers_.find(group);
  if (found == subscribers_.end()) return out;
  for (const auto& [name, subscriber] : found->second) {
    if (!subscriber.node.is_core || subscriber.node.disk_id == 0 || subscriber.leaving) continue;
    if (subscriber.heard + kCoreLiveMs < now) continue;
    consensus::Member member{};
    member.id = subscriber.node.disk_id;
    member.address = subscriber.address;
    member.node = name;
    out.push_back(std::move(member));
  }
  return out;
}

// ---------------------------------------------------------------- polls

void ControlService::on_poll(Millis now, const std::string& from, const Poll& poll) {
  if (poll.group >= kGroups) return;
  if (!leads(now, poll.group)) {
    PollReply out{};
    out.group = poll.group;
    const consensus::Replica& replica = host_.replica(poll.group);
    if (const auto* leader = replica.member(replica.leader())) out.leader = leader->address;
    return network_.send(from, encode_message(MessageType::kPollReply, out));
  }
  Subscriber& subscriber = subscribers_[poll.group][poll.node.name];
  subscriber.node = poll.node;
  subscriber.address = from;
  subscriber.heard = now;
  subscriber.leaving = poll.leaving;
  subscriber.config_sequence = poll.config_sequence;
  subscriber.placement_sequence = poll.placement_sequence;
  subscriber.list_term = poll.list_term;
  subscriber.list_sequence = poll.list_sequence;
  PollReply out = reply_to(now, poll.group, subscriber);
  out.sent_at = poll.sent_at;
  if (poll.group == kConfigGroup) {
    if (planner_) planner_->on_poll(now, poll);
    add_register(now, poll, out);
    grant_tokens(now, poll, out);
  }
  network_.send(from, encode_message(MessageType::kPollReply, out));
}

// What a subscriber does not have yet; taken as had from then on, until its next poll says otherwise.
PollReply ControlService::reply_to(Millis, GroupId group, Subscriber& subscriber) {
  PollReply out{};
  out.group = group;
  out.from_leader = true;
  if (group != kConfigGroup) {
    const auto list = lists_.find(group);
    if (list == lists_.end()) return out;
    const bool has =
        subscriber.list_term == list->second.term && subscriber.list_sequence == list->second.sequence;
    if (!has) out.servers.push_back(list->second);
    subscriber.list_term = list->second.term;
    subscriber.list_sequence = list->second.sequence;
    return out;
  }
  const ControlState& state = config_->state;
  if (subscriber.config_sequence < state.sequence()) {
    const bool kept = !recent_orders_.empty() &&
                      recent_orders_.front().sequence <= subscriber.config_sequence + 1 &&
                      recent_orders_.back().sequence == state.sequence();
    if (kept) {
      for (const SequencedOrder& order : recent_orders_) {
        if (order.sequence > subscriber.config_sequence) out.orders.push_back(order);
      }
    } else {
      ControlSnapshot snapshot{};
      snapshot.sequence = state.sequence();
      snapshot.text = state.text();
      out.snapshot.push_back(std::move(snapshot));
    }
    subscriber.config_sequence = state.sequence();
  }
  if (subscriber.placement_sequence < state.placement().sequence) {
    out.placement.push_back(state.placement());
    subscriber.placement_sequence = state.placement().sequence;
  }
  return out;
}

void ControlService::push(Millis now, GroupId group) {
  for (auto& [name, subscriber] : subscribers_[group]) {
    if (subscriber.heard + kPushMs < now) continue;
    const PollReply out = reply_to(now, group, subscriber);
    network_.send(subscriber.address, encode_message(MessageType::kPollReply, out));
  }
}

// The node's place among the live ones of its class, for its subset of the servers.
void ControlService::add_register(Millis now, const Poll& poll, PollReply& out) {
  for (const auto& [name, subscriber] : subscribers_[kConfigGroup]) {
    const bool counts = subscriber.node.is_store == poll.node.is_store && !subscriber.leaving &&
                        subscriber.heard + kRegisteredMs > now;
    const bool same_zone = subscriber.node.zone == poll.node.zone;
    if (name == poll.node.name) {
      out.index = out.count;
      out.zone_index = out.zone_count;
    } else if (!counts) {
      continue;
    }
    ++out.count;
    if (same_zone) ++out.zone_count;
  }
  out.edges = static_cast<std::uint32_t>(live_edges(now, kRegisteredMs));
}

std::size_t ControlService::live_edges(Millis now, Millis within) const {
  const auto found = subscribers_.find(kConfigGroup);
  if (found == subscribers_.end()) return 0;
  return static_cast<std::size_t>(std::count_if(
      found->second.begin(), found->second.end(),
      [&](const auto& item) { return !item.second.node.is_store && item.second.heard + within > now; }));
}

void ControlService::grant_tokens(Millis now, const Poll& poll, PollReply& out) {
  if (poll.tokens.empty() || !config_->state.configuration()) return;
  // Nodes out of touch use their fixed part until their lease has run out; a new leader knows of them by the
  // view.
  const Millis lease = static_cast<Millis>(settings_.bounds.revoke_ms) + 1000;
  std::size_t known = live_edges(now, lease);
  if (host_.replica(kConfigGroup).led_since() + lease > now) {
    std::size_t seen = view_.self().is_store ? 0 : 1;
    for (const NodeInfo& node : view_.nodes()) seen += node.is_store ? 0 : 1;
    known = std::max(known, seen);
  }
  const std::size_t reachable =
      std::max<std::size_t>(live_edges(now, quota_missing_ms(live_edges(now, kRegisteredMs))), 1);
  known = std::max(known, reachable);
  out.grants = quota_.grant(now, *config_->state.configuration(),
                            static_cast<double>(reachable) / static_cast<double>(known), known, poll.tokens);
}

// ---------------------------------------------------------------- the operator

void ControlService::on_operator_call(Millis now, const OperatorCall& call, OperatorDone done) {
  if (!leads(now, kConfigGroup)) {
    const consensus::Replica& replica = host_.replica(kConfigGroup);
    OperatorReply out = reply(call, kUnavailable, error_body("not the leader"));
    out.not_leader = true;
    if (const auto* leader = replica.member(replica.leader());
        leader != nullptr && replica.leader() != replica.id()) {
      out.leader = leader->address;
    }
    return done(out);
  }
  constexpr std::string_view kRetire = "/nettlestand/retire/";
  OperatorReply out{};
  if (call.path == "/nettlestand/config/read") {
    const std::string& text = config_->state.text();
    out =
        reply(call, text.empty() ? kNotFound : kOk, text.empty() ? error_body("no configuration yet") : text);
  } else if (call.path == "/nettlestand/config/replace" || call.path == "/nettlestand/config/update") {
    out = order(now, call, done);
  } else if (call.path.starts_with(kRetire)) {
    out = retire(now, call, done);
  } else {
    out = reply(call, kNotFound, error_body("no such call"));
  }
  if (out.status != 0) done(out);
}

OperatorReply ControlService::order(Millis now, const OperatorCall& call, OperatorDone& done) {
  ConfigOrder order{};
  order.kind = call.path.ends_with("/update") ? OrderKind::kUpdate : OrderKind::kReplace;
  order.base = call.base;
  order.body = call.body;
  // With others on their way it is judged once they are decided.
  if (waiting_.empty()) {
    std::string why;
    switch (config_->state.judge(order, &why)) {
      case OrderOutcome::kTakenBefore:
        return reply(call, kOk, "{}");
      case OrderOutcome::kConflict:
        return reply(call, kPrecondition, error_body(why));
      case OrderOutcome::kInvalid:
        return reply(call, kBadRequest, error_body(why));
      case OrderOutcome::kTaken:
        break;
    }
  }
  ControlCommand command{};
  command.orders.push_back(std::move(order));
  const auto index = host_.replica(kConfigGroup).propose(now, encode(command));
  if (!index) return reply(call, kUnavailable, error_body("not the leader"));
  Waiting& waiting = waiting_[*index];
  waiting.call.call = call.call;
  waiting.done = std::move(done);
  waiting.until = now + kOrderWaitMs;
  host_.drive(now);
  return {};
}

void ControlService::on_order_applied(consensus::LogIndex index, const ConfigOrder& order,
                                      OrderOutcome outcome) {
  const Millis now = steady_now();
  if (outcome == OrderOutcome::kTaken) {
    NETTLESTAND_INFO("configuration in force generation=" << config_->state.generation()
                                                          << " sequence=" << config_->state.sequence());
    SequencedOrder taken{};
    taken.sequence = config_->state.sequence();
    taken.order = order;
    recent_orders_.push_back(std::move(taken));
    if (recent_orders_.size() > kRecentOrders) recent_orders_.pop_front();
    if (leads(now, kConfigGroup)) push(now, kConfigGroup);
  }
  const auto found = waiting_.find(index);
  if (found == waiting_.end()) return;
  Waiting waiting = std::move(found->second);
  waiting_.erase(found);
  // What stands here may be another leader's entry: only the own order's outcome is an answer.
  const bool certain = host_.replica(kConfigGroup).role() == consensus::Role::kLeader;
  std::uint32_t status = kServerError;
  if (certain) {
    status = outcome == OrderOutcome::kConflict  ? kPrecondition
             : outcome == OrderOutcome::kInvalid ? kBadRequest
                                                 : kOk;
  }
  waiting.done(reply(waiting.call, status, status == kOk ? "{}" : error_body("not taken")));
}

void ControlService::on_placement_applied() {
  placement_pending_ = false;
  const Millis now = steady_now();
  if (leads(now, kConfigGroup)) push(now, kConfigGroup);
  if (!retire_waiting_) return;
  retire_waiting_->done(reply(retire_waiting_->call, kOk, "{}"));
  retire_waiting_.reset();
}

void ControlService::expire_waiting(Millis now) {
  const bool led = host_.replica(kConfigGroup).role() == consensus::Role::kLeader;
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    if (led && now < at->second.until) {
      ++at;
      continue;
    }
    // It may yet be taken, so nothing is promised.
    at->second.done(reply(at->second.call, kServerError, error_body("outcome unknown")));
    at = waiting_.erase(at);
  }
  if (!retire_waiting_ || (led && now < retire_waiting_->until)) return;
  retire_waiting_->done(reply(retire_waiting_->call, kServerError, error_body("outcome unknown")));
  retire_waiting_.reset();
}

OperatorReply ControlService::retire(Millis now, const OperatorCall& call, OperatorDone& done) {
  constexpr std::string_view kRetire = "/nettlestand/retire/";
  const std::string rest = call.path.substr(kRetire.size());
  const std::size_t slash = rest.find('/');
  const std::string name = rest.substr(0, slash),
                    verb = slash == std::string::npos ? "" : rest.substr(slash + 1);
  const PlacementTable& table = config_->state.placement();
  const StoreRecord* record = table.store_named(name);
  if (verb == "read") {
    if (record == nullptr) return reply(call, kNotFound, error_body("unknown machine"));
    return reply(call, kOk, record->retired ? "{\"state\":\"completed\"}" : "{\"state\":\"serving\"}");
  }
  if (verb != "start" || !planner_) return reply(call, kNotFound, error_body("no such call"));
  bool refused = false;
  const auto change = planner_->retire(now, table, name, refused);
  if (refused) return reply(call, kConflict, error_body("too few would be left"));
  if (!change) return reply(call, kNotFound, error_body("unknown machine"));
  if (change->empty()) return reply(call, kOk, "{}");
  if (placement_pending_) return reply(call, kUnavailable, error_body("busy"));
  propose_placement(now, *change);
  if (!placement_pending_) return reply(call, kUnavailable, error_body("not the leader"));
  NETTLESTAND_INFO("retire begun node=" << name);
  retire_waiting_.emplace();
  retire_waiting_->call.call = call.call;
  retire_waiting_->done = std::move(done);
  retire_waiting_->until = now + kOrderWaitMs;
  return {};
}

}  // namespace nettlestand::tier
