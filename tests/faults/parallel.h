// Runs several worlds in parallel, since they mostly wait. Failures of a run during which the process was
// stalled are retried: if nothing runs for half a second, clients time out through no fault of the node.
#pragma once

#include <atomic>
#include <chrono>
#include <exception>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace nettlestand::standins::testing {

// Counts the times that this process was not scheduled for more than 0.5 s. The destructor ends its thread.
class StallMonitor {
 public:
  StallMonitor() : thread_([this] { watch(); }) {}
  ~StallMonitor() {
    stopping_ = true;
    thread_.join();
  }
  StallMonitor(const StallMonitor&) = delete;
  StallMonitor& operator=(const StallMonitor&) = delete;
  int count() const { return count_; }

 private:
  void watch() {
    using Clock = std::chrono::steady_clock;
    for (auto last = Clock::now(); !stopping_;) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      const auto now = Clock::now();
      if (now - last > std::chrono::milliseconds(500)) ++count_;
      last = now;
    }
  }

  std::atomic<int> count_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

// Runs f(0) to f(count - 1), `width` in parallel, and returns their failures as one text.
inline std::string run_parallel(int count, int width, const std::function<std::string(int)>& f) {
  std::atomic<int> next = 0;
  std::mutex mutex;
  std::string out;
  const StallMonitor watch;
  std::vector<std::thread> threads;
  for (int i = 0; i < width; ++i) {
    threads.emplace_back([&] {
      for (int mine = next++; mine < count; mine = next++) {
        std::string found;
        for (int tries = 0; tries < 3; ++tries) {
          const int before = watch.count();
          try {
            found = f(mine);
          } catch (const std::exception& problem) {
            found = std::string("thrown: ") + problem.what() + "\n";
          }
          if (found.empty() || watch.count() == before) break;
        }
        const std::lock_guard lock(mutex);
        out += found;
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  return out;
}

}  // namespace nettlestand::standins::testing
