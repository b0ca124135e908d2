// Tests of the emulator: simulated processes, clocks and links around actors, and the simulated fleet with
// faults.
#include <gtest/gtest.h>

#include <numeric>

#include "emulator/fleet.h"
#include "emulator/simulation.h"
#include "standins/common/http.h"

namespace nettlestand::emulator {
namespace {

// Sends the last rumour that it heard to a random actor once a second; logs every message it receives.
struct Gossip : Actor {
  Gossip(std::size_t all, std::uint64_t generation, std::string* log)
      : all(all), generation(generation), log(log) {}
  void start(Context& c) override { c.set_timer(c.now() + 1, 7); }
  void message(Context& c, ActorId from, const std::string& bytes) override {
    heard = bytes;
    if (log != nullptr) {
      *log += std::to_string(c.now()) + " " + std::to_string(from) + ">" + std::to_string(c.self()) + " " +
              bytes + "\n";
    }
  }
  void timer(Context& c, std::uint64_t token) override {
    EXPECT_EQ(token, 7U);
    ++ticks;
    if (!heard.empty()) c.send(static_cast<ActorId>(c.random()() % all), heard);
    c.set_timer(c.now() + 1, 7);
  }
  std::size_t all;
  std::uint64_t generation;
  std::string* log;
  std::string heard;
  int ticks = 0;
};

Simulation::Factory gossips(std::size_t all, std::string* log = nullptr) {
  return [=](ActorId, std::uint64_t generation) { return std::make_unique<Gossip>(all, generation, log); };
}

std::string course(std::uint64_t seed) {
  std::string log;
  Simulation s(seed);
  for (int i = 0; i < 20; ++i) s.add(gossips(20, &log), static_cast<std::uint32_t>(i % 2));
  standins::LinkFaults network;
  network.delay = 0.01;
  network.jitter = 0.1;
  network.loss = 0.2;
  network.duplicate = network.corrupt = 0.1;
  s.set_network(network);
  for (ActorId i = 0; i < 20; ++i) s.start(i);
  static_cast<Gossip*>(s.actor(0))->heard = "rumour";
  s.at(5, [&] { s.pause(3); });
  s.at(8, [&] { s.resume(3); });
  s.at(6, [&] { s.kill(4); });
  s.at(9, [&] { s.start(4); });
  s.run_until(30);
  return log;
}

TEST(Simulation, OneSeedIsOneCourseToTheByte) {
  const std::string one = course(1);
  EXPECT_GT(one.size(), 1000U);
  EXPECT_EQ(one, course(1));
  EXPECT_NE(one, course(2));
}

TEST(Simulation, ProcessesStandDieAndStartAnew) {
  Simulation s(1);
  for (int i = 0; i < 2; ++i) s.add(gossips(2));
  s.start(0);
  s.start(1);
  s.pause(1);
  s.run_until(5.5);
  auto* one = static_cast<Gossip*>(s.actor(1));
  EXPECT_EQ(one->ticks, 0) << "it is paused";
  s.resume(1);
  EXPECT_EQ(one->ticks, 1) << "one timer was due";
  s.kill(0);
  EXPECT_FALSE(s.alive(0));
  s.run_until(7);
  s.start(0);
  EXPECT_EQ(static_cast<Gossip*>(s.actor(0))->generation, 1U) << "the next generation";
  s.run_until(8.5);
  EXPECT_EQ(static_cast<Gossip*>(s.actor(0))->ticks, 1) << "timers of the previous generation are dropped";
}

TEST(Simulation, WaysAreCutOneWayAndBetweenZones) {
  std::string log;
  Simulation s(1);
  for (int i = 0; i < 4; ++i) s.add(gossips(4, &log), static_cast<std::uint32_t>(i / 2));
  for (ActorId i = 0; i < 4; ++i) s.start(i);
  standins::LinkFaults cut;
  cut.cut = true;
  s.set_zones(0, 1, cut);
  s.set_link(0, 1, cut);
  static_cast<Gossip*>(s.actor(0))->heard = "x";
  s.run_until(60);
  EXPECT_TRUE(static_cast<Gossip*>(s.actor(1))->heard.empty());
  EXPECT_TRUE(static_cast<Gossip*>(s.actor(2))->heard.empty());
  s.set_link(0, 1, {});
  s.run_until(120);
  EXPECT_EQ(static_cast<Gossip*>(s.actor(1))->heard, "x");
  EXPECT_TRUE(static_cast<Gossip*>(s.actor(3))->heard.empty()) << "the zones are still cut";
  s.heal();
  s.run_until(180);
  EXPECT_EQ(static_cast<Gossip*>(s.actor(3))->heard, "x");
}

TEST(Simulation, WallClocksMayBeWrongAndTheSteadyOneIsNot) {
  struct Clock : Actor {
    void start(Context& c) override { seen = c.wall_clock() - c.now(); }
    void message(Context&, ActorId, const std::string&) override {}
    void timer(Context&, std::uint64_t) override {}
    double seen = 0;
  };
  Simulation s(1);
  for (int i = 0; i < 2; ++i) s.add([](ActorId, std::uint64_t) { return std::make_unique<Clock>(); });
  s.set_wall_clock(1, 7200);
  s.start(0);
  s.start(1);
  EXPECT_DOUBLE_EQ(static_cast<Clock*>(s.actor(1))->seen - static_cast<Clock*>(s.actor(0))->seen, 7200);
}

TEST(Simulation, TenThousandActorsHearARumour) {
  constexpr std::size_t kAll = 10'000;
  Simulation s(4);
  for (std::size_t i = 0; i < kAll; ++i) s.add(gossips(kAll));
  standins::LinkFaults network;
  network.delay = 0.005;
  network.loss = 0.1;
  s.set_network(network);
  for (ActorId i = 0; i < kAll; ++i) s.start(i);
  static_cast<Gossip*>(s.actor(0))->heard = "rumour";
  s.run_until(40);
  std::size_t heard = 0;
  for (ActorId i = 0; i < kAll; ++i) heard += static_cast<Gossip*>(s.actor(i))->heard.empty() ? 0 : 1;
  EXPECT_GT(heard, kAll * 99 / 100);
}

// ------------------------------------------------------------ the fleet

fleet::Spec fleet_of(std::size_t copies, std::size_t servers, double load) {
  fleet::Spec out;
  out.balancers = copies;
  out.servers = servers;
  out.zones = 2;
  out.between_zones = 0.001;
  out.aim = 0.3;
  out.give_up = 1;
  out.tries = 3;
  const double capacity = static_cast<double>(servers) * out.cores / out.work;
  out.tenants = {{capacity, load * capacity}};
  out.seconds = 12;
  return out;
}

std::uint64_t total(const fleet::Result& r, std::uint64_t fleet::RequestOutcomes::*what, std::size_t from,
                    std::size_t until) {
  std::uint64_t out = 0;
  for (std::size_t s = from; s < until; ++s) {
    for (const fleet::RequestOutcomes& zone : r.requests[s]) out += zone.*what;
  }
  return out;
}

TEST(Fleet, ClientsComeAgainAndEachRequestCountsOnce) {
  fleet::Spec spec = fleet_of(4, 8, 1.6);
  const fleet::Result r = fleet::play(spec);
  const auto asked = total(r, &fleet::RequestOutcomes::asked, 0, 13),
             tries = total(r, &fleet::RequestOutcomes::tries, 0, 13);
  EXPECT_EQ(asked, total(r, &fleet::RequestOutcomes::served, 0, 13) +
                       total(r, &fleet::RequestOutcomes::refused, 0, 13) +
                       total(r, &fleet::RequestOutcomes::failed, 0, 13));
  EXPECT_GT(tries, asked * 11 / 10);
  EXPECT_LE(tries, asked * 3);
  EXPECT_EQ(r.unanswered, 0U);
}

TEST(Fleet, KeepsTheRulesWhileCopiesStandAndDieAndZonesAreCut) {
  fleet::Spec spec = fleet_of(6, 12, 0.5);
  spec.balancer_faults = {{fleet::BalancerFault::Kind::kPause, 2, 2.7, 0},
                          {fleet::BalancerFault::Kind::kKill, 3, 5, 1}};
  fleet::Fault cut;
  cut.kind = fleet::FaultKind::kCut;
  cut.from = 6;
  cut.until = 8;
  cut.affected_servers.resize(spec.servers);
  cut.affected_balancers.resize(spec.balancers);
  for (std::size_t i = 0; i < spec.servers; ++i) cut.affected_servers[i] = i % 2 == 0;
  for (std::size_t i = 0; i < spec.balancers; ++i) cut.affected_balancers[i] = i % 2 == 1;
  spec.faults = {cut};
  const fleet::Result r = fleet::play(spec);
  EXPECT_EQ(r.unanswered, 0U);
  EXPECT_EQ(r.repeats_run, 0U);
  EXPECT_EQ(r.fallen_over, 0U);
  EXPECT_GT(total(r, &fleet::RequestOutcomes::served, 9, 12),
            total(r, &fleet::RequestOutcomes::asked, 9, 12) * 99 / 100)
      << "recovered";
  // Callers of a killed balancer fail for a second and then use another one.
  EXPECT_GT(total(r, &fleet::RequestOutcomes::served, 4, 5),
            total(r, &fleet::RequestOutcomes::asked, 4, 5) * 95 / 100);
}

TEST(Fleet, AZoneThatCrashesTakesItsServersAlone) {
  fleet::Spec spec = fleet_of(6, 12, 0.4);
  fleet::Fault crash;
  crash.kind = fleet::FaultKind::kCrash;
  crash.from = 3;
  crash.until = 6;
  crash.affected_servers.resize(spec.servers);
  for (std::size_t i = 0; i < spec.servers; ++i) crash.affected_servers[i] = i % 2 == 0;
  spec.faults = {crash};
  const fleet::Result r = fleet::play(spec);
  EXPECT_GT(r.dial_failed, 0U);
  EXPECT_EQ(r.repeats_run, 0U);
  EXPECT_GT(total(r, &fleet::RequestOutcomes::served, 4, 6),
            total(r, &fleet::RequestOutcomes::asked, 4, 6) * 95 / 100);
}

}  // namespace
}  // namespace nettlestand::emulator
