// The operator's own file (TOML): what is the operator's to say, in the field's words. Text in, a
// configuration or a list of all that is wrong out; no I/O. deploy/nettlestand.toml shows every key with its
// default.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "daemon/config.h"

namespace nettlestand {

// Something that is wrong with a file, where it stands: lines and columns from 1.
struct Problem {
  std::uint32_t line = 1, column = 1;
  std::string text;
};

// What a file says; none, and `problems` in the order of the file, where it can't be used. `alone`: it has to
// say all that a node needs; else it adds to what the platform tells.
std::optional<Config> parse_operator_file(std::string_view text, bool standalone,
                                          std::vector<Problem>& problems);

// "FILE:3:9: what is wrong", a line each.
std::string to_text(const std::vector<Problem>& problems, const std::string& file);

// Adds to the platform's configuration what only the file can say: the listener's time limits, the log, the
// control socket, and how membership goes about it where the platform allows it.
void merge_operator_file(Config& platform, const Config& file);

}  // namespace nettlestand
