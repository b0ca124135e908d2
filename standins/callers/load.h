// Load generator for one or more nodes: closed loop or open loop with Poisson arrivals, request classes,
// tenants and traffic floods of single tenants.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standins/common/latency_histogram.h"
#include "standins/common/loop.h"
#include "standins/common/recorder.h"

namespace nettlestand::standins {

// Whether a call may be repeated: safe (GET), with an idempotency key, or not at all.
enum class CallEffect { kSafe, kKeyed, kUnsafe };

// A request class of the generated load.
struct LoadClass {
  std::string name = "safe";
  CallEffect effect = CallEffect::kSafe;
  double share = 1;            // relative share of the calls
  double timeout = 2;          // s; sent to the node, and the caller gives up after it
  double latency_target = 0;   // s; later responses count as late; 0: same as timeout
  std::size_t body_bytes = 0;  // request body size; safe requests have no body
};

// A tenant of the generated load.
struct LoadTenant {
  std::string name = "acme";
  double share = 1;  // relative share of the calls
};

// A period in which a tenant calls `factor` times as often as usual.
struct Flood {
  std::string tenant;
  double factor = 1, from = 0, until = 0;  // s after the start
};

// A node that is called.
struct LoadTarget {
  std::string node = "n1";  // node name in the records
  int port = 0;
  std::string ip = "127.0.0.1";
};

// Configuration of a LoadClient.
struct LoadSettings {
  std::vector<LoadTarget> targets;  // called round robin
  std::vector<LoadClass> classes = {LoadClass{}};
  std::vector<LoadTenant> tenants = {LoadTenant{}};
  std::vector<Flood> floods;
  double rate = 0;           // calls/s with Poisson arrivals; 0: closed loop
  std::size_t callers = 16;  // callers of the closed loop, one connection each
  // Connections that the open loop may hold; calls beyond them are not sent.
  std::size_t max_connections = 4000;
  double seconds = 1;       // period in which calls start
  double warm_up = 0;       // s at the start that are left out of the results
  std::uint64_t calls = 0;  // total number of calls; 0: unlimited
  bool keep_alive = true;   // false: a new connection for each call
  // Attempts per call in the open loop. A client retries when it is refused or can't connect, and calls that
  // may be repeated also after a failure or a missing response.
  int max_attempts = 1;
  double mean_retry_delay = 0.2;  // s; delays are exponentially distributed
  double extra_wait = 0;          // s that a caller waits past the timeout, to record late responses
  std::string path = "/api";
  std::uint64_t seed = 1;
  Recorder* recorder = nullptr;  // null: no recording
};

// Outcomes of calls. Each call counts in exactly one of served, refused, failed, timed_out and unsent.
struct LoadCounts {
  std::uint64_t calls = 0;
  std::uint64_t served = 0;     // status 200 with the body for this call
  std::uint64_t late = 0;       // served calls that exceeded the latency target of their class
  std::uint64_t refused = 0;    // 429 or 503
  std::uint64_t failed = 0;     // other status, truncated or wrong response, or connection closed without one
  std::uint64_t timed_out = 0;  // the caller gave up
  std::uint64_t unsent = 0;     // no connection could be established
  LatencyHistogram latency;     // of served calls, measured from when the call was due
};

// Results of a run, in total and per class and tenant.
struct LoadResult {
  double seconds = 0;  // length of the measured period
  LoadCounts all;
  std::map<std::string, LoadCounts> classes, tenants;
  std::string json() const;  // one JSON object; rates in calls/s, latencies in ms
};

// Generates load on an event loop. Thread-safe unless stated otherwise. The loop and the recorder must
// outlive the client.
class LoadClient {
 public:
  // Throws std::invalid_argument for unusable settings.
  LoadClient(Loop& loop, LoadSettings settings);
  ~LoadClient();
  LoadClient(const LoadClient&) = delete;
  LoadClient& operator=(const LoadClient&) = delete;

  // Starts the load. `done` is called on the loop when all calls have ended.
  void start(std::function<void()> done = {});
  // Starts no further calls; calls in flight go on to their end.
  void stop();
  // Blocks until all calls have ended. Must not be called on the loop's thread.
  void wait();
  LoadResult result() const;

 private:
  class Impl;
  Loop& loop_;
  std::unique_ptr<Impl> impl_;
};

// Runs the load to its end on a loop of its own.
LoadResult run_load(LoadSettings settings);

}  // namespace nettlestand::standins
