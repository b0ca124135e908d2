// The minimum-cost flow against all possible flows.
#include "zones/min_cost_flow.h"

#include <gtest/gtest.h>

#include <random>
#include <utility>
#include <vector>

namespace nettlestand::zones {
namespace {

// Two sources, two sinks and four edges between them, compared with an exhaustive search.
TEST(Flow, SendsTheMostAtTheLeastCost) {
  std::mt19937_64 random(1);
  for (int round = 0; round < 3000; ++round) {
    const auto draw = [&](int below) {
      return static_cast<std::int64_t>(random() % static_cast<unsigned>(below));
    };
    const std::int64_t supply[2] = {draw(5), draw(5)}, room[2] = {draw(5), draw(5)};
    std::int64_t cost[2][2], most[2][2];
    for (auto& row : cost) {
      for (auto& c : row) c = draw(6);
    }
    for (auto& row : most) {
      for (auto& m : row) m = draw(5);
    }
    MinCostFlow flow(6);
    std::vector<std::size_t> ways;
    for (std::size_t a = 0; a < 2; ++a) {
      flow.add_edge(4, a, supply[a], 0);
      flow.add_edge(2 + a, 5, room[a], 0);
      for (std::size_t b = 0; b < 2; ++b) ways.push_back(flow.add_edge(a, 2 + b, most[a][b], cost[a][b]));
    }
    flow.solve(4, 5);
    std::int64_t best = 0, cheapest = 0;
    for (std::int64_t w = 0; w <= most[0][0]; ++w) {
      for (std::int64_t x = 0; x <= most[0][1]; ++x) {
        for (std::int64_t y = 0; y <= most[1][0]; ++y) {
          for (std::int64_t z = 0; z <= most[1][1]; ++z) {
            if (w + x > supply[0] || y + z > supply[1] || w + y > room[0] || x + z > room[1]) continue;
            const std::int64_t sent = w + x + y + z;
            const std::int64_t costs = w * cost[0][0] + x * cost[0][1] + y * cost[1][0] + z * cost[1][1];
            if (std::pair(-sent, costs) < std::pair(-best, cheapest))
              std::tie(best, cheapest) = std::pair(sent, costs);
          }
        }
      }
    }
    std::int64_t sent = 0, costs = 0;
    for (std::size_t i = 0; i < 4; ++i) {
      const std::int64_t over = flow.flow_on(ways[i]);
      ASSERT_GE(over, 0);
      ASSERT_LE(over, most[i / 2][i % 2]);
      sent += over;
      costs += over * cost[i / 2][i % 2];
    }
    ASSERT_EQ(sent, best) << round;
    ASSERT_EQ(costs, cheapest) << round;
  }
}

TEST(Flow, TakesBackWhatStandsInTheWay) {
  // The first unit's cheap path would block the second unit's only path.
  MinCostFlow flow(6);
  flow.add_edge(4, 0, 1, 0);
  flow.add_edge(4, 1, 1, 0);
  const std::size_t near = flow.add_edge(0, 2, 1, 0), far = flow.add_edge(0, 3, 1, 9),
                    only = flow.add_edge(1, 2, 1, 1);
  flow.add_edge(2, 5, 1, 0);
  flow.add_edge(3, 5, 1, 0);
  flow.solve(4, 5);
  EXPECT_EQ(flow.flow_on(near), 0);
  EXPECT_EQ(flow.flow_on(far), 1);
  EXPECT_EQ(flow.flow_on(only), 1);
}

}  // namespace
}  // namespace nettlestand::zones
