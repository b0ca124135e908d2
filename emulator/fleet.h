// A discrete-event simulation of a fleet in one process: several balancers (copies of the decision module),
// simulated servers and a simulated clock. The run is deterministic for a given specification, so cases that
// are too large for real time (a thousand servers, responses that take seconds, a hundred balancers) can be
// tested and measured. Uses no sockets, files, threads or real clocks.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "quinceusher/balancer.h"

namespace nettlestand::fleet {

// Distribution of the time for which an attempt keeps a core busy; drawn anew for each attempt.
enum class WorkDraw { kFixed, kUniform, kExponential };

// The load-balancing policy between callers and servers.
enum class Policy {
  kModule,     // the decision module
  kLeastBusy,  // sees all balancers' calls in flight, sends to the least busy server, never refuses
  kBounded     // the same, but refuses when the least busy server holds `bound` calls
};

enum class FaultKind {
  kRefuse,       // connection attempts are refused at once
  kHangConnect,  // connection attempts never complete
  kSilent,       // requests are accepted and never answered
  kReset,        // the connection is reset after the request has arrived: it has run
  kError,        // an error response at once: the request may have run
  kSlow,         // processing is slower by `factor`
  kCrash,        // open attempts are reset when the fault begins; connections are then refused
  kCut  // no traffic between the servers and the named balancers: kept connections are silent, new ones never
        // complete, responses that are ready arrive once the fault is over
};

struct Fault {
  double from = 0, until = 0;        // s
  std::size_t first = 0, count = 1;  // servers
  FaultKind kind = FaultKind::kRefuse;
  double factor = 1;      // of kSlow
  std::size_t every = 1;  // of kRefuse: one in this many connection attempts is refused
  int balancer = -1;      // index of the only balancer affected; -1: all
  // Override first, count and balancer when not empty: by index, whether the server or balancer is affected.
  std::vector<char> affected_servers = {}, affected_balancers = {};
};

// A fault of a balancer's process.
struct BalancerFault {
  enum class Kind {
    kPause,  // it is suspended, then handles all events that arrived meanwhile
    kKill    // it dies with its open requests; callers notice after a second; it restarts at `until`
  };
  Kind kind = Kind::kPause;
  double from = 0, until = 0;  // s
  std::size_t balancer = 0;
};

// A multiple of the specified load that applies from `at` (s) on.
struct LoadStep {
  double at = 0, factor = 1;
};

struct Tenant {
  double allowance = 0;  // requests per second over all balancers
  double offered = 0;    // requests per second over all balancers
};

// A change of the server list, delivered to all balancers at the same time.
struct ListChange {
  double at = 0;
  std::size_t first = 0, count = 1;  // servers
  quinceusher::ServerState state = quinceusher::ServerState::kReady;
  bool restarted = false;          // has a new start time and is cold
  std::vector<char> servers = {};  // overrides first and count when not empty: by index
};

// Specification of a simulated run.
struct Spec {
  std::size_t servers = 10, balancers = 1;
  int cores = 2;       // of a server
  double work = 0.01;  // s on one core, mean
  WorkDraw draw = WorkDraw::kExponential;
  double aim = 0.1, give_up = 0.2;  // s
  quinceusher::Effect effect = quinceusher::Effect::kUnsafe;
  std::vector<Tenant> tenants;
  std::vector<LoadStep> steps;  // in order; before the first the factor is 1
  std::vector<Fault> faults;
  std::vector<ListChange> changes;
  std::vector<BalancerFault> balancer_faults;
  double follow_after = -1;    // s after a balancer's death or return until the others divide the servers and
                               // allowances among the live ones; below 0: never
  std::vector<double> speeds;  // of the first servers, 1 where absent
  std::size_t zones = 1;       // balancers and servers are assigned to zones round-robin
  double between_zones = 0;    // s, one way
  double cross_zone_price = 0;
  double uneven = 0;  // standard deviation of the logarithm of a balancer's traffic
  int tries = 1;  // of a client, including the first; it retries when it is refused, or when a request that
                  // may be repeated fails
  double retry_pause = 0.2;  // s, mean, before a client's retry
  double idle_close = 5;     // s for which idle connections are kept
  double seconds = 10;       // of arrivals
  double count_from = 1;     // s; requests that arrive earlier are simulated but not counted
  int tier = 0;
  int max_attempts = 5;
  bool cold = false;                            // all servers start cold at time 0
  double start_capacity = 0.32, ramp_time = 9;  // s
  // A cold server collapses under `tip_multiple` times its present capacity over `tip_after` s.
  double tip_multiple = 4, tip_after = 1;
  double connect_timeout = 0.25;  // s
  double refuse_time = 50e-6;     // s that a refused connection attempt takes
  bool keep_times = false;        // Result::sent_at is filled
  std::uint64_t seed = 1;
  Policy policy = Policy::kModule;
  int bound = 4;  // of Policy::kBounded
};

struct Counts {
  std::uint64_t asked = 0, served = 0, in_aim = 0, refused = 0, failed = 0;
  double served_part() const {
    return asked == 0 ? 1 : static_cast<double>(served) / static_cast<double>(asked);
  }
};

// Outcomes of the requests, including all their tries, that were first made in one second in one zone.
struct RequestOutcomes {
  std::uint64_t asked = 0, in_aim = 0, served = 0, tries = 0, attempts = 0;
  std::uint64_t refused = 0, failed = 0;  // outcome of the last try
  std::vector<float> latencies;           // s, of the served, from the first try
};

struct Result {
  std::vector<std::vector<RequestOutcomes>> requests;  // [second][zone]
  Counts all;
  std::vector<Counts> tenants;
  std::vector<Counts> seconds;                             // by whole second of arrival, from 0 on
  std::vector<std::uint64_t> sent, done;                   // by server: attempts and answers
  std::vector<std::vector<std::uint32_t>> sent_by_second;  // [server][second]
  std::vector<std::vector<double>> sent_at;                // [server], s: when attempts were sent
  std::uint64_t attempts = 0, dial_failed = 0;
  std::uint64_t repeats_run = 0;                     // unsafe requests that ran twice: must stay 0
  std::uint64_t unanswered = 0, answered_twice = 0;  // must stay 0
  std::uint64_t sent_after_drain = 0;                // must stay 0
  std::size_t fallen_over = 0;  // cold servers that collapsed under overload: must stay 0
};

// Runs the simulation. Throws std::invalid_argument, as the decision module does, for invalid settings.
Result play(const Spec& spec);

}  // namespace nettlestand::fleet
