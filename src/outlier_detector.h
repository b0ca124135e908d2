// Outlier ejection: servers that refuse connections, never come up or break off calls get no calls for a
// while. It does not choose servers; the choice consults it.
// Its times are sized for the crash and restart of a process, not for the latency of answers.
#pragma once

#include <algorithm>
#include <limits>
#include <optional>
#include <queue>
#include <vector>

#include "quinceusher/balancer.h"
#include "support.h"

namespace quinceusher {

constexpr int kMaxConnectFailures = 3;  // failed connects in a row that eject; 1 if a server never answered
constexpr int kMaxUnanswered = 6;       // calls in a row without an answer that eject a server
constexpr int kMaxRejections = 4;       // rejected calls in a row that eject: the server is full or drains
constexpr double kMinProbeBackoff = 0.25;  // seconds before the first probe; each that fails doubles the time
constexpr double kMaxProbeBackoff = 2;  // seconds between probes: a server is back in full within twice that
constexpr double kRelapse = 10;  // seconds: a server ejected again within this time keeps its longer backoff
constexpr double kRampSeconds = 2;  // seconds from the first answer of a restored server to its full share
constexpr double kRampStart = 0.1;  // fraction of its share that a restored server gets at first
constexpr double kProbeBudgetRatio = 0.1;  // probes earned per request
constexpr double kMaxProbeBudget = 3;      // probes that can be saved up
constexpr std::size_t kMaxSkipped = 8;     // servers that one request may skip to find one that it may probe
constexpr double kSharedRatio = 0.5;       // fraction of calls failing at which the cause is not one server's
constexpr std::size_t kHealthyDivisor = 4;   // one in so many servers is never ejected for failed calls
constexpr double kFailureRatioGain = 0.05;   // weight of one call in the ratios of failed and rejected calls
constexpr double kLastResortSeconds = 0.05;  // seconds between probes where no server is healthy
constexpr double kNoRepeatableSeconds = 5;   // seconds without a repeatable request, then others may probe
constexpr double kUnsafeProbeSeconds = 10;   // seconds that a probe is overdue before an unsafe call does it

// Health of one server as a balancer sees it.
struct ServerHealth {
  int connect_failures = 0, unanswered = 0, rejections = 0;  // in a row
  bool answered_ever = false;
  bool ejected = false;
  bool avoided = false;  // not ejected, but unhealthy, as calls to it failed
  bool probing = false;
  bool fails_unrun = false;  // ejected for a cause by which nothing that was sent can have run
  double ejected_at = 0, next_probe_at = 0, backoff = 0, probed_at = 0;
  double restored_at = -std::numeric_limits<double>::infinity();

  // The fraction of its share that a restored server gets.
  double ramp(double now) const {
    return now - restored_at >= kRampSeconds ? 1 : std::max(kRampStart, (now - restored_at) / kRampSeconds);
  }
};

class OutlierDetector {
 public:
  enum class Change { kNone, kEjected, kRestored };

  // Records the end of an attempt. `unhealthy`: whether the choice avoids the server now; `others`: how many
  // healthy servers would remain, of `all`. Where the cause is shared each server alone looks unhealthy, and
  // ejecting them would overload the rest.
  Change on_attempt_ended(std::size_t slot, ServerHealth& s, Outcome outcome, double sent_at, double now,
                          bool unhealthy, std::size_t others, std::size_t all, Random& random) {
    if (outcome == Outcome::kCancelled || outcome == Outcome::kNotSent) {
      if (s.probing && sent_at >= s.probed_at) schedule_probe(slot, s, now, 0);
      return Change::kNone;
    }
    const bool connect_failed = outcome == Outcome::kDialFailed;
    const bool answered = outcome == Outcome::kDelivered;
    const bool failed = !connect_failed && !answered && outcome != Outcome::kRejected;
    if (!connect_failed) {
      failure_ratio_ += kFailureRatioGain * ((failed ? 1 : 0) - failure_ratio_);
      rejection_ratio_ += kFailureRatioGain * ((outcome == Outcome::kRejected ? 1 : 0) - rejection_ratio_);
    }
    // What was sent before the ejection tells nothing of the server now.
    if (s.ejected && sent_at < s.ejected_at) return Change::kNone;
    s.connect_failures = connect_failed ? s.connect_failures + 1 : 0;
    s.unanswered = failed ? s.unanswered + 1 : answered ? 0 : s.unanswered;
    s.rejections = outcome == Outcome::kRejected ? s.rejections + 1 : 0;
    s.answered_ever |= answered;
    if (s.ejected) {
      if (answered) {
        s.ejected = s.probing = false;
        s.restored_at = now;
        return Change::kRestored;
      }
      s.fails_unrun = !failed;
      s.backoff = std::min(2 * s.backoff, kMaxProbeBackoff);
      schedule_probe(slot, s, now, s.backoff * (0.75 + random.unit() / 2));
      return Change::kNone;
    }
    const bool unreachable = s.connect_failures >= (s.answered_ever || others == 0 ? kMaxConnectFailures : 1);
    const bool enough_others = others * kHealthyDivisor >= all;
    const bool failing = s.unanswered >= kMaxUnanswered && failure_ratio_ < kSharedRatio && enough_others;
    const bool rejecting = s.rejections >= kMaxRejections && rejection_ratio_ < kSharedRatio && enough_others;
    if (!unreachable && !failing && !rejecting) {
      update_avoided(slot, s, failed, unhealthy, now, random);
      return Change::kNone;
    }
    s.ejected = true;
    s.avoided = false;
    s.fails_unrun = !failing;
    s.ejected_at = now;
    s.backoff = now - s.restored_at < kRelapse ? std::min(2 * s.backoff, kMaxProbeBackoff) : kMinProbeBackoff;
    schedule_probe(slot, s, now, s.backoff * (0.75 + random.unit() / 2));
    return Change::kEjected;
  }

  // Returns a server that is due for a probe and may be probed with this request. A request that must not run
  // twice is lost on a server that accepts and breaks it, so it is a probe only where nothing can be sent
  // there at all, or where no other request comes that could find out.
  // `none_healthy`: one server after another is probed, as nothing can be lost. `find` yields a slot's
  // health, or null; `allowed` tells whether this request may go to it.
  template <class Find, class May>
  std::optional<std::size_t> probe(bool repeatable, bool none_healthy, double now, Find&& find,
                                   May&& allowed) {
    probe_tokens_ = std::min(kMaxProbeBudget, probe_tokens_ + kProbeBudgetRatio);
    if (repeatable) last_repeatable_at_ = now;
    const bool at_once = none_healthy && now - last_probe_at_ >= kLastResortSeconds;
    std::vector<DueProbe> skipped;  // not for this request; those behind them may be
    std::optional<std::size_t> chosen;
    while (!chosen && skipped.size() < kMaxSkipped && !due_.empty() &&
           (at_once || (due_.top().at <= now && probe_tokens_ >= 1))) {
      const DueProbe next = due_.top();
      due_.pop();
      ServerHealth* s = find(next.slot);
      if (s == nullptr || !(s->ejected || s->avoided) || s->probing || s->next_probe_at != next.at) continue;
      if (!may_probe(*s, repeatable, none_healthy, now) || !allowed(next.slot)) {
        skipped.push_back(next);
        continue;
      }
      s->probing = true;
      s->probed_at = last_probe_at_ = now;
      probe_tokens_ = std::max(0.0, probe_tokens_ - 1);
      chosen = next.slot;
    }
    for (const DueProbe& due : skipped) due_.push(due);
    return chosen;
  }

 private:
  struct DueProbe {
    double at;
    std::size_t slot;
    bool operator>(const DueProbe& other) const { return at != other.at ? at > other.at : slot > other.slot; }
  };
  bool may_probe(const ServerHealth& s, bool repeatable, bool none_healthy, double now) const {
    if (repeatable) return true;
    if (!s.ejected) return false;
    const bool only_unsafe = now - std::max(last_repeatable_at_, s.ejected_at) > kNoRepeatableSeconds;
    return (s.fails_unrun && (only_unsafe || none_healthy)) ||
           (only_unsafe && now - s.next_probe_at > kUnsafeProbeSeconds);
  }

  // An avoided server is probed now and then, or its recovery would show much later. It stays avoided until
  // enough answers show that: one that loses every other call does not return by one.
  void update_avoided(std::size_t slot, ServerHealth& s, bool failed, bool unhealthy, double now,
                      Random& random) {
    if (!unhealthy) {
      s.avoided = s.probing = false;
    } else if (s.avoided ? s.probing : failed) {
      s.backoff = s.avoided && failed ? std::min(2 * s.backoff, kMaxProbeBackoff) : kMinProbeBackoff;
      s.avoided = true;
      schedule_probe(slot, s, now, s.backoff * (0.75 + random.unit() / 2));
    }
  }

  void schedule_probe(std::size_t slot, ServerHealth& s, double now, double delay) {
    s.probing = false;
    s.next_probe_at = now + delay;
    due_.push({s.next_probe_at, slot});
  }

  double failure_ratio_ = 0, rejection_ratio_ = 0, probe_tokens_ = kMaxProbeBudget;
  double last_repeatable_at_ = -std::numeric_limits<double>::infinity(), last_probe_at_ = last_repeatable_at_;
  std::priority_queue<DueProbe, std::vector<DueProbe>, std::greater<>> due_;
};

}  // namespace quinceusher
