// The node as a program: its configuration, its start, its signals and its end.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "standins/checker/checker.h"
#include "standins/common/records.h"

namespace nettlestand::standins {

// A class of requests as the node's settings name it.
struct NodeRequestClass {
  std::string name;
  std::string effect = "safe";                    // safe, keyed or unsafe
  std::string group = "all";                      // keyed: all, zone or cell
  double window = 4;                              // s, keyed: so long servers remember
  double aim = 1, give_up = 2, late_worth = 0.5;  // s, s
};

// As the checker wants it.
CheckedClass checked_class(const NodeRequestClass& c);

struct NodeTenantConfig {
  std::string name;
  double allowance = 1000;  // calls/s over all nodes
};

// What a node is told; json() is its configuration.
struct NodeConfig {
  std::string name = "n1";
  std::string ip = "127.0.0.1";
  int listen = 0;     // port; 0: the kernel gives one
  int discovery = 0;  // port
  std::string discovery_ip = "127.0.0.1";
  int zone = 0;  // its own, a place in `zones`
  std::string seed = "8c1f30d27a5be964";
  int sockets = 1024, memory_mb = 64;
  int stage = 1, peers = 1, position = 0;  // its tier, how many nodes stand before it, its number among them
  std::vector<std::string> zones = {"a"};
  std::vector<NodeRequestClass> classes = {{"safe"}};
  std::vector<NodeTenantConfig> tenants = {{"acme"}};
  double connect_timeout = 0.25, idle_close = 5;  // s
  int attempts = 4;
  bool cancel = true, second_copies = false, subscribe = true;
  double retry_after = 2;  // s, the longest advice; 0: none
  double ask_within = 0.4, start_capacity = 1, ramp_time = 0;
  double over_share_worth = 1;
  std::string peer_listen;        // address of its socket for other nodes, where they may speak to each other
  std::string broadcast_address;  // an address that reaches all of them at once, or nothing
  std::vector<std::string>
      peer_addresses;         // the nodes' addresses as it reaches them, in the order of their positions
  std::string known_servers;  // a list in discovery's form, or nothing
  std::string extra_members;  // further members of the configuration, each with a comma behind it

  std::string json() const;
};

// What a process is started with besides.
struct ProcessOptions {
  unsigned max_descriptors = 1024;       // its limit
  std::vector<std::string> arguments;    // of the program
  std::vector<std::string> environment;  // NAME=VALUE, beside this process's own
  std::string operator_file;             // text of a file that it runs on too (--config), or nothing
};

// What the machine has given a process, in s.
struct ProcessTimes {
  double run_seconds = 0;       // on a core
  double cpu_wait_seconds = 0;  // ready to run, and no core was free
};

// One process. Not for two threads at once. Ends only what it has started, at the latest with its own end,
// and also where this process dies first.
class NodeProcess {
 public:
  // `binary`: the node's file. Throws std::runtime_error.
  NodeProcess(std::string binary, const NodeConfig& config, ProcessOptions options = {});
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  // Waits until the log tells where it listens. Throws std::runtime_error, with the log, where it does not.
  int port();
  // Waits until /healthz answers 200.
  void await_ready();
  // One look at /healthz: the status, 0 where there is none.
  int health();
  // SIGKILL: returns once it has ended.
  void signal(int which);
  // Replaces the configuration file and has it read (SIGHUP).
  void reload(const NodeConfig& config);
  // Waits for its end. The exit code, or the negative signal.
  int exit_code();
  bool running();
  std::string log() const;
  pid_t pid() const { return child_; }
  // SIGSTOP and SIGCONT. Returns once the process stands, or runs again.
  void pause();
  void resume();
  ProcessTimes times() const;
  std::size_t resident_kb() const;
  // When it was started, signalled and ended, as far as that is known by now.
  const ProcessLifetime& lifetime() const { return lifetime_; }

 private:
  bool reap(bool wait);

  std::string binary_, config_path_, operator_file_path_, log_path_, ip_;
  pid_t child_ = -1;
  int status_ = 0, port_ = 0;
  ProcessLifetime lifetime_;
};

}  // namespace nettlestand::standins
