// The change feed of the configuration at a leader: what a node that has a certain sequence is still to be
// told. No I/O.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "control/state.h"

namespace nettlestand::tier {

// The newest orders, without a gap between them, and no more of them than fit.
class ChangeFeed {
 public:
  static constexpr std::size_t kMaxChanges = 64;
  static constexpr std::size_t kMaxBytes = 128U << 10;

  // An order that doesn't follow on the newest one begins the feed anew.
  void append(SequencedChange change);
  // The state was replaced as a whole: the orders in between are not known here.
  void reset();
  // All orders behind `after` up to `current`; nothing where one of them is not kept, so that the node needs
  // a snapshot.
  std::optional<std::vector<SequencedChange>> changes_between(std::uint64_t after,
                                                              std::uint64_t current) const;

 private:
  std::deque<SequencedChange> changes_;
  std::size_t bytes_ = 0;
};

}  // namespace nettlestand::tier
