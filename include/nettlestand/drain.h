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
  DrainPlan(bool alone, double longest_deadline)
      : alone_(alone), last_answers_(std::min(longest_deadline, kLongestDeadline) + kLastAnswers) {}

  // All take the seconds since the signal.
  bool accepts(double since) const { return since < kAcceptOn; }
  // Answers end their connections from here on, and what is idle is closed. Guards the clients of a node that
  // restarts alone: closing their connections at the signal leaves them without service for seconds in which
  // it can still serve.
  bool finishing(double since) const {
    const double served = alone_ ? last_answers_ - kServeAlone : last_answers_ - kLastAnswers - kMoveOn;
    return since >= std::max(kAcceptOn, served);
  }
  // What is open is answered now.
  bool last_answers(double since) const { return since >= last_answers_; }
  // It ends: at once where no connection is left, at the latest when the last answers have had time to be
  // written.
  bool over(double since, bool connections) const {
    return (since >= kAcceptOn + 0.1 && !connections) || since >= last_answers_ + kExit;
  }

 private:
  static constexpr double kAcceptOn = 0.55;      // s
  static constexpr double kLongestDeadline = 3;  // s
  static constexpr double kMoveOn = 1.2;  // s before the longest deadline, clients are sent to other nodes
  static constexpr double kServeAlone = 0.1;    // s before the last answers, where there is no other node
  static constexpr double kLastAnswers = 0.45;  // s over the longest deadline
  static constexpr double kExit = 0.1;          // s after that, for answers to be written

  bool alone_;
  double last_answers_;
};

}  // namespace nettlestand
