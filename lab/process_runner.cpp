#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>

#include "lab/runners.h"
#include "standins/world/world.h"

namespace nettlestand::lab {
namespace {

namespace si = standins;

si::WorldSettings world_settings(const Setup& setup, std::uint64_t seed, const std::string& node) {
  si::WorldSettings out;
  out.binary = node;
  out.seed = seed;
  out.zones.clear();
  for (const std::string& zone : setup.zones) out.zones.push_back({zone, "r", 1});
  out.cross_zone_delay = setup.cross_zone_delay;
  out.nodes = setup.nodes;
  out.servers = setup.servers;
  out.server.cores = setup.cores;
  out.server.service_time = setup.service_time;
  out.server.exponential = setup.work_distribution == "exponential";
  out.node.classes = {{"c", setup.effect, "all", 0, setup.latency_target, setup.deadline, 0.5}};
  out.node.tenants.clear();
  out.load.tenants.clear();
  for (int i = 0; i < setup.tenants; ++i) {
    const std::string name = "t" + std::to_string(i);
    out.node.tenants.push_back({name, setup.capacity() / setup.tenants});
    out.load.tenants.push_back({name, 1});
    for (std::size_t step = 0; step < setup.steps.size(); ++step) {
      const double until = step + 1 < setup.steps.size() ? setup.steps[step + 1].first : setup.seconds;
      out.load.floods.push_back({name, setup.steps[step].second, setup.steps[step].first, until});
    }
  }
  out.node.stage = 0;  // the first tier: callers reach it directly, as in the emulator
  out.node.attempts = setup.max_attempts;
  out.peers = setup.membership_delay >= 0;
  out.node.start_capacity = setup.start_capacity;
  out.node.ramp_time = setup.ramp_time;
  out.load.classes = {{"c", setup.effect == "safe" ? si::CallEffect::kSafe : si::CallEffect::kUnsafe, 1,
                       setup.deadline, setup.latency_target, 0}};
  out.load.rate = setup.load * setup.capacity();
  out.load.max_attempts = setup.tries;
  out.load.mean_retry_delay = setup.mean_retry_delay;
  return out;
}

// A client's request with all its tries. Times are in seconds.
struct Request {
  double first_due_at = 0, answered_at = 0;
  std::size_t zone = 0;
  std::uint64_t tries = 0, attempts = 0;
  bool served = false, refused = false;
  double last_answered_at = 0;
};

Run run_once(const Setup& setup, std::uint64_t seed, const std::string& node) {
  si::ProcessWorld world(world_settings(setup, seed, node));
  world.start();
  const double started_at = si::now();
  world.play(setup.fault_script, setup.seconds);
  const si::Timeline timeline = world.finish();
  Run out;
  out.variant = setup.variant;
  out.seed = seed;
  out.is_void = world.starvation().is_invalid;
  const std::string broken = si::describe_violations(si::request_rules(world.checker_settings()), timeline);
  out.rules_broken = static_cast<std::uint64_t>(std::count(broken.begin(), broken.end(), '\n'));
  if (!broken.empty()) std::fprintf(stderr, "%s", broken.c_str());
  std::map<std::string, Request> requests;
  std::map<std::string, std::uint64_t> attempts;  // by the id of the client's try
  for (const si::AttemptRecord& attempt : timeline.evidence.attempts) ++attempts[attempt.id];
  for (const si::CallRecord& call : timeline.evidence.calls) {
    Request& r = requests[call.first_id];
    r.first_due_at = call.due_at;
    ++r.tries;
    r.attempts += attempts[call.id];
    const std::size_t member = std::stoul(call.node.substr(1));
    r.zone = member % setup.zones.size();
    if (call.end == si::CallEnd::kAnswered && call.status == 200) {
      r.served = true;
      r.answered_at = call.answered_at;
    }
    if (call.answered_at >= r.last_answered_at) {
      r.last_answered_at = call.answered_at;
      r.refused = call.end == si::CallEnd::kAnswered && (call.status == 429 || call.status == 503);
    }
  }
  std::map<std::pair<int, std::size_t>, Point> points;
  std::map<std::pair<int, std::size_t>, std::vector<double>> times;
  std::vector<double> all;
  for (const auto& [id, r] : requests) {
    const int second = static_cast<int>(std::floor(r.first_due_at - started_at));
    const bool in_aim = r.served && r.answered_at - r.first_due_at <= setup.latency_target;
    Point& p = points[{second, r.zone}];
    ++p.asked;
    p.in_aim += in_aim ? 1 : 0;
    p.refused += !r.served && r.refused ? 1 : 0;
    p.failed += !r.served && !r.refused ? 1 : 0;
    if (r.served) times[{second, r.zone}].push_back(r.answered_at - r.first_due_at);
    if (r.first_due_at - started_at < setup.count_from) continue;
    ++out.asked;
    out.in_aim += in_aim ? 1 : 0;
    out.served += r.served ? 1 : 0;
    out.refused += !r.served && r.refused ? 1 : 0;
    out.failed += !r.served && !r.refused ? 1 : 0;
    out.tries += r.tries;
    out.attempts += r.attempts;
    if (r.served) all.push_back(r.answered_at - r.first_due_at);
  }
  for (int second = 0; second < static_cast<int>(std::ceil(setup.seconds)); ++second) {
    for (std::size_t zone = 0; zone < setup.zones.size(); ++zone) {
      Point p = points[{second, zone}];
      p.second = second;
      p.zone = setup.zones[zone];
      p.p99_ms = 1000 * quantile(times[{second, zone}], 0.99);
      out.series.push_back(p);
    }
  }
  out.p50_ms = 1000 * quantile(all, 0.5);
  out.p99_ms = 1000 * quantile(all, 0.99);
  const auto [from, until] = setup.fault_window();
  out.recovery_s = recovery_time(out.series, setup.count_from, from, until, setup.seconds);
  return out;
}

}  // namespace

void check_process_support(const Setup& setup) {
  if (setup.nodes > 50) throw UnsupportedSetup("processes: 50 nodes at most");
  if (setup.nodes + setup.servers + setup.zones.size() + 1 > 250)
    throw UnsupportedSetup("processes: 250 machines at most");
  if (setup.traffic_skew > 0)
    throw UnsupportedSetup("processes: traffic.uneven is supported only by the emulator");
  if (setup.work_distribution == "uniform")
    throw UnsupportedSetup("processes: fleet.work must be exponential or fixed");
  for (const si::WorldFault& fault : setup.faults()) {
    if (si::needs_interposed_faults(fault))
      throw UnsupportedSetup("processes: '" + fault.verb +
                             "' needs interposed faults, which only tests have");
  }
}

Run run_on_processes(const Setup& setup, std::uint64_t seed, const std::string& node) {
  check_process_support(setup);
  Run out;
  for (int i = 0; i < 3; ++i) {
    out = run_once(setup, seed, node);
    if (!out.is_void) break;
    std::fprintf(stderr, "%s, seed %llu: void, the machine was too busy\n", setup.variant.c_str(),
                 static_cast<unsigned long long>(seed));
  }
  return out;
}

}  // namespace nettlestand::lab
