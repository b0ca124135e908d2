// Shared by the test applications that embed the gateway: reading the configuration, logging and the drain
// plan.
#pragma once

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>
#include <string_view>

#include "nettlestand/drain.h"
#include "tests/forms/platform_options.h"
#include "util/clock.h"

namespace nettlestand::testing {

inline void log_line(std::string_view text) {
  std::fprintf(stderr, "%.3f %.*s\n", now(), static_cast<int>(text.size()), text.data());
}

inline Config load() {
  const char* path = std::getenv("GW_CONFIG");
  if (path == nullptr) throw std::runtime_error("GW_CONFIG is not set");
  std::ifstream in(path);
  if (!in) throw std::runtime_error(std::string("can't read ") + path);
  return read_platform_config({std::istreambuf_iterator<char>(in), {}});
}

// Handles SIGHUP: applies the new discovery address; an unusable configuration changes nothing.
inline void reload(Gateway& gateway) {
  try {
    if (const Error moved = gateway.set_discovery_address(text_of(*load().discovery)))
      throw std::runtime_error(moved.text);
  } catch (const std::exception& problem) {
    log_line(std::string("the configuration stays as it was: ") + problem.what());
  }
}

inline DrainPlan plan_of(const Config& config) {
  double longest = 0;
  for (const auto& c : config.settings.classes) longest = std::max(longest, c.give_up);
  return DrainPlan(config.settings.copy_count == 1, longest);
}

}  // namespace nettlestand::testing
