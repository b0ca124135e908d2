// Test double of a back-end server: HTTP/1.1 with a service-time model, scripted fault injection, and a
// record of every request it received. Many servers can share one event loop.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "standins/common/loop.h"
#include "standins/common/recorder.h"
#include "standins/servers/script.h"

namespace nettlestand::standins {

// Idempotency keys that a group of servers shares for the `dedup` fault. Not synchronized: all servers that
// share one must run on the same loop.
class DedupStore {
 public:
  // Returns whether `key` was executed less than `window` seconds before `at`. If not, records it as executed
  // at `at`.
  bool check_duplicate(const std::string& key, double at, double window);

 private:
  std::map<std::string, double> last_run_at_;
};

// Configuration of a ScriptedServer.
struct ServerSettings {
  std::string name = "s0";       // host name in discovery
  std::string ip = "127.0.0.1";  // listen address
  int port = 0;                  // 0: chosen by the kernel
  bool shared_port = false;      // SO_REUSEPORT: other servers, on other loops, may listen on it too
  int cores = 0;                 // requests processed concurrently; 0: unlimited
  double service_time = 0;       // s of processing per request on one core
  bool exponential = false;      // `service_time` is the mean of an exponential distribution
  std::map<std::string, double> class_service_times;  // s; overrides service_time per request class
  std::size_t queue_limit = 100000;  // waiting requests; further ones get 503 with Not-Started
  std::uint64_t seed = 1;
  std::size_t answer_bytes = 0;             // shorter response bodies are padded to this length
  double idle_timeout = 0;                  // s after which idle connections are closed; 0: never
  std::shared_ptr<DedupStore> dedup_store;  // shared with its group; null: a store of its own
  Recorder* recorder = nullptr;             // null: no recording
};

// Body of the response to a request. It contains the request id and the digest of the request body, so that a
// response delivered to the wrong request is detected.
std::string answer_body(std::string_view id, std::uint64_t body_digest, std::size_t bytes);

// Thread-safe. The loop and the recorder must outlive the server.
class ScriptedServer {
 public:
  // Totals since the start.
  struct Counts {
    std::uint64_t connections = 0, requests = 0, executed = 0, answered = 0, rejected = 0;
    std::size_t open = 0;  // currently open connections
  };

  // Throws std::runtime_error if the port can't be bound.
  ScriptedServer(Loop& loop, ServerSettings settings);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  int port() const;
  const std::string& name() const;

  // Starts a script in addition to the faults that are active already. Throws ScriptError.
  void run(std::string_view script);
  // Schedules one fault, which becomes active after its `at` and lasts until its duration is over or end() is
  // called. Returns its id.
  std::uint64_t begin(const Fault& fault);
  void end(std::uint64_t fault);
  // Ends all faults, including scheduled ones, and restarts a server that crashed from overload.
  void clear_faults();

  Counts counts() const;
  // Whether the server crashed because it received too much work during a cold start (`cold` fault).
  bool crashed_from_overload() const;

 private:
  class Impl;
  Loop& loop_;
  std::unique_ptr<Impl> impl_;
};

}  // namespace nettlestand::standins
