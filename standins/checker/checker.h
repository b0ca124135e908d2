// The four rules, held against what callers, servers and discovery saw. No I/O, no clock.
#pragma once

#include <string>
#include <vector>

#include "standins/common/records.h"

namespace nettlestand::standins {

enum class Rule {
  kLostRequest,          // no request is lost
  kDuplicateEffect,      // no effect happens twice
  kDrainIgnored,         // drains are kept
  kColdServerOverloaded  // a cold server is not pushed over
};

const char* name_of(Rule rule);

struct Violation {
  Rule rule = Rule::kLostRequest;
  std::string subject;  // the request's id, or the server
  std::string what;     // with times in s before and after the request was sent
};

// What may happen when a class's requests run more than once.
struct CheckedClass {
  std::string name;
  enum class Effect { kSafe, kKeyed, kUnsafe } effect = Effect::kSafe;
  enum class Group { kAll, kZone, kCell } group = Group::kAll;  // of servers that drop each other's repeats
  double window = 0;                                            // s, for which they remember a key
};

struct CheckedServer {
  std::string name;
  std::string zone;
  int cell = 0;
};

struct CheckerSettings {
  std::vector<CheckedClass> classes;
  std::vector<CheckedServer> servers;  // those that keyed requests go to; an unnamed one is a group by itself
  double socket_slack = 0.05;          // s that each time limit is longer on sockets
  double late_slack = 0;               // s more for answers, on a busy machine
  double answer_race_slack = 0.05;     // s in which a send may cross the final answer
  double order_slack = 0.03;           // s in which the order of two records says nothing
  double grace = 1;                    // s in which servers that drain may still be sent to
  double drain_slack = 0;              // s more
  double window_slack = 0;             // s more for repeats of a key
  double notification_limit = 0;    // s after which a change counts as told, come or not; 0: only once told
  bool cut_is_failure = false;      // an answer that a caller can tell is not whole has failed, not been lost
  double termination_limit = 0.7;   // s after SIGTERM; what SIGKILL finds later is not forgiven
  bool forgive_killed = true;       // what a node held when it was killed
  bool forgive_terminated = false;  // what it had not answered when it ended after SIGTERM
};

struct Evidence {
  std::vector<CallRecord> calls;
  std::vector<AttemptRecord> attempts;
  std::vector<ListChangeRecord> list_changes;
  std::vector<OverloadRecord> overloads;
  std::vector<ProcessLifetime> lifetimes;  // of nodes that were ended
};

class Checker {
 public:
  // Throws std::invalid_argument where two classes have one name.
  explicit Checker(CheckerSettings settings);

  // All that breaks a rule, in the order of the rules. Throws std::invalid_argument for a call of a class
  // that the settings lack.
  std::vector<Violation> check(const Evidence& evidence) const;

 private:
  CheckerSettings settings_;
};

// One violation a line.
std::string to_text(const std::vector<Violation>& violations);

}  // namespace nettlestand::standins
