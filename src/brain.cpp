// All decisions of quinceusher. The interface, that is the types, events and actions, is
// include/quinceusher/balancer.h; read it first. Reading order here: the constants, then one section for each
// question: admit? who is there? is it healthy? which server? how long? again? and last the events.
#include <algorithm>
#include <cmath>
#include <limits>
#include <unordered_map>

#include "members.h"
#include "quinceusher/balancer.h"
#include "support.h"

namespace quinceusher {
namespace {

// ---------------------------------------------------------------- constants

constexpr double kBucket = 0.1;          // s; grain of the sliding window, a tenth of the short rate's second
constexpr int kLeastBuckets = 15;        // 1.5 s: an empty window lets this much of the limit in at once
constexpr int kMostBuckets = 80;         // 8 s: a longer window would notice a tenant's burst after its end
constexpr double kWindowCalls = 15;      // calls; a window holds so many where it can: fewer come by chance
constexpr int kLastSecondBuckets = 10;   // 1000 ms, the short rate of the source
constexpr double kHardLimitFactor = 20;  // denied calls count too: below real floods nothing is denied whole
constexpr double kFactorCache = 0.1;     // s; as in the source
constexpr double kStartShare = 1.2;  // x allowance; start of a limit, the first step above it being learned
constexpr double kFloorShare = 1.2;  // x allowance; headroom as copies do not get even parts of a tenant
constexpr double kSparseStart = 4;   // x allowance; chance gives a copy with few calls several times its part
constexpr double kSparseFloor = 0.15;  // x allowance; a jam in work that nothing stops must be let run off
constexpr double kDeepFloorShare = 6;  // x allowance past tier 0: a refusal there wastes the work above it
constexpr double kFloorRate = 2;       // calls/s over all copies; least floor of a limit
constexpr double kReviewPeriod = 1;    // s; least time between changes of a limit, a feedback delay
constexpr double kReviewCalls = 5;     // calls; fewer say nothing about a tenant
constexpr double kBadShare = 0.1;      // of ended calls; above it a limit drops
constexpr double kFineShare = 0.03;    // of ended calls; below it a limit may rise
constexpr double kDrop = 0.75;         // x; one drop of a limit
constexpr double kRise = 0.1;    // of the limit; one rise, for traffic of full worth; less in proportion
constexpr double kInTime = 0.6;  // of the aim; slower answers tell of queues before the aim is missed

constexpr std::size_t kSubset = 8;     // servers at least; enough spread, few connections
constexpr std::size_t kCover = 2;      // copies that use each server, at least: few copies have large subsets
constexpr double kFarPart = 0.25;      // over the price: what the power's excess adds to a far server's draw
constexpr double kZoneChance = 2.5;    // of that power; a zone slower by a quarter may be so by chance
constexpr double kZonePower = 4;       // how strongly the zones' answer times shift that part
constexpr double kZoneAnswers = 30;    // calls; a zone's measure is steadier than one server's
constexpr double kColdBudget = 1.5;    // x its sure capacity: others run at part load, rules allow more
constexpr double kAdmittedMemory = 5;  // s; smoothing of the admitted rate that sizes cold budgets

constexpr double kQueueFactor = 1.5;  // x the usual answer time of an idle tier; longer queues get no call
constexpr double kTierFactor = 1.8;   // x the same for all servers together, whose measure is steadier
constexpr double kStartBase = 0.15;   // of the aim; taken for the usual answer time until it is learned
constexpr double kMostBase = 0.3;     // of the aim; a start under load takes no queue for usual
constexpr double kBaseCalls = 20;     // calls; answers before the usual answer time counts as learned
constexpr double kBaseSettle = 3;     // s; before it the answers are those of the quickest calls only
constexpr double kBaseGain = 0.02;    // weight of one answer
constexpr double kBaseFall = 5;       // s; how fast a quicker tier becomes the usual
constexpr double kBaseRise = 60;      // s; how fast a slower one does: queues must not
constexpr double kLeastRoom = 2;      // calls in flight, over all copies, that any server has room for
constexpr double kFewCalls = 3;  // calls in flight; a copy with fewer at a time is sparse: they tell nothing
constexpr double kTierMemory = 2.5;  // s; smoothing of calls in flight and of answers, all servers together
constexpr double kSparseStartCalls = 1.5;  // and these at the start, fading
constexpr double kSparseSlack = 0.4;       // calls in flight on average, beyond what the answers allow
constexpr double kStartRoom = 6;  // and more at one that has had no time to answer; fades as answers come

constexpr double kSlowPower = 2;     // how strongly slow answers lower a server's part of the draw
constexpr double kPriorAnswers = 2;  // calls; before a server has answered so many it counts as usual by half
constexpr double kQuickest = 0.5;    // x the tier's answer time; a few lucky answers draw no crowd
constexpr double kFailed = 8;  // x the tier's answer time; a call without an answer counts as one so slow
constexpr double kIll = 3;     // x the tier's answer time, from which a server is shunned

constexpr double kLatencyGain = 0.05;  // weight of one sample in the latency estimates
constexpr double kDeviations = 6;      // deviations over the mean before an attempt is given up
constexpr double kRetryShare = 0.2;    // further attempts per first one
constexpr double kRetryBurst = 5;      // further attempts saved up at most
constexpr double kRewatch = 0.5;       // s; first wait before asking for the members again, then doubled
constexpr double kLogPeriod = 5;       // s; least time between two log lines of a kind
constexpr std::uint64_t kWatchTimer = 0;

constexpr double kForever = std::numeric_limits<double>::infinity();

// Which outcomes prove that an attempt never ran. Danger: taking an unknown end for harmless repeats effects.
bool never_ran(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kDialFailed || outcome == Outcome::kNotSent;
}

// The answer time without queues, as a part of the aim: falls soon, rises slowly. Danger: the first answers
// of a start are those of the quickest calls; a bound learned from them starves the tier.
struct IdleTime {
  Estimate usual;
  double base = kStartBase, at = 0;
  bool learned = false;
  void add(double now, double part_of_aim) {
    if (usual.samples == 0) at = now + kBaseSettle;
    usual.add(part_of_aim, kBaseGain);
    if (now < at || usual.samples < kBaseCalls) return;
    if (!learned) base = usual.mean;
    const double step = (now - at) / (usual.mean < base ? kBaseFall : kBaseRise);
    base = std::min(base + (usual.mean - base) * std::min(1.0, step), kMostBase);
    learned = true;
    at = now;
  }
};

struct TenantState {
  explicit TenantState(int buckets) : window(kBucket, buckets, kLastSecondBuckets) {}
  SlidingWindow window;
  double part = 0, limit = kForever, floor = kFloorRate, worth = 1;  // worth: of what exceeds its part
  double factor = 0, factor_until = -kForever;
  double ended = 0, bad = 0, next_review = -kForever;
};

}  // namespace

double suppression_factor(double rate_limit, double window_rate, double last_second_rate) {
  const double perceived = std::max(window_rate, last_second_rate);
  return perceived <= 0 ? 0 : std::clamp(1 - rate_limit / perceived, 0.0, 1.0);
}

// Evenly spaced starts on a ring: any two servers differ by at most one in how many copies use them.
std::vector<std::size_t> subset_of(std::size_t copy_index, std::size_t copy_count, std::size_t servers,
                                   std::size_t size) {
  std::vector<std::size_t> out;
  if (servers == 0 || copy_count == 0) return out;
  const std::size_t start = copy_index * servers / copy_count;
  for (std::size_t i = 0; i < std::min(size, servers); ++i) out.push_back((start + i) % servers);
  return out;
}

class Balancer::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {
    validate(settings);
    settings_.classes.emplace_back();  // what is out of range lands here: unsafe, no aim of its own
    settings_.classes.back().give_up = settings_.classes.back().aim = kForever;
    for (const RequestClass& c : settings_.classes) {
      const double aim = std::min(c.aim, 60.0);
      latency_.push_back({aim / 4, aim / 8, 0});
    }
    for (const RequestClass& c : settings.classes) aim_.add(c.aim, 0);
    for (const Tenant& told : settings_.tenants) share_ += told.allowance.value_or(0) / settings_.copy_count;
    const double buckets = share_ > 0 ? std::round(kWindowCalls / share_ / kBucket) : 0;
    window_ = kBucket * std::clamp<double>(buckets, kLeastBuckets, kMostBuckets);
    settings_.tenants.emplace_back();
    for (const Tenant& told : settings_.tenants) tenants_.push_back(first_limit(told));
  }

  void handle(double now, const Event& event, std::vector<Action>& actions) {
    now_ = now;
    out_ = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
  }

  TenantView view(double now, std::size_t tenant) const {
    const TenantState& t = tenants_[std::min(tenant, tenants_.size() - 1)];
    const SlidingWindow::Sums sums = t.window.sums(now);
    return {t.limit, factor_of(t, sums), sums.total, sums.declined};
  }

 private:
  // ---------------------------------------------------------------- admit?

  TenantState first_limit(const Tenant& told) const {
    TenantState t(static_cast<int>(std::lround(window_ / kBucket)));
    if (told.allowance) {
      const double part = t.part = *told.allowance / settings_.copy_count;
      const bool few = window_ > kBucket * kLeastBuckets;
      t.floor = std::max(kFloorRate / settings_.copy_count, part * (settings_.tier > 0 ? kDeepFloorShare
                                                                    : few              ? kSparseFloor
                                                                                       : kFloorShare));
      t.limit = std::max(t.floor, part * (few ? kSparseStart : kStartShare));
      t.worth = settings_.over_share_worth;
    }
    return t;
  }

  double factor_of(const TenantState& t, const SlidingWindow::Sums& sums) const {
    if (sums.total - sums.declined < t.limit * window_) return 0;
    if (sums.total >= t.limit * window_ * kHardLimitFactor) return 1;
    return suppression_factor(t.limit, sums.total / window_, sums.last_second);
  }

  // The three regimes of the source. The cached factor serves only between the two limits.
  bool admits(TenantState& t) {
    double factor = factor_of(t, t.window.sums(now_));
    if (factor > 0 && factor < 1) {
      if (now_ >= t.factor_until) {
        t.factor = factor;
        t.factor_until = now_ + kFactorCache;
      }
      factor = t.factor;
    }
    const bool admit = random_.unit() >= factor;
    t.window.add(now_, !admit);
    return admit;
  }

  // Learns a tenant's limit from how its calls end. A limit drops once per review at most, since calls that
  // end within a feedback delay were sent under the old one.
  void review(TenantState& t, bool bad) {
    t.ended += 1;
    if (bad) t.bad += 1;
    if (now_ < t.next_review || (t.ended < kReviewCalls && !sparse())) return;
    const SlidingWindow::Sums sums = t.window.sums(now_);
    const double accepted = (sums.total - sums.declined) / window_;
    if (t.bad > kBadShare * t.ended) {
      t.limit = std::max(t.floor, std::min(t.limit, std::max(accepted, t.part)) * kDrop);
    } else if (t.bad <= kFineShare * t.ended && accepted > t.limit / 2) {
      t.limit *= 1 + kRise * (t.limit < kStartShare * t.part ? 1 : t.worth);
    }
    t.ended = t.bad = 0;
    t.next_review = now_ + kReviewPeriod;
  }

  // ---------------------------------------------------------------- who is there?

  void rebuild_subset() {
    ring_.clear();
    std::vector<std::size_t> local, far;
    ready_weight_ = 0;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (servers_[i].told.state != ServerState::kReady) continue;
      ring_.push_back(i);
      ready_weight_ += servers_[i].told.weight;
    }
    std::sort(ring_.begin(), ring_.end(),
              [this](std::size_t a, std::size_t b) { return servers_[a].order < servers_[b].order; });
    for (const std::size_t i : ring_) (servers_[i].told.zone == settings_.zone ? local : far).push_back(i);
    // Danger: with its own zone alone, a zone with more traffic than servers drowns beside an idle one. So a
    // like part of the other zones belongs to the subset, drawn the less for its price.
    stays_ = settings_.cross_zone_price > 0 && !local.empty();
    subset_.clear();
    const std::size_t index = static_cast<std::size_t>(settings_.copy_index);
    const std::size_t count = static_cast<std::size_t>(settings_.copy_count);
    for (const auto* from : stays_ ? std::vector{&local, &far} : std::vector{&ring_}) {
      // Danger: a subset of fixed size leaves servers without any caller where copies are few.
      const std::size_t size = std::max(kSubset, (kCover * from->size() + count - 1) / count);
      for (const std::size_t at : subset_of(index, count, from->size(), size)) subset_.push_back((*from)[at]);
    }
    sharers_ = std::max(1.0, static_cast<double>(count * subset_.size()) / static_cast<double>(ring_.size()));
  }

  // ---------------------------------------------------------------- is it healthy?

  // Calls that may be in flight, over all copies, where nothing is measured yet: it fades as answers come.
  double unmeasured_room(double met_at) const {
    return kLeastRoom + kStartRoom * std::exp((met_at - now_) / kAnsweredMemory);
  }

  double idle_wait() const { return idle_.base * aim_.mean; }

  // Whether a further call would be answered well before its aim: calls in flight against the rate of
  // answers. Danger: a queue longer than the aim serves nobody, and where time-outs stop no work it feeds
  // itself. Danger: many small starts are a crowd; what is not measured is shared out by each copy's dither.
  bool has_room(const ServerNode& s) const {
    if (settings_.tier > 0 || sparse()) return true;  // past tier 0 a refusal wastes what was done above
    return s.in_flight + s.dither <
           unmeasured_room(s.met_at) / sharers_ + kQueueFactor * idle_wait() * s.answered.at(now_);
  }

  // The same for all servers. Danger: calls go where a server's noisy measure is in their favour.
  bool tier_has_room() const {
    if (settings_.tier > 0) return true;
    // Calls in flight on average against the rate of answers tell how long answers take.
    const double room = kTierFactor * idle_wait() * answered_.at(now_);
    if (sparse())
      return in_flight_.mean(now_) <
             kSparseSlack + kSparseStartCalls * std::exp((met_at_ - now_) / kTierMemory) + room;
    const double start = unmeasured_room(met_at_) * static_cast<double>(subset_.size()) / sharers_;
    return in_flight_.level() < 1 + start + room;
  }

  // Whether calls in flight are too few to judge by at one moment. Danger: with one call out on average,
  // three at once are chance; refusing for them sheds a tenth of a calm day.
  bool sparse() const { return std::max(share_, admitted_.at(now_)) * idle_wait() < kFewCalls; }

  // The part of its full capacity that a server is sure to have by now.
  double warmth(const ServerNode& s) const {
    if (s.told.started == 0 || settings_.ramp_time <= 0) return 1;
    const double age = std::max(0.0, now_ - s.told.started);
    return std::min(1.0,
                    settings_.start_capacity + (1 - settings_.start_capacity) * age / settings_.ramp_time);
  }

  // Whether a cold server's budget at this copy has room. Danger: all copies together can push a cold server
  // over; each spends no more than the server's part of its own traffic, scaled to what it can do so far.
  bool budget_allows(ServerNode& s) {
    const double warm = warmth(s);
    if (warm >= 1) return true;
    const double part = admitted_.at(now_) * s.told.weight / ready_weight_;
    s.cold_tokens = std::min(1.0 + part * 0.1,
                             s.cold_tokens + (now_ - s.cold_at) * part * std::min(1.0, warm * kColdBudget));
    s.cold_at = now_;
    return s.cold_tokens >= 1;
  }

  // ---------------------------------------------------------------- which server?

  // How much of the traffic a server should get: its size and what it is worth now.
  double worth_now(const ServerNode& s) const {
    return (is_far(s) ? far_part_ : 1) * s.told.weight * std::min(1.0, warmth(s) * kColdBudget) /
           std::pow(slowness(s), kSlowPower);
  }

  bool is_far(const ServerNode& s) const { return stays_ && s.told.zone != settings_.zone; }

  // Answer time in comparison with the tier's. Calls still out count for as long as they have been: a server
  // that is silent or crowded shows before its calls end. Danger: few answers tell little, old ones nothing.
  double slowness(const ServerNode& s) const {
    const double usual = std::max(tier_answer_.mean, 0.01);
    const double open = (s.in_flight * now_ - s.sent_sum) / std::max(aim_.mean, 0.001);
    const FadingMean::Sum told = s.answers.at(now_);
    return std::max((kPriorAnswers * usual + told.sum + open) / ((kPriorAnswers + told.weight) * usual),
                    kQuickest);
  }

  // Danger: a copy with nothing in flight would always take the larger of two; so size counts in the draw.
  std::size_t draw() {
    double at = random_.unit() * choice_worth_;
    std::size_t i = 0;
    while (i + 1 < choice_.size() && (at -= choice_[i].second) >= 0) ++i;
    return i;
  }

  bool in_scope(const Pending& p, const ServerNode& s) const {
    const RequestClass& c = settings_.classes[p.request_class];
    for (const Attempt& a : p.attempts) {
      if (!a.may_have_run || c.effect == Effect::kSafe) continue;
      if (c.effect == Effect::kUnsafe || now_ > a.sent + c.dedup_window) return false;
      if (c.dedup_scope == DedupScope::kZone && a.zone != s.told.zone) return false;
      if (c.dedup_scope == DedupScope::kCell && a.cell != s.told.cell) return false;
    }
    return true;
  }

  // Gathers the servers of `from` that may be used; returns whether they are enough to choose from.
  bool gather(const std::vector<std::size_t>& from, const Pending& p, bool only_healthy, bool only_untried) {
    choice_.clear();
    choice_worth_ = 0;
    const FadingMean::Sum near = near_.at(now_), far = far_.at(now_);
    const double hoped = idle_.base / std::max(tier_answer_.mean, idle_.base);  // of zones not tried lately
    const double better = (near.sum + 1) * (far.weight + 1) / ((far.sum + hoped) * (near.weight + 1));
    far_part_ =
        kFarPart * std::max(0.0, std::pow(better, kZonePower) - kZoneChance) / settings_.cross_zone_price;
    for (const std::size_t i : from) {
      ServerNode& s = servers_[i];
      if (only_healthy && slowness(s) >= kIll) continue;
      if (!has_room(s) || (only_untried && p.tried(s.order))) continue;
      if (!in_scope(p, s) || !budget_allows(s)) continue;
      choice_.emplace_back(i, worth_now(s));
      choice_worth_ += choice_.back().second;
    }
    return !choice_.empty();
  }

  // The less busy of two random members of the subset. Where the subset has too few that are well, all
  // servers stand in; where none is well the cause is shared and health does not count.
  std::optional<std::size_t> pick(const Pending& p) {
    if (!tier_has_room()) return std::nullopt;
    const bool found = (gather(subset_, p, true, true) && choice_.size() * 2 >= subset_.size()) ||
                       gather(ring_, p, true, true) || gather(ring_, p, false, true) ||
                       gather(ring_, p, false, false);
    if (!found) return std::nullopt;
    const auto [a, worth_a] = choice_[draw()];
    const auto [b, worth_b] = choice_[draw()];
    return servers_[b].in_flight * worth_a < servers_[a].in_flight * worth_b ? b : a;
  }

  // ---------------------------------------------------------------- how long?

  // An attempt may run until the answer is worthless, or until it is clearly late while another can follow.
  double timeout(const Pending& p) const {
    const double left = p.useful_until - now_;
    const Estimate& usual = latency_[p.request_class];
    const double longest = usual.mean + kDeviations * usual.deviation;
    const bool can_repeat = settings_.classes[p.request_class].effect != Effect::kUnsafe &&
                            p.attempts.size() + 1 < static_cast<std::size_t>(settings_.max_attempts);
    return can_repeat && left - longest > usual.mean ? longest : left;
  }

  // ---------------------------------------------------------------- again?

  bool worth_another(const Pending& p) const {
    return !p.streaming && p.attempts.size() < static_cast<std::size_t>(settings_.max_attempts) &&
           retry_tokens_ >= 1 && p.useful_until - now_ > latency_[p.request_class].mean / 2;
  }

  // A refusal promises that a repeat is harmless: only when nothing can have run, or repeats are dropped.
  bool may_refuse(const Pending& p) const {
    const RequestClass& c = settings_.classes[p.request_class];
    if (c.effect == Effect::kSafe) return true;
    if (c.effect == Effect::kKeyed && c.dedup_scope == DedupScope::kAll) return true;
    return !p.may_have_run();
  }

  // ---------------------------------------------------------------- doing it

  bool send(const std::string& id, Pending& p) {
    const std::optional<std::size_t> server = pick(p);
    if (!server) return false;
    ServerNode& s = servers_[*server];
    const double limit = timeout(p);
    if (limit <= 0) return false;
    retry_tokens_ =
        p.attempts.empty() ? std::min(kRetryBurst, retry_tokens_ + kRetryShare) : retry_tokens_ - 1;
    if (warmth(s) < 1) s.cold_tokens -= 1;
    s.in_flight += 1;
    s.sent_sum += now_;
    in_flight_.change(now_, 1);
    p.attempts.push_back({*server, s.order, s.told.zone, s.told.cell, now_, true, true});
    out_->push_back(Send{id, s.told.address, limit});
    return true;
  }

  void answer_unserved(const std::string& id, Pending& p) {
    out_->push_back(may_refuse(p) ? Action{Refuse{id, settings_.max_retry_after / 2}} : Action{Fail{id}});
    p.finished = true;
  }

  void note_shed(int& count) {
    if (denied_ + unplaced_ == 0) next_log_ = now_ + kLogPeriod;  // one line for what is shed in a period
    if (++count; now_ < next_log_) return;
    out_->push_back(LogLine{"shedding: " + std::to_string(denied_) + " over their tenant's limit, " +
                            std::to_string(unplaced_) + " without a server with room"});
    denied_ = unplaced_ = 0;
  }

  void cancel_open(const std::string& id, const Pending& p) {
    if (!settings_.can_cancel || p.streaming) return;
    for (std::size_t i = 0; i < p.attempts.size(); ++i) {
      if (p.attempts[i].open) out_->push_back(Cancel{id, static_cast<int>(i)});
    }
  }

  // ---------------------------------------------------------------- events

  void on(const Started&) {
    if (settings_.must_watch) out_->push_back(WatchMembers{});
  }

  void on(const Request& r) {
    if (pending_.contains(r.id)) return;
    const std::size_t tenant = std::min(r.tenant, tenants_.size() - 1);
    if (!admits(tenants_[tenant])) {
      out_->push_back(Refuse{r.id, settings_.max_retry_after / 2});
      note_shed(denied_);
      return;
    }
    admitted_.add(now_);
    Pending& p = pending_[r.id];
    p.tenant = tenant;
    p.request_class = std::min(r.request_class, settings_.classes.size() - 1);
    const RequestClass& c = settings_.classes[p.request_class];
    if (std::isfinite(c.aim)) aim_.add(std::min(c.aim, c.give_up), kLatencyGain);
    const double aim = std::min(c.aim + c.aim_stretch * r.work.value_or(0), c.give_up);
    const double useful = c.late_worth > 0 ? r.time_left : std::min(r.time_left, aim - 2 * settings_.tick);
    p.useful_until = now_ + useful;
    if (send(r.id, p)) return;
    if (!sparse()) review(tenants_[tenant], true);
    note_shed(unplaced_);
    answer_unserved(r.id, p);
    pending_.erase(r.id);
  }

  void on(const AttemptResult& r) {
    const auto it = pending_.find(r.id);
    if (it == pending_.end()) return;
    Pending& p = it->second;
    if (r.attempt < 0 || static_cast<std::size_t>(r.attempt) >= p.attempts.size()) return;
    Attempt& a = p.attempts[static_cast<std::size_t>(r.attempt)];
    if (!a.open) return;
    a.open = false;
    a.may_have_run = !never_ran(r.outcome);
    ServerNode& s = servers_[a.server];
    s.in_flight -= 1;
    s.sent_sum -= a.sent;
    in_flight_.change(now_, -1);
    learn_from(p, s, r);
    if (r.request_done && !p.finished) {
      p.finished = true;
      cancel_open(r.id, p);
    }
    if (!p.finished && !p.any_open() && !(worth_another(p) && send(r.id, p))) answer_unserved(r.id, p);
    if (p.finished && !p.any_open()) pending_.erase(it);
  }

  void learn_from(const Pending& p, ServerNode& s, const AttemptResult& r) {
    const bool was_well = slowness(s) < kIll;
    if (r.outcome == Outcome::kCancelled || r.outcome == Outcome::kNotSent) return;
    const bool answered = r.outcome == Outcome::kDelivered;
    const double aim = settings_.classes[p.request_class].aim;
    const double part_of_aim = aim > 0 ? r.elapsed / aim : 0;
    if (answered) {
      s.answered.add(now_);
      answered_.add(now_);
      idle_.add(now_, part_of_aim);
    }
    if (answered || r.outcome == Outcome::kTimedOut) {
      latency_[p.request_class].add(r.elapsed, kLatencyGain);
      tier_answer_.add(part_of_aim, kLatencyGain);
    }
    if (r.outcome != Outcome::kRejected) {
      const double took = answered ? part_of_aim : std::max(part_of_aim, kFailed * tier_answer_.mean);
      s.answers.add(now_, took);
      (is_far(s) ? far_ : near_).add(now_, std::min(took / std::max(tier_answer_.mean, 0.01), kIll));
    }
    const bool bad = !answered || part_of_aim > kInTime;
    if (was_well || !bad) review(tenants_[p.tenant], bad);  // one sick server is no reason to cut a tenant
  }

  void on(const AnswerStarted& r) {
    const auto it = pending_.find(r.id);
    if (it != pending_.end()) it->second.streaming = true;
  }

  void on(const RequestGone& r) {
    const auto it = pending_.find(r.id);
    if (it == pending_.end()) return;
    if (!it->second.finished) cancel_open(r.id, it->second);
    it->second.finished = true;
    if (!it->second.any_open()) pending_.erase(it);
  }

  void on(const MembershipUpdate& update) {
    if (update.form == MembershipUpdate::Form::kFailed) {
      if (!settings_.must_watch) return;
      const double most = settings_.ask_within > 0 ? settings_.ask_within / 2 : 5;
      out_->push_back(SetTimer{now_ + std::min(rewatch_, most) * (0.5 + random_.unit() / 2), kWatchTimer});
      rewatch_ = std::min(rewatch_ * 2, most);
      return;
    }
    rewatch_ = kRewatch;
    met_at_ = std::min(met_at_, now_);
    if (update.form == MembershipUpdate::Form::kFull) {
      servers_.all_gone();  // what a full list lacks is gone
    }
    for (const Server& told : update.servers) servers_.learn(told, now_, random_);
    servers_.forget_gone();
    rebuild_subset();
  }

  void on(const TimerFired& timer) {
    if (timer.token == kWatchTimer && settings_.must_watch) out_->push_back(WatchMembers{});
  }

  Settings settings_;
  Random random_;
  double now_ = 0;
  std::vector<Action>* out_ = nullptr;
  std::vector<TenantState> tenants_;
  double share_ = 0;  // calls/s within the allowances that this copy may expect
  double window_ = kBucket * kLeastBuckets;
  Estimate aim_;                   // of the calls that come
  Estimate tier_answer_;           // answer time of the tier, as a part of the aim
  IdleTime idle_;                  // of the tier
  std::vector<Estimate> latency_;  // by class
  Members servers_;
  std::vector<std::size_t> ring_, subset_;
  std::vector<std::pair<std::size_t, double>> choice_;  // servers to choose from, with their worth now
  double choice_worth_ = 0;
  bool stays_ = false;  // calls to other zones cost more
  FadingMean near_{kAnswerMemory, kZoneAnswers}, far_{kAnswerMemory, kZoneAnswers};  // answer times
  double far_part_ = 0;
  double ready_weight_ = 0, sharers_ = 1;  // sharers: copies that use the same server
  FadingRate admitted_{kAdmittedMemory}, answered_{kTierMemory};
  FadingLevel in_flight_{kTierMemory};
  double met_at_ = kForever;
  double retry_tokens_ = kRetryBurst;
  double rewatch_ = kRewatch;
  int denied_ = 0, unplaced_ = 0;  // since the last log line
  double next_log_ = kForever;
  std::unordered_map<std::string, Pending> pending_;  // looked up, never walked: order would not be stable
};

Balancer::Balancer(const Settings& s, std::uint64_t seed) : impl_(std::make_unique<Impl>(s, seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(double now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

TenantView Balancer::tenant(double now, std::size_t tenant) const { return impl_->view(now, tenant); }

}  // namespace quinceusher
