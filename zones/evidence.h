// What the zones can take and are asked for, out of what the nodes report: the facts that a plan is made of.
// No I/O, no clock.
//   - A zone's own nodes know best what its servers bear: the median of what they see. Where none of them is
//   heard
//     any more the other zones' views stand in, one a zone, and again the median: a zone that only looks bad
//     from one other is not bad.
//   - What one zone's nodes can't reach, while others do, is a way that is cut and no zone that is lost.
//   - Demand is the sum of what each node is asked for, by zone. A node that is not heard any more asks for
//   nothing.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "zones/plan.h"

namespace nettlestand::zones {

// How one node sees the servers of one zone.
struct View {
  double weight =
      0;            // of those that it is told of, may use and has not left out, starting ones by their ramp
  double well = 1;  // of its calls there, the part that was answered; 1 where it has made none
  double slow = 1;  // answer times there as a multiple of the usual ones; at least 1
};

struct Report {
  std::string node, zone;
  std::vector<Load> demand;           // by class: what it was asked for, admitted or not
  std::map<std::string, View> views;  // by zone; a zone that it can't say anything of is left out
};

struct EvidenceSettings {
  std::vector<Hold> classes;
  struct Place {
    std::string zone, region;
  };
  std::vector<Place> zones;
  std::vector<std::vector<double>> distance;  // [from][to], ms
  Load per_weight = 0;  // thousandths of a call a second that a server of weight 1 bears
  double fresh = 3;     // s for which a report counts
  double cut = 0.1;     // of the calls on a way: where less gets through it is cut
};

class Evidence {
 public:
  // Throws std::invalid_argument for settings that can't be used.
  explicit Evidence(EvidenceSettings settings);

  // Takes the place of the node's last one. False for one that can't be so, which changes nothing.
  bool report(const Report& report, double now);

  // By hand: what of a zone's capacity may be used goes down to nothing within `over` s, or is free again at
  // once (how fast it counts again is the planner's). False for a zone that there is not.
  bool drain(const std::string& zone, double over, double now);
  bool undrain(const std::string& zone);

  // Forgets what is not fresh any more. Zones are in the order of the settings.
  Facts facts(double now);

  // Nodes that are heard of, by zone.
  std::vector<std::size_t> heard(double now) const;

 private:
  struct Told {
    Report report;
    std::size_t zone = 0;
    double at = 0;
  };
  struct Drain {
    double from = 0, over = 0;
  };
  std::size_t place(const std::string& zone) const;
  double bears(const View& view) const { return view.weight * view.well / view.slow; }

  EvidenceSettings s_;
  std::map<std::string, Told> told_;  // by node
  std::map<std::string, Drain> drains_;
};

}  // namespace nettlestand::zones
