// Concurrency limit: whether a further call would still be answered well before its aim, by the calls in
// flight, the rate and latency of answers, and the aim. So it scales from answers of 0.3 ms to 3 s and from
// one call in flight to a thousand.
// At a given rate of answers, n calls in flight take n / rate (Little's law). Capacity is the n for which
// that equals the target latency: a multiple of the latency without queues, or a fraction of the aim if that
// is more, for a queue that the aim does not feel is no reason to refuse.
#pragma once

#include <algorithm>
#include <cmath>

#include "quinceusher/balancer.h"
#include "server_table.h"
#include "support.h"

namespace quinceusher {

constexpr double kQueueFactor = 1.5;  // x the latency of an idle tier; longer queues get no call
constexpr double kShortQueue = 0.2;   // of the aim; shorter queues are ignored
constexpr double kMaxAimRatio = 3;  // x its aim; a class whose aim is further below the mean goes by its own
constexpr double kBurstDeviations = 3;  // standard deviations; calls come at random, many at one moment
constexpr double kMaxBurst = 0.7;       // of the aim; a random burst must be answered within it too

constexpr double kMinServerCapacity = 2;     // calls in flight over all balancers, of any server
constexpr double kInitialCapacity = 6;       // and more while nothing is measured
constexpr double kMeasuringCalls = 60;       // calls that measure a server
constexpr double kFullyMeasured = 8;         // x those calls, after which no initial capacity is left
constexpr double kStartFade = 0.5;           // of the aim; slower answers reduce the initial capacity,
constexpr double kStartEnd = 0.7;            // of the aim; and these end it
constexpr double kTierMemoryAnswers = 32;    // answers that make a rate, at least
constexpr double kServerMemoryAnswers = 16;  // the same for one server
constexpr double kHangLatencies = 5;         // latencies; calls out for longer hang and take no capacity,
constexpr double kMinHangAims = 0.3;         // aims at least,
constexpr double kMaxHangAims = 1.5;  // aims at most; such slow answers can't be told from hanging calls
constexpr double kPriorCalls = 8;     // quick calls assumed before any are answered

constexpr double kSparse = 3;         // calls in flight; a balancer with fewer at a time is sparse
constexpr double kSmallCapacity = 5;  // calls; below it chance dominates and latency decides
constexpr double kSparseLate = 0.7;   // of the aim; where answers are slower a sparse balancer holds back,
constexpr double kSparseOver = 0.35;  // and here already what exceeds a tenant's share,
constexpr int kQuickStreak = 3;       // answers in a row that are not late; earlier ones then count half
constexpr double kSparseSlope = 4;    // at a quarter more than these bounds all of that is held back
constexpr double kMaxSparseRefusal = 0.9;  // of the calls; some must go, or nothing is learned,
constexpr double kForgetAims = 15;         // aims; and more of them the older the measurements are

constexpr double kOverShareCapacity = 0.8;    // of the capacity is for calls beyond their tenants' shares
constexpr double kOverShareDeviations = 1.5;  // standard deviations, at least, are kept for the others

constexpr double kLatencyGain = 0.05;        // weight of one sample in the latency estimates
constexpr double kMinTypicalLatency = 0.01;  // of the aim; differences below it do not matter to a client

// Estimates how many further calls fit, for one server and for the tier.
class CapacityEstimator {
 public:
  // Not `limited`: nothing is refused for lack of capacity, as past tier 0 a refusal wastes earlier work.
  explicit CapacityEstimator(bool limited) : limited_(limited) {}

  void add_initial_aim(double aim) {
    aim_.add(aim, 0);
    calls_by_age_.set_max_age(kMaxHangAims * this->aim());
  }
  void on_request(double aim) { aim_.add(aim, kLatencyGain); }
  void on_sent(double now) {
    meter_.on_sent(now);
    calls_by_age_.on_sent(now);
  }
  void on_ended(double now, Outcome outcome, double sent_at, double elapsed, double aim_fraction) {
    const bool answered = outcome == Outcome::kDelivered;
    const bool reached = outcome != Outcome::kDialFailed;
    // A call that reached no server waited for none; one without an answer was late, however long.
    const double surplus = !reached ? elapsed : answered ? 0 : std::max(0.0, elapsed - aim());
    meter_.on_ended(now, answered, reached, surplus, kTierMemoryAnswers);
    meter_.cap_call_time(aim(), kPriorCalls);
    // A streak of quick answers shows the end of a slow time well before the means do.
    streak_ = answered && aim_fraction < kSparseOver ? streak_ + 1 : 0;
    if (streak_ >= kQuickStreak && lateness(now) > kSparseOver) meter_.forget(0.5);
    calls_by_age_.on_ended(sent_at);
    if (answered) {
      idle_.add(now, elapsed);
      answers_.add(aim_fraction, kLatencyGain);
    }
    if (answered || outcome == Outcome::kTimedOut) tier_latency_.add(aim_fraction, kLatencyGain);
  }

  double aim() const { return std::max(aim_.mean, 1e-6); }               // s, of the calls that come
  double idle_latency() const { return idle_.estimate(aim()) / aim(); }  // without queues, of the aim
  double mean_latency() const { return tier_latency_.mean; }             // of the tier, of the aim
  double typical_latency() const { return std::max(tier_latency_.mean, kMinTypicalLatency); }

  // Present latency as a fraction of the aim; calls in flight count with their age.
  double lateness(double now) const { return meter_.mean_latency(now, kPriorCalls, target() / 2) / aim(); }

  bool answers_quickly(double now) const { return streak_ >= kQuickStreak && lateness(now) < kSparseOver; }

  // Whether calls are too few to judge by those in flight: one on average is three at once by chance.
  bool is_sparse(double now) const { return std::max<double>(waiting(now), meter_.mean_calls()) < kSparse; }

  // Whether a server can take a call. Calls that hang at a silent server take no capacity. The initial
  // capacity is split among balancers by random rounding: many small starts at once are a crowd.
  bool fits_server(double now, const ServerRecord& s, double sharers) const {
    if (!limited_ || is_sparse(now)) return true;
    const double capacity = initial_capacity(now, s.meter, 1) / sharers + burst_capacity(now, s.meter, aim());
    // By the mean age: calls hardly hang where the others are young.
    const double total_age = s.in_flight * now - s.send_time_sum, hang_limit = hang_age();
    const double hanging = total_age > s.in_flight * hang_limit / 2 ? total_age / hang_limit : 0;
    return std::max(0.0, s.in_flight - hanging) + s.rounding < std::max(1.0, capacity * s.health.ramp(now));
  }

  // The same for the tier, whose measure is steadier: calls go where a server's noisy measure favours it.
  // `aim` is the call's own, or short aims would miss it beside classes that may wait. Calls beyond their
  // tenant's share only fit while capacity is left for others.
  bool fits_tier(double now, double aim, bool within_share, double servers, double sharers,
                 Random& random) const {
    if (!limited_) return true;
    // Many balancers with a call or two each are a crowd that none of them sees in its own calls.
    if (target() * meter_.rate(now) < kSmallCapacity) {
      const double late = lateness(now);
      const double bound = within_share ? kSparseLate : std::max(kSparseOver, target() / this->aim());
      // Some calls always pass, as otherwise nothing is learned and the refusals never end.
      const double max_refusal = kMaxSparseRefusal * std::exp2(-streak_) *
                                 std::exp(-meter_.idle_seconds(now) / (kForgetAims * this->aim()));
      if (random.unit() < std::min(max_refusal, (late / bound - 1) * kSparseSlope)) return false;
    }
    const double all = initial_capacity(now, meter_, servers) * servers / sharers +
                       burst_capacity(now, meter_, std::min(kMaxAimRatio * aim, this->aim()));
    const double reserved = std::max((1 - kOverShareCapacity) * all, kOverShareDeviations * std::sqrt(all));
    return waiting(now) < std::max(1.0, within_share ? all : all - reserved);
  }

 private:
  // Age from which calls in flight count as hanging; none do before there are answers.
  double hang_age() const {
    const double aims = answers_.samples < kMinIdleSamples ? kMaxHangAims : kHangLatencies * answers_.mean;
    return std::clamp(aims, kMinHangAims, kMaxHangAims) * aim();
  }

  // Calls in flight that do not hang. Where answers are slow, old calls need not hang.
  int waiting(double now) const {
    const double age = hang_age();
    return age < kMaxHangAims * aim() ? calls_by_age_.younger_than(now, age) : meter_.in_flight();
  }

  // The latency up to which calls are admitted.
  double target() const { return std::max(kQueueFactor * idle_.estimate(aim()), kShortQueue * aim()); }

  // Capacity over all balancers while nothing is measured; it fades as answers come.
  double initial_capacity(double now, const ThroughputMeter& meter, double servers) const {
    const double measured = meter.ended_calls() / (kMeasuringCalls * servers);
    if (measured > kFullyMeasured) return kMinServerCapacity;
    const double start = std::clamp((kStartEnd - lateness(now)) / (kStartEnd - kStartFade), 0.0, 1.0);
    return kMinServerCapacity + start * kInitialCapacity * std::exp(-measured);
  }

  // Capacity by the rate of answers, with room for random bursts as far as the aim allows.
  double burst_capacity(double now, const ThroughputMeter& meter, double aim) const {
    const double rate = meter.rate(now);
    const double steady = std::max(kQueueFactor * idle_.estimate(this->aim()), kShortQueue * aim) * rate;
    return std::max(steady, std::min(steady + kBurstDeviations * std::sqrt(steady), kMaxBurst * aim * rate));
  }

  bool limited_;
  RunningEstimate aim_, answers_, tier_latency_;  // latencies as fractions of the aim
  IdleLatency idle_;
  ThroughputMeter meter_;
  CallAges calls_by_age_;
  int streak_ = 0;
};

}  // namespace quinceusher
