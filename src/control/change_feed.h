// The most recent changes of the configuration, from which a node with an older version can be updated
// without sending the full text. No I/O.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "control/state.h"

namespace nettlestand::tier {

// A bounded, gapless list of the most recent changes.
class ChangeFeed {
 public:
  static constexpr std::size_t kMaxChanges = 64;
  static constexpr std::size_t kMaxBytes = 128U << 10;

  // Adds a change. If it does not directly follow the newest one, the feed is cleared first.
  void append(SequencedChange change);
  // Clears the feed after the state was replaced by a snapshot, as the changes in between are unknown.
  void reset();
  // Returns the changes after sequence `after` up to `current`, or nothing if some are no longer stored and
  // the full text is needed.
  std::optional<std::vector<SequencedChange>> changes_between(std::uint64_t after,
                                                              std::uint64_t current) const;

 private:
  std::deque<SequencedChange> changes_;
  std::size_t bytes_ = 0;
};

}  // namespace nettlestand::tier
