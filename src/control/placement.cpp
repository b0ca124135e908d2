#include "control/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace nettlestand::tier {
namespace {

// How long a new leader waits for storage machines to appear before it makes the first table.
constexpr Millis kInitialPlacementDelayMs = 1500;

bool contains(const std::vector<StoreId>& ids, StoreId id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool is_retiring(const PlacementTable& table, StoreId id) {
  const StoreRecord* record = table.store(id);
  return record != nullptr && (record->retiring || record->retired);
}

// The number of rows that contain a store, either as primary or as any replica.
std::size_t row_count_of(const PlacementTable& table, StoreId id, bool as_primary) {
  return static_cast<std::size_t>(
      std::count_if(table.shards.begin(), table.shards.end(), [&](const ShardPlacement& row) {
        return as_primary ? !row.members.empty() && row.members.front() == id
                          : contains(row.members, id) || contains(row.joining, id);
      }));
}

}  // namespace

std::uint32_t batch_shard_of(const std::string& tenant) {
  return static_cast<std::uint32_t>(XXH64(tenant.data(), tenant.size(), 0) % kBatchShards);
}

std::size_t count_stores_with_jobs(const PlacementTable& table, const Configuration& configuration) {
  std::set<std::uint32_t> shards;
  for (const Tenant& tenant : configuration.tenants()) shards.insert(batch_shard_of(tenant.name));
  if (shards.empty())
    shards.insert(batch_shard_of(""));  // without tenants, all jobs belong to the empty tenant name
  std::set<StoreId> primaries;
  for (const ShardPlacement& row : table.shards) {
    if (shards.contains(row.shard) && !row.members.empty()) primaries.insert(row.members.front());
  }
  return primaries.size();
}

std::string primary_address(const PlacementTable& table, const std::string& tenant) {
  const std::uint32_t shard = batch_shard_of(tenant);
  for (const ShardPlacement& row : table.shards) {
    if (row.shard != shard || row.members.empty()) continue;
    const StoreRecord* store = table.store(row.members.front());
    return store == nullptr ? std::string() : store->address;
  }
  return {};
}

void PlacementPlanner::on_poll(Millis now, const Poll& poll) {
  if (!poll.node.is_store || poll.node.disk_id == 0) return;
  LiveStore& live = live_stores_[poll.node.disk_id];
  live.node = poll.node;
  live.last_poll_at = now;
  for (const InSyncReport& report : poll.in_sync) in_sync_.push_back(report);
}

bool PlacementPlanner::is_live(Millis now, StoreId id) const {
  // A new leader has not heard from any store yet, so all count as live until they had time to poll.
  if (now < leader_since_ + kStoreTimeoutMs) return true;
  const auto found = live_stores_.find(id);
  return found != live_stores_.end() && found->second.last_poll_at + kStoreTimeoutMs > now;
}

bool PlacementPlanner::is_usable(Millis now, const PlacementTable& table, StoreId id) const {
  const StoreRecord* record = table.store(id);
  return record != nullptr && !record->retiring && !record->retired && is_live(now, id) &&
         live_stores_.contains(id);
}

std::vector<StoreId> PlacementPlanner::usable(Millis now, const PlacementTable& table) const {
  std::vector<StoreId> out;
  for (const StoreRecord& record : table.stores) {
    if (is_usable(now, table, record.id)) out.push_back(record.id);
  }
  return out;
}

std::optional<PlacementChange> PlacementPlanner::initial_table(Millis now,
                                                               const PlacementTable& table) const {
  std::vector<StoreId> stores = usable(now, table);
  if (stores.size() < replica_count_ || now < leader_since_ + kInitialPlacementDelayMs) return std::nullopt;
  // Order the stores so that neighbours are in different zones, if there are several zones.
  std::sort(stores.begin(), stores.end(), [&](StoreId a, StoreId b) {
    return live_stores_.at(a).node.zone < live_stores_.at(b).node.zone;
  });
  std::vector<StoreId> order;
  for (std::size_t skip = 0; order.size() < stores.size(); ++skip) {
    std::map<std::string, std::size_t> seen;
    for (const StoreId id : stores) {
      if (seen[live_stores_.at(id).node.zone]++ == skip) order.push_back(id);
    }
  }
  PlacementChange change{};
  for (std::uint32_t shard = 0; shard < kBatchShards; ++shard) {
    ShardPlacement row{};
    row.shard = shard;
    row.epoch = 1;
    // The distance from the primary to the backups changes with each round, so that the load of a failed
    // store spreads over all others.
    const std::size_t round = shard / order.size();
    for (std::size_t copy = 0; copy < replica_count_; ++copy) {
      const std::size_t step = copy == 0 ? 0 : 1 + (copy - 1 + round) % (order.size() - 1);
      row.members.push_back(order[(shard + step) % order.size()]);
    }
    change.shards.push_back(std::move(row));
  }
  return change;
}

std::optional<StoreId> PlacementPlanner::choose_replacement(Millis now, const PlacementTable& table,
                                                            const ShardPlacement& row) const {
  std::optional<StoreId> best;
  std::size_t best_rank = 0;
  const std::string home = row.members.empty() || !live_stores_.contains(row.members.front())
                               ? std::string()
                               : live_stores_.at(row.members.front()).node.zone;
  for (const StoreId id : usable(now, table)) {
    if (contains(row.members, id) || contains(row.joining, id)) continue;
    const bool same_zone = live_stores_.at(id).node.zone == home;
    std::size_t rank = row_count_of(table, id, false) + (same_zone ? kBatchShards : 0);
    // It already holds nearly all of the data.
    if (contains(row.eligible, id)) rank = 0;
    if (!best || rank < best_rank) {
      best = id;
      best_rank = rank;
    }
  }
  return best;
}

bool PlacementPlanner::is_known_live(Millis now, StoreId id) const {
  return live_stores_.contains(id) && is_live(now, id);
}

void PlacementPlanner::admit_in_sync(const ShardPlacement& row, ShardPlacement& next) const {
  for (const InSyncReport& report : in_sync_) {
    const bool current = report.shard == row.shard && report.epoch == row.epoch;
    if (!current || !contains(next.joining, report.store)) continue;
    std::erase(next.joining, report.store);
    next.members.push_back(report.store);
  }
}

// Removes dead members. `next` contains the members of `row` and those just admitted, all of which hold every
// acknowledged change.
void PlacementPlanner::remove_dead_members(Millis now, const ShardPlacement& row,
                                           ShardPlacement& next) const {
  // While there were too few members, nothing was acknowledged, so the eligible stores still hold everything.
  const bool was_short = row.members.size() < replica_count_;
  std::vector<StoreId> holders = next.members;
  if (was_short) {
    for (const StoreId id : row.eligible) {
      if (!contains(holders, id)) holders.push_back(id);
    }
  }
  std::vector<StoreId> living = next.members;
  std::erase_if(living, [&](StoreId id) { return !is_live(now, id); });
  if (living.empty()) {
    living = holders;
    std::erase_if(living, [&](StoreId id) { return !is_known_live(now, id); });
  }
  if (living.empty()) return;  // no store may take over until one of them is back
  next.members = living;
  next.eligible.clear();
  if (living.size() >= replica_count_) return;
  for (const StoreId id : holders) {
    if (!contains(living, id)) next.eligible.push_back(id);
  }
}

std::size_t PlacementPlanner::count_remaining(const PlacementTable& table,
                                              const std::vector<StoreId>& members) const {
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [&](StoreId id) { return !is_retiring(table, id); }));
}

// Removes retiring members once enough others hold all data, and surplus members, which remain when a machine
// returns while it is being replaced.
void PlacementPlanner::drop_retiring(const PlacementTable& table, ShardPlacement& next) const {
  const std::size_t remaining = count_remaining(table, next.members);
  if (remaining < replica_count_) return;
  std::erase_if(next.members, [&](StoreId id) { return is_retiring(table, id); });
  next.members.resize(std::min(next.members.size(), replica_count_));
}

std::optional<ShardPlacement> PlacementPlanner::next_row(Millis now, const PlacementTable& table,
                                                         const ShardPlacement& row) const {
  ShardPlacement next = row;
  admit_in_sync(row, next);
  std::erase_if(next.joining, [&](StoreId id) { return !is_live(now, id); });
  remove_dead_members(now, row, next);
  std::erase_if(next.joining, [&](StoreId id) { return contains(next.members, id); });
  drop_retiring(table, next);
  const bool has_primary = is_live(now, next.members.front());
  if (has_primary && count_remaining(table, next.members) + next.joining.size() < replica_count_) {
    if (const auto found = choose_replacement(now, table, next)) next.joining.push_back(*found);
  }
  const bool same =
      next.members == row.members && next.joining == row.joining && next.eligible == row.eligible;
  if (same) return std::nullopt;
  ++next.epoch;
  return next;
}

std::optional<PlacementChange> PlacementPlanner::plan(Millis now, const PlacementTable& table) {
  PlacementChange change{};
  for (const auto& [id, live] : live_stores_) {
    const StoreRecord* known = table.store(id);
    if (live.last_poll_at + kStoreTimeoutMs <= now ||
        (known != nullptr && known->address == live.node.address))
      continue;
    StoreRecord record{};
    if (known != nullptr) record = *known;
    record.id = id;
    record.name = live.node.name;
    record.address = live.node.address;
    // A new disk gets a new record: a retirement of the machine's earlier disk does not apply to it.
    change.stores.push_back(std::move(record));
  }
  for (const StoreRecord& record : table.stores) {
    if (!record.retiring || record.retired || !is_empty(table, record.name)) continue;
    StoreRecord retired = record;
    retired.retired = true;
    change.stores.push_back(std::move(retired));
  }
  if (!change.empty()) return change;
  if (table.shards.empty()) return initial_table(now, table);
  PlacementTable next = table;  // so that each row takes the moves of the rows before it into account
  for (std::size_t i = 0; i < table.shards.size(); ++i) {
    if (auto row = next_row(now, next, next.shards[i])) {
      next.shards[i] = *row;
      change.shards.push_back(*std::move(row));
    }
  }
  in_sync_.clear();
  if (change.empty()) return std::nullopt;
  return change;
}

std::optional<PlacementChange> PlacementPlanner::retire(Millis now, const PlacementTable& table,
                                                        const std::string& name, bool& refused) const {
  refused = false;
  const StoreRecord* record = table.store_named(name);
  if (record == nullptr) return std::nullopt;
  PlacementChange change{};
  if (record->retiring) return change;
  std::vector<StoreId> left = usable(now, table);
  std::erase(left, record->id);
  if (left.size() < replica_count_) {
    refused = true;
    return std::nullopt;
  }
  StoreRecord retiring = *record;
  retiring.retiring = true;
  change.stores.push_back(std::move(retiring));
  return change;
}

bool PlacementPlanner::is_empty(const PlacementTable& table, const std::string& name) {
  const StoreRecord* record = table.store_named(name);
  return record != nullptr && row_count_of(table, record->id, false) == 0;
}

}  // namespace nettlestand::tier
