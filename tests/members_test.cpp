// Who is there, over a long day.
#include "../src/members.h"

#include <gtest/gtest.h>

namespace quinceusher {
namespace {

Server named(int n, ServerState state = ServerState::kReady) {
  Server s;
  s.address = "s" + std::to_string(n);
  s.state = state;
  return s;
}

// Danger: servers are replaced by others under new names all day.
TEST(Members, SlotsOfServersThatAreGoneAreUsedAgain) {
  Members members;
  Random random(1);
  for (int i = 0; i < 1000; ++i) {
    members.learn(named(i), i, random);
    if (i >= 3) members.learn(named(i - 3, ServerState::kGone), i, random);
    members.forget_gone();
  }
  EXPECT_LE(members.size(), 5U);
  for (int i = 1000; i < 2000; ++i) {  // the same with whole lists
    members.all_gone();
    members.learn(named(i), i, random);
    members.forget_gone();
  }
  EXPECT_LE(members.size(), 5U);
}

// Danger: an attempt that ends late would be booked to a server that has nothing to do with it.
TEST(Members, ASlotWithCallsInFlightIsKept) {
  Members members;
  Random random(1);
  members.learn(named(0), 0, random);
  members[0].in_flight = 1;
  members.learn(named(0, ServerState::kGone), 1, random);
  members.forget_gone();
  members.learn(named(1), 2, random);
  EXPECT_EQ(members[0].told.address, "s0");
  EXPECT_EQ(members[1].told.address, "s1");
  members[0].in_flight = 0;
  members.forget_gone();
  members.learn(named(2), 3, random);
  EXPECT_EQ(members[0].told.address, "s2");
  EXPECT_EQ(members.size(), 2U);
}

}  // namespace
}  // namespace quinceusher
