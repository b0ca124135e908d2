// A queue of writes that become durable in submission order, off the event loop: a stalled disk delays only
// what waits for it.
#pragma once

#include <absl/status/status.h>

#include <functional>

#include "base/time.h"

namespace nettlestand::tier::storage {

class DiskQueue {
 public:
  using Write = std::function<absl::Status()>;
  using Done = std::function<void(Millis now, const absl::Status& status)>;

  virtual ~DiskQueue() = default;
  // Runs `write`, syncs, and calls `done` on the event loop with the outcome of both. Writes that wait
  // together share one sync. Only writes may access the journal behind the queue.
  virtual void submit(Write write, Done done) = 0;
};

// Runs each write synchronously, on the caller's thread.
class InlineDiskQueue : public DiskQueue {
 public:
  InlineDiskQueue(std::function<absl::Status()> sync, std::function<Millis()> clock)
      : sync_(std::move(sync)), clock_(std::move(clock)) {}
  void submit(Write write, Done done) override {
    absl::Status status = write();
    if (status.ok()) status = sync_();
    done(clock_(), status);
  }

 private:
  std::function<absl::Status()> sync_;
  std::function<Millis()> clock_;
};

}  // namespace nettlestand::tier::storage
