// How the daemon ends after SIGTERM, for whoever else ends so: what holds how long after the signal. No
// clock.
#pragma once

#include <algorithm>

namespace nettlestand {

// New connections still come for up to 0.4 s after the signal, and SIGKILL no sooner than the longest
// deadline (3 s at most) and 0.7 s after it.
class DrainPlan {
 public:
  // `alone`: the only node before its tier; clients have no other to go to. `longest_deadline`: s, of all
  // classes.
  DrainPlan(bool is_only_node, double longest_deadline)
      : is_only_node_(is_only_node),
        final_answers_at_(std::min(longest_deadline, kMaxDeadline) + kFinalAnswersDelay) {}

  // All take the seconds since the signal.
  bool accepts_connections(double since) const { return since < kAcceptPeriod; }
  // Answers end their connections from here on, and what is idle is closed. Guards the clients of a node that
  // restarts alone: closing their connections at the signal leaves them without service for seconds in which
  // it can still serve.
  bool closes_connections(double since) const {
    const double closes_at = is_only_node_ ? final_answers_at_ - kOnlyNodeLeadTime
                                           : final_answers_at_ - kFinalAnswersDelay - kRedirectLeadTime;
    return since >= std::max(kAcceptPeriod, closes_at);
  }
  // What is open is answered now.
  bool expires_open_requests(double since) const { return since >= final_answers_at_; }
  // It ends: at once where no connection is left, at the latest when the last answers have had time to be
  // written.
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
      1.2;  // s before the longest deadline, clients are sent to other nodes
  static constexpr double kOnlyNodeLeadTime = 0.1;  // s before the last answers, where there is no other node
  static constexpr double kFinalAnswersDelay = 0.45;  // s over the longest deadline
  static constexpr double kFlushPeriod = 0.1;         // s after that, for answers to be written

  bool is_only_node_;
  double final_answers_at_;
};

}  // namespace nettlestand
