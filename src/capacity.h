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

constexpr double kQueueFactor = 1.5;  // x the latency of an idle tier: latency up to which calls are admitted
constexpr double kShortQueue = 0.2;   // fraction of the aim: a queue shorter than this is no reason to refuse
constexpr double kMaxAimRatio = 3;    // x a class's aim: cap on the mean aim that its calls are admitted by
constexpr double kBurstDeviations = 3;  // standard deviations above the mean that a random burst may have
constexpr double kMaxBurst = 0.7;  // fraction of the aim: time within which a random burst must be answered

constexpr double kMinServerCapacity = 2;  // calls over all balancers: added to any server's measured capacity
constexpr double kInitialCapacity = 6;    // calls over all balancers: added while a server is not measured
constexpr double kMeasuringCalls = 60;  // ended calls of a server in which its initial capacity falls to 1/e
constexpr double kFullyMeasured = 8;    // x kMeasuringCalls: ended calls that leave no initial capacity
constexpr double kFadeStart = 0.5;  // fraction of the aim: latency from which the initial capacity is reduced
constexpr double kFadeEnd = 0.7;    // fraction of the aim: latency from which there is no initial capacity
constexpr double kTierMemoryAnswers = 32;    // answers: fewest that the tier's rate and latency average over
constexpr double kServerMemoryAnswers = 16;  // answers: fewest that one server's rate is averaged over
constexpr double kHangLatencies = 5;  // x the mean latency: age from which a call hangs and takes no capacity
constexpr double kMinHangAims = 0.3;  // x the aim: lower bound of the age from which a call hangs
constexpr double kMaxHangAims = 1.5;  // x the aim: upper bound of the age from which a call hangs
constexpr double kPriorCalls = 8;     // quickly answered calls that the latency estimate starts with

constexpr double kSparse = 3;         // calls in flight: with fewer on average, a balancer is sparse
constexpr double kSmallCapacity = 5;  // calls: below this capacity chance dominates, so latency decides
constexpr double kSparseLate = 0.7;   // fraction of the aim: latency above which sparse calls are refused
constexpr double kSparseOver = 0.35;  // fraction of the aim: latency above which over-share calls are refused
constexpr int kQuickStreak = 3;       // quick answers in a row after which all earlier ones count half
constexpr double kSparseSlope = 4;  // calls refused, as a fraction, per relative excess of the latency bound
constexpr double kMaxSparseRefusal = 0.9;  // fraction of calls refused at most: the others measure the tier
constexpr double kForgetAims = 15;  // x the aim, without calls in flight: time in which refusals fall to 1/e

constexpr double kOverShareCapacity = 0.8;  // fraction of the capacity for calls beyond their tenants' shares
constexpr double kOverShareDeviations = 1.5;  // x sqrt(capacity): least capacity kept for calls within shares

constexpr double kLatencyGain = 0.05;        // weight of one sample in the estimates of aim and latency
constexpr double kMinTypicalLatency = 0.01;  // fraction of the aim: less makes no difference to a client

// Estimates whether a further call fits, for one server and for the tier.
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
    // Time of failed connects does not count, nor what a call without an answer spent beyond the aim.
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

  double aim() const { return std::max(aim_.mean, 1e-6); }               // s, mean over the requests
  double idle_latency() const { return idle_.estimate(aim()) / aim(); }  // of an idle tier / aim
  double mean_latency() const { return tier_latency_.mean; }             // of the tier / aim
  double typical_latency() const { return std::max(tier_latency_.mean, kMinTypicalLatency); }

  // Present latency as a fraction of the aim; calls in flight count with their age.
  double lateness(double now) const { return meter_.mean_latency(now, kPriorCalls, target() / 2) / aim(); }

  bool answers_quickly(double now) const { return streak_ >= kQuickStreak && lateness(now) < kSparseOver; }

  // Whether too few calls are in flight to judge by: with a mean of one, chance often makes it three.
  bool is_sparse(double now) const { return std::max<double>(waiting(now), meter_.mean_calls()) < kSparse; }

  // Whether a server can take a call. Calls that hang at a silent server take no capacity. The initial
  // capacity is split among balancers by random rounding, or all of them would send one call at once.
  bool fits_server(double now, const ServerRecord& s, double sharers) const {
    if (!limited_ || is_sparse(now)) return true;
    const double capacity = initial_capacity(now, s.meter, 1) / sharers + burst_capacity(now, s.meter, aim());
    // Judged by the mean age: a low mean means that hardly any call hangs.
    const double total_age = s.in_flight * now - s.send_time_sum, hang_limit = hang_age();
    const double hanging = total_age > s.in_flight * hang_limit / 2 ? total_age / hang_limit : 0;
    return std::max(0.0, s.in_flight - hanging) + s.rounding < std::max(1.0, capacity * s.health.ramp(now));
  }

  // Whether the tier can take a call. It is checked besides the servers, as calls go to those whose noisy
  // estimates are too high. `aim` is that of the call's class: by the mean aim, calls with a short one would
  // be late behind classes that may wait. Calls beyond their tenant's share leave some capacity to others.
  bool fits_tier(double now, double aim, bool within_share, double servers, double sharers,
                 Random& random) const {
    if (!limited_) return true;
    // Many balancers with one or two calls each can overload the tier: only latency shows that to each.
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

  // Calls in flight that do not hang; all of them if answers are too slow to tell them from hanging calls.
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
    const double start = std::clamp((kFadeEnd - lateness(now)) / (kFadeEnd - kFadeStart), 0.0, 1.0);
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
