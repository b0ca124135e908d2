// A small serving tier on loopback: real node processes with doubles of the platform and the engines, and
// calls to the tier as clients and the operator make them.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "standins/tier/engine.h"
#include "standins/tier/persistent_connection.h"

namespace nettlestand::tier::standins {

// Settings of [limits]; those that are not set get the program's defaults.
struct NodeLimits {
  std::optional<int> memory_mb, max_fds;
};

// Size of the tier; `more_settings` is appended to each node's settings file.
struct TierOptions {
  std::string program;
  std::size_t core = 3, plain_edges = 1, stores = 3, engines = 3;
  NodeLimits edge_limits, store_limits;
  std::string more_settings;
};

// What a process holds of its machine.
struct ProcessUsage {
  std::size_t resident_kb = 0, peak_resident_kb = 0, descriptors = 0;
};

// Starts the tier in its constructor and kills it in its destructor. Folders and logs are temporary.
class TierWorld {
 public:
  explicit TierWorld(const TierOptions& options);
  ~TierWorld();
  TierWorld(const TierWorld&) = delete;
  TierWorld& operator=(const TierWorld&) = delete;

  // Nodes are numbered: core edges first, then the other edges, then the stores.
  std::size_t nodes() const { return nodes_.size(); }
  std::size_t edges() const { return options_.core + options_.plain_edges; }
  std::size_t store(std::size_t i) const { return edges() + i; }
  bool has_disk(std::size_t node) const { return nodes_.at(node).has_disk; }
  const std::string& name(std::size_t node) const { return nodes_.at(node).name; }
  void start(std::size_t node, bool bootstrap = false);
  // Starts a second process of the node while the first one runs. It counts as the node's process once the
  // first one has ended. No effect while there is a second process.
  void start_beside(std::size_t node);
  // SIGTERM to that second process, and its exit code.
  int terminate_beside(std::size_t node);
  // Waits for the second process to end by itself; its exit code.
  int exit_code_beside(std::size_t node);
  void kill(std::size_t node);       // SIGKILL
  void terminate(std::size_t node);  // SIGTERM; see exit_code()
  void signal(std::size_t node, int number);
  bool is_running(std::size_t node) const { return nodes_.at(node).pid > 0; }
  // Whether the process has logged its start since it was last started.
  bool has_started(std::size_t node) const;
  // The exit code if the process has ended by itself, or 128 plus the number of the signal that ended it.
  std::optional<int> ended(std::size_t node);
  int exit_code(std::size_t node);  // waits for the process to end
  void wipe(std::size_t node);      // deletes its disk contents; only while it is down
  std::string log(std::size_t node) const;
  // What the node's process has taken of the machine: resident memory now and at its peak, and descriptors
  // now. All 0 if the process has ended.
  ProcessUsage usage(std::size_t node) const;
  // Keeps the logs when the world is destroyed; returns their folder.
  std::string keep_logs();

  // Makes one call; `timeout_ms` limits the whole call.
  HttpResult call(const std::string& address, const std::string& method, const std::string& target,
                  const HeaderList& headers, const std::string& body, int timeout_ms = 5000) const;
  HttpResult client(std::size_t node, const std::string& method, const std::string& target,
                    const HeaderList& headers, const std::string& body, int timeout_ms = 5000) const;
  HttpResult control(std::size_t node, const std::string& method, const std::string& target,
                     const HeaderList& headers, const std::string& body) const;
  std::string front_address(std::size_t node) const;
  std::string ready_address(std::size_t node) const;
  std::string control_address(std::size_t node) const;
  // The address at which other nodes reach it.
  std::string internal_address(std::size_t node) const;
  bool ready(std::size_t node) const;
  // Sends a configuration command to one node after another until it is decided.
  HttpResult change_configuration(const std::string& verb, std::uint64_t base, const std::string& body) const;

  std::size_t engines() const { return engines_.size(); }
  Engine& engine(std::size_t i) { return *engines_.at(i); }
  Platform& platform() { return *platform_; }
  // The server list when all engines are healthy.
  std::vector<Platform::Entry> full_server_list() const;

 private:
  struct Node {
    std::string name, ip, role, folder;
    bool has_disk = false;
    int pid = 0, beside_pid = 0;
    std::size_t log_start = 0;  // size of its log in bytes at its last start
  };
  std::string ip(std::size_t i) const;
  int spawn(const Node& node) const;
  void write_settings(const Node& node, bool bootstrap) const;

  TierOptions options_;
  std::string folder_;
  unsigned network_ = 0;
  bool keep_logs_ = false;
  std::vector<Node> nodes_;
  IoThread loop_;
  std::unique_ptr<Platform> platform_;
  std::vector<std::unique_ptr<Engine>> engines_;
};

// Calls `done` until it is true or `limit_ms` has passed; each call is expected to wait on something itself.
template <class Done>
bool until(int limit_ms, Done&& done) {
  const Millis end = steady_now() + limit_ms;
  while (!done()) {
    if (steady_now() >= end) return false;
    std::this_thread::yield();
  }
  return true;
}

}  // namespace nettlestand::tier::standins
