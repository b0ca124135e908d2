// Measures whether the machine keeps up with a test cluster: the delay of the test doubles' event loop, that
// of the disk, and the stalls meanwhile.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

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

// Measures how long the disk takes to make a write durable: writes and syncs at short intervals, on a thread
// of its own.
class DiskDelayMonitor {
 public:
  // Writes to a file of its own in `folder`.
  explicit DiskDelayMonitor(const std::string& folder);
  // `write` makes one write durable.
  explicit DiskDelayMonitor(std::function<void()> write);
  // Waits for the write in progress.
  ~DiskDelayMonitor();
  DiskDelayMonitor(const DiskDelayMonitor&) = delete;
  DiskDelayMonitor& operator=(const DiskDelayMonitor&) = delete;

  // Longest write so far in s; the one in progress counts with what it has taken. Thread-safe.
  double max_delay() const;

 private:
  void run();

  std::function<void()> write_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopped_ = false;
  double started_at_ = 0;  // of the write in progress; 0 if there is none
  double max_delay_ = 0;
  std::thread thread_;
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
