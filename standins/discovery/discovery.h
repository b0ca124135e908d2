// Discovery that does as it is told by calls: the whole list, and watches on its changes.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "standins/common/loop.h"
#include "standins/common/recorder.h"

namespace nettlestand::standins {

// A server as discovery lists it.
struct ServerEntry {
  std::string host;
  int port = 0;  // on 127.0.0.1
  std::string site = "a", kind = "m";
  int block = 0;
  std::string health = "active";  // active, leaving, or left (a change alone)
  double share = 1;
  std::uint64_t born_ms = 0;  // Unix time in ms; 0: long ago
};

std::uint64_t unix_ms();

// All members are for any thread. The loop and the recorder must outlive it. Each node has an endpoint of its
// own: which node was told what can be seen only so.
class ScriptedDiscovery {
 public:
  enum class Mode {
    kUp,
    kRefuse,       // down: watches end, connections are refused
    kUnavailable,  // down: watches end, calls get 503
    kSilent        // connections are accepted, and nothing is written on any
  };

  // `heartbeat_interval`: s between the empty lines of a watch.
  explicit ScriptedDiscovery(Loop& loop, Recorder* recorder = nullptr, double heartbeat_interval = 2);
  ~ScriptedDiscovery();
  ScriptedDiscovery(const ScriptedDiscovery&) = delete;
  ScriptedDiscovery& operator=(const ScriptedDiscovery&) = delete;

  // The port at which the node of this name asks; a new one with the first call. `fixed`: that port, 0: the
  // kernel gives one.
  int endpoint(const std::string& node, int fixed = 0, const std::string& ip = "127.0.0.1");
  // How a node reaches a server, where that differs from 127.0.0.1 and the server's port. Called on the loop.
  void set_address_mapping(
      std::function<std::string(const std::string& node, const ServerEntry& server)> dial);

  // Adds a server, or changes it: watches are told. One that is `left` goes from the list.
  void update(const ServerEntry& server);
  void update(const std::vector<ServerEntry>& servers);  // in one change
  void set_health(const std::string& host, const std::string& health);
  // Takes a server off the list with no word to the watches; whole lists lack it from now on.
  void remove_silently(const std::string& host);
  std::vector<ServerEntry> list() const;

  void set_mode(Mode mode);
  // Changes, and whole lists, are written so many seconds late from now on.
  void set_delay(double seconds);
  std::size_t open_watches() const;     // open now
  std::uint64_t request_count() const;  // calls so far

 private:
  class Impl;
  Loop& loop_;
  std::unique_ptr<Impl> impl_;
};

}  // namespace nettlestand::standins
