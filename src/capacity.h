// Whether there is room for a further call, so that it is answered well before its aim. Judged from calls in
// flight, the rate and the times of answers, and the aim itself, and so on the scale of these: the same at
// answers of 0.3 ms and of 3 s, at one call in flight and at a thousand.
//
// With calls answered at some rate, n calls in flight take n / rate to be answered (Little's law). Room is
// the number for which that is the target: some times the answer time without queues, or a part of the aim
// where that is more, for a queue that the aim does not feel is no reason to refuse.
#pragma once

#include <algorithm>
#include <cmath>

#include "quinceusher/balancer.h"
#include "server_table.h"
#include "support.h"

namespace quinceusher {

constexpr double kQueueFactor = 1.5;  // x the usual answer time of an idle tier; longer queues get no call
constexpr double kShortQueue = 0.2;   // of the aim; queues so short are none
constexpr double kMaxAimRatio =
    3;  // x its aim; a class for which the mean aim is further off goes by its own
constexpr double kBurstDeviations = 3;  // standard deviations; calls come by chance, many at one moment
constexpr double kMaxBurst = 0.7;       // of the aim; what came by chance must be answered within it too

constexpr double kMinServerCapacity = 2;     // calls in flight, over all copies, that any server has room for
constexpr double kInitialCapacity = 6;       // and more where nothing is measured yet
constexpr double kMeasuringCalls = 60;       // calls of a server that measure it
constexpr double kFullyMeasured = 8;         // times those calls, after which nothing is left of the start
constexpr double kStartFade = 0.5;           // of the aim; where answers take longer, the start is over
constexpr double kStartEnd = 0.7;            // of the aim; and here nothing is left of it
constexpr double kTierMemoryAnswers = 32;    // answers that make a rate, at least
constexpr double kServerMemoryAnswers = 16;  // and for one server
constexpr double kHangLatencies = 5;  // answer times; calls that are out for longer hang, and take no room,
constexpr double kMinHangAims = 0.3;  // of the aim at least,
constexpr double kMaxHangAims = 1.5;  // aims at most; where answers take so long nothing is told apart
constexpr double kPriorCalls = 8;     // calls as quick as can be wished, before any are answered

constexpr double kSparse = 3;  // calls in flight; a copy with fewer at a time is sparse
constexpr double kSmallCapacity =
    5;                               // calls; where room is less, chance outweighs it and answer times decide
constexpr double kSparseLate = 0.7;  // of the aim; where answers take longer, a sparse copy holds back,
constexpr double kSparseOver = 0.35;  // here already what is beyond a tenant's part,
constexpr int kQuickStreak = 3;       // answers in a row that are not late; what was before is half forgotten
constexpr double kSparseSlope = 4;    // and all of that at a quarter more
constexpr double kMaxSparseRefusal = 0.9;  // of the calls; some must go, or nothing is learned,
constexpr double kForgetAims = 15;         // aims; and more of them the older it is what is known

constexpr double kOverShareCapacity = 0.8;    // of the room is for what is beyond a tenant's part
constexpr double kOverShareDeviations = 1.5;  // standard deviations that are kept for the rest, at least

constexpr double kLatencyGain = 0.05;        // weight of one sample in the latency estimates
constexpr double kMinTypicalLatency = 0.01;  // of the aim; differences below it do not matter to a client

class CapacityEstimator {
 public:
  // Where `bound` is false nothing is refused for want of room: past the first tier a refusal wastes what
  // was done above it.
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
    // A call that never came to a server waited for none, and one without an answer was late, however long.
    const double surplus = !reached ? elapsed : answered ? 0 : std::max(0.0, elapsed - aim());
    meter_.on_ended(now, answered, reached, surplus, kTierMemoryAnswers);
    meter_.cap_call_time(aim(), kPriorCalls);
    // Quick answers in a row tell that what made them late is over, well before the means do.
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
  double idle_latency() const { return idle_.estimate(aim()) / aim(); }  // of the aim
  double mean_latency() const { return tier_latency_.mean; }             // of the aim, an answer of the tier
  double typical_latency() const {
    return std::max(tier_latency_.mean, kMinTypicalLatency);
  }  // the same, as far as it matters

  // Answer times now, as a part of the aim; calls still out count for as long as they have been.
  double lateness(double now) const { return meter_.mean_latency(now, kPriorCalls, target() / 2) / aim(); }

  // Whether the last answers were quick, with nothing known that was late.
  bool answers_quickly(double now) const { return streak_ >= kQuickStreak && lateness(now) < kSparseOver; }

  // Whether calls in flight are too few to judge a server by at one moment. Danger: with one call out on
  // average, three at once are chance.
  bool is_sparse(double now) const { return std::max<double>(waiting(now), meter_.mean_calls()) < kSparse; }

  // Whether a server has room. Danger: calls to one that has stopped answering wait for nothing. Danger: many
  // small starts are a crowd; what is not measured is shared out by each copy's dither.
  bool fits_server(double now, const ServerRecord& s, double sharers) const {
    if (!limited_ || is_sparse(now)) return true;
    const double capacity = initial_capacity(now, s.meter, 1) / sharers + burst_capacity(now, s.meter, aim());
    // By their mean age: calls that hang there are hardly any where the others are young.
    const double total_age = s.in_flight * now - s.send_time_sum, hang_limit = hang_age();
    const double hanging = total_age > s.in_flight * hang_limit / 2 ? total_age / hang_limit : 0;
    return std::max(0.0, s.in_flight - hanging) + s.rounding < std::max(1.0, capacity * s.health.ramp(now));
  }

  // The same for all servers together, whose measure is steadier. Danger: calls go where a server's noisy
  // measure is in their favour. `aim` is the call's own: beside classes that may wait for long one that may
  // not would be late with every call. What is beyond a tenant's part finds room only while some is left for
  // others.
  bool fits_tier(double now, double aim, bool within_share, double servers, double sharers,
                 Random& random) const {
    if (!limited_) return true;
    // Danger: many copies with a call or two each are a crowd that none of them sees in its own calls.
    if (target() * meter_.rate(now) < kSmallCapacity) {
      const double late = lateness(now);
      const double bound = within_share ? kSparseLate : std::max(kSparseOver, target() / this->aim());
      // Danger: where all is held back nothing more is learned, and it stays so.
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
  // Seconds for which calls are out before they are taken to hang. Before there are answers none is.
  double hang_age() const {
    const double aims = answers_.samples < kMinIdleSamples ? kMaxHangAims : kHangLatencies * answers_.mean;
    return std::clamp(aims, kMinHangAims, kMaxHangAims) * aim();
  }

  // Calls out that wait for an answer. Where answers take long, what is out for long need not hang.
  int waiting(double now) const {
    const double age = hang_age();
    return age < kMaxHangAims * aim() ? calls_by_age_.younger_than(now, age) : meter_.in_flight();
  }

  // The answer time up to which calls are let in.
  double target() const { return std::max(kQueueFactor * idle_.estimate(aim()), kShortQueue * aim()); }

  // Calls that may be in flight, over all copies, where nothing is measured yet: it fades as answers come.
  double initial_capacity(double now, const ThroughputMeter& meter, double servers) const {
    const double measured = meter.ended_calls() / (kMeasuringCalls * servers);
    if (measured > kFullyMeasured) return kMinServerCapacity;
    const double start = std::clamp((kStartEnd - lateness(now)) / (kStartEnd - kStartFade), 0.0, 1.0);
    return kMinServerCapacity + start * kInitialCapacity * std::exp(-measured);
  }

  // What the rate of answers allows, and what comes by chance at one moment, as far as the aim allows that.
  double burst_capacity(double now, const ThroughputMeter& meter, double aim) const {
    const double rate = meter.rate(now);
    const double steady = std::max(kQueueFactor * idle_.estimate(this->aim()), kShortQueue * aim) * rate;
    return std::max(steady, std::min(steady + kBurstDeviations * std::sqrt(steady), kMaxBurst * aim * rate));
  }

  bool limited_;
  RunningEstimate aim_, answers_, tier_latency_;  // tier_answer: as a part of the aim
  IdleLatency idle_;
  ThroughputMeter meter_;
  CallAges calls_by_age_;
  int streak_ = 0;  // answers in a row
};

}  // namespace quinceusher
