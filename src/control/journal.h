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
  // Opens the journal; a disk that holds none gets a new identity, which is durable on return.
  static absl::StatusOr<std::unique_ptr<ControlJournal>> open(const std::string& directory,
                                                              std::uint64_t disk_mb,
                                                              std::uint64_t new_identity);

  std::uint64_t disk_id() const { return disk_id_; }
  // What a group's replica starts with; empty where the disk has nothing of it.
  consensus::StoredState take_stored(GroupId group);

  // Queues what a ready wants to be durable.
  absl::Status append(GroupId group, const consensus::Ready& ready);
  absl::Status sync() { return ring_->sync(); }
  // Whether so much is used that the groups should be written anew, in whole.
  bool wants_checkpoint() const;
  absl::Status checkpoint(const std::map<GroupId, consensus::StoredState>& groups);

 private:
  ControlJournal() = default;
  void load(std::string_view record);
  absl::Status append_identity();

  std::unique_ptr<storage::SegmentRing> ring_;
  std::uint64_t disk_id_ = 0;
  std::map<GroupId, consensus::StoredState> stored_;
};

}  // namespace nettlestand::tier
