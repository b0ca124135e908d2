// Job changes on disk: appended in order, applied again at a start, and given up once their jobs are gone.
#pragma once

#include <absl/status/statusor.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "batch/job_table.h"
#include "storage/segment_ring.h"

namespace nettlestand::tier {

class JobJournal {
 public:
  struct Options {
    std::string directory;
    std::uint64_t disk_mb = 64;
    std::uint64_t segment_bytes = 12U << 20;  // the largest job with its results fits
    storage::FileSystem* files = &storage::posix_file_system();
  };
  // Opens the journal and fills `table`; a disk that holds none gets the new identity. So does one whose
  // journal is damaged: what it may have forgotten is copied to it again, as to an emptied disk.
  static absl::StatusOr<std::unique_ptr<JobJournal>> open(const Options& options, std::uint64_t new_identity,
                                                          JobTable& table, Millis now);

  StoreId disk_id() const { return disk_id_; }
  absl::Status append(const JobChange& change);
  absl::Status sync() { return ring_->sync(); }

  // What has to be written anew so that the oldest segment can be given back; nothing where none is to be. To
  // be asked while no write is under way. `uncommitted`: changes that the journal holds and the table does
  // not, as they wait for other copies; they have to stand behind the copies again.
  struct ReclaimPlan {
    storage::Generation segment = 0;
    std::vector<JobChange> changes;  // make the jobs that it holds
  };
  std::optional<ReclaimPlan> plan_reclaim(const JobTable& table,
                                          const std::vector<JobChange>& uncommitted) const;
  absl::Status reclaim(const ReclaimPlan& plan);

  // Whether there is room for new jobs beside what running ones will need. May be asked on any thread.
  bool accepts_jobs() const;
  std::size_t free_segments() const { return ring_->free_segments(); }
  // Rises with each start on this disk.
  std::uint64_t starts() const { return starts_; }
  // Items that were not what their clients sent when they were read at the start.
  std::size_t corrupted_items() const { return corrupted_items_; }

 private:
  JobJournal() = default;
  static absl::StatusOr<std::unique_ptr<JobJournal>> load(const storage::RingOptions& options,
                                                          JobTable& table, Millis now);
  void load_record(std::string_view record, storage::Generation segment, JobTable& table, Millis now);
  void index_change(const JobChange& change, storage::Generation segment);
  absl::Status append_identity();

  std::unique_ptr<storage::SegmentRing> ring_;
  StoreId disk_id_ = 0;
  std::size_t max_segments_ = 0;
  std::uint64_t starts_ = 0;
  std::size_t corrupted_items_ = 0;
  std::map<storage::Generation, std::set<JobKey>> jobs_by_segment_;  // jobs with records in a segment
  storage::Generation identity_segment_ = 0;
};

}  // namespace nettlestand::tier
