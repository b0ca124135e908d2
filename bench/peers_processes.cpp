// Measures the membership protocol with real processes and default timings: how soon the death of a killed
// node is known, and what an idle node costs.
//   nettlestand_peers_processes NODE NODES DEATHS [REST_S]
#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "lab/result.h"
#include "standins/world/world.h"

using namespace nettlestand::standins;

namespace {

double maximum(const std::vector<double>& all) {
  return all.empty() ? std::nan("") : *std::max_element(all.begin(), all.end());
}

std::size_t count_occurrences(const std::string& log, const std::string& what) {
  std::size_t out = 0;
  for (std::size_t at = 0; (at = log.find(what, at)) != std::string::npos; at += what.size()) ++out;
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) return 2;
  WorldSettings s;
  s.binary = argv[1];
  s.nodes = static_cast<std::size_t>(std::atoi(argv[2]));
  s.peers = true;
  s.servers = 1;
  s.node.classes = {{"safe", "safe", "all", 0, 0.5, 1, 0.5}};
  s.process.operator_file = "[log]\nrepeats = 0\n";
  const int deaths = std::atoi(argv[3]);
  const double idle_seconds = argc > 4 ? std::atof(argv[4]) : 20;
  ProcessWorld w(s);
  w.start();
  const auto alive_events = [&](std::size_t of, std::size_t whom) {
    return count_occurrences(w.node(of).log(),
                             "\"event\":\"member_alive\",\"member\":\"n" + std::to_string(whom) + "\"") +
           count_occurrences(w.node(of).log(),
                             "\"event\":\"member_described\",\"member\":\"n" + std::to_string(whom) + "\"");
  };
  const double from = now();
  const bool joined = ProcessWorld::until([&] {
    for (std::size_t i = 0; i < s.nodes; ++i) {
      for (std::size_t j = 0; j < s.nodes; ++j) {
        if (i != j && alive_events(i, j) == 0) return false;
      }
    }
    return true;
  });
  const double joining_seconds = now() - from;
  std::this_thread::sleep_for(std::chrono::seconds(3));
  double cpu_seconds = 0;
  for (std::size_t i = 0; i < s.nodes; ++i) cpu_seconds -= w.node(i).times().run_seconds;
  std::this_thread::sleep_for(std::chrono::duration<double>(idle_seconds));
  for (std::size_t i = 0; i < s.nodes; ++i) cpu_seconds += w.node(i).times().run_seconds;
  std::vector<double> first, all;
  int incomplete = 0;
  for (int round = 0; round < deaths; ++round) {
    const std::size_t victim = static_cast<std::size_t>(round * 3 + 1) % s.nodes;
    const std::string event_text = "\"event\":\"member_dead\",\"member\":\"n" + std::to_string(victim) + "\"";
    std::vector<std::size_t> before(s.nodes);
    for (std::size_t i = 0; i < s.nodes; ++i)
      before[i] = i == victim ? 0 : count_occurrences(w.node(i).log(), event_text);
    w.end_node(victim, SIGKILL);
    const double at = now();
    double first_known = 0;
    const bool known = ProcessWorld::until([&] {
      std::size_t count = 0;
      for (std::size_t i = 0; i < s.nodes; ++i) {
        if (i != victim && count_occurrences(w.node(i).log(), event_text) > before[i]) ++count;
      }
      if (count > 0 && first_known == 0) first_known = now() - at;
      return count == s.nodes - 1;
    });
    first.push_back(first_known);
    if (known) {
      all.push_back(now() - at);
    } else {
      ++incomplete;
    }
    w.start_node(victim);
    w.node(victim).await_ready();
    std::this_thread::sleep_for(std::chrono::milliseconds(1500 + 130 * (round % 7)));
  }
  std::printf("| %zu | %s%.2f | %.2f, %.2f | %.2f, %.2f | %d of %d | %.3f%% |\n", s.nodes,
              joined ? "" : "not within ", joining_seconds, nettlestand::lab::quantile(first, 0.5),
              maximum(first), nettlestand::lab::quantile(all, 0.5), maximum(all), incomplete, deaths,
              100 * cpu_seconds / idle_seconds / static_cast<double>(s.nodes));
}
