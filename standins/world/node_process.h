// Runs the node program as a child process: configuration, start, signals and exit.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "standins/checker/checker.h"
#include "standins/common/records.h"

namespace nettlestand::standins {

// A request class as in the node's settings.
struct NodeRequestClass {
  std::string name;
  std::string effect = "safe";  // safe, keyed or unsafe
  std::string group = "all";    // keyed: servers that deduplicate together (all, zone or cell)
  double window = 4;            // s, keyed: how long servers remember a key
  double aim = 1, give_up = 2, late_worth = 0.5;  // s, s, value of a late answer
};

// The same class as the checker describes it.
CheckedClass checked_class(const NodeRequestClass& c);

// A tenant as in the node's settings.
struct NodeTenantConfig {
  std::string name;
  double allowance = 1000;  // calls per second over all nodes
};

// Configuration of a node; json() is the text of its file.
struct NodeConfig {
  std::string name = "n1";
  std::string ip = "127.0.0.1";
  int listen = 0;     // port; 0: chosen by the kernel
  int discovery = 0;  // port
  std::string discovery_ip = "127.0.0.1";
  int zone = 0;  // its own zone, an index into `zones`
  std::string seed = "8c1f30d27a5be964";
  int sockets = 1024, memory_mb = 64;
  int stage = 1, peers = 1, position = 0;  // its tier, the number of nodes, its number among them
  std::vector<std::string> zones = {"a"};
  std::vector<NodeRequestClass> classes = {{"safe"}};
  std::vector<NodeTenantConfig> tenants = {{"acme"}};
  double connect_timeout = 0.25, idle_close = 5;  // s
  int attempts = 4;
  bool cancel = true, second_copies = false, subscribe = true;
  double retry_after = 2;  // s, the longest Retry-After; 0: none
  double ask_within = 0.4, start_capacity = 1, ramp_time = 0;
  double over_share_worth = 1;
  std::string peer_listen;        // address of its socket for other nodes; empty: none
  std::string broadcast_address;  // an address that reaches all nodes at once; empty: none
  // The nodes' addresses as this node reaches them, by position.
  std::vector<std::string> peer_addresses;
  std::string known_servers;  // a server list in discovery's format; empty: none
  std::string extra_members;  // further JSON members of the configuration, each followed by a comma

  std::string json() const;
};

// Further options for starting the process.
struct ProcessOptions {
  unsigned max_descriptors = 1024;       // limit of open file descriptors
  std::vector<std::string> arguments;    // program arguments
  std::vector<std::string> environment;  // NAME=VALUE, in addition to this process's environment
  std::string operator_file;             // text of an additional operator file (--config); empty: none
};

// CPU accounting of a process, in s.
struct ProcessTimes {
  double run_seconds = 0;       // running on a core
  double cpu_wait_seconds = 0;  // runnable, but waiting for a core
};

// A node process. Not thread-safe. Ends only the child that it started: at the latest in the destructor, and
// also if this process dies first.
class NodeProcess {
 public:
  // `binary`: path of the node program. Throws std::runtime_error.
  NodeProcess(std::string binary, const NodeConfig& config, ProcessOptions options = {});
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  // Waits until the log states the listening port. Throws std::runtime_error with the log if it does not.
  int port();
  // Waits until /healthz answers 200.
  void await_ready();
  // Requests /healthz once: the status, or 0 without an answer.
  int health();
  // Sends a signal; for SIGKILL, returns once the process has ended.
  void signal(int which);
  // Replaces the configuration file and makes the node read it (SIGHUP).
  void reload(const NodeConfig& config);
  // Waits for the process to end. The exit code, or the negated signal number.
  int exit_code();
  bool running();
  std::string log() const;
  pid_t pid() const { return child_; }
  // Sends SIGSTOP or SIGCONT. pause() returns once the process has stopped.
  void pause();
  void resume();
  ProcessTimes times() const;
  std::size_t resident_kb() const;
  // Times of its start, signal and end, as far as known.
  const ProcessLifetime& lifetime() const { return lifetime_; }

 private:
  bool reap(bool wait);
  // When the process logged that it listens for requests; 0 if it did not.
  double logged_listening_at() const;

  std::string binary_, config_path_, operator_file_path_, log_path_, ip_;
  pid_t child_ = -1;
  int status_ = 0, port_ = 0;
  ProcessLifetime lifetime_;
};

}  // namespace nettlestand::standins
