#include "admission/subset.h"

#include <algorithm>

namespace quinceusher {

std::vector<std::size_t> subset_of(std::size_t copy_index, std::size_t copy_count, std::size_t servers,
                                   std::size_t size) {
  std::vector<std::size_t> out;
  if (servers == 0 || copy_count == 0) return out;
  const std::size_t start = subset_start(copy_index, copy_count, servers);
  for (std::size_t i = 0; i < std::min(size, servers); ++i) out.push_back((start + i) % servers);
  return out;
}

}  // namespace quinceusher
