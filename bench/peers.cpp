// Membership in the emulator, beside heartbeats from all to all, plain SWIM and SWIM with Lifeguard, on the
// same seeds in one run: how soon a death is known, how often the living are accused, what it costs, how long
// a fleet takes to know itself. Datagrams are encoded and sealed as on a wire.
//   nettlestand_peers_bench deaths NODES LOSS SEEDS DEATHS
//   nettlestand_peers_bench accusations TROUBLE NODES MINUTES SEEDS [shipped]    loss:0.25, pauses, one-sided
//   nettlestand_peers_bench joining NODES LOSS SEEDS [listed]          listed: each knows all addresses
//   nettlestand_peers_bench costs NODES SECONDS                        with all known from the start
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

// Each tells all others every second that it is there; who was not heard for five is dead. Names are known.
struct Heart final : emulator::Actor {
  Heart(std::size_t count, std::vector<peers::testing::RecordedChange>* changes)
      : heard(count, 0), dead(count), changes(changes) {}
  void start(emulator::Context& c) override {
    std::fill(heard.begin(), heard.end(), c.now());
    c.set_timer(c.now() + static_cast<double>(c.random()() % 1000) / 1000, 1);
  }
  void message(emulator::Context& c, emulator::ActorId from, const std::string&) override {
    heard[from] = c.now();
    dead[from] = 0;
  }
  void timer(emulator::Context& c, std::uint64_t) override {
    const std::string beat(66, 'b');  // as long as a ping
    for (emulator::ActorId i = 0; i < heard.size(); ++i) {
      if (i == c.self()) continue;
      c.send(i, beat);
      if (!dead[i] && c.now() - heard[i] > 5) {
        dead[i] = 1;
        ++declared;
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
  std::vector<double> heard;
  std::vector<char> dead;
  std::vector<peers::testing::RecordedChange>* changes;
  std::uint64_t declared = 0;
};

enum class Kinds { kHearts, kSwim, kLifeguard, kShipped };
constexpr Kinds kAll[] = {Kinds::kHearts, Kinds::kSwim, Kinds::kLifeguard, Kinds::kShipped};
const char* name_of(Kinds kind) {
  const char* names[] = {"heartbeats", "SWIM", "with Lifeguard", "as shipped"};
  return names[static_cast<int>(kind)];
}

MembershipSettings settings(Kinds kind) {
  MembershipSettings out;
  out.protocol = kind == Kinds::kSwim        ? Protocol::kSwim
                 : kind == Kinds::kLifeguard ? Protocol::kLifeguard
                                             : Protocol::kDefault;
  return out;
}

standins::WayFaults network(double loss) {
  standins::WayFaults out;
  out.delay = 0.001;
  out.jitter = 0.004;
  out.loss = loss;
  return out;
}

double quantile(std::vector<double> all, double part) { return lab::quantile(all, part); }

// One run for each kind and seed, a core each; `f` fills a place of its own.
void each(int kinds, int seeds, const std::function<void(int kind, int seed)>& f) {
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

// A fleet that knows itself, of any kind.
std::unique_ptr<Fleet> known_fleet(Kinds kind, std::size_t nodes, double loss, std::uint64_t seed) {
  auto fleet = std::make_unique<Fleet>(0, seed, settings(kind));
  fleet->sim.set_network(network(loss));
  if (kind == Kinds::kHearts) {
    for (std::size_t i = 0; i < nodes; ++i) {
      fleet->sim.add([f = fleet.get(), nodes](emulator::ActorId, std::uint64_t) {
        return std::make_unique<Heart>(nodes, f->record ? &f->changes : nullptr);
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

std::uint64_t total(Fleet& fleet, std::uint64_t emulator::Traffic::*what) {
  std::uint64_t out = 0;
  for (emulator::ActorId i = 0; i < fleet.sim.size(); ++i) out += fleet.sim.traffic(i).*what;
  return out;
}

void deaths(std::size_t nodes, double loss, int seeds, int rounds) {
  struct Seen {
    std::vector<double> first, all;
    double bytes = 0, datagrams = 0;
    int missed = 0;
  };
  std::vector<std::vector<Seen>> seen(4, std::vector<Seen>(static_cast<std::size_t>(seeds)));
  each(4, seeds, [&](int k, int seed) {
    if (kAll[k] == Kinds::kHearts && nodes > 300) return;  // as many datagrams a second as nodes squared
    Seen& s = seen[static_cast<std::size_t>(k)][static_cast<std::size_t>(seed)];
    const auto fleet = known_fleet(kAll[k], nodes, loss, static_cast<std::uint64_t>(seed) * 31 + 5);
    fleet->sim.run_until(10);
    for (int round = 0; round < rounds; ++round) {
      const auto who = static_cast<emulator::ActorId>((static_cast<std::size_t>(round) * 37 + 5) % nodes);
      fleet->sim.run_until(fleet->sim.now() + 3 + 0.13 * round);
      fleet->changes.clear();
      const double at = fleet->sim.now();
      const std::uint64_t bytes = total(*fleet, &emulator::Traffic::bytes_sent);
      const std::uint64_t datagrams = total(*fleet, &emulator::Traffic::sent);
      fleet->sim.kill(who);
      fleet->sim.run_until(at + 15);
      std::vector<double> heard(nodes, -1);
      for (const auto& one : fleet->changes) {
        if (one.change.member.key == member_key(Fleet::name(who)) &&
            one.change.member.state == MemberState::kDead && heard[one.observer] < 0) {
          heard[one.observer] = one.at - at;
        }
      }
      std::vector<double> known;
      for (emulator::ActorId i = 0; i < nodes; ++i) {
        if (i != who && heard[i] >= 0) known.push_back(heard[i]);
      }
      if (!known.empty()) s.first.push_back(*std::min_element(known.begin(), known.end()));
      if (known.size() == nodes - 1) {
        s.all.push_back(*std::max_element(known.begin(), known.end()));
      } else {
        ++s.missed;
      }
      const double spent = 15 * static_cast<double>(nodes);
      s.bytes += static_cast<double>(total(*fleet, &emulator::Traffic::bytes_sent) - bytes) / spent / rounds;
      s.datagrams +=
          static_cast<double>(total(*fleet, &emulator::Traffic::sent) - datagrams) / spent / rounds;
      fleet->sim.start(who);
      fleet->sim.run_until(fleet->sim.now() + 6);
    }
  });
  for (int k = 0; k < 4; ++k) {
    std::vector<double> first, all, bytes, datagrams;
    int missed = 0;
    for (const Seen& s : seen[static_cast<std::size_t>(k)]) {
      first.insert(first.end(), s.first.begin(), s.first.end());
      all.insert(all.end(), s.all.begin(), s.all.end());
      bytes.push_back(s.bytes);
      datagrams.push_back(s.datagrams);
      missed += s.missed;
    }
    if (first.empty()) continue;
    const lab::Estimate b = lab::estimate(bytes), d = lab::estimate(datagrams);
    std::printf("| %zu | %.0f%% | %s | %.1f, %.1f | %.1f, %.1f | %d of %d | %.0f ± %.0f | %.1f ± %.1f |\n",
                nodes, 100 * loss, name_of(kAll[k]), quantile(first, 0.5), quantile(first, 0.99),
                quantile(all, 0.5), quantile(all, 0.99), missed, seeds * rounds, b.mean, b.half, d.mean,
                d.half);
  }
}

// An accusation or a death is false where its member ran, and had run for the second before.
void accusations(const std::string& trouble, std::size_t nodes, double minutes, int seeds,
                 bool shipped_alone) {
  const double loss = trouble.rfind("loss:", 0) == 0 ? std::atof(trouble.c_str() + 5) : 0;
  struct Seen {
    double accusations = 0, dead = 0, standing = 0, bytes = 0;
  };
  std::vector<std::vector<Seen>> seen(4, std::vector<Seen>(static_cast<std::size_t>(seeds)));
  each(4, seeds, [&](int k, int seed) {
    if (shipped_alone && kAll[k] != Kinds::kShipped) return;
    Seen& s = seen[static_cast<std::size_t>(k)][static_cast<std::size_t>(seed)];
    const auto fleet = known_fleet(kAll[k], nodes, loss, static_cast<std::uint64_t>(seed) * 17 + 9);
    pcg64 random(static_cast<std::uint64_t>(seed) + 4);
    const auto anybody = [&] { return static_cast<emulator::ActorId>(random() % nodes); };
    fleet->sim.run_until(10);
    fleet->changes.clear();
    if (trouble == "one-sided") {
      standins::WayFaults cut;
      cut.cut = true;
      for (std::size_t i = 0; i < nodes * 3 / 2; ++i) fleet->sim.set_way(anybody(), anybody(), cut);
    }
    std::vector<double> stood(nodes, -10);  // until when; infinite while it stands
    std::unordered_map<MemberKey, emulator::ActorId> who_is;
    for (emulator::ActorId i = 0; i < nodes; ++i) who_is[member_key(Fleet::name(i))] = i;
    const auto look = [&] {
      for (const auto& one : fleet->changes) {
        const bool dead = one.change.member.state == MemberState::kDead;
        const bool own =
            kAll[k] == Kinds::kHearts || one.change.source == member_key(Fleet::name(one.observer));
        if (!own || (!dead && one.change.member.state != MemberState::kSuspect)) continue;
        const bool stands = one.at < stood[who_is[one.change.member.key]] + 1;
        ++(stands ? s.standing : dead ? s.dead : s.accusations);
      }
      fleet->changes.clear();
    };
    const std::uint64_t bytes = total(*fleet, &emulator::Traffic::bytes_sent);
    const double from = fleet->sim.now(), until = from + minutes * 60;
    while (fleet->sim.now() < until) {
      if (trouble == "pauses") {  // a tenth stands for 5 s, by chance
        std::vector<emulator::ActorId> who;
        for (std::size_t i = 0; i < std::max<std::size_t>(1, nodes / 10); ++i) who.push_back(anybody());
        for (const auto w : who) {
          fleet->sim.pause(w);
          stood[w] = std::numeric_limits<double>::infinity();
        }
        fleet->sim.run_until(fleet->sim.now() + 5);
        look();
        for (const auto w : who) {
          fleet->sim.resume(w);
          stood[w] = fleet->sim.now();
        }
        fleet->sim.run_until(fleet->sim.now() + 10);
      } else {
        fleet->sim.run_until(fleet->sim.now() + 60);
      }
      look();
    }
    const double hours = (fleet->sim.now() - from) / 3600 * static_cast<double>(nodes);
    s.dead /= hours;
    s.accusations /= hours;
    s.standing /= hours;
    s.bytes = static_cast<double>(total(*fleet, &emulator::Traffic::bytes_sent) - bytes) / hours / 3600;
  });
  for (int k = 0; k < 4; ++k) {
    if (shipped_alone && kAll[k] != Kinds::kShipped) continue;
    std::vector<double> accused, dead, standing, bytes;
    for (const Seen& s : seen[static_cast<std::size_t>(k)]) {
      accused.push_back(s.accusations);
      dead.push_back(s.dead);
      standing.push_back(s.standing);
      bytes.push_back(s.bytes);
    }
    const lab::Estimate a = lab::estimate(accused), d = lab::estimate(dead), st = lab::estimate(standing),
                        b = lab::estimate(bytes);
    std::printf("| %s | %zu | %s | %.0f | %.2f ± %.2f | %.3f ± %.3f | %.0f ± %.0f | %.0f ± %.0f |\n",
                trouble.c_str(), nodes, name_of(kAll[k]), minutes / 60 * static_cast<double>(nodes) * seeds,
                a.mean, a.half, d.mean, d.half, st.mean, st.half, b.mean, b.half);
  }
}

void joining(std::size_t nodes, double loss, int seeds, bool listed) {
  std::vector<std::vector<double>> took(4), bytes(4);
  for (auto* v : {&took, &bytes}) {
    for (auto& one : *v) one.resize(static_cast<std::size_t>(seeds));
  }
  each(3, seeds, [&](int k, int seed) {
    ++k;  // heartbeats know everybody
    Fleet fleet(nodes, static_cast<std::uint64_t>(seed) * 13 + 3, settings(kAll[k]), listed ? nodes : 3);
    fleet.record = false;
    fleet.sim.set_network(network(loss));
    fleet.start_all();
    const bool all = fleet.converge(300);
    const auto s = static_cast<std::size_t>(seed);
    took[static_cast<std::size_t>(k)][s] = all ? fleet.sim.now() : std::nan("");
    bytes[static_cast<std::size_t>(k)][s] =
        static_cast<double>(total(fleet, &emulator::Traffic::bytes_sent)) / static_cast<double>(nodes) /
        fleet.sim.now();
  });
  for (std::size_t k = 1; k < 4; ++k) {
    const lab::Estimate b = lab::estimate(bytes[k]);
    const auto late = std::count_if(took[k].begin(), took[k].end(), [](double t) { return std::isnan(t); });
    std::erase_if(took[k], [](double t) { return std::isnan(t); });
    const lab::Estimate t = lab::estimate(took[k]);
    std::printf("| %zu%s | %.0f%% | %s | %.1f ± %.1f | %d of %d | %.0f ± %.0f |\n", nodes,
                listed ? ", listed" : "", 100 * loss, name_of(kAll[k]), t.mean, t.half,
                static_cast<int>(late), seeds, b.mean, b.half);
  }
}

double cpu() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
         static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) * 1e-6;
}

void costs(std::size_t nodes, double seconds) {
  for (const Kinds kind : kAll) {
    if (kind == Kinds::kHearts && nodes > 1000) continue;
    const auto fleet = known_fleet(kind, nodes, 0, 1);
    fleet->record = false;
    fleet->sim.run_until(5);
    const std::uint64_t bytes = total(*fleet, &emulator::Traffic::bytes_sent);
    const std::uint64_t datagrams = total(*fleet, &emulator::Traffic::sent);
    const double from = cpu();
    fleet->sim.run_until(5 + seconds);
    const double spent = seconds * static_cast<double>(nodes);
    std::printf("| %zu | %s | %.0f | %.1f | %.4f%% |\n", nodes, name_of(kind),
                static_cast<double>(total(*fleet, &emulator::Traffic::bytes_sent) - bytes) / spent,
                static_cast<double>(total(*fleet, &emulator::Traffic::sent) - datagrams) / spent,
                100 * (cpu() - from) / spent);
    std::fflush(stdout);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::string what = argc > 1 ? argv[1] : "";
  const auto number = [&](int i, double otherwise) { return argc > i ? std::atof(argv[i]) : otherwise; };
  const auto count = [&](int i, double otherwise) { return static_cast<std::size_t>(number(i, otherwise)); };
  if (what == "deaths") {
    std::puts(
        "| nodes | lost | kind | first knows after s: p50, p99 | all know after s: p50, p99 | not all within "
        "15 s | "
        "bytes/s a node | datagrams/s a node |\n| --- | --- | --- | --- | --- | --- | --- | --- |");
    deaths(count(2, 100), number(3, 0), static_cast<int>(number(4, 4)), static_cast<int>(number(5, 25)));
  } else if (what == "accusations") {
    std::puts(
        "| trouble | nodes | kind | node-hours | false accusations a node-hour | living declared dead a "
        "node-hour | "
        "both, of those that stood | bytes/s a node |\n| --- | --- | --- | --- | --- | --- | --- | --- |");
    accusations(argc > 2 ? argv[2] : "loss:0", count(3, 40), number(4, 15), static_cast<int>(number(5, 6)),
                argc > 6);
  } else if (what == "joining") {
    std::puts(
        "| nodes | lost | kind | all know all after s | not within 300 s | bytes/s a node meanwhile |\n| --- "
        "| --- | "
        "--- | --- | --- | --- |");
    joining(count(2, 300), number(3, 0), static_cast<int>(number(4, 4)), argc > 5);
  } else if (what == "costs") {
    std::puts(
        "| nodes | kind | bytes/s a node | datagrams/s a node | of a core a node |\n| --- | --- | --- | --- "
        "| --- |");
    costs(count(2, 1000), number(3, 20));
  } else {
    std::fprintf(stderr,
                 "usage: nettlestand_peers_bench deaths|accusations|joining|costs ...: see the source\n");
    return 2;
  }
}
