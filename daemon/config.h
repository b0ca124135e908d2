// A node's configuration, and the reader of the platform's configuration (JSON).
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

// A program that runs while the node holds a duty.
struct DutyProgram {
  duties::Duty duty;
  std::vector<std::string> command;  // absolute path and arguments
  double stop_timeout = 2;           // s from SIGTERM to SIGKILL
};

// Settings of duties, each of which is held by one node at a time.
struct DutiesConfig {
  duties::ClientServiceOptions service;
  std::optional<duties::VoterOptions> voter;  // set if this node is a voter
  std::vector<DutyProgram> programs;
  std::optional<report::ReporterOptions> report;
  std::string key_file;  // file of the cluster's keys; empty: none
  bool may_start_programs = true;
};

// Everything that a node is configured with.
struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen;
  std::optional<boost::asio::ip::tcp::endpoint> discovery;  // nullopt: `static_servers` is used
  std::uint64_t seed = 0;
  std::size_t sockets = 1024, memory_mb = 64;
  quinceusher::Settings settings;
  std::vector<std::string> classes, tenants, zones;  // names, in the order of the settings
  double connect_timeout = 0.25;                     // s
  double server_idle_timeout = 5;                    // s; servers close connections that are idle for so long
  std::optional<ServerList> last_known_servers;      // discovery's list, from before the start
  std::optional<ServerList> static_servers;          // the servers if there is no discovery
  ListenerLimits listener;
  LogOptions log;
  std::optional<peers::ServiceOptions> peers;  // membership among the nodes, if enabled
  std::string peers_key_file;                  // file of the cluster's keys; empty: none
  std::optional<DutiesConfig> duties;          // if enabled
  std::string control_socket;                  // path; empty: no control socket

  // Bound on the number of listed servers, ready or leaving. Each takes 1.4 KB, or twice that with a long
  // name.
  std::size_t max_servers() const { return memory_mb * 128; }
};

// Reads the platform's configuration. Throws std::exception with a message on what is invalid.
Config read_platform_config(const std::string& json);

// Derives the node's identity towards other nodes and voters from the rest of its configuration.
void set_identities(Config& config);

}  // namespace nettlestand
