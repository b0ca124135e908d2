// A server that does as its script says: HTTP/1.1, a service model, faults on command, and a record of all it
// saw. Many of them run on one loop.
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

// The keys that a group of servers remembers for each other, for `dedup`. To be shared by servers of one
// loop.
class DedupStore {
 public:
  // Whether `key` ran less than `window` seconds ago; if not, it does now.
  bool check_duplicate(const std::string& key, double at, double window);

 private:
  std::map<std::string, double> last_run_at_;
};

struct ServerSettings {
  std::string name = "s0";                            // as discovery names it
  std::string ip = "127.0.0.1";                       // where it listens
  int port = 0;                                       // 0: the kernel gives one
  bool shared_port = false;                           // others may listen on it too, each on its own loop
  int cores = 0;                                      // requests that it works on at a time; 0: any number
  double service_time = 0;                            // s of work for a request on one core
  bool exponential = false;                           // `service_time` is a mean
  std::map<std::string, double> class_service_times;  // and by class, where one is named
  std::size_t queue_limit = 100000;                   // requests that may wait; beyond them 503 Not-Started
  std::uint64_t seed = 1;
  std::size_t answer_bytes = 0;             // length of an answer's body, where what it has to say is shorter
  double idle_timeout = 0;                  // s; connections idle for so long are closed; 0: never
  std::shared_ptr<DedupStore> dedup_store;  // of the group it belongs to; its own where there is none
  Recorder* recorder = nullptr;             // null: nothing is recorded
};

// The body of the answer to a request: unlike that of any other.
std::string answer_body(std::string_view id, std::uint64_t body_digest, std::size_t bytes);

// All members are for any thread. The loop must outlive it, and its recorder too.
class ScriptedServer {
 public:
  struct Counts {
    std::uint64_t connections = 0, requests = 0, executed = 0, answered = 0, rejected = 0;
    std::size_t open = 0;  // connections now
  };

  // Throws std::runtime_error where the port can't be had.
  ScriptedServer(Loop& loop, ServerSettings settings);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  int port() const;
  const std::string& name() const;

  // Runs a script from now on, besides what runs. Throws ScriptError.
  void run(std::string_view script);
  // Begins one fault, after its `at`, until its time or end(). Returns its number.
  std::uint64_t begin(const Fault& fault);
  void end(std::uint64_t fault);
  // Ends all faults, those to come too. A server that fell over is up again.
  void clear_faults();

  Counts counts() const;
  bool crashed_from_overload() const;

 private:
  class Impl;
  Loop& loop_;
  std::unique_ptr<Impl> impl_;
};

}  // namespace nettlestand::standins
