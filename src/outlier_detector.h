// Which servers are left out for a while: those that refuse connections, never come up, or break off what
// they are sent. Nothing here picks a server; the pick asks it.
//
// Times here are on the scale on which processes die and come back, not on that of answers.
#pragma once

#include <algorithm>
#include <limits>
#include <optional>
#include <queue>
#include <vector>

#include "quinceusher/balancer.h"
#include "support.h"

namespace quinceusher {

constexpr int kMaxConnectFailures = 3;  // connects in a row that fail; 1 where the server has never answered
constexpr int kMaxUnanswered = 6;       // calls in a row without an answer
constexpr int kMaxRejections = 4;       // calls in a row that are turned away: full, or it drains
constexpr double kMinProbeBackoff = 0.25;  // s before the first probe, doubled by each that fails
constexpr double kMaxProbeBackoff = 2;     // s; a server that is back has its share within twice that
constexpr double kRelapse = 10;            // s; who is left out again so soon goes on with the longer pause
constexpr double kRampSeconds = 2;  // s from the first answer of a server that is back to its full share
constexpr double kRampStart = 0.1;  // of its share, at the start of that
constexpr double kProbeBudgetRatio = 0.1;    // of the requests may be probes
constexpr double kMaxProbeBudget = 3;        // probes saved up at most
constexpr std::size_t kMaxSkipped = 8;       // servers that one request may pass over to find one it may try
constexpr double kSharedRatio = 0.5;         // of all calls without an answer: the cause is not one server's
constexpr std::size_t kHealthyDivisor = 4;   // one of so many stays in, whatever breaks
constexpr double kFailureRatioGain = 0.05;   // weight of one call in that
constexpr double kLastResortSeconds = 0.05;  // s between probes where no server is well
constexpr double kNoRepeatableSeconds = 5;   // s without a request that may be repeated
constexpr double kUnsafeProbeSeconds =
    10;  // s past its pause; nobody else has found out: an unsafe request must

// What a copy holds of one server.
struct ServerHealth {
  int connect_failures = 0, unanswered = 0, rejections = 0;  // in a row
  bool answered_ever = false;
  bool ejected = false;
  bool avoided = false;  // not out, but shunned for what it has lost
  bool probing = false;
  bool fails_unrun = false;  // why it is out: nothing that was sent can have run
  double ejected_at = 0, next_probe_at = 0, backoff = 0, probed_at = 0;
  double restored_at = -std::numeric_limits<double>::infinity();

  // The part of its share that it gets.
  double ramp(double now) const {
    return now - restored_at >= kRampSeconds ? 1 : std::max(kRampStart, (now - restored_at) / kRampSeconds);
  }
};

class OutlierDetector {
 public:
  enum class Change { kNone, kEjected, kRestored };

  // An attempt has ended. `ill` tells whether the pick shuns the server now; `others`, how many servers that
  // are well would remain, of how many in all.
  // Danger: where the cause is shared, each server alone looks ill, and the rest drown.
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
    // What was sent before it was left out tells nothing of how it is now.
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

  // A request has come: whether a server that is left out is due to be tried with it, and which.
  // Danger: a request that must not run twice is lost on a server that takes it and breaks. So it is never
  // the first to go there, unless what is wrong there is that nothing can be sent at all, or no other request
  // comes that could find out.
  //
  // `none`: no server is well. Then one is tried again and again, for there is nothing to lose by it.
  // `find` gives a slot's standing, or null where nobody is there; `may` tells whether this request may go to
  // it.
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

  // Who is shunned is tried now and then, or it is known only much later that it answers again. Until enough
  // of its answers tell so it stays shunned: a server that loses every other call does not come back by one.
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
