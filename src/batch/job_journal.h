// The write-ahead log of job changes: appended in order, replayed at start, and reclaimed segment by segment
// once their jobs are gone.
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
    std::uint64_t segment_bytes = 12U << 20;  // the largest job fits together with its results
    storage::FileSystem* files = &storage::posix_file_system();
  };
  // Opens the journal and replays it into `table`. A disk without a journal gets the new identity. So does
  // one whose journal is damaged, since it may have lost changes: under a new identity it is filled again
  // like an empty disk.
  static absl::StatusOr<std::unique_ptr<JobJournal>> open(const Options& options, std::uint64_t new_identity,
                                                          JobTable& table, Millis now);

  StoreId disk_id() const { return disk_id_; }
  absl::Status append(const JobChange& change);
  absl::Status sync() { return ring_->sync(); }

  // What to rewrite so that the oldest segment can be reclaimed; nothing if none is to be reclaimed now. Must
  // not be called while a write is in flight. `uncommitted`: changes that are in the journal and not in the
  // table, since they wait for other replicas; they have to follow the snapshots of their jobs again.
  struct ReclaimPlan {
    storage::Generation segment = 0;
    std::vector<JobChange> changes;  // recreate the jobs that have records in the segment
  };
  std::optional<ReclaimPlan> plan_reclaim(const JobTable& table,
                                          const std::vector<JobChange>& uncommitted) const;
  absl::Status reclaim(const ReclaimPlan& plan);

  // Whether there is space for new jobs besides what running ones will need. Safe to call on any thread.
  bool accepts_jobs() const;
  std::size_t free_segments() const { return ring_->free_segments(); }
  // Increases with each process start on this disk.
  std::uint64_t starts() const { return starts_; }
  // Items whose content did not match their digest when the journal was replayed.
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
