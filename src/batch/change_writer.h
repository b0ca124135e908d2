// Appends job changes to a store's journal through its disk queue: in submission order and off the event
// loop.
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

  // Queues `write` behind all earlier submissions and calls `done` once it is synced or has failed.
  void submit(storage::DiskQueue::Write write, storage::DiskQueue::Done done);
  // Appends changes to the journal. `done` gets the number of changes that the journal has queued, also on
  // failure: a later write brings these to the disk, so a caller that does not retry them has to treat them
  // as stored.
  using Done = std::function<void(Millis now, const absl::Status& status, std::size_t queued)>;
  void append(std::shared_ptr<const std::vector<JobChange>> changes, Done done);
  // Whether no write is in flight.
  bool is_idle() const { return writes_in_flight_ == 0; }

 private:
  void log_status_change(const absl::Status& status);

  JobJournal& journal_;
  storage::DiskQueue& queue_;
  std::size_t writes_in_flight_ = 0;
  bool is_failing_ = false;
};

}  // namespace nettlestand::tier
