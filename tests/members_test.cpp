// The server table: slots, rings and the set of healthy servers over many list changes.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "../src/server_table.h"

namespace quinceusher {
namespace {

Server named(int n, ServerState state = ServerState::kReady) {
  Server s;
  s.address = "s" + std::to_string(n);
  s.state = state;
  return s;
}

// Servers are replaced by others under new names all day; the table must not grow.
TEST(Members, SlotsOfServersThatAreGoneAreUsedAgain) {
  ServerTable table(0);
  Random random(1);
  for (int i = 0; i < 1000; ++i) {
    table.apply(named(i), i, random);
    if (i >= 3) table.apply(named(i - 3, ServerState::kGone), i, random);
    table.commit();
  }
  EXPECT_LE(table.size(), 5U);
  for (int i = 1000; i < 2000; ++i) {  // the same with whole lists
    table.begin_full_list();
    table.apply(named(i), i, random);
    table.end_full_list();
    table.commit();
  }
  EXPECT_LE(table.size(), 5U);
}

// An attempt that ends late would be counted for a server that has nothing to do with it.
TEST(Members, ASlotWithCallsInFlightIsKept) {
  ServerTable table(0);
  Random random(1);
  table.apply(named(0), 0, random);
  table[0].outstanding = 1;
  table.apply(named(0, ServerState::kGone), 1, random);
  table.commit();
  table.apply(named(1), 2, random);
  EXPECT_EQ(table[0].info.address, "s0");
  EXPECT_EQ(table[1].info.address, "s1");
  table[0].outstanding = 0;
  table.commit();
  table.apply(named(2), 3, random);
  EXPECT_EQ(table[0].info.address, "s2");
  EXPECT_EQ(table.size(), 2U);
}

Server placed(int n, int zone, double weight, ServerState state = ServerState::kReady) {
  Server s = named(n, state);
  s.zone = zone;
  s.weight = weight;
  return s;
}

std::vector<std::size_t> slots_of(const Ring& ring) {
  std::vector<std::size_t> out;
  for (std::size_t i = 0; i < ring.size(); ++i) out.push_back(ring.at(i));
  return out;
}

// Random changes, some as full lists, some naming a server twice, compared with a plain model.
TEST(Members, RingsFollowEveryChange) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ServerTable table(0);
    Random random(seed), draw(seed + 100);
    std::map<int, Server> want;
    for (int round = 0; round < 200; ++round) {
      const bool full = draw.below(5) == 0;
      if (full) {
        table.begin_full_list();
        want.clear();
      }
      const std::size_t changes = draw.below(full ? 60 : 4);
      for (std::size_t i = 0; i < changes; ++i) {
        const int n = static_cast<int>(draw.below(80));
        Server server = placed(n, static_cast<int>(draw.below(2)), 1 + static_cast<double>(draw.below(3)),
                               static_cast<ServerState>(draw.below(3)));
        server.started = static_cast<double>(draw.below(2));
        table.apply(server, round, random);
        want[n] = server;
      }
      if (full) table.end_full_list();
      table.commit();
      std::vector<std::pair<std::uint64_t, std::string>> all, near, far;
      double weight = 0;
      for (const auto& [n, server] : want) {
        if (server.state != ServerState::kReady) continue;
        all.emplace_back(hash_of(server.address), server.address);
        (server.zone == 0 ? near : far).push_back(all.back());
        weight += server.weight;
      }
      const auto expect = [&](auto wanted, const Ring& ring) {
        std::sort(wanted.begin(), wanted.end());
        const auto slots = slots_of(ring);
        ASSERT_EQ(slots.size(), wanted.size()) << seed << " " << round;
        for (std::size_t i = 0; i < slots.size(); ++i) {
          EXPECT_EQ(table[slots[i]].info.address, wanted[i].second);
        }
      };
      expect(all, table.ready_ring());
      expect(near, table.own_ring());
      expect(far, table.remote_ring());
      EXPECT_NEAR(table.ready_weight(), weight, 1e-9);
      EXPECT_EQ(table.healthy().size(), all.size()) << "none is ejected here";
    }
  }
}

TEST(Members, ThoseLeftOutAreNotAmongTheWell) {
  ServerTable table(0);
  Random random(1);
  for (int i = 0; i < 50; ++i) table.apply(named(i), 0, random);
  table.commit();
  for (std::size_t slot = 0; slot < 50; slot += 2) {
    table[slot].health.ejected = true;
    table.update_health(slot);
  }
  EXPECT_EQ(table.healthy().size(), 25U);
  for (const std::size_t slot : table.healthy()) EXPECT_EQ(slot % 2, 1U);
  table[4].health.ejected = false;
  table.update_health(4);
  EXPECT_EQ(table.healthy().size(), 26U);
  EXPECT_EQ(table.ready_ring().size(), 50U);
}

}  // namespace
}  // namespace quinceusher
