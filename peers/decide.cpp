#include "peers/decide.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>
#include <utility>

namespace nettlestand::peers {
namespace {

constexpr int kPings = 4;             // of a probe; a further one where an answer is late
constexpr int kAskAfter = 3;          // timeouts, until others are asked to try
constexpr double kProbeTimeouts = 5;  // a probe's length; others have two of them to answer in
constexpr double kLookTimeouts = 4;   // a second look's: others are asked at once
static_assert(kPeriodTimeouts > kProbeTimeouts && kDoubtTimeouts >= kLookTimeouts);
constexpr double kSwimProbe = 0.9;  // of a period, in the styles that are for measurements
constexpr double kSwimTimeouts = 2;
constexpr double kSwimDoubt = 4;     // s; plain SWIM's suspicion
constexpr double kReachMemory = 4;   // periods for which a reach that was told of counts
constexpr double kFreshContact = 2;  // periods for which an own contact speaks for a member
constexpr double kAnswered = 3;      // periods for which an answer tells that this life is known
constexpr double kFirstHold = 10;    // s without an accusation after a refutation that did not help this node
constexpr double kLongestHold = 60;  // s
constexpr double kConfirm = 5;       // members, in the mean, that look for themselves when one is doubted
constexpr double kOwnLook = 3;       // periods, after which all others look too where a doubt still stands
constexpr double kNotices = 24;      // and so many tell it
constexpr int kPush = 3;             // others that hear of urgent news at once
constexpr int kToldRebirth = 6;      // and of a rebirth
constexpr std::uint64_t kLongestStep = std::uint64_t{1} << 42;  // of lives: 139 years in ms; more is a lie
constexpr double kPages = 20;                                   // a second, while a node learns who is there
constexpr double kPageWait = 0.5;                               // s for a page to come
constexpr double kGreetings = 20;                               // a second, after the start
constexpr std::size_t kMostGreeted = 600;
constexpr int kQuickSeeks = 3;           // further looks for the dead, at once, for each that is found alive
constexpr double kQuickSeek = 0.1;       // s
constexpr double kClaimRefused = 2;      // s until a claim is looked at anew
constexpr double kSweep = 10;            // s
constexpr double kForgottenKept = 3600;  // s for which a forgotten member's lives are known at the least
constexpr double kLeastRebirth = 0.2;    // s between two
constexpr std::size_t kMostLooks = 64, kMostProbes = 512;
constexpr double kNever = std::numeric_limits<double>::infinity();

// Of two things said of one life with one incarnation, the worse one holds.
int weight(State state) { return static_cast<int>(state); }

}  // namespace

Membership::Membership(Settings settings)
    : s_(std::move(settings)),
      key_(key_of(s_.self.name)),
      self_(std::make_shared<const Identity>(s_.self)),
      life_(s_.life),
      random_(s_.seed),
      observed_(static_cast<std::size_t>(std::clamp(s_.rings, 1, 8))),
      spread_(s_.news_per_s, 5 * s_.news_per_s),
      replies_(s_.replies_per_s, 4 * s_.replies_per_s) {
  const auto short_text = [](const std::string& text) { return text.size() <= kLongestShort; };
  if (s_.self.name.empty() || s_.self.name.size() > kLongestName) {
    throw std::invalid_argument("name: 1 to 32 bytes");
  }
  if (!short_text(s_.self.zone) || !short_text(s_.self.region) || !short_text(s_.self.version)) {
    throw std::invalid_argument("zone, region and version: 12 bytes at most");
  }
  if (s_.address == 0) throw std::invalid_argument("address: none");
  if (s_.life == 0) throw std::invalid_argument("life: from 1");
  if (!(s_.period > 0) || !(s_.timeout > 0) || s_.timeout * kPeriodTimeouts > s_.period) {
    throw std::invalid_argument("period and timeout: above 0, and a period holds six timeouts");
  }
  if (s_.rings < 1 || s_.rings > 8) throw std::invalid_argument("rings: 1 to 8");
  if (s_.indirect < 0 || s_.accusers < 1) throw std::invalid_argument("indirect from 0, accusers from 1");
  if (!(s_.least_doubt >= s_.timeout * kDoubtTimeouts) || !(s_.most_doubt >= s_.least_doubt)) {
    throw std::invalid_argument("least_doubt: four timeouts at least; most_doubt: no less");
  }
  if (!(s_.news_per_s >= 1) || !(s_.replies_per_s >= 1) || !(s_.seek_period > 0) || !(s_.sync_period > 0)) {
    throw std::invalid_argument("news_per_s and replies_per_s: from 1; seek_period and sync_period: above 0");
  }
  if (s_.most_health < 0) throw std::invalid_argument("most_health: from 0");
}

void Membership::begin(double now, std::vector<Out>& out) {
  now_ = now;
  out_ = &out;
  // Whichever comes first after it, a datagram or the time.
  if (!swim() && now - next_ > s_.period) wake(now - next_);
}

void Membership::end() {
  if (urgent_) push();
  plan();
  out_ = nullptr;
}

void Membership::start(double now, const std::vector<Address>& addresses, std::vector<Out>& out) {
  started_ = true;
  spread_.start(now);
  replies_.start(now);
  join(addresses);
  // Nodes that start together must not probe together.
  next_probe_ = now + s_.period * unit();
  next_news_ = next_ask_ = next_greet_ = next_ = now;
  next_seek_ = now + s_.seek_period * (0.5 + unit());
  next_sync_ = now + s_.sync_period * unit();
  next_sweep_ = now + kSweep;
  greet_ = join_;
  for (std::size_t k = greet_.size(); k > 1; --k) std::swap(greet_[k - 1], greet_[below(k)]);
  if (greet_.size() > kMostGreeted) greet_.resize(kMostGreeted);
  news_.add(self_update(true));
  tick(now, out);
}

void Membership::join(const std::vector<Address>& addresses) {
  join_.clear();
  for (const Address a : addresses) {
    if (a != s_.address && a != 0) join_.push_back(a);
  }
}

void Membership::adopt(double now, const std::vector<Member>& members) {
  std::vector<Entry> fresh;
  fresh.reserve(members.size());
  for (const Member& m : members) {
    if (m.key == key_ || table_.find(m.key) != nullptr || is_over(m.state)) continue;
    Entry e;
    e.key = m.key;
    e.life = m.life;
    e.address = m.address;
    e.since = now;
    e.incarnation = m.incarnation;
    if (m.described) e.id = std::make_shared<const Identity>(m.id);
    fresh.push_back(std::move(e));
  }
  living_ += table_.merge(std::move(fresh));
  learning_ = false;
  observe_anew();
}

// ------------------------------------------------------------ sending

Message Membership::make(Kind kind) const {
  Message out;
  out.kind = kind;
  out.from = key_;
  out.life = life_;
  return out;
}

Update Membership::self_update(bool with_identity) const {
  Update out;
  out.key = key_;
  out.life = life_;
  out.incarnation = incarnation_;
  out.state = state_;
  out.address = s_.address;
  if (with_identity) out.identity = self_;
  return out;
}

Message Membership::hello(Kind kind) const {
  Message out = make(kind);
  out.updates.push_back(self_update(true));
  return out;
}

Update Membership::update_of(const Entry& e, bool with_identity) const {
  Update out;
  out.key = e.key;
  out.life = e.life;
  out.incarnation = e.incarnation;
  out.state = e.state;
  out.address = e.address;
  if (with_identity) out.identity = e.id;
  const auto it = doubts_.find(e.key);
  if (it != doubts_.end()) {  // also of one that is leaving
    out.state = State::kSuspect;
    out.accuser = it->second.own ? key_ : it->second.accusers.empty() ? 0 : it->second.accusers.front();
  }
  return out;
}

// What goes with a datagram: what concerns its receiver first, then what was told least often.
void Membership::send(Address to, Message message, const Entry* about) {
  if (to == 0 || to == s_.address || refused_) return;
  // Who is doubted, or thought dead, has to hear of it.
  if (about != nullptr && about->state != State::kAlive && message.updates.size() < kMostUpdates) {
    const Update u = update_of(*about);
    if (bytes_of(message) + bytes_of(u) <= kMostBytes) message.updates.push_back(u);
  }
  news_.fill(message, table_.size());
  out_->push_back({to, std::move(message)});
}

// What others have asked for: bounded, so that nobody makes this node send without end.
bool Membership::reply(Address to, Message message, const Entry* about) {
  if (!replies_.take(now_)) {
    ++counters_.unsent;
    return false;
  }
  send(to, std::move(message), about);
  return true;
}

void Membership::tell(const Update& update, bool urgent) {
  news_.add(update);
  urgent_ = urgent_ || urgent;
}

// News that must not wait go to some at once, who do the same: all have heard within some ways' time.
void Membership::push() {
  urgent_ = false;
  if (!shipped()) return;
  for (int i = 0; i < kPush && !news_.empty(); ++i) {
    const Entry* e = random_living();
    if (e == nullptr || !spread_.take(now_)) return;
    send(e->address, make(Kind::kNews), e);
  }
}

const Entry* Membership::random_living() {
  if (living_ < 2) return nullptr;
  for (int tries = 0; tries < 32; ++tries) {
    const Entry& e = table_[below(table_.size())];
    if (!is_over(e.state) && e.address != 0) return &e;
  }
  // Few among many: the next one from a random place on.
  const std::size_t from = below(table_.size());
  for (std::size_t i = 0; i < table_.size(); ++i) {
    const Entry& e = table_[(from + i) % table_.size()];
    if (!is_over(e.state) && e.address != 0) return &e;
  }
  return nullptr;
}

// ------------------------------------------------------------ what is known

Member Membership::member_of(const Entry& e) const {
  Member m;
  if (e.id) {
    m.id = *e.id;
    m.described = true;
  }
  m.key = e.key;
  m.address = e.address;
  m.life = e.life;
  m.incarnation = e.incarnation;
  m.state = e.state;
  m.since = e.since;
  m.heard_at = e.heard_at;
  const auto reached = reached_.find(e.key);
  if (reached != reached_.end()) {
    m.reached_by = static_cast<std::size_t>(
        std::count_if(reached->second.begin(), reached->second.end(),
                      [&](const auto& r) { return r.second >= now_ - kReachMemory * s_.period; }));
  }
  const auto doubt = doubts_.find(e.key);
  if (doubt != doubts_.end()) m.doubted_by = doubt->second.accusers.size();
  return m;
}

std::vector<Member> Membership::members() const {
  std::vector<Member> out;
  out.reserve(table_.size() + 1);
  Member self;
  self.id = s_.self;
  self.described = true;
  self.key = key_;
  self.address = s_.address;
  self.life = life_;
  self.incarnation = incarnation_;
  self.state = state_;
  self.heard_at = now_;
  out.push_back(std::move(self));
  for (const Entry& e : table_) out.push_back(member_of(e));
  std::sort(out.begin(), out.end(), [](const Member& a, const Member& b) { return a.key < b.key; });
  return out;
}

std::optional<Member> Membership::find(Key key) const {
  const Entry* e = table_.find(key);
  if (e == nullptr) return std::nullopt;
  return member_of(*e);
}

std::vector<Change> Membership::changes() { return std::exchange(changes_, {}); }

// The latest life of a name that is known to have ended; 0: none.
std::uint64_t Membership::ended_life(Key key) const {
  if (const Entry* e = table_.find(key)) return is_over(e->state) ? e->life : e->life - 1;
  const auto it = forgotten_.find(key);
  return it == forgotten_.end() ? 0 : it->second.first;
}

void Membership::set_state(Entry& e, State state, Key by) {
  const State before = e.state;
  if (before == state) return;
  const bool lived = !is_over(before), lives = !is_over(state);
  living_ = living_ + (lives ? 1 : 0) - (lived ? 1 : 0);
  e.state = state;
  e.since = now_;
  Change change{member_of(e), before, false, by};
  if (state != State::kSuspect) doubts_.erase(e.key);
  if (state == State::kDead) dead_.push_back(e.key);
  if (before == State::kDead) std::erase(dead_, e.key);
  if (!lives) {
    reached_.erase(e.key);
    holds_.erase(e.key);
    claims_.erase(e.key);
  }
  changes_.push_back(std::move(change));
  if (lived != lives) follow(e);
}

// Who is observed follows who lives: the next one on each ring.
void Membership::follow(const Entry& e) {
  if (is_over(e.state)) {
    if (std::find(observed_.begin(), observed_.end(), e.key) != observed_.end()) observe_anew();
    return;
  }
  for (std::size_t ring = 0; ring < observed_.size(); ++ring) {
    const auto far = [&](Key key) {
      return ring_place(key, static_cast<int>(ring)) - ring_place(key_, static_cast<int>(ring));
    };
    if (observed_[ring] == 0 || far(e.key) < far(observed_[ring])) observed_[ring] = e.key;
  }
}

void Membership::observe_anew() {
  for (std::size_t ring = 0; ring < observed_.size(); ++ring) {
    const std::uint64_t own = ring_place(key_, static_cast<int>(ring));
    Key best = 0;
    std::uint64_t least = 0;
    for (const Entry& e : table_) {
      if (is_over(e.state)) continue;
      const std::uint64_t far = ring_place(e.key, static_cast<int>(ring)) - own;
      if (best == 0 || far < least) {
        best = e.key;
        least = far;
      }
    }
    observed_[ring] = best;
  }
}

// ------------------------------------------------------------ what is said

void Membership::learn(const Update& u, Key from) {
  if (u.key == key_) return about_me(u, from, 0);
  Entry* e = table_.find(u.key);
  const std::uint64_t known = e != nullptr ? e->life : ended_life(u.key);
  if (known > 0 && u.life > known + kLongestStep) {
    ++counters_.incredible;
    return;
  }
  if (u.life <= ended_life(u.key)) return;  // a life that has ended does not come back
  if (e == nullptr) return learn_first(u, from);
  // What a member says of itself counts for more than what others say.
  if (u.identity && u.life == e->life && (!e->id || (from == u.key && *e->id != *u.identity))) {
    e->id = u.identity;
    // The rest of the program hears of a member once more where it could not be told who that is.
    changes_.push_back({member_of(*e), e->state, false, from});
  }
  if (u.life > e->life) {
    const bool elsewhere = u.address != 0 && u.address != e->address && e->direct;
    if (shipped() && elsewhere && !is_over(e->state) && !is_over(u.state) && from != u.key) {
      return contest(*e, u);
    }
    return later_life(*e, u, from);
  }
  switch (u.state) {
    case State::kSuspect:
      if (u.incarnation < e->incarnation) {  // who says so has missed the refutation
        if (u.accuser == from && shipped()) {
          if (const Entry* who = table_.find(from)) {
            Message back = make(Kind::kNews);
            back.updates.push_back(update_of(*e));
            reply(who->address, std::move(back));
          }
        }
        return;
      }
      e->incarnation = u.incarnation;
      return accuse(*e, u.accuser, from);
    case State::kAlive:
    case State::kLeaving: {
      const bool refutes = u.incarnation > e->incarnation;
      const bool goes = u.state == State::kLeaving && e->state != State::kLeaving;
      if (!refutes && !goes) return;
      e->incarnation = std::max(e->incarnation, u.incarnation);
      if (!e->direct && u.address != 0) e->address = u.address;
      const auto doubt = doubts_.find(u.key);
      if (doubt != doubts_.end()) {
        // It lives, and this node could not reach it: what it finds next proves nothing new for a while.
        if (refutes && doubt->second.own && shipped()) {
          Hold& hold = holds_[u.key];
          hold.length = std::clamp(hold.length * 2, kFirstHold, kLongestHold);
          hold.until = now_ + hold.length;
        }
        doubts_.erase(doubt);
      }
      set_state(*e, goes || e->state == State::kLeaving ? State::kLeaving : State::kAlive, from);
      return tell(u);
    }
    default:
      if (weight(u.state) <= weight(e->state)) return;
      e->incarnation = std::max(e->incarnation, u.incarnation);
      set_state(*e, u.state, from);
      return tell(update_of(*e));
  }
}

void Membership::learn_first(const Update& u, Key from) {
  if (is_over(u.state)) {  // nobody that one could count on: its lives alone are remembered
    auto& [life, at] = forgotten_[u.key];
    life = std::max(life, u.life);
    at = now_;
    return;
  }
  if (table_.size() >= s_.most_members) {
    ++counters_.overflow;
    return;
  }
  Entry fresh;
  fresh.key = u.key;
  fresh.life = u.life;
  fresh.incarnation = u.incarnation;
  fresh.address = u.address;
  fresh.state = u.state == State::kSuspect ? State::kAlive : u.state;
  fresh.since = now_;
  fresh.id = u.identity;
  forgotten_.erase(u.key);
  Entry& e = table_.insert(std::move(fresh));
  ++living_;
  learned_ = true;
  changes_.push_back({member_of(e), State::kDead, true, from});
  if (!e.id) want_identity(e.key);
  follow(e);
  tell(u);
  if (u.state == State::kSuspect) accuse(e, u.accuser, from);
}

// Guards the memory against lives without end of one that does not say who it is.
void Membership::want_identity(Key key) {
  if (undescribed_.size() <= table_.size()) undescribed_.push_back(key);
}

// The life that was known is over.
void Membership::later_life(Entry& e, const Update& u, Key from) {
  if (!is_over(e.state)) set_state(e, State::kDead, from);
  e.life = u.life;
  e.incarnation = u.incarnation;
  if (u.address != 0) e.address = u.address;
  e.direct = false;
  if (u.identity) e.id = u.identity;
  e.heard_at = -1e18;
  doubts_.erase(u.key);
  holds_.erase(u.key);
  claims_.erase(u.key);
  if (is_over(u.state)) {
    e.state = u.state;
    e.since = now_;
    if (u.state == State::kLeft) std::erase(dead_, u.key);
  } else {
    set_state(e, u.state == State::kLeaving ? State::kLeaving : State::kAlive, from);
    if (!e.id) want_identity(e.key);
  }
  Update told = u;
  told.address = e.address;
  if (!told.identity) told.identity = e.id;
  tell(told);
  if (u.state == State::kSuspect) accuse(e, u.accuser, from);
}

// What others say of this node. `floor`: lives up to there are taken.
void Membership::about_me(const Update& u, Key from, std::uint64_t floor) {
  if (left_ || refused_ || u.life < life_) return;
  if (std::max(u.life, floor) > life_ + kLongestStep) {
    ++counters_.incredible;
    return;
  }
  // A later life, where this one was taken in and is answered: another process uses the name. Who holds it is
  // for the others to say. Danger: two that outbid each other would do so without end.
  const bool elsewhere = u.life > life_ && !is_over(u.state) && u.address != 0 && u.address != s_.address;
  const bool answered = established_ && now_ - answered_at_ < kAnswered * s_.period;
  if (elsewhere || (std::max(u.life, floor) > life_ && answered)) {
    ++counters_.namesakes;
    return;
  }
  // A former self that a wrong clock had given a larger life.
  if (u.life > life_) return reborn(std::max(u.life, floor));
  if (is_over(u.state)) return reborn(std::max(u.life, floor));
  if (u.state == State::kSuspect) refute(u, from);
}

// A new life under its own name: everybody else took the last one for dead.
void Membership::reborn(std::uint64_t floor) {
  if (now_ - reborn_at_ < kLeastRebirth) return;
  reborn_at_ = now_;
  life_ = std::max(life_, floor) + 1;
  incarnation_ = 0;
  ++counters_.rebirths;
  probes_.clear();
  quiet_until_ = now_ + 2 * s_.period;
  news_.drop(key_);
  tell(self_update(true));
  for (int i = 0; i < kToldRebirth; ++i) {
    if (const Entry* e = random_living()) send(e->address, make(Kind::kNews), e);
  }
}

void Membership::refute(const Update& u, Key from) {
  // Danger: who has refuted this already, and was not heard, has to say so again.
  if (u.incarnation >= incarnation_) {
    incarnation_ = u.incarnation + 1;
    ++counters_.refuted;
    if (!swim()) health(1);
    tell(self_update(false));
  } else {
    tell(self_update(false), false);
  }
  // Whoever said so hears it at once, and who has told of it: the way to here works, so may the way back.
  for (const Key key : {from, u.accuser}) {
    const Entry* e = table_.find(key);
    if (e == nullptr) continue;
    Message back = make(Kind::kNews);
    back.updates.push_back(self_update(false));
    reply(e->address, std::move(back));
    if (from == u.accuser) break;
  }
}

// Who is taken for dead and speaks has to hear so, and beyond which lives it has to go.
void Membership::answer_the_ended(const Message& m, Address from) {
  for (const Update& u : m.updates) {
    if (u.key == key_) about_me(u, m.from, m.kind == Kind::kNews && m.target == key_ ? m.target_life : 0);
  }
  const Entry* e = table_.find(m.from);
  // What a former self had still sent, from where its next life is now.
  if (e != nullptr && !is_over(e->state) && e->address == from) return;
  Message back = make(Kind::kNews);
  back.target = m.from;
  back.target_life = e != nullptr ? e->life : ended_life(m.from);
  Update u;
  u.key = m.from;
  u.life = m.life;
  u.state = State::kDead;
  back.updates.push_back(u);
  // Danger: two that hold each other for dead would tell each other so without end.
  if (m.kind != Kind::kNews || unit() < 0.5) reply(from, std::move(back));
  // There may be more where it was found.
  if (e != nullptr && e->state == State::kDead) quick_seeks_ = std::min(quick_seeks_ + kQuickSeeks, 60);
}

// ------------------------------------------------------------ names that two use

// Whether a datagram is of a process that uses a name which another one holds, as far as is known.
bool Membership::claimed(const Message& m, Address from) {
  Entry* e = table_.find(m.from);
  if (!shipped() || e == nullptr || m.life <= e->life || is_over(e->state) || from == e->address ||
      e->address == 0) {
    return false;
  }
  Update u;
  u.key = m.from;
  u.life = m.life;
  u.address = from;
  for (const Update& said : m.updates) {
    if (said.key == m.from) u.identity = said.identity;
  }
  const auto it = claims_.find(m.from);
  if (it != claims_.end() && it->second.refused && now_ < it->second.until) {
    // Both are told: who holds the name, and who wants it.
    Message back = make(Kind::kTaken);
    back.target = m.from;
    back.target_life = e->life;
    reply(from, std::move(back));
    Message notice = make(Kind::kNews);
    notice.updates.push_back(u);
    notice.updates.back().identity.reset();
    reply(e->address, std::move(notice));
    return true;
  }
  contest(*e, u);
  return true;
}

// Asks who holds a name whether it still does.
void Membership::contest(Entry& e, const Update& u) {
  Claim& claim = claims_[e.key];
  if (claim.refused && now_ < claim.until) return;
  claim.update = u;
  claim.refused = false;
  claim.until = kNever;
  probe(e, Why::kClaim);
}

// ------------------------------------------------------------ doubt

// Somebody has failed to reach a member. Who reaches it says so; some look for themselves, some tell it.
void Membership::accuse(Entry& e, Key accuser, Key by) {
  if (is_over(e.state)) return;
  const bool known = doubts_.contains(e.key);
  Doubt& doubt = doubts_[e.key];
  if (!known) {
    doubt.since = now_;
    doubt.until = now_ + (swim() ? kSwimDoubt : scaled(s_.most_doubt));
    doubt.look_at = shipped() ? now_ + s_.period * kOwnLook * (0.5 + unit() / 2) : kNever;
  }
  auto& accusers = doubt.accusers;
  const bool more = accuser != 0 && std::find(accusers.begin(), accusers.end(), accuser) == accusers.end();
  if (more) accusers.push_back(accuser);
  if (accuser == key_) {
    doubt.own = true;
    if (more) ++counters_.accusations;
  }
  if (e.state == State::kAlive)
    set_state(e, State::kSuspect, by);  // who is leaving stays so until it is dead
  // Each that confirms brings the end nearer (Lifeguard's logarithm).
  if (more && !swim()) {
    const double needed = std::max(2, needed_accusers());
    const double part =
        needed_accusers() == 1
            ? 1
            : std::min(1.0, std::log(static_cast<double>(accusers.size())) / std::log(needed));
    doubt.until =
        std::min(doubt.until, doubt.since + scaled(s_.most_doubt - (s_.most_doubt - s_.least_doubt) * part));
  }
  if (more && accusers.size() <= static_cast<std::size_t>(needed_accusers()) + 1) {
    Update u = update_of(e);
    u.accuser = accuser;
    tell(u);
  }
  if (!shipped() || accuser == key_) return;
  if (now_ - e.heard_at < kFreshContact * s_.period) return vouch(e);
  if (known) return;
  const double living = static_cast<double>(living_);
  if (unit() * living < kNotices) vouch(e);
  if (unit() * living < kConfirm) probe(e, Why::kLook);
}

// Tells a member that it is doubted: its refutation is worth more than this node's word.
void Membership::vouch(const Entry& e) { reply(e.address, make(Kind::kNews), &e); }

int Membership::needed_accusers() const {
  if (!shipped()) return swim() ? 1 : s_.accusers;
  // Of three nodes two can say so; of two, one.
  return std::max(1, std::min(s_.accusers, static_cast<int>(living_) - 1));
}

void Membership::declare(Entry& e) {
  ++counters_.deaths_declared;
  set_state(e, State::kDead, key_);
  tell(update_of(e));
}

// When a doubt wants to be seen to: the last look goes before its end, not behind it.
double Membership::due(const Doubt& d) const {
  const bool enough = static_cast<int>(d.accusers.size()) >= needed_accusers();
  const double look = d.own && enough && !d.last_look && shipped() ? scaled(s_.timeout) * kLookTimeouts : 0;
  return std::max(std::min(d.until - look, d.own ? kNever : d.look_at), quiet_until_);
}

void Membership::doubts() {
  std::vector<Key> all;
  for (const auto& [key, doubt] : doubts_) {
    if (now_ >= due(doubt)) all.push_back(key);
  }
  for (const Key key : all) {
    Entry* e = table_.find(key);
    const auto it = doubts_.find(key);
    if (e == nullptr || it == doubts_.end() || is_over(e->state)) continue;
    Doubt& d = it->second;
    if (!shipped()) {
      declare(*e);
      continue;
    }
    // Where a doubt stands and too few have found out, as on the small side of a cut, all look.
    if (!d.own && now_ >= d.look_at) {
      d.look_at = now_ + s_.period * kOwnLook;
      probe(*e, Why::kLook);
    }
    const bool enough = static_cast<int>(d.accusers.size()) >= needed_accusers();
    // Only who has found out itself says so, and not before it has looked once more.
    if (!d.own || !enough) {
      if (now_ < d.until) continue;
      // Where nobody confirms it and nobody refutes it for long, what this node has found has to do.
      if (!d.own || now_ < d.since + s_.most_doubt * 3) {
        d.until = now_ + s_.period;
        probe(*e, Why::kLook);
        continue;
      }
    }
    if (!d.last_look) {
      d.last_look = true;
      probe(*e, Why::kLook);
      d.until = std::max(d.until, now_ + scaled(s_.timeout) * kLookTimeouts * 1.01);
      continue;
    }
    if (now_ < d.until) continue;
    if (e->heard_at > d.since && now_ - e->heard_at < kFreshContact * s_.period) {
      d.last_look = false;
      d.until = now_ + s_.period;
      vouch(*e);
      continue;
    }
    declare(*e);
  }
}

void Membership::health(int by) {
  if (!swim()) health_ = std::clamp(health_ + by, 0, s_.most_health);
}

// ------------------------------------------------------------ probes

void Membership::probe(Entry& e, Why why, Address to) {
  for (const Probe& p : probes_) {
    if (p.key == e.key && (p.why == why || (p.why == Why::kLook && why == Why::kObserved))) return;
  }
  // Guards the memory: more at a time is a flood of doubts.
  if (probes_.size() >= (why == Why::kLook ? kMostLooks : kMostProbes)) return;
  Probe p;
  p.key = e.key;
  p.life = e.life;
  p.to = to != 0 ? to : e.address;
  p.why = why;
  p.seq = ++seq_;
  p.began = p.next = now_;
  p.ends = now_ + (!shipped()              ? scaled(s_.period * kSwimProbe)
                   : why == Why::kObserved ? scaled(s_.timeout) * kProbeTimeouts
                                           : scaled(s_.timeout) * kLookTimeouts);
  probes_.push_back(p);
  ++counters_.probes;
  step(probes_.back());
}

// The next ping of a probe, or its requests to others.
void Membership::step(Probe& p) {
  const Entry* e = table_.find(p.key);
  if (e == nullptr) return;
  const int pings = shipped() ? kPings : 1;
  if (p.sent < pings) {
    ++p.sent;
    Message ping = make(Kind::kPing);
    ping.seq = p.seq;
    ping.target = p.key;
    ping.target_life = p.life;
    send(p.to, std::move(ping), e);
  }
  const bool may_ask = p.why == Why::kObserved || p.why == Why::kLook;
  const double ask_at = p.began + (!shipped()            ? scaled(s_.timeout) * kSwimTimeouts
                                   : p.why == Why::kLook ? 0
                                                         : scaled(s_.timeout) * kAskAfter);
  if (may_ask && !p.asked_others && now_ >= ask_at - 1e-6) ask_others(p, *e);
  if (shipped()) {
    p.next = p.sent < pings ? now_ + scaled(s_.timeout) : p.ends;
  } else {
    p.next = p.asked_others ? p.ends : ask_at;
  }
}

void Membership::ask_others(Probe& p, const Entry& e) {
  p.asked_others = true;
  std::vector<Key> asked;
  for (int i = 0; i < s_.indirect * 4 && static_cast<int>(asked.size()) < s_.indirect; ++i) {
    const Entry* other = random_living();
    if (other == nullptr) return;
    if (other->key == p.key || other->state != State::kAlive) continue;
    if (std::find(asked.begin(), asked.end(), other->key) != asked.end()) continue;
    asked.push_back(other->key);
    Message ask = make(Kind::kPingReq);
    ask.seq = p.seq;
    ask.target = p.key;
    ask.target_life = p.life;
    Update where = update_of(e);
    where.accuser = 0;
    if (where.state == State::kSuspect) where.state = State::kAlive;
    ask.updates.push_back(where);
    send(other->address, std::move(ask));
  }
}

void Membership::failed(const Probe& p) {
  Entry* e = table_.find(p.key);
  if (e == nullptr || e->life != p.life || is_over(e->state)) return;
  if (p.why == Why::kMoved) return;
  if (p.why == Why::kClaim) {  // who held the name does not answer: it is the other's
    const auto it = claims_.find(p.key);
    if (it == claims_.end()) return;
    const Update u = it->second.update;
    claims_.erase(it);
    if (u.life > e->life) later_life(*e, u, u.key);
    return;
  }
  ++counters_.failed_probes;
  // Nobody has heard it either who was asked to help: it is this node that hears little (Lifeguard).
  if (p.asked_others && !p.heard_others && living_ > 2) health(1);
  if (now_ < quiet_until_) return;
  const auto hold = holds_.find(p.key);
  if (shipped() && hold != holds_.end() && now_ < hold->second.until) return;
  // What one probe finds may be chance: a second look, with others asked at once, comes before any word.
  if (shipped() && p.why == Why::kObserved && !doubts_.contains(p.key)) return probe(*e, Why::kLook);
  accuse(*e, key_, key_);
}

// The members on the rings, each once in a period.
void Membership::next_observed() {
  const std::size_t rings = observed_.size();
  const std::size_t at = observed_at_++ % rings;
  next_probe_ = now_ + scaled(s_.period) / static_cast<double>(rings);
  // Whose doubts nobody confirms may be on the small side of a cut: it looks beyond those that it observes,
  // so that it does not find out about one after another.
  if (std::any_of(doubts_.begin(), doubts_.end(), [this](const auto& d) {
        return d.second.own && static_cast<int>(d.second.accusers.size()) < needed_accusers();
      })) {
    const Entry* other = random_living();
    if (other != nullptr && other->state == State::kAlive) probe(*table_.find(other->key), Why::kLook);
  }
  const Key key = observed_[at];
  // Two rings that name one member observe it once.
  if (key == 0 || std::find(observed_.begin(), observed_.begin() + static_cast<std::ptrdiff_t>(at), key) !=
                      observed_.begin() + static_cast<std::ptrdiff_t>(at)) {
    return;
  }
  Entry* e = table_.find(key);
  if (e != nullptr && !is_over(e->state)) probe(*e, Why::kObserved);
}

// All members in turn, in a new order each time (SWIM, section 4.3).
void Membership::next_in_round() {
  next_probe_ = now_ + scaled(s_.period);
  for (std::size_t i = 0; i <= table_.size(); ++i) {
    if (round_at_ >= round_.size()) {
      round_.clear();
      round_at_ = 0;
      for (const Entry& e : table_) {
        if (!is_over(e.state)) round_.push_back(e.key);
      }
      if (round_.empty()) return;
      for (std::size_t k = round_.size(); k > 1; --k) std::swap(round_[k - 1], round_[below(k)]);
    }
    Entry* e = table_.find(round_[round_at_++]);
    if (e != nullptr && !is_over(e->state)) return probe(*e, Why::kObserved);
  }
}

// ------------------------------------------------------------ datagrams

void Membership::heard(Entry& e, Address from) {
  if (is_over(e.state)) return;
  if (from == e.address || e.address == 0 || !e.direct) {
    e.address = from;
    e.direct = true;
    e.heard_at = now_;
  } else {  // from elsewhere: it may have moved, or somebody repeats what it said
    probe(e, Why::kMoved, from);
  }
}

void Membership::answered(const Message& m, Address from) {
  for (Relay& r : relays_) {
    if (r.seq != m.seq || r.until < now_ || !m.reaches) continue;
    Message ack = make(Kind::kAck);
    ack.seq = r.their_seq;
    ack.target = m.from;
    ack.target_life = m.life;
    reply(r.for_whom, std::move(ack));
    r.until = 0;
  }
  const auto it =
      std::find_if(probes_.begin(), probes_.end(), [&](const Probe& p) { return p.seq == m.seq; });
  if (it == probes_.end()) return;
  const Key reached = m.reaches ? m.from : m.target;
  Entry* e = table_.find(reached);
  if (reached != it->key || e == nullptr) return;
  const Probe p = *it;
  if (p.why == Why::kMoved && (!m.reaches || from != p.to)) return;
  // An answer of another life says nothing of the one that was asked for.
  if (p.why == Why::kClaim && (!m.reaches || m.life != p.life)) return;
  established_ = true;
  answered_at_ = now_;
  if (!m.reaches) {  // by way of another
    auto& by = reached_[reached];
    std::erase_if(
        by, [&](const auto& r) { return r.first == m.from || r.second < now_ - kReachMemory * s_.period; });
    if (by.size() < 16) by.emplace_back(m.from, now_);
  }
  // Late answers tell of this node more than of the other (Lifeguard).
  if (now_ - p.began < scaled(s_.timeout)) health(-1);
  probes_.erase(it);
  if (p.why == Why::kMoved) {
    e->address = from;
    e->heard_at = now_;
  } else if (p.why == Why::kClaim) {
    const auto claim = claims_.find(reached);
    if (claim == claims_.end()) return;
    claim->second.refused = true;
    claim->second.until = now_ + kClaimRefused;
    ++counters_.contested;
  } else if (doubts_.contains(reached)) {
    vouch(*e);
  }
}

void Membership::message(double now, Address from, const Message& m, std::vector<Out>& out) {
  if (!started_ || left_ || refused_) return;
  if (m.from == key_) {
    if (m.life != life_ && from != s_.address) {
      ++counters_.namesakes;
    }
    return;
  }
  begin(now, out);
  if (m.life <= ended_life(m.from)) {
    answer_the_ended(m, from);
    return end();
  }
  if (m.kind == Kind::kTaken) {
    if (m.target == key_ && !(m.target_life == life_)) {
      if (taken_at_ < now - s_.patience / 2) taken_since_ = now;
      taken_at_ = now;
      ++counters_.namesakes;
      // Of two that have both been taken in, on two sides of a cut, the later life goes.
      if ((!established_ || m.target_life < life_) && now - taken_since_ >= s_.patience) refused_ = true;
    }
    return end();
  }
  if (claimed(m, from)) return end();
  Entry* e = table_.find(m.from);
  if (e == nullptr || e->life < m.life) {
    Update u;
    u.key = m.from;
    u.life = m.life;
    u.address = from;
    for (const Update& said : m.updates) {
      if (said.key == m.from && said.life == m.life) u.identity = said.identity;
    }
    learn(u, m.from);
    e = table_.find(m.from);
  }
  if (e == nullptr || e->life != m.life) return end();  // there is no room for it, or it is not believed
  heard(*e, from);
  const std::uint64_t floor = m.kind == Kind::kNews && m.target == key_ ? m.target_life : 0;
  for (const Update& u : m.updates) {
    if (u.key == key_) {
      about_me(u, m.from, floor);
    } else if (m.kind != Kind::kPingReq) {  // there it only says where the target is
      learn(u, m.from);
    }
    if (left_ || refused_) return end();
  }
  switch (m.kind) {
    case Kind::kPing: {
      if (m.target != 0 && m.target != key_) break;  // for who had this address before
      Message ack = make(Kind::kAck);
      ack.seq = m.seq;
      ack.target = key_;
      ack.reaches = true;
      reply(from, std::move(ack), table_.find(m.from));
      break;
    }
    case Kind::kAck:
      answered(m, from);
      break;
    case Kind::kPingReq: {
      const Entry* target = table_.find(m.target);
      const Address to = target != nullptr   ? target->address
                         : m.updates.empty() ? 0
                                             : m.updates.front().address;
      Message heard_it = make(Kind::kHeard);
      heard_it.seq = m.seq;
      if (target != nullptr && !m.updates.empty() && target->life == m.target_life &&
          target->incarnation > m.updates.front().incarnation) {
        heard_it.updates.push_back(update_of(*target));  // it has refuted what the asker may believe
      }
      if (!reply(from, std::move(heard_it)) || to == 0) break;
      if (relays_.size() >= 256) relays_.erase(relays_.begin());
      relays_.push_back({++seq_, m.seq, from, now_ + 2 * s_.period});
      Message ping = make(Kind::kPing);
      ping.seq = relays_.back().seq;
      ping.target = m.target;
      ping.target_life = m.target_life;
      reply(to, std::move(ping), target);
      break;
    }
    case Kind::kAsk:
      serve_page(m, from);
      break;
    case Kind::kPage:
      take_page(m);
      break;
    case Kind::kDigest:
      serve_digest(m, from);
      break;
    case Kind::kWhoIs:
      reply(from, hello());
      break;
    case Kind::kHeard:
      for (Probe& p : probes_) p.heard_others = p.heard_others || p.seq == m.seq;
      break;
    case Kind::kNews:
    case Kind::kTaken:
      break;
  }
  end();
}

// ------------------------------------------------------------ tables

void Membership::serve_page(const Message& m, Address from) {
  Message page = make(Kind::kPage);
  page.seq = m.seq;
  if (m.target <= 1) page.updates.push_back(self_update(true));
  std::size_t bytes = bytes_of(page) + 8;  // `target` may get longer
  std::size_t i = table_.from(m.target);
  for (; i < table_.size(); ++i) {
    const Entry& e = table_[i];
    if (is_over(e.state) || e.key == m.from) continue;
    Update u = update_of(e, true);
    u.accuser = 0;
    u.state = e.state == State::kSuspect ? State::kAlive : e.state;
    bytes += bytes_of(u);
    if (bytes > kMostBytes || page.updates.size() >= kMostUpdates) break;
    page.updates.push_back(std::move(u));
  }
  page.target = i < table_.size() ? table_[i].key : 0;
  reply(from, std::move(page));
}

// Its members have been learned like any news.
void Membership::take_page(const Message& m) {
  if (!page_out_ || m.seq != seq_at_page_) return;
  page_out_ = false;
  next_ask_ = now_ + 1 / kPages;
  page_at_ = m.target;
  if (m.target != 0) return;
  // Where a whole pass has told of somebody new there may be more: another one is asked.
  page_at_ = 1;
  learning_ = std::exchange(learned_, false);
  next_ask_ = now_ + (learning_ ? kPageWait * (0.5 + unit()) : 0);
}

void Membership::ask_page() {
  if (living_ < 2) {
    next_ask_ = now_ + kPageWait;
    page_at_ = 1;
    page_out_ = false;
    learning_ = true;
    for (int i = 0; i < 3 && !join_.empty(); ++i) {
      Message ask = hello(Kind::kAsk);
      ask.target = 1;
      send(join_[below(join_.size())], std::move(ask));
    }
    return;
  }
  const Entry* e = random_living();
  next_ask_ = now_ + kPageWait;
  if (e == nullptr) return;
  page_out_ = true;
  seq_at_page_ = ++seq_;
  Message ask = make(Kind::kAsk);
  ask.seq = seq_at_page_;
  ask.target = page_at_;
  send(e->address, std::move(ask));
}

// A part of the table without identities, one after another: what two hold differently is found out, whatever
// was lost.
void Membership::digest() {
  next_sync_ = now_ + s_.sync_period * (0.75 + unit() / 2);
  const Entry* to = random_living();
  if (to == nullptr || table_.size() == 0) return;
  Message m = make(Kind::kDigest);
  std::size_t bytes = bytes_of(m), i = table_.from(digest_at_);
  std::size_t looked = 0;
  for (; looked < table_.size(); ++looked, ++i) {
    if (i >= table_.size()) i = 0;
    if (table_[i].key == to->key) continue;
    const Update u = update_of(table_[i]);
    bytes += bytes_of(u);
    if (bytes > kMostBytes || m.updates.size() >= kMostUpdates) break;
    m.updates.push_back(u);
  }
  digest_at_ = i < table_.size() ? table_[i].key : 0;
  send(to->address, std::move(m));
}

// What this node knows better of those that a part of a table names.
void Membership::serve_digest(const Message& m, Address from) {
  Message back = make(Kind::kNews);
  std::size_t bytes = bytes_of(back);
  for (const Update& u : m.updates) {
    const Entry* e = table_.find(u.key);
    if (e == nullptr) continue;
    const bool better =
        e->life > u.life ||
        (e->life == u.life && (e->incarnation > u.incarnation ||
                               (e->incarnation == u.incarnation && weight(e->state) > weight(u.state))));
    if (!better) continue;
    const Update mine = update_of(*e);
    bytes += bytes_of(mine);
    if (bytes > kMostBytes) break;
    back.updates.push_back(mine);
  }
  if (!back.updates.empty()) reply(from, std::move(back));
}

// ------------------------------------------------------------ time

// Guards the others against a process that stood: what it was waiting for has come meanwhile, and lies
// unread.
void Membership::wake(double gap) {
  ++counters_.stood;
  probes_.clear();
  relays_.clear();
  claims_.clear();
  quiet_until_ = now_ + 2 * s_.period;
  health(2);
  for (auto& [key, doubt] : doubts_) {
    doubt.until += gap;
    doubt.since += gap;
    doubt.last_look = false;
  }
  // Whether it is still taken for alive: several are asked at once.
  for (int i = 0; i < 3; ++i) {
    const Entry* e = random_living();
    if (e != nullptr) probe(*table_.find(e->key), Why::kObserved);
  }
}

void Membership::greet() {
  next_greet_ = now_ + 1 / kGreetings;
  const Address to = greet_.back();
  greet_.pop_back();
  send(to, hello());
}

// The dead, and addresses nobody is known at: halves of a cut find each other so.
void Membership::seek() {
  if (quick_seeks_ > 0) --quick_seeks_;
  next_seek_ = now_ + (quick_seeks_ > 0 ? kQuickSeek : s_.seek_period * (0.75 + unit() / 2));
  std::vector<Address> lost;
  if (!dead_.empty()) {
    if (const Entry* e = table_.find(dead_[below(dead_.size())])) lost.push_back(e->address);
  }
  for (int tries = 0; tries < 3 && !join_.empty(); ++tries) {
    const Address a = join_[below(join_.size())];
    if (std::none_of(table_.begin(), table_.end(), [a](const Entry& e) { return e.address == a; })) {
      lost.push_back(a);
      break;
    }
  }
  for (const Address to : lost) {
    Message ask = hello(Kind::kAsk);
    ask.target = 1;
    send(to, std::move(ask));
  }
}

// Asks those who they are of whom nothing but the key is known.
void Membership::describe() {
  for (int i = 0; i < 3 && !undescribed_.empty(); ++i) {
    const std::size_t at = below(undescribed_.size());
    const Entry* e = table_.find(undescribed_[at]);
    if (e == nullptr || e->id || is_over(e->state)) {
      undescribed_[at] = undescribed_.back();
      undescribed_.pop_back();
      continue;
    }
    if (!spread_.take(now_)) return;
    send(e->address, make(Kind::kWhoIs));
  }
}

void Membership::sweep() {
  next_sweep_ = now_ + kSweep;
  const auto old = [this](const Entry& e) { return is_over(e.state) && now_ - e.since > s_.forget_after; };
  for (const Entry& e : table_) {
    if (!old(e)) continue;
    auto& [life, at] = forgotten_[e.key];
    life = std::max(life, e.life);
    at = now_;
    std::erase(dead_, e.key);
  }
  table_.sweep(old);
  std::erase_if(reached_, [this](const auto& r) {
    return r.second.empty() || r.second.back().second < now_ - kReachMemory * s_.period;
  });
  std::erase_if(claims_, [this](const auto& c) { return c.second.refused && now_ > c.second.until; });
  std::erase_if(holds_, [this](const auto& h) { return now_ > h.second.until + 10 * kLongestHold; });
  if (forgotten_.size() > s_.most_members) {
    std::erase_if(forgotten_, [this](const auto& f) { return now_ - f.second.second > kForgottenKept; });
    if (forgotten_.size() > 4 * s_.most_members) forgotten_.clear();
  }
}

void Membership::tick(double now, std::vector<Out>& out) {
  if (!started_ || left_ || refused_) {
    next_ = kNever;
    return;
  }
  begin(now, out);
  for (std::size_t i = 0; i < probes_.size();) {
    if (now >= probes_[i].ends) {
      const Probe over = probes_[i];
      probes_.erase(probes_.begin() + static_cast<std::ptrdiff_t>(i));
      failed(over);
      continue;
    }
    if (now >= probes_[i].next) step(probes_[i]);
    ++i;
  }
  doubts();
  if (now >= next_probe_) shipped() ? next_observed() : next_in_round();
  if (now >= next_ask_ && (learning_ || living_ < 2)) ask_page();
  if (now >= next_greet_ && !greet_.empty()) greet();
  if (now >= next_news_) {
    next_news_ = now + 0.5;
    describe();
    if (!news_.empty()) {
      const Entry* e = random_living();
      if (e != nullptr && spread_.take(now)) send(e->address, make(Kind::kNews), e);
    }
  }
  if (now >= next_seek_) seek();
  if (now >= next_sync_) digest();
  if (now >= next_sweep_) sweep();
  end();
}

void Membership::plan() {
  double next = std::min({next_probe_, next_news_, next_seek_, next_sync_, next_sweep_});
  if (learning_ || living_ < 2) next = std::min(next, next_ask_);
  if (!greet_.empty()) next = std::min(next, next_greet_);
  for (const Probe& p : probes_) next = std::min({next, p.next, p.ends});
  for (const auto& [key, d] : doubts_) next = std::min(next, due(d));
  next_ = std::max(now_, next);
  if (refused_) next_ = kNever;
}

void Membership::leaving(double now, std::vector<Out>& out) {
  if (left_ || refused_ || !started_ || state_ == State::kLeaving) return;
  begin(now, out);
  state_ = State::kLeaving;
  tell(self_update(false));
  end();
}

void Membership::leave(double now, std::vector<Out>& out) {
  if (left_ || refused_ || !started_) return;
  begin(now, out);
  state_ = State::kLeft;
  for (int i = 0; i < kToldRebirth; ++i) {
    const Entry* e = random_living();
    if (e == nullptr) break;
    Message m = make(Kind::kNews);
    m.updates.push_back(self_update(false));
    send(e->address, std::move(m));
  }
  left_ = true;
  next_ = kNever;
  out_ = nullptr;
}

}  // namespace nettlestand::peers
