// Discrete-event scheduler with simulated time. Events run in order of their time; events with the same time
// run in the order in which they were scheduled.
#pragma once

#include <functional>
#include <queue>
#include <vector>

#include "base/time.h"

namespace nettlestand::tier::simulate {

class Scheduler {
 public:
  Millis now() const { return now_; }
  // A time in the past means now.
  void schedule_at(Millis time, std::function<void()> action) {
    events_.push({std::max(time, now_), ++last_sequence_, std::move(action)});
  }
  void schedule_after(Millis delay, std::function<void()> action) {
    schedule_at(now_ + delay, std::move(action));
  }
  // Runs all events that are due by `end`, then sets the time to `end`.
  void run_until(Millis end) {
    while (!events_.empty() && events_.top().time <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.action();
    }
    now_ = end;
  }

 private:
  struct Event {
    Millis time = 0;
    std::uint64_t sequence = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(time, sequence) > std::pair(other.time, other.sequence);
    }
  };
  Millis now_ = 0;
  std::uint64_t last_sequence_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace nettlestand::tier::simulate
