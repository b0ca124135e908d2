// What a node is told at its start, and what the platform tells.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/server_list.h"
#include "daemon/log.h"
#include "duties/client_service.h"
#include "duties/voter_service.h"
#include "http/listener.h"
#include "peers/service.h"
#include "quinceusher/balancer.h"
#include "report/reporter.h"

namespace nettlestand {

// A program that is run while its duty is held.
struct DutyProgram {
  duties::Duty duty;
  std::vector<std::string> command;  // its path and arguments
  double stop_timeout = 2;           // s that it has to end after SIGTERM
};

// Duties held by one node.
struct DutiesConfig {
  duties::ClientServiceOptions service;
  std::optional<duties::VoterOptions> voter;  // where this node votes
  std::vector<DutyProgram> programs;
  std::optional<report::ReporterOptions> report;
  std::string key_file;  // the cluster's keys, or empty
  bool may_start_programs = true;
};

struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen;
  std::optional<boost::asio::ip::tcp::endpoint> discovery;  // none: the servers are those of `servers`
  std::uint64_t seed = 0;
  std::size_t sockets = 1024, memory_mb = 64;
  quinceusher::Settings settings;
  std::vector<std::string> classes, tenants, zones;  // their names, in the order of the settings
  double connect_timeout = 0.25;                     // s
  double server_idle_timeout = 5;                    // s; servers close connections idle for so long
  std::optional<ServerList> last_known_servers;      // discovery's list as it was last known
  std::optional<ServerList> static_servers;          // all there are, where there is no discovery
  ListenerLimits listener;
  LogOptions log;
  std::optional<peers::ServiceOptions> peers;  // membership among the nodes, where it is on
  std::string peers_key_file;                  // the cluster's keys, or empty
  std::optional<DutiesConfig> duties;          // where they are on
  std::string control_socket;                  // path of the control socket, or empty

  // So many servers may be listed, ready or leaving: each takes 1.4 KB, or twice that with a long name.
  std::size_t max_servers() const { return memory_mb * 128; }
};

// Throws std::exception with a plain text on what can't be used.
Config read_platform_config(const std::string& json);

// What a node says of itself among others, and which copy it is: of the rest of its configuration.
void set_identities(Config& config);

}  // namespace nettlestand
