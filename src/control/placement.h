// Where the shards of batch jobs are kept: decides changes of the placement table. No I/O.
//
// Primary-backup with the configuration group as master (as published for PacificA): every member holds all
// that was acknowledged, and a primary that can't reach one waits until the master has taken it out. Only a
// member is ever promoted, or, where none is left, a copy that was a member until the members became too few:
// a primary acknowledges nothing while its recorded members are fewer than the copies that are wanted.
// docs/design/control-safety.md goes through the cases.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "messaging/messages.h"

namespace nettlestand::tier {

constexpr std::uint32_t kBatchShards = 24;
// A primary serves for this long after it sent a poll that was answered.
constexpr Millis kPrimaryLeaseMs = 700;
// A store that has not polled for this long is taken for dead: its lease has run out by then.
constexpr Millis kStoreTimeoutMs = 1150;

// The shard of a tenant's jobs: all of them stand together, so that their waiting tokens are counted in one
// place.
std::uint32_t batch_shard_of(const std::string& tenant);
// How many stores may have items to run: the primaries of the shards of the tenants that there are.
std::size_t count_stores_with_jobs(const PlacementTable& table, const Configuration& configuration);
// Where the primary of a tenant's shard listens; empty where the table tells of none.
std::string primary_address(const PlacementTable& table, const std::string& tenant);

class PlacementPlanner {
 public:
  // `tolerance`: disks that may be lost at once; every job is kept on one more.
  PlacementPlanner(std::size_t fault_tolerance, Millis leader_since)
      : replica_count_(fault_tolerance + 1), leader_since_(leader_since) {}

  void on_poll(Millis now, const Poll& poll);
  // What to change next, or nothing.
  std::optional<PlacementChange> plan(Millis now, const PlacementTable& table);
  // The change that starts to empty a machine; nothing where it is unknown. `refused`: too few would be left.
  std::optional<PlacementChange> retire(Millis now, const PlacementTable& table, const std::string& name,
                                        bool& refused) const;
  // Whether a retiring machine holds nothing any more.
  static bool is_empty(const PlacementTable& table, const std::string& name);

 private:
  struct LiveStore {
    NodeInfo node{};
    Millis last_poll_at = 0;
  };
  bool is_live(Millis now, StoreId id) const;
  bool is_usable(Millis now, const PlacementTable& table, StoreId id) const;
  std::optional<PlacementChange> initial_table(Millis now, const PlacementTable& table) const;
  // The shard's next row, or nothing where it may stay.
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
