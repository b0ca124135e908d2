#include "control/feed.h"

#include <utility>

namespace nettlestand::tier {

void OrderFeed::append(SequencedOrder order) {
  if (!orders_.empty() && orders_.back().sequence + 1 != order.sequence) orders_.clear();
  orders_.push_back(std::move(order));
  if (orders_.size() > kCapacity) orders_.pop_front();
}

void OrderFeed::reset() { orders_.clear(); }

std::optional<std::vector<SequencedOrder>> OrderFeed::between(std::uint64_t after,
                                                              std::uint64_t current) const {
  if (orders_.empty() || orders_.back().sequence != current || orders_.front().sequence > after + 1) {
    return std::nullopt;
  }
  std::vector<SequencedOrder> out;
  for (const SequencedOrder& order : orders_) {
    if (order.sequence > after) out.push_back(order);
  }
  return out;
}

}  // namespace nettlestand::tier
