// Placement of the batch jobs' shards on storage machines: plans changes of the placement table. No I/O.
//
// Primary-backup replication with the configuration group as master (as published for PacificA). Every member
// holds all acknowledged changes, and a primary that can't reach a member waits until the master has removed
// it. Only a member is ever promoted or, if none is left, a replica that was a member until there were too
// few: a primary acknowledges nothing while it has fewer recorded members than the required number of
// replicas. docs/design/control-safety.md discusses the cases.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "messaging/messages.h"

namespace nettlestand::tier {

// The number of shards of the batch jobs.
constexpr std::uint32_t kBatchShards = 24;
// A primary may act for this long after it sent a poll that was answered.
constexpr Millis kPrimaryLeaseMs = 700;
// A store that has not polled for this long counts as dead. Its primary lease has expired by then.
constexpr Millis kStoreTimeoutMs = 1150;

// The shard of a tenant's jobs. All jobs of a tenant are in one shard, so that its queued tokens are counted
// in one place.
std::uint32_t batch_shard_of(const std::string& tenant);
// The number of stores that may have items to run: primaries of shards to which a tenant belongs.
std::size_t count_stores_with_jobs(const PlacementTable& table, const Configuration& configuration);
// The address of the primary of a tenant's shard; empty if the table has none.
std::string primary_address(const PlacementTable& table, const std::string& tenant);

// Plans placement changes at the leader of the configuration group; created anew with each leadership.
class PlacementPlanner {
 public:
  // `fault_tolerance`: the number of disks that may fail at once; each job has one replica more.
  PlacementPlanner(std::size_t fault_tolerance, Millis leader_since)
      : replica_count_(fault_tolerance + 1), leader_since_(leader_since) {}

  // Records a poll of a store and its in-sync reports.
  void on_poll(Millis now, const Poll& poll);
  // Returns the next change to propose, if any.
  std::optional<PlacementChange> plan(Millis now, const PlacementTable& table);
  // Returns the change that starts to retire a machine, or nothing if it is unknown. `refused` is set if too
  // few stores would be left.
  std::optional<PlacementChange> retire(Millis now, const PlacementTable& table, const std::string& name,
                                        bool& refused) const;
  // Whether a machine no longer holds any shard.
  static bool is_empty(const PlacementTable& table, const std::string& name);

 private:
  struct LiveStore {
    NodeInfo node{};
    Millis last_poll_at = 0;
  };
  bool is_live(Millis now, StoreId id) const;
  bool is_usable(Millis now, const PlacementTable& table, StoreId id) const;
  std::optional<PlacementChange> initial_table(Millis now, const PlacementTable& table) const;
  // Returns the shard's next row, or nothing if it needs no change.
  std::optional<ShardPlacement> next_row(Millis now, const PlacementTable& table,
                                         const ShardPlacement& row) const;
  void remove_dead_members(Millis now, const ShardPlacement& row, ShardPlacement& next) const;
  void admit_in_sync(const ShardPlacement& row, ShardPlacement& next) const;
  void drop_retiring(const PlacementTable& table, ShardPlacement& next) const;
  std::size_t count_remaining(const PlacementTable& table, const std::vector<StoreId>& members) const;
  std::optional<StoreId> choose_replacement(Millis now, const PlacementTable& table,
                                            const ShardPlacement& row) const;
  bool is_known_live(Millis now, StoreId id) const;
  std::vector<StoreId> usable(Millis now, const PlacementTable& table) const;

  std::size_t replica_count_;
  Millis leader_since_;
  std::map<StoreId, LiveStore> live_stores_;
  std::vector<InSyncReport> in_sync_;
};

}  // namespace nettlestand::tier
