// Process worlds with membership, whose intervals are so short that a test of many worlds ends soon.
#pragma once

#include <algorithm>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "standins/world/membership_rules.h"
#include "tests/process_worlds.h"

namespace nettlestand::standins::testing {

inline constexpr double kPeriod = 0.4;  // s; membership's probe interval here, 1 s by default

inline std::string peers_file(const std::string& more = "") {
  return "[log]\nformat = \"json\"\nrepeats = 0\n[log.levels]\npeers = \"debug\"\n"
         "[peers]\nperiod_ms = 400\ntimeout_ms = 60\nleast_doubt_ms = 500\nmost_doubt_ms = 2400\n"
         "seek_period_ms = 800\npatience_ms = 2000\nhold_new_ms = 600\nhold_lost_ms = 800\n" +
         more;
}

inline MembershipBounds bounds() {
  MembershipBounds out;
  out.detection = 4;
  out.evidence_window = 3;
  out.convergence = 5;
  out.startup_grace = 2;
  return out;
}

inline WorldSettings peers_world(std::size_t nodes, std::size_t servers, std::size_t zones = 1) {
  WorldSettings out = small_world(nodes, servers, zones);
  out.peers = true;
  out.node.stage = 0;
  out.node.classes = {{"safe", "safe", "all", 0, 0.5, 1, 0.5}, {"unsafe", "unsafe", "all", 0, 0.5, 1, 0.5}};
  out.load.classes = {{"safe", CallEffect::kSafe, 1, 1, 0, 0}, {"unsafe", CallEffect::kUnsafe, 1, 1, 0, 200}};
  out.load.rate = 5.0 * static_cast<double>(nodes);
  out.process.operator_file = peers_file();
  return out;
}

inline std::vector<TimelineRule> all_rules(const ProcessWorld& world, const MembershipBounds& b = bounds()) {
  std::vector<TimelineRule> out = request_rules(world.checker_settings());
  for (TimelineRule& rule : membership_rules(b)) out.push_back(std::move(rule));
  return out;
}

// Counts a component peers' events of one kind in a node's log, optionally only those of one member.
inline std::size_t count_events(const std::string& log, const std::string& event,
                                const std::string& member = "") {
  std::size_t count = 0;
  for (std::size_t at = 0; at < log.size();) {
    const std::size_t end = std::min(log.find('\n', at), log.size());
    const std::string_view line(log.data() + at, end - at);
    at = end + 1;
    if (line.find("\"component\":\"peers\"") == std::string_view::npos) continue;
    if (line.find("\"event\":\"" + event + "\"") == std::string_view::npos) continue;
    if (!member.empty() && line.find("\"member\":\"" + member + "\"") == std::string_view::npos) continue;
    ++count;
  }
  return count;
}

}  // namespace nettlestand::standins::testing
