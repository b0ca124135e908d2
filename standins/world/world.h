// A world of processes: nodes, each a process of the program, with their servers, discovery and callers, in
// zones and regions; every way between two machines leads through links. Scripts (../SCRIPT.md) put faults on
// all of it, and what everybody saw and said comes out as one timeline.
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

struct WorldZone {
  std::string name = "a", region = "r";
  double traffic = 1;  // its part of the calls, in proportion
};

struct WorldSettings {
  std::string binary;  // the node's file
  std::uint64_t seed = 1;
  std::vector<WorldZone> zones = {WorldZone{}};
  double cross_zone_delay = 0, cross_region_delay = 0;  // s, one way
  std::size_t nodes = 3, servers = 3;                   // dealt out among the zones in turn
  ServerSettings server;                                // names, addresses and seeds are the world's
  NodeConfig node;                                      // likewise; tells classes, tenants, limits
  LoadSettings load;                                    // rate: over all zones
  ProcessOptions process;
  // Nodes may speak to each other: each has a socket for it, and all ways between them lead through links.
  bool peers = false;
  // The first so many nodes vote on duties, the others are clients of theirs; nodes may speak to each other
  // then.
  std::size_t voters = 0;
  std::string duties;  // more lines of [duties] in all nodes' files, and sections behind it
  // Called for each voter before its first start, with its state folder: makes what it votes with.
  std::function<void(std::size_t node, const std::string& folder)> prepare_voter;
  bool logs = true;                   // nodes log in JSON, for the timeline
  std::string interpose_environment;  // the assignment of the environment that puts the seams before a node,
                                      // from the tests; or empty
};

// What a world took of the machine. Where nodes were kept waiting for a core for longer than they may,
// nothing that was timed in the run means anything: it is void, and played again.
struct Starvation {
  double max_cpu_wait =
      0;                // s in one second that a process waited for a core, with no script that wanted it so
  std::string process;  // which
  double max_loop_delay = 0;  // s that the stand-ins' own loop was late at the most, where that was too much
  HostStalls machine;         // meanwhile
  bool is_invalid = false;

  // Counts how late the stand-ins' loop was: they are a part of the measure, and what their lateness does to
  // calls and to nodes' words is no fault of the nodes'.
  void record_loop_delay(double late);
};

// Not for two threads at once.
class ProcessWorld {
 public:
  // Throws std::exception where it can't be set up.
  explicit ProcessWorld(WorldSettings settings);
  ~ProcessWorld();
  ProcessWorld(const ProcessWorld&) = delete;
  ProcessWorld& operator=(const ProcessWorld&) = delete;

  // Servers, then discovery, then nodes; returns once all of them are ready.
  void start();
  // Calls for so many seconds with a script beside them; returns once all calls have ended. Throws
  // ScriptError before anything begins.
  void play(const std::string& script, double seconds);
  // Ends the nodes, with SIGTERM first where `gently`, and gathers what all of them saw.
  Timeline finish(bool graceful = false);

  const std::vector<Member>& members() const { return members_; }
  Network& network() { return *network_; }
  // Of all stand-ins of this world.
  Loop& loop() { return thread_.loop(); }
  ScriptedDiscovery& discovery() { return *discovery_; }
  ScriptedServer& server(std::size_t i) { return *servers_[i]; }
  NodeProcess& node(std::size_t i) { return *nodes_[i]; }
  bool runs(std::size_t i) const { return nodes_[i] != nullptr; }
  // What a node of this world is started with; "{state}" in its operator's file stands for its state folder.
  NodeConfig config_of(std::size_t i);
  ProcessOptions options_of(std::size_t i);
  // Ends a node by a signal, and starts it again.
  void end_node(std::size_t i, int signal);
  void start_node(std::size_t i);
  int peer_port() const { return peer_port_; }
  int voter_port() const { return voter_port_; }
  // What has happened so far by script, and what a test wants on the timeline.
  void note(const std::string& who, const std::string& kind, const std::string& what) {
    events_.push_back({now(), who, kind, what, {}});
  }
  int machine(std::size_t member) const { return machines_[member]; }
  // What a node keeps; its process finds it in NETTLESTAND_STATE.
  StateFolder& state(std::size_t i) { return *states_[i]; }
  const Starvation& starvation() const { return starvation_; }
  double seconds_to_start() const { return start_duration_; }
  // Waits, in a loop of looks, until it holds; false after `patience` s.
  static bool until(const std::function<bool()>& condition, double timeout = 20);
  // For the checker: classes and servers as this world has them.
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
  std::vector<int> machines_;            // of the network, by member
  std::vector<std::size_t> role_index_;  // among the nodes or servers, by member
  std::vector<std::size_t> node_members_, server_members_, caller_members_;
  std::size_t discovery_member_ = 0;
  std::vector<std::unique_ptr<ScriptedServer>> servers_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
  std::vector<std::unique_ptr<StateFolder>> states_;
  std::vector<std::unique_ptr<InterposedFaults>> interposed_faults_;  // by node, where there are any
  std::vector<int> node_ports_;
  std::vector<std::string> logs_;         // of node processes that are gone, by node
  std::vector<bool> stalled_on_purpose_;  // paused or starved on purpose, by node
  std::vector<ProcessLifetime> lifetimes_;
  std::vector<std::unique_ptr<LoadClient>> loads_;
  std::vector<TimelineEntry> events_;
  std::vector<ProcessTimes> last_times_;
  std::multimap<double, std::function<void()>> scheduled_;  // what this thread is to do, and when
  Starvation starvation_;
  double started_at_ = 0, start_duration_ = 0, next_starvation_check_ = 0;
  int peer_port_ = 0;   // of all nodes' sockets for each other
  int voter_port_ = 0;  // where voters listen
  std::vector<Fd> voter_ports_;
  bool ending_faults_ = false;  // what was to come ends now
};

// Plays a world until a run is not void, `tries` times at most, and says so on standard error. Returns what
// `play` made of the last run; `is_void` tells of that one. A run that complains is played again only where
// it was void.
std::string run_until_valid(int tries, bool& is_invalid, const std::function<std::string(Starvation&)>& play);

}  // namespace nettlestand::standins
