// Aggregation of the nodes' reports: exhaustive over the zones' views of each other, and the typical cases.
#include "zones/report_aggregator.h"

#include <gtest/gtest.h>

#include <cmath>
#include <stdexcept>

namespace nettlestand::zones {
namespace {

ReportAggregatorSettings settings() {
  ReportAggregatorSettings out;
  out.classes = {Affinity::kNone};
  out.zones = {{"a", "west"}, {"b", "west"}, {"c", "east"}};
  out.distance = {{0, 1, 8}, {1, 0, 7}, {8, 7, 0}};
  out.load_per_weight = 1000;
  return out;
}

NodeReport report(const std::string& node, const std::string& zone, const ZoneView& a, const ZoneView& b,
                  const ZoneView& c) {
  return {node, zone, {10'000}, {{"a", a}, {"b", b}, {"c", c}}};
}

const ZoneView kHealthy{100, 1, 1}, kSlow{100, 1, 4}, kFailing{100, 0.5, 1}, kUnreachableView{100, 0, 1},
    kLost{0, 1, 1};

TEST(Evidence, AddsUpDemandAndTakesCapacityFromTheZonesOwnNodes) {
  ReportAggregator e(settings());
  EXPECT_TRUE(e.add_report(report("n0", "a", kHealthy, kSlow, kHealthy), 0));
  EXPECT_TRUE(e.add_report(report("n1", "a", kHealthy, kSlow, kHealthy), 0));
  EXPECT_TRUE(e.add_report(report("n2", "b", kFailing, kHealthy, kHealthy), 0));
  EXPECT_TRUE(e.add_report(report("n3", "c", kHealthy, kHealthy, kSlow), 0));
  const PlanInput f = e.plan_input(1);
  EXPECT_EQ(f.now, 1);
  EXPECT_EQ(f.zones[0].demand[0], 20'000);
  EXPECT_EQ(f.zones[1].demand[0], 10'000);
  EXPECT_EQ(f.zones[0].capacity, 100'000);
  EXPECT_EQ(f.zones[1].capacity, 100'000) << "slow only for other zones";
  EXPECT_EQ(f.zones[2].capacity, 25'000) << "its own nodes find it slow";
  EXPECT_EQ(f.distance, settings().distance);
  EXPECT_EQ(e.reporting_nodes(1), (std::vector<std::size_t>{2, 1, 1}));
}

// Each zone's view of each zone, out of five: no view from another zone changes a zone's capacity while its
// own nodes are heard, and a single view never does while two others agree.
TEST(Evidence, OneZonesViewOfAnotherDecidesNothing) {
  const std::vector<ZoneView> views = {kHealthy, kSlow, kFailing, kUnreachableView, kLost};
  const auto capacity_of = [](const ZoneView& v) {
    return static_cast<Load>(1000 * v.weight * v.success_ratio / v.latency_factor);
  };
  for (std::size_t own = 0; own < 5; ++own) {
    for (std::size_t from_b = 0; from_b < 5; ++from_b) {
      for (std::size_t from_c = 0; from_c < 5; ++from_c) {
        ReportAggregator e(settings());
        e.add_report(report("n0", "a", views[own], kHealthy, kHealthy), 0);
        e.add_report(report("n1", "b", views[from_b], kHealthy, kHealthy), 0);
        e.add_report(report("n2", "c", views[from_c], kHealthy, kHealthy), 0);
        const PlanInput f = e.plan_input(0);
        ASSERT_EQ(f.zones[0].capacity, capacity_of(views[own]));
        ASSERT_EQ(f.zones[1].capacity, 100'000);
        // A path counts as cut only for the zone for which nothing gets through.
        ASSERT_EQ(std::isfinite(f.distance[1][0]), !(from_b == 3 && f.zones[0].capacity > 0));
        ASSERT_EQ(std::isfinite(f.distance[2][0]), !(from_c == 3 && f.zones[0].capacity > 0));
        ASSERT_EQ(f.distance[0][1], 1);
        // Its own nodes fall silent: the worse of two views counts.
        ReportAggregator alone(settings());
        alone.add_report(report("n1", "b", views[from_b], kHealthy, kHealthy), 0);
        alone.add_report(report("n2", "c", views[from_c], kHealthy, kHealthy), 0);
        ASSERT_EQ(alone.plan_input(0).zones[0].capacity,
                  std::min(capacity_of(views[from_b]), capacity_of(views[from_c])));
      }
    }
  }
}

TEST(Evidence, AMinorityOfAZonesNodesDecidesNothing) {
  ReportAggregator e(settings());
  e.add_report(report("n0", "a", kHealthy, kHealthy, kHealthy), 0);
  e.add_report(report("n1", "a", kUnreachableView, kUnreachableView, kUnreachableView),
               0);  // its own link is faulty
  e.add_report(report("n2", "a", kHealthy, kHealthy, kHealthy), 0);
  const PlanInput f = e.plan_input(0);
  EXPECT_EQ(f.zones[0].capacity, 100'000);
  EXPECT_EQ(f.distance[0][1], 1);
}

TEST(Evidence, OtherZonesStandInForNodesThatAreGone) {
  ReportAggregator e(settings());
  e.add_report(report("n0", "a", kHealthy, kHealthy, kHealthy), 0);
  e.add_report(report("n1", "b", kHealthy, kHealthy, kHealthy), 2);
  e.add_report(report("n2", "c", kFailing, kHealthy, kHealthy), 2);
  EXPECT_EQ(e.plan_input(2.9).zones[0].capacity, 100'000);
  const PlanInput f = e.plan_input(3);
  EXPECT_EQ(f.zones[0].demand[0], 0);
  EXPECT_EQ(f.zones[0].capacity, 50'000);
  EXPECT_EQ(e.reporting_nodes(3)[0], 0U);
  EXPECT_EQ(e.plan_input(100).zones[0].capacity, 0) << "no node reports";
}

TEST(Evidence, DrainsByHandStepByStep) {
  ReportAggregator e(settings());
  EXPECT_FALSE(e.drain("x", 1, 0));
  EXPECT_FALSE(e.drain("a", -1, 0));
  EXPECT_FALSE(e.undrain("a"));
  ASSERT_TRUE(e.drain("a", 60, 100));
  EXPECT_EQ(e.plan_input(100).zones[0].available, 1);
  EXPECT_EQ(e.plan_input(130).zones[0].available, 0.5);
  EXPECT_EQ(e.plan_input(160).zones[0].available, 0);
  EXPECT_EQ(e.plan_input(999).zones[0].available, 0);
  EXPECT_TRUE(e.undrain("a"));
  EXPECT_EQ(e.plan_input(999).zones[0].available, 1);
  ASSERT_TRUE(e.drain("b", 0, 1000));
  EXPECT_EQ(e.plan_input(1000).zones[1].available, 0);
}

TEST(Evidence, TurnsAwayWhatCantBe) {
  ReportAggregator e(settings());
  ASSERT_TRUE(e.add_report(report("n0", "a", kHealthy, kHealthy, kHealthy), 0));
  for (const NodeReport& bad :
       {report("n0", "x", kHealthy, kHealthy, kHealthy), report("", "a", kHealthy, kHealthy, kHealthy),
        report("n0", "a", {-1, 1, 1}, kHealthy, kHealthy), report("n0", "a", {1, 2, 1}, kHealthy, kHealthy),
        report("n0", "a", {1, 1, 0.5}, kHealthy, kHealthy),
        report("n0", "a", {std::nan(""), 1, 1}, kHealthy, kHealthy),
        report("n0", "a", {1, 1, INFINITY}, kHealthy, kHealthy), NodeReport{"n0", "a", {1, 2}, {}},
        NodeReport{"n0", "a", {-1}, {}}, NodeReport{"n0", "a", {1}, {{"x", kHealthy}}}}) {
    EXPECT_FALSE(e.add_report(bad, 0));
  }
  EXPECT_EQ(e.plan_input(0).zones[0].capacity, 100'000) << "the earlier report stays";
  for (const auto& spoil : std::vector<void (*)(ReportAggregatorSettings&)>{
           [](ReportAggregatorSettings& s) { s.zones[1].zone = "a"; },
           [](ReportAggregatorSettings& s) { s.distance.pop_back(); },
           [](ReportAggregatorSettings& s) { s.distance[0].pop_back(); },
           [](ReportAggregatorSettings& s) { s.load_per_weight = 0; },
           [](ReportAggregatorSettings& s) { s.report_ttl = 0; },
           [](ReportAggregatorSettings& s) { s.partition_threshold = 1; }}) {
    ReportAggregatorSettings s = settings();
    spoil(s);
    EXPECT_THROW(ReportAggregator{s}, std::invalid_argument);
  }
}

}  // namespace
}  // namespace nettlestand::zones
