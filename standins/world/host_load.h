// Whether the stand-ins of a world keep up: how late their event loop runs what is due, and what the machine
// did meanwhile.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "standins/common/loop.h"

namespace nettlestand::standins {

// Measures on the event loop itself, by a timer of its own. So it also tells where the whole process stood
// still, and with it every thread that might have watched from outside.
class LoopDelayMonitor {
 public:
  explicit LoopDelayMonitor(Loop& loop);
  ~LoopDelayMonitor();
  LoopDelayMonitor(const LoopDelayMonitor&) = delete;
  LoopDelayMonitor& operator=(const LoopDelayMonitor&) = delete;

  // s that the loop was late at the most so far; for any thread.
  double max_delay() const { return state_->max_delay; }

 private:
  struct State {
    std::atomic<double> max_delay = 0;
    Loop::Timer timer{0, 0};
    bool stopped = false;  // on the loop
  };
  static void schedule_sample(Loop& loop, const std::shared_ptr<State>& state);

  Loop& loop_;
  std::shared_ptr<State> state_ = std::make_shared<State>();
};

// What a machine has made its processes wait for, in s since it started, and this process's part of it. All 0
// where the kernel does not tell.
struct HostStalls {
  double cpu = 0, io = 0, memory = 0;  // somebody waited
  double major_faults = 0;             // of this process: pages read from a disk

  static HostStalls now();
  HostStalls since(const HostStalls& before) const;
  std::string text() const;
};

}  // namespace nettlestand::standins
