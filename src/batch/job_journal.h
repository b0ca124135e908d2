// Job changes on disk: appended in order, applied again at a start, and given up once their jobs are gone.
#pragma once

#include <absl/status/statusor.h>

#include <map>
#include <memory>
#include <set>
#include <string>

#include "batch/job_table.h"
#include "storage/segment_ring.h"

namespace nettlestand::tier {

class JobJournal {
 public:
  // Opens the journal and fills `table`; a disk that holds none gets the new identity.
  static absl::StatusOr<std::unique_ptr<JobJournal>> open(const std::string& directory, std::uint64_t disk_mb,
                                                          std::uint64_t new_identity, JobTable& table,
                                                          Millis now);

  StoreId disk_id() const { return disk_id_; }
  absl::Status append(const JobChange& change);
  absl::Status sync() { return ring_->sync(); }
  // Gives back space; copies what the oldest segment still holds where little is free.
  void reclaim(const JobTable& table);
  // Whether there is room for new jobs beside what running ones will need.
  bool accepts_jobs() const;
  std::size_t free_segments() const { return ring_->free_segments(); }

 private:
  JobJournal() = default;
  void load(std::string_view record, storage::Generation segment, JobTable& table, Millis now);
  void note(const JobChange& change, storage::Generation segment);
  absl::Status append_identity();

  std::unique_ptr<storage::SegmentRing> ring_;
  StoreId disk_id_ = 0;
  std::size_t segments_ = 0;
  std::map<storage::Generation, std::set<JobKey>> jobs_in_;  // jobs with records in a segment
  storage::Generation identity_in_ = 0;
};

}  // namespace nettlestand::tier
