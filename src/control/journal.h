// The write-ahead log of a core machine: its disk id, and the logs and snapshots of its groups' replicas.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "consensus/replica.h"
#include "control/bootstrap.h"
#include "storage/segment_ring.h"

namespace nettlestand::tier {

// Identifies a consensus group.
using GroupId = std::uint32_t;

// Stores the replicas of all groups in one ring of segments.
class ControlJournal {
 public:
  struct Options {
    std::string directory;
    std::uint64_t disk_mb = 64;
    std::uint64_t segment_bytes = 10U << 20;  // holds a 4 MiB configuration with its history twice
    storage::FileSystem* files = &storage::posix_file_system();
    // The internal addresses of the seeds at the system's first start, at which an empty disk begins to take
    // part in the bootstrap; none at later starts.
    std::vector<std::string> first_start_seeds;
  };
  // Opens the journal. An empty disk gets the id `new_disk_id`, which is durable on return. So does a disk
  // whose journal is corrupt: votes and log entries may be missing, so the machine rejoins the groups like
  // one with an empty disk, and takes no part in the bootstrap.
  static absl::StatusOr<std::unique_ptr<ControlJournal>> open(const Options& options,
                                                              std::uint64_t new_disk_id);

  std::uint64_t disk_id() const { return disk_id_; }
  // What the disk keeps of the bootstrap. Only until the first write.
  const BootstrapState& bootstrap_state() const { return bootstrap_; }
  // Moves out the stored state from which a group's replica starts; empty if there is none.
  consensus::StoredState take_stored_state(GroupId group);

  // Appends the durable part of a Ready. It is durable after sync().
  absl::Status append(GroupId group, const consensus::Ready& ready);
  // Appends the state of the bootstrap, which replaces the former one. It is durable after sync().
  absl::Status append_bootstrap(BootstrapState state);
  absl::Status sync() { return ring_->sync(); }
  // Whether so many segments are in use that a checkpoint is needed. May be called on any thread.
  bool needs_checkpoint() const;
  // Writes the complete state of all groups to a new segment and releases the older ones.
  absl::Status checkpoint(const std::map<GroupId, consensus::StoredState>& groups);

 private:
  ControlJournal() = default;
  static absl::StatusOr<std::unique_ptr<ControlJournal>> load(const storage::RingOptions& options);
  void load_record(std::string_view record);
  absl::Status append_identity();
  absl::Status initialize(std::uint64_t disk_id);
  absl::Status rewrite_at_open();
  absl::Status write_with_reserve(const std::map<GroupId, consensus::StoredState>& groups);
  absl::Status write_groups(const std::map<GroupId, consensus::StoredState>& groups);

  std::unique_ptr<storage::SegmentRing> ring_;
  std::uint64_t disk_id_ = 0;
  BootstrapState bootstrap_{};
  std::map<GroupId, consensus::StoredState> stored_;
};

}  // namespace nettlestand::tier
