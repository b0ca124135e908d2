// Parses the operator's configuration file (TOML) into a configuration or a list of all problems. No I/O.
// deploy/nettlestand.toml shows every key with its default.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "daemon/config.h"

namespace nettlestand {

// A problem in a file and its position; lines and columns count from 1.
struct Problem {
  std::uint32_t line = 1, column = 1;
  std::string text;
};

// Returns the configuration, or nullopt and `problems` in the order of the file. With `standalone` the file
// must hold everything that a node needs; otherwise it adds to the platform's configuration.
std::optional<Config> parse_operator_file(std::string_view text, bool standalone,
                                          std::vector<Problem>& problems);

// One line per problem: "FILE:3:9: message".
std::string to_text(const std::vector<Problem>& problems, const std::string& file);

// Adds to the platform's configuration what only the file can set: the listener's time limits, the log, the
// control socket, and, if the platform allows messages between nodes, membership's settings and duties.
void merge_operator_file(Config& platform, const Config& file);

}  // namespace nettlestand
