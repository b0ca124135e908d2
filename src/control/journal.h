// What a core machine keeps on its disk: its identity, and the logs and snapshots of the groups' replicas.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "consensus/replica.h"
#include "storage/segment_ring.h"

namespace nettlestand::tier {

using GroupId = std::uint32_t;

class ControlJournal {
 public:
  struct Options {
    std::string directory;
    std::uint64_t disk_mb = 64;
    std::uint64_t segment_bytes = 10U << 20;  // a configuration of 4 MiB with its history fits twice
    storage::FileSystem* files = &storage::posix_file_system();
  };
  // Opens the journal; a disk that holds none gets the new identity, which is durable on return. So does one
  // whose journal is damaged: it may have forgotten what it promised, and is taken in by the others as an
  // emptied one is.
  static absl::StatusOr<std::unique_ptr<ControlJournal>> open(const Options& options,
                                                              std::uint64_t new_disk_id);

  std::uint64_t disk_id() const { return disk_id_; }
  // Whether the disk held nothing before.
  bool is_new() const { return is_new_; }
  // What a group's replica starts with; empty where the disk has nothing of it.
  consensus::StoredState take_stored_state(GroupId group);

  // Queues what a ready wants to be durable.
  absl::Status append(GroupId group, const consensus::Ready& ready);
  absl::Status sync() { return ring_->sync(); }
  // Whether so much is used that the groups should be written anew, in whole. May be asked on any thread.
  bool needs_checkpoint() const;
  absl::Status checkpoint(const std::map<GroupId, consensus::StoredState>& groups);

 private:
  ControlJournal() = default;
  static absl::StatusOr<std::unique_ptr<ControlJournal>> load(const storage::RingOptions& options);
  void load_record(std::string_view record);
  absl::Status append_identity();
  absl::Status rewrite_at_open();
  absl::Status write_with_reserve(const std::map<GroupId, consensus::StoredState>& groups);
  absl::Status write_groups(const std::map<GroupId, consensus::StoredState>& groups);

  std::unique_ptr<storage::SegmentRing> ring_;
  std::uint64_t disk_id_ = 0;
  bool is_new_ = false;
  std::map<GroupId, consensus::StoredState> stored_;
};

}  // namespace nettlestand::tier
