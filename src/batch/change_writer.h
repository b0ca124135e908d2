// Writes changes of jobs to a store's journal, in order, away from the event loop.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "batch/job_journal.h"
#include "storage/disk_queue.h"

namespace nettlestand::tier {

class ChangeWriter {
 public:
  ChangeWriter(JobJournal& journal, storage::DiskQueue& queue) : journal_(journal), queue_(queue) {}

  // Runs `write` behind all that was submitted before, and tells `done` once it is synced or has failed.
  void submit(storage::DiskQueue::Write write, storage::DiskQueue::Done done);
  // Appends changes, and tells how many of them the journal has queued, also where that fails: these get onto
  // the disk with a later write, so whoever does not try them again has to count them as held.
  using Done = std::function<void(Millis now, const absl::Status& status, std::size_t queued)>;
  void append(std::shared_ptr<const std::vector<JobChange>> changes, Done done);
  // Whether nothing is being written.
  bool is_idle() const { return writes_in_flight_ == 0; }

 private:
  void log_status_change(const absl::Status& status);

  JobJournal& journal_;
  storage::DiskQueue& queue_;
  std::size_t writes_in_flight_ = 0;
  bool is_failing_ = false;
};

}  // namespace nettlestand::tier
