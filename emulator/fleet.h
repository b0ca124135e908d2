// A fleet in one process: copies of the decision module, simulated servers and a simulated clock. The same
// specification always plays the same way, so that what real time can't cover (a thousand servers, answers of
// seconds, a hundred copies) can be tested and measured. Holds no sockets, files, threads or clocks.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "quinceusher/balancer.h"

namespace nettlestand::fleet {

// How long a request keeps a core busy, drawn anew for each attempt's server.
enum class WorkDraw { kFixed, kUniform, kExponential };

// What stands between callers and servers.
enum class Policy {
  kModule,     // the decision module
  kLeastBusy,  // one that sees all copies' calls in flight, sends to the least busy server and never refuses
  kBounded     // the same, but refuses where the least busy server holds `bound` calls
};

enum class FaultKind {
  kRefuse,       // connects are refused at once
  kHangConnect,  // connects never come up
  kSilent,       // requests are taken and never answered
  kReset,        // the connection breaks once the request has arrived: it has run
  kError,        // answers an error at once: it may have run
  kSlow,         // works slower by `factor`
  kCrash,        // what it holds breaks off as it begins, connects are refused
  kCut  // nothing passes between it and the copies that are named: kept connections are silent, new ones
        // never come up, answers that are ready come once it is over
};

struct Fault {
  double from = 0, until = 0;        // s
  std::size_t first = 0, count = 1;  // servers
  FaultKind kind = FaultKind::kRefuse;
  double factor = 1;      // of kSlow
  std::size_t every = 1;  // of kRefuse: each so many connects
  int copy = -1;          // for this copy alone; -1: for all
  // In place of first, count and copy, where they are not empty: by place, whether it is hit.
  std::vector<char> servers_hit = {}, copies_hit = {};
};

// What happens to a copy's process.
struct CopyFault {
  enum class Kind {
    kPause,  // it stands, and then meets all that came meanwhile
    kKill  // it dies with all that it holds; its callers notice after a second, and it starts anew at the end
  };
  Kind kind = Kind::kPause;
  double from = 0, until = 0;  // s
  std::size_t copy = 0;
};

// The load from a time on, as a multiple of the specified one.
struct LoadStep {
  double at = 0, factor = 1;
};

struct Tenant {
  double allowance = 0;  // requests per second over all copies
  double offered = 0;    // requests per second over all copies
};

// A change in the list, told to all copies at once.
struct ListChange {
  double at = 0;
  std::size_t first = 0, count = 1;  // servers
  quinceusher::ServerState state = quinceusher::ServerState::kReady;
  bool restarted = false;          // with a new start time: cold
  std::vector<char> servers = {};  // in place of first and count, where it is not empty: by place
};

struct Spec {
  std::size_t servers = 10, copies = 1;
  int cores = 2;       // of a server
  double work = 0.01;  // s on one core, mean
  WorkDraw draw = WorkDraw::kExponential;
  double aim = 0.1, give_up = 0.2;  // s
  quinceusher::Effect effect = quinceusher::Effect::kUnsafe;
  std::vector<Tenant> tenants;
  std::vector<LoadStep> steps;  // in order; before the first the factor is 1
  std::vector<Fault> faults;
  std::vector<ListChange> changes;
  std::vector<CopyFault> copy_faults;
  double follow_after =
      -1;  // s after a copy's death, and its return, that the others split by who lives; below 0: never
  std::vector<double> speeds;  // of the first servers, 1 where absent
  std::size_t zones = 1;       // copies and servers are dealt out among them in turn
  double between_zones = 0;    // s, one way
  double cross_zone_price = 0;
  double uneven = 0;  // of the copies' traffic: the deviation of its logarithm
  int tries = 1;  // of a client, with the first; it comes again when it is refused, or gets no answer to what
                  // may be repeated
  double retry_pause = 0.2;  // s, in the mean, before it does
  double idle_close = 5;     // s for which connections are kept
  double seconds = 10;       // of arrivals
  double count_from = 1;     // s; requests that arrive earlier are played and not counted
  int tier = 0;
  int max_attempts = 5;
  bool cold = false;                            // all servers start cold at time 0
  double start_capacity = 0.32, ramp_time = 9;  // s
  double tip_multiple = 4, tip_after = 1;       // of present capacity, for s: a cold server falls over
  double connect_timeout = 0.25;                // s
  double refuse_time = 50e-6;                   // s that a refused connect takes
  bool keep_times = false;                      // Result::sent_at is filled
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

// What became of requests, with all their tries: of those that were asked first in one second of one zone.
struct Asked {
  std::uint64_t asked = 0, in_aim = 0, served = 0, tries = 0, attempts = 0;
  std::uint64_t refused = 0, failed = 0;  // as the last try ended
  std::vector<float> latencies;           // s, of the served, from the first try
};

struct Result {
  std::vector<std::vector<Asked>> requests;  // [second][zone]
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
  std::size_t fallen_over = 0;                       // cold servers that were pushed over: must stay 0
};

// Throws std::invalid_argument, as the module does, for settings that it can't use.
Result play(const Spec& spec);

}  // namespace nettlestand::fleet
