// The rules over membership timelines, on timelines made by hand: each rule finds what it is for, and nothing
// in what is allowed.
#include "standins/world/membership_rules.h"

#include <gtest/gtest.h>

namespace nettlestand::standins {
namespace {

// Four nodes that hold each other alive from the first second on.
struct Story {
  Story() {
    t.began = 100;
    t.ended = 140;
    for (int i = 0; i < 4; ++i) {
      t.members.push_back({"n" + std::to_string(i), Role::kNode, "a", "r"});
      t.evidence.lifetimes.push_back({"n" + std::to_string(i), 100, 0, 0, false});
    }
    for (int i = 0; i < 4; ++i) {
      for (int j = 0; j < 4; ++j) {
        if (i != j) says(101, i, j, "alive");
      }
    }
  }
  void says(double at, int by, int of, const std::string& state, bool own = false,
            const std::string& life = "1") {
    const std::string name = "n" + std::to_string(of);
    t.entries.push_back(
        {at,
         "n" + std::to_string(by),
         "log",
         "peers.member_" + state,
         {{"member", name}, {"key", "k" + name}, {"life", life}, {"by", own ? "itself" : "n9"}}});
  }
  void fault(double from, double until, const std::string& who, const std::string& what) {
    t.entries.push_back({from, who, "fault", what, {}});
    t.entries.push_back({until, who, "fault-end", what, {}});
  }
  void kill(int who, double at) {
    t.evidence.lifetimes[static_cast<std::size_t>(who)].ended_at = at;
    t.evidence.lifetimes[static_cast<std::size_t>(who)].killed = true;
  }
  std::string broken() {
    sort(t);
    return describe_violations(membership_rules({}), t);
  }
  Timeline t;
};

TEST(MembershipRules, FindNothingInAQuietWorld) { EXPECT_EQ(Story().broken(), ""); }

TEST(MembershipRules, ADeathHasToBeKnownByAllThatAreConnected) {
  Story s;
  s.kill(3, 115);
  s.says(118, 0, 3, "dead", true);
  s.says(118.2, 1, 3, "dead");
  EXPECT_NE(s.broken().find("n2 still holds n3 for alive"), std::string::npos);
  s.says(118.3, 2, 3, "dead");
  EXPECT_EQ(s.broken(), "");
}

TEST(MembershipRules, WhoIsCutOffOrStandsNeedNotKnow) {
  Story s;
  s.kill(3, 115);
  s.says(118, 0, 3, "dead", true);
  s.says(118, 1, 3, "dead");
  s.fault(114, 121, "n2", "pause 7");
  EXPECT_EQ(s.broken(), "");
}

TEST(MembershipRules, NobodyWellMayBeCalledDead) {
  Story s;
  s.says(120, 0, 2, "dead", true);
  s.says(121, 0, 2, "alive", false, "2");
  EXPECT_NE(s.broken().find("n0 called n2 dead"), std::string::npos);
}

TEST(MembershipRules, WhoStoodOrWasReachedByNobodyMay) {
  Story s;
  s.fault(112, 119.5, "n2", "pause 7");
  s.says(120, 0, 2, "dead", true);
  s.says(121, 0, 2, "alive", false, "2");
  for (const int i : {0, 1, 3}) {
    s.fault(125, 131.5, "n" + std::to_string(i) + " -> n1", "cut");
    s.fault(125, 131.5, "n1 -> n" + std::to_string(i), "cut");
  }
  s.fault(125, 131.5, "n2 -> n1", "cut");
  s.says(130, 3, 1, "dead", true);
  s.says(131, 3, 1, "alive", false, "2");
  EXPECT_EQ(s.broken(), "");
}

TEST(MembershipRules, ViewsHaveToBeEqualAtTheEnd) {
  Story s;
  s.says(110, 1, 3, "dead");
  EXPECT_NE(s.broken().find("at the end n1 holds n3 for dead"), std::string::npos);
  s.says(112, 1, 3, "alive", false, "2");
  EXPECT_EQ(s.broken(), "");
}

TEST(MembershipRules, ALifeThatHasEndedMayNotComeBackWithinOneProcessLife) {
  Story s;
  s.says(110, 1, 3, "dead");
  s.says(112, 1, 3, "alive");
  EXPECT_NE(s.broken().find("n1 holds life 1 of n3 for alive"), std::string::npos);
  Story anew;
  anew.says(110, 1, 3, "dead");
  anew.kill(1, 115);
  anew.t.evidence.lifetimes.push_back({"n1", 116, 0, 0, false});
  for (const int i : {0, 2, 3}) anew.says(117, 1, i, "alive");
  EXPECT_EQ(anew.broken(), "") << "a new process knows nothing of it";
}

}  // namespace
}  // namespace nettlestand::standins
