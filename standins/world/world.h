// A test cluster of real node processes together with test doubles for servers, discovery and clients, spread
// over zones and regions. All traffic between two machines passes through simulated links. Fault scripts
// (../SCRIPT.md) act on every part, and the records of all parties are merged into one timeline.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standins/callers/load.h"
#include "standins/common/loop.h"
#include "standins/discovery/discovery.h"
#include "standins/interposition/interposed_faults.h"
#include "standins/links/network.h"
#include "standins/servers/server.h"
#include "standins/world/host_load.h"
#include "standins/world/node_process.h"
#include "standins/world/timeline.h"

namespace nettlestand::standins {

// A zone and the region that it belongs to.
struct WorldZone {
  std::string name = "a", region = "r";
  double traffic = 1;  // share of the calls, as a relative weight
};

// Size, topology, load and node configuration of a world.
struct WorldSettings {
  std::string binary;  // path of the node program
  std::uint64_t seed = 1;
  std::vector<WorldZone> zones = {WorldZone{}};
  double cross_zone_delay = 0, cross_region_delay = 0;  // s, one way
  std::size_t nodes = 3, servers = 3;                   // assigned to the zones round-robin
  ServerSettings server;  // template; names, addresses and seeds are set per server
  NodeConfig node;        // template; provides request classes, tenants and limits
  LoadSettings load;      // the rate is the total over all zones
  ProcessOptions process;
  // Nodes exchange messages: each has a socket for that, and all paths between them pass through simulated
  // links.
  bool peers = false;
  // Number of nodes, from the first on, that vote on duties; the others are clients of the voters and reach
  // them through links.
  std::size_t voters = 0;
  // Additional lines for the [duties] section of every node's file, and sections after it.
  std::string duties;
  // Called for each voter before its first start with its state folder; creates the voter's initial store.
  std::function<void(std::size_t node, const std::string& folder)> prepare_voter;
  bool logs = true;  // nodes log in JSON, as the timeline requires
  // Environment assignment that loads the interposed library into a node; set by tests. Empty: none.
  std::string interpose_environment;
};

// What a run lacked of the machine. If nodes waited for a core for too long, or nothing became durable, no
// timing of the run is meaningful: the run is invalid and is repeated.
struct Starvation {
  // Longest time within one second, in s, that a process waited for a core without a fault script
  // asking.
  double max_cpu_wait = 0;
  std::string process;  // the process that waited longest, or what else was late
  // Longest delay of the test doubles' event loop in s, if it exceeded the bound.
  double max_loop_delay = 0;
  // Longest delay of the disk in s, if it exceeded the bound.
  double max_disk_delay = 0;
  HostStalls machine;  // stalls of the whole machine during the run
  bool is_invalid = false;

  // Records a delay of the test doubles' event loop. A late double delays calls and messages, which must not
  // be attributed to the nodes.
  void record_loop_delay(double late);
  // Records a delay of the disk. While nothing becomes durable, no voter can keep a promise that has a time.
  void record_disk_delay(double delay);

 private:
  void record_delay(double delay, double bound, double& longest, const char* what);
};

// Runs one test cluster. Not thread-safe.
class ProcessWorld {
 public:
  // Throws std::exception if the setup fails.
  explicit ProcessWorld(WorldSettings settings);
  ~ProcessWorld();
  ProcessWorld(const ProcessWorld&) = delete;
  ProcessWorld& operator=(const ProcessWorld&) = delete;

  // Starts servers, then discovery, then nodes; returns once all are ready.
  void start();
  // Generates load for `seconds` while a fault script runs; returns once all calls have ended. Throws
  // ScriptError before anything starts.
  void play(const std::string& script, double seconds);
  // Ends the nodes, with SIGTERM first if `graceful`, and collects all records.
  Timeline finish(bool graceful = false);

  const std::vector<Member>& members() const { return members_; }
  Network& network() { return *network_; }
  // Event loop of all test doubles of this world.
  Loop& loop() { return thread_.loop(); }
  ScriptedDiscovery& discovery() { return *discovery_; }
  ScriptedServer& server(std::size_t i) { return *servers_[i]; }
  NodeProcess& node(std::size_t i) { return *nodes_[i]; }
  bool runs(std::size_t i) const { return nodes_[i] != nullptr; }
  // Configuration and options with which a node is started; "{state}" in its operator file stands for its
  // state folder.
  NodeConfig config_of(std::size_t i);
  ProcessOptions options_of(std::size_t i);
  // Ends a node with a signal, or starts it again.
  void end_node(std::size_t i, int signal);
  void start_node(std::size_t i);
  int peer_port() const { return peer_port_; }
  int voter_port() const { return voter_port_; }
  // Adds an event to the timeline, as the fault script does.
  void note(const std::string& who, const std::string& kind, const std::string& what) {
    events_.push_back({now(), who, kind, what, {}});
  }
  int machine(std::size_t member) const { return machines_[member]; }
  // State folder of a node, which its process finds in NETTLESTAND_STATE.
  StateFolder& state(std::size_t i) { return *states_[i]; }
  const Starvation& starvation() const { return starvation_; }
  double seconds_to_start() const { return start_duration_; }
  // Polls until `condition` holds; false after `timeout` seconds.
  static bool until(const std::function<bool()>& condition, double timeout = 20);
  // Checker settings with the request classes and servers of this world.
  CheckerSettings checker_settings() const;

 private:
  void begin(const WorldFault& fault);
  void begin_node(const WorldFault& fault);
  void begin_server(const WorldFault& fault);
  void begin_discovery(const WorldFault& fault);
  void begin_way(const WorldFault& fault);
  void starve(std::size_t i, double until, double share);
  void poll_exit(std::size_t i, double back_at);
  void after(double seconds, std::function<void()> f);
  void note(const WorldFault& fault, const char* kind);
  std::string duties_of(std::size_t i);
  void check_starvation();

  WorldSettings settings_;
  LoopThread thread_;
  std::unique_ptr<Network> network_;
  Recorder recorder_;
  std::unique_ptr<ScriptedDiscovery> discovery_;
  std::vector<Member> members_;
  std::vector<int> machines_;            // machine numbers in the network, by member
  std::vector<std::size_t> role_index_;  // index among the nodes or servers, by member
  std::vector<std::size_t> node_members_, server_members_, caller_members_;
  std::size_t discovery_member_ = 0;
  std::vector<std::unique_ptr<ScriptedServer>> servers_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
  std::vector<std::unique_ptr<StateFolder>> states_;
  // By node; null without interposed faults.
  std::vector<std::unique_ptr<InterposedFaults>> interposed_faults_;
  std::vector<int> node_ports_;
  std::vector<std::string> logs_;         // of processes that have ended, by node
  std::vector<bool> stalled_on_purpose_;  // paused or starved by the fault script, by node
  std::vector<ProcessLifetime> lifetimes_;
  std::vector<std::unique_ptr<LoadClient>> loads_;
  std::vector<TimelineEntry> events_;
  std::vector<ProcessTimes> last_times_;
  std::multimap<double, std::function<void()>> scheduled_;  // actions of the calling thread by due time
  Starvation starvation_;
  double started_at_ = 0, start_duration_ = 0, next_starvation_check_ = 0;
  int peer_port_ = 0;   // port of all nodes' sockets for each other
  int voter_port_ = 0;  // port on which voters listen
  std::vector<Fd> voter_ports_;
  bool ending_faults_ = false;  // true while the remaining fault ends are run early
};

// Calls `play`, at most `tries` times, until a run is valid; reports each invalid run on standard error.
// Returns the result of the last run, and `is_invalid` tells whether that run was invalid. A run with
// failures is repeated only if it was invalid.
std::string run_until_valid(int tries, bool& is_invalid, const std::function<std::string(Starvation&)>& play);

}  // namespace nettlestand::standins
