// Measures whether the test doubles keep up: the delay of their event loop, and the stalls of the machine
// meanwhile.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "standins/common/loop.h"

namespace nettlestand::standins {

// Measures the delay of an event loop with a timer on that loop. It therefore also detects that the whole
// process was stopped, which a thread watching from outside would not, being stopped as well.
class LoopDelayMonitor {
 public:
  explicit LoopDelayMonitor(Loop& loop);
  ~LoopDelayMonitor();
  LoopDelayMonitor(const LoopDelayMonitor&) = delete;
  LoopDelayMonitor& operator=(const LoopDelayMonitor&) = delete;

  // Longest delay so far in s. Thread-safe.
  double max_delay() const { return state_->max_delay; }

 private:
  struct State {
    std::atomic<double> max_delay = 0;
    Loop::Timer timer{0, 0};
    bool stopped = false;  // accessed on the loop only
  };
  static void schedule_sample(Loop& loop, const std::shared_ptr<State>& state);

  Loop& loop_;
  std::shared_ptr<State> state_ = std::make_shared<State>();
};

// Stall times of the machine in s since boot (pressure stall information), and the page faults of this
// process. All 0 if the kernel does not provide them.
struct HostStalls {
  double cpu = 0, io = 0, memory = 0;  // time in which some process waited
  double major_faults = 0;             // pages that this process had to read from disk

  static HostStalls now();
  HostStalls since(const HostStalls& before) const;
  std::string text() const;
};

}  // namespace nettlestand::standins
