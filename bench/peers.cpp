// Compares membership protocols in the emulator on the same seeds: heartbeats between all nodes, plain SWIM,
// SWIM with Lifeguard, and the default protocol. Measures how soon a death is known, how often live nodes are
// suspected, the cost, and how long it takes until all nodes know each other. Datagrams are encoded and
// sealed as on the wire.
//   nettlestand_peers_bench deaths NODES LOSS SEEDS DEATHS
//   nettlestand_peers_bench accusations FAULT NODES MINUTES SEEDS [shipped]      loss:0.25, pauses, one-sided
//   nettlestand_peers_bench joining NODES LOSS SEEDS [listed]          listed: each node knows all addresses
//   nettlestand_peers_bench costs NODES SECONDS                        the nodes start with a full list
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <limits>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "../tests/peers/fleet.h"
#include "lab/result.h"

namespace {

using namespace nettlestand;
using namespace nettlestand::peers;
using peers::testing::Fleet;

// Baseline protocol: each node sends a heartbeat to all others every second, and declares a node dead after
// 5 s without one. All names are known from the start.
struct HeartbeatNode final : emulator::Actor {
  HeartbeatNode(std::size_t count, std::vector<peers::testing::RecordedChange>* changes)
      : last_heard(count, 0), dead(count), changes(changes) {}
  void start(emulator::Context& c) override {
    std::fill(last_heard.begin(), last_heard.end(), c.now());
    c.set_timer(c.now() + static_cast<double>(c.random()() % 1000) / 1000, 1);
  }
  void message(emulator::Context& c, emulator::ActorId from, const std::string&) override {
    last_heard[from] = c.now();
    dead[from] = 0;
  }
  void timer(emulator::Context& c, std::uint64_t) override {
    const std::string heartbeat(66, 'b');  // as long as a ping of SWIM
    for (emulator::ActorId i = 0; i < last_heard.size(); ++i) {
      if (i == c.self()) continue;
      c.send(i, heartbeat);
      if (!dead[i] && c.now() - last_heard[i] > 5) {
        dead[i] = 1;
        ++declared_dead;
        if (changes != nullptr) {
          Change change;
          change.member.key = member_key(Fleet::name(i));
          change.member.state = MemberState::kDead;
          changes->push_back({c.now(), c.self(), change});
        }
      }
    }
    c.set_timer(c.now() + 1, 1);
  }
  std::vector<double> last_heard;
  std::vector<char> dead;
  std::vector<peers::testing::RecordedChange>* changes;
  std::uint64_t declared_dead = 0;
};

// kShipped is the default protocol.
enum class ProtocolVariant { kHeartbeats, kSwim, kLifeguard, kShipped };
constexpr ProtocolVariant kAllVariants[] = {ProtocolVariant::kHeartbeats, ProtocolVariant::kSwim,
                                            ProtocolVariant::kLifeguard, ProtocolVariant::kShipped};
const char* name_of(ProtocolVariant kind) {
  const char* names[] = {"heartbeats", "SWIM", "with Lifeguard", "as shipped"};
  return names[static_cast<int>(kind)];
}

MembershipSettings settings(ProtocolVariant kind) {
  MembershipSettings out;
  out.protocol = kind == ProtocolVariant::kSwim        ? Protocol::kSwim
                 : kind == ProtocolVariant::kLifeguard ? Protocol::kLifeguard
                                                       : Protocol::kDefault;
  return out;
}

standins::LinkFaults link_conditions(double loss) {
  standins::LinkFaults out;
  out.delay = 0.001;
  out.jitter = 0.004;
  out.loss = loss;
  return out;
}

double quantile(std::vector<double> all, double part) { return lab::quantile(all, part); }

// Calls `f` once for each kind and seed, on all cores. Each call writes to a result of its own.
void run_in_parallel(int kinds, int seeds, const std::function<void(int kind, int seed)>& f) {
  std::atomic<int> next = 0;
  std::vector<std::thread> threads;
  const unsigned width = std::max(1U, std::thread::hardware_concurrency());
  for (unsigned t = 0; t < width; ++t) {
    threads.emplace_back([&] {
      for (int i = next++; i < kinds * seeds; i = next++) f(i / seeds, i % seeds);
    });
  }
  for (std::thread& t : threads) t.join();
}

// A fleet in which all nodes know each other from the start.
std::unique_ptr<Fleet> make_joined_fleet(ProtocolVariant kind, std::size_t nodes, double loss,
                                         std::uint64_t seed) {
  auto fleet = std::make_unique<Fleet>(0, seed, settings(kind));
  fleet->sim.set_network(link_conditions(loss));
  if (kind == ProtocolVariant::kHeartbeats) {
    for (std::size_t i = 0; i < nodes; ++i) {
      fleet->sim.add([f = fleet.get(), nodes](emulator::ActorId, std::uint64_t) {
        return std::make_unique<HeartbeatNode>(nodes, f->record ? &f->changes : nullptr);
      });
    }
    fleet->start_all();
    return fleet;
  }
  std::vector<Member> all(nodes);
  for (std::size_t i = 0; i < nodes; ++i) {
    fleet->add(1);
    all[i].key = member_key(Fleet::name(static_cast<emulator::ActorId>(i)));
    all[i].address = i + 1;
    all[i].generation = std::uint64_t{1} << 20;
  }
  std::sort(all.begin(), all.end(), [](const Member& a, const Member& b) { return a.key < b.key; });
  fleet->known = std::move(all);
  fleet->start_all();
  return fleet;
}

// Sum of a traffic counter over all nodes.
std::uint64_t total_traffic(Fleet& fleet, std::uint64_t emulator::Traffic::*counter) {
  std::uint64_t out = 0;
  for (emulator::ActorId i = 0; i < fleet.sim.size(); ++i) out += fleet.sim.traffic(i).*counter;
  return out;
}

// Kills nodes one by one and measures when the first node and when all nodes know of the death.
void measure_deaths(std::size_t nodes, double loss, int seeds, int rounds) {
  struct SeedResult {
    std::vector<double> first, all;
    double bytes = 0, datagrams = 0;
    int incomplete = 0;
  };
  std::vector<std::vector<SeedResult>> results(4, std::vector<SeedResult>(static_cast<std::size_t>(seeds)));
  run_in_parallel(4, seeds, [&](int k, int seed) {
    if (kAllVariants[k] == ProtocolVariant::kHeartbeats && nodes > 300)
      return;  // the number of datagrams grows with the square of the nodes
    SeedResult& s = results[static_cast<std::size_t>(k)][static_cast<std::size_t>(seed)];
    const auto fleet =
        make_joined_fleet(kAllVariants[k], nodes, loss, static_cast<std::uint64_t>(seed) * 31 + 5);
    fleet->sim.run_until(10);
    for (int round = 0; round < rounds; ++round) {
      const auto victim = static_cast<emulator::ActorId>((static_cast<std::size_t>(round) * 37 + 5) % nodes);
      fleet->sim.run_until(fleet->sim.now() + 3 + 0.13 * round);
      fleet->changes.clear();
      const double at = fleet->sim.now();
      const std::uint64_t bytes = total_traffic(*fleet, &emulator::Traffic::bytes_sent);
      const std::uint64_t datagrams = total_traffic(*fleet, &emulator::Traffic::sent);
      fleet->sim.kill(victim);
      fleet->sim.run_until(at + 15);
      std::vector<double> known_after(nodes, -1);
      for (const auto& one : fleet->changes) {
        if (one.change.member.key == member_key(Fleet::name(victim)) &&
            one.change.member.state == MemberState::kDead && known_after[one.observer] < 0) {
          known_after[one.observer] = one.at - at;
        }
      }
      std::vector<double> known;
      for (emulator::ActorId i = 0; i < nodes; ++i) {
        if (i != victim && known_after[i] >= 0) known.push_back(known_after[i]);
      }
      if (!known.empty()) s.first.push_back(*std::min_element(known.begin(), known.end()));
      if (known.size() == nodes - 1) {
        s.all.push_back(*std::max_element(known.begin(), known.end()));
      } else {
        ++s.incomplete;
      }
      const double node_seconds = 15 * static_cast<double>(nodes);
      s.bytes += static_cast<double>(total_traffic(*fleet, &emulator::Traffic::bytes_sent) - bytes) /
                 node_seconds / rounds;
      s.datagrams += static_cast<double>(total_traffic(*fleet, &emulator::Traffic::sent) - datagrams) /
                     node_seconds / rounds;
      fleet->sim.start(victim);
      fleet->sim.run_until(fleet->sim.now() + 6);
    }
  });
  for (int k = 0; k < 4; ++k) {
    std::vector<double> first, all, bytes, datagrams;
    int incomplete = 0;
    for (const SeedResult& s : results[static_cast<std::size_t>(k)]) {
      first.insert(first.end(), s.first.begin(), s.first.end());
      all.insert(all.end(), s.all.begin(), s.all.end());
      bytes.push_back(s.bytes);
      datagrams.push_back(s.datagrams);
      incomplete += s.incomplete;
    }
    if (first.empty()) continue;
    const lab::Estimate b = lab::estimate(bytes), d = lab::estimate(datagrams);
    std::printf("| %zu | %.0f%% | %s | %.1f, %.1f | %.1f, %.1f | %d of %d | %.0f ± %.0f | %.1f ± %.1f |\n",
                nodes, 100 * loss, name_of(kAllVariants[k]), quantile(first, 0.5), quantile(first, 0.99),
                quantile(all, 0.5), quantile(all, 0.99), incomplete, seeds * rounds, b.mean, b.half_width,
                d.mean, d.half_width);
  }
}

// Counts false suspicions and false deaths. They are false if the member was running and had been for the
// last second.
void measure_suspicions(const std::string& fault, std::size_t nodes, double minutes, int seeds,
                        bool shipped_only) {
  const double loss = fault.rfind("loss:", 0) == 0 ? std::atof(fault.c_str() + 5) : 0;
  struct SeedResult {
    double false_suspicions = 0, dead = 0, of_paused = 0, bytes = 0;
  };
  std::vector<std::vector<SeedResult>> results(4, std::vector<SeedResult>(static_cast<std::size_t>(seeds)));
  run_in_parallel(4, seeds, [&](int k, int seed) {
    if (shipped_only && kAllVariants[k] != ProtocolVariant::kShipped) return;
    SeedResult& s = results[static_cast<std::size_t>(k)][static_cast<std::size_t>(seed)];
    const auto fleet =
        make_joined_fleet(kAllVariants[k], nodes, loss, static_cast<std::uint64_t>(seed) * 17 + 9);
    pcg64 random(static_cast<std::uint64_t>(seed) + 4);
    const auto random_node = [&] { return static_cast<emulator::ActorId>(random() % nodes); };
    fleet->sim.run_until(10);
    fleet->changes.clear();
    if (fault == "one-sided") {
      standins::LinkFaults cut;
      cut.cut = true;
      for (std::size_t i = 0; i < nodes * 3 / 2; ++i) fleet->sim.set_link(random_node(), random_node(), cut);
    }
    std::vector<double> paused_until(nodes, -10);  // end of the last pause; infinite during a pause
    std::unordered_map<MemberKey, emulator::ActorId> actor_of;
    for (emulator::ActorId i = 0; i < nodes; ++i) actor_of[member_key(Fleet::name(i))] = i;
    const auto count_changes = [&] {
      for (const auto& one : fleet->changes) {
        const bool dead = one.change.member.state == MemberState::kDead;
        const bool own = kAllVariants[k] == ProtocolVariant::kHeartbeats ||
                         one.change.source == member_key(Fleet::name(one.observer));
        if (!own || (!dead && one.change.member.state != MemberState::kSuspect)) continue;
        const bool was_paused = one.at < paused_until[actor_of[one.change.member.key]] + 1;
        ++(was_paused ? s.of_paused : dead ? s.dead : s.false_suspicions);
      }
      fleet->changes.clear();
    };
    const std::uint64_t bytes = total_traffic(*fleet, &emulator::Traffic::bytes_sent);
    const double from = fleet->sim.now(), until = from + minutes * 60;
    while (fleet->sim.now() < until) {
      if (fault == "pauses") {  // a random tenth of the nodes is paused for 5 s
        std::vector<emulator::ActorId> paused;
        for (std::size_t i = 0; i < std::max<std::size_t>(1, nodes / 10); ++i)
          paused.push_back(random_node());
        for (const auto w : paused) {
          fleet->sim.pause(w);
          paused_until[w] = std::numeric_limits<double>::infinity();
        }
        fleet->sim.run_until(fleet->sim.now() + 5);
        count_changes();
        for (const auto w : paused) {
          fleet->sim.resume(w);
          paused_until[w] = fleet->sim.now();
        }
        fleet->sim.run_until(fleet->sim.now() + 10);
      } else {
        fleet->sim.run_until(fleet->sim.now() + 60);
      }
      count_changes();
    }
    const double hours = (fleet->sim.now() - from) / 3600 * static_cast<double>(nodes);
    s.dead /= hours;
    s.false_suspicions /= hours;
    s.of_paused /= hours;
    s.bytes =
        static_cast<double>(total_traffic(*fleet, &emulator::Traffic::bytes_sent) - bytes) / hours / 3600;
  });
  for (int k = 0; k < 4; ++k) {
    if (shipped_only && kAllVariants[k] != ProtocolVariant::kShipped) continue;
    std::vector<double> suspicions, dead, of_paused, bytes;
    for (const SeedResult& s : results[static_cast<std::size_t>(k)]) {
      suspicions.push_back(s.false_suspicions);
      dead.push_back(s.dead);
      of_paused.push_back(s.of_paused);
      bytes.push_back(s.bytes);
    }
    const lab::Estimate a = lab::estimate(suspicions), d = lab::estimate(dead), st = lab::estimate(of_paused),
                        b = lab::estimate(bytes);
    std::printf("| %s | %zu | %s | %.0f | %.2f ± %.2f | %.3f ± %.3f | %.0f ± %.0f | %.0f ± %.0f |\n",
                fault.c_str(), nodes, name_of(kAllVariants[k]),
                minutes / 60 * static_cast<double>(nodes) * seeds, a.mean, a.half_width, d.mean, d.half_width,
                st.mean, st.half_width, b.mean, b.half_width);
  }
}

// Time until all nodes know each other, and the traffic until then.
void measure_joining(std::size_t nodes, double loss, int seeds, bool listed) {
  std::vector<std::vector<double>> took(4), bytes(4);
  for (auto* v : {&took, &bytes}) {
    for (auto& one : *v) one.resize(static_cast<std::size_t>(seeds));
  }
  run_in_parallel(3, seeds, [&](int k, int seed) {
    ++k;  // skips heartbeats, which need no joining
    Fleet fleet(nodes, static_cast<std::uint64_t>(seed) * 13 + 3, settings(kAllVariants[k]),
                listed ? nodes : 3);
    fleet.record = false;
    fleet.sim.set_network(link_conditions(loss));
    fleet.start_all();
    const bool all = fleet.converge(300);
    const auto s = static_cast<std::size_t>(seed);
    took[static_cast<std::size_t>(k)][s] = all ? fleet.sim.now() : std::nan("");
    bytes[static_cast<std::size_t>(k)][s] =
        static_cast<double>(total_traffic(fleet, &emulator::Traffic::bytes_sent)) /
        static_cast<double>(nodes) / fleet.sim.now();
  });
  for (std::size_t k = 1; k < 4; ++k) {
    const lab::Estimate b = lab::estimate(bytes[k]);
    const auto late = std::count_if(took[k].begin(), took[k].end(), [](double t) { return std::isnan(t); });
    std::erase_if(took[k], [](double t) { return std::isnan(t); });
    const lab::Estimate t = lab::estimate(took[k]);
    std::printf("| %zu%s | %.0f%% | %s | %.1f ± %.1f | %d of %d | %.0f ± %.0f |\n", nodes,
                listed ? ", listed" : "", 100 * loss, name_of(kAllVariants[k]), t.mean, t.half_width,
                static_cast<int>(late), seeds, b.mean, b.half_width);
  }
}

// CPU time of this process.
double cpu_seconds() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
         static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) * 1e-6;
}

// Traffic and CPU time of a fleet without faults.
void measure_costs(std::size_t nodes, double seconds) {
  for (const ProtocolVariant kind : kAllVariants) {
    if (kind == ProtocolVariant::kHeartbeats && nodes > 1000) continue;
    const auto fleet = make_joined_fleet(kind, nodes, 0, 1);
    fleet->record = false;
    fleet->sim.run_until(5);
    const std::uint64_t bytes = total_traffic(*fleet, &emulator::Traffic::bytes_sent);
    const std::uint64_t datagrams = total_traffic(*fleet, &emulator::Traffic::sent);
    const double from = cpu_seconds();
    fleet->sim.run_until(5 + seconds);
    const double node_seconds = seconds * static_cast<double>(nodes);
    std::printf(
        "| %zu | %s | %.0f | %.1f | %.4f%% |\n", nodes, name_of(kind),
        static_cast<double>(total_traffic(*fleet, &emulator::Traffic::bytes_sent) - bytes) / node_seconds,
        static_cast<double>(total_traffic(*fleet, &emulator::Traffic::sent) - datagrams) / node_seconds,
        100 * (cpu_seconds() - from) / node_seconds);
    std::fflush(stdout);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::string command = argc > 1 ? argv[1] : "";
  const auto number = [&](int i, double fallback) { return argc > i ? std::atof(argv[i]) : fallback; };
  const auto count = [&](int i, double fallback) { return static_cast<std::size_t>(number(i, fallback)); };
  if (command == "deaths") {
    std::puts(
        "| nodes | lost | kind | first knows after s: p50, p99 | all know after s: p50, p99 | not all within "
        "15 s | "
        "bytes/s a node | datagrams/s a node |\n| --- | --- | --- | --- | --- | --- | --- | --- |");
    measure_deaths(count(2, 100), number(3, 0), static_cast<int>(number(4, 4)),
                   static_cast<int>(number(5, 25)));
  } else if (command == "accusations") {
    std::puts(
        "| fault | nodes | kind | node-hours | false suspicions/node-hour | live nodes declared dead/"
        "node-hour | "
        "both, of paused nodes | bytes/s per node |\n| --- | --- | --- | --- | --- | --- | --- | --- |");
    measure_suspicions(argc > 2 ? argv[2] : "loss:0", count(3, 40), number(4, 15),
                       static_cast<int>(number(5, 6)), argc > 6);
  } else if (command == "joining") {
    std::puts(
        "| nodes | lost | kind | all know all after s | not within 300 s | bytes/s a node meanwhile |\n| --- "
        "| --- | "
        "--- | --- | --- | --- |");
    measure_joining(count(2, 300), number(3, 0), static_cast<int>(number(4, 4)), argc > 5);
  } else if (command == "costs") {
    std::puts(
        "| nodes | kind | bytes/s a node | datagrams/s a node | of a core a node |\n| --- | --- | --- | --- "
        "| --- |");
    measure_costs(count(2, 1000), number(3, 20));
  } else {
    std::fprintf(stderr,
                 "usage: nettlestand_peers_bench deaths|accusations|joining|costs ...: see the source\n");
    return 2;
  }
}
