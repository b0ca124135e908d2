// Voters and nodes in simulated time, under faults: single cases by hand, and many seeded histories.
#include "cluster.h"

#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>
#include <random>
#include <thread>

namespace nettlestand::duties::testing {
namespace {

using emulator::ActorId;

std::vector<Duty> duties(std::size_t count, double length = 1) {
  std::vector<Duty> out;
  for (std::size_t i = 0; i < count; ++i) out.push_back({"d" + std::to_string(i), length, {}, {}, {}});
  return out;
}

ClusterSettings usual(std::size_t voters = 3, std::size_t nodes = 4, std::size_t count = 2) {
  ClusterSettings out;
  out.voters = voters;
  out.nodes = nodes;
  out.duties = duties(count);
  return out;
}

bool until(Cluster& c, const std::function<bool()>& holds, double patience) {
  for (const double end = c.sim.now() + patience; c.sim.now() < end;) {
    if (holds()) return true;
    c.run(0.02);
  }
  return holds();
}

TEST(DutiesCluster, EachDutyIsHeldByOneAndItsEffectsTakePlace) {
  Cluster c(usual(5, 6, 3), 1);
  ASSERT_TRUE(c.start());
  ASSERT_TRUE(until(
      c, [&] { return c.all_held(); }, 5));
  c.run(5);
  EXPECT_EQ(c.broken, "");
  EXPECT_GT(c.effects, 50U);
  EXPECT_EQ(c.turned_away, 0U);
}

TEST(DutiesCluster, AKilledHolderIsFollowedWithinALeaseAndASecond) {
  Cluster c(usual(), 2);
  ASSERT_TRUE(c.start());
  ASSERT_TRUE(until(
      c, [&] { return c.all_held(); }, 5));
  const std::size_t before = *c.holder("d0");
  c.sim.kill(static_cast<ActorId>(c.s.voters + before));
  const double from = c.sim.now();
  ASSERT_TRUE(until(
      c, [&] { return c.all_held(); }, 5));
  EXPECT_LT(c.sim.now() - from, 1 + 1.0);
  EXPECT_EQ(c.broken, "");
}

TEST(DutiesCluster, AHolderThatStandsBetweenCheckAndEffectIsTurnedAwayWhereItLands) {
  ClusterSettings s = usual(3, 3, 1);
  s.effect_takes = 0.5;  // half of a lease: the pause comes into it
  Cluster c(s, 3);
  ASSERT_TRUE(c.start());
  ASSERT_TRUE(until(
      c, [&] { return c.all_held(); }, 5));
  const std::size_t before = *c.holder("d0");
  ASSERT_TRUE(until(
      c, [&] { return c.node(before)->effect.second != 0; }, 2));
  const auto actor = static_cast<ActorId>(c.s.voters + before);
  c.sim.pause(actor);
  ASSERT_TRUE(until(
      c, [&] { return c.holder("d0") && *c.holder("d0") != before; }, 5));
  // The next one's effect lands first.
  const std::size_t had = c.effects;
  ASSERT_TRUE(until(
      c, [&] { return c.effects > had; }, 5));
  c.sim.resume(actor);
  ASSERT_TRUE(until(
      c, [&] { return c.turned_away > 0; }, 2));
  EXPECT_FALSE(c.node(before)->client.held_token(c.node(before)->local(c.sim.now()), "d0"));
  EXPECT_EQ(c.broken, "");
}

TEST(DutiesCluster, LeaderAndHolderDieTogether) {
  Cluster c(usual(5), 4);
  ASSERT_TRUE(c.start());
  ASSERT_TRUE(until(
      c, [&] { return c.all_held(); }, 5));
  c.sim.kill(static_cast<ActorId>(c.leader()->i));
  c.sim.kill(static_cast<ActorId>(c.s.voters + *c.holder("d0")));
  const double from = c.sim.now();
  ASSERT_TRUE(until(
      c, [&] { return c.all_held(); }, 10));
  EXPECT_LT(c.sim.now() - from, 1 + 1 + 2 * 0.6);  // an election on top
  EXPECT_EQ(c.broken, "");
}

TEST(DutiesCluster, WithoutAMajorityNobodyHoldsAnythingForLongAndAllIsWellAfterwards) {
  Cluster c(usual(5), 5);
  ASSERT_TRUE(c.start());
  ASSERT_TRUE(until(
      c, [&] { return c.all_held(); }, 5));
  for (ActorId v = 0; v < 3; ++v) c.sim.kill(v);
  c.run(2.5);
  for (const Duty& d : c.s.duties) EXPECT_FALSE(c.holder(d.name));
  for (ActorId v = 0; v < 3; ++v) c.sim.start(v);
  ASSERT_TRUE(until(
      c, [&] { return c.all_held(); }, 5));
  EXPECT_EQ(c.broken, "");
}

TEST(DutiesCluster, AVoterThatSeesNobodyDeposesNobody) {
  Cluster c(usual(5), 6);
  ASSERT_TRUE(c.start());
  ASSERT_TRUE(until(
      c, [&] { return c.all_held(); }, 5));
  const std::size_t lead = c.leader()->i, alone = (lead + 1) % 5;
  const std::uint64_t term = c.leader()->voter->raft().term();
  standins::WayFaults cut;
  cut.cut = true;
  for (ActorId i = 0; i < c.sim.size(); ++i) {
    if (i == alone) continue;
    c.sim.set_way(i, static_cast<ActorId>(alone), cut);
  }
  c.run(5);  // it hears nobody, and all hear it
  c.sim.heal();
  c.run(2);
  ASSERT_NE(c.leader(), nullptr);
  EXPECT_EQ(c.leader()->i, lead);
  EXPECT_EQ(c.leader()->voter->raft().term(), term);
  EXPECT_EQ(c.broken, "");
}

TEST(DutiesCluster, AFullDiskStopsAVoterAloneAndItGoesOnOnceThereIsRoom) {
  Cluster c(usual(3), 7);
  ASSERT_TRUE(c.start());
  ASSERT_TRUE(until(
      c, [&] { return c.all_held(); }, 5));
  const std::size_t lead = c.leader()->i;
  c.stores[lead]->fail_in = 0;
  ASSERT_TRUE(until(
      c, [&] { return c.leader() != nullptr && c.leader()->i != lead; }, 5));
  ASSERT_TRUE(until(
      c, [&] { return c.all_held(); }, 5));
  c.stores[lead]->fail_in = -1;
  // A majority needs it again.
  c.sim.kill(static_cast<ActorId>((lead + 1) % 3));
  ASSERT_TRUE(until(
      c, [&] { return c.leader() != nullptr; }, 5));
  ASSERT_TRUE(until(
      c, [&] { return c.all_held(); }, 5));
  EXPECT_EQ(c.broken, "");
}

TEST(DutiesCluster, EachWriteOfAVoterMayFailInTurn) {
  for (int writes = 0; writes < 40; ++writes) {
    Cluster c(usual(3, 3, 1), 100 + static_cast<std::uint64_t>(writes));
    ASSERT_TRUE(c.start());
    const std::size_t lead = c.leader()->i;
    c.stores[lead]->fail_in = writes;
    c.run(3);
    c.stores[lead]->fail_in = -1;
    ASSERT_TRUE(until(
        c, [&] { return c.all_held() && c.leader() != nullptr; }, 5))
        << writes;
    EXPECT_EQ(c.broken, "") << writes;
  }
}

TEST(DutiesCluster, AVoterWithYesterdaysStateIsNotListenedTo) {
  Cluster c(usual(3), 8);
  ASSERT_TRUE(c.start());
  ASSERT_TRUE(until(
      c, [&] { return c.all_held(); }, 5));
  const std::size_t victim = (c.leader()->i + 1) % 3;
  const MemoryStore saved = *c.stores[victim];
  const auto restart = [&] {
    c.sim.kill(static_cast<ActorId>(victim));
    c.sim.start(static_cast<ActorId>(victim));
    c.run(1);
  };
  restart();
  restart();
  *c.stores[victim] = saved;
  c.stores[victim]->salt = 99;
  restart();
  EXPECT_TRUE(c.leader()->voter->lease_manager().is_leader());
  // The other two go on without it; with one of them gone it may not make up a majority.
  const std::size_t lead = c.leader()->i;
  c.sim.kill(static_cast<ActorId>(3 - lead - victim));
  c.run(3);
  EXPECT_EQ(c.leader(), nullptr);
  EXPECT_EQ(c.broken, "");
}

TEST(DutiesCluster, SnapshotsBringALateVoterUpToDate) {
  ClusterSettings s = usual(3, 3, 1);
  s.duties = duties(1, 0.2);
  Cluster c(s, 9);
  ASSERT_TRUE(c.start());
  const std::size_t late = (c.leader()->i + 1) % 3;
  c.sim.kill(static_cast<ActorId>(late));
  // Each kill is a change of hands or two; renewals are barriers in the log.
  c.run(20);
  ASSERT_GT(c.leader()->voter->raft().counters().snapshots, 0U);
  c.sim.start(static_cast<ActorId>(late));
  ASSERT_TRUE(until(
      c, [&] { return c.voter(late)->voter->raft().table().last_token() > 0; }, 5));
  EXPECT_EQ(c.broken, "");
}

TEST(DutiesCluster, VotersAreReplacedWhileDutiesAreHeld) {
  ClusterSettings s = usual(4, 3, 2);
  Cluster c(s, 10);
  ASSERT_TRUE(c.start());
  ASSERT_TRUE(until(
      c, [&] { return c.all_held(); }, 5));
  // One is lost with its disk: under its name there is a voter of a new identity. The old one has to go
  // first.
  const std::size_t lost = (c.leader()->i + 1) % 4;
  c.sim.kill(static_cast<ActorId>(lost));
  c.stores[lost] = std::make_unique<MemoryStore>(5000);
  c.sim.start(static_cast<ActorId>(lost));
  const auto order = [&](Request::Kind kind) {
    Voter::OutgoingFrames outs;
    Frame f;
    f.kind = Frame::Kind::kRequests;
    f.requests.emplace_back();
    f.requests[0].kind = kind;
    f.requests[0].target = "v" + std::to_string(lost);
    const double at = 100 + c.sim.now();
    c.leader()->voter->on_voter_hello(at, c.voter(lost)->voter->hello(std::string(kNonceBytes, 'n')), outs);
    c.leader()->voter->on_client_frame(at, 4000, f, outs);
    return outs;
  };
  const auto refused = order(Request::Kind::kAddVoter);
  ASSERT_FALSE(refused.empty());
  EXPECT_EQ(refused.back().frame.replies.at(0).kind, Reply::Kind::kRefused);
  order(Request::Kind::kRemoveVoter);
  c.run(1);
  order(Request::Kind::kAddVoter);
  ASSERT_TRUE(until(
      c,
      [&] {
        const auto voters =
            c.leader() == nullptr ? std::vector<VoterInfo>() : c.leader()->voter->raft().voters();
        return std::any_of(voters.begin(), voters.end(),
                           [](const VoterInfo& v) { return v.id == 5000 && v.role == VoterRole::kVoter; });
      },
      10));
  EXPECT_TRUE(c.all_held());
  EXPECT_EQ(c.broken, "");
}

TEST(DutiesCluster, PassedToANamedNodeAndKeptApart) {
  ClusterSettings s = usual(3, 4, 2);
  s.duties[1].anti_affinity = {"d0"};
  s.duties[0].excluded_nodes = {"n3"};
  Cluster c(s, 11);
  ASSERT_TRUE(c.start());
  ASSERT_TRUE(until(
      c, [&] { return c.all_held(); }, 5));
  EXPECT_NE(*c.holder("d0"), *c.holder("d1"));
  const std::size_t to =
      (*c.holder("d0") + 1) % 3 == *c.holder("d1") ? (*c.holder("d0") + 2) % 3 : (*c.holder("d0") + 1) % 3;
  Client::Actions out;
  std::string error = "none came";
  Request pass;
  pass.kind = Request::Kind::kTransfer;
  pass.duty = "d0";
  pass.target = "n" + std::to_string(to);
  Cluster::NodeActor* teller = c.node(3);
  teller->client.send_operator_request(
      teller->local(c.sim.now()), pass, [&](const std::vector<Reply>&, const std::string& e) { error = e; },
      teller->out);
  ASSERT_TRUE(until(
      c, [&] { return c.holder("d0") == to; }, 3))
      << error;
  EXPECT_EQ(error, "");
  EXPECT_NE(*c.holder("d0"), *c.holder("d1"));
  EXPECT_EQ(c.broken, "");
}

// ------------------------------------------------------------ many histories

std::string play(std::uint64_t seed, bool no_fence, std::size_t* turned_away, std::size_t* effects) {
  std::mt19937_64 random(seed);
  ClusterSettings s = usual(random() % 2 == 0 ? 3 : 5, 3 + random() % 3, 1 + random() % 3);
  s.no_fence = no_fence;
  s.effect_takes = random() % 2 == 0 ? 0.02 : 0.4;
  Cluster c(s, seed);
  if (!c.start()) return "seed " + std::to_string(seed) + ": the voters did not start\n";
  const std::size_t all = s.voters + s.nodes;
  const auto any = [&] { return static_cast<ActorId>(random() % all); };
  const double from = c.sim.now();
  const int faults = 4 + static_cast<int>(random() % 8);
  std::size_t down = 0;
  for (int i = 0; i < faults; ++i) {
    const double at = from + 0.1 * static_cast<double>(random() % 60),
                 lasts = 0.1 * static_cast<double>(1 + random() % 30);
    const ActorId a = any();
    ActorId b = any();
    while (b == a) b = any();
    standins::WayFaults way;
    switch (random() % 8) {
      case 0:
        c.sim.at(at, [&c, a] {
          if (c.sim.alive(a)) c.sim.kill(a);
        });
        c.sim.at(at + lasts, [&c, a] {
          if (!c.sim.alive(a)) c.sim.start(a);
        });
        break;
      case 1:
      case 2:
        c.sim.at(at, [&c, a] {
          if (c.sim.alive(a)) c.sim.pause(a);
        });
        c.sim.at(at + lasts, [&c, a] {
          if (c.sim.paused(a)) c.sim.resume(a);
        });
        break;
      case 3:
        way.cut = true;
        c.sim.at(at, [&c, a, b, way] { c.sim.set_way(a, b, way); });
        c.sim.at(at + lasts, [&c, a, b] { c.sim.set_way(a, b, {}); });
        break;
      case 4:  // it can send and not receive, or the other way round
        way.cut = true;
        for (ActorId o = 0; o < all; ++o) {
          if (o == a) continue;
          const bool out = random() % 2 == 0;
          c.sim.at(at, [&c, a, o, way, out] { out ? c.sim.set_way(a, o, way) : c.sim.set_way(o, a, way); });
          c.sim.at(at + lasts, [&c, a, o, out] { out ? c.sim.set_way(a, o, {}) : c.sim.set_way(o, a, {}); });
        }
        break;
      case 5:
        way.loss = 0.25;
        way.duplicate = 0.2;
        way.delay = 0.01;
        way.jitter = 0.2;
        c.sim.at(at, [&c, way] { c.sim.set_network(way); });
        c.sim.at(at + lasts, [&c] { c.sim.set_network({}); });
        break;
      case 6: {
        const std::size_t v = random() % s.voters;
        const int writes = static_cast<int>(random() % 10);
        c.sim.at(at, [&c, v, writes] { c.stores[v]->fail_in = writes; });
        c.sim.at(at + lasts, [&c, v] { c.stores[v]->fail_in = -1; });
        break;
      }
      default:  // the leader, whoever it is, and a holder with it
        if (++down > 1) break;
        c.sim.at(at, [&c, lasts] {
          if (Cluster::VoterActor* lead = c.leader()) {
            const auto who = static_cast<ActorId>(lead->i);
            c.sim.kill(who);
            c.sim.at(c.sim.now() + lasts, [&c, who] {
              if (!c.sim.alive(who)) c.sim.start(who);
            });
          }
          if (const auto h = c.holder("d0")) {
            const auto who = static_cast<ActorId>(c.s.voters + *h);
            c.sim.kill(who);
            c.sim.at(c.sim.now() + lasts, [&c, who] {
              if (!c.sim.alive(who)) c.sim.start(who);
            });
          }
        });
        break;
    }
  }
  c.run(10);  // all is over by then
  c.sim.heal();
  c.sim.set_network({});
  std::string out;
  if (!until(
          c, [&] { return c.all_held(); }, 6))
    out = "not all duties are held 6 s after all is well";
  const std::size_t had = c.effects;
  if (out.empty() && !until(
                         c, [&] { return c.effects > had; }, 3))
    out = "no effect takes place after all is well";
  if (turned_away != nullptr) *turned_away += c.turned_away;
  if (effects != nullptr) *effects += c.effects;
  if (!c.broken.empty()) out = c.broken;
  return out.empty() ? "" : "seed " + std::to_string(seed) + ": " + out + "\n";
}

TEST(DutiesHistories, BreakNoRule) {
  const char* more = std::getenv("NETTLESTAND_HISTORIES");
  const std::size_t count = more != nullptr ? std::stoul(more) : 300;
  std::size_t turned_away = 0, effects = 0;
  std::string broken;
  for (std::size_t i = 0; i < count && broken.size() < 2000; ++i)
    broken += play(i + 1, false, &turned_away, &effects);
  EXPECT_EQ(broken, "");
  EXPECT_GT(turned_away, 0U) << "the fence had something to do";
  EXPECT_GT(effects, 10 * count);
}

TEST(DutiesHistories, WithoutAFenceEffectsCross) {
  std::string broken;
  for (std::uint64_t i = 1; i <= 300 && broken.find("crossed") == std::string::npos; ++i)
    broken = play(i, true, nullptr, nullptr);
  EXPECT_NE(broken.find("crossed"), std::string::npos);
}

}  // namespace
}  // namespace nettlestand::duties::testing
