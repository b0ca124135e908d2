// Parser for the fault scripts of a world, whose language ../SCRIPT.md describes. No I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "standins/servers/script.h"

namespace nettlestand::standins {

// What a member of a world is.
enum class Role { kNode, kServer, kDiscovery, kCallers };

// A machine of a world.
struct Member {
  std::string name;
  Role role = Role::kNode;
  std::string zone, region;
};

// One command of a script, applied to one machine or to one direction of a link.
struct WorldFault {
  double at = 0, duration = kForever;  // s
  std::size_t who = 0;                 // index of the member, or of the sender of a directed link
  std::size_t to = kNoMember;          // receiver of a directed link
  std::string verb;
  std::vector<double> arguments;  // numbers in the order of SCRIPT.md
  Fault server;                   // the fault of a scripted server, if `verb` is "server"
  std::size_t line = 0;           // line of the script, from 1

  static constexpr std::size_t kNoMember = static_cast<std::size_t>(-1);
};

// Whether the fault needs the interposed library: a wrong clock or a faulty disk.
bool needs_interposed_faults(const WorldFault& fault);

// Parses a script; faults are ordered by time, then by line. Throws ScriptError, which names the line.
std::vector<WorldFault> parse_world_script(std::string_view text, const std::vector<Member>& members);

}  // namespace nettlestand::standins
