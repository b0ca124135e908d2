// The events of a run in order of time: faults, node logs, requests and answers; and rules that check them.
// No I/O, no clock.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "standins/checker/checker.h"
#include "standins/common/records.h"
#include "standins/world/script.h"

namespace nettlestand::standins {

// One event.
struct TimelineEntry {
  double at = 0;     // s on the clock of now()
  std::string who;   // a member's name
  std::string kind;  // fault, fault-end, log, told, call, attempt, answer, life
  std::string what;  // a description, or the name of an event
  std::map<std::string, std::string> fields;
};

// All events and records of a run.
struct Timeline {
  double began = 0, ended = 0;  // s
  std::vector<Member> members;
  std::vector<TimelineEntry> entries;  // ordered by time
  Evidence evidence;                   // complete records of the test doubles

  // One entry per line, with times relative to `began`. Without a filter, calls, attempts and answers are
  // left out.
  std::string text(const std::function<bool(const TimelineEntry&)>& filter = {}) const;
  // One JSON object per line.
  std::string json_lines() const;
};

// Adds entries for the records: call, attempt, answer, told, life.
void add_records(Timeline& timeline);
// Adds a node's JSON log. Other lines are kept as they are.
void add_log(Timeline& timeline, const std::string& node, const std::string& log);
void sort(Timeline& timeline);

// A rule that is checked against a timeline.
struct TimelineRule {
  std::string name;
  std::function<std::vector<std::string>(const Timeline&)> violations;  // one description per violation
};

// The checker's four rules over all nodes together: one final answer, no duplicate effects, drains, and cold
// servers, which the sum of all nodes' requests must not overload.
std::vector<TimelineRule> request_rules(const CheckerSettings& settings);

// All violations, one per line; empty if there are none.
std::string describe_violations(const std::vector<TimelineRule>& rules, const Timeline& timeline);

}  // namespace nettlestand::standins
