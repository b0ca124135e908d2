// quinceusher: the decision module of a load balancer for services that call services.
//
// A Balancer is one of the load balancers that send to a tier of servers. Its host reports events and carries
// out the actions that it returns. It has no clock, I/O, threads or globals: the same settings, seed and
// events always give the same actions. All times are seconds on the host's clock, which may start at any
// value but never runs backwards; all durations are seconds.
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

// What happens when a request is executed more than once.
enum class Effect {
  kSafe,   // harmless
  kKeyed,  // harmless while servers drop repeats of a key: see DedupScope and dedup_window
  kUnsafe  // must never happen
};

// For keyed requests: which servers drop each other's repeats.
enum class DedupScope { kAll, kZone, kCell };

// How requests of one kind are treated.
struct RequestClass {
  double aim = 0;          // latency target: an answer within it has its full worth
  double aim_stretch = 0;  // the aim grows by this many times the request's announced work
  double give_up = 0;      // how long the client waits in all; the aim never exceeds it
  double late_worth = 0;   // fraction of the worth that an answer after the aim has
  Effect effect = Effect::kUnsafe;
  DedupScope dedup_scope = DedupScope::kAll;
  double dedup_window = 0;  // repeats are dropped this long after the first send that may have run
};

struct Tenant {
  std::optional<double> allowance;  // requests per second over all balancers that are within its share
};

// `copy_index` and `copy_count` call a balancer a copy: the balancers are copies of one program.
struct Settings {
  int copy_index = 0;  // number of this balancer, 0 .. copy_count - 1
  int copy_count = 1;  // how many balancers send to this tier
  int tier = 0;        // the tier of servers that this balancer sends to; clients reach tier 0 first
  int zone = 0;        // the zone in which this balancer runs
  double tick = 0;     // minimum time between events
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;  // empty: traffic is not told apart

  double over_share_worth = 1;  // worth of a request beyond its tenant's allowance, relative to one within

  int max_attempts = 1;        // per request
  bool second_copies = false;  // two attempts of one request may be in flight together
  bool can_cancel = false;     // Cancel may be used
  double max_retry_after = 0;  // the longest retry advice that clients follow; 0: none is given

  bool must_watch = false;  // membership changes arrive only after WatchMembers
  double ask_within = 0;    // without a watch, membership counts as known after this time

  double start_capacity = 1;  // fraction of its capacity that a server has at its start
  double ramp_time = 0;       // time until it has all of it

  double cross_zone_price = 0;  // price of a call to another zone; 0: no zone is preferred
};

// ---------------------------------------------------------------- events

// A request of a client, or of another service, that needs a server.
struct Request {
  std::string id;
  std::size_t tenant = 0;
  std::size_t request_class = 0;
  double time_left = 0;        // until the client gives up
  std::optional<double> work;  // announced work, seconds on a standard core
  bool is_repeat = false;      // the client marked it as a retry of its own
};

// How an attempt ended.
enum class Outcome {
  kDelivered,   // answered, and the answer passed to the client
  kError,       // the server answered with an error
  kRejected,    // turned away before it ran: the server is full or drains
  kTimedOut,    // no answer in time
  kDialFailed,  // no connection was established
  kReset,       // the connection broke while the attempt was in flight
  kCancelled,   // withdrawn by Cancel
  kNotSent,     // never left this balancer
  kUnknown      // anything else: it may have run
};

// Whether an outcome proves that the attempt never ran. All others may have run: treating one of them as
// harmless would execute effects twice.
inline bool never_ran(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kDialFailed || outcome == Outcome::kNotSent;
}

// A streamed answer has begun; from here on it belongs to the client.
struct AnswerStarted {
  std::string id;
  int attempt = 0;
  double elapsed = 0;
};

// Progress of an incomplete answer: reported when its head has come, and whenever the attempt's time is up,
// also if nothing has come. Unless the actions hold an Extend for it, the host ends the attempt as timed out.
// Unlike with AnswerStarted, the client has received nothing, so the attempt may still be abandoned. A host
// that does not report progress has its attempts judged by their timeouts alone.
struct AnswerProgress {
  std::string id;
  int attempt = 0;
  double arriving = 0;  // s since its head came; below 0: it has not
  double quiet = 0;     // s since its last byte
  double received = 0;  // bytes of its body so far
  double expected = 0;  // bytes of its body in all; 0: unknown
};

// An attempt has ended. Exactly one for each Send.
struct AttemptResult {
  std::string id;
  int attempt = 0;
  Outcome outcome = Outcome::kUnknown;
  double elapsed = 0;         // since it was sent
  bool request_done = false;  // the request needs no further answer
};

// The client left, or its time is up; no answer is needed any more.
struct RequestGone {
  std::string id;
};

enum class ServerState { kReady, kDraining, kGone };

// A server as the membership lists it.
struct Server {
  std::string address;
  int zone = 0;
  int cell = 0;
  double weight = 1;   // size relative to other servers
  double started = 0;  // when it last started; 0: long ago
  ServerState state = ServerState::kReady;
};

// A list of servers, or the failure to get one.
struct MembershipUpdate {
  enum class Form {
    kChanges,  // only what changed
    kFull,     // the complete list: servers that are missing in it are gone
    kFailed    // the request failed or the watch broke; what was known stays
  };
  Form form = Form::kFull;
  std::vector<Server> servers;
};

// A timer that SetTimer requested.
struct TimerFired {
  std::uint64_t token = 0;
};

// The number of balancers differs from the settings. Reported where membership of balancers is tracked;
// nothing else depends on it. Impossible values are ignored.
struct BalancersChanged {
  int index = 0, count = 1;  // this balancer's index and the number of balancers
  double sharers = 1;        // how many split the allowances: `count`, or more where some may still be alive
};

// The balancer starts: the first event, so that it can request what it needs.
struct Started {};

using Event = std::variant<Started, Request, AnswerStarted, AnswerProgress, AttemptResult, RequestGone,
                           MembershipUpdate, BalancersChanged, TimerFired>;

// ---------------------------------------------------------------- actions

// Starts an attempt. A request's attempts are numbered 0, 1, 2 ... in the order of their Sends.
struct Send {
  std::string id;
  std::string server;
  double timeout = 0;
  // s within which its last byte must be written, or it must never be: servers drop repeats only for a time.
  double within = std::numeric_limits<double>::infinity();
};

// Final answer: refused; a retry is harmless.
struct Refuse {
  std::string id;
  double retry_after = 0;  // 0: no advice
};

// Final answer: failed. Nothing is promised: the request may have run.
struct Fail {
  std::string id;
};

// Abandons one attempt.
struct Cancel {
  std::string id;
  int attempt = 0;
};

// An attempt whose answer is arriving may continue for this long from now; then the host reports its progress
// again.
struct Extend {
  std::string id;
  int attempt = 0;
  double timeout = 0;
};

// Asks for a TimerFired with the token at a time.
struct SetTimer {
  double at = 0;
  std::uint64_t token = 0;
};

// Asks for membership changes from now on.
struct WatchMembers {};

// A line for the host's log.
struct LogLine {
  std::string text;
  std::vector<std::pair<const char*, int>> figures;  // the numbers in the text, by name
};

using Action = std::variant<Send, Refuse, Fail, Cancel, Extend, SetTimer, WatchMembers, LogLine>;

// ---------------------------------------------------------------- the balancer

// Former names.
using CopiesChanged [[deprecated("use BalancersChanged")]] = BalancersChanged;
using AnswerArriving [[deprecated("use AnswerProgress")]] = AnswerProgress;

// Metrics of one tenant's admission.
struct TenantView {
  double rate_limit = 0;          // learned limit, calls per second
  double suppression_factor = 0;  // 0: all are admitted, 1: all are denied
  double total = 0;               // calls in the window
  double declined = 0;            // of these, denied
};

// Decides for one load balancer; not thread-safe.
class Balancer {
 public:
  // Throws std::invalid_argument, which names the field, if the settings are unusable.
  Balancer(const Settings& settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Appends the actions that `event` requires to `actions`, in order.
  void handle(double now, const Event& event, std::vector<Action>& actions);

  // For metrics; changes nothing. An index out of range yields the traffic without a known tenant.
  TenantView tenant(double now, std::size_t tenant) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Fraction of calls to deny, 0 to 1, for a limit and the two rates of the sliding window.
double suppression_factor(double rate_limit, double window_rate, double last_second_rate);

// The positions, among `servers` in a fixed order, that balancer `copy_index` of `copy_count` uses.
std::vector<std::size_t> subset_of(std::size_t copy_index, std::size_t copy_count, std::size_t servers,
                                   std::size_t size);

}  // namespace quinceusher
