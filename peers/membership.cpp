#include "peers/membership.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>
#include <utility>

namespace nettlestand::peers {
namespace {

constexpr int kMaxPings = 4;               // pings in a probe; another one is sent when the ack is late
constexpr int kIndirectAfterTimeouts = 3;  // ack timeouts until other members are asked to ping
constexpr double kProbeTimeouts = 5;       // length of a probe; the helpers have two of these to answer
constexpr double kVerifyTimeouts = 4;      // length of a verifying probe, in which helpers are asked at once
static_assert(kMinIntervalTimeouts > kProbeTimeouts && kMinSuspicionTimeouts >= kVerifyTimeouts);
constexpr double kSwimProbeShare = 0.9;  // of a probe interval; for the baseline protocols
constexpr double kSwimIndirectTimeouts = 2;
constexpr double kSwimSuspicionSeconds = 4;  // plain SWIM
// Probe intervals for which an ack that another member relayed counts as a contact.
constexpr double kIndirectContactIntervals = 4;
// Probe intervals for which a node's own contact with a member speaks against a suspicion.
constexpr double kRecentContactIntervals = 2;
// Probe intervals for which an ack shows that the others know this node's generation.
constexpr double kRecentAckIntervals = 3;
// No new suspicion for so long after a refutation by a member that this node still can't reach.
constexpr double kMinSuspicionBackoffSeconds = 10;
constexpr double kMaxSuspicionBackoffSeconds = 60;
// Expected number of members that probe a suspect themselves.
constexpr double kMeanVerifiers = 5;
// Probe intervals after which all other members probe a suspect too, if the suspicion still stands.
constexpr double kVerifyIntervals = 3;
constexpr double kMeanNotifiers = 24;  // expected number of members that notify the suspect
constexpr int kPushFanout = 3;         // members that urgent gossip is sent to at once
constexpr int kRejoinFanout = 6;       // members that a rejoin or a goodbye is sent to at once
// A larger step between generations is not believed. Generations start as times in ms: 139 years.
constexpr std::uint64_t kMaxGenerationStep = std::uint64_t{1} << 42;
constexpr double kPagesPerSecond = 20;  // while a node fetches the member table
constexpr double kPageTimeoutSeconds = 0.5;
constexpr double kGreetingsPerSecond = 20;  // after the start
constexpr std::size_t kMaxGreetings = 600;
// Further rediscoveries in quick succession for each dead member that turns out to be alive.
constexpr int kQuickRediscoveries = 3;
constexpr double kQuickRediscoverySeconds = 0.1;  // between them
constexpr double kClaimRejectedSeconds = 2;       // until a rejected claim to a name is checked again
constexpr double kCleanupIntervalSeconds = 10;
// How long the ended generations of forgotten members are kept at least.
constexpr double kEndedGenerationMemorySeconds = 3600;
constexpr double kMinRejoinIntervalSeconds = 0.2;
constexpr std::size_t kMaxVerifyProbes = 64, kMaxProbes = 512;
constexpr double kNever = std::numeric_limits<double>::infinity();

// If two updates concern the same generation and incarnation, the more severe state holds.
int severity(MemberState state) { return static_cast<int>(state); }

}  // namespace

Membership::Membership(MembershipSettings settings)
    : settings_(std::move(settings)),
      key_(member_key(settings_.self.name)),
      self_(std::make_shared<const Identity>(settings_.self)),
      generation_(settings_.generation),
      random_(settings_.seed),
      observed_(static_cast<std::size_t>(std::clamp(settings_.rings, 1, 8))),
      gossip_limit_(settings_.gossip_per_s, 5 * settings_.gossip_per_s),
      reply_limit_(settings_.replies_per_s, 4 * settings_.replies_per_s) {
  const auto short_text = [](const std::string& text) { return text.size() <= kMaxLabelBytes; };
  if (settings_.self.name.empty() || settings_.self.name.size() > kMaxNameBytes) {
    throw std::invalid_argument("name: must be 1 to 32 bytes");
  }
  if (!short_text(settings_.self.zone) || !short_text(settings_.self.region) ||
      !short_text(settings_.self.version)) {
    throw std::invalid_argument("zone, region and version: must be at most 12 bytes");
  }
  if (settings_.address == 0) throw std::invalid_argument("address: missing");
  if (settings_.generation == 0) throw std::invalid_argument("generation: must be at least 1");
  if (!(settings_.probe_interval > 0) || !(settings_.ack_timeout > 0) ||
      settings_.ack_timeout * kMinIntervalTimeouts > settings_.probe_interval) {
    throw std::invalid_argument(
        "probe_interval and ack_timeout: must be above 0, and the interval at least six timeouts");
  }
  if (settings_.rings < 1 || settings_.rings > 8) throw std::invalid_argument("rings: must be 1 to 8");
  if (settings_.indirect_probes < 0 || settings_.confirmations < 1)
    throw std::invalid_argument("indirect_probes must be at least 0, confirmations at least 1");
  if (!(settings_.min_suspicion >= settings_.ack_timeout * kMinSuspicionTimeouts) ||
      !(settings_.max_suspicion >= settings_.min_suspicion)) {
    throw std::invalid_argument("min_suspicion: must be at least four timeouts; max_suspicion: no less");
  }
  if (!(settings_.gossip_per_s >= 1) || !(settings_.replies_per_s >= 1) ||
      !(settings_.rediscovery_interval > 0) || !(settings_.sync_interval > 0)) {
    throw std::invalid_argument(
        "gossip_per_s and replies_per_s: at least 1; rediscovery_interval and sync_interval: above 0");
  }
  if (settings_.max_health < 0) throw std::invalid_argument("max_health: must be at least 0");
}

void Membership::begin_event(double now, std::vector<Outgoing>& out) {
  now_ = now;
  out_ = &out;
  // A stall is noticed by whichever comes first after it, a datagram or the timer.
  if (!is_swim() && now - next_tick_ > settings_.probe_interval) recover_from_stall(now - next_tick_);
}

void Membership::end_event() {
  if (gossip_urgent_) push_gossip();
  schedule();
  out_ = nullptr;
}

void Membership::start(double now, const std::vector<Address>& addresses, std::vector<Outgoing>& out) {
  started_ = true;
  gossip_limit_.start(now);
  reply_limit_.start(now);
  set_seed_addresses(addresses);
  // Nodes that start together must not probe at the same moments.
  next_probe_ = now + settings_.probe_interval * random_unit();
  next_gossip_ = next_page_request_ = next_greeting_ = next_tick_ = now;
  next_rediscovery_ = now + settings_.rediscovery_interval * (0.5 + random_unit());
  next_sync_ = now + settings_.sync_interval * random_unit();
  next_cleanup_ = now + kCleanupIntervalSeconds;
  greetings_ = seed_addresses_;
  for (std::size_t k = greetings_.size(); k > 1; --k)
    std::swap(greetings_[k - 1], greetings_[random_below(k)]);
  if (greetings_.size() > kMaxGreetings) greetings_.resize(kMaxGreetings);
  gossip_queue_.add(self_update(true));
  tick(now, out);
}

void Membership::set_seed_addresses(const std::vector<Address>& addresses) {
  seed_addresses_.clear();
  for (const Address a : addresses) {
    if (a != settings_.address && a != 0) seed_addresses_.push_back(a);
  }
}

void Membership::add_known_members(double now, const std::vector<Member>& members) {
  std::vector<MemberEntry> fresh;
  fresh.reserve(members.size());
  for (const Member& m : members) {
    if (m.key == key_ || table_.find(m.key) != nullptr || has_ended(m.state)) continue;
    MemberEntry e;
    e.key = m.key;
    e.generation = m.generation;
    e.address = m.address;
    e.since = now;
    e.incarnation = m.incarnation;
    if (m.identity_known) e.identity = std::make_shared<const Identity>(m.identity);
    fresh.push_back(std::move(e));
  }
  live_count_ += table_.merge(std::move(fresh));
  fetching_table_ = false;
  select_observed();
}

// ------------------------------------------------------------ sending

Message Membership::make_message(MessageKind kind) const {
  Message out;
  out.kind = kind;
  out.from = key_;
  out.generation = generation_;
  return out;
}

Update Membership::self_update(bool with_identity) const {
  Update out;
  out.key = key_;
  out.generation = generation_;
  out.incarnation = incarnation_;
  out.state = state_;
  out.address = settings_.address;
  if (with_identity) out.identity = self_;
  return out;
}

Message Membership::hello(MessageKind kind) const {
  Message out = make_message(kind);
  out.updates.push_back(self_update(true));
  return out;
}

Update Membership::update_of(const MemberEntry& e, bool with_identity) const {
  Update out;
  out.key = e.key;
  out.generation = e.generation;
  out.incarnation = e.incarnation;
  out.state = e.state;
  out.address = e.address;
  if (with_identity) out.identity = e.identity;
  const auto it = suspicions_.find(e.key);
  if (it != suspicions_.end()) {  // also for a member that is leaving
    out.state = MemberState::kSuspect;
    out.reporter = it->second.own_failure         ? key_
                   : it->second.reporters.empty() ? 0
                                                  : it->second.reporters.front();
  }
  return out;
}

// Fills a datagram with updates: first the one that concerns its receiver, then those sent least often.
void Membership::send(Address to, Message message, const MemberEntry* about) {
  if (to == 0 || to == settings_.address || refused_) return;
  // A member that is suspected or declared dead has to learn of it.
  if (about != nullptr && about->state != MemberState::kAlive && message.updates.size() < kMaxUpdates) {
    const Update u = update_of(*about);
    if (max_encoded_bytes(message) + max_encoded_bytes(u) <= kMaxDatagramBytes) message.updates.push_back(u);
  }
  gossip_queue_.append_to(message, table_.size());
  out_->push_back({to, std::move(message)});
}

// Sends a reply within the rate limit, so that nobody can make this node send without bound.
bool Membership::reply(Address to, Message message, const MemberEntry* about) {
  if (!reply_limit_.take(now_)) {
    ++counters_.rate_limited_replies;
    return false;
  }
  send(to, std::move(message), about);
  return true;
}

void Membership::gossip(const Update& update, bool urgent) {
  gossip_queue_.add(update);
  gossip_urgent_ = gossip_urgent_ || urgent;
}

// Sends urgent gossip to some members at once, who do the same, so that it reaches all within a few network
// delays.
void Membership::push_gossip() {
  gossip_urgent_ = false;
  if (!is_default()) return;
  for (int i = 0; i < kPushFanout && !gossip_queue_.empty(); ++i) {
    const MemberEntry* e = random_live_member();
    if (e == nullptr || !gossip_limit_.take(now_)) return;
    send(e->address, make_message(MessageKind::kGossip), e);
  }
}

const MemberEntry* Membership::random_live_member() {
  if (live_count_ < 2) return nullptr;
  for (int tries = 0; tries < 32; ++tries) {
    const MemberEntry& e = table_[random_below(table_.size())];
    if (!has_ended(e.state) && e.address != 0) return &e;
  }
  // Few live members among many: take the next one after a random position.
  const std::size_t from = random_below(table_.size());
  for (std::size_t i = 0; i < table_.size(); ++i) {
    const MemberEntry& e = table_[(from + i) % table_.size()];
    if (!has_ended(e.state) && e.address != 0) return &e;
  }
  return nullptr;
}

// ------------------------------------------------------------ member table

Member Membership::member_of(const MemberEntry& e) const {
  Member m;
  if (e.identity) {
    m.identity = *e.identity;
    m.identity_known = true;
  }
  m.key = e.key;
  m.address = e.address;
  m.generation = e.generation;
  m.incarnation = e.incarnation;
  m.state = e.state;
  m.since = e.since;
  m.heard_at = e.heard_at;
  const auto reached = indirect_contacts_.find(e.key);
  if (reached != indirect_contacts_.end()) {
    m.reached_by = static_cast<std::size_t>(
        std::count_if(reached->second.begin(), reached->second.end(), [&](const auto& r) {
          return r.second >= now_ - kIndirectContactIntervals * settings_.probe_interval;
        }));
  }
  const auto suspicion = suspicions_.find(e.key);
  if (suspicion != suspicions_.end()) m.suspected_by = suspicion->second.reporters.size();
  return m;
}

std::vector<Member> Membership::members() const {
  std::vector<Member> out;
  out.reserve(table_.size() + 1);
  Member self;
  self.identity = settings_.self;
  self.identity_known = true;
  self.key = key_;
  self.address = settings_.address;
  self.generation = generation_;
  self.incarnation = incarnation_;
  self.state = state_;
  self.heard_at = now_;
  out.push_back(std::move(self));
  for (const MemberEntry& e : table_) out.push_back(member_of(e));
  std::sort(out.begin(), out.end(), [](const Member& a, const Member& b) { return a.key < b.key; });
  return out;
}

std::optional<Member> Membership::find(MemberKey key) const {
  const MemberEntry* e = table_.find(key);
  if (e == nullptr) return std::nullopt;
  return member_of(*e);
}

std::vector<Change> Membership::changes() { return std::exchange(changes_, {}); }

// The latest generation under a key that is known to have ended; 0 if there is none.
std::uint64_t Membership::ended_generation(MemberKey key) const {
  if (const MemberEntry* e = table_.find(key)) return has_ended(e->state) ? e->generation : e->generation - 1;
  const auto it = ended_generations_.find(key);
  return it == ended_generations_.end() ? 0 : it->second.first;
}

void Membership::set_state(MemberEntry& e, MemberState state, MemberKey by) {
  const MemberState before = e.state;
  if (before == state) return;
  const bool lived = !has_ended(before), lives = !has_ended(state);
  live_count_ = live_count_ + (lives ? 1 : 0) - (lived ? 1 : 0);
  e.state = state;
  e.since = now_;
  Change change{member_of(e), before, false, by};
  if (state != MemberState::kSuspect) suspicions_.erase(e.key);
  if (state == MemberState::kDead) dead_.push_back(e.key);
  if (before == MemberState::kDead) std::erase(dead_, e.key);
  if (!lives) {
    indirect_contacts_.erase(e.key);
    suspicion_backoffs_.erase(e.key);
    name_claims_.erase(e.key);
  }
  changes_.push_back(std::move(change));
  if (lived != lives) update_observed(e);
}

// Updates the observed members, which are the next live member on each ring.
void Membership::update_observed(const MemberEntry& e) {
  if (has_ended(e.state)) {
    if (std::find(observed_.begin(), observed_.end(), e.key) != observed_.end()) select_observed();
    return;
  }
  for (std::size_t ring = 0; ring < observed_.size(); ++ring) {
    const auto far = [&](MemberKey key) {
      return ring_position(key, static_cast<int>(ring)) - ring_position(key_, static_cast<int>(ring));
    };
    if (observed_[ring] == 0 || far(e.key) < far(observed_[ring])) observed_[ring] = e.key;
  }
}

void Membership::select_observed() {
  for (std::size_t ring = 0; ring < observed_.size(); ++ring) {
    const std::uint64_t own = ring_position(key_, static_cast<int>(ring));
    MemberKey best = 0;
    std::uint64_t least = 0;
    for (const MemberEntry& e : table_) {
      if (has_ended(e.state)) continue;
      const std::uint64_t far = ring_position(e.key, static_cast<int>(ring)) - own;
      if (best == 0 || far < least) {
        best = e.key;
        least = far;
      }
    }
    observed_[ring] = best;
  }
}

// ------------------------------------------------------------ updates

void Membership::apply_update(const Update& u, MemberKey from) {
  if (u.key == key_) return apply_update_about_self(u, from, 0);
  MemberEntry* e = table_.find(u.key);
  const std::uint64_t known = e != nullptr ? e->generation : ended_generation(u.key);
  if (known > 0 && u.generation > known + kMaxGenerationStep) {
    ++counters_.implausible_generations;
    return;
  }
  if (u.generation <= ended_generation(u.key)) return;  // an ended generation does not become alive again
  if (e == nullptr) return add_member(u, from);
  // A member's own description of itself takes precedence over descriptions by others.
  if (u.identity && u.generation == e->generation &&
      (!e->identity || (from == u.key && *e->identity != *u.identity))) {
    e->identity = u.identity;
    // Reports the member again, as it could not be described before.
    changes_.push_back({member_of(*e), e->state, false, from});
  }
  if (u.generation > e->generation) {
    const bool elsewhere = u.address != 0 && u.address != e->address && e->address_confirmed;
    if (is_default() && elsewhere && !has_ended(e->state) && !has_ended(u.state) && from != u.key) {
      return verify_name_holder(*e, u);
    }
    return start_generation(*e, u, from);
  }
  switch (u.state) {
    case MemberState::kSuspect:
      if (u.incarnation < e->incarnation) {  // the sender has missed the refutation
        if (u.reporter == from && is_default()) {
          if (const MemberEntry* who = table_.find(from)) {
            Message back = make_message(MessageKind::kGossip);
            back.updates.push_back(update_of(*e));
            reply(who->address, std::move(back));
          }
        }
        return;
      }
      e->incarnation = u.incarnation;
      return add_suspicion(*e, u.reporter, from);
    case MemberState::kAlive:
    case MemberState::kLeaving: {
      const bool refutes = u.incarnation > e->incarnation;
      const bool goes = u.state == MemberState::kLeaving && e->state != MemberState::kLeaving;
      if (!refutes && !goes) return;
      e->incarnation = std::max(e->incarnation, u.incarnation);
      if (!e->address_confirmed && u.address != 0) e->address = u.address;
      const auto suspicion = suspicions_.find(u.key);
      if (suspicion != suspicions_.end()) {
        // The member is alive although this node could not reach it, so further failed probes prove nothing
        // for a while.
        if (refutes && suspicion->second.own_failure && is_default()) {
          SuspicionBackoff& backoff = suspicion_backoffs_[u.key];
          backoff.length =
              std::clamp(backoff.length * 2, kMinSuspicionBackoffSeconds, kMaxSuspicionBackoffSeconds);
          backoff.until = now_ + backoff.length;
        }
        suspicions_.erase(suspicion);
      }
      set_state(*e, goes || e->state == MemberState::kLeaving ? MemberState::kLeaving : MemberState::kAlive,
                from);
      return gossip(u);
    }
    default:
      if (severity(u.state) <= severity(e->state)) return;
      e->incarnation = std::max(e->incarnation, u.incarnation);
      set_state(*e, u.state, from);
      return gossip(update_of(*e));
  }
}

void Membership::add_member(const Update& u, MemberKey from) {
  if (has_ended(u.state)) {  // of an unknown member that has ended, only the generation is kept
    auto& [generation, at] = ended_generations_[u.key];
    generation = std::max(generation, u.generation);
    at = now_;
    return;
  }
  if (table_.size() >= settings_.max_members) {
    ++counters_.overflow;
    return;
  }
  MemberEntry fresh;
  fresh.key = u.key;
  fresh.generation = u.generation;
  fresh.incarnation = u.incarnation;
  fresh.address = u.address;
  fresh.state = u.state == MemberState::kSuspect ? MemberState::kAlive : u.state;
  fresh.since = now_;
  fresh.identity = u.identity;
  ended_generations_.erase(u.key);
  MemberEntry& e = table_.insert(std::move(fresh));
  ++live_count_;
  found_new_member_ = true;
  changes_.push_back({member_of(e), MemberState::kDead, true, from});
  if (!e.identity) queue_identity_request(e.key);
  update_observed(e);
  gossip(u);
  if (u.state == MemberState::kSuspect) add_suspicion(e, u.reporter, from);
}

// The bound protects the memory against a member that starts new generations and never describes itself.
void Membership::queue_identity_request(MemberKey key) {
  if (identity_missing_.size() <= table_.size()) identity_missing_.push_back(key);
}

// The known generation has ended: replaces it by a later one.
void Membership::start_generation(MemberEntry& e, const Update& u, MemberKey from) {
  if (!has_ended(e.state)) set_state(e, MemberState::kDead, from);
  e.generation = u.generation;
  e.incarnation = u.incarnation;
  if (u.address != 0) e.address = u.address;
  e.address_confirmed = false;
  if (u.identity) e.identity = u.identity;
  e.heard_at = -1e18;
  suspicions_.erase(u.key);
  suspicion_backoffs_.erase(u.key);
  name_claims_.erase(u.key);
  if (has_ended(u.state)) {
    e.state = u.state;
    e.since = now_;
    if (u.state == MemberState::kLeft) std::erase(dead_, u.key);
  } else {
    set_state(e, u.state == MemberState::kLeaving ? MemberState::kLeaving : MemberState::kAlive, from);
    if (!e.identity) queue_identity_request(e.key);
  }
  Update told = u;
  told.address = e.address;
  if (!told.identity) told.identity = e.identity;
  gossip(told);
  if (u.state == MemberState::kSuspect) add_suspicion(e, u.reporter, from);
}

// Handles an update about this node. `floor`: generations up to it are taken.
void Membership::apply_update_about_self(const Update& u, MemberKey from, std::uint64_t floor) {
  if (left_ || refused_ || u.generation < generation_) return;
  if (std::max(u.generation, floor) > generation_ + kMaxGenerationStep) {
    ++counters_.implausible_generations;
    return;
  }
  // A later generation, although this node has joined and is answered: another process uses its name. The
  // other members decide who holds the name. Outbidding each other's generation would go on without end.
  const bool elsewhere =
      u.generation > generation_ && !has_ended(u.state) && u.address != 0 && u.address != settings_.address;
  const bool answered = established_ && now_ - acked_at_ < kRecentAckIntervals * settings_.probe_interval;
  if (elsewhere || (std::max(u.generation, floor) > generation_ && answered)) {
    ++counters_.name_conflicts;
    return;
  }
  // An earlier process that had been given a larger generation by a wrong clock.
  if (u.generation > generation_) return rejoin(std::max(u.generation, floor));
  if (has_ended(u.state)) return rejoin(std::max(u.generation, floor));
  if (u.state == MemberState::kSuspect) refute(u, from);
}

// Starts a new generation under the same name, as the other members have declared the last one dead.
void Membership::rejoin(std::uint64_t floor) {
  if (now_ - rejoined_at_ < kMinRejoinIntervalSeconds) return;
  rejoined_at_ = now_;
  generation_ = std::max(generation_, floor) + 1;
  incarnation_ = 0;
  ++counters_.rejoins;
  probes_.clear();
  no_suspicion_until_ = now_ + 2 * settings_.probe_interval;
  gossip_queue_.remove(key_);
  gossip(self_update(true));
  for (int i = 0; i < kRejoinFanout; ++i) {
    if (const MemberEntry* e = random_live_member()) send(e->address, make_message(MessageKind::kGossip), e);
  }
}

void Membership::refute(const Update& u, MemberKey from) {
  // If the refutation has been sent but was missed, it has to be sent again.
  if (u.incarnation >= incarnation_) {
    incarnation_ = u.incarnation + 1;
    ++counters_.refuted;
    if (!is_swim()) adjust_health(1);
    gossip(self_update(false));
  } else {
    gossip(self_update(false), false);
  }
  // Answers the reporter and the sender at once: as there is a path from them to this node, there may be one
  // back.
  for (const MemberKey key : {from, u.reporter}) {
    const MemberEntry* e = table_.find(key);
    if (e == nullptr) continue;
    Message back = make_message(MessageKind::kGossip);
    back.updates.push_back(self_update(false));
    reply(e->address, std::move(back));
    if (from == u.reporter) break;
  }
}

// Tells a member that is taken for dead and still sends that it was declared dead, and which generation it
// has to exceed.
void Membership::answer_ended_member(const Message& m, Address from) {
  for (const Update& u : m.updates) {
    if (u.key == key_)
      apply_update_about_self(u, m.from,
                              m.kind == MessageKind::kGossip && m.target == key_ ? m.target_generation : 0);
  }
  const MemberEntry* e = table_.find(m.from);
  // A late datagram of an earlier generation, from the address where the next one already runs.
  if (e != nullptr && !has_ended(e->state) && e->address == from) return;
  Message back = make_message(MessageKind::kGossip);
  back.target = m.from;
  back.target_generation = e != nullptr ? e->generation : ended_generation(m.from);
  Update u;
  u.key = m.from;
  u.generation = m.generation;
  u.state = MemberState::kDead;
  back.updates.push_back(u);
  // Two members that take each other for dead would otherwise answer each other without end.
  if (m.kind != MessageKind::kGossip || random_unit() < 0.5) reply(from, std::move(back));
  // Other members may be reachable again at the same place.
  if (e != nullptr && e->state == MemberState::kDead)
    quick_rediscoveries_ = std::min(quick_rediscoveries_ + kQuickRediscoveries, 60);
}

// ------------------------------------------------------------ name conflicts

// Whether a datagram comes from a process that uses a name which another process holds, as far as is known.
bool Membership::is_name_claim(const Message& m, Address from) {
  MemberEntry* e = table_.find(m.from);
  if (!is_default() || e == nullptr || m.generation <= e->generation || has_ended(e->state) ||
      from == e->address || e->address == 0) {
    return false;
  }
  Update u;
  u.key = m.from;
  u.generation = m.generation;
  u.address = from;
  for (const Update& said : m.updates) {
    if (said.key == m.from) u.identity = said.identity;
  }
  const auto it = name_claims_.find(m.from);
  if (it != name_claims_.end() && it->second.rejected && now_ < it->second.until) {
    // Both processes are told: the one that claims the name and the one that holds it.
    Message back = make_message(MessageKind::kNameTaken);
    back.target = m.from;
    back.target_generation = e->generation;
    reply(from, std::move(back));
    Message notice = make_message(MessageKind::kGossip);
    notice.updates.push_back(u);
    notice.updates.back().identity.reset();
    reply(e->address, std::move(notice));
    return true;
  }
  verify_name_holder(*e, u);
  return true;
}

// Probes the holder of a name to find out whether it still runs.
void Membership::verify_name_holder(MemberEntry& e, const Update& u) {
  NameClaim& claim = name_claims_[e.key];
  if (claim.rejected && now_ < claim.until) return;
  claim.update = u;
  claim.rejected = false;
  claim.until = kNever;
  start_probe(e, ProbeReason::kNameClaim);
}

// ------------------------------------------------------------ suspicions

// Records that `reporter` failed to reach a member. Members that reach it notify it; a few others probe it or
// notify it as well.
void Membership::add_suspicion(MemberEntry& e, MemberKey reporter, MemberKey by) {
  if (has_ended(e.state)) return;
  const bool known = suspicions_.contains(e.key);
  Suspicion& suspicion = suspicions_[e.key];
  if (!known) {
    suspicion.since = now_;
    suspicion.until = now_ + (is_swim() ? kSwimSuspicionSeconds : scale_by_health(settings_.max_suspicion));
    suspicion.probe_at = is_default()
                             ? now_ + settings_.probe_interval * kVerifyIntervals * (0.5 + random_unit() / 2)
                             : kNever;
  }
  auto& reporters = suspicion.reporters;
  const bool more =
      reporter != 0 && std::find(reporters.begin(), reporters.end(), reporter) == reporters.end();
  if (more) reporters.push_back(reporter);
  if (reporter == key_) {
    suspicion.own_failure = true;
    if (more) ++counters_.suspicions;
  }
  if (e.state == MemberState::kAlive)
    set_state(e, MemberState::kSuspect, by);  // a leaving member stays so until it is dead
  // Each confirmation shortens the suspicion (Lifeguard's logarithm).
  if (more && !is_swim()) {
    const double needed = std::max(2, needed_confirmations());
    const double part =
        needed_confirmations() == 1
            ? 1
            : std::min(1.0, std::log(static_cast<double>(reporters.size())) / std::log(needed));
    suspicion.until = std::min(
        suspicion.until,
        suspicion.since + scale_by_health(settings_.max_suspicion -
                                          (settings_.max_suspicion - settings_.min_suspicion) * part));
  }
  if (more && reporters.size() <= static_cast<std::size_t>(needed_confirmations()) + 1) {
    Update u = update_of(e);
    u.reporter = reporter;
    gossip(u);
  }
  if (!is_default() || reporter == key_) return;
  if (now_ - e.heard_at < kRecentContactIntervals * settings_.probe_interval) return notify_suspect(e);
  if (known) return;
  const double living = static_cast<double>(live_count_);
  if (random_unit() * living < kMeanNotifiers) notify_suspect(e);
  if (random_unit() * living < kMeanVerifiers) start_probe(e, ProbeReason::kVerify);
}

// Notifies a suspect: its own refutation counts for more than this node's word.
void Membership::notify_suspect(const MemberEntry& e) {
  reply(e.address, make_message(MessageKind::kGossip), &e);
}

int Membership::needed_confirmations() const {
  if (!is_default()) return is_swim() ? 1 : settings_.confirmations;
  // Two confirmations are enough among three nodes, one among two.
  return std::max(1, std::min(settings_.confirmations, static_cast<int>(live_count_) - 1));
}

void Membership::declare_dead(MemberEntry& e) {
  ++counters_.deaths_declared;
  set_state(e, MemberState::kDead, key_);
  gossip(update_of(e));
}

// When a suspicion needs attention: the final probe ends before the suspicion does, not after it.
double Membership::suspicion_due(const Suspicion& d) const {
  const bool enough = static_cast<int>(d.reporters.size()) >= needed_confirmations();
  const double final_probe_time = d.own_failure && enough && !d.final_probe_sent && is_default()
                                      ? scale_by_health(settings_.ack_timeout) * kVerifyTimeouts
                                      : 0;
  return std::max(std::min(d.until - final_probe_time, d.own_failure ? kNever : d.probe_at),
                  no_suspicion_until_);
}

void Membership::check_suspicions() {
  std::vector<MemberKey> all;
  for (const auto& [key, suspicion] : suspicions_) {
    if (now_ >= suspicion_due(suspicion)) all.push_back(key);
  }
  for (const MemberKey key : all) {
    MemberEntry* e = table_.find(key);
    const auto it = suspicions_.find(key);
    if (e == nullptr || it == suspicions_.end() || has_ended(e->state)) continue;
    Suspicion& d = it->second;
    if (!is_default()) {
      declare_dead(*e);
      continue;
    }
    // If a suspicion stands and too few members have confirmed it, as on the small side of a partition, all
    // probe.
    if (!d.own_failure && now_ >= d.probe_at) {
      d.probe_at = now_ + settings_.probe_interval * kVerifyIntervals;
      start_probe(*e, ProbeReason::kVerify);
    }
    const bool enough = static_cast<int>(d.reporters.size()) >= needed_confirmations();
    // Only a node that failed to reach the suspect itself declares it dead, and only after a final probe.
    if (!d.own_failure || !enough) {
      if (now_ < d.until) continue;
      // If nobody confirms or refutes it for long, this node's own failures are enough.
      if (!d.own_failure || now_ < d.since + settings_.max_suspicion * 3) {
        d.until = now_ + settings_.probe_interval;
        start_probe(*e, ProbeReason::kVerify);
        continue;
      }
    }
    if (!d.final_probe_sent) {
      d.final_probe_sent = true;
      start_probe(*e, ProbeReason::kVerify);
      d.until = std::max(d.until, now_ + scale_by_health(settings_.ack_timeout) * kVerifyTimeouts * 1.01);
      continue;
    }
    if (now_ < d.until) continue;
    if (e->heard_at > d.since && now_ - e->heard_at < kRecentContactIntervals * settings_.probe_interval) {
      d.final_probe_sent = false;
      d.until = now_ + settings_.probe_interval;
      notify_suspect(*e);
      continue;
    }
    declare_dead(*e);
  }
}

void Membership::adjust_health(int by) {
  if (!is_swim()) health_ = std::clamp(health_ + by, 0, settings_.max_health);
}

// ------------------------------------------------------------ probes

void Membership::start_probe(MemberEntry& e, ProbeReason reason, Address to) {
  for (const Probe& p : probes_) {
    if (p.key == e.key &&
        (p.reason == reason || (p.reason == ProbeReason::kVerify && reason == ProbeReason::kObserved)))
      return;
  }
  // Bounds the memory; more probes at a time mean a flood of suspicions.
  if (probes_.size() >= (reason == ProbeReason::kVerify ? kMaxVerifyProbes : kMaxProbes)) return;
  Probe p;
  p.key = e.key;
  p.generation = e.generation;
  p.to = to != 0 ? to : e.address;
  p.reason = reason;
  p.seq = ++seq_;
  p.started_at = p.next_at = now_;
  p.ends_at =
      now_ + (!is_default()                      ? scale_by_health(settings_.probe_interval * kSwimProbeShare)
              : reason == ProbeReason::kObserved ? scale_by_health(settings_.ack_timeout) * kProbeTimeouts
                                                 : scale_by_health(settings_.ack_timeout) * kVerifyTimeouts);
  probes_.push_back(p);
  ++counters_.probes;
  advance_probe(probes_.back());
}

// Sends the next ping of a probe or its requests to helpers.
void Membership::advance_probe(Probe& p) {
  const MemberEntry* e = table_.find(p.key);
  if (e == nullptr) return;
  const int pings = is_default() ? kMaxPings : 1;
  if (p.sent < pings) {
    ++p.sent;
    Message ping = make_message(MessageKind::kPing);
    ping.seq = p.seq;
    ping.target = p.key;
    ping.target_generation = p.generation;
    send(p.to, std::move(ping), e);
  }
  const bool may_ask = p.reason == ProbeReason::kObserved || p.reason == ProbeReason::kVerify;
  const double ask_at =
      p.started_at + (!is_default() ? scale_by_health(settings_.ack_timeout) * kSwimIndirectTimeouts
                      : p.reason == ProbeReason::kVerify
                          ? 0
                          : scale_by_health(settings_.ack_timeout) * kIndirectAfterTimeouts);
  if (may_ask && !p.helpers_asked && now_ >= ask_at - 1e-6) request_indirect_probes(p, *e);
  if (is_default()) {
    p.next_at = p.sent < pings ? now_ + scale_by_health(settings_.ack_timeout) : p.ends_at;
  } else {
    p.next_at = p.helpers_asked ? p.ends_at : ask_at;
  }
}

void Membership::request_indirect_probes(Probe& p, const MemberEntry& e) {
  p.helpers_asked = true;
  std::vector<MemberKey> asked;
  for (int i = 0;
       i < settings_.indirect_probes * 4 && static_cast<int>(asked.size()) < settings_.indirect_probes; ++i) {
    const MemberEntry* other = random_live_member();
    if (other == nullptr) return;
    if (other->key == p.key || other->state != MemberState::kAlive) continue;
    if (std::find(asked.begin(), asked.end(), other->key) != asked.end()) continue;
    asked.push_back(other->key);
    Message ask = make_message(MessageKind::kPingReq);
    ask.seq = p.seq;
    ask.target = p.key;
    ask.target_generation = p.generation;
    Update where = update_of(e);
    where.reporter = 0;
    if (where.state == MemberState::kSuspect) where.state = MemberState::kAlive;
    ask.updates.push_back(where);
    send(other->address, std::move(ask));
  }
}

void Membership::on_probe_failed(const Probe& p) {
  MemberEntry* e = table_.find(p.key);
  if (e == nullptr || e->generation != p.generation || has_ended(e->state)) return;
  if (p.reason == ProbeReason::kAddressChange) return;
  if (p.reason == ProbeReason::kNameClaim) {  // the holder does not answer, so the name goes to the claimant
    const auto it = name_claims_.find(p.key);
    if (it == name_claims_.end()) return;
    const Update u = it->second.update;
    name_claims_.erase(it);
    if (u.generation > e->generation) start_generation(*e, u, u.key);
    return;
  }
  ++counters_.failed_probes;
  // No helper has answered either, so this node is probably the one that misses messages (Lifeguard).
  if (p.helpers_asked && !p.helper_heard && live_count_ > 2) adjust_health(1);
  if (now_ < no_suspicion_until_) return;
  const auto backoff = suspicion_backoffs_.find(p.key);
  if (is_default() && backoff != suspicion_backoffs_.end() && now_ < backoff->second.until) return;
  // A single failed probe may be chance: a verifying probe, with helpers asked at once, precedes a suspicion.
  if (is_default() && p.reason == ProbeReason::kObserved && !suspicions_.contains(p.key))
    return start_probe(*e, ProbeReason::kVerify);
  add_suspicion(*e, key_, key_);
}

// Probes the next observed member; each is probed once in an interval.
void Membership::probe_next_observed() {
  const std::size_t rings = observed_.size();
  const std::size_t at = next_ring_++ % rings;
  next_probe_ = now_ + scale_by_health(settings_.probe_interval) / static_cast<double>(rings);
  // A node whose suspicions nobody confirms may be on the small side of a partition. It also probes members
  // that it does not observe, so that it doesn't find the unreachable ones only one after another.
  if (std::any_of(suspicions_.begin(), suspicions_.end(), [this](const auto& d) {
        return d.second.own_failure && static_cast<int>(d.second.reporters.size()) < needed_confirmations();
      })) {
    const MemberEntry* other = random_live_member();
    if (other != nullptr && other->state == MemberState::kAlive)
      start_probe(*table_.find(other->key), ProbeReason::kVerify);
  }
  const MemberKey key = observed_[at];
  // If two rings name the same member, it is probed once.
  if (key == 0 || std::find(observed_.begin(), observed_.begin() + static_cast<std::ptrdiff_t>(at), key) !=
                      observed_.begin() + static_cast<std::ptrdiff_t>(at)) {
    return;
  }
  MemberEntry* e = table_.find(key);
  if (e != nullptr && !has_ended(e->state)) start_probe(*e, ProbeReason::kObserved);
}

// Probes all members in turn, in a new random order each round (SWIM, section 4.3).
void Membership::probe_next_in_round() {
  next_probe_ = now_ + scale_by_health(settings_.probe_interval);
  for (std::size_t i = 0; i <= table_.size(); ++i) {
    if (probe_round_index_ >= probe_round_.size()) {
      probe_round_.clear();
      probe_round_index_ = 0;
      for (const MemberEntry& e : table_) {
        if (!has_ended(e.state)) probe_round_.push_back(e.key);
      }
      if (probe_round_.empty()) return;
      for (std::size_t k = probe_round_.size(); k > 1; --k)
        std::swap(probe_round_[k - 1], probe_round_[random_below(k)]);
    }
    MemberEntry* e = table_.find(probe_round_[probe_round_index_++]);
    if (e != nullptr && !has_ended(e->state)) return start_probe(*e, ProbeReason::kObserved);
  }
}

// ------------------------------------------------------------ datagrams

void Membership::record_contact(MemberEntry& e, Address from) {
  if (has_ended(e.state)) return;
  if (from == e.address || e.address == 0 || !e.address_confirmed) {
    e.address = from;
    e.address_confirmed = true;
    e.heard_at = now_;
  } else {  // the member has moved, or somebody replays its datagrams
    start_probe(e, ProbeReason::kAddressChange, from);
  }
}

void Membership::on_ack(const Message& m, Address from) {
  for (RelayedProbe& r : relayed_probes_) {
    if (r.seq != m.seq || r.until < now_ || !m.direct_ack) continue;
    Message ack = make_message(MessageKind::kAck);
    ack.seq = r.requester_seq;
    ack.target = m.from;
    ack.target_generation = m.generation;
    reply(r.requester, std::move(ack));
    r.until = 0;
  }
  const auto it =
      std::find_if(probes_.begin(), probes_.end(), [&](const Probe& p) { return p.seq == m.seq; });
  if (it == probes_.end()) return;
  const MemberKey reached = m.direct_ack ? m.from : m.target;
  MemberEntry* e = table_.find(reached);
  if (reached != it->key || e == nullptr) return;
  const Probe p = *it;
  if (p.reason == ProbeReason::kAddressChange && (!m.direct_ack || from != p.to)) return;
  // An ack of another generation says nothing about the one that was probed.
  if (p.reason == ProbeReason::kNameClaim && (!m.direct_ack || m.generation != p.generation)) return;
  established_ = true;
  acked_at_ = now_;
  if (!m.direct_ack) {  // relayed by another member
    auto& by = indirect_contacts_[reached];
    std::erase_if(by, [&](const auto& r) {
      return r.first == m.from || r.second < now_ - kIndirectContactIntervals * settings_.probe_interval;
    });
    if (by.size() < 16) by.emplace_back(m.from, now_);
  }
  // Late acks say more about this node than about the other one (Lifeguard).
  if (now_ - p.started_at < scale_by_health(settings_.ack_timeout)) adjust_health(-1);
  probes_.erase(it);
  if (p.reason == ProbeReason::kAddressChange) {
    e->address = from;
    e->heard_at = now_;
  } else if (p.reason == ProbeReason::kNameClaim) {
    const auto claim = name_claims_.find(reached);
    if (claim == name_claims_.end()) return;
    claim->second.rejected = true;
    claim->second.until = now_ + kClaimRejectedSeconds;
    ++counters_.contested_names;
  } else if (suspicions_.contains(reached)) {
    notify_suspect(*e);
  }
}

void Membership::on_message(double now, Address from, const Message& m, std::vector<Outgoing>& out) {
  if (!started_ || left_ || refused_) return;
  if (m.from == key_) {
    if (m.generation != generation_ && from != settings_.address) {
      ++counters_.name_conflicts;
    }
    return;
  }
  begin_event(now, out);
  if (m.generation <= ended_generation(m.from)) {
    answer_ended_member(m, from);
    return end_event();
  }
  if (m.kind == MessageKind::kNameTaken) {
    if (m.target == key_ && !(m.target_generation == generation_)) {
      if (name_taken_at_ < now - settings_.name_conflict_timeout / 2) name_taken_since_ = now;
      name_taken_at_ = now;
      ++counters_.name_conflicts;
      // If both processes have joined, on two sides of a partition, the one with the later generation gives
      // way.
      if ((!established_ || m.target_generation < generation_) &&
          now - name_taken_since_ >= settings_.name_conflict_timeout)
        refused_ = true;
    }
    return end_event();
  }
  if (is_name_claim(m, from)) return end_event();
  MemberEntry* e = table_.find(m.from);
  if (e == nullptr || e->generation < m.generation) {
    Update u;
    u.key = m.from;
    u.generation = m.generation;
    u.address = from;
    for (const Update& said : m.updates) {
      if (said.key == m.from && said.generation == m.generation) u.identity = said.identity;
    }
    apply_update(u, m.from);
    e = table_.find(m.from);
  }
  if (e == nullptr || e->generation != m.generation)
    return end_event();  // the table is full, or the generation is not plausible
  record_contact(*e, from);
  const std::uint64_t floor = m.kind == MessageKind::kGossip && m.target == key_ ? m.target_generation : 0;
  for (const Update& u : m.updates) {
    if (u.key == key_) {
      apply_update_about_self(u, m.from, floor);
    } else if (m.kind !=
               MessageKind::kPingReq) {  // in a ping request an update only gives the target's address
      apply_update(u, m.from);
    }
    if (left_ || refused_) return end_event();
  }
  switch (m.kind) {
    case MessageKind::kPing: {
      if (m.target != 0 && m.target != key_) break;  // meant for a node that had this address before
      Message ack = make_message(MessageKind::kAck);
      ack.seq = m.seq;
      ack.target = key_;
      ack.direct_ack = true;
      reply(from, std::move(ack), table_.find(m.from));
      break;
    }
    case MessageKind::kAck:
      on_ack(m, from);
      break;
    case MessageKind::kPingReq: {
      const MemberEntry* target = table_.find(m.target);
      const Address to = target != nullptr   ? target->address
                         : m.updates.empty() ? 0
                                             : m.updates.front().address;
      Message heard_it = make_message(MessageKind::kNack);
      heard_it.seq = m.seq;
      if (target != nullptr && !m.updates.empty() && target->generation == m.target_generation &&
          target->incarnation > m.updates.front().incarnation) {
        heard_it.updates.push_back(
            update_of(*target));  // the target has refuted what the requester may believe
      }
      if (!reply(from, std::move(heard_it)) || to == 0) break;
      if (relayed_probes_.size() >= 256) relayed_probes_.erase(relayed_probes_.begin());
      relayed_probes_.push_back({++seq_, m.seq, from, now_ + 2 * settings_.probe_interval});
      Message ping = make_message(MessageKind::kPing);
      ping.seq = relayed_probes_.back().seq;
      ping.target = m.target;
      ping.target_generation = m.target_generation;
      reply(to, std::move(ping), target);
      break;
    }
    case MessageKind::kPageRequest:
      send_page(m, from);
      break;
    case MessageKind::kPage:
      on_page(m);
      break;
    case MessageKind::kDigest:
      answer_digest(m, from);
      break;
    case MessageKind::kIdentityRequest:
      reply(from, hello());
      break;
    case MessageKind::kNack:
      for (Probe& p : probes_) p.helper_heard = p.helper_heard || p.seq == m.seq;
      break;
    case MessageKind::kGossip:
    case MessageKind::kNameTaken:
      break;
  }
  end_event();
}

// ------------------------------------------------------------ table exchange

void Membership::send_page(const Message& m, Address from) {
  Message page = make_message(MessageKind::kPage);
  page.seq = m.seq;
  if (m.target <= 1) page.updates.push_back(self_update(true));
  std::size_t bytes = max_encoded_bytes(page) + 8;  // `target` may become longer
  std::size_t i = table_.index_from(m.target);
  for (; i < table_.size(); ++i) {
    const MemberEntry& e = table_[i];
    if (has_ended(e.state) || e.key == m.from) continue;
    Update u = update_of(e, true);
    u.reporter = 0;
    u.state = e.state == MemberState::kSuspect ? MemberState::kAlive : e.state;
    bytes += max_encoded_bytes(u);
    if (bytes > kMaxDatagramBytes || page.updates.size() >= kMaxUpdates) break;
    page.updates.push_back(std::move(u));
  }
  page.target = i < table_.size() ? table_[i].key : 0;
  reply(from, std::move(page));
}

// The page's members have already been applied like any other updates.
void Membership::on_page(const Message& m) {
  if (!page_pending_ || m.seq != page_seq_) return;
  page_pending_ = false;
  next_page_request_ = now_ + 1 / kPagesPerSecond;
  page_cursor_ = m.target;
  if (m.target != 0) return;
  // If a full pass has found a new member there may be more, so another pass follows.
  page_cursor_ = 1;
  fetching_table_ = std::exchange(found_new_member_, false);
  next_page_request_ = now_ + (fetching_table_ ? kPageTimeoutSeconds * (0.5 + random_unit()) : 0);
}

void Membership::request_page() {
  if (live_count_ < 2) {
    next_page_request_ = now_ + kPageTimeoutSeconds;
    page_cursor_ = 1;
    page_pending_ = false;
    fetching_table_ = true;
    for (int i = 0; i < 3 && !seed_addresses_.empty(); ++i) {
      Message ask = hello(MessageKind::kPageRequest);
      ask.target = 1;
      send(seed_addresses_[random_below(seed_addresses_.size())], std::move(ask));
    }
    return;
  }
  const MemberEntry* e = random_live_member();
  next_page_request_ = now_ + kPageTimeoutSeconds;
  if (e == nullptr) return;
  page_pending_ = true;
  page_seq_ = ++seq_;
  Message ask = make_message(MessageKind::kPageRequest);
  ask.seq = page_seq_;
  ask.target = page_cursor_;
  send(e->address, std::move(ask));
}

// Sends the next part of the table without identities, so that differences between two tables are found
// whatever was lost.
void Membership::send_digest() {
  next_sync_ = now_ + settings_.sync_interval * (0.75 + random_unit() / 2);
  const MemberEntry* to = random_live_member();
  if (to == nullptr || table_.size() == 0) return;
  Message m = make_message(MessageKind::kDigest);
  std::size_t bytes = max_encoded_bytes(m), i = table_.index_from(digest_cursor_);
  std::size_t looked = 0;
  for (; looked < table_.size(); ++looked, ++i) {
    if (i >= table_.size()) i = 0;
    if (table_[i].key == to->key) continue;
    const Update u = update_of(table_[i]);
    bytes += max_encoded_bytes(u);
    if (bytes > kMaxDatagramBytes || m.updates.size() >= kMaxUpdates) break;
    m.updates.push_back(u);
  }
  digest_cursor_ = i < table_.size() ? table_[i].key : 0;
  send(to->address, std::move(m));
}

// Sends newer updates on the members that a digest lists.
void Membership::answer_digest(const Message& m, Address from) {
  Message back = make_message(MessageKind::kGossip);
  std::size_t bytes = max_encoded_bytes(back);
  for (const Update& u : m.updates) {
    const MemberEntry* e = table_.find(u.key);
    if (e == nullptr) continue;
    const bool better = e->generation > u.generation ||
                        (e->generation == u.generation &&
                         (e->incarnation > u.incarnation ||
                          (e->incarnation == u.incarnation && severity(e->state) > severity(u.state))));
    if (!better) continue;
    const Update mine = update_of(*e);
    bytes += max_encoded_bytes(mine);
    if (bytes > kMaxDatagramBytes) break;
    back.updates.push_back(mine);
  }
  if (!back.updates.empty()) reply(from, std::move(back));
}

// ------------------------------------------------------------ time

// After a stall, awaited acks may have arrived and lie unread in the socket: discards what this node was
// about to report of others.
void Membership::recover_from_stall(double gap) {
  ++counters_.stalls;
  probes_.clear();
  relayed_probes_.clear();
  name_claims_.clear();
  no_suspicion_until_ = now_ + 2 * settings_.probe_interval;
  adjust_health(2);
  for (auto& [key, suspicion] : suspicions_) {
    suspicion.until += gap;
    suspicion.since += gap;
    suspicion.final_probe_sent = false;
  }
  // Probes several members at once to learn whether this node is still taken for alive.
  for (int i = 0; i < 3; ++i) {
    const MemberEntry* e = random_live_member();
    if (e != nullptr) start_probe(*table_.find(e->key), ProbeReason::kObserved);
  }
}

void Membership::send_greeting() {
  next_greeting_ = now_ + 1 / kGreetingsPerSecond;
  const Address to = greetings_.back();
  greetings_.pop_back();
  send(to, hello());
}

// Contacts a dead member and a seed address at which no member is known, so that the sides of a healed
// partition find each other.
void Membership::rediscover() {
  if (quick_rediscoveries_ > 0) --quick_rediscoveries_;
  next_rediscovery_ =
      now_ + (quick_rediscoveries_ > 0 ? kQuickRediscoverySeconds
                                       : settings_.rediscovery_interval * (0.75 + random_unit() / 2));
  std::vector<Address> lost;
  if (!dead_.empty()) {
    if (const MemberEntry* e = table_.find(dead_[random_below(dead_.size())])) lost.push_back(e->address);
  }
  for (int tries = 0; tries < 3 && !seed_addresses_.empty(); ++tries) {
    const Address a = seed_addresses_[random_below(seed_addresses_.size())];
    if (std::none_of(table_.begin(), table_.end(), [a](const MemberEntry& e) { return e.address == a; })) {
      lost.push_back(a);
      break;
    }
  }
  for (const Address to : lost) {
    Message ask = hello(MessageKind::kPageRequest);
    ask.target = 1;
    send(to, std::move(ask));
  }
}

// Asks members of which only the key is known to describe themselves.
void Membership::request_identities() {
  for (int i = 0; i < 3 && !identity_missing_.empty(); ++i) {
    const std::size_t at = random_below(identity_missing_.size());
    const MemberEntry* e = table_.find(identity_missing_[at]);
    if (e == nullptr || e->identity || has_ended(e->state)) {
      identity_missing_[at] = identity_missing_.back();
      identity_missing_.pop_back();
      continue;
    }
    if (!gossip_limit_.take(now_)) return;
    send(e->address, make_message(MessageKind::kIdentityRequest));
  }
}

void Membership::remove_expired() {
  next_cleanup_ = now_ + kCleanupIntervalSeconds;
  const auto old = [this](const MemberEntry& e) {
    return has_ended(e.state) && now_ - e.since > settings_.forget_after;
  };
  for (const MemberEntry& e : table_) {
    if (!old(e)) continue;
    auto& [generation, at] = ended_generations_[e.key];
    generation = std::max(generation, e.generation);
    at = now_;
    std::erase(dead_, e.key);
  }
  table_.remove_if(old);
  std::erase_if(indirect_contacts_, [this](const auto& r) {
    return r.second.empty() ||
           r.second.back().second < now_ - kIndirectContactIntervals * settings_.probe_interval;
  });
  std::erase_if(name_claims_, [this](const auto& c) { return c.second.rejected && now_ > c.second.until; });
  std::erase_if(suspicion_backoffs_,
                [this](const auto& h) { return now_ > h.second.until + 10 * kMaxSuspicionBackoffSeconds; });
  if (ended_generations_.size() > settings_.max_members) {
    std::erase_if(ended_generations_,
                  [this](const auto& f) { return now_ - f.second.second > kEndedGenerationMemorySeconds; });
    if (ended_generations_.size() > 4 * settings_.max_members) ended_generations_.clear();
  }
}

void Membership::tick(double now, std::vector<Outgoing>& out) {
  if (!started_ || left_ || refused_) {
    next_tick_ = kNever;
    return;
  }
  begin_event(now, out);
  for (std::size_t i = 0; i < probes_.size();) {
    if (now >= probes_[i].ends_at) {
      const Probe over = probes_[i];
      probes_.erase(probes_.begin() + static_cast<std::ptrdiff_t>(i));
      on_probe_failed(over);
      continue;
    }
    if (now >= probes_[i].next_at) advance_probe(probes_[i]);
    ++i;
  }
  check_suspicions();
  if (now >= next_probe_) is_default() ? probe_next_observed() : probe_next_in_round();
  if (now >= next_page_request_ && (fetching_table_ || live_count_ < 2)) request_page();
  if (now >= next_greeting_ && !greetings_.empty()) send_greeting();
  if (now >= next_gossip_) {
    next_gossip_ = now + 0.5;
    request_identities();
    if (!gossip_queue_.empty()) {
      const MemberEntry* e = random_live_member();
      if (e != nullptr && gossip_limit_.take(now)) send(e->address, make_message(MessageKind::kGossip), e);
    }
  }
  if (now >= next_rediscovery_) rediscover();
  if (now >= next_sync_) send_digest();
  if (now >= next_cleanup_) remove_expired();
  end_event();
}

void Membership::schedule() {
  double next = std::min({next_probe_, next_gossip_, next_rediscovery_, next_sync_, next_cleanup_});
  if (fetching_table_ || live_count_ < 2) next = std::min(next, next_page_request_);
  if (!greetings_.empty()) next = std::min(next, next_greeting_);
  for (const Probe& p : probes_) next = std::min({next, p.next_at, p.ends_at});
  for (const auto& [key, d] : suspicions_) next = std::min(next, suspicion_due(d));
  next_tick_ = std::max(now_, next);
  if (refused_) next_tick_ = kNever;
}

void Membership::announce_leaving(double now, std::vector<Outgoing>& out) {
  if (left_ || refused_ || !started_ || state_ == MemberState::kLeaving) return;
  begin_event(now, out);
  state_ = MemberState::kLeaving;
  gossip(self_update(false));
  end_event();
}

void Membership::leave(double now, std::vector<Outgoing>& out) {
  if (left_ || refused_ || !started_) return;
  begin_event(now, out);
  state_ = MemberState::kLeft;
  for (int i = 0; i < kRejoinFanout; ++i) {
    const MemberEntry* e = random_live_member();
    if (e == nullptr) break;
    Message m = make_message(MessageKind::kGossip);
    m.updates.push_back(self_update(false));
    send(e->address, std::move(m));
  }
  left_ = true;
  next_tick_ = kNever;
  out_ = nullptr;
}

}  // namespace nettlestand::peers
