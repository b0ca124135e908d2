// Aggregates the nodes' reports into the planner's input: the capacity and demand of each zone. No I/O, no
// clock.
//   - A zone's own nodes know its servers' capacity best: it is the median of what they see. If none of them
//     is heard any more, the median of the other zones' views is used, one view for each zone: a zone that
//     looks bad only from one other zone is not taken as bad.
//   - If one zone's nodes can't reach a zone while others can, the path between the two is cut; the zone is
//     not lost.
//   - Demand is the sum over the reporting nodes, by zone. A node that is not heard any more has no demand.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "zones/planner.h"

namespace nettlestand::zones {

// How one node sees the servers of one zone.
struct ZoneView {
  // Total weight of the servers that discovery lists, that may be used and that are not ejected; starting
  // servers count by their ramp.
  double weight = 0;
  double success_ratio = 1;   // answered part of its calls there; 1 if it has made none
  double latency_factor = 1;  // response times there as a multiple of the usual ones; at least 1
};

// What one node reports periodically.
struct NodeReport {
  std::string node, zone;
  std::vector<Load> demand;               // by class: requests, admitted or not
  std::map<std::string, ZoneView> views;  // by zone; a zone of which the node knows nothing is missing
};

struct ReportAggregatorSettings {
  std::vector<Affinity> classes;
  struct ZoneName {
    std::string zone, region;
  };
  std::vector<ZoneName> zones;
  std::vector<std::vector<double>> distance;  // [from][to], ms
  // Thousandths of a call a second that a server of weight 1 can take.
  Load load_per_weight = 0;
  double report_ttl = 3;  // s for which a report counts
  // A path on which this fraction of the calls or less succeeds counts as cut.
  double partition_threshold = 0.1;
};

// Keeps the last report of each node and the zones that operators drain.
class ReportAggregator {
 public:
  // Throws std::invalid_argument for unusable settings.
  explicit ReportAggregator(ReportAggregatorSettings settings);

  // Replaces the node's last report. Returns false for an invalid report, which changes nothing.
  bool add_report(const NodeReport& report, double now);

  // Operator commands: drain() reduces the usable part of a zone's capacity to nothing within `duration` s,
  // undrain() makes it usable at once (the planner decides how fast it counts again). They return false for
  // an unknown zone; undrain() also for one that is not drained.
  bool drain(const std::string& zone, double duration, double now);
  bool undrain(const std::string& zone);

  // Drops expired reports. The zones are in the order of the settings.
  PlanInput plan_input(double now);

  // The number of nodes with a current report, by zone.
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
