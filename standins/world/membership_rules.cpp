#include "standins/world/membership_rules.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <sstream>

namespace nettlestand::standins {
namespace {

constexpr double kNoEnd = std::numeric_limits<double>::infinity();

// A period in which something was the case.
struct Interval {
  double from = 0, until = kNoEnd;
  bool overlaps(double a, double b) const { return from < b && until > a; }
};

// A node's report of another node's state.
struct StateReport {
  double at = 0;
  std::string by, of, state;
  std::string generation;
  bool first_hand = false;  // detected by the node itself, not learned from others
};

// Process runs, link cuts and reports taken from a timeline.
struct GroundTruth {
  std::vector<std::string> nodes;
  std::map<std::string, std::vector<Interval>> runs, stalls;
  std::map<std::pair<std::string, std::string>, std::vector<Interval>> cuts;
  std::vector<StateReport> reports;
  double began = 0, ended = 0, last_fault = 0;

  bool ran(const std::string& who, double a, double b) const {
    const auto it = runs.find(who);
    return it != runs.end() && std::any_of(it->second.begin(), it->second.end(),
                                           [&](const Interval& i) { return i.from <= a && i.until >= b; });
  }
  bool was_stalled(const std::string& who, double a, double b) const { return overlaps(stalls, who, a, b); }
  bool connected(const std::string& x, const std::string& y, double a, double b) const {
    return !overlaps(cuts, std::pair(x, y), a, b) && !overlaps(cuts, std::pair(y, x), a, b);
  }
  // Ran all the time and was not stalled.
  bool was_healthy(const std::string& who, double a, double b) const {
    return ran(who, a, b) && !was_stalled(who, a, b);
  }

 private:
  template <class Map, class Of>
  static bool overlaps(const Map& map, const Of& of, double a, double b) {
    const auto it = map.find(of);
    return it != map.end() && std::any_of(it->second.begin(), it->second.end(),
                                          [&](const Interval& i) { return i.overlaps(a, b); });
  }
};

GroundTruth ground_truth_of(const Timeline& t) {
  GroundTruth out;
  out.began = t.began;
  out.ended = t.ended;
  for (const Member& m : t.members) {
    if (m.role == Role::kNode) out.nodes.push_back(m.name);
  }
  for (const ProcessLifetime& lifetime : t.evidence.lifetimes) {
    // A process counts as ended from the signal on that ends it.
    double until = lifetime.ended_at > 0 ? lifetime.ended_at : kNoEnd;
    if (lifetime.sigterm_at > 0) until = std::min(until, lifetime.sigterm_at);
    out.runs[lifetime.node].push_back({lifetime.started_at, until});
  }
  // Logs identify a member by its key until its name is known.
  std::map<std::string, std::string> names;
  const auto field = [](const TimelineEntry& e, const char* name) {
    const auto it = e.fields.find(name);
    return it == e.fields.end() ? std::string() : it->second;
  };
  for (const TimelineEntry& e : t.entries) {
    if (e.kind == "log" && field(e, "member") != field(e, "key")) names[field(e, "key")] = field(e, "member");
  }
  for (const TimelineEntry& e : t.entries) {
    if (e.kind == "fault" || e.kind == "fault-end") {
      out.last_fault = std::max(out.last_fault, e.at);
      const bool begins = e.kind == "fault";
      const std::size_t arrow = e.who.find(" -> ");
      if (arrow != std::string::npos && e.what.rfind("cut", 0) == 0) {
        auto& all = out.cuts[{e.who.substr(0, arrow), e.who.substr(arrow + 4)}];
        if (begins) {
          all.push_back({e.at, kNoEnd});
        } else {
          for (Interval& i : all) {
            if (i.until == kNoEnd) {
              i.until = e.at;
              break;
            }
          }
        }
      } else if (e.what.rfind("pause", 0) == 0 || e.what.rfind("starve", 0) == 0) {
        auto& all = out.stalls[e.who];
        if (begins) {
          all.push_back({e.at, kNoEnd});
        } else if (!all.empty()) {
          all.back().until = e.at;
        }
      }
      continue;
    }
    if (e.kind != "log" || e.what.rfind("peers.member_", 0) != 0) continue;
    const auto name = names.find(field(e, "key"));
    out.reports.push_back({e.at, e.who, name == names.end() ? field(e, "member") : name->second,
                           e.what.substr(13), field(e, "life"), field(e, "by") == "itself"});
  }
  return out;
}

std::string at_text(const GroundTruth& t, double at) {
  std::ostringstream out;
  out.precision(2);
  out << std::fixed << at - t.began << " s";
  return out.str();
}

bool is_terminal(const std::string& state) { return state == "dead" || state == "left"; }

std::vector<std::string> check_deaths_are_known(const GroundTruth& t, const MembershipBounds& b) {
  std::vector<std::string> out;
  for (const std::string& who : t.nodes) {
    const auto runs = t.runs.find(who);
    if (runs == t.runs.end()) continue;
    for (const Interval& life : runs->second) {
      const double until = life.until + b.detection;
      if (life.until == kNoEnd || until > t.ended || life.until - life.from < b.startup_grace + b.detection)
        continue;
      const bool again = std::any_of(runs->second.begin(), runs->second.end(), [&](const Interval& i) {
        return i.from >= life.until && i.from < until;
      });
      if (again) continue;
      // Healthy nodes that reach, in both directions and all the time, more than half of the healthy nodes.
      std::vector<std::string> healthy;
      for (const std::string& x : t.nodes) {
        if (x != who && t.was_healthy(x, life.until - b.evidence_window, until)) healthy.push_back(x);
      }
      for (const std::string& x : healthy) {
        const auto reached = std::count_if(healthy.begin(), healthy.end(), [&](const std::string& y) {
          return x == y || t.connected(x, y, life.until - b.evidence_window, until);
        });
        if (healthy.size() < 2 || reached * 2 <= static_cast<std::ptrdiff_t>(healthy.size())) continue;
        std::string last;
        for (const StateReport& w : t.reports) {
          if (w.by == x && w.of == who && w.at <= until && w.state != "described") last = w.state;
        }
        if (!last.empty() && !is_terminal(last)) {
          out.push_back(x + " still holds " + who + " for " + last + " at " + at_text(t, until) +
                        ", and its process had ended at " + at_text(t, life.until));
        }
      }
    }
  }
  return out;
}

std::vector<std::string> check_no_false_deaths(const GroundTruth& t, const MembershipBounds& b) {
  std::vector<std::string> out;
  for (const StateReport& w : t.reports) {
    const double from = w.at - b.evidence_window;
    if (w.state != "dead" || !w.first_hand || from < t.began + b.startup_grace) continue;
    if (!t.was_healthy(w.of, from, w.at) || !t.was_healthy(w.by, from, w.at)) continue;
    // At least a quarter of the other nodes reach it in both directions, and the reporting node reaches one
    // of these.
    std::size_t healthy = 0, reach = 0;
    bool heard = false;
    for (const std::string& x : t.nodes) {
      if (x == w.of || !t.was_healthy(x, from, w.at)) continue;
      ++healthy;
      if (!t.connected(x, w.of, from, w.at)) continue;
      ++reach;
      heard = heard || x == w.by || t.connected(x, w.by, from, w.at);
    }
    if (heard && reach * 4 >= healthy && reach >= 2) {
      out.push_back(w.by + " called " + w.of + " dead at " + at_text(t, w.at) +
                    ", which ran and was reached by " + std::to_string(reach) + " of " +
                    std::to_string(healthy));
    }
  }
  return out;
}

std::vector<std::string> check_views_agree(const GroundTruth& t, const MembershipBounds& b) {
  std::vector<std::string> out;
  if (t.ended - t.last_fault < b.convergence) return out;
  const double at = t.ended - 0.3;
  for (const std::string& x : t.nodes) {
    if (!t.was_healthy(x, at - b.convergence, at)) continue;
    std::map<std::string, std::string> view;
    for (const StateReport& w : t.reports) {
      if (w.by == x && w.at <= at && w.state != "described") view[w.of] = w.state;
    }
    for (const std::string& y : t.nodes) {
      if (x == y || !t.was_healthy(y, at - b.convergence, at)) continue;
      const auto it = view.find(y);
      if (it == view.end() || it->second != "alive") {
        out.push_back("at the end " + x + " holds " + y + " for " +
                      (it == view.end() ? "unknown" : it->second));
      }
    }
  }
  return out;
}

std::vector<std::string> check_no_resurrection(const GroundTruth& t) {
  std::vector<std::string> out;
  std::map<std::pair<std::string, std::string>, std::set<std::string>>
      ended;  // ended generations by reporting node and subject
  std::map<std::string, double> started;
  for (const StateReport& w : t.reports) {
    // A restarted reporting process starts without knowledge.
    const auto runs = t.runs.find(w.by);
    double life = 0;
    if (runs != t.runs.end()) {
      for (const Interval& i : runs->second) {
        if (i.from <= w.at) life = std::max(life, i.from);
      }
    }
    if (started[w.by] != life) {
      started[w.by] = life;
      for (auto& [of, lives] : ended) {
        if (of.first == w.by) lives.clear();
      }
    }
    auto& over = ended[{w.by, w.of}];
    if (is_terminal(w.state)) {
      over.insert(w.generation);
    } else if (w.state != "described" && over.contains(w.generation)) {
      out.push_back(w.by + " holds life " + w.generation + " of " + w.of + " for " + w.state + " at " +
                    at_text(t, w.at) + ", which it had called ended");
    }
  }
  return out;
}

}  // namespace

std::vector<TimelineRule> membership_rules(const MembershipBounds& bounds) {
  return {{"a death is known to all that are connected",
           [bounds](const Timeline& t) { return check_deaths_are_known(ground_truth_of(t), bounds); }},
          {"nobody is called dead that a quarter reaches",
           [bounds](const Timeline& t) { return check_no_false_deaths(ground_truth_of(t), bounds); }},
          {"views are equal at the end",
           [bounds](const Timeline& t) { return check_views_agree(ground_truth_of(t), bounds); }},
          {"no life comes back from the dead",
           [](const Timeline& t) { return check_no_resurrection(ground_truth_of(t)); }}};
}

}  // namespace nettlestand::standins
