// quinceusher: the decisions of a load balancer for services that call services.
//
// A Balancer is one copy of the load balancer. It is told what happened (events) and says what to do
// (actions). It has no clock, no I/O, no threads and no globals: the same settings, seed and events always
// give the same actions. All times are seconds on the host's clock, which may start anywhere but never runs
// backwards; all durations are seconds.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace quinceusher {

// ---------------------------------------------------------------- settings

// What may happen when a request is executed more than once.
enum class Effect {
  kSafe,   // harmless
  kKeyed,  // harmless within the scope and time in which servers drop repeats of one key
  kUnsafe  // never allowed
};

// For keyed requests: the servers that drop each other's repeats.
enum class DedupScope { kAll, kZone, kCell };

struct RequestClass {
  double aim = 0;          // an answer within this time earns its full worth
  double aim_stretch = 0;  // the aim grows by this many times the request's announced work
  double give_up = 0;      // the client waits this long in all; the aim never exceeds it
  double late_worth = 0;   // the part of the worth that an answer after the aim still earns
  Effect effect = Effect::kUnsafe;
  DedupScope dedup_scope = DedupScope::kAll;
  double dedup_window = 0;  // repeats are dropped this long after the first send that may have run
};

struct Tenant {
  std::optional<double> allowance;  // requests per second over all copies that are within its share
};

struct Settings {
  int copy_index = 0;  // this copy's number, 0 .. copy_count - 1
  int copy_count = 1;  // how many copies of the load balancer send to this tier
  int tier = 0;        // which tier of servers this copy sends to; 0 is the one that clients reach first
  int zone = 0;        // the zone this copy runs in
  double tick = 0;     // events come at least this far apart
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;  // empty where traffic is not told apart

  double over_share_worth = 1;  // what a request beyond its tenant's allowance is worth, against one within

  int max_attempts = 1;        // attempts allowed for one request
  bool second_copies = false;  // two attempts of one request may be outstanding together
  bool can_cancel = false;     // Cancel may be used
  double max_retry_after = 0;  // the longest advice that clients follow; 0: they get none

  bool must_watch = false;  // membership changes arrive only after WatchMembers
  double ask_within = 0;    // without a watch, membership counts as told after this long

  double start_capacity = 1;  // a starting server has at least this part of its capacity
  double ramp_time = 0;       // and all of it after this long

  double cross_zone_price = 0;  // what a call to another zone costs; 0: zones need no preference
};

// ---------------------------------------------------------------- events

// A client's request, or a caller's call, wants a server.
struct Request {
  std::string id;
  std::size_t tenant = 0;
  std::size_t request_class = 0;
  double time_left = 0;        // until the client gives up
  std::optional<double> work;  // announced work, seconds on a standard core
  bool is_repeat = false;      // the client marked it as a further try of its own
};

enum class Outcome {
  kDelivered,   // answered; the answer is the client's
  kError,       // the server answered with an error
  kRejected,    // turned away unseen: full or draining
  kTimedOut,    // no answer in time
  kDialFailed,  // no connection came about
  kReset,       // the connection broke while the attempt was out
  kCancelled,   // withdrawn by Cancel
  kNotSent,     // never left this copy
  kUnknown      // anything else: it may have run
};

// Which outcomes prove that an attempt never ran. Danger: taking an unknown end for harmless repeats effects.
inline bool never_ran(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kDialFailed || outcome == Outcome::kNotSent;
}

// An attempt of an answer that streams has begun to answer; the client owns it from here.
struct AnswerStarted {
  std::string id;
  int attempt = 0;
  double elapsed = 0;
};

// A whole answer is not there yet: told once its head has come, and each time that the attempt's time is up,
// also where nothing has come. Where nothing answers it with an Extend, the host ends the attempt as timed
// out. Unlike AnswerStarted this binds nobody: the client has got nothing of it, and the attempt may still be
// given up. A host that does not tell of it has its attempts judged by their time-outs alone.
struct AnswerProgress {
  std::string id;
  int attempt = 0;
  double arriving = 0;  // s since its head was there; below 0: it is not
  double quiet = 0;     // s since its last byte so far
  double received = 0;  // bytes of its body so far
  double expected = 0;  // bytes of its body in all; 0: not told
};

// An attempt has ended. Each Send gets exactly one.
struct AttemptResult {
  std::string id;
  int attempt = 0;
  Outcome outcome = Outcome::kUnknown;
  double elapsed = 0;         // since it was sent
  bool request_done = false;  // the request needs no further answer
};

// The client left, or its time is up; nothing more is owed.
struct RequestGone {
  std::string id;
};

enum class ServerState { kReady, kDraining, kGone };

struct Server {
  std::string address;
  int zone = 0;
  int cell = 0;
  double weight = 1;   // size in comparison with other servers
  double started = 0;  // when it last started; 0: long ago
  ServerState state = ServerState::kReady;
};

struct MembershipUpdate {
  enum class Form {
    kChanges,  // only what changed
    kFull,     // the complete list: what it lacks is gone
    kFailed    // asking failed or the watch broke; what was known stays
  };
  Form form = Form::kFull;
  std::vector<Server> servers;
};

struct TimerFired {
  std::uint64_t token = 0;
};

// There are other copies than the settings say. Told where somebody knows who lives; nothing else depends on
// it. A count that can't be is ignored.
struct BalancersChanged {
  int index = 0, count = 1;  // this copy's place among them, and how many they are
  double sharers = 1;        // among so many allowances are split: `count`, or more where some may yet live
};

// The copy starts: the first event, so that it can ask for what it needs.
struct Started {};

using Event = std::variant<Started, Request, AnswerStarted, AnswerProgress, AttemptResult, RequestGone,
                           MembershipUpdate, BalancersChanged, TimerFired>;

// ---------------------------------------------------------------- actions

// Starts an attempt. A request's attempts are numbered 0, 1, 2 ... in the order of their Sends.
struct Send {
  std::string id;
  std::string server;
  double timeout = 0;
  // s in which its last byte must be written, or it must never be: servers drop repeats only for so long.
  double within = std::numeric_limits<double>::infinity();
};

// Final answer: turned away; trying again is harmless.
struct Refuse {
  std::string id;
  double retry_after = 0;  // 0: no advice
};

// Final answer: failed; nothing is promised.
struct Fail {
  std::string id;
};

// Stops waiting for one attempt.
struct Cancel {
  std::string id;
  int attempt = 0;
};

// An attempt whose answer is arriving may go on for so long from now; then its progress is asked for again.
struct Extend {
  std::string id;
  int attempt = 0;
  double timeout = 0;
};

struct SetTimer {
  double at = 0;
  std::uint64_t token = 0;
};

// Asks for the membership changes from now on.
struct WatchMembers {};

struct LogLine {
  std::string text;
  std::vector<std::pair<const char*, int>> figures;  // the text's, by name
};

using Action = std::variant<Send, Refuse, Fail, Cancel, Extend, SetTimer, WatchMembers, LogLine>;

// ---------------------------------------------------------------- the balancer

// Former names of events.
using CopiesChanged [[deprecated("use BalancersChanged")]] = BalancersChanged;
using AnswerArriving [[deprecated("use AnswerProgress")]] = AnswerProgress;

// What can be observed of one tenant's admission.
struct TenantView {
  double rate_limit = 0;          // learned limit, calls per second
  double suppression_factor = 0;  // 0: all admitted, 1: all denied
  double total = 0;               // calls seen in the window
  double declined = 0;            // of these, denied
};

class Balancer {
 public:
  // Throws std::invalid_argument, naming the field, when the settings cannot be used.
  Balancer(const Settings& settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Appends to `actions` what is to be done about `event`, in order.
  void handle(double now, const Event& event, std::vector<Action>& actions);

  // For metrics; changes nothing. A tenant out of range is answered as untold traffic.
  TenantView tenant(double now, std::size_t tenant) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// The part of calls to deny, 0 to 1, for a limit and the two rates of the sliding window.
double suppression_factor(double rate_limit, double window_rate, double last_second_rate);

// The positions, out of `servers` in a fixed order, that copy `copy_index` of `copy_count` uses.
std::vector<std::size_t> subset_of(std::size_t copy_index, std::size_t copy_count, std::size_t servers,
                                   std::size_t size);

}  // namespace quinceusher
