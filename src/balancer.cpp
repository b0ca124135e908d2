// Implements the public Balancer (include/quinceusher/balancer.h). The functions follow a request: admission,
// subset, cold servers, server choice, timeouts, retries, then the event handlers.
#include "quinceusher/balancer.h"

#include <array>
#include <cmath>
#include <unordered_map>

#include "admission/tenant_limit.h"
#include "answer_progress.h"
#include "capacity.h"
#include "server_table.h"
#include "support.h"

namespace quinceusher {
namespace {

constexpr double kMinBucket = 0.1;  // seconds per bucket of a window, at least: a tenth of the short rate's
constexpr int kMinBuckets = 15;  // buckets of the shortest window: 1.5 s of the limit pass at once if empty
constexpr int kMaxBuckets = 80;  // buckets of a window; beyond 8 s the buckets become larger
constexpr double kMaxWindow = 600;  // seconds in the longest window; calls that are rarer can't be counted
constexpr double kMinAcceptedCalls = 10;   // accepted calls per window: so few occur by chance at any limit
constexpr double kTargetWindowCalls = 15;  // calls per window, where possible: with fewer its rate is noise
constexpr int kLastSecondBuckets = 10;     // buckets of the short rate: 1000 ms, as in the source algorithm
constexpr double kHardLimitFactor = 20;  // x the limit: all is denied; denied calls count, so only in floods
constexpr double kFactorCache = 0.1;  // seconds that a suppression factor is kept: as in the source algorithm
constexpr double kInitialLimitFactor = 1.2;  // x the tenant's share: initial limit, and end of its fast rise
constexpr double kFloorFactor = 1.2;  // x the tenant's share: lowest limit, as its calls spread unevenly
constexpr double kSparseInitialFactor = 4;   // x the share: initial limit for few calls, which come in groups
constexpr double kSparseFloorFactor = 0.15;  // x the share: lowest limit for few calls; a backlog must drain
constexpr double kInnerFloorFactor = 6;  // x the share: lowest limit past tier 0, where a refusal wastes work
constexpr double kMinFloorRate = 2;      // calls/s over all balancers: lowest limit of any tenant
constexpr double kCrowding = 0.05;  // fraction of admitted calls: more beyond the shares crowd others out
constexpr double kInTime = 0.6;     // fraction of the aim: a slower answer counts as bad, as it shows a queue

constexpr std::size_t kMinSubsetSize = 8;  // servers per subset, at least: enough spread, few connections
constexpr std::size_t kMinBalancers = 2;   // balancers per server, at least: few balancers have large subsets
constexpr double kRemoteWeightFactor = 0.25;  // x (excess over kZoneNoise / price): other zones' weight
constexpr double kZoneNoise = 2.5;   // (latency ratio)^kZoneExponent within chance: a zone a quarter slower
constexpr double kZoneExponent = 4;  // power of the zones' latency ratio that sets the other zones' weight
constexpr double kZoneSamples = 30;  // calls in a zone's mean latency, which is steadier than one server's
constexpr double kColdBudgetFactor = 1.5;  // x the sure capacity of a cold server: others run at part load
constexpr double kManyColdFactor = 2;  // x a cold server's sure capacity if most servers are cold but quick
constexpr double kColdCheckSeconds = 0.25;  // seconds between checks of how much of the tier is cold
constexpr double kRateMemory = 5;  // seconds of smoothing of the rates that size the budgets of cold servers

constexpr double kPriorAnswers = 2;    // answers assumed at the tier's latency: as many real ones weigh half
constexpr double kMinLatency = 0.5;    // x the tier's latency: lowest estimate; lucky answers draw no crowd
constexpr double kFailureLatency = 8;  // x the tier's latency: what a call without an answer counts as
constexpr double kUnhealthyRatio = 3;  // x the tier's latency: a server this slow is avoided

constexpr double kDedupWindowFraction = 0.95;  // fraction of a dedup window to send in; the rest is transit
constexpr double kLateDeviations = 6;      // deviations above the mean latency from which an attempt is late
constexpr double kMinLateFraction = 0.05;  // fraction of the aim before which no attempt counts as late
constexpr double kMaxLateAim = 60;  // seconds: cap on the aim for kMinLateFraction, as an aim may be infinite
constexpr double kRetryBudgetRatio = 0.2;  // retries earned per first attempt
constexpr double kMaxRetryBudget = 5;      // retries that can be saved up
constexpr double kRedialBudgetRatio = 1;   // retries per first attempt where nothing ran: these burden nobody
constexpr double kMaxRedialBudget = 20;    // retries that can be saved up for attempts of which nothing ran
constexpr std::size_t kMaxFullScan = 32;   // servers: up to so many are all examined for a choice
constexpr std::size_t kMaxSamples = 16;  // servers examined at random where there are more than kMaxFullScan
constexpr std::size_t kEnoughFound = 4;  // usable servers that end a random search
constexpr double kMinBackoff = 0.5;  // seconds before the first retry of the watch; doubles with each failure
// Most seconds between watch retries: lists count as known after 6, a call takes 2; less floods discovery.
constexpr double kMaxBackoff = 4;
constexpr std::uint64_t kWatchTimer = 0;  // token of the timer that retries the watch

constexpr double kInfinity = std::numeric_limits<double>::infinity();

struct TenantState : LearnedLimit {
  TenantWindow window;
  double window_since = 0;  // the window has held calls without a break since then
};

}  // namespace

class Balancer::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed)
      : settings_(settings), random_(seed), capacity_(settings.tier == 0), servers_(settings.zone) {
    validate(settings);
    settings_.classes.emplace_back();  // for indexes out of range: unsafe, no aim of its own
    settings_.classes.back().give_up = settings_.classes.back().aim = kInfinity;
    for (const RequestClass& c : settings_.classes) {
      const double aim = std::min(aim_of(c), 60.0);
      latency_.push_back({aim / 4, aim / 8, 0});
    }
    for (const RequestClass& c : settings.classes) capacity_.add_initial_aim(aim_of(c));
    for (const Tenant& t : settings_.tenants) allowed_rate_ += t.allowance.value_or(0) / settings_.copy_count;
    const double seconds = allowed_rate_ > 0 ? std::min(kTargetWindowCalls / allowed_rate_, kMaxWindow) : 0;
    bucket_s_ = std::max(kMinBucket, seconds / kMaxBuckets);
    bucket_count_ = std::clamp(static_cast<int>(std::lround(seconds / bucket_s_)), kMinBuckets, kMaxBuckets);
    window_s_ = bucket_s_ * bucket_count_;
    settings_.tenants.emplace_back();
    for (const Tenant& tenant : settings_.tenants) tenants_.push_back(initial_tenant_state(tenant));
  }

  void handle(double now, const Event& event, std::vector<Action>& actions) {
    now_ = now;
    actions_ = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
  }

  TenantView view(double now, std::size_t tenant) const {
    const TenantState& t = tenants_[std::min(tenant, tenants_.size() - 1)];
    const SlidingWindow::Sums sums = t.window.sums(now);
    return {t.limit, TenantWindow::suppression(parameters(), t.limit, sums), sums.total, sums.declined};
  }

 private:
  TenantState initial_tenant_state(const Tenant& tenant) const {
    TenantState t{{.floor = kMinFloorRate}, TenantWindow(bucket_s_, bucket_count_, kLastSecondBuckets)};
    if (tenant.allowance) {
      const double share = t.share = *tenant.allowance / settings_.copy_count;
      const bool sparse = window_s_ > kMinBucket * kMinBuckets;
      t.floor = std::max(kMinFloorRate / settings_.copy_count, share * (settings_.tier > 0 ? kInnerFloorFactor
                                                                        : sparse ? kSparseFloorFactor
                                                                                 : kFloorFactor));
      t.limit = std::max(t.floor, share * (sparse ? kSparseInitialFactor : kInitialLimitFactor));
      t.over_share_worth = settings_.over_share_worth;
    } else if (settings_.tenants.size() == 1 || settings_.tier > 0) {
      t.floor = kInfinity;  // nobody to be fair to, or a refusal wastes work: only capacity limits
    }
    return t;
  }

  SuppressionParameters parameters() const {
    return {window_s_, kLastSecondBuckets * bucket_s_, kMinAcceptedCalls, kHardLimitFactor, kFactorCache};
  }

  bool admits(TenantState& t) {
    if (t.window.sums(now_).total == 0) t.window_since = now_;
    return t.window.admit(now_, parameters(), t.limit, random_);
  }

  // Whether a call is within its tenant's share; a random choice above it. The other calls are refused first.
  bool is_within_share(const TenantState& t) {
    const SlidingWindow::Sums sums = t.window.sums(now_);
    const double accepted = sums.total - sums.declined, share = t.share * window_s_;
    return share <= 0 || accepted <= share + std::sqrt(share) || random_.unit() * accepted < share;
  }

  // Adjusts a tenant's limit by how its calls end.
  void review(TenantState& t, bool bad) {
    if (!t.count_ended(now_, bad, capacity_.is_sparse(now_))) return;
    // Without a configured share, a window that is not full yet would give a limit near 0.
    if (t.share == 0 && now_ - t.window_since < window_s_) return;
    const SlidingWindow::Sums sums = t.window.sums(now_);
    const bool crowded_out = over_share_rate_.at(now_) > kCrowding * admitted_rate_.at(now_);
    t.review(now_, (sums.total - sums.declined) / window_s_,
             crowded_out ? std::max(t.floor, t.share) : t.floor, kInitialLimitFactor);
  }

  // The subset grows where balancers are few: a fixed size would leave servers without any caller.
  RingRange subset_on(const Ring& ring) const {
    const std::size_t index = static_cast<std::size_t>(settings_.copy_index);
    const std::size_t count = static_cast<std::size_t>(settings_.copy_count);
    const std::size_t size = std::max(kMinSubsetSize, (kMinBalancers * ring.size() + count - 1) / count);
    return {&ring, index * ring.size() / count, std::min(size, ring.size())};
  }

  void update_subset() {
    const Ring& all = servers_.ready_ring();
    // With its own zone alone, a zone with more traffic than servers would be overloaded beside an idle one.
    // So a like share of the other zones belongs to the subset, at a weight reduced by the price of crossing.
    prefers_own_zone_ = settings_.cross_zone_price > 0 && servers_.own_ring().size() > 0;
    subset_[0] = subset_on(prefers_own_zone_ ? servers_.own_ring() : all);
    subset_[1] = prefers_own_zone_ ? subset_on(servers_.remote_ring()) : RingRange{};
    subset_scale_ = static_cast<double>(all.size()) / std::max(1.0, static_cast<double>(subset_size()));
    const double callers = static_cast<double>(settings_.copy_count) * static_cast<double>(subset_size());
    server_sharers_ = std::max(1.0, callers / std::max(1.0, static_cast<double>(all.size())));
  }

  std::size_t subset_size() const { return subset_[0].size + subset_[1].size; }
  std::size_t subset_slot(std::size_t i) const {
    return i < subset_[0].size ? subset_[0].at(i) : subset_[1].at(i - subset_[0].size);
  }

  // The fraction of its full capacity that a server is sure to have by now.
  double warm_fraction(const ServerRecord& s) const {
    if (s.info.started == 0 || settings_.ramp_time <= 0) return 1;
    const double age = std::max(0.0, now_ - s.started);
    return std::min(1.0,
                    settings_.start_capacity + (1 - settings_.start_capacity) * age / settings_.ramp_time);
  }

  // How far a cold server may be loaded beyond its sure capacity. Where most servers are cold, as after a
  // power cut, there are no others to use; they get more as long as answers are quick.
  double cold_budget_factor() {
    if (now_ >= next_cold_check_) {
      next_cold_check_ = now_ + kColdCheckSeconds;
      double cold = 0;
      const Ring& all = servers_.ready_ring();
      for (std::size_t i = 0; i < all.size(); ++i) {
        if (warm_fraction(servers_[all.at(i)]) < 1) cold += servers_[all.at(i)].info.weight;
      }
      many_cold_ = cold * 2 > servers_.ready_weight();
    }
    return many_cold_ && capacity_.answers_quickly(now_) ? kManyColdFactor : kColdBudgetFactor;
  }

  // Calls per second, corrected for the short time that a balancer has counted after its start.
  double corrected_rate(const DecayingRate& rate) const {
    return rate.at(now_) / -std::expm1((first_list_at_ - now_ - kMinBucket) / kRateMemory);
  }

  // Whether this balancer may send a call to a cold server. All balancers together can overload one, so each
  // spends at most the server's share of its own traffic, scaled to what the server can do so far.
  bool has_cold_budget(ServerRecord& s) {
    const double warm = warm_fraction(s);
    if (warm >= 1) return true;
    // In an overload more is admitted than can be served, so the rate of sent calls counts if it is lower.
    // Where most servers are cold, only the admitted rate tells how much that could be.
    const bool in_subset = subset_[is_remote(s) ? 1 : 0].contains(s.ring_key);
    const double rate = in_subset && !many_cold_
                            ? std::min(corrected_rate(admitted_rate_), corrected_rate(sent_rate_))
                            : corrected_rate(admitted_rate_);
    const double share = rate * s.info.weight / recent_max_weight_ * (in_subset ? subset_scale_ : 1);
    s.cold_tokens =
        std::min(1.0 + share * 0.1, s.cold_tokens + (now_ - s.cold_tokens_at) * share *
                                                        std::min(1.0, warm * cold_budget_factor()));
    s.cold_tokens_at = now_;
    return s.cold_tokens >= 1;
  }

  // The server's share of the traffic: its size, scaled by its present state.
  double effective_weight(const ServerRecord& s, double latency) const {
    return (is_remote(s) ? remote_weight_ : 1) * s.info.weight *
           std::min(1.0, warm_fraction(s) * (many_cold_ ? kManyColdFactor : kColdBudgetFactor)) *
           s.health.ramp(now_) / (latency * latency);
  }

  // A class without an aim is useful until its clients give up.
  static double aim_of(const RequestClass& c) { return c.aim > 0 ? c.aim : std::max(c.give_up, 1e-3); }

  bool is_remote(const ServerRecord& s) const { return prefers_own_zone_ && s.info.zone != settings_.zone; }

  // Latency relative to the tier's. Calls in flight count with their age, so that a silent or crowded server
  // shows before they end. Few answers count for little, and old ones fade.
  double relative_latency(const ServerRecord& s) const {
    const double open_time =
        (s.in_flight * now_ - s.send_time_sum) / (capacity_.aim() * capacity_.typical_latency());
    const DecayingMean::Sum recent = s.latency.at(now_);
    return std::max((kPriorAnswers + recent.sum + open_time) / (kPriorAnswers + recent.weight), kMinLatency);
  }

  // Whether only a group of servers, which drop each other's repeats, may get the request.
  bool needs_dedup_group(const Pending& p) const {
    return settings_.classes[p.request_class].effect == Effect::kKeyed && p.may_have_run();
  }

  bool in_dedup_scope(const Pending& p, const ServerRecord& s) const {
    if (!needs_dedup_group(p)) return true;
    const DedupScope scope = settings_.classes[p.request_class].dedup_scope;
    return std::none_of(p.attempts.begin(), p.attempts.end(), [&](const Attempt& a) {
      return a.may_have_run && ((scope == DedupScope::kZone && a.zone != s.info.zone) ||
                                (scope == DedupScope::kCell && a.cell != s.info.cell));
    });
  }

  // Seconds within which the request must reach a server: later, what may have run would run again.
  double seconds_to_send(const Pending& p) const {
    const RequestClass& c = settings_.classes[p.request_class];
    const double window = c.effect == Effect::kKeyed ? c.dedup_window * kDedupWindowFraction : -kInfinity;
    double out = kInfinity;
    for (const Attempt& a : p.attempts) {
      if (a.may_have_run && c.effect != Effect::kSafe) out = std::min(out, a.sent_at + window - now_);
    }
    return out;
  }

  bool usable(const Pending& p, ServerRecord& s, bool only_untried) {
    if (!capacity_.fits_server(now_, s, server_sharers_) || (only_untried && p.tried(s.ring_key)))
      return false;
    return in_dedup_scope(p, s) && has_cold_budget(s);
  }

  // Collects usable servers of the `size` that `at` yields, or of a sample; returns whether half were usable.
  template <class At>
  bool collect(std::size_t size, At&& at, const Pending& p, bool only_healthy, bool only_untried) {
    candidates_.clear();
    const auto visit = [&](std::size_t slot) {
      ServerRecord& s = servers_[slot];
      if (s.health.ejected) return;
      const double latency = relative_latency(s);
      if ((only_healthy && latency >= kUnhealthyRatio) || !usable(p, s, only_untried)) return;
      candidates_.add(slot, effective_weight(s, latency));
    };
    std::size_t seen = 0;
    // A random sample would hardly find a server of a dedup group.
    if (size <= kMaxFullScan || needs_dedup_group(p)) {
      for (; seen < size; ++seen) visit(at(seen));
    } else {
      for (; seen < kMaxSamples && candidates_.size() < kEnoughFound; ++seen) visit(at(random_.below(size)));
    }
    return candidates_.size() * 2 >= seen;
  }

  // Fallback to the whole tier. In a large one only servers that are not ejected, as these may be rare.
  bool collect_all(const Pending& p, bool only_healthy, bool only_untried) {
    const Ring& ring = servers_.ready_ring();
    const auto& healthy = servers_.healthy();
    const bool scan_all = ring.size() <= kMaxFullScan || needs_dedup_group(p);
    const auto at = [&](std::size_t i) { return scan_all ? ring.at(i) : healthy[i]; };
    collect(scan_all ? ring.size() : healthy.size(), at, p, only_healthy, only_untried);
    return !candidates_.empty();
  }

  // Adapts the weight of servers in other zones to the zones' latencies. One not tried lately counts as idle.
  void update_remote_weight() {
    if (!prefers_own_zone_) return;
    const DecayingMean::Sum own = own_latency_.at(now_), remote = remote_latency_.at(now_);
    const double best =
        capacity_.idle_latency() / std::max(capacity_.mean_latency(), capacity_.idle_latency());
    const double ratio = (own.sum + 1) * (remote.weight + 1) / ((remote.sum + best) * (own.weight + 1));
    remote_weight_ = kRemoteWeightFactor * std::max(0.0, std::pow(ratio, kZoneExponent) - kZoneNoise) /
                     settings_.cross_zone_price;
  }

  // Power of two choices within the subset. Where too few members are healthy, the whole tier serves instead;
  // where none is, the cause is shared and health is ignored.
  std::optional<std::size_t> pick_server(const Pending& p) {
    const double size = static_cast<double>(subset_size());
    if (!capacity_.fits_tier(now_, aim_of(settings_.classes[p.request_class]), p.within_share, size,
                             server_sharers_, random_))
      return std::nullopt;
    update_remote_weight();
    const auto from_subset = [this](std::size_t i) { return subset_slot(i); };
    const bool found = (collect(subset_size(), from_subset, p, true, true) && !candidates_.empty()) ||
                       collect_all(p, true, true) || collect_all(p, false, true) ||
                       collect_all(p, false, false);
    if (!found) return std::nullopt;
    // Size counts in the draw: with nothing in flight the larger of two would always win a comparison.
    const auto [a, weight_a] = candidates_.draw(random_);
    const auto [b, weight_b] = candidates_.draw(random_);
    return servers_[b].in_flight * weight_a < servers_[a].in_flight * weight_b ? b : a;
  }

  // Whether all servers are ejected, except the few that never are, and those are avoided.
  bool none_healthy() const {
    const auto& healthy = servers_.healthy();
    return healthy.size() <= kHealthyDivisor &&
           std::all_of(healthy.begin(), healthy.end(),
                       [this](std::size_t slot) { return servers_[slot].health.avoided; });
  }

  // An ejected server that is due for a probe, for a first attempt or where no server is healthy.
  std::optional<std::size_t> probe(const Pending& p) {
    if (!p.attempts.empty() && !none_healthy()) return std::nullopt;
    const bool repeatable = settings_.classes[p.request_class].effect != Effect::kUnsafe;
    const auto find = [this](std::size_t slot) {
      return servers_[slot].listed ? &servers_[slot].health : nullptr;
    };
    const auto allowed = [this, &p](std::size_t slot) {
      return in_dedup_scope(p, servers_[slot]) && has_cold_budget(servers_[slot]);
    };
    return outliers_.probe(repeatable, none_healthy(), now_, find, allowed);
  }

  // Seconds after which an attempt is clearly late. Not too soon: with quick servers, a busy moment of this
  // process makes a thousand attempts late at once, and each retry is work done twice.
  double late_after(const Pending& p) const {
    const RunningEstimate& latency = latency_[p.request_class];
    const double min_late = kMinLateFraction * std::min(settings_.classes[p.request_class].aim, kMaxLateAim);
    return std::max(latency.mean + kLateDeviations * latency.deviation, min_late);
  }

  bool can_repeat(const Pending& p, std::size_t attempts) const {
    return settings_.classes[p.request_class].effect != Effect::kUnsafe &&
           attempts < static_cast<std::size_t>(settings_.max_attempts);
  }

  // An attempt may run while its answer is useful, or until it is clearly late while another can follow.
  double timeout(const Pending& p) const {
    const double remaining = p.useful_until - now_, late = late_after(p);
    const bool time_for_another = remaining - late > latency_[p.request_class].mean;
    return can_repeat(p, p.attempts.size() + 1) && time_for_another ? late : remaining;
  }

  bool may_retry(const Pending& p) const {
    return !p.streaming && p.attempts.size() < static_cast<std::size_t>(settings_.max_attempts) &&
           (p.nothing_ran ? redial_tokens_ : retry_tokens_) >= 1 &&
           p.useful_until - now_ > latency_[p.request_class].mean / 2;
  }

  // A refusal promises that a repeat is harmless at any time, while servers drop repeats only for a time.
  bool may_refuse(const Pending& p) const {
    return settings_.classes[p.request_class].effect == Effect::kSafe || !p.may_have_run();
  }

  bool send(const std::string& id, Pending& p) {
    const double limit = timeout(p), within = seconds_to_send(p);
    if (limit <= 0 || within <= 0) return false;
    std::optional<std::size_t> server = probe(p);
    if (!server && !(server = pick_server(p))) return false;
    ServerRecord& s = servers_[*server];
    if (p.attempts.empty()) {
      retry_tokens_ = std::min(kMaxRetryBudget, retry_tokens_ + kRetryBudgetRatio);
      redial_tokens_ = std::min(kMaxRedialBudget, redial_tokens_ + kRedialBudgetRatio);
    } else {
      (p.nothing_ran ? redial_tokens_ : retry_tokens_) -= 1;
    }
    if (warm_fraction(s) < 1) s.cold_tokens -= 1;
    s.outstanding += 1;
    s.in_flight += 1;
    s.send_time_sum += now_;
    capacity_.on_sent(now_);
    sent_rate_.add(now_);
    s.meter.on_sent(now_);
    p.attempts.push_back({*server, s.ring_key, s.info.zone, s.info.cell, s.info.started, now_, true, true});
    actions_->push_back(Send{id, s.info.address, limit, within});
    return true;
  }

  void refuse_or_fail(const std::string& id, Pending& p) {
    actions_->push_back(may_refuse(p) ? Action{Refuse{id, settings_.max_retry_after / 2}} : Action{Fail{id}});
    p.finished = true;
  }

  void count_shed(int& count) {
    const int all = static_cast<int>(servers_.ready_ring().size());
    shedding_.count_shed(count, now_, all - static_cast<int>(servers_.healthy().size()), all, *actions_);
  }

  void cancel_open(const std::string& id, const Pending& p) {
    if (!settings_.can_cancel || p.streaming) return;
    for (std::size_t i = 0; i < p.attempts.size(); ++i) {
      if (p.attempts[i].open) actions_->push_back(Cancel{id, static_cast<int>(i)});
    }
  }

  void on(const Started&) {
    if (settings_.must_watch) actions_->push_back(WatchMembers{});
  }

  void on(const Request& r) {
    if (pending_.contains(r.id)) return;
    const std::size_t tenant = std::min(r.tenant, tenants_.size() - 1);
    if (!admits(tenants_[tenant])) {
      actions_->push_back(Refuse{r.id, settings_.max_retry_after / 2});
      count_shed(shedding_.denied);
      return;
    }
    admitted_rate_.add(now_);
    Pending& p = pending_[r.id];
    p.within_share = is_within_share(tenants_[tenant]);
    if (!p.within_share) over_share_rate_.add(now_);
    p.tenant = tenant;
    p.request_class = std::min(r.request_class, settings_.classes.size() - 1);
    const RequestClass& c = settings_.classes[p.request_class];
    if (std::isfinite(c.aim)) capacity_.on_request(std::min(aim_of(c), c.give_up));
    const double aim = std::min(aim_of(c) + c.aim_stretch * r.work.value_or(0), c.give_up);
    const double useful = c.late_worth > 0 ? r.time_left : std::min(r.time_left, aim - 2 * settings_.tick);
    p.useful_until = now_ + useful;
    if (send(r.id, p)) return;
    // Without a configured share, a balancer's own refusals would push the tenant's limit down.
    if (!capacity_.is_sparse(now_) && useful > 0 && tenants_[tenant].share > 0)
      review(tenants_[tenant], true);
    count_shed(shedding_.unplaced);
    refuse_or_fail(r.id, p);
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
    ServerRecord& s = servers_[a.server];
    s.outstanding -= 1;
    const double aim = aim_of(settings_.classes[p.request_class]), lateness = r.elapsed / aim;
    capacity_.on_ended(now_, r.outcome, a.sent_at, r.elapsed, lateness);
    p.nothing_ran = r.outcome == Outcome::kDialFailed || r.outcome == Outcome::kRejected;
    // Losses of an earlier process must not count against its successor at the same address.
    if (a.started == s.info.started) learn_from(p, a, s, r, lateness);
    if (r.request_done && !p.finished) {
      p.finished = true;
      cancel_open(r.id, p);
    }
    if (!p.finished && !p.any_open() && !(may_retry(p) && send(r.id, p))) {
      if (r.outcome == Outcome::kDialFailed) review(tenants_[p.tenant], true);
      refuse_or_fail(r.id, p);
    }
    if (p.finished && !p.any_open()) pending_.erase(it);
  }

  void learn_from(const Pending& p, const Attempt& a, ServerRecord& s, const AttemptResult& r,
                  double lateness) {
    const bool answered = r.outcome == Outcome::kDelivered;
    const bool was_healthy = relative_latency(s) < kUnhealthyRatio;
    s.in_flight -= 1;
    s.send_time_sum = s.in_flight == 0 ? 0 : s.send_time_sum - a.sent_at;
    s.meter.on_ended(now_, answered, r.outcome != Outcome::kDialFailed, 0, kServerMemoryAnswers);
    s.meter.cap_call_time(capacity_.aim(), 0);
    if (r.outcome == Outcome::kCancelled || r.outcome == Outcome::kNotSent) {
      return update_health(a, s, r.outcome);
    }
    if (answered || r.outcome == Outcome::kTimedOut) latency_[p.request_class].add(r.elapsed, kLatencyGain);
    if (r.outcome != Outcome::kRejected) {
      const double latency = answered ? lateness / capacity_.typical_latency() : kFailureLatency;
      s.latency.add(now_, latency);
      (is_remote(s) ? remote_latency_ : own_latency_).add(now_, std::min(latency, kUnhealthyRatio));
    }
    update_health(a, s, r.outcome);
    const bool bad = !answered || lateness > std::max(kInTime, kUnhealthyRatio * capacity_.idle_latency());
    // One unhealthy server is no reason to cut a tenant; a failed connect counts once no other succeeded.
    if (r.outcome != Outcome::kDialFailed && (was_healthy || !bad)) review(tenants_[p.tenant], bad);
  }

  void update_health(const Attempt& a, ServerRecord& s, Outcome outcome) {
    if (!s.listed) return;
    const std::size_t others = servers_.healthy().size() - (s.health.ejected ? 0 : 1);
    const OutlierDetector::Change change = outliers_.on_attempt_ended(
        a.server, s.health, outcome, a.sent_at, now_, relative_latency(s) >= kUnhealthyRatio, others,
        servers_.ready_ring().size(), random_);
    if (change == OutlierDetector::Change::kNone) return;
    servers_.update_health(a.server);
    // Earlier measurements no longer apply; the ramp guards against a relapse.
    if (change == OutlierDetector::Change::kRestored) s.latency = DecayingMean(kLatencyMemory, kMaxAnswers);
    count_shed(change == OutlierDetector::Change::kEjected ? shedding_.ejected : shedding_.restored);
  }

  void on(const AnswerProgress& r) {
    const auto it = pending_.find(r.id);
    if (it == pending_.end() || it->second.finished) return;
    const Pending& p = it->second;
    const auto attempt = static_cast<std::size_t>(r.attempt);
    if (r.attempt < 0 || attempt >= p.attempts.size() || !p.attempts[attempt].open) return;
    const bool may_repeat = can_repeat(p, p.attempts.size()) && may_retry(p);
    const double extension = extension_for(r, p.useful_until - now_, late_after(p), may_repeat);
    if (extension > 0) actions_->push_back(Extend{r.id, r.attempt, extension});
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
      const double cap = std::min(settings_.ask_within > 0 ? settings_.ask_within / 2 : 5, kMaxBackoff);
      actions_->push_back(SetTimer{now_ + std::min(backoff_, cap) * (0.5 + random_.unit() / 2), kWatchTimer});
      backoff_ = std::min(backoff_ * 2, cap);
      return;
    }
    backoff_ = kMinBackoff;
    const bool full = update.form == MembershipUpdate::Form::kFull;
    if (full) servers_.begin_full_list();
    for (const Server& server : update.servers) servers_.apply(server, now_, random_);
    if (full) servers_.end_full_list();
    servers_.commit();
    update_subset();
    // By the largest recent weight: a cold server's share must not grow because other servers are gone.
    const double weight = servers_.ready_weight();
    if (weight >= recent_max_weight_ || now_ - recent_max_at_ > settings_.ramp_time) {
      recent_max_weight_ = weight;
      recent_max_at_ = now_;
    }
    first_list_at_ = std::min(first_list_at_, now_);
  }

  // The count of all balancers sizes the subset; the count that shares the allowances scales the limits.
  void on(const BalancersChanged& c) {
    if (c.index < 0 || c.index >= c.count || !(c.sharers >= 1)) return;
    settings_.copy_index = c.index;
    settings_.copy_count = c.count;
    const double scale = std::exchange(allowance_sharers_, c.sharers) / c.sharers;
    for (TenantState& t : tenants_) {
      for (double* value : {&t.share, &t.floor, &t.limit, &t.rate_before_drop}) *value *= scale;
    }
    update_subset();
  }

  void on(const TimerFired& timer) { return timer.token == kWatchTimer ? on(Started{}) : void(); }

  Settings settings_;
  Random random_;
  double now_ = 0;
  std::vector<Action>* actions_ = nullptr;
  std::vector<TenantState> tenants_;
  double allowed_rate_ = 0;  // calls/s within the allowances that this balancer may expect
  double bucket_s_ = kMinBucket, window_s_ = kMinBucket * kMinBuckets;
  int bucket_count_ = kMinBuckets;
  CapacityEstimator capacity_;
  std::vector<RunningEstimate> latency_;  // by class
  ServerTable servers_;
  OutlierDetector outliers_;
  std::array<RingRange, 2> subset_;  // of the own zone or of all servers, and of the other zones
  WeightedChoice candidates_;        // usable servers with their effective weights
  bool prefers_own_zone_ = false;    // there are own servers, and crossing zones has a price
  DecayingMean own_latency_{kLatencyMemory, kZoneSamples}, remote_latency_{kLatencyMemory, kZoneSamples};
  double remote_weight_ = 0;
  double server_sharers_ = 1;                        // balancers that use the same server
  double allowance_sharers_ = settings_.copy_count;  // balancers that split the allowances
  double subset_scale_ = 1;                          // ready servers for each member of the subset
  DecayingRate admitted_rate_{kRateMemory}, over_share_rate_{kRateMemory}, sent_rate_{kRateMemory};
  double next_cold_check_ = -kInfinity;
  double first_list_at_ = kInfinity;
  double recent_max_weight_ = 0, recent_max_at_ = -kInfinity;  // the largest ready weight of late
  bool many_cold_ = false;                                     // more than half of the ready weight is cold
  double retry_tokens_ = kMaxRetryBudget, redial_tokens_ = kMaxRedialBudget;
  double backoff_ = kMinBackoff;
  SheddingLog shedding_;
  std::unordered_map<std::string, Pending> pending_;  // only looked up: its order of iteration is not stable
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
