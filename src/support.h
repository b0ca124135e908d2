// Building blocks of the decision module: rates, estimates, pending requests, weighted choice, shedding log.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "admission/random.h"
#include "admission/sliding_window.h"
#include "quinceusher/balancer.h"

namespace quinceusher {

// Throws std::invalid_argument, which names the field, if the settings are unusable.
void validate(const Settings& settings);

// Events per second, with exponential decay.
class DecayingRate {
 public:
  explicit DecayingRate(double memory_s) : memory_s_(memory_s) {}
  double at(double now) const { return rate_ == 0 ? 0 : rate_ * std::exp((last_at_ - now) / memory_s_); }
  void add(double now) {
    rate_ = at(now) + 1 / memory_s_;
    last_at_ = now;
  }

 private:
  double memory_s_, rate_ = 0, last_at_ = 0;
};

// Mean and mean absolute deviation with exponential decay; the first samples weigh more.
struct RunningEstimate {
  double mean = 0, deviation = 0, samples = 0;
  void add(double value, double min_gain) {
    samples += 1;
    const double gain = std::max(min_gain, 1 / (samples + 1));
    deviation += gain * (std::abs(value - mean) - deviation);
    mean += gain * (value - mean);
  }
};

// Rate and latency of answers by the time in which calls were in flight. Decays by the number of answers, so
// it works at any rate, and the rate falls while calls are in flight and no answer comes.
class ThroughputMeter {
 public:
  int in_flight() const { return in_flight_; }
  double ended_calls() const { return ended_calls_; }
  // Calls in flight, averaged over the time in which there are any.
  double mean_calls() const { return busy_seconds_ > 0 ? call_seconds_ / busy_seconds_ : 0; }
  // Answers per second while calls are in flight.
  double rate(double now) const {
    return answers_ / std::max(busy_seconds_ + (in_flight_ > 0 ? now - updated_at_ : 0), 1e-9);
  }
  // Call seconds per answer; `prior` answers of `prior_time` are added.
  double mean_latency(double now, double prior, double prior_time) const {
    return (prior * prior_time + call_seconds_ + (now - updated_at_) * in_flight_) / (prior + answers_);
  }

  // Seconds for which nothing has been in flight.
  double idle_seconds(double now) const { return in_flight_ > 0 ? 0 : now - updated_at_; }

  void forget(double part) {
    answers_ *= 1 - part;
    busy_seconds_ *= 1 - part;
    call_seconds_ *= 1 - part;
  }

  // Caps the time that calls count for at `longest`. Otherwise, the longer an outage, the more its
  // measurements would outweigh those after it.
  void cap_call_time(double longest, double prior) {
    call_seconds_ = std::min(call_seconds_, longest * (prior + answers_));
    busy_seconds_ = std::min(busy_seconds_, longest * std::max(1.0, answers_));
  }

  void on_sent(double now) {
    advance(now);
    in_flight_ += 1;
  }
  // `surplus`: part of the call's time that tells nothing of how calls are handled; `reached`: whether it
  // came to the server.
  void on_ended(double now, bool answered, bool reached, double surplus, double min_memory) {
    advance(now);
    in_flight_ -= 1;
    if (reached) ended_calls_ += 1;
    call_seconds_ = std::max(0.0, call_seconds_ - surplus);
    if (!answered) return;
    answers_ += 1;
    const double memory = std::max(min_memory, kMemoryLatencies * mean_calls());
    forget(1 - std::min(1.0, memory / answers_));
  }

 private:
  static constexpr double kMemoryLatencies = 2;  // x the latency: least time that the rates average over
  void advance(double now) {
    if (in_flight_ > 0) {
      busy_seconds_ += now - updated_at_;
      call_seconds_ += (now - updated_at_) * in_flight_;
    }
    updated_at_ = now;
  }
  int in_flight_ = 0;
  double updated_at_ = 0, answers_ = 0, busy_seconds_ = 0, call_seconds_ = 0, ended_calls_ = 0;
};

// Counts calls in flight by their send time, to tell how many are younger than a given age.
class CallAges {
 public:
  // Sets the age up to which younger_than() can count; older calls are dropped.
  void set_max_age(double max_age) { width_ = max_age / static_cast<double>(kBuckets); }
  // Calls that were sent within `age`.
  int younger_than(double now, double age) const {
    const std::int64_t newest = slot_of(now);
    const auto count = std::min<std::int64_t>(kBuckets, static_cast<std::int64_t>(std::ceil(age / width_)));
    int out = 0;
    for (std::int64_t slot = newest; slot > newest - count; --slot) {
      if (slot <= newest_slot_ && slot > newest_slot_ - kBuckets) out += at(slot);
    }
    return out;
  }
  void on_sent(double now) {
    const std::int64_t slot = slot_of(now);
    if (slot - newest_slot_ >= kBuckets) {
      buckets_.fill(0);
      newest_slot_ = slot;
    }
    while (newest_slot_ < slot) at(++newest_slot_) = 0;
    ++at(slot);
  }
  void on_ended(double sent_at) {
    const std::int64_t slot = slot_of(sent_at);
    if (slot <= newest_slot_ && slot > newest_slot_ - kBuckets && at(slot) > 0) --at(slot);
  }

 private:
  static constexpr std::int64_t kBuckets = 24;
  std::int64_t slot_of(double time) const { return static_cast<std::int64_t>(std::floor(time / width_)); }
  static std::size_t place(std::int64_t slot) {
    return static_cast<std::size_t>(((slot % kBuckets) + kBuckets) % kBuckets);
  }
  int& at(std::int64_t slot) { return buckets_[place(slot)]; }
  int at(std::int64_t slot) const { return buckets_[place(slot)]; }

  double width_ = 1;
  std::int64_t newest_slot_ = std::numeric_limits<std::int64_t>::min() / 2;  // slot of the newest call
  std::array<int, kBuckets> buckets_{};
};

// Mean that decays by time, and by count where samples are many.
class DecayingMean {
 public:
  struct Sum {
    double sum = 0, weight = 0;
  };
  DecayingMean(double memory_s, double max_weight) : memory_s_(memory_s), max_weight_(max_weight) {}
  Sum at(double now) const {
    if (decayed_.weight == 0) return {};
    const double kept = std::exp((last_at_ - now) / memory_s_);
    return {decayed_.sum * kept, decayed_.weight * kept};
  }
  void add(double now, double value) {
    const Sum old = at(now);
    const double kept = old.weight > max_weight_ - 1 ? (max_weight_ - 1) / old.weight : 1;
    decayed_ = {old.sum * kept + value, old.weight * kept + 1};
    last_at_ = now;
  }

 private:
  double memory_s_, max_weight_, last_at_ = 0;
  Sum decayed_;
};

constexpr double kInitialIdleFraction = 0.15;  // fraction of the aim: idle latency until it is learned
constexpr double kMaxIdleFraction = 0.4;  // fraction of the aim: cap on idle latency, if it starts under load
constexpr double kMinIdleSamples = 20;    // answers before the idle latency counts as learned
constexpr double kIdleGain = 0.02;        // weight of one answer in the recent mean of latencies
constexpr double kIdleSettleLatencies = 10;    // x the latency: time before learning; quick calls end first
constexpr double kMaxIdleSettleSeconds = 3;    // seconds: longest time before the idle latency is learned
constexpr double kIdleFallLatencies = 16;      // x the latency: time to follow a tier that became quicker
constexpr double kMaxIdleFallSeconds = 5;      // seconds: longest time to follow a tier that became quicker
constexpr double kMinIdleRiseSeconds = 60;     // seconds: least time to follow a slower tier, not its queues
constexpr double kMinIdleRiseLatencies = 160;  // x the latency: least time to follow a slower tier

// Latency without queues: falls soon and rises slowly. The first answers after a start are those of the
// quickest calls; a limit learned from them would starve the tier.
struct IdleLatency {
  RunningEstimate recent;                             // s
  double learned = -1, first_at = 0, learned_at = 0;  // learned: s; below 0: not yet
  double estimate(double aim) const {
    return learned < 0 ? kInitialIdleFraction * aim : std::min(learned, kMaxIdleFraction * aim);
  }
  void add(double now, double elapsed) {
    if (recent.samples == 0) first_at = learned_at = now;
    recent.add(elapsed, kIdleGain);
    if (now < first_at + std::min(kMaxIdleSettleSeconds, kIdleSettleLatencies * recent.mean) ||
        recent.samples < kMinIdleSamples)
      return;
    const double fall = std::min(kMaxIdleFallSeconds, kIdleFallLatencies * recent.mean);
    const double rise = std::max(kMinIdleRiseSeconds, kMinIdleRiseLatencies * recent.mean);
    const double step = (now - learned_at) / std::max(1e-9, recent.mean < learned ? fall : rise);
    learned = learned < 0 ? recent.mean : learned + (recent.mean - learned) * std::min(1.0, step);
    learned_at = now;
  }
};

// One attempt of a pending request.
struct Attempt {
  std::size_t server = 0;      // its slot; it may be another server's once the attempt has ended
  std::uint64_t ring_key = 0;  // identifies the server for good
  int zone = 0, cell = 0;      // of the server, when it was sent
  double started = 0;          // of the server process that it was sent to
  double sent_at = 0;
  bool open = true, may_have_run = true;
};

// A request without a final answer, or with attempts in flight.
struct Pending {
  std::size_t tenant = 0, request_class = 0;
  double useful_until = 0;  // when the answer becomes worthless
  std::vector<Attempt> attempts;
  bool finished = false, streaming = false;
  bool within_share = true;  // within its tenant's share
  bool nothing_ran = false;  // the last attempt reached no server, or was rejected

  bool any_open() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.open; });
  }
  bool may_have_run() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.may_have_run; });
  }
  bool tried(std::uint64_t ring_key) const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [=](const Attempt& a) { return a.ring_key == ring_key; });
  }
};

// Random choice in proportion to weights.
class WeightedChoice {
 public:
  void clear() {
    entries_.clear();
    total_weight_ = 0;
  }
  void add(std::size_t slot, double weight) {
    entries_.emplace_back(slot, weight);
    total_weight_ += weight;
  }
  std::size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }
  std::pair<std::size_t, double> draw(Random& random) const {
    double at = random.unit() * total_weight_;
    std::size_t i = 0;
    while (i + 1 < entries_.size() && (at -= entries_[i].second) >= 0) ++i;
    return entries_[i];
  }

 private:
  std::vector<std::pair<std::size_t, double>> entries_;
  double total_weight_ = 0;
};

// Builds the log line that sums up the shedding since the line before.
inline LogLine shedding_line(int denied, int unplaced, int ejected, int restored, int ejected_now,
                             int servers) {
  const auto n = [](int value) { return std::to_string(value); };
  return {"shedding: " + n(denied) + " over their tenant's limit, " + n(unplaced) +
              " without server capacity; servers: " + n(ejected) + " ejected, " + n(restored) +
              " restored, " + n(ejected_now) + " of " + n(servers) + " ejected now",
          {{"denied", denied},
           {"unplaced", unplaced},
           {"left_out", ejected},
           {"taken_back", restored},
           {"out", ejected_now},
           {"servers", servers}}};
}

// Counts shed calls, ejections and restorations, and logs them once per period.
class SheddingLog {
 public:
  int denied = 0, unplaced = 0, ejected = 0, restored = 0;  // since the last line
  void count_shed(int& count, double now, int ejected_now, int servers, std::vector<Action>& actions) {
    constexpr double kPeriod = 5;  // seconds between two log lines at least
    if (denied + unplaced + ejected + restored == 0) next_ = now + kPeriod;
    if (++count; now < next_) return;
    actions.push_back(shedding_line(denied, unplaced, ejected, restored, ejected_now, servers));
    denied = unplaced = ejected = restored = 0;
  }

 private:
  double next_ = std::numeric_limits<double>::infinity();
};

}  // namespace quinceusher
