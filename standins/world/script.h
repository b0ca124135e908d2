// The language in which a world is told what happens to it: ../SCRIPT.md. Read and resolved here, without
// I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "standins/servers/script.h"

namespace nettlestand::standins {

enum class Role { kNode, kServer, kDiscovery, kCallers };

// A machine of a world.
struct Member {
  std::string name;
  Role role = Role::kNode;
  std::string zone, region;
};

// One line, for one machine or one way between two.
struct WorldFault {
  double at = 0, duration = kForever;  // s
  std::size_t who = 0;                 // place among the members; of a way: where it begins
  std::size_t to = kNoMember;          // of a way: where it ends
  std::string verb;
  std::vector<double> arguments;  // in the order of SCRIPT.md
  Fault server;                   // where a scripted server does it: `verb` is "server"
  std::size_t line = 0;           // of the script, from 1

  static constexpr std::size_t kNoMember = static_cast<std::size_t>(-1);
};

// Whether it is one of a wrong clock or a bad disk, for which a world has to have seams.
bool needs_interposed_faults(const WorldFault& fault);

// In the order of their times, and then of the script. Throws ScriptError, which names the line.
std::vector<WorldFault> parse_world_script(std::string_view text, const std::vector<Member>& members);

}  // namespace nettlestand::standins
