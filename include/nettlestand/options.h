// What a gateway is told when it is opened.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "nettlestand/function.h"
#include "nettlestand/log.h"

namespace nettlestand {

// What may happen when a request is executed more than once.
enum class Effect {
  kSafe,   // harmless: GET without a body
  kKeyed,  // harmless within `dedup`, as long as servers remember: POST with an idempotency key
  kUnsafe  // never allowed: POST without one
};

// For keyed requests: the servers that drop each other's repeats.
enum class Dedup { kAll, kZone, kCell };

struct ClassOptions {
  std::string name;  // 1 to 128 bytes, each name once
  Effect effect = Effect::kUnsafe;
  std::chrono::milliseconds aim{500};         // an answer within it earns its full worth; 1 ms to 1 h
  std::chrono::milliseconds deadline{2000};   // callers wait so long; 1 ms to 1 h; 1 ms at least
  double late_worth = 0.5;                    // of an answer between the two, 0 to 1
  Dedup dedup = Dedup::kAll;                  // keyed only
  std::chrono::milliseconds dedup_window{0};  // keyed only: servers remember a key so long; 0 to 1 day
};

struct TenantOptions {
  std::string name;                 // 1 to 128 bytes, each name once
  std::optional<double> allowance;  // requests/s over all gateways that are within its share; 0 to 1e9
};

enum class ServerState { kReady, kDraining };

struct ServerOptions {
  std::string name;     // 1 to 255 bytes; the same at every gateway; two servers never share one
  std::string address;  // "10.0.0.4:3000" or "[::1]:3000"; names are not resolved
  ServerState state = ServerState::kReady;
  std::string zone;   // one of Options::zones, or empty
  int cell = 0;       // for Dedup::kCell
  double weight = 1;  // size in comparison with the others; 0 to 1e6
};

// Runs what the library hands to the application. Any thread may call post(); it must not run `task` before
// it returns. The library never calls a task itself once it has been posted.
class Executor {
 public:
  virtual ~Executor() = default;
  virtual void post(UniqueFunction<void()> task) = 0;
};

// Membership among gateways and nodes: who of them lives. With it, servers and allowances are split among
// those that do, in place of Options::peers; what happens is told by event_logger, component "peers".
struct MembershipOptions {
  std::string name;                  // of this gateway: 1 to 32 bytes, unique in the cluster
  std::string listen;                // UDP, "10.0.0.4:7946", IPv4; port 0: the kernel gives one
  std::vector<std::string> join;     // some that are asked first; or
  std::vector<std::string> members;  // all, by position, as this one reaches them: Options::peers many
  std::string cluster = "nettlestand";
  std::vector<std::string>
      keys;            // none, or one or two of 64 hexadecimal digits: the first seals, both are taken
  std::string region;  // 0 to 12 bytes
  bool follow = true;  // false: Options::peers stays what servers and allowances are split by
};

// A duty that one gateway or node holds at a time, as the voters of a cluster agree (docs/operate/duties.md).
struct DutyChange {
  std::string duty;
  std::uint64_t token = 0;  // larger than that of any holder before
  bool gained = false;
  std::string why;  // of a loss: lapsed, taken, hand over, given back, failed, removed
};
struct DutyOptions {
  std::string name;                       // 1 to 64 bytes
  std::chrono::milliseconds lease{5000};  // 200 ms to 1 h; told to the voters where they don't know the duty
  std::vector<std::string> prefer;        // zones or regions, the best first
  std::vector<std::string> apart;         // duties that are never to be with the same holder
  // Each gain and loss, in order, on Options::executor. A loss is told once it is past: whatever an effect is
  // guarded by is Gateway::duty_token(), and the place where it lands.
  std::function<void(const DutyChange&)> changed;
};
struct VoterAddress {
  std::string name, address;  // "10.0.0.4:7950"
};
struct DutiesOptions {
  std::string name;                  // of this gateway: 1 to 64 bytes, unique in the cluster
  std::vector<VoterAddress> voters;  // 1 to 63
  std::vector<DutyOptions> duties;   // that this gateway would hold
  std::string cluster = "nettlestand";
  std::vector<std::string> keys;  // as MembershipOptions::keys
  std::string region;
  double drift = 0.01;  // bound on the error of clocks' rates, as the voters have it; 0 to 0.2
};

struct Options {
  std::vector<ClassOptions> classes;   // 1 to 100
  std::vector<TenantOptions> tenants;  // 0 to 1000; none: traffic is not told apart
  std::vector<std::string> zones;      // 0 to 1000
  std::vector<ServerOptions> servers;  // from the start; a `discovery` replaces them as it speaks
  // Of discovery's list that `servers` is, if it is one: discovery is then asked for what has changed since.
  std::optional<std::uint64_t> servers_version;
  std::string discovery;  // address and port of the watch on servers, or empty

  int position = 0, peers = 1;  // this gateway's number among all that send to these servers, and their count
  int tier = 0;                 // of the servers, from 0: the one that clients reach first
  std::string zone;             // that this gateway runs in, one of `zones`; or empty
  std::uint64_t seed = 1;       // of its random numbers
  int max_attempts = 4;         // for one request; 1 to 1000
  std::chrono::milliseconds max_retry_after{2000};  // the longest advice to come back; 0: none; to 1 h
  double start_capacity = 1;                        // a starting server has this part of its capacity, 0 to 1
  std::chrono::milliseconds ramp_time{0};           // and all of it after this long; to 1 day
  std::chrono::milliseconds connect_timeout{250};   // 1 ms to 600 s
  std::chrono::milliseconds idle_close{5000};       // servers close connections idle so long; 10 ms to 1 day

  std::optional<MembershipOptions> membership;  // none: off; nothing of it then runs
  std::optional<DutiesOptions> duties;          // likewise

  // The share of the process that it may take up.
  std::size_t sockets = 256;  // connections to servers; 1 to 2^31 - 1
  std::size_t memory =
      64 * 1024 * 1024;         // bytes; a third of it is for bodies, in both directions; 16 MiB at least
  std::size_t max_open = 4096;  // requests that have no answer yet; more are refused; 1 at least

  // Lines on what happened, for people. Called on the gateway's thread; what it throws is dropped. None:
  // silence.
  std::function<void(std::string_view)> logger;
  // The same as events with their fields, after `logger`.
  std::function<void(const LogEvent&)> event_logger;
  // Where completions run. None: on the gateway's thread.
  std::shared_ptr<Executor> executor;
};

}  // namespace nettlestand
