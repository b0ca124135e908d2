// Formats rows of text as aligned columns; the first row holds the headings.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

namespace nettlestand {

inline std::string align_columns(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string out;
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      out += row[i];
      if (i + 1 < row.size()) out += std::string(widths[i] - row[i].size() + 2, ' ');
    }
    out += "\n";
  }
  return out;
}

}  // namespace nettlestand
