// Membership in the emulator: how soon a death is known, how often the living are accused, what it costs.
//   nettlestand_peers_bench [MINUTES [ROUNDS]]   of simulated time for the false accusations (30); deaths a
//   row (6; 0: none)
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "../tests/peers/fleet.h"

namespace {

using namespace nettlestand;
using namespace nettlestand::peers;
using peers::testing::Fleet;

double quantile(std::vector<double> all, double part) {
  if (all.empty()) return 0;
  std::sort(all.begin(), all.end());
  return all[static_cast<std::size_t>(part * static_cast<double>(all.size() - 1))];
}

Settings kind(bool plain) {
  Settings s;
  s.plain_swim = plain;
  // Plain SWIM's suspicion lasts the logarithm of the fleet in periods, times three, here as one figure.
  if (plain) s.least_doubt = s.most_doubt = 4;
  return s;
}

standins::WayFaults network(double loss) {
  standins::WayFaults out;
  out.delay = 0.001;
  out.jitter = 0.004;
  out.loss = loss;
  return out;
}

void deaths(std::size_t nodes, double loss, int rounds) {
  for (const bool plain : {true, false}) {
    std::vector<double> first, all;
    double bytes = 0, datagrams = 0, seconds = 0, join = 0;
    Fleet fleet(nodes, 5, kind(plain));
    fleet.sim.set_network(network(loss));
    fleet.start_all();
    const bool joined = fleet.converge(300);
    join = fleet.sim.now();
    fleet.said.clear();
    for (int round = 0; round < rounds && joined; ++round) {
      const auto who = static_cast<emulator::ActorId>((static_cast<std::size_t>(round) * 37 + 5) % nodes);
      fleet.sim.run_until(fleet.sim.now() + 5 + 0.13 * round);
      std::uint64_t sent = 0, messages = 0;
      for (emulator::ActorId i = 0; i < nodes; ++i) {
        sent += fleet.sim.traffic(i).bytes_sent;
        messages += fleet.sim.traffic(i).sent;
      }
      fleet.said.clear();
      const double at = fleet.sim.now();
      fleet.sim.kill(who);
      fleet.sim.run_until(at + 20);
      std::vector<double> heard;
      for (const auto& s : fleet.said) {
        if (s.change.member.key == key_of(Fleet::name(who)) && s.change.member.state == State::kDead) {
          heard.push_back(s.at - at);
        }
      }
      if (!heard.empty()) first.push_back(*std::min_element(heard.begin(), heard.end()));
      if (heard.size() >= nodes - 1) all.push_back(*std::max_element(heard.begin(), heard.end()));
      for (emulator::ActorId i = 0; i < nodes; ++i) {
        bytes += static_cast<double>(fleet.sim.traffic(i).bytes_sent);
        datagrams += static_cast<double>(fleet.sim.traffic(i).sent);
      }
      bytes -= static_cast<double>(sent);
      datagrams -= static_cast<double>(messages);
      seconds += 20 * static_cast<double>(nodes);
      fleet.sim.start(who);
      fleet.converge(60);
    }
    std::printf("| %zu | %.0f%% | %s | %.0f | %.1f, %.1f | %.1f, %.1f | %zu of %d | %.0f | %.1f |\n", nodes,
                100 * loss, plain ? "plain SWIM" : "as shipped", joined ? join : -1, quantile(first, 0.5),
                quantile(first, 0.99), quantile(all, 0.5), quantile(all, 0.99), all.size(), rounds,
                bytes / std::max(1.0, seconds), datagrams / std::max(1.0, seconds));
    std::fflush(stdout);
  }
}

enum class Trouble { kLoss, kPauses, kOneSided };

void accusations(const char* name, Trouble trouble, double loss, double minutes) {
  for (const bool plain : {true, false}) {
    constexpr std::size_t kNodes = 40;
    Fleet fleet(kNodes, 9, kind(plain));
    fleet.record = false;
    fleet.sim.set_network(network(loss));
    fleet.start_all();
    fleet.converge(300);
    std::uint64_t before = fleet.deaths_declared(), gone = 0;
    pcg64 random(4);
    standins::WayFaults cut;
    cut.cut = true;
    if (trouble == Trouble::kOneSided) {
      for (int i = 0; i < 60; ++i) {
        fleet.sim.set_way(static_cast<emulator::ActorId>(random() % kNodes),
                          static_cast<emulator::ActorId>(random() % kNodes), cut);
      }
    }
    const double until = fleet.sim.now() + minutes * 60;
    while (fleet.sim.now() < until) {
      if (trouble == Trouble::kPauses) {  // a tenth stands for a second, again and again
        std::vector<emulator::ActorId> who;
        for (std::size_t i = 0; i < kNodes / 10; ++i)
          who.push_back(static_cast<emulator::ActorId>(random() % kNodes));
        for (const auto w : who) fleet.sim.pause(w);
        fleet.sim.run_until(fleet.sim.now() + 1);
        for (const auto w : who) fleet.sim.resume(w);
        fleet.sim.run_until(fleet.sim.now() + 4);
      } else {
        fleet.sim.run_until(fleet.sim.now() + 60);
      }
    }
    gone = fleet.deaths_declared() - before;
    std::uint64_t suspicions = 0;
    for (emulator::ActorId i = 0; i < kNodes; ++i) suspicions += fleet.at(i).core.counters().suspicions;
    const double hours = minutes / 60 * kNodes;
    std::printf("| %s | %s | %.1f | %.1f | %llu |\n", name, plain ? "plain SWIM" : "as shipped", hours,
                static_cast<double>(suspicions) / hours, static_cast<unsigned long long>(gone));
    std::fflush(stdout);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const double minutes = argc > 1 ? std::atof(argv[1]) : 30;
  const int rounds = argc > 2 ? std::atoi(argv[2]) : 6;
  std::puts(
      "| nodes | lost | kind | all joined after s | first knows after s: p50, p99 | all know after s: p50, "
      "p99 | "
      "known to all within 20 s | bytes/s a node | datagrams/s a node |\n| --- | --- | --- | --- | --- | --- "
      "| "
      "--- | --- | --- |");
  for (const std::size_t nodes : {10, 100, 300}) {
    for (const double lost : {0.0, 0.25}) {
      if (rounds > 0) deaths(nodes, lost, rounds);
    }
  }
  std::puts(
      "\n| trouble | kind | node-hours | suspicions a node-hour | living declared dead |\n| --- | --- | --- "
      "| --- | --- |");
  accusations("none", Trouble::kLoss, 0, minutes);
  accusations("10% lost", Trouble::kLoss, 0.1, minutes);
  accusations("25% lost", Trouble::kLoss, 0.25, minutes);
  accusations("30% lost", Trouble::kLoss, 0.3, minutes);
  accusations("a tenth stands for 1 s each 5 s", Trouble::kPauses, 0, minutes);
  accusations("60 of 1,560 ways cut", Trouble::kOneSided, 0, minutes);
}
