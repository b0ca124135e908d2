// The schedule by which the daemon drains after SIGTERM, for other programs that drain in the same way. Pure
// arithmetic on the time since the signal; it reads no clock.
#pragma once

#include <algorithm>

namespace nettlestand {

// Assumes that new connections arrive for up to 0.4 s after the signal, and that SIGKILL comes no sooner than
// 0.7 s plus the longest deadline (at most 3 s) after the signal.
class DrainPlan {
 public:
  // `is_only_node`: no other node serves this tier, so clients can't go elsewhere. `longest_deadline`: the
  // longest deadline of all request classes, in seconds.
  DrainPlan(bool is_only_node, double longest_deadline)
      : is_only_node_(is_only_node),
        final_answers_at_(std::min(longest_deadline, kMaxDeadline) + kFinalAnswersDelay) {}

  // All functions take the time since the signal in seconds.
  bool accepts_connections(double since) const { return since < kAcceptPeriod; }
  // Whether each answer now closes its connection and idle connections are closed. An only node does this
  // late: closing its connections at the signal would leave its clients without service for seconds in which
  // it can still serve.
  bool closes_connections(double since) const {
    const double closes_at = is_only_node_ ? final_answers_at_ - kOnlyNodeLeadTime
                                           : final_answers_at_ - kFinalAnswersDelay - kRedirectLeadTime;
    return since >= std::max(kAcceptPeriod, closes_at);
  }
  // Whether all open requests are answered now, as if their deadlines had passed.
  bool expires_open_requests(double since) const { return since >= final_answers_at_; }
  // Whether the process may exit: as soon as no connection is left, at the latest when the final answers have
  // had time to be written.
  bool is_finished(double since, bool has_connections) const {
    return (since >= kAcceptPeriod + 0.1 && !has_connections) || since >= final_answers_at_ + kFlushPeriod;
  }

  [[deprecated("use accepts_connections()")]] bool accepts(double since) const {
    return accepts_connections(since);
  }
  [[deprecated("use closes_connections()")]] bool finishing(double since) const {
    return closes_connections(since);
  }
  [[deprecated("use expires_open_requests()")]] bool last_answers(double since) const {
    return expires_open_requests(since);
  }
  [[deprecated("use is_finished()")]] bool over(double since, bool connections) const {
    return is_finished(since, connections);
  }

 private:
  static constexpr double kAcceptPeriod = 0.55;  // s
  static constexpr double kMaxDeadline = 3;      // s
  static constexpr double kRedirectLeadTime =
      1.2;  // s before the longest deadline: clients move to other nodes
  static constexpr double kOnlyNodeLeadTime = 0.1;    // s before the final answers, if this is the only node
  static constexpr double kFinalAnswersDelay = 0.45;  // s after the longest deadline
  static constexpr double kFlushPeriod = 0.1;         // s after the final answers, to write them

  bool is_only_node_;
  double final_answers_at_;
};

}  // namespace nettlestand
