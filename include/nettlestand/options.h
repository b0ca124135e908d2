// The options with which a gateway is opened.
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

// The consequences of executing a request more than once.
enum class Effect {
  kSafe,   // harmless; sent as GET without a body
  kKeyed,  // harmless among the servers of `dedup` during `dedup_window`; sent as POST with an idempotency
           // key
  kUnsafe  // not allowed; sent as POST without an idempotency key
};

// For keyed requests: the set of servers that share their record of idempotency keys.
enum class Dedup { kAll, kZone, kCell };

// A class of requests with the same effect and latency requirements.
struct ClassOptions {
  std::string name;  // 1 to 128 bytes, each name once
  Effect effect = Effect::kUnsafe;
  std::chrono::milliseconds aim{500};  // target latency; an answer within it has its full worth; 1 ms to 1 h
  std::chrono::milliseconds deadline{2000};   // how long callers wait for an answer; 1 ms to 1 h
  double late_worth = 0.5;                    // worth of an answer between `aim` and `deadline`; 0 to 1
  Dedup dedup = Dedup::kAll;                  // keyed only
  std::chrono::milliseconds dedup_window{0};  // keyed only: how long servers remember a key; 0 to 1 day
};

// A tenant: a source of requests with a share of the capacity.
struct TenantOptions {
  std::string name;                 // 1 to 128 bytes, each name once
  std::optional<double> allowance;  // guaranteed requests/s over all gateways; 0 to 1e9
};

// A draining server finishes its requests and gets no new ones.
enum class ServerState { kReady, kDraining };

// A server of the tier.
struct ServerOptions {
  std::string name;     // 1 to 255 bytes, unique, and the same at every gateway
  std::string address;  // "10.0.0.4:3000" or "[::1]:3000"; names are not resolved
  ServerState state = ServerState::kReady;
  std::string zone;   // one of Options::zones, or empty
  int cell = 0;       // for Dedup::kCell
  double weight = 1;  // capacity relative to the other servers; 0 to 1e6
};

// Runs the library's callbacks into the application. post() may be called from any thread and must not run
// `task` before it returns. The library never runs a task itself once it has been posted.
class Executor {
 public:
  virtual ~Executor() = default;
  virtual void post(UniqueFunction<void()> task) = 0;
};

// Membership among gateways and nodes: failure detection by gossip. With it, servers and allowances are
// divided among the live members instead of by Options::peers. Changes are reported to event_logger as
// component "peers".
struct MembershipOptions {
  std::string name;    // this gateway's name: 1 to 32 bytes, unique in the cluster
  std::string listen;  // IPv4 address and UDP port, "10.0.0.4:7946"; port 0: the kernel assigns one
  std::vector<std::string> join;  // addresses of some members to contact first, instead of `members`
  std::vector<std::string>
      members;  // addresses of all Options::peers members by position, as seen from this gateway
  std::string cluster = "nettlestand";
  std::vector<std::string> keys;  // none, or one or two keys of 64 hexadecimal digits: the first
                                  // authenticates what is sent, both are accepted
  std::string region;             // 0 to 12 bytes
  bool follow = true;  // false: Options::peers still determines how servers and allowances are divided
};

// Reports that this gateway gained or lost a duty. A duty is a task that one gateway or node at a time holds
// a lease for, as agreed by the voters of a cluster (docs/operate/duties.md).
struct DutyChange {
  std::string duty;
  std::uint64_t token = 0;  // fencing token; larger than that of any earlier holder
  bool gained = false;
  std::string why;  // reason for a loss: lapsed, taken, hand over, given back, failed, removed
};
// A duty that this gateway would hold.
struct DutyOptions {
  std::string name;  // 1 to 64 bytes
  std::chrono::milliseconds lease{
      5000};  // lease duration, 200 ms to 1 h; sent to the voters if they don't know the duty
  std::vector<std::string> prefer;  // preferred zones or regions, best first
  std::vector<std::string> apart;   // anti-affinity: duties that must not have the same holder
  // Called for each gain and loss, in order, on Options::executor. A loss is reported only after it has
  // happened, so this callback can't protect an effect: check Gateway::duty_token() before it, and have the
  // system that the effect reaches check the token.
  std::function<void(const DutyChange&)> changed;
};
// A voter of the cluster that grants duties.
struct VoterAddress {
  std::string name, address;  // address and port, as "10.0.0.4:7950"
};
// Takes part in the leases of duties.
struct DutiesOptions {
  std::string name;                  // this gateway's name: 1 to 64 bytes, unique in the cluster
  std::vector<VoterAddress> voters;  // 1 to 63
  std::vector<DutyOptions> duties;   // duties that this gateway may hold
  std::string cluster = "nettlestand";
  std::vector<std::string> keys;  // as in MembershipOptions
  std::string region;
  double drift = 0.01;  // maximum relative clock rate error, as configured at the voters; 0 to 0.2
};

// Everything that Gateway::open() needs. Gateway::open() checks the ranges given here.
struct Options {
  std::vector<ClassOptions> classes;   // 1 to 100
  std::vector<TenantOptions> tenants;  // 0 to 1000; none: traffic is not divided by tenant
  std::vector<std::string> zones;      // 0 to 1000
  std::vector<ServerOptions> servers;  // initial servers; a list from `discovery` replaces them
  // If `servers` is a list that came from discovery: its version. Discovery is then asked only for the
  // changes since.
  std::optional<std::uint64_t> servers_version;
  std::string discovery;  // address and port of the discovery service to watch, or empty

  int position = 0, peers = 1;  // index of this gateway among all that send to these servers, and their count
  int tier = 0;                 // tier of the servers; clients send to tier 0
  std::string zone;             // the zone in which this gateway runs, one of `zones`; or empty
  std::uint64_t seed = 1;       // random seed
  int max_attempts = 4;         // per request; 1 to 1000
  std::chrono::milliseconds max_retry_after{2000};  // maximum Retry-After; 0: none is sent; up to 1 h
  double start_capacity = 1;               // share of its capacity that a server has at its start; 0 to 1
  std::chrono::milliseconds ramp_time{0};  // time after which it has full capacity; up to 1 day
  std::chrono::milliseconds connect_timeout{250};  // 1 ms to 600 s
  std::chrono::milliseconds idle_close{
      5000};  // idle time after which servers close connections; 10 ms to 1 day

  std::optional<MembershipOptions> membership;  // unset: off, without any background work
  std::optional<DutiesOptions> duties;          // unset: off, likewise

  // Resource limits of the gateway within the process.
  std::size_t sockets = 256;              // connections to servers; 1 to 2^31 - 1
  std::size_t memory = 64 * 1024 * 1024;  // bytes, at least 16 MiB; a third is for bodies in both directions
  std::size_t max_open = 4096;            // open requests, at least 1; more are refused

  // Called with a log line for people, on the gateway's thread; exceptions from it are ignored. Unset: no
  // log.
  std::function<void(std::string_view)> logger;
  // Called after `logger` with the same event and its fields.
  std::function<void(const LogEvent&)> event_logger;
  // Runs completions. Unset: they run on the gateway's thread.
  std::shared_ptr<Executor> executor;
};

}  // namespace nettlestand
