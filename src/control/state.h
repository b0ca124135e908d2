// The state machine of the configuration's shard: the operator's orders and the placement of batch shards.
//
// Every replica applies the same commands in the same order, so all that is decided here is decided alike.
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

using StoreId = std::uint64_t;  // of a storage machine's disk; an emptied disk is another one

enum class ConfigChangeKind : std::uint8_t { kReplace, kUpdate };

// A change of the configuration as the operator sent it.
struct ConfigChange {
  BOOST_HANA_DEFINE_STRUCT(ConfigChange, (ConfigChangeKind, kind), (std::uint64_t, base),
                           (std::string, body));
};

enum class ChangeOutcome : std::uint8_t {
  kApplied,
  kAlreadyApplied,  // this very order is in the history
  kConflict,        // another version is current
  kInvalid
};

// Where one shard of the batch jobs is kept.
struct ShardPlacement {
  BOOST_HANA_DEFINE_STRUCT(ShardPlacement, (std::uint32_t, shard), (std::uint64_t, epoch),
                           (std::vector<StoreId>,
                            members),  // hold all that was acknowledged; the first is primary
                           (std::vector<StoreId>, joining),  // get what is new, and are brought up to date
                           // Left the members while these became too few. Nothing is acknowledged by too few,
                           // so these hold all that was, and may take over where no member is left.
                           (std::vector<StoreId>, eligible));
};

struct StoreRecord {
  BOOST_HANA_DEFINE_STRUCT(StoreRecord, (StoreId, id), (std::string, name), (std::string, address),
                           (bool, retiring), (bool, retired));
};

struct PlacementTable {
  BOOST_HANA_DEFINE_STRUCT(PlacementTable, (std::uint64_t, sequence), (std::vector<StoreRecord>, stores),
                           (std::vector<ShardPlacement>, shards));
  const StoreRecord* store(StoreId id) const;
  const StoreRecord* store_named(const std::string& name) const;  // the newest disk of that machine
  const ShardPlacement* row(std::uint32_t shard) const;           // null where the table tells of none
};

// Replaces the named rows of the placement table and leaves the others.
struct PlacementChange {
  BOOST_HANA_DEFINE_STRUCT(PlacementChange, (std::vector<StoreRecord>, stores),
                           (std::vector<ShardPlacement>, shards));
  bool empty() const { return stores.empty() && shards.empty(); }
};

// A command in the log: one of the two lists holds one element.
struct ControlCommand {
  BOOST_HANA_DEFINE_STRUCT(ControlCommand, (std::vector<ConfigChange>, config_changes),
                           (std::vector<PlacementChange>, placement_changes));
};

struct AppliedChange {
  BOOST_HANA_DEFINE_STRUCT(AppliedChange, (std::uint64_t, digest_high), (std::uint64_t, digest_low),
                           (std::uint64_t, generation));
};

// Names one version of the configuration and its exact text.
struct ConfigVersion {
  BOOST_HANA_DEFINE_STRUCT(ConfigVersion, (std::uint64_t, sequence), (std::uint64_t, digest_high),
                           (std::uint64_t, digest_low));
};
ConfigVersion config_version_of(std::uint64_t sequence, const std::string& text);

// An order that was taken, with the sequence of the version that it made.
struct SequencedChange {
  BOOST_HANA_DEFINE_STRUCT(SequencedChange, (std::uint64_t, sequence), (ConfigChange, change));
};
// The text that orders make of another; empty where they don't follow on it up to `last` without a gap.
std::string apply_changes(const std::string& text, std::uint64_t sequence,
                          const std::vector<SequencedChange>& changes, std::uint64_t last);

// The whole state, as it stands in snapshots.
struct ControlSnapshot {
  BOOST_HANA_DEFINE_STRUCT(ControlSnapshot, (std::uint64_t, sequence), (std::string, text),
                           (std::vector<AppliedChange>, history), (PlacementTable, placement));
};

class ControlState {
 public:
  ChangeOutcome apply(const ConfigChange& change);
  void apply(const PlacementChange& change);
  // The outcome that the order would have now; changes nothing.
  ChangeOutcome validate(const ConfigChange& change, std::string* reason = nullptr) const;

  ControlSnapshot snapshot() const;
  void restore(const ControlSnapshot& snapshot);
  // At followers: takes over a newer version whose text was checked against its digest. A version that was
  // parsed already may come along. False where the text is no configuration.
  bool adopt(const ConfigVersion& id, std::shared_ptr<const std::string> text,
             std::shared_ptr<const Configuration> parsed);

  // Counts the orders taken: a later version has a higher sequence.
  std::uint64_t sequence() const { return id_.sequence; }
  std::uint64_t generation() const { return configuration_ ? configuration_->generation() : 0; }
  const std::string& text() const { return *text_; }
  const std::shared_ptr<const std::string>& shared_text() const { return text_; }
  const ConfigVersion& config_version() const { return id_; }
  // Null before the first order.
  const std::shared_ptr<const Configuration>& configuration() const { return configuration_; }
  const PlacementTable& placement() const { return placement_; }
  // At followers, which are told whole tables.
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
