// The state machine of the configuration group: the operator's configuration and the placement of batch
// shards.
//
// Every replica applies the same commands in the same order, so everything here has to be deterministic.
#pragma once

#include <boost/hana.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "control/configuration.h"

namespace nettlestand::tier {

using StoreId = std::uint64_t;  // identifies a storage machine's disk; a wiped disk gets a new id

// A full replacement, or an update of named items.
enum class ConfigChangeKind : std::uint8_t { kReplace, kUpdate };

// A configuration change as sent by the operator. `base` is the generation that it builds on.
struct ConfigChange {
  BOOST_HANA_DEFINE_STRUCT(ConfigChange, (ConfigChangeKind, kind), (std::uint64_t, base),
                           (std::string, body));
};

// The result of a configuration change.
enum class ChangeOutcome : std::uint8_t {
  kApplied,
  kAlreadyApplied,  // the same change is in the history
  kConflict,        // another version is current
  kInvalid
};

// The stores that hold one shard of the batch jobs.
struct ShardPlacement {
  BOOST_HANA_DEFINE_STRUCT(ShardPlacement, (std::uint32_t, shard), (std::uint64_t, epoch),
                           (std::vector<StoreId>,
                            members),  // hold all acknowledged changes; the first is primary
                           (std::vector<StoreId>,
                            joining),  // receive new changes and are being brought up to date
                           // Were removed while there were too few members. Nothing is acknowledged in that
                           // state, so these hold everything and may take over if no member is left.
                           (std::vector<StoreId>, eligible));
};

// A storage machine in the placement table.
struct StoreRecord {
  BOOST_HANA_DEFINE_STRUCT(StoreRecord, (StoreId, id), (std::string, name), (std::string, address),
                           (bool, retiring), (bool, retired));
};

// The stores, and the placement of all shards.
struct PlacementTable {
  BOOST_HANA_DEFINE_STRUCT(PlacementTable, (std::uint64_t, sequence), (std::vector<StoreRecord>, stores),
                           (std::vector<ShardPlacement>, shards));
  const StoreRecord* store(StoreId id) const;
  const StoreRecord* store_named(const std::string& name) const;  // the latest disk of that machine
  const ShardPlacement* row(std::uint32_t shard) const;           // null if there is none
};

// Replaces the given rows of the placement table and leaves the others.
struct PlacementChange {
  BOOST_HANA_DEFINE_STRUCT(PlacementChange, (std::vector<StoreRecord>, stores),
                           (std::vector<ShardPlacement>, shards));
  bool empty() const { return stores.empty() && shards.empty(); }
};

// A command in the log. One of the two lists holds one element.
struct ControlCommand {
  BOOST_HANA_DEFINE_STRUCT(ControlCommand, (std::vector<ConfigChange>, config_changes),
                           (std::vector<PlacementChange>, placement_changes));
};

// A change in the history, identified by its digest.
struct AppliedChange {
  BOOST_HANA_DEFINE_STRUCT(AppliedChange, (std::uint64_t, digest_high), (std::uint64_t, digest_low),
                           (std::uint64_t, generation));
};

// Identifies one version of the configuration and its exact text.
struct ConfigVersion {
  BOOST_HANA_DEFINE_STRUCT(ConfigVersion, (std::uint64_t, sequence), (std::uint64_t, digest_high),
                           (std::uint64_t, digest_low));
};
// The version with this sequence and text.
ConfigVersion config_version_of(std::uint64_t sequence, const std::string& text);

// An applied change and the sequence of the resulting version.
struct SequencedChange {
  BOOST_HANA_DEFINE_STRUCT(SequencedChange, (std::uint64_t, sequence), (ConfigChange, change));
};
// Applies changes to the text of version `sequence`. Returns an empty string if they don't lead to version
// `last` without a gap.
std::string apply_changes(const std::string& text, std::uint64_t sequence,
                          const std::vector<SequencedChange>& changes, std::uint64_t last);

// The complete state, as stored in snapshots.
struct ControlSnapshot {
  BOOST_HANA_DEFINE_STRUCT(ControlSnapshot, (std::uint64_t, sequence), (std::string, text),
                           (std::vector<AppliedChange>, history), (PlacementTable, placement));
};

// The replicated state. Nodes without a replica hold a copy of the parts that they are sent.
class ControlState {
 public:
  ChangeOutcome apply(const ConfigChange& change);
  void apply(const PlacementChange& change);
  // Returns the outcome that the change would have now, without applying it.
  ChangeOutcome validate(const ConfigChange& change, std::string* reason = nullptr) const;

  ControlSnapshot snapshot() const;
  void restore(const ControlSnapshot& snapshot);
  // On nodes without a replica: takes over a newer version whose text was verified against its digest.
  // `parsed` may be null. Returns false if the text is not a valid configuration.
  bool adopt(const ConfigVersion& id, std::shared_ptr<const std::string> text,
             std::shared_ptr<const Configuration> parsed);

  // The number of applied changes: a later version has a higher sequence.
  std::uint64_t sequence() const { return id_.sequence; }
  std::uint64_t generation() const { return configuration_ ? configuration_->generation() : 0; }
  const std::string& text() const { return *text_; }
  const std::shared_ptr<const std::string>& shared_text() const { return text_; }
  const ConfigVersion& config_version() const { return id_; }
  // Null before the first version.
  const std::shared_ptr<const Configuration>& configuration() const { return configuration_; }
  const PlacementTable& placement() const { return placement_; }
  // On nodes without a replica, which receive complete tables.
  void set_placement(PlacementTable table) { placement_ = std::move(table); }

 private:
  struct Evaluation {
    ChangeOutcome outcome = ChangeOutcome::kInvalid;
    std::string text, reason;
    std::shared_ptr<const Configuration> configuration;
  };
  Evaluation evaluate(const ConfigChange& change) const;
  static AppliedChange digest_of(const ConfigChange& change);

  void set_text(std::uint64_t sequence, std::string text);

  ConfigVersion id_{};
  std::shared_ptr<const std::string> text_ = std::make_shared<const std::string>();
  std::shared_ptr<const Configuration> configuration_;
  std::deque<AppliedChange> history_;
  PlacementTable placement_{};
};

}  // namespace nettlestand::tier
