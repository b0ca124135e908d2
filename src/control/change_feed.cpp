#include "control/change_feed.h"

#include <utility>

namespace nettlestand::tier {

void ChangeFeed::append(SequencedChange change) {
  if (!changes_.empty() && changes_.back().sequence + 1 != change.sequence) reset();
  bytes_ += change.change.body.size();
  changes_.push_back(std::move(change));
  while (changes_.size() > kMaxChanges || (bytes_ > kMaxBytes && !changes_.empty())) {
    bytes_ -= changes_.front().change.body.size();
    changes_.pop_front();
  }
}

void ChangeFeed::reset() {
  changes_.clear();
  bytes_ = 0;
}

std::optional<std::vector<SequencedChange>> ChangeFeed::changes_between(std::uint64_t after,
                                                                        std::uint64_t current) const {
  if (changes_.empty() || changes_.back().sequence != current || changes_.front().sequence > after + 1) {
    return std::nullopt;
  }
  std::vector<SequencedChange> out;
  for (const SequencedChange& change : changes_) {
    if (change.sequence > after) out.push_back(change);
  }
  return out;
}

}  // namespace nettlestand::tier
