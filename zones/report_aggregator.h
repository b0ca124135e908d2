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

#include "zones/planner.h"

namespace nettlestand::zones {

// How one node sees the servers of one zone.
struct ZoneView {
  double weight =
      0;  // of those that it is told of, may use and has not left out, starting ones by their ramp
  double success_ratio = 1;   // of its calls there, the part that was answered; 1 where it has made none
  double latency_factor = 1;  // answer times there as a multiple of the usual ones; at least 1
};

struct NodeReport {
  std::string node, zone;
  std::vector<Load> demand;               // by class: what it was asked for, admitted or not
  std::map<std::string, ZoneView> views;  // by zone; a zone that it can't say anything of is left out
};

struct ReportAggregatorSettings {
  std::vector<Affinity> classes;
  struct ZoneName {
    std::string zone, region;
  };
  std::vector<ZoneName> zones;
  std::vector<std::vector<double>> distance;  // [from][to], ms
  Load load_per_weight = 0;          // thousandths of a call a second that a server of weight 1 bears
  double report_ttl = 3;             // s for which a report counts
  double partition_threshold = 0.1;  // of the calls on a way: where less gets through it is cut
};

class ReportAggregator {
 public:
  // Throws std::invalid_argument for settings that can't be used.
  explicit ReportAggregator(ReportAggregatorSettings settings);

  // Takes the place of the node's last one. False for one that can't be so, which changes nothing.
  bool add_report(const NodeReport& report, double now);

  // By hand: what of a zone's capacity may be used goes down to nothing within `over` s, or is free again at
  // once (how fast it counts again is the planner's). False for a zone that there is not.
  bool drain(const std::string& zone, double duration, double now);
  bool undrain(const std::string& zone);

  // Forgets what is not fresh any more. Zones are in the order of the settings.
  PlanInput plan_input(double now);

  // Nodes that are heard of, by zone.
  std::vector<std::size_t> reporting_nodes(double now) const;

 private:
  struct Received {
    NodeReport report;
    std::size_t zone = 0;
    double at = 0;
  };
  struct Drain {
    double started_at = 0, duration = 0;
  };
  std::size_t zone_index(const std::string& zone) const;
  double effective_weight(const ZoneView& view) const {
    return view.weight * view.success_ratio / view.latency_factor;
  }

  ReportAggregatorSettings settings_;
  std::map<std::string, Received> reports_;  // by node
  std::map<std::string, Drain> drains_;
};

}  // namespace nettlestand::zones
