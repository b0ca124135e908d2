#include "emulator/fleet.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>
#include <utility>

namespace nettlestand::fleet {
namespace {

namespace qu = quinceusher;

constexpr std::uint64_t kAny = std::numeric_limits<std::uint64_t>::max();

enum class EventKind : std::uint8_t {
  kArrival,
  kFinish,
  kTimeOut,
  kEnd,
  kTimer,
  kDeadline,
  kServerListChange,
  kRetry,
  kCrash,
  kBalancerFault,
  kMembershipChange
};

struct ScheduledEvent {
  double at;
  std::uint64_t order;
  EventKind what;
  std::uint64_t a, b;
  bool operator>(const ScheduledEvent& other) const {
    return at != other.at ? at > other.at : order > other.order;
  }
};

struct Attempt {
  std::uint32_t server = 0;
  double sent = 0;
  bool open = true, ran = false;
  qu::Outcome end = qu::Outcome::kUnknown;  // outcome of an attempt that ends without a computed response
};

// One try of a client's request, at one balancer, with its attempts at servers.
struct OpenRequest {
  std::uint32_t balancer = 0, tenant = 0;
  std::size_t ask = 0;
  double arrived = 0;
  bool answered = false, counted = false;
  std::vector<Attempt> attempts;
};

// A client's request, across all its tries.
struct ClientRequest {
  double born = 0;
  std::uint32_t tenant = 0, balancer = 0;
  int tries = 0;
};

struct BalancerState {
  std::vector<qu::Event> waiting;  // events that arrived while it is paused
  bool paused = false, dead = false;
  double died = 0;
  std::uint64_t generation = 0;
};

struct Job {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
};

struct Server {
  double speed = 1;
  double born = 0;  // 0: warm
  int busy = 0;
  std::uint64_t generation = 0;  // only the low 16 bits are kept in events
  std::deque<Job> queue;
  int held = 0;  // attempts in flight, for the policies with a global view
  bool drained = false, collapsed = false, gone = false;
  std::deque<std::pair<double, double>> recent_work;  // of a cold server: time and amount of work sent
  double recent_work_sum = 0;
  std::uint64_t connects = 0;
};

class Fleet {
 public:
  explicit Fleet(const Spec& spec) : spec_(spec), random_(spec.seed) {
    servers_.resize(spec.servers);
    for (std::size_t i = 0; i < std::min(spec.speeds.size(), spec.servers); ++i) {
      servers_[i].speed = spec.speeds[i];
    }
    result_.tenants.resize(spec.tenants.size());
    result_.seconds.resize(static_cast<std::size_t>(std::ceil(spec.seconds)) + 1);
    result_.sent.resize(spec.servers);
    result_.done.resize(spec.servers);
    result_.sent_by_second.resize(spec.servers);
    if (spec.keep_times) result_.sent_at.resize(spec.servers);
    for (const Tenant& tenant : spec.tenants) offered_ += tenant.offered;
    result_.requests.resize(result_.seconds.size(), std::vector<RequestOutcomes>(spec.zones));
    balancer_states_.resize(spec.balancers);
    double sum = 0;
    std::normal_distribution<double> normal;
    for (std::size_t i = 0; i < spec.balancers && spec.uneven > 0; ++i) {
      weights_.push_back(sum += std::exp(spec.uneven * normal(random_)));
    }
  }

  Result play() {
    now_ = kStart;
    if (spec_.policy == Policy::kModule) start_balancers();
    for (std::size_t i = 0; i < spec_.changes.size(); ++i)
      at(kStart + spec_.changes[i].at, EventKind::kServerListChange, i, 0);
    for (std::size_t i = 0; i < spec_.faults.size(); ++i) {
      if (spec_.faults[i].kind == FaultKind::kCrash)
        at(kStart + spec_.faults[i].from, EventKind::kCrash, i, 0);
    }
    for (std::size_t i = 0; i < spec_.balancer_faults.size(); ++i) {
      at(kStart + spec_.balancer_faults[i].from, EventKind::kBalancerFault, i, 0);
      at(kStart + spec_.balancer_faults[i].until, EventKind::kBalancerFault, i, 1);
    }
    next_arrival();
    while (!event_queue_.empty()) {
      const ScheduledEvent next = event_queue_.top();
      event_queue_.pop();
      now_ = next.at;
      step(next);
    }
    for (const auto& [number, open] : open_) result_.unanswered += open.answered ? 0 : 1;
    return std::move(result_);
  }

 private:
  static constexpr double kStart = 1000;  // s; the module's clock may start at any value

  qu::Settings settings() const {
    qu::Settings s;
    s.copy_count = static_cast<int>(spec_.balancers);
    s.tier = spec_.tier;
    qu::RequestClass c;
    c.aim = spec_.aim;
    c.give_up = spec_.give_up;
    c.late_worth = 0.5;
    c.effect = spec_.effect;
    c.dedup_scope = qu::DedupScope::kAll;
    c.dedup_window = spec_.give_up;
    s.classes = {c};
    for (const Tenant& tenant : spec_.tenants) s.tenants.push_back({tenant.allowance});
    s.max_attempts = spec_.max_attempts;
    s.can_cancel = true;
    s.second_copies = true;
    s.max_retry_after = 2;
    s.start_capacity = spec_.start_capacity;
    s.ramp_time = spec_.ramp_time;
    s.cross_zone_price = spec_.cross_zone_price;
    return s;
  }

  void start_balancers() {
    for (std::size_t i = 0; i < servers_.size() && spec_.cold; ++i) servers_[i].born = now_;
    for (std::size_t i = 0; i < spec_.balancers; ++i) {
      balancers_.push_back(make_balancer(i));
      send_server_list(i);
    }
  }

  qu::Balancer make_balancer(std::size_t i) const {
    qu::Settings s = settings();
    s.copy_index = static_cast<int>(i);
    s.zone = static_cast<int>(zone_of(i));
    return {s, spec_.seed * 1000 + i + 7919 * balancer_states_[i].generation};
  }
  void send_server_list(std::size_t i) {
    qu::MembershipUpdate all;
    for (std::size_t j = 0; j < servers_.size(); ++j) {
      if (!servers_[j].gone) all.servers.push_back(server_info(j));
    }
    tell(i, qu::Started{});
    tell(i, all);
  }
  std::size_t zone_of(std::size_t place) const { return place % spec_.zones; }

  qu::Server server_info(std::size_t i) const {
    qu::Server out;
    out.address = std::to_string(i);
    out.cell = static_cast<int>(i / 4);
    out.zone = static_cast<int>(zone_of(i));
    out.started = servers_[i].born;
    return out;
  }

  double unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  double exponential(double mean) { return -mean * std::log(1 - unit()); }
  void at(double when, EventKind what, std::uint64_t a, std::uint64_t b) {
    event_queue_.push({when, ++order_, what, a, b});
  }

  double load_factor() const {
    double out = 1;
    for (const LoadStep& step : spec_.steps) {
      if (now_ - kStart >= step.at) out = step.factor;
    }
    return out;
  }

  void next_arrival() {
    const double when = now_ + exponential(1 / (offered_ * load_factor()));
    if (when - kStart < spec_.seconds) at(when, EventKind::kArrival, 0, 0);
  }

  void step(const ScheduledEvent& next) {
    switch (next.what) {
      case EventKind::kArrival:
        next_arrival();
        return arrive(0);
      case EventKind::kRetry:
        return arrive(next.a);
      case EventKind::kCrash:
        return crash(spec_.faults[next.a]);
      case EventKind::kMembershipChange:
        return announce_balancers();
      case EventKind::kBalancerFault:
        return next.b == 0 ? begin(spec_.balancer_faults[next.a]) : end(spec_.balancer_faults[next.a]);
      case EventKind::kFinish:
        if (servers_[(next.b >> 16) & 0xFFFFFFFF].generation != next.b >> 48)
          return;  // the server has crashed since
        return finish(next.a, static_cast<std::uint32_t>(next.b >> 16),
                      static_cast<std::uint32_t>(next.b & 0xFFFF));
      case EventKind::kTimeOut:
        return end(next.a, static_cast<std::uint32_t>(next.b), qu::Outcome::kTimedOut);
      case EventKind::kEnd: {
        const auto it = open_.find(next.a);
        if (it != open_.end())
          end(next.a, static_cast<std::uint32_t>(next.b), it->second.attempts[next.b].end);
        return;
      }
      case EventKind::kTimer:
        return tell(next.a & 0xFFFFFFFF, qu::TimerFired{next.b}, next.a >> 32);
      case EventKind::kDeadline: {
        const auto it = open_.find(next.a);
        if (it == open_.end() || it->second.answered) return;
        answer(it->second, &Counts::failed);
        if (spec_.policy == Policy::kModule)
          tell(it->second.balancer, qu::RequestGone{std::to_string(next.a)});
        return forget(next.a);  // the caller has given up
      }
      case EventKind::kServerListChange:
        return change(spec_.changes[next.a]);
    }
  }

  void change(const ListChange& what) {
    qu::MembershipUpdate update;
    update.form = qu::MembershipUpdate::Form::kChanges;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      const bool hit =
          what.servers.empty() ? i >= what.first && i < what.first + what.count : what.servers[i] != 0;
      if (!hit) continue;
      servers_[i].gone = what.state == qu::ServerState::kGone;
      if (what.restarted) {
        servers_[i].born = now_;
        servers_[i].collapsed = false;
        servers_[i].recent_work.clear();
        servers_[i].recent_work_sum = 0;
      }
      servers_[i].drained = what.state != qu::ServerState::kReady;
      update.servers.push_back(server_info(i));
      update.servers.back().state = what.state;
    }
    for (std::size_t i = 0; i < balancers_.size(); ++i) tell(i, update);
  }

  std::uint32_t draw_balancer() {
    const double at = unit();
    if (weights_.empty()) return static_cast<std::uint32_t>(at * static_cast<double>(spec_.balancers));
    const auto it = std::lower_bound(weights_.begin(), weights_.end(), at * weights_.back());
    return static_cast<std::uint32_t>(it - weights_.begin());
  }

  RequestOutcomes* outcomes_of(const ClientRequest& ask) {
    const auto second = static_cast<std::size_t>(ask.born - kStart);
    return second < result_.requests.size() ? &result_.requests[second][zone_of(ask.balancer)] : nullptr;
  }

  // `again`: index of the client request that is retried, from 1; 0: a new request.
  void arrive(std::size_t again) {
    const std::uint64_t number = ++last_;
    OpenRequest& open = open_[number];
    if (again == 0) {
      ClientRequest ask;
      double pick = unit() * offered_;
      while (ask.tenant + 1 < spec_.tenants.size() && (pick -= spec_.tenants[ask.tenant].offered) >= 0) {
        ++ask.tenant;
      }
      ask.balancer = draw_balancer();
      ask.born = now_;
      client_requests_.push_back(ask);
      open.ask = client_requests_.size();
      if (RequestOutcomes* asked = outcomes_of(ask)) ++asked->asked;
    } else {
      open.ask = again;
    }
    ClientRequest& ask = client_requests_[open.ask - 1];
    ++ask.tries;
    if (RequestOutcomes* asked = outcomes_of(ask)) ++asked->tries;
    open.tenant = ask.tenant;
    // The front end assigns a retrying client to a random balancer of its zone; a dead balancer is noticed
    // after a second.
    open.balancer = ask.balancer;
    for (std::size_t i = 0; again > 0 && i < spec_.balancers; ++i) {
      open.balancer = draw_balancer();
      if (zone_of(open.balancer) == zone_of(ask.balancer)) break;
    }
    for (std::size_t i = 0; i < spec_.balancers && balancer_states_[open.balancer].dead &&
                            now_ > balancer_states_[open.balancer].died + 1;
         ++i) {
      open.balancer = static_cast<std::uint32_t>((open.balancer + spec_.zones) % spec_.balancers);
    }
    open.arrived = now_;
    open.counted = now_ - kStart >= spec_.count_from;
    count(open, &Counts::asked);
    at(now_ + spec_.give_up, EventKind::kDeadline, number, 0);
    if (balancer_states_[open.balancer].dead) {
      answer(open, &Counts::failed);
      return forget(number);
    }
    if (spec_.policy != Policy::kModule) return route_without_module(number, open);
    qu::Request request;
    request.id = std::to_string(number);
    request.tenant = open.tenant;
    request.time_left = spec_.give_up;
    tell(open.balancer, request);
  }

  void route_without_module(std::uint64_t number, OpenRequest& open) {
    std::size_t best = 0;
    const std::size_t from = static_cast<std::size_t>(unit() * static_cast<double>(servers_.size()));
    int least = std::numeric_limits<int>::max();
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      const std::size_t s = (from + i) % servers_.size();
      if (servers_[s].held < least) {
        least = servers_[s].held;
        best = s;
      }
      if (least == 0) break;
    }
    if (spec_.policy == Policy::kBounded && least >= spec_.bound) {
      answer(open, &Counts::refused);
      return forget(number);
    }
    send(number, open, best, spec_.give_up);
  }

  // `generation`: the generation of the balancer that the event is meant for; it is dropped for any other.
  void tell(std::size_t balancer, const qu::Event& event, std::uint64_t generation = kAny) {
    BalancerState& state = balancer_states_[balancer];
    if (state.dead || (generation != kAny && generation != state.generation)) return;
    if (state.paused) {
      state.waiting.push_back(event);
      return;
    }
    std::vector<qu::Action> actions;
    balancers_[balancer].handle(now_, event, actions);
    for (const qu::Action& action : actions) {
      if (const auto* a = std::get_if<qu::Send>(&action)) {
        const std::uint64_t number = std::stoull(a->id);
        const auto it = open_.find(number);
        if (it == open_.end() || it->second.answered) {  // the client gave up while this balancer was paused
          if (spec_.balancer_faults.empty()) ++result_.answered_twice;
          continue;
        }
        send(number, it->second, std::stoul(a->server), a->timeout);
      } else if (const auto* r = std::get_if<qu::Refuse>(&action)) {
        final(std::stoull(r->id), &Counts::refused);
      } else if (const auto* f = std::get_if<qu::Fail>(&action)) {
        final(std::stoull(f->id), &Counts::failed);
      } else if (const auto* t = std::get_if<qu::SetTimer>(&action)) {
        at(std::max(now_, t->at), EventKind::kTimer, balancer | (state.generation << 32), t->token);
      } else if (const auto* c = std::get_if<qu::Cancel>(&action)) {
        const auto it = open_.find(std::stoull(c->id));
        if (it == open_.end()) continue;
        Attempt& attempt = it->second.attempts[static_cast<std::size_t>(c->attempt)];
        if (!attempt.open) continue;
        attempt.end = qu::Outcome::kCancelled;
        at(now_, EventKind::kEnd, it->first, static_cast<std::uint64_t>(c->attempt));
      }
    }
  }

  void final(std::uint64_t number, std::uint64_t Counts::*how) {
    const auto it = open_.find(number);
    if (it == open_.end() && !spec_.balancer_faults.empty()) return;
    OpenRequest& open = open_.at(number);
    if (open.answered) {
      if (spec_.balancer_faults.empty()) ++result_.answered_twice;
    } else {
      answer(open, how);
    }
    forget(number);
  }

  void count(const OpenRequest& open, std::uint64_t Counts::*what) {
    const auto second = static_cast<std::size_t>(open.arrived - kStart);
    if (second < result_.seconds.size()) ++(result_.seconds[second].*what);
    if (!open.counted) return;
    ++(result_.all.*what);
    if (open.tenant < result_.tenants.size()) ++(result_.tenants[open.tenant].*what);
  }

  void answer(OpenRequest& open, std::uint64_t Counts::*how) {
    open.answered = true;
    count(open, how);
    const ClientRequest& ask = client_requests_[open.ask - 1];
    RequestOutcomes* asked = outcomes_of(ask);
    if (how != &Counts::served) {
      const bool may = how == &Counts::refused || spec_.effect != qu::Effect::kUnsafe;
      if (ask.tries < spec_.tries && may) {
        at(now_ + exponential(spec_.retry_pause), EventKind::kRetry, open.ask, 0);
      } else if (asked != nullptr) {
        ++(how == &Counts::refused ? asked->refused : asked->failed);
      }
      return;
    }
    const double took = now_ - open.arrived;
    if (took <= spec_.aim) count(open, &Counts::in_aim);
    if (asked == nullptr) return;
    ++asked->served;
    if (now_ - ask.born <= spec_.aim) ++asked->in_aim;
    asked->latencies.push_back(static_cast<float>(now_ - ask.born));
  }

  // ------------------------------------------------------------ process faults

  void crash(const Fault& fault) {
    for (auto& [number, open] : open_) {
      for (std::size_t i = 0; i < open.attempts.size(); ++i) {
        Attempt& a = open.attempts[i];
        if (!a.open || !hits(fault, a.server, open.balancer)) continue;
        a.end = qu::Outcome::kReset;
        at(now_, EventKind::kEnd, number, i);
      }
    }
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (!hits(fault, i, 0)) continue;
      servers_[i].queue.clear();
      ++servers_[i].generation;
      servers_[i].busy = 0;
      std::erase_if(last_served_, [i](const auto& entry) { return (entry.first & 0xFFFFFFFF) == i; });
    }
  }

  // Announces the live balancers as membership does: each gets its index among them; allowances are divided
  // by at least half of all balancers.
  void announce_balancers() {
    const auto lives = [](const BalancerState& state) { return !state.dead; };
    const int count =
        static_cast<int>(std::count_if(balancer_states_.begin(), balancer_states_.end(), lives));
    int index = 0;
    for (std::size_t i = 0; i < balancer_states_.size(); ++i) {
      if (balancer_states_[i].dead) continue;
      const double sharers = std::max<double>(count, static_cast<double>(balancer_states_.size()) / 2);
      tell(i, qu::BalancersChanged{index++, count, sharers});
    }
  }

  void begin(const BalancerFault& fault) {
    BalancerState& state = balancer_states_[fault.balancer];
    if (fault.kind == BalancerFault::Kind::kPause) {
      state.paused = true;
      return;
    }
    state.dead = true;
    if (spec_.follow_after >= 0) at(now_ + spec_.follow_after, EventKind::kMembershipChange, 0, 0);
    state.died = now_;
    ++state.generation;
    state.waiting.clear();
    std::vector<std::uint64_t> held;
    for (auto& [number, open] : open_) {
      if (open.balancer == fault.balancer) held.push_back(number);
    }
    std::sort(held.begin(), held.end());
    for (const std::uint64_t number : held) {
      OpenRequest& open = open_[number];
      for (Attempt& a : open.attempts) {
        if (a.open) --servers_[a.server].held;
        a.open = false;
      }
      if (!open.answered) answer(open, &Counts::failed);
      open_.erase(number);
    }
  }

  void end(const BalancerFault& fault) {
    BalancerState& state = balancer_states_[fault.balancer];
    if (fault.kind == BalancerFault::Kind::kPause) {
      state.paused = false;
      const std::vector<qu::Event> waiting = std::exchange(state.waiting, {});
      for (const qu::Event& event : waiting) tell(fault.balancer, event);
      return;
    }
    state.dead = false;
    if (spec_.follow_after >= 0) at(now_ + spec_.follow_after, EventKind::kMembershipChange, 0, 0);
    balancers_[fault.balancer] = make_balancer(fault.balancer);
    send_server_list(fault.balancer);
  }

  bool hits(const Fault& f, std::size_t server, std::uint32_t balancer) const {
    const bool s = f.affected_servers.empty() ? server >= f.first && server < f.first + f.count
                                              : f.affected_servers[server] != 0;
    const bool c = f.affected_balancers.empty() ? f.balancer < 0 || f.balancer == static_cast<int>(balancer)
                                                : f.affected_balancers[balancer] != 0;
    return s && c;
  }

  void forget(std::uint64_t number) {
    const auto it = open_.find(number);
    if (it == open_.end() || !it->second.answered) return;
    for (const Attempt& attempt : it->second.attempts) {
      if (attempt.open) return;
    }
    open_.erase(it);
  }

  const Fault* fault_of(std::size_t server, std::uint32_t balancer, FaultKind kind) const {
    for (const Fault& f : spec_.faults) {
      if (f.kind == kind && now_ - kStart >= f.from && now_ - kStart < f.until && hits(f, server, balancer))
        return &f;
    }
    return nullptr;
  }

  double warm_up_fraction(const Server& s) const {
    if (s.born == 0 || spec_.ramp_time <= 0) return 1;
    return std::min(1.0,
                    spec_.start_capacity + (1 - spec_.start_capacity) * (now_ - s.born) / spec_.ramp_time);
  }

  double work() {
    switch (spec_.draw) {
      case WorkDraw::kFixed:
        return spec_.work;
      case WorkDraw::kUniform:
        return spec_.work * (0.5 + unit());
      default:
        return exponential(spec_.work);
    }
  }

  void send(std::uint64_t number, OpenRequest& open, std::size_t to, double timeout) {
    Server& s = servers_[to];
    const auto attempt = static_cast<std::uint32_t>(open.attempts.size());
    open.attempts.push_back({static_cast<std::uint32_t>(to), now_, true, false, qu::Outcome::kUnknown});
    ++result_.attempts;
    if (RequestOutcomes* asked = outcomes_of(client_requests_[open.ask - 1])) ++asked->attempts;
    ++result_.sent[to];
    const auto second = static_cast<std::size_t>(now_ - kStart);
    auto& by_second = result_.sent_by_second[to];
    if (by_second.size() <= second) by_second.resize(second + 1);
    ++by_second[second];
    if (spec_.keep_times) result_.sent_at[to].push_back(now_ - kStart);
    ++s.held;
    if (s.drained) ++result_.sent_after_drain;
    const auto ends = [&](double when, qu::Outcome how) {
      open.attempts[attempt].end = how;
      at(std::min(when, now_ + timeout), EventKind::kEnd, number, attempt);
    };
    if (const Fault* f = fault_of(to, open.balancer, FaultKind::kRefuse); f && s.connects++ % f->every == 0) {
      ++result_.dial_failed;
      return ends(now_ + spec_.refuse_time, qu::Outcome::kDialFailed);
    }
    if (fault_of(to, open.balancer, FaultKind::kCrash)) {
      ++result_.dial_failed;
      return ends(now_ + spec_.refuse_time, qu::Outcome::kDialFailed);
    }
    const std::uint64_t pair = (static_cast<std::uint64_t>(open.balancer) << 32) | to;
    const Fault* cut = fault_of(to, open.balancer, FaultKind::kCut);
    if (cut != nullptr) {
      const auto kept = last_served_.find(pair);
      if (kept != last_served_.end() &&
          kept->second > now_ - spec_.idle_close) {  // sent on a kept connection: no response and no error
        at(now_ + timeout, EventKind::kTimeOut, number, attempt);
        return;
      }
    }
    if (s.collapsed || cut != nullptr || fault_of(to, open.balancer, FaultKind::kHangConnect)) {
      ++result_.dial_failed;
      return ends(now_ + spec_.connect_timeout, qu::Outcome::kDialFailed);
    }
    at(now_ + timeout, EventKind::kTimeOut, number, attempt);
    run(open, attempt);
    if (fault_of(to, open.balancer, FaultKind::kSilent)) {
      return;
    }
    if (fault_of(to, open.balancer, FaultKind::kReset)) {
      return ends(now_ + spec_.refuse_time, qu::Outcome::kReset);
    }
    if (fault_of(to, open.balancer, FaultKind::kError)) {
      return ends(now_ + spec_.refuse_time, qu::Outcome::kError);
    }
    if (overloads_cold_server(s)) return;
    s.queue.push_back({number, attempt});
    begin(to);
  }

  // Records an attempt sent to a cold server; returns whether the server collapses under its recent work.
  bool overloads_cold_server(Server& s) {
    const double warm = warm_up_fraction(s);
    if (warm >= 1) return false;
    s.recent_work.emplace_back(now_, spec_.work);
    s.recent_work_sum += spec_.work;
    while (s.recent_work.front().first < now_ - spec_.tip_after) {
      s.recent_work_sum -= s.recent_work.front().second;
      s.recent_work.pop_front();
    }
    const double most = spec_.tip_multiple * warm * s.speed * spec_.cores * spec_.tip_after;
    if (s.recent_work_sum <= most + 4 * spec_.work) return false;
    s.collapsed = true;
    ++result_.fallen_over;
    return true;
  }

  void run(OpenRequest& open, std::uint32_t attempt) {
    open.attempts[attempt].ran = true;
    if (spec_.effect != qu::Effect::kUnsafe) return;
    const auto ran =
        std::count_if(open.attempts.begin(), open.attempts.end(), [](const Attempt& a) { return a.ran; });
    if (ran > 1) ++result_.repeats_run;
  }

  void begin(std::size_t at_server) {
    Server& s = servers_[at_server];
    while (s.busy < spec_.cores && !s.queue.empty()) {
      const Job job = s.queue.front();
      s.queue.pop_front();
      ++s.busy;
      const Fault* slow = fault_of(at_server, 0, FaultKind::kSlow);
      const double took = work() * (slow ? slow->factor : 1) / (s.speed * warm_up_fraction(s));
      at(now_ + took, EventKind::kFinish, job.request,
         (s.generation << 48) | (static_cast<std::uint64_t>(at_server) << 16) | job.attempt);
    }
  }

  void finish(std::uint64_t number, std::uint32_t at_server, std::uint32_t attempt) {
    Server& s = servers_[at_server];
    --s.busy;
    ++result_.done[at_server];
    begin(at_server);
    const auto it = open_.find(number);
    if (it == open_.end()) return;
    const std::uint32_t balancer = it->second.balancer;
    const double way = zone_of(at_server) == zone_of(balancer) ? 0 : 2 * spec_.between_zones;
    const Fault* cut = fault_of(at_server, balancer, FaultKind::kCut);
    if (cut == nullptr && way == 0) return end(number, attempt, qu::Outcome::kDelivered);
    Attempt& a = it->second.attempts[attempt];
    if (!a.open) return;
    a.end = qu::Outcome::kDelivered;
    at((cut != nullptr ? kStart + cut->until : now_) + way, EventKind::kEnd, number, attempt);
  }

  void end(std::uint64_t number, std::uint32_t attempt, qu::Outcome how) {
    const auto it = open_.find(number);
    if (it == open_.end()) return;
    Attempt& a = it->second.attempts[attempt];
    if (!a.open) return;
    a.open = false;
    --servers_[a.server].held;
    const std::uint64_t pair = (static_cast<std::uint64_t>(it->second.balancer) << 32) | a.server;
    if (!spec_.faults.empty()) {
      if (how == qu::Outcome::kDelivered) {
        last_served_[pair] = now_;
      } else if (how == qu::Outcome::kTimedOut || how == qu::Outcome::kReset) {
        last_served_.erase(pair);
      }
    }
    if (how == qu::Outcome::kDelivered && !it->second.answered) answer(it->second, &Counts::served);
    const bool done = it->second.answered;
    if (spec_.policy == Policy::kModule) {
      tell(it->second.balancer,
           qu::AttemptResult{std::to_string(number), static_cast<int>(attempt), how, now_ - a.sent, done});
    } else if (!done) {
      answer(it->second, &Counts::failed);
    }
    forget(number);
  }

  const Spec& spec_;
  std::mt19937_64 random_;
  Result result_;
  std::vector<qu::Balancer> balancers_;
  std::vector<Server> servers_;
  std::unordered_map<std::uint64_t, OpenRequest> open_;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> event_queue_;
  std::vector<ClientRequest> client_requests_;
  std::vector<BalancerState> balancer_states_;
  std::vector<double> weights_;  // cumulative traffic weights of the balancers; empty: even
  std::unordered_map<std::uint64_t, double>
      last_served_;  // by balancer and server: when a kept connection last delivered
  double now_ = 0, offered_ = 0;
  std::uint64_t order_ = 0, last_ = 0;
};

}  // namespace

Result play(const Spec& spec) { return Fleet(spec).play(); }

}  // namespace nettlestand::fleet
