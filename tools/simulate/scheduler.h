// Simulated time: events run in the order of their time, those of one time in the order of their making.
#pragma once

#include <functional>
#include <queue>
#include <vector>

#include "base/time.h"

namespace nettlestand::tier::simulate {

class Scheduler {
 public:
  Millis now() const { return now_; }
  void at(Millis time, std::function<void()> run) {
    events_.push({std::max(time, now_), ++numbers_, std::move(run)});
  }
  void after(Millis span, std::function<void()> run) { at(now_ + span, std::move(run)); }
  // Runs all events up to a time.
  void run_until(Millis end) {
    while (!events_.empty() && events_.top().time <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.run();
    }
    now_ = end;
  }

 private:
  struct Event {
    Millis time = 0;
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(time, number) > std::pair(other.time, other.number);
    }
  };
  Millis now_ = 0;
  std::uint64_t numbers_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace nettlestand::tier::simulate
