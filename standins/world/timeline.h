// All that happened in a world, in one order: scripts and faults, what nodes said, sends, answers. And what a
// rule over all of it may find. No I/O, no clock.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "standins/checker/checker.h"
#include "standins/common/records.h"
#include "standins/world/script.h"

namespace nettlestand::standins {

struct TimelineEntry {
  double at = 0;     // s on now()'s clock
  std::string who;   // a machine
  std::string kind;  // fault, fault-end, log, told, call, attempt, answer, life
  std::string what;  // a sentence, or an event's name
  std::map<std::string, std::string> fields;
};

struct Timeline {
  double began = 0, ended = 0;  // s
  std::vector<Member> members;
  std::vector<TimelineEntry> entries;  // in the order of their times
  Evidence evidence;                   // the stand-ins' records, whole

  // One entry a line, with times from `began`; of the calls and attempts those alone that `holds` names.
  std::string text(const std::function<bool(const TimelineEntry&)>& filter = {}) const;
  // A JSON object a line.
  std::string json_lines() const;
};

// Turns records into entries: call, attempt, answer, told, life.
void add_records(Timeline& timeline);
// A node's log in its JSON form. Lines that are no such objects are kept as they are.
void add_log(Timeline& timeline, const std::string& node, const std::string& log);
void sort(Timeline& timeline);

// A rule over the timeline. Directions add theirs.
struct TimelineRule {
  std::string name;
  std::function<std::vector<std::string>(const Timeline&)> violations;  // a sentence each
};

// The four rules over all nodes together: one final answer, effects once, drains, and cold servers by the sum
// of what all nodes send them.
std::vector<TimelineRule> request_rules(const CheckerSettings& settings);

// All that is broken, a line each; empty where nothing is.
std::string describe_violations(const std::vector<TimelineRule>& rules, const Timeline& timeline);

}  // namespace nettlestand::standins
