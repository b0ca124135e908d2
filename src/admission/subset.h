// Fixed subsets of the servers, from a copy's index and the count of copies.
#pragma once

#include <cstddef>

#include "quinceusher/balancer.h"

namespace quinceusher {

// Evenly spaced starts on a ring: any two servers differ by at most one in how many copies use them.
inline std::size_t subset_start(std::size_t copy_index, std::size_t copy_count, std::size_t servers) {
  return copy_index * servers / copy_count;
}

}  // namespace quinceusher
