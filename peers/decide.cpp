#include "peers/decide.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>

namespace nettlestand::peers {
namespace {

constexpr std::size_t kUpdates =
    4;                     // in a datagram, so that 256 bytes hold them; one with an identity counts as three
constexpr int kPings = 3;  // of one probe
constexpr double kReachMemory = 4;  // periods for which a reach that was told of counts
constexpr double kVouchMemory = 2;  // periods for which an own answer speaks for a member
constexpr double kFirstHold = 10;   // s without an accusation after a refutation that did not help this node
constexpr double kLongestHold = 300;   // s
constexpr std::size_t kConfirm = 5;    // members, in the mean, that look for themselves when one is doubted
constexpr int kIdentityTold = 3;       // x the usual number of tellings
constexpr std::uint64_t kRebirth = 1;  // what a life grows by when its node learns that it was thought dead

bool is_over(State state) { return state == State::kDead || state == State::kLeft; }

// Of two things said of one life with one incarnation, the worse one holds.
int weight(State state) {
  switch (state) {
    case State::kAlive:
      return 0;
    case State::kSuspect:
      return 1;
    case State::kLeaving:
      return 2;
    case State::kDead:
      return 3;
    default:
      return 4;
  }
}

}  // namespace

Key key_of(const std::string& name) { return XXH64(name.data(), name.size(), 0); }

const char* name_of(State state) {
  switch (state) {
    case State::kAlive:
      return "alive";
    case State::kSuspect:
      return "suspect";
    case State::kDead:
      return "dead";
    case State::kLeaving:
      return "leaving";
    default:
      return "left";
  }
}

Membership::Membership(Settings settings) : s_(std::move(settings)), random_(s_.seed) {
  const auto short_text = [](const std::string& text) { return text.size() <= 12; };
  if (s_.self.name.empty() || s_.self.name.size() > 32) throw std::invalid_argument("name: 1 to 32 bytes");
  if (!short_text(s_.self.zone) || !short_text(s_.self.region) || !short_text(s_.self.version)) {
    throw std::invalid_argument("zone, region and version: 12 bytes at most");
  }
  if (s_.address == 0) throw std::invalid_argument("address: none");
  if (s_.life == 0) throw std::invalid_argument("life: from 1");
  if (!(s_.period > 0) || !(s_.timeout > 0) || s_.timeout * (kPings + 1) > s_.period) {
    throw std::invalid_argument("period and timeout: above 0, and a period holds four timeouts");
  }
  if (s_.indirect < 0 || s_.accusers < 1) throw std::invalid_argument("indirect from 0, accusers from 1");
  if (!(s_.least_doubt >= s_.period) || !(s_.most_doubt >= s_.least_doubt)) {
    throw std::invalid_argument("least_doubt: a period at least; most_doubt: no less");
  }
  key_ = key_of(s_.self.name);
  life_ = s_.life;
}

void Membership::start(double now, const std::vector<Address>& join, std::vector<Out>& out) {
  started_ = true;
  for (const Address a : join) {
    if (a != s_.address && a != 0) join_.push_back(a);
  }
  last_tick_ = now;
  // Nodes that start together must not probe together.
  next_probe_ = now + s_.period * unit();
  next_news_ = now;
  next_seek_ = now + s_.seek_period * (0.5 + unit());
  next_sync_ = now + s_.sync_period * unit();
  next_join_ = now;
  tell(self_update());
  tick(now, out);
}

Message Membership::make(Kind kind) const {
  Message out;
  out.kind = kind;
  out.from = key_;
  out.life = life_;
  return out;
}

Update Membership::self_update() const {
  Update out;
  out.key = key_;
  out.life = life_;
  out.incarnation = incarnation_;
  out.state = left_ ? State::kLeft : State::kAlive;
  out.address = s_.address;
  out.identity = s_.self;
  return out;
}

Update Membership::update_of(const Entry& e) const {
  Update out;
  out.key = e.member.key;
  out.life = e.member.life;
  out.incarnation = e.member.incarnation;
  out.state = e.member.state;
  out.address = e.member.address;
  if (e.member.state == State::kSuspect && e.doubt) {
    out.accuser = e.doubt->own ? key_ : e.doubt->accusers.empty() ? 0 : e.doubt->accusers.front();
  }
  return out;
}

Membership::Entry* Membership::entry(Key key) {
  const auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second;
}

const Member* Membership::find(Key key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second.member;
}

std::vector<Member> Membership::members() const {
  std::vector<Member> out;
  Member self;
  self.id = s_.self;
  self.described = true;
  self.key = key_;
  self.address = s_.address;
  self.life = life_;
  self.incarnation = incarnation_;
  self.state = left_ ? State::kLeft : State::kAlive;
  out.push_back(self);
  for (const auto& [key, e] : entries_) out.push_back(e.member);
  std::sort(out.begin(), out.end(), [](const Member& a, const Member& b) { return a.key < b.key; });
  return out;
}

std::vector<Change> Membership::changes() { return std::exchange(changes_, {}); }

// Spreads an update: it goes with what is sent anyway, some times log2 of the fleet, and news of the same
// member that is older goes.
void Membership::tell(const Update& update) {
  std::erase_if(news_, [&](const News& n) {
    return n.update.key == update.key &&
           (n.update.accuser == update.accuser || update.state != State::kSuspect);
  });
  news_.push_back({update, 0});
}

// What goes with a datagram: what concerns its receiver first, then what was told least often.
void Membership::send(double, Address to, Message message, std::vector<Out>& out, Key about) {
  if (to == 0 || to == s_.address) return;
  std::size_t room = kUpdates;
  const auto size = [](const Update& u) { return u.identity ? std::size_t{3} : std::size_t{1}; };
  for (const Update& u : message.updates) room -= std::min(room, size(u));
  const int usual = 3 + static_cast<int>(std::ceil(3 * std::log2(static_cast<double>(entries_.size()) + 2)));
  if (about != 0) {  // who is doubted, or thought dead, has to hear of it
    const Entry* e = entry(about);
    if (e != nullptr && e->member.state != State::kAlive && room >= 1) {
      message.updates.push_back(update_of(*e));
      --room;
    }
  }
  std::stable_sort(news_.begin(), news_.end(), [](const News& a, const News& b) { return a.sent < b.sent; });
  for (News& n : news_) {
    if (room < size(n.update)) break;
    if (n.update.key == about && about != 0 && n.update.state != State::kAlive) continue;
    message.updates.push_back(n.update);
    room -= size(n.update);
    ++n.sent;
  }
  std::erase_if(news_,
                [&](const News& n) { return n.sent >= usual * (n.update.identity ? kIdentityTold : 1); });
  out.push_back({to, std::move(message)});
}

void Membership::set_state(double now, Entry& e, State state) {
  const State before = e.member.state;
  if (before == state) return;
  const bool lived = !is_over(before), lives = !is_over(state);
  living_ = living_ + (lives ? 1 : 0) - (lived ? 1 : 0);
  e.member.state = state;
  e.member.since = now;
  if (state != State::kSuspect) e.doubt.reset();
  if (!lives) {
    std::uint64_t& last = last_life_[e.member.key];
    last = std::max(last, e.member.life);
  }
  changes_.push_back({e.member, before, false});
}

void Membership::heard(double now, Key from, std::uint64_t life, Address address) {
  Entry* e = entry(from);
  if (e == nullptr || e->member.life != life || is_over(e->member.state)) return;
  e->member.reached_at = now;
  e->hold_off = 0;
  if (address != 0) e->member.address = address;
}

// A new life under its own name: everybody else took the last one for dead.
void Membership::reborn(double now, std::vector<Out>& out) {
  life_ += kRebirth;
  incarnation_ = 0;
  ++counters_.rebirths;
  probes_.clear();
  quiet_until_ = now + 2 * s_.period;
  tell(self_update());
  // Those that are known hear of it at once, a few of them directly.
  int told = 0;
  for (auto& [key, e] : entries_) {
    if (is_over(e.member.state) || ++told > 6) continue;
    send(now, e.member.address, make(Kind::kNews), out);
  }
}

void Membership::apply(double now, const Update& u, Key from, std::vector<Out>& out) {
  if (u.key == key_) {
    if (left_) return;
    if (u.life < life_) return;
    if (u.life > life_) {
      // Another process has this name, and the larger life: it started later, or learnt sooner that it was
      // thought dead.
      if (u.address == s_.address) return;  // this process's own next life, told of by somebody quick
      if (!is_over(u.state) && !refused_) ++counters_.twins;
      return;
    }
    if (u.state == State::kAlive && u.address != s_.address && u.address != 0) {
      ++counters_.twins;
      return;
    }
    if (is_over(u.state)) return reborn(now, out);
    if (u.state == State::kSuspect) {
      // Danger: who has refuted this already, and was not heard, has to say so again.
      if (u.incarnation >= incarnation_) {
        incarnation_ = u.incarnation + 1;
        ++counters_.refuted;
        if (!s_.plain_swim) health(1);
      }
      tell(self_update());
      news_.back().update.identity.reset();
      // Whoever said so hears it at once.
      for (const Key key : {from, u.accuser}) {
        if (const Entry* e = entry(key)) send(now, e->member.address, make(Kind::kNews), out);
      }
    }
    return;
  }
  const auto ended = last_life_.find(u.key);
  if (ended != last_life_.end() && u.life <= ended->second && !is_over(u.state)) {
    // A life that has ended does not come back; who lives it is told when it is next heard of.
    return;
  }
  Entry* e = entry(u.key);
  if (e == nullptr) {
    if (is_over(u.state)) {
      std::uint64_t& last = last_life_[u.key];
      last = std::max(last, u.life);
      // Known as ended, so that pages tell of it, and nobody asks again.
    }
    Entry fresh;
    fresh.member.key = u.key;
    fresh.member.life = u.life;
    fresh.member.incarnation = u.incarnation;
    fresh.member.address = u.address;
    fresh.member.state = u.state == State::kSuspect ? State::kAlive : u.state;
    fresh.member.since = now;
    learning_ = true;
    if (u.identity) {
      fresh.member.id = *u.identity;
      fresh.member.described = true;
    }
    e = &entries_.emplace(u.key, std::move(fresh)).first->second;
    if (!is_over(u.state)) ++living_;
    changes_.push_back({e->member, State::kDead, true});
    round_.insert(round_.begin() + static_cast<std::ptrdiff_t>(below(round_.size() + 1)), u.key);
    tell(u);
    if (u.state == State::kSuspect) accuse(now, *e, u.accuser, out);
    return;
  }
  Member& m = e->member;
  if (u.identity && !m.described && u.life >= m.life) {
    m.id = *u.identity;
    m.described = true;
  }
  if (u.life > m.life) {  // a later life: the one that was known is over
    if (!is_over(m.state)) set_state(now, *e, State::kDead);
    last_life_[u.key] = std::max(last_life_[u.key], m.life);
    m.life = u.life;
    m.incarnation = u.incarnation;
    if (u.address != 0) m.address = u.address;
    if (u.identity) m.id = *u.identity;
    e->reached.clear();
    e->hold_off = 0;
    m.reached_at = -1e18;
    if (is_over(u.state)) {
      last_life_[u.key] = std::max(last_life_[u.key], u.life);
      m.state = u.state;
    } else {
      set_state(now, *e, u.state == State::kLeaving ? State::kLeaving : State::kAlive);
    }
    tell(u);
    return;
  }
  if (u.life < m.life) return;
  if (is_over(m.state)) return;
  if (u.state == State::kSuspect) {
    if (u.incarnation >= m.incarnation && m.state != State::kLeaving) {
      m.incarnation = u.incarnation;
      accuse(now, *e, u.accuser, out);
    }
    return;
  }
  if (u.state == State::kAlive) {
    if (u.incarnation <= m.incarnation) return;
    m.incarnation = u.incarnation;
    if (u.address != 0) m.address = u.address;
    if (m.state == State::kSuspect) {
      // It lives, and this node could not reach it: what it finds next proves nothing new for a while.
      if (e->doubt && e->doubt->own) {
        e->hold_off = std::clamp(e->hold_off * 2, kFirstHold, kLongestHold);
        e->next_accusation = now + e->hold_off;
      }
      set_state(now, *e, State::kAlive);
    }
    tell(u);
    return;
  }
  if (weight(u.state) > weight(m.state)) {
    m.incarnation = std::max(m.incarnation, u.incarnation);
    set_state(now, *e, u.state);
    tell(update_of(*e));
  }
}

// Somebody has failed to reach a member. Who reaches it says so; some look for themselves.
void Membership::accuse(double now, Entry& e, Key accuser, std::vector<Out>& out) {
  if (e.member.state == State::kLeaving || is_over(e.member.state)) return;
  const bool known = e.doubt.has_value() && e.member.state == State::kSuspect;
  if (!known) {
    e.doubt = Doubt{};
    e.doubt->since = now;
    e.doubt->until = now + scaled(s_.most_doubt);
    e.doubt->incarnation = e.member.incarnation;
    ++counters_.suspicions;
    set_state(now, e, State::kSuspect);
  }
  if (accuser == key_) e.doubt->own = true;
  auto& accusers = e.doubt->accusers;
  if (accuser != 0 && std::find(accusers.begin(), accusers.end(), accuser) == accusers.end()) {
    accusers.push_back(accuser);
    Update u = update_of(e);
    u.accuser = accuser;
    tell(u);
    // Each that confirms brings the end nearer (Lifeguard's logarithm).
    const double needed = needed_accusers();
    const double part =
        std::min(1.0, std::log(static_cast<double>(accusers.size())) / std::log(std::max(2.0, needed)));
    e.doubt->until = std::min(
        e.doubt->until, e.doubt->since + scaled(s_.most_doubt - (s_.most_doubt - s_.least_doubt) * part));
  }
  if (s_.plain_swim || accuser == key_) return;
  if (now - e.member.reached_at < kVouchMemory * s_.period) return vouch(now, e, out);
  if (!known && unit() * static_cast<double>(living_) < static_cast<double>(kConfirm))
    begin_probe(now, e, out);
}

// Tells a member that it is doubted: its refutation is worth more than this node's word.
void Membership::vouch(double now, Entry& e, std::vector<Out>& out) {
  send(now, e.member.address, make(Kind::kNews), out, e.member.key);
}

int Membership::needed_accusers() const {
  if (s_.plain_swim) return 1;
  // Of three nodes two can say so; of two, one.
  return std::max(1, std::min(s_.accusers, static_cast<int>(living_) - 1));
}

void Membership::declare(double now, Entry& e, State state) {
  ++counters_.deaths_declared;
  set_state(now, e, state);
  tell(update_of(e));
}

void Membership::health(int by) { health_ = std::clamp(health_ + by, 0, s_.most_health); }

void Membership::begin_probe(double now, Entry& e, std::vector<Out>& out) {
  for (const Probe& p : probes_) {
    if (p.key == e.member.key) return;
  }
  Probe p;
  p.key = e.member.key;
  p.life = e.member.life;
  p.seq = ++seq_;
  p.began = p.next = now;
  p.ends = now + scaled(s_.period * 0.9);
  probes_.push_back(p);
  ++counters_.probes;
  step(now, probes_.back(), out);
}

void Membership::probe_next(double now, std::vector<Out>& out) {
  for (std::size_t i = 0; i <= round_.size(); ++i) {
    if (round_at_ >= round_.size()) {  // a new round in a new order
      round_.clear();
      for (const auto& [key, e] : entries_) {
        if (!is_over(e.member.state)) round_.push_back(key);
      }
      for (std::size_t k = round_.size(); k > 1; --k) std::swap(round_[k - 1], round_[below(k)]);
      round_at_ = 0;
      if (round_.empty()) return;
    }
    Entry* e = entry(round_[round_at_++]);
    if (e == nullptr || is_over(e->member.state)) continue;
    return begin_probe(now, *e, out);
  }
}

// The next ping of a probe, or its requests to others.
void Membership::step(double now, Probe& p, std::vector<Out>& out) {
  Entry* e = entry(p.key);
  if (e == nullptr) return;
  const int pings = s_.plain_swim ? 1 : kPings;
  if (p.sent < pings) {
    ++p.sent;
    Message ping = make(Kind::kPing);
    ping.seq = p.seq;
    ping.target = p.key;
    ping.target_life = p.life;
    send(now, e->member.address, std::move(ping), out, p.key);
  }
  if (p.sent >= std::min(2, pings) && !p.asked_others && now - p.began >= scaled(s_.timeout) * 0.99) {
    p.asked_others = true;
    std::vector<Key> others;
    for (const auto& [key, o] : entries_) {
      if (key != p.key && o.member.state == State::kAlive) others.push_back(key);
    }
    for (int i = 0; i < s_.indirect && !others.empty(); ++i) {
      const std::size_t at = below(others.size());
      Message ask = make(Kind::kPingReq);
      ask.seq = p.seq;
      ask.target = p.key;
      ask.target_life = p.life;
      Update where = update_of(*e);
      where.accuser = 0;
      if (where.state == State::kSuspect) where.state = State::kAlive;
      ask.updates.push_back(where);
      send(now, entry(others[at])->member.address, std::move(ask), out);
      others[at] = others.back();
      others.pop_back();
    }
  }
  p.next = p.sent < pings || !p.asked_others ? now + scaled(s_.timeout) : p.ends;
}

void Membership::failed(double now, const Probe& p, std::vector<Out>& out) {
  Entry* e = entry(p.key);
  if (e == nullptr || e->member.life != p.life || is_over(e->member.state)) return;
  ++counters_.failed_probes;
  // Nobody has heard it either who was asked to help: it is this node that hears little (Lifeguard).
  if (!s_.plain_swim && p.asked_others && !p.heard_others) health(1);
  if (e->doubt) e->doubt->own = true;
  if (now < quiet_until_ || (!s_.plain_swim && now < e->next_accusation)) return;
  accuse(now, *e, key_, out);
}

void Membership::doubts(double now, std::vector<Out>& out) {
  for (auto& [key, e] : entries_) {
    if (e.member.state != State::kSuspect || !e.doubt) continue;
    Doubt& d = *e.doubt;
    const bool enough = static_cast<int>(d.accusers.size()) >= needed_accusers();
    if (now < d.until || now < quiet_until_) continue;
    if (s_.plain_swim) {
      declare(now, e, State::kDead);
      continue;
    }
    // Only who has found out itself says so, and not before it has looked once more.
    if (!d.own || !enough) {
      if (now < d.since + scaled(s_.most_doubt) * 2) {
        begin_probe(now, e, out);
        d.until = now + s_.period;
        continue;
      }
      // Nobody confirms it and nobody refutes it: what this node knows is too little.
      if (!d.own || now < d.since + scaled(s_.most_doubt) * 3) {
        d.until = now + s_.period;
        begin_probe(now, e, out);
        continue;
      }
    }
    if (!d.last_look) {
      d.last_look = true;
      d.until = now + scaled(s_.period);
      begin_probe(now, e, out);
      continue;
    }
    if (now - e.member.reached_at < kVouchMemory * s_.period) {
      d.last_look = false;
      d.until = now + s_.period;
      vouch(now, e, out);
      continue;
    }
    declare(now, e, State::kDead);
  }
}

void Membership::message(double now, Address from, const Message& m, std::vector<Out>& out) {
  if (!started_ || left_ || m.from == key_) {
    if (m.from == key_ && m.life != life_ && from != s_.address) {
      ++counters_.twins;
      // Two processes under one name: who has been here longer stays. Lives grow with time, so it has the
      // smaller one.
      if (m.life < life_) refused_ = true;
    }
    return;
  }
  // Who is taken for dead and speaks has to hear so.
  const auto ended = last_life_.find(m.from);
  if (ended != last_life_.end() && m.life <= ended->second) {
    Update u;
    u.key = m.from;
    u.life = m.life;
    u.state = State::kDead;
    Message back = make(m.kind == Kind::kPing ? Kind::kAck : Kind::kNews);
    back.seq = m.seq;
    back.target = key_;
    back.updates.push_back(u);
    if (m.kind != Kind::kNews) send(now, from, std::move(back), out);
    return;
  }
  if (entry(m.from) == nullptr || entry(m.from)->member.life < m.life) {
    Update u;
    u.key = m.from;
    u.life = m.life;
    u.address = from;
    apply(now, u, m.from, out);
  }
  heard(now, m.from, m.life, from);
  for (const Update& u : m.updates) apply(now, u, m.from, out);
  if (learning_) next_sync_ = std::min(next_sync_, now + s_.learn_period);
  switch (m.kind) {
    case Kind::kPing: {
      if (m.target != 0 && m.target != key_) return;  // for who had this address before
      Message ack = make(Kind::kAck);
      ack.seq = m.seq;
      ack.target = key_;
      ack.reaches = true;
      send(now, from, std::move(ack), out, m.from);
      break;
    }
    case Kind::kAck: {
      for (Relay& r : relays_) {
        if (r.seq != m.seq || r.until < now) continue;
        Message ack = make(Kind::kAck);
        ack.seq = r.their_seq;
        ack.target = m.from;
        ack.target_life = m.life;
        send(now, r.for_whom, std::move(ack), out);
        r.until = 0;
      }
      std::erase_if(relays_, [&](const Relay& r) { return r.until < now; });
      const auto it =
          std::find_if(probes_.begin(), probes_.end(), [&](const Probe& p) { return p.seq == m.seq; });
      if (it == probes_.end()) break;
      const Key reached = m.reaches ? m.from : m.target;
      if (reached != it->key) break;
      if (Entry* e = entry(reached); e != nullptr && !m.reaches) {  // by way of another
        std::erase_if(e->reached, [&](const auto& r) {
          return r.first == m.from || r.second < now - kReachMemory * s_.period;
        });
        e->reached.emplace_back(m.from, now);
        e->member.reached_by = e->reached.size();
      }
      // Late answers tell of this node more than of the other (Lifeguard).
      if (now - it->began < scaled(s_.timeout)) health(-1);
      Entry* e = entry(reached);
      if (e != nullptr && e->member.state == State::kSuspect) vouch(now, *e, out);
      probes_.erase(it);
      break;
    }
    case Kind::kPingReq: {
      const Entry* e = entry(m.target);
      const Address to = e != nullptr ? e->member.address : m.updates.empty() ? 0 : m.updates.front().address;
      if (to == 0) break;
      Message heard_it = make(Kind::kHeard);
      heard_it.seq = m.seq;
      send(now, from, std::move(heard_it), out);
      relays_.push_back({++seq_, m.seq, from, now + 2 * s_.period});
      Message ping = make(Kind::kPing);
      ping.seq = relays_.back().seq;
      ping.target = m.target;
      ping.target_life = m.target_life;
      send(now, to, std::move(ping), out, m.target);
      break;
    }
    case Kind::kSync: {
      // What this node knows of those that the page names, where it knows better.
      Message back = make(Kind::kNews);
      for (const Update& u : m.updates) {
        if (u.key == key_ || back.updates.size() + 1 > kUpdates) continue;
        const Entry* e = entry(u.key);
        if (e == nullptr) continue;
        const Member& mine = e->member;
        const bool better = mine.life > u.life ||
                            (mine.life == u.life &&
                             (mine.incarnation > u.incarnation || weight(mine.state) > weight(u.state)));
        if (better) back.updates.push_back(update_of(*e));
      }
      if (!back.updates.empty() || m.target != 0) send(now, from, std::move(back), out);
      if (m.target != 0) page(now, from, out);
      break;
    }
    case Kind::kWhoIs: {
      Message back = make(Kind::kNews);
      back.updates.push_back(self_update());
      send(now, from, std::move(back), out);
      break;
    }
    case Kind::kHeard:
      for (Probe& p : probes_) p.heard_others = p.heard_others || p.seq == m.seq;
      break;
    case Kind::kNews:
      break;
  }
  if (Entry* e = entry(m.from);
      e != nullptr && !e->member.described && now - e->asked_at > s_.period && !is_over(e->member.state)) {
    e->asked_at = now;
    send(now, from, make(Kind::kWhoIs), out);
  }
  plan(now);
}

// A page of the table, one after another.
void Membership::page(double now, Address to, std::vector<Out>& out) {
  Message m = make(Kind::kSync);
  auto it = entries_.lower_bound(page_at_);
  for (std::size_t i = 0; i < kUpdates && i < entries_.size(); ++i) {
    if (it == entries_.end()) it = entries_.begin();
    m.updates.push_back(update_of(it->second));
    ++it;
  }
  page_at_ = it == entries_.end() ? 0 : it->first;
  send(now, to, std::move(m), out);
}

void Membership::tick(double now, std::vector<Out>& out) {
  if (!started_ || left_) {
    next_ = std::numeric_limits<double>::infinity();
    return;
  }
  // Guards the others against a process that stood: what it was waiting for has come meanwhile, and lies
  // unread.
  if (!s_.plain_swim && now - std::max(last_tick_, next_) > s_.period) {
    ++counters_.stood;
    const double gap = now - std::max(last_tick_, next_);
    probes_.clear();
    relays_.clear();
    quiet_until_ = now + 2 * s_.period;
    health(2);
    for (auto& [key, e] : entries_) {
      if (e.doubt) {
        e.doubt->until += gap;
        e.doubt->since += gap;
        e.doubt->last_look = false;
      }
    }
    // Whether it is still taken for alive: several are asked at once.
    int asked = 0;
    for (auto& [key, e] : entries_) {
      if (is_over(e.member.state) || ++asked > 3) continue;
      begin_probe(now, e, out);
    }
  }
  last_tick_ = now;
  for (std::size_t i = 0; i < probes_.size();) {
    if (now >= probes_[i].ends) {
      const Probe over = probes_[i];
      probes_.erase(probes_.begin() + static_cast<std::ptrdiff_t>(i));
      failed(now, over, out);
      continue;
    }
    if (now >= probes_[i].next) step(now, probes_[i], out);
    ++i;
  }
  doubts(now, out);
  if (now >= next_probe_) {
    next_probe_ = now + scaled(s_.period);
    probe_next(now, out);
  }
  if (now >= next_news_) {
    next_news_ = now + 1 / s_.news_per_s;
    if (!news_.empty() && living_ > 1) {
      std::vector<Key> all;
      for (const auto& [key, e] : entries_) {
        if (!is_over(e.member.state)) all.push_back(key);
      }
      if (!all.empty()) {
        const Key to = all[below(all.size())];
        send(now, entry(to)->member.address, make(Kind::kNews), out, to);
      }
    }
  }
  if (now >= next_join_ && living_ < 2) {  // nobody is known yet, or everybody is dead
    next_join_ = now + s_.period;
    for (int i = 0; i < 3 && !join_.empty(); ++i) {
      Message ask = make(Kind::kSync);
      ask.target = key_;  // asks for a page
      ask.updates.push_back(self_update());
      send(now, join_[below(join_.size())], std::move(ask), out);
    }
  }
  if (now >= next_seek_) {  // the dead, and addresses nobody is known at: halves of a cut find each other so
    next_seek_ = now + s_.seek_period * (0.75 + unit() / 2);
    std::vector<Address> lost;
    for (const auto& [key, e] : entries_) {
      if (e.member.state == State::kDead) lost.push_back(e.member.address);
    }
    for (const Address a : join_) {
      if (std::none_of(entries_.begin(), entries_.end(),
                       [a](const auto& x) { return x.second.member.address == a; })) {
        lost.push_back(a);
      }
    }
    if (!lost.empty()) {
      Message ask = make(Kind::kSync);
      ask.target = key_;
      ask.updates.push_back(self_update());
      send(now, lost[below(lost.size())], std::move(ask), out);
    }
  }
  if (now >= next_sync_) {
    next_sync_ = now + s_.sync_period * (0.75 + unit() / 2);
    std::vector<Key> all;
    for (const auto& [key, e] : entries_) {
      if (!is_over(e.member.state)) all.push_back(key);
    }
    // Who learns of somebody new asks on: a fleet that starts together would hear of itself by news alone for
    // minutes.
    if (!all.empty() && learning_) {
      Message ask = make(Kind::kSync);
      ask.target = key_;
      send(now, entry(all[below(all.size())])->member.address, std::move(ask), out);
      next_sync_ = now + s_.learn_period;
    } else if (!all.empty()) {
      page(now, entry(all[below(all.size())])->member.address, out);
    }
    learning_ = false;
  }
  std::erase_if(entries_, [&](const auto& x) {
    return is_over(x.second.member.state) && now - x.second.member.since > s_.forget_after;
  });
  plan(now);
}

void Membership::plan(double now) {
  double next = std::min({next_probe_, next_news_, next_seek_, next_sync_});
  if (living_ < 2) next = std::min(next, next_join_);
  for (const Probe& p : probes_) next = std::min({next, p.next, p.ends});
  for (const auto& [key, e] : entries_) {
    if (e.doubt && e.member.state == State::kSuspect)
      next = std::min(next, std::max(e.doubt->until, quiet_until_));
  }
  next_ = std::max(now, next);
}

void Membership::leave(double now, std::vector<Out>& out) {
  if (left_ || !started_) return;
  left_ = true;
  std::vector<Key> all;
  for (const auto& [key, e] : entries_) {
    if (!is_over(e.member.state)) all.push_back(key);
  }
  for (std::size_t i = 0; i < 6 && !all.empty(); ++i) {
    const std::size_t at = below(all.size());
    Message m = make(Kind::kNews);
    m.updates.push_back(self_update());
    m.updates.back().identity.reset();
    send(now, entry(all[at])->member.address, std::move(m), out);
    all[at] = all.back();
    all.pop_back();
  }
  next_ = std::numeric_limits<double>::infinity();
}

}  // namespace nettlestand::peers
