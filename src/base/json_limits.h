// Limits on JSON that is to be parsed into a tree: the tree takes many times the memory of its text, and code
// that walks it may recurse. No I/O.
#pragma once

#include <cstddef>
#include <string_view>

namespace nettlestand::tier {

struct JsonLimits {
  std::size_t max_depth = 0;   // of objects and lists within each other
  std::size_t max_values = 0;  // all values and names together
};

// Whether a text keeps within the limits, as far as it can be parsed. Reads it once, without a tree.
bool is_within_limits(std::string_view json, const JsonLimits& limits);

}  // namespace nettlestand::tier
