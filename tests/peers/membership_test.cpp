// The membership state machine in the emulator: what must hold in small and large fleets under any faults.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "fleet.h"

namespace nettlestand::peers::testing {
namespace {

standins::LinkFaults loss(double part, double burst = 1) {
  standins::LinkFaults out;
  out.delay = 0.002;
  out.jitter = 0.004;
  out.loss = part;
  out.burst = burst;
  return out;
}
standins::LinkFaults cut() {
  standins::LinkFaults out;
  out.cut = true;
  return out;
}

// Checks the whole history: no ended generation becomes alive again, and incarnations only grow within a
// generation.
void check_history(const Fleet& fleet) {
  struct Known {
    std::uint64_t generation = 0;
    std::uint32_t incarnation = 0;
    MemberState state = MemberState::kAlive;
    bool ended = false;
  };
  std::map<std::pair<emulator::ActorId, MemberKey>, Known> known_by;
  for (const RecordedChange& s : fleet.changes) {
    const Member& m = s.change.member;
    Known& h = known_by[{s.observer, m.key}];
    if (s.change.first_seen) h = {};
    ASSERT_GE(m.generation, h.generation) << "an earlier generation came after a later one";
    if (m.generation == h.generation) {
      EXPECT_GE(m.incarnation, h.incarnation);
      const bool over = m.state == MemberState::kDead || m.state == MemberState::kLeft;
      EXPECT_TRUE(!h.ended || over) << "an ended generation became alive again";
    }
    const bool over = m.state == MemberState::kDead || m.state == MemberState::kLeft;
    h = {m.generation, m.incarnation, m.state, over};
  }
}

TEST(Peers, FindEachOtherFromOneAddress) {
  for (const std::size_t count : {2, 3, 10, 60}) {
    Fleet fleet(count, 1, {}, 1);
    fleet.sim.set_network(loss(0));
    fleet.start_all();
    EXPECT_TRUE(fleet.converge(60)) << count;
    EXPECT_EQ(fleet.deaths_declared(), 0U);
    const auto m = fleet.at(0).membership.find(member_key("n1"));
    ASSERT_TRUE(m);
    EXPECT_EQ(m->identity.name, "n1");
    EXPECT_EQ(m->identity.zone, "z1");
    check_history(fleet);
  }
}

TEST(Peers, ADeathIsKnownToAllSoonAndALeaveAtOnce) {
  Fleet fleet(30, 2);
  fleet.sim.set_network(loss(0));
  fleet.start_all();
  ASSERT_TRUE(fleet.converge(60));
  fleet.sim.kill(7);
  EXPECT_TRUE(fleet.converge(10));
  for (emulator::ActorId i = 0; i < 30; ++i) {
    if (i != 7) {
      EXPECT_EQ(fleet.view(i, 7), MemberState::kDead);
    }
  }
  fleet.sim.start(7);
  EXPECT_TRUE(fleet.converge(10)) << "under its name, with another generation";
  check_history(fleet);
}

TEST(Peers, WhoStoodLearnsThatItWasThoughtDeadAndComesBackWithinASecond) {
  Fleet fleet(12, 3);
  fleet.sim.set_network(loss(0));
  fleet.start_all();
  ASSERT_TRUE(fleet.converge(60));
  const std::uint64_t generation = fleet.at(4).membership.generation();
  fleet.sim.pause(4);
  fleet.sim.run_until(fleet.sim.now() + 30);
  for (emulator::ActorId i = 0; i < 12; ++i) {
    if (i != 4) {
      EXPECT_EQ(fleet.view(i, 4), MemberState::kDead);
    }
  }
  const std::size_t before = fleet.changes.size();
  fleet.sim.resume(4);
  fleet.sim.run_until(fleet.sim.now() + 1);
  EXPECT_GT(fleet.at(4).membership.generation(), generation);
  EXPECT_EQ(fleet.at(4).membership.counters().rejoins, 1U);
  for (std::size_t i = before; i < fleet.changes.size(); ++i) {
    const RecordedChange& s = fleet.changes[i];
    EXPECT_FALSE(s.observer == 4 && s.change.member.state == MemberState::kDead)
        << "it declared somebody dead from outdated findings";
  }
  EXPECT_TRUE(fleet.converge(10));
  check_history(fleet);
}

TEST(Peers, WhoDiesWhileItIsLeavingIsDeadAndNotLeavingForEver) {
  Fleet fleet(10, 21);
  fleet.sim.set_network(loss(0.02));
  fleet.start_all();
  ASSERT_TRUE(fleet.converge(60));
  fleet.at(4).announces_leaving = fleet.at(7).announces_leaving = true;
  fleet.sim.run_until(fleet.sim.now() + 3);
  for (emulator::ActorId i = 0; i < 10; ++i) {
    if (i != 4 && i != 7) {
      EXPECT_EQ(fleet.view(i, 4), MemberState::kLeaving);
    }
  }
  fleet.sim.kill(4);
  fleet.sim.run_until(fleet.sim.now() + 10);
  for (emulator::ActorId i = 0; i < 10; ++i) {
    if (i != 4 && i != 7) {
      EXPECT_EQ(fleet.view(i, 4), MemberState::kDead) << i;
      EXPECT_EQ(fleet.view(i, 7), MemberState::kLeaving) << "one that is slow to leave is not dead, " << i;
    }
  }
  // Nor is it declared dead because of wrong suspicions: a suspect answers that it is still leaving.
  fleet.sim.set_network(loss(0.3));
  fleet.sim.run_until(fleet.sim.now() + 300);
  for (emulator::ActorId i = 0; i < 10; ++i) {
    if (i != 4 && i != 7) {
      EXPECT_EQ(fleet.view(i, 7), MemberState::kLeaving) << i;
    }
  }
  check_history(fleet);
}

// After a pause the event loop may handle the socket or the timer first.
TEST(Peers, WhoStoodNoticesItAlsoWhenADatagramComesBeforeItsTimer) {
  MembershipSettings s;
  s.self.name = "a";
  s.address = 1;
  Membership a(s);
  std::vector<Membership::Outgoing> out;
  a.start(0, {}, out);
  Message hello;
  hello.from = member_key("b");
  hello.generation = 1;
  double now = 0;
  for (int i = 0; i < 20; ++i) {
    a.on_message(now, 2, hello, out);
    while (a.next_tick() <= now + 0.25) a.tick(now = a.next_tick(), out);
  }
  ASSERT_EQ(a.counters().stalls, 0U);
  const std::uint64_t accused = a.counters().suspicions;
  a.on_message(now += 30, 2, hello, out);
  EXPECT_EQ(a.counters().stalls, 1U);
  a.tick(now, out);
  EXPECT_EQ(a.counters().stalls, 1U) << "counted once";
  EXPECT_EQ(a.counters().suspicions, accused);
}

TEST(Peers, AShortPauseIsForgiven) {
  Fleet fleet(12, 4);
  fleet.sim.set_network(loss(0));
  fleet.start_all();
  ASSERT_TRUE(fleet.converge(60));
  for (int i = 0; i < 20; ++i) {
    const auto who = static_cast<emulator::ActorId>(i % 12);
    fleet.sim.pause(who);
    fleet.sim.run_until(fleet.sim.now() + 0.5);
    fleet.sim.resume(who);
    fleet.sim.run_until(fleet.sim.now() + 2);
  }
  EXPECT_EQ(fleet.deaths_declared(), 0U);
  EXPECT_TRUE(fleet.converge(5));
}

TEST(Peers, AQuarterOfAllMessagesLostMakesNobodyDead) {
  for (const double burst : {1.0, 6.0}) {
    Fleet fleet(40, 5);
    fleet.record = false;
    fleet.sim.set_network(loss(0.25, burst));
    fleet.start_all();
    ASSERT_TRUE(fleet.converge(120)) << burst;
    fleet.sim.run_until(fleet.sim.now() + 1800);  // 20 node-hours
    EXPECT_EQ(fleet.deaths_declared(), 0U) << burst;
  }
}

TEST(Peers, DuplicatesReorderingAndCorruptionAreBorne) {
  Fleet fleet(20, 6);
  standins::LinkFaults network = loss(0.05);
  network.duplicate = 0.3;
  network.reorder = 0.3;
  network.corrupt = 0.1;
  network.jitter = 0.05;
  fleet.sim.set_network(network);
  fleet.start_all();
  ASSERT_TRUE(fleet.converge(120));
  fleet.sim.kill(3);
  fleet.sim.run_until(fleet.sim.now() + 0.3);
  fleet.sim.start(3);  // datagrams to and from the earlier process are still in flight
  EXPECT_TRUE(fleet.converge(60));
  std::uint64_t refused = 0;
  for (emulator::ActorId i = 0; i < 20; ++i) refused += fleet.at(i).refused;
  EXPECT_GT(refused, 0U);
}

TEST(Peers, OneSidedCutsMakeNobodyDead) {
  struct Case {
    const char* what;
    void (*set)(Fleet&);
  };
  const Case cases[] = {{"A hears B, B does not hear A", [](Fleet& f) { f.sim.set_link(0, 1, cut()); }},
                        {"A can't reach C at all",
                         [](Fleet& f) {
                           f.sim.set_link(0, 2, cut());
                           f.sim.set_link(2, 0, cut());
                         }},
                        {"a ring of one-sided cuts",
                         [](Fleet& f) {
                           for (emulator::ActorId i = 0; i < 12; ++i) f.sim.set_link(i, (i + 1) % 12, cut());
                         }},
                        {"a third reaches two thirds only one way", [](Fleet& f) {
                           for (emulator::ActorId i = 0; i < 4; ++i) {
                             for (emulator::ActorId j = 4; j < 9; ++j) f.sim.set_link(i, j, cut());
                           }
                         }}};
  for (const Case& c : cases) {
    Fleet fleet(12, 7);
    fleet.sim.set_network(loss(0.02));
    fleet.start_all();
    ASSERT_TRUE(fleet.converge(60));
    c.set(fleet);
    fleet.sim.run_until(fleet.sim.now() + 600);
    EXPECT_EQ(fleet.deaths_declared(), 0U) << c.what;
    check_history(fleet);
  }
}

TEST(Peers, HalvesOfACutFindEachOtherAgain) {
  for (const double lasts : {10.0, 300.0}) {
    Fleet fleet(16, 8);
    fleet.sim.set_network(loss(0.01));
    fleet.start_all();
    ASSERT_TRUE(fleet.converge(60));
    fleet.sim.set_zones(0, 1, cut());
    fleet.sim.set_zones(1, 0, cut());
    fleet.sim.run_until(fleet.sim.now() + lasts / 2);
    fleet.sim.kill(2);
    fleet.sim.kill(5);
    fleet.sim.start(5);
    fleet.sim.run_until(fleet.sim.now() + lasts / 2);
    fleet.sim.heal();
    fleet.sim.set_network(loss(0.01));
    EXPECT_TRUE(fleet.converge(90)) << lasts;
    check_history(fleet);
  }
}

TEST(Peers, SevenInTenKilledAtOnceAndTenRestartedAtOnce) {
  Fleet fleet(40, 9);
  fleet.sim.set_network(loss(0.01));
  fleet.start_all();
  ASSERT_TRUE(fleet.converge(60));
  for (emulator::ActorId i = 10; i < 38; ++i) fleet.sim.kill(i);
  EXPECT_TRUE(fleet.converge(40));
  for (emulator::ActorId i = 10; i < 20; ++i) fleet.sim.start(i);
  EXPECT_TRUE(fleet.converge(40));
  check_history(fleet);
}

// All sequences of some faults on three nodes up to a length: the rules hold, and all nodes agree once the
// faults are over.
TEST(Peers, ThreeNodesBearEveryOrderOfFaults) {
  constexpr int kVerbs = 7, kDepth = 4;
  int total = 1;
  for (int i = 0; i < kDepth; ++i) total *= kVerbs;
  for (int order = 0; order < total; ++order) {
    Fleet fleet(3, 1);
    fleet.sim.set_network(loss(0));
    fleet.start_all();
    ASSERT_TRUE(fleet.converge(20));
    int rest = order;
    for (int step = 0; step < kDepth; ++step, rest /= kVerbs) {
      switch (rest % kVerbs) {
        case 0:
          fleet.sim.kill(0);
          break;
        case 1:
          fleet.sim.start(0);
          break;
        case 2:
          fleet.sim.pause(1);
          break;
        case 3:
          fleet.sim.resume(1);
          break;
        case 4:
          fleet.sim.set_link(2, 0, cut());
          break;
        case 5:
          fleet.sim.set_link(0, 1, cut());
          fleet.sim.set_link(1, 0, cut());
          break;
        case 6:
          fleet.sim.heal();
          break;
      }
      fleet.sim.run_until(fleet.sim.now() + (order % 2 == 0 ? 1.3 : 6));
    }
    fleet.sim.heal();
    fleet.sim.resume(1);
    fleet.sim.start(0);
    EXPECT_TRUE(fleet.converge(60)) << "order " << order;
    check_history(fleet);
    if (HasFailure()) return;
  }
}

class Walks : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(Walks, KeepTheRulesAndEndInOneView) {
  std::mt19937_64 random(GetParam());
  Fleet fleet(24, GetParam());
  fleet.sim.set_network(loss(0.05));
  fleet.start_all();
  ASSERT_TRUE(fleet.converge(120));
  for (int i = 0; i < 25; ++i) {
    const auto a = static_cast<emulator::ActorId>(random() % 24),
               b = static_cast<emulator::ActorId>(random() % 24);
    switch (random() % 8) {
      case 0:
        fleet.sim.kill(a);
        break;
      case 1:
        fleet.sim.start(a);
        break;
      case 2:
        fleet.sim.pause(a);
        break;
      case 3:
        fleet.sim.resume(a);
        break;
      case 4:
        fleet.sim.set_link(a, b, cut());
        break;
      case 5:
        fleet.sim.set_network(loss(0.25, 3));
        break;
      case 6:
        fleet.sim.set_zones(0, 1, cut());
        break;
      case 7:
        fleet.sim.heal();
        fleet.sim.set_network(loss(0.05));
        break;
    }
    fleet.sim.run_until(fleet.sim.now() + static_cast<double>(random() % 80) / 10);
  }
  fleet.sim.heal();
  fleet.sim.set_network(loss(0.01));
  for (emulator::ActorId i = 0; i < 24; ++i) {
    fleet.sim.resume(i);
    fleet.sim.start(i);
  }
  EXPECT_TRUE(fleet.converge(180));
  check_history(fleet);
}
INSTANTIATE_TEST_SUITE_P(Peers, Walks, ::testing::Range<std::uint64_t>(1, 31));

// ------------------------------------------------------------ datagram codec

Message sample() {
  Message m;
  m.kind = MessageKind::kAck;
  m.seq = 0xFFFFFFFF;
  m.from = member_key("n1");
  m.generation = ~std::uint64_t{0};
  m.target = m.from;
  m.target_generation = m.generation;
  m.direct_ack = true;
  Update u;
  u.key = member_key(std::string(32, 'n'));
  u.generation = u.address = u.reporter = ~std::uint64_t{0};
  u.incarnation = 0xFFFFFFFF;
  u.state = MemberState::kSuspect;
  m.updates.push_back(u);
  u.identity =
      std::make_shared<const Identity>(Identity{std::string(32, 'n'), std::string(12, 'z'),
                                                std::string(12, 'r'), std::string(12, 'v'), 255, 0xFFFFFFFF});
  m.updates.push_back(u);
  return m;
}

TEST(PeersWire, WhatIsLargestFitsAndComesBackAsItWas) {
  DatagramCodec sealed({"c", {std::string(32, 'k')}}),
      reader({"c", {std::string(32, 'o'), std::string(32, 'k')}});
  const std::string bytes = sealed.encode(sample());
  EXPECT_LE(bytes.size(), kMaxDatagramBytes);
  DecodeError error;
  const auto m = reader.decode(bytes, error);
  ASSERT_TRUE(m) << name_of(error);
  EXPECT_EQ(m->updates.size(), 2U);
  EXPECT_EQ(m->updates[1].identity->version, std::string(12, 'v'));
  EXPECT_EQ(m->updates[0].reporter, ~std::uint64_t{0});
  Message four = sample();
  four.updates = std::vector<Update>(4, sample().updates[0]);
  EXPECT_LE(sealed.encode(four).size(), kMaxDatagramBytes);
  four.updates = std::vector<Update>(8, sample().updates[0]);
  EXPECT_THROW(sealed.encode(four), std::length_error);
}

TEST(PeersWire, StrangersOldNewsAndForgeriesAreDropped) {
  const std::string key(32, 'k');
  DatagramCodec a({"c", {key}}), b({"c", {key}}), other({"d", {key}}), open({"c", {}}),
      wrong({"c", {std::string(32, 'x')}});
  DecodeError error;
  const std::string bytes = a.encode(sample());
  EXPECT_TRUE(b.decode(bytes, error));
  EXPECT_FALSE(b.decode(bytes, error));
  EXPECT_EQ(error, DecodeError::kReplay);
  EXPECT_FALSE(other.decode(bytes, error));
  EXPECT_EQ(error, DecodeError::kOtherCluster);
  EXPECT_FALSE(open.decode(bytes, error));
  EXPECT_FALSE(wrong.decode(bytes, error));
  EXPECT_EQ(error, DecodeError::kBadMac);
  EXPECT_FALSE(b.decode(open.encode(sample()), error));
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string forged = a.encode(sample());
    forged[i] = static_cast<char>(forged[i] ^ 0x10);
    EXPECT_FALSE(b.decode(forged, error)) << i;
  }
  // Accepted in any order, each once.
  std::vector<std::string> many;
  for (int i = 0; i < 60; ++i) many.push_back(a.encode(sample()));
  std::mt19937_64 random(3);
  std::shuffle(many.begin(), many.end(), random);
  for (const std::string& one : many) EXPECT_TRUE(b.decode(one, error));
  for (const std::string& one : many) EXPECT_FALSE(b.decode(one, error));
}

TEST(PeersWire, NoBytesAreMisread) {
  DatagramCodec wire({});
  std::mt19937_64 random(11);
  DecodeError error;
  int read = 0;
  for (int i = 0; i < 200'000; ++i) {
    const std::string whole = wire.encode(sample());
    std::string bytes = whole;
    const int edits = 1 + static_cast<int>(random() % 4);
    for (int e = 0; e < edits; ++e) {
      switch (random() % 3) {
        case 0:
          bytes[random() % bytes.size()] = static_cast<char>(random());
          break;
        case 1:
          bytes.resize(random() % (bytes.size() + 1));
          break;
        case 2:
          bytes.insert(random() % (bytes.size() + 1), 1, static_cast<char>(random()));
          break;
      }
      if (bytes.empty()) break;
    }
    if (bytes == whole) continue;
    if (const auto m = wire.decode(bytes, error)) {
      ++read;
      EXPECT_LE(m->updates.size(), 8U);
      for (const Update& u : m->updates)
        EXPECT_LE(static_cast<int>(u.state), static_cast<int>(MemberState::kLeft));
    }
  }
  EXPECT_EQ(read, 0);
}

}  // namespace
}  // namespace nettlestand::peers::testing
