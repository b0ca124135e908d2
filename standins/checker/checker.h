// Checks the four rules against the records of clients, servers and discovery. No I/O, no clock.
#pragma once

#include <string>
#include <vector>

#include "standins/common/records.h"

namespace nettlestand::standins {

// The rules that the checker knows.
enum class Rule {
  kLostRequest,          // no request is lost
  kDuplicateEffect,      // no effect happens twice
  kDrainIgnored,         // drains are kept
  kColdServerOverloaded  // a cold server is not pushed over
};

const char* name_of(Rule rule);

// A violated rule.
struct Violation {
  Rule rule = Rule::kLostRequest;
  std::string subject;  // the request's id, or the server
  std::string what;     // description, with times in s relative to the sending of the request
};

// What repeated execution means for a request class.
struct CheckedClass {
  std::string name;
  enum class Effect { kSafe, kKeyed, kUnsafe } effect = Effect::kSafe;
  enum class Group { kAll, kZone, kCell } group = Group::kAll;  // servers that deduplicate together
  double window = 0;                                            // s for which servers remember a key
};

// The deduplication group to which a server belongs.
struct CheckedServer {
  std::string name;
  std::string zone;
  int cell = 0;
};

// Classes, servers and tolerances of a check.
struct CheckerSettings {
  std::vector<CheckedClass> classes;
  // Servers of keyed requests; one that is not listed is a group of its own.
  std::vector<CheckedServer> servers;
  double socket_slack = 0.05;       // s added to each time limit for socket delays
  double late_slack = 0;            // additional s for answers on a busy machine
  double answer_race_slack = 0.05;  // s in which a request to a server may cross the final answer
  double order_slack = 0.03;        // s within which the order of two records is undefined
  double grace = 1;                 // s in which draining servers may still receive requests
  double drain_slack = 0;           // additional s for drains
  double window_slack = 0;          // additional s for repeats of a key
  // s after which a list change counts as delivered even if it was not; 0: only actual delivery counts.
  double notification_limit = 0;
  // A truncated answer that the client can recognize counts as failed, not as lost.
  bool cut_is_failure = false;
  double termination_limit = 0.7;   // s after SIGTERM; a SIGKILL after that excuses nothing
  bool forgive_killed = true;       // excuses requests that a node held when it was killed
  bool forgive_terminated = false;  // excuses requests unanswered at the exit after SIGTERM
};

// The records of one run.
struct Evidence {
  std::vector<CallRecord> calls;
  std::vector<AttemptRecord> attempts;
  std::vector<ListChangeRecord> list_changes;
  std::vector<OverloadRecord> overloads;
  std::vector<ProcessLifetime> lifetimes;  // of nodes that were ended
};

// Finds all violations in the records of a run.
class Checker {
 public:
  // Throws std::invalid_argument if two classes have the same name.
  explicit Checker(CheckerSettings settings);

  // All violations, ordered by rule. Throws std::invalid_argument for a call whose class the settings lack.
  std::vector<Violation> check(const Evidence& evidence) const;

 private:
  CheckerSettings settings_;
};

// One violation per line.
std::string to_text(const std::vector<Violation>& violations);

}  // namespace nettlestand::standins
