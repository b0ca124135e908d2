// Callers of one or more nodes: a closed loop, or Poisson arrivals; tenants, classes, and tenants that flood.
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

enum class CallEffect { kSafe, kKeyed, kUnsafe };

struct LoadClass {
  std::string name = "safe";
  CallEffect effect = CallEffect::kSafe;
  double share = 1;            // of the calls, in proportion
  double timeout = 2;          // s, told to the node; the caller gives up then
  double aim = 0;              // s; an answer after it is late; 0: the time-out
  std::size_t body_bytes = 0;  // of a request, but for safe ones, which have no body
};

struct LoadTenant {
  std::string name = "acme";
  double share = 1;  // of the calls, in proportion
};

// A tenant that calls `times` as often as usual for a while.
struct Flood {
  std::string tenant;
  double times = 1, from = 0, until = 0;  // s after the start
};

struct LoadTarget {
  std::string node = "n1";  // its name in the records
  int port = 0;
  std::string ip = "127.0.0.1";
};

struct LoadSettings {
  std::vector<LoadTarget> targets;  // calls are dealt out in turn
  std::vector<LoadClass> classes = {LoadClass{}};
  std::vector<LoadTenant> tenants = {LoadTenant{}};
  std::vector<Flood> floods;
  double rate = 0;           // calls/s with Poisson arrivals; 0: closed loop
  std::size_t callers = 16;  // of the closed loop: one connection each
  std::size_t most = 4000;   // connections that the open loop may hold; calls beyond them are not sent
  double seconds = 1;        // in which calls begin
  double warm_up = 0;        // s at the start that do not count in the results
  std::uint64_t calls = 0;   // calls in all; 0: no limit
  bool keep_alive = true;    // else a connection for each call
  int tries = 1;  // of the open loop's clients: they come again when refused or not connected, and where
                  // the call may be repeated also when it fails or gets no answer
  double retry_pause = 0.2;  // s in the mean before they do
  double patience = 0;       // s that a caller waits beyond the time-out, to see what comes late
  std::string path = "/api";
  std::uint64_t seed = 1;
  Recorder* recorder = nullptr;  // null: nothing is recorded
};

// What became of calls; each counts in exactly one of served, refused, failed, timed_out and unsent.
struct LoadCounts {
  std::uint64_t calls = 0;
  std::uint64_t served = 0;     // 200 with the body for this call
  std::uint64_t late = 0;       // of the served: after the class's aim
  std::uint64_t refused = 0;    // 429 or 503
  std::uint64_t failed = 0;     // any other answer, a cut one, a wrong one, or none as the connection ended
  std::uint64_t timed_out = 0;  // the caller gave up
  std::uint64_t unsent = 0;     // no connection came about
  LatencyHistogram latency;     // of the served, from when the call was due
};

struct LoadResult {
  double seconds = 0;  // that count
  LoadCounts all;
  std::map<std::string, LoadCounts> classes, tenants;
  std::string json() const;  // one object; rates in calls/s, times in ms
};

// All members are for any thread but where it says so. The loop and the recorder must outlive it.
class LoadClient {
 public:
  // Throws std::invalid_argument for settings that can't be used.
  LoadClient(Loop& loop, LoadSettings settings);
  ~LoadClient();
  LoadClient(const LoadClient&) = delete;
  LoadClient& operator=(const LoadClient&) = delete;

  // `done` is called on the loop once every call has ended.
  void start(std::function<void()> done = {});
  // No further calls begin.
  void stop();
  // Returns once every call has ended. Not on the loop's thread.
  void wait();
  LoadResult result() const;

 private:
  class Impl;
  Loop& loop_;
  std::unique_ptr<Impl> impl_;
};

// One run on a loop of its own.
LoadResult run_load(LoadSettings settings);

}  // namespace nettlestand::standins
