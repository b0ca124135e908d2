// Voters and nodes in simulated time under fault injection: hand-written cases and many random histories.
#include "cluster.h"

#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>
#include <random>
#include <thread>

namespace nettlestand::duties::testing {
namespace {

using emulator::ActorId;

std::vector<Duty> make_duties(std::size_t count, double lease_seconds = 1) {
  std::vector<Duty> out;
  for (std::size_t i = 0; i < count; ++i) out.push_back({"d" + std::to_string(i), lease_seconds, {}, {}, {}});
  return out;
}

ClusterSettings cluster_settings(std::size_t voters = 3, std::size_t nodes = 4, std::size_t count = 2) {
  ClusterSettings out;
  out.voters = voters;
  out.nodes = nodes;
  out.duties = make_duties(count);
  return out;
}

// Runs the simulation until the predicate holds; false if that takes longer than the timeout.
bool run_until(Cluster& cluster, const std::function<bool()>& predicate, double timeout_seconds) {
  for (const double end = cluster.sim.now() + timeout_seconds; cluster.sim.now() < end;) {
    if (predicate()) return true;
    cluster.run(0.02);
  }
  return predicate();
}

TEST(DutiesCluster, EachDutyIsHeldByOneAndItsEffectsTakePlace) {
  Cluster cluster(cluster_settings(5, 6, 3), 1);
  ASSERT_TRUE(cluster.start());
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.all_held(); }, 5));
  cluster.run(5);
  EXPECT_EQ(cluster.violation, "");
  EXPECT_GT(cluster.applied_effects, 50U);
  EXPECT_EQ(cluster.rejected_effects, 0U);
}

TEST(DutiesCluster, AKilledHolderIsFollowedWithinALeaseAndASecond) {
  Cluster cluster(cluster_settings(), 2);
  ASSERT_TRUE(cluster.start());
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.all_held(); }, 5));
  const std::size_t before = *cluster.holder("d0");
  cluster.sim.kill(static_cast<ActorId>(cluster.settings.voters + before));
  const double from = cluster.sim.now();
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.all_held(); }, 5));
  EXPECT_LT(cluster.sim.now() - from, 1 + 1.0);
  EXPECT_EQ(cluster.violation, "");
}

TEST(DutiesCluster, AHolderThatStandsBetweenCheckAndEffectIsTurnedAwayWhereItLands) {
  ClusterSettings settings = cluster_settings(3, 3, 1);
  settings.effect_duration_seconds = 0.5;  // half a lease, so that the pause falls between check and effect
  Cluster cluster(settings, 3);
  ASSERT_TRUE(cluster.start());
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.all_held(); }, 5));
  const std::size_t before = *cluster.holder("d0");
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.node(before)->pending_effect.second != 0; }, 2));
  const auto actor = static_cast<ActorId>(cluster.settings.voters + before);
  cluster.sim.pause(actor);
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.holder("d0") && *cluster.holder("d0") != before; }, 5));
  // The next holder's effect is applied before the paused one's.
  const std::size_t effects_before = cluster.applied_effects;
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.applied_effects > effects_before; }, 5));
  cluster.sim.resume(actor);
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.rejected_effects > 0; }, 2));
  EXPECT_FALSE(
      cluster.node(before)->client.held_token(cluster.node(before)->local_time(cluster.sim.now()), "d0"));
  EXPECT_EQ(cluster.violation, "");
}

TEST(DutiesCluster, LeaderAndHolderDieTogether) {
  Cluster cluster(cluster_settings(5), 4);
  ASSERT_TRUE(cluster.start());
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.all_held(); }, 5));
  cluster.sim.kill(static_cast<ActorId>(cluster.leader()->index));
  cluster.sim.kill(static_cast<ActorId>(cluster.settings.voters + *cluster.holder("d0")));
  const double from = cluster.sim.now();
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.all_held(); }, 10));
  EXPECT_LT(cluster.sim.now() - from, 1 + 1 + 2 * 0.6);  // a lease, 1 s and an election
  EXPECT_EQ(cluster.violation, "");
}

TEST(DutiesCluster, WithoutAMajorityNobodyHoldsAnythingForLongAndAllIsWellAfterwards) {
  Cluster cluster(cluster_settings(5), 5);
  ASSERT_TRUE(cluster.start());
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.all_held(); }, 5));
  for (ActorId v = 0; v < 3; ++v) cluster.sim.kill(v);
  cluster.run(2.5);
  for (const Duty& d : cluster.settings.duties) EXPECT_FALSE(cluster.holder(d.name));
  for (ActorId v = 0; v < 3; ++v) cluster.sim.start(v);
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.all_held(); }, 5));
  EXPECT_EQ(cluster.violation, "");
}

TEST(DutiesCluster, AVoterThatSeesNobodyDeposesNobody) {
  Cluster cluster(cluster_settings(5), 6);
  ASSERT_TRUE(cluster.start());
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.all_held(); }, 5));
  const std::size_t leader_index = cluster.leader()->index, alone = (leader_index + 1) % 5;
  const std::uint64_t term = cluster.leader()->voter->raft().term();
  standins::LinkFaults cut;
  cut.cut = true;
  for (ActorId i = 0; i < cluster.sim.size(); ++i) {
    if (i == alone) continue;
    cluster.sim.set_link(i, static_cast<ActorId>(alone), cut);
  }
  cluster.run(5);  // it receives nothing, and all others receive its messages
  cluster.sim.heal();
  cluster.run(2);
  ASSERT_NE(cluster.leader(), nullptr);
  EXPECT_EQ(cluster.leader()->index, leader_index);
  EXPECT_EQ(cluster.leader()->voter->raft().term(), term);
  EXPECT_EQ(cluster.violation, "");
}

TEST(DutiesCluster, AFullDiskStopsAVoterAloneAndItGoesOnOnceThereIsRoom) {
  Cluster cluster(cluster_settings(3), 7);
  ASSERT_TRUE(cluster.start());
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.all_held(); }, 5));
  const std::size_t leader_index = cluster.leader()->index;
  cluster.stores[leader_index]->fail_after_writes = 0;
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.leader() != nullptr && cluster.leader()->index != leader_index; }, 5));
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.all_held(); }, 5));
  cluster.stores[leader_index]->fail_after_writes = -1;
  // With another voter down, the recovered one is needed for a majority.
  cluster.sim.kill(static_cast<ActorId>((leader_index + 1) % 3));
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.leader() != nullptr; }, 5));
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.all_held(); }, 5));
  EXPECT_EQ(cluster.violation, "");
}

TEST(DutiesCluster, EachWriteOfAVoterMayFailInTurn) {
  for (int writes = 0; writes < 40; ++writes) {
    Cluster cluster(cluster_settings(3, 3, 1), 100 + static_cast<std::uint64_t>(writes));
    ASSERT_TRUE(cluster.start());
    const std::size_t leader_index = cluster.leader()->index;
    cluster.stores[leader_index]->fail_after_writes = writes;
    cluster.run(3);
    cluster.stores[leader_index]->fail_after_writes = -1;
    ASSERT_TRUE(run_until(
        cluster, [&] { return cluster.all_held() && cluster.leader() != nullptr; }, 5))
        << writes;
    EXPECT_EQ(cluster.violation, "") << writes;
  }
}

TEST(DutiesCluster, AVoterWithYesterdaysStateIsNotListenedTo) {
  Cluster cluster(cluster_settings(3), 8);
  ASSERT_TRUE(cluster.start());
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.all_held(); }, 5));
  const std::size_t victim = (cluster.leader()->index + 1) % 3;
  const MemoryStore saved = *cluster.stores[victim];
  const auto restart = [&] {
    cluster.sim.kill(static_cast<ActorId>(victim));
    cluster.sim.start(static_cast<ActorId>(victim));
    cluster.run(1);
  };
  restart();
  restart();
  *cluster.stores[victim] = saved;
  cluster.stores[victim]->start_id_salt = 99;
  restart();
  EXPECT_TRUE(cluster.leader()->voter->lease_manager().is_leader());
  // The other two go on without it; with one of them down it must not complete a majority.
  const std::size_t leader_index = cluster.leader()->index;
  cluster.sim.kill(static_cast<ActorId>(3 - leader_index - victim));
  cluster.run(3);
  EXPECT_EQ(cluster.leader(), nullptr);
  EXPECT_EQ(cluster.violation, "");
}

TEST(DutiesCluster, SnapshotsBringALateVoterUpToDate) {
  ClusterSettings settings = cluster_settings(3, 3, 1);
  settings.duties = make_duties(1, 0.2);
  Cluster cluster(settings, 9);
  ASSERT_TRUE(cluster.start());
  const std::size_t late = (cluster.leader()->index + 1) % 3;
  cluster.sim.kill(static_cast<ActorId>(late));
  // Renewals append barriers to the log, so that it grows past the snapshot threshold.
  cluster.run(20);
  ASSERT_GT(cluster.leader()->voter->raft().counters().snapshots, 0U);
  cluster.sim.start(static_cast<ActorId>(late));
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.voter(late)->voter->raft().table().last_token() > 0; }, 5));
  EXPECT_EQ(cluster.violation, "");
}

TEST(DutiesCluster, VotersAreReplacedWhileDutiesAreHeld) {
  ClusterSettings settings = cluster_settings(4, 3, 2);
  Cluster cluster(settings, 10);
  ASSERT_TRUE(cluster.start());
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.all_held(); }, 5));
  // A voter loses its disk and comes back under its name with a new identity. The old identity must be
  // removed before the new one can be added.
  const std::size_t lost = (cluster.leader()->index + 1) % 4;
  cluster.sim.kill(static_cast<ActorId>(lost));
  cluster.stores[lost] = std::make_unique<MemoryStore>(5000);
  cluster.sim.start(static_cast<ActorId>(lost));
  const auto order = [&](Request::Kind kind) {
    Voter::OutgoingFrames outs;
    Frame f;
    f.kind = Frame::Kind::kRequests;
    f.requests.emplace_back();
    f.requests[0].kind = kind;
    f.requests[0].target = "v" + std::to_string(lost);
    const double at = 100 + cluster.sim.now();
    cluster.leader()->voter->on_voter_hello(
        at, cluster.voter(lost)->voter->hello(std::string(kNonceBytes, 'n')), outs);
    cluster.leader()->voter->on_client_frame(at, 4000, f, outs);
    return outs;
  };
  const auto refused = order(Request::Kind::kAddVoter);
  ASSERT_FALSE(refused.empty());
  EXPECT_EQ(refused.back().frame.replies.at(0).kind, Reply::Kind::kRefused);
  order(Request::Kind::kRemoveVoter);
  cluster.run(1);
  order(Request::Kind::kAddVoter);
  ASSERT_TRUE(run_until(
      cluster,
      [&] {
        const auto voters =
            cluster.leader() == nullptr ? std::vector<VoterInfo>() : cluster.leader()->voter->raft().voters();
        return std::any_of(voters.begin(), voters.end(),
                           [](const VoterInfo& v) { return v.id == 5000 && v.role == VoterRole::kVoter; });
      },
      10));
  EXPECT_TRUE(cluster.all_held());
  EXPECT_EQ(cluster.violation, "");
}

TEST(DutiesCluster, PassedToANamedNodeAndKeptApart) {
  ClusterSettings settings = cluster_settings(3, 4, 2);
  settings.duties[1].anti_affinity = {"d0"};
  settings.duties[0].excluded_nodes = {"n3"};
  Cluster cluster(settings, 11);
  ASSERT_TRUE(cluster.start());
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.all_held(); }, 5));
  EXPECT_NE(*cluster.holder("d0"), *cluster.holder("d1"));
  const std::size_t to = (*cluster.holder("d0") + 1) % 3 == *cluster.holder("d1")
                             ? (*cluster.holder("d0") + 2) % 3
                             : (*cluster.holder("d0") + 1) % 3;
  Client::Actions out;
  std::string error = "no reply";
  Request pass;
  pass.kind = Request::Kind::kTransfer;
  pass.duty = "d0";
  pass.target = "n" + std::to_string(to);
  Cluster::NodeActor* requester = cluster.node(3);
  requester->client.send_operator_request(
      requester->local_time(cluster.sim.now()), pass,
      [&](const std::vector<Reply>&, const std::string& e) { error = e; }, requester->actions);
  ASSERT_TRUE(run_until(
      cluster, [&] { return cluster.holder("d0") == to; }, 3))
      << error;
  EXPECT_EQ(error, "");
  EXPECT_NE(*cluster.holder("d0"), *cluster.holder("d1"));
  EXPECT_EQ(cluster.violation, "");
}

// Random histories

// Runs a cluster under random faults that a seed determines. Returns the violation, or empty if all went well
// and all duties are held and have effects again after the faults.
std::string run_random_history(std::uint64_t seed, bool fencing_disabled, std::size_t* rejected_effects,
                               std::size_t* applied_effects) {
  std::mt19937_64 random(seed);
  ClusterSettings settings = cluster_settings(random() % 2 == 0 ? 3 : 5, 3 + random() % 3, 1 + random() % 3);
  settings.fencing_disabled = fencing_disabled;
  settings.effect_duration_seconds = random() % 2 == 0 ? 0.02 : 0.4;
  Cluster cluster(settings, seed);
  if (!cluster.start()) return "seed " + std::to_string(seed) + ": the cluster did not form\n";
  const std::size_t all = settings.voters + settings.nodes;
  const auto any = [&] { return static_cast<ActorId>(random() % all); };
  const double from = cluster.sim.now();
  const int faults = 4 + static_cast<int>(random() % 8);
  std::size_t leader_kills = 0;
  for (int i = 0; i < faults; ++i) {
    const double at = from + 0.1 * static_cast<double>(random() % 60),
                 lasts = 0.1 * static_cast<double>(1 + random() % 30);
    const ActorId a = any();
    ActorId b = any();
    while (b == a) b = any();
    standins::LinkFaults way;
    switch (random() % 8) {
      case 0:
        cluster.sim.at(at, [&cluster, a] {
          if (cluster.sim.alive(a)) cluster.sim.kill(a);
        });
        cluster.sim.at(at + lasts, [&cluster, a] {
          if (!cluster.sim.alive(a)) cluster.sim.start(a);
        });
        break;
      case 1:
      case 2:
        cluster.sim.at(at, [&cluster, a] {
          if (cluster.sim.alive(a)) cluster.sim.pause(a);
        });
        cluster.sim.at(at + lasts, [&cluster, a] {
          if (cluster.sim.paused(a)) cluster.sim.resume(a);
        });
        break;
      case 3:
        way.cut = true;
        cluster.sim.at(at, [&cluster, a, b, way] { cluster.sim.set_link(a, b, way); });
        cluster.sim.at(at + lasts, [&cluster, a, b] { cluster.sim.set_link(a, b, {}); });
        break;
      case 4:  // cuts one direction, chosen at random, of each of its links
        way.cut = true;
        for (ActorId o = 0; o < all; ++o) {
          if (o == a) continue;
          const bool out = random() % 2 == 0;
          cluster.sim.at(at, [&cluster, a, o, way, out] {
            out ? cluster.sim.set_link(a, o, way) : cluster.sim.set_link(o, a, way);
          });
          cluster.sim.at(at + lasts, [&cluster, a, o, out] {
            out ? cluster.sim.set_link(a, o, {}) : cluster.sim.set_link(o, a, {});
          });
        }
        break;
      case 5:
        way.loss = 0.25;
        way.duplicate = 0.2;
        way.delay = 0.01;
        way.jitter = 0.2;
        cluster.sim.at(at, [&cluster, way] { cluster.sim.set_network(way); });
        cluster.sim.at(at + lasts, [&cluster] { cluster.sim.set_network({}); });
        break;
      case 6: {
        const std::size_t v = random() % settings.voters;
        const int writes = static_cast<int>(random() % 10);
        cluster.sim.at(at, [&cluster, v, writes] { cluster.stores[v]->fail_after_writes = writes; });
        cluster.sim.at(at + lasts, [&cluster, v] { cluster.stores[v]->fail_after_writes = -1; });
        break;
      }
      default:  // kills the current leader and a holder; at most once a history
        if (++leader_kills > 1) break;
        cluster.sim.at(at, [&cluster, lasts] {
          if (Cluster::VoterActor* leader = cluster.leader()) {
            const auto who = static_cast<ActorId>(leader->index);
            cluster.sim.kill(who);
            cluster.sim.at(cluster.sim.now() + lasts, [&cluster, who] {
              if (!cluster.sim.alive(who)) cluster.sim.start(who);
            });
          }
          if (const auto h = cluster.holder("d0")) {
            const auto who = static_cast<ActorId>(cluster.settings.voters + *h);
            cluster.sim.kill(who);
            cluster.sim.at(cluster.sim.now() + lasts, [&cluster, who] {
              if (!cluster.sim.alive(who)) cluster.sim.start(who);
            });
          }
        });
        break;
    }
  }
  cluster.run(10);  // longer than all faults last
  cluster.sim.heal();
  cluster.sim.set_network({});
  std::string out;
  if (!run_until(
          cluster, [&] { return cluster.all_held(); }, 6))
    out = "not all duties are held 6 s after the faults ended";
  const std::size_t effects_before = cluster.applied_effects;
  if (out.empty() && !run_until(
                         cluster, [&] { return cluster.applied_effects > effects_before; }, 3))
    out = "no effect is applied after the faults ended";
  if (rejected_effects != nullptr) *rejected_effects += cluster.rejected_effects;
  if (applied_effects != nullptr) *applied_effects += cluster.applied_effects;
  if (!cluster.violation.empty()) out = cluster.violation;
  return out.empty() ? "" : "seed " + std::to_string(seed) + ": " + out + "\n";
}

TEST(DutiesHistories, BreakNoRule) {
  const char* count_override = std::getenv("NETTLESTAND_HISTORIES");
  const std::size_t count = count_override != nullptr ? std::stoul(count_override) : 300;
  std::size_t rejected_effects = 0, applied_effects = 0;
  std::string violation;
  for (std::size_t i = 0; i < count && violation.size() < 2000; ++i)
    violation += run_random_history(i + 1, false, &rejected_effects, &applied_effects);
  EXPECT_EQ(violation, "");
  EXPECT_GT(rejected_effects, 0U) << "the fencing check was never needed";
  EXPECT_GT(applied_effects, 10 * count);
}

TEST(DutiesHistories, WithoutAFenceEffectsCross) {
  std::string violation;
  for (std::uint64_t i = 1;
       i <= 300 && violation.find("came after one with a higher token") == std::string::npos; ++i)
    violation = run_random_history(i, true, nullptr, nullptr);
  EXPECT_NE(violation.find("came after one with a higher token"), std::string::npos);
}

}  // namespace
}  // namespace nettlestand::duties::testing
