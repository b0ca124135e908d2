// Test double of service discovery: serves the full server list and watches on its changes, as scripted by
// calls.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "standins/common/loop.h"
#include "standins/common/recorder.h"

namespace nettlestand::standins {

// A server in the list of discovery.
struct ServerEntry {
  std::string host;
  int port = 0;  // on 127.0.0.1
  std::string site = "a", kind = "m";
  int block = 0;
  std::string health = "active";  // active, leaving, or left (only in changes)
  double share = 1;
  std::uint64_t born_ms = 0;  // start time, Unix ms; 0: long ago
};

// Current Unix time in ms.
std::uint64_t unix_ms();

// Thread-safe. The loop and the recorder must outlive it. Each node has an endpoint of its own, which is how
// the records tell which node has received which change.
class ScriptedDiscovery {
 public:
  // Availability of discovery.
  enum class Mode {
    kUp,
    kRefuse,       // watches end, connects are refused
    kUnavailable,  // watches end, requests get 503
    kSilent        // connections are accepted, but nothing is written to them
  };

  // `heartbeat_interval`: s between the empty lines that a watch receives as heartbeats.
  explicit ScriptedDiscovery(Loop& loop, Recorder* recorder = nullptr, double heartbeat_interval = 2);
  ~ScriptedDiscovery();
  ScriptedDiscovery(const ScriptedDiscovery&) = delete;
  ScriptedDiscovery& operator=(const ScriptedDiscovery&) = delete;

  // Returns the port on which discovery serves this node; the first call for a node opens it. `fixed`: the
  // port to use, 0: chosen by the kernel.
  int endpoint(const std::string& node, int fixed = 0, const std::string& ip = "127.0.0.1");
  // Sets the function that returns the address by which a node reaches a server, in place of 127.0.0.1 and
  // the server's port. It is called on the loop.
  void set_address_mapping(
      std::function<std::string(const std::string& node, const ServerEntry& server)> dial);

  // Adds or changes a server and notifies the watches. A server with health `left` is removed from the list.
  void update(const ServerEntry& server);
  void update(const std::vector<ServerEntry>& servers);  // as one change
  void set_health(const std::string& host, const std::string& health);
  // Removes a server without notifying the watches; only full lists omit it from now on.
  void remove_silently(const std::string& host);
  std::vector<ServerEntry> list() const;

  void set_mode(Mode mode);
  // Delays every change and full list by so many seconds from now on.
  void set_delay(double seconds);
  std::size_t open_watches() const;
  std::uint64_t request_count() const;  // requests received so far

 private:
  class Impl;
  Loop& loop_;
  std::unique_ptr<Impl> impl_;
};

}  // namespace nettlestand::standins
