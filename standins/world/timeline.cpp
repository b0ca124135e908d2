#include "standins/world/timeline.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace nettlestand::standins {
namespace {

std::string fixed(double value, int digits = 4) {
  char out[40];
  std::snprintf(out, sizeof out, "%.*f", digits, value);
  return out;
}

const char* name_of(CallEnd end) {
  switch (end) {
    case CallEnd::kAnswered:
      return "answered";
    case CallEnd::kCut:
      return "cut";
    case CallEnd::kClosed:
      return "closed";
    case CallEnd::kTimedOut:
      return "timed out";
    case CallEnd::kNoConnect:
      return "no connection";
    default:
      return "open";
  }
}

}  // namespace

void add_records(Timeline& t) {
  for (const CallRecord& c : t.evidence.calls) {
    t.entries.push_back({c.first_byte_at > 0 ? c.first_byte_at : c.answered_at,
                         c.node,
                         "call",
                         c.id,
                         {{"class", c.request_class}, {"tenant", c.tenant}}});
    if (c.answered_at > 0) {
      t.entries.push_back({c.answered_at,
                           c.node,
                           "answer",
                           c.id,
                           {{"end", name_of(c.end)}, {"status", std::to_string(c.status)}}});
    }
  }
  for (const AttemptRecord& a : t.evidence.attempts) {
    t.entries.push_back({a.first_byte_at,
                         a.server,
                         "attempt",
                         a.id,
                         {{"ran", a.may_have_run() ? "yes" : "no"},
                          {"status", std::to_string(a.status)},
                          {"took", a.answered_at > 0 ? fixed(a.answered_at - a.first_byte_at) : ""}}});
  }
  for (const ListChangeRecord& change : t.evidence.list_changes) {
    t.entries.push_back({change.delivered_at > 0 ? change.delivered_at : change.changed_at,
                         change.node,
                         "told",
                         change.server + " " + change.state + (change.delivered_at > 0 ? "" : " (not yet)"),
                         {}});
  }
  for (const OverloadRecord& f : t.evidence.overloads) {
    t.entries.push_back({f.at,
                         f.server,
                         "life",
                         "fell over",
                         {{"asked", fixed(f.requested_work)}, {"able", fixed(f.available_work)}}});
  }
  for (const ProcessLifetime& lifetime : t.evidence.lifetimes) {
    if (lifetime.started_at > 0)
      t.entries.push_back({lifetime.started_at, lifetime.node, "life", "started", {}});
    if (lifetime.sigterm_at > 0)
      t.entries.push_back({lifetime.sigterm_at, lifetime.node, "life", "SIGTERM", {}});
    if (lifetime.ended_at > 0) {
      t.entries.push_back(
          {lifetime.ended_at, lifetime.node, "life", lifetime.killed ? "killed" : "ended", {}});
    }
  }
}

void add_log(Timeline& t, const std::string& node, const std::string& log) {
  std::istringstream in(log);
  double last = t.began;
  for (std::string line; std::getline(in, line);) {
    rapidjson::Document d;
    d.Parse(line.c_str(), line.size());
    if (d.HasParseError() || !d.IsObject() || !d.HasMember("mono") || !d["mono"].IsNumber()) {
      t.entries.push_back({last, node, "log", line, {}});
      continue;
    }
    TimelineEntry entry{last = d["mono"].GetDouble(), node, "log", "", {}};
    for (const auto& member : d.GetObject()) {
      const std::string name = member.name.GetString();
      if (name == "mono" || name == "time") continue;
      std::string value;
      if (member.value.IsString()) {
        value = member.value.GetString();
      } else {
        rapidjson::StringBuffer buffer;
        rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
        member.value.Accept(writer);
        value = buffer.GetString();
      }
      entry.fields[name] = value;
    }
    entry.what = entry.fields["component"] + "." + entry.fields["event"];
    t.entries.push_back(std::move(entry));
  }
}

void sort(Timeline& t) {
  std::stable_sort(t.entries.begin(), t.entries.end(),
                   [](const TimelineEntry& a, const TimelineEntry& b) { return a.at < b.at; });
}

std::string Timeline::text(const std::function<bool(const TimelineEntry&)>& filter) const {
  std::string out;
  for (const TimelineEntry& e : entries) {
    const bool traffic = e.kind == "call" || e.kind == "attempt" || e.kind == "answer";
    if (filter ? !filter(e) : traffic) continue;
    out += fixed(e.at - began) + " " + e.who + " " + e.kind + " " + e.what;
    for (const auto& [name, value] : e.fields) out += " " + name + "=" + value;
    out += '\n';
  }
  return out;
}

std::string Timeline::json_lines() const {
  std::string out;
  for (const TimelineEntry& e : entries) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
    w.StartObject();
    w.Key("at");
    w.Double(e.at - began);
    const auto put = [&](const std::string& name, const std::string& value) {
      w.Key(name.c_str());
      w.String(value.c_str(), static_cast<rapidjson::SizeType>(value.size()));
    };
    put("who", e.who);
    put("kind", e.kind);
    put("what", e.what);
    w.Key("fields");
    w.StartObject();
    for (const auto& [name, value] : e.fields) put(name, value);
    w.EndObject();
    w.EndObject();
    out.append(buffer.GetString(), buffer.GetSize()).append("\n");
  }
  return out;
}

std::vector<TimelineRule> request_rules(const CheckerSettings& settings) {
  std::vector<TimelineRule> out;
  for (const Rule rule :
       {Rule::kLostRequest, Rule::kDuplicateEffect, Rule::kDrainIgnored, Rule::kColdServerOverloaded}) {
    out.push_back({standins::name_of(rule), [rule, settings](const Timeline& t) {
                     std::vector<std::string> broken;
                     for (const Violation& v : Checker(settings).check(t.evidence)) {
                       if (v.rule == rule) broken.push_back(v.subject + ": " + v.what);
                     }
                     return broken;
                   }});
  }
  return out;
}

std::string describe_violations(const std::vector<TimelineRule>& rules, const Timeline& timeline) {
  std::string out;
  for (const TimelineRule& rule : rules) {
    for (const std::string& what : rule.violations(timeline)) out += rule.name + ": " + what + "\n";
  }
  return out;
}

}  // namespace nettlestand::standins
