#include "batch/change_writer.h"

#include <utility>

#include "node/log.h"

namespace nettlestand::tier {

void ChangeWriter::submit(storage::DiskQueue::Write write, storage::DiskQueue::Done done) {
  ++writes_in_flight_;
  queue_.submit(std::move(write), [this, done = std::move(done)](Millis now, const absl::Status& status) {
    --writes_in_flight_;
    log_status_change(status);
    done(now, status);
  });
}

void ChangeWriter::append(std::shared_ptr<const std::vector<JobChange>> changes, Done done) {
  const auto queued = std::make_shared<std::size_t>(0);
  const auto write = [this, changes = std::move(changes), queued] {
    for (const JobChange& change : *changes) {
      if (absl::Status status = journal_.append(change); !status.ok()) return status;
      ++*queued;
    }
    return absl::OkStatus();
  };
  submit(write, [done = std::move(done), queued](Millis now, const absl::Status& status) {
    done(now, status, *queued);
  });
}

// Logs the first failed write, and the first successful one after failures.
void ChangeWriter::log_status_change(const absl::Status& status) {
  if (status.ok() != is_failing_) return;
  is_failing_ = !status.ok();
  if (is_failing_) {
    NETTLESTAND_WARNING("journal write failed error=" << status.message());
  } else {
    NETTLESTAND_INFO("journal writes succeed again");
  }
}

}  // namespace nettlestand::tier
