// Measures the cost of the test harness: connections through a simulated link compared to direct ones,
// alternating, and worlds of 3, 12 and 50 nodes.
//   nettlestand_lab_costs NODE
#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "standins/world/world.h"

namespace {

using namespace nettlestand::standins;

double process_cpu_seconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) * 1e-6;
}

// p50 and p99 in us.
struct LoadMeasurement {
  double per_s = 0, p50 = 0, p99 = 0;
};

LoadMeasurement measure_load(const Address& at, std::size_t callers, std::size_t bytes) {
  LoadSettings s;
  s.targets = {{"s0", at.port, at.ip}};
  s.callers = callers;
  s.seconds = 1;
  s.classes[0].effect = CallEffect::kUnsafe;
  s.classes[0].body_bytes = bytes;
  const LoadResult r = run_load(s);
  return {static_cast<double>(r.all.served) / r.seconds, 1e6 * r.all.latency.quantile(0.5),
          1e6 * r.all.latency.quantile(0.99)};
}

// Formats the median, the minimum and the maximum.
std::string median_and_range(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  char out[80];
  std::snprintf(out, sizeof out, "%.3g (%.3g to %.3g)", values[values.size() / 2], values.front(),
                values.back());
  return out;
}

void measure_link_cost() {
  std::puts(
      "| callers, bytes | direct calls/s | share of that through a link | added p50 us | added p99 us |\n"
      "| --- | --- | --- | --- | --- |");
  for (const auto& [callers, bytes] :
       {std::pair<std::size_t, std::size_t>{1, 100}, {16, 100}, {64, 100}, {16, 20000}}) {
    LoopThread servers, links;
    Network net(links.loop(), 1);
    const int a = net.add_machine(), b = net.add_machine();
    ServerSettings settings;
    settings.ip = net.ip(b);
    ScriptedServer server(servers.loop(), settings);
    const Address relayed = net.tcp(a, b, server.port()), direct{net.ip(b), server.port()};
    net.refresh_listeners();
    std::vector<double> per_s, relayed_share, p50, p99;
    for (int i = 0; i < 5; ++i) {
      const LoadMeasurement d = measure_load(direct, callers, bytes),
                            r = measure_load(relayed, callers, bytes);
      per_s.push_back(d.per_s);
      relayed_share.push_back(r.per_s / d.per_s);
      p50.push_back(r.p50 - d.p50);
      p99.push_back(r.p99 - d.p99);
    }
    std::printf("| %zu, %zu | %s | %s | %s | %s |\n", callers, bytes, median_and_range(per_s).c_str(),
                median_and_range(relayed_share).c_str(), median_and_range(p50).c_str(),
                median_and_range(p99).c_str());
    std::fflush(stdout);
  }
}

void measure_world_cost(const std::string& node) {
  std::puts(
      "\n| nodes, servers | start s | memory of a node KB | of the rest KB | CPU of a node, of a core | of "
      "the rest "
      "| calls/s | served | most waited for a core in 1 s |\n| --- | --- | --- | --- | --- | --- | --- | --- "
      "| --- |");
  for (const auto& [nodes, servers] : {std::pair<std::size_t, std::size_t>{3, 4}, {12, 12}, {50, 24}}) {
    WorldSettings s;
    s.binary = node;
    s.nodes = nodes;
    s.servers = servers;
    s.zones = {{"a", "r", 1}, {"b", "r", 1}, {"c", "q", 1}};
    s.cross_zone_delay = 0.001;
    s.cross_region_delay = 0.005;
    s.server.cores = 4;
    s.server.service_time = 0.004;
    s.node.tenants = {{"acme", 100000}};
    s.load.rate = 20 * static_cast<double>(nodes);
    constexpr double kSeconds = 5;
    ProcessWorld world(s);
    world.start();
    const double before = process_cpu_seconds();
    std::vector<double> ran;
    for (std::size_t i = 0; i < nodes; ++i) ran.push_back(world.node(i).times().run_seconds);
    world.play("", kSeconds);
    double cpu = 0, memory = 0;
    for (std::size_t i = 0; i < nodes; ++i) {
      cpu += (world.node(i).times().run_seconds - ran[i]) / kSeconds / static_cast<double>(nodes);
      memory += static_cast<double>(world.node(i).resident_kb()) / static_cast<double>(nodes);
    }
    const double harness_cpu = (process_cpu_seconds() - before) / kSeconds;
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const double start = world.seconds_to_start(), waited = world.starvation().max_cpu_wait;
    const Timeline t = world.finish();
    const auto served = std::count_if(t.evidence.calls.begin(), t.evidence.calls.end(),
                                      [](const CallRecord& c) { return c.status == 200; });
    std::printf("| %zu, %zu | %.2f | %.0f | %ld | %.4f | %.2f | %.0f | %.4f | %.3f |\n", nodes, servers,
                start, memory, usage.ru_maxrss, cpu, harness_cpu, s.load.rate,
                static_cast<double>(served) / static_cast<double>(t.evidence.calls.size()), waited);
    std::fflush(stdout);
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fprintf(stderr, "nettlestand_lab_costs: give the node's program\n");
    return 2;
  }
  measure_link_cost();
  measure_world_cost(argv[1]);
}
