// Measures what duties cost, and how long a duty has no holder after a fault. The results are in
// docs/measurements/duties.md.
//     nettlestand_duties_bench PART [RUNS, or clients]
// PART: gaps (in simulated time, with the default settings), processes (the same with real processes and a
// lease of 1 s), rest (idle cost), grants, log, service.
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace testing {
inline std::string TempDir() { return "/tmp/"; }
}  // namespace testing

#include "duties/client_service.h"
#include "duties/voter_service.h"
#include "tests/duties/cluster.h"
#include "tests/duties/process_setup.h"
#include "util/clock.h"

namespace nettlestand {
namespace {

using duties::Duty;
using duties::testing::Cluster;
using duties::testing::ClusterSettings;

// Prints the number of values, the median, p99, minimum and maximum.
void print_quantiles(const std::string& name, std::vector<double> values, const char* unit) {
  std::sort(values.begin(), values.end());
  const auto at = [&](double part) {
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1) + 0.5)];
  };
  if (values.empty()) return;
  std::printf("%-44s n %4zu  p50 %8.3f  p99 %8.3f  min %8.3f  max %8.3f %s\n", name.c_str(), values.size(),
              at(0.5), at(0.99), values.front(), values.back(), unit);
  std::fflush(stdout);
}

// ------------------------------------------------------------ time without a holder, simulated

// Seconds from a fault of the holder until another node holds the duty; -1 if the run is not usable.
double measure_gap(std::uint64_t seed, const std::function<void(Cluster&, std::size_t)>& inject_fault,
                   double lease) {
  ClusterSettings settings;
  settings.voters = 5;
  settings.nodes = 10;
  settings.duties = {{"d0", lease, {}, {}, {}}};
  settings.default_timeouts = true;
  Cluster cluster(settings, seed);
  if (!cluster.start()) return -1;
  for (int i = 0; i < 1000 && !cluster.all_held(); ++i) cluster.run(0.02);
  cluster.run(2 + 0.037 * static_cast<double>(seed % 100));
  const auto holder = cluster.holder("d0");
  if (!holder) return -1;
  inject_fault(cluster, *holder);
  const double from = cluster.sim.now();
  for (int i = 0; i < 6000; ++i) {
    cluster.run(0.005);
    const auto new_holder = cluster.holder("d0");
    if (new_holder && *new_holder != *holder) return cluster.sim.now() - from;
  }
  return -1;
}

void measure_gaps(int runs) {
  using emulator::ActorId;
  const auto actor = [](Cluster& cluster, std::size_t holder) {
    return static_cast<ActorId>(cluster.settings.voters + holder);
  };
  const auto cut = [actor](Cluster& cluster, std::size_t holder, bool out, bool in) {
    standins::LinkFaults way;
    way.cut = true;
    for (ActorId other = 0; other < cluster.sim.size(); ++other) {
      if (other == actor(cluster, holder)) continue;
      if (out) cluster.sim.set_link(actor(cluster, holder), other, way);
      if (in) cluster.sim.set_link(other, actor(cluster, holder), way);
    }
  };
  const std::vector<std::pair<const char*, std::function<void(Cluster&, std::size_t)>>> faults = {
      {"handed over (SIGTERM)",
       [](Cluster& cluster, std::size_t holder) {
         auto* node = cluster.node(holder);
         node->client.release_all(node->local_time(cluster.sim.now()), node->actions);
       }},
      {"killed", [actor](Cluster& cluster, std::size_t holder) { cluster.sim.kill(actor(cluster, holder)); }},
      {"stopped",
       [actor](Cluster& cluster, std::size_t holder) { cluster.sim.pause(actor(cluster, holder)); }},
      {"cut off fully", [cut](Cluster& cluster, std::size_t holder) { cut(cluster, holder, true, true); }},
      {"can send, not receive",
       [cut](Cluster& cluster, std::size_t holder) { cut(cluster, holder, false, true); }},
      {"can receive, not send",
       [cut](Cluster& cluster, std::size_t holder) { cut(cluster, holder, true, false); }},
      {"killed with the leader", [actor](Cluster& cluster, std::size_t holder) {
         cluster.sim.kill(static_cast<ActorId>(cluster.leader()->index));
         cluster.sim.kill(actor(cluster, holder));
       }}};
  for (const auto& [name, inject_fault] : faults) {
    std::vector<double> all;
    for (int i = 0; i < runs; ++i) {
      const double seconds = measure_gap(static_cast<std::uint64_t>(i) + 1, inject_fault, 5);
      if (seconds >= 0) all.push_back(seconds);
    }
    print_quantiles(std::string("lease 5 s, election 1 s: ") + name, all, "s");
  }
}

// ------------------------------------------------------------ time without a holder, with processes

void measure_process_gaps(int runs) {
  using namespace standins;
  using namespace standins::testing;
  const auto measure = [&](const char* name,
                           const std::function<void(ProcessWorld&, std::size_t, std::size_t)>& inject_fault) {
    std::vector<double> all;
    for (int run = 0; run < runs; ++run) {
      DutiesSetup setup(6, 5, 1);
      ProcessWorld world(setup.settings);
      world.start();
      add_voters(world, 5);
      if (!ProcessWorld::until([&] { return read_effects(setup).size() > 5; })) continue;
      std::size_t holder = 6;
      for (std::size_t i = 0; i < 6; ++i) {
        if (held_tokens(world, i).contains("d0")) holder = i;
      }
      if (holder == 6) continue;
      const std::string leader =
          quinceusher::json::parse(run_control_command(world, holder, "duties voters"))["leader"].GetString();
      const std::uint64_t token = read_effects(setup).back().token;
      const double from = nettlestand::now();
      inject_fault(world, holder, leader.empty() ? 0 : std::stoul(leader.substr(1)));
      double until = 0;
      ProcessWorld::until([&] {
        for (const EffectRecord& effect : read_effects(setup)) {
          if (effect.token > token) {
            until = effect.at;
            return true;
          }
        }
        return false;
      });
      if (until > 0 && !world.starvation().is_invalid) all.push_back(until - from);
    }
    print_quantiles(std::string("lease 1 s, election 0.3 s: ") + name, all, "s");
  };
  measure("handed over (SIGTERM)",
          [](ProcessWorld& world, std::size_t holder, std::size_t) { world.node(holder).signal(SIGTERM); });
  measure("killed",
          [](ProcessWorld& world, std::size_t holder, std::size_t) { world.node(holder).signal(SIGKILL); });
  measure("stopped",
          [](ProcessWorld& world, std::size_t holder, std::size_t) { world.node(holder).pause(); });
  measure("killed with the leader", [](ProcessWorld& world, std::size_t holder, std::size_t leader) {
    world.node(holder).signal(SIGKILL);
    if (leader != holder) world.node(leader).signal(SIGKILL);
  });
  const auto cut = [](ProcessWorld& world, std::size_t holder, bool out, bool in) {
    LinkFaults way;
    way.cut = true;
    for (std::size_t i = 0; i < 6; ++i) {
      if (i == holder) continue;
      if (out) world.network().begin(world.machine(holder), world.machine(i), way);
      if (in) world.network().begin(world.machine(i), world.machine(holder), way);
    }
  };
  measure("cut off fully",
          [&](ProcessWorld& world, std::size_t holder, std::size_t) { cut(world, holder, true, true); });
  measure("can send, not receive",
          [&](ProcessWorld& world, std::size_t holder, std::size_t) { cut(world, holder, false, true); });
}

// ------------------------------------------------------------ voters in this process

// A cluster of voters in this process, on loopback, with their data in a temporary directory.
struct VoterCluster {
  explicit VoterCluster(std::size_t count, unsigned election_ms = 1000, unsigned heartbeat_ms = 100) {
    std::string name = "/tmp/nettlestand_bench_XXXXXX";
    if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("no folder");
    folder = name;
    std::vector<duties::VoterOptions> all;
    for (std::size_t i = 0; i < count; ++i) {
      duties::VoterOptions options;
      options.voter.self = {"v" + std::to_string(i), i + 1, "", ""};
      options.voter.raft.election_timeout_ms = election_ms;
      options.voter.raft.heartbeat_interval_ms = heartbeat_ms;
      options.data_dir = folder + "/" + options.voter.self.name;
      std::filesystem::create_directory(options.data_dir);
      duties::SqliteStore::create(options.data_dir);
      if (i == 0) {
        duties::SqliteStore store(options.data_dir);
        duties::RaftReplica::bootstrap(store, "v0");
      }
      boost::asio::io_context probe;
      boost::asio::ip::tcp::acceptor port(probe, {boost::asio::ip::make_address("127.0.0.1"), 0});
      options.listen = port.local_endpoint();
      addresses.push_back({options.voter.self.name, options.listen});
      all.push_back(options);
    }
    for (auto& options : all) {
      options.addresses = addresses;
      services.push_back(std::make_unique<duties::VoterService>(io, options, [](const LogEvent&) {}));
      services.back()->start();
    }
    for (std::size_t i = 1; i < count; ++i) {
      bool done = false;
      for (int tries = 0; tries < 50 && !done; ++tries) {
        auto operator_client = client("operator" + std::to_string(i) + "-" + std::to_string(tries));
        bool answered = false;
        duties::Request request;
        request.kind = duties::Request::Kind::kAddVoter;
        request.target = "v" + std::to_string(i);
        operator_client->send_operator_request(
            request, [&](const std::vector<duties::Reply>&, const std::string& error) {
              answered = true;
              done = error.empty();
            });
        for (const double until = nettlestand::now() + 15; !answered && nettlestand::now() < until;)
          io.run_for(std::chrono::milliseconds(5)), io.restart();
      }
    }
  }
  ~VoterCluster() {
    services.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
  }
  std::unique_ptr<duties::ClientService> client(const std::string& name, std::vector<Duty> wants = {}) {
    duties::ClientServiceOptions options;
    options.client.lease_holder.self = {name, std::hash<std::string>()(name) | 1, "", ""};
    options.client.seed = std::hash<std::string>()(name);
    options.voters = addresses;
    auto out = std::make_unique<duties::ClientService>(io, options, [](const LogEvent&) {});
    out->start();
    for (const Duty& duty : wants) out->acquire(duty, {});
    return out;
  }
  boost::asio::io_context io;
  std::string folder;
  std::vector<duties::VoterAddress> addresses;
  std::vector<std::unique_ptr<duties::VoterService>> services;
};

// CPU time of a process, or of threads of this process.
double cpu_seconds(pid_t pid, const std::vector<pid_t>& threads = {}) {
  double out = 0;
  if (threads.empty()) {
    std::ifstream in("/proc/" + std::to_string(pid) + "/schedstat");
    double ns = 0;
    in >> ns;
    return ns * 1e-9;
  }
  for (const pid_t t : threads) {
    std::ifstream in("/proc/self/task/" + std::to_string(t) + "/schedstat");
    double ns = 0;
    in >> ns;
    out += ns * 1e-9;
  }
  return out;
}

std::vector<pid_t> threads_of_this_process() {
  std::vector<pid_t> out;
  for (const auto& e : std::filesystem::directory_iterator("/proc/self/task"))
    out.push_back(std::stoi(e.path().filename()));
  std::sort(out.begin(), out.end());
  return out;
}

// CPU and traffic of voters and clients that hold or wait for one duty.
void measure_idle_cost(std::size_t clients) {
  const auto before = threads_of_this_process();
  VoterCluster voters(5);
  std::vector<pid_t> threads;
  for (const pid_t t : threads_of_this_process()) {
    if (!std::binary_search(before.begin(), before.end(), t)) threads.push_back(t);
  }
  std::vector<std::unique_ptr<duties::ClientService>> all;
  for (std::size_t i = 0; i < clients; ++i)
    all.push_back(voters.client("c" + std::to_string(i), {{"d0", 5, {}, {}, {}}}));
  voters.io.run_for(std::chrono::seconds(5));
  const double cpu = cpu_seconds(0, threads), client_cpu = cpu_seconds(getpid()), from = nettlestand::now();
  const auto sent = [&] {
    std::uint64_t out = 0;
    for (const auto& client : all) {
      const std::string report = client->report();
      out += quinceusher::json::parse(report)["counters"]["bytes_sent"].GetUint64() +
             quinceusher::json::parse(report)["counters"]["bytes_received"].GetUint64();
    }
    return out;
  };
  const std::uint64_t bytes = sent();
  voters.io.restart();
  voters.io.run_for(std::chrono::seconds(20));
  const double seconds = nettlestand::now() - from;
  std::printf(
      "at rest, 5 voters, %zu clients, one duty: %.3f%% of a core a voter, %.4f%% a client, %.0f bytes/s a "
      "client both ways\n",
      clients, 100 * (cpu_seconds(0, threads) - cpu) / seconds / 5,
      100 * (cpu_seconds(getpid()) - client_cpu) / seconds / static_cast<double>(clients),
      static_cast<double>(sent() - bytes) / seconds / static_cast<double>(clients));
  all.clear();
}

// How many new duties are granted per second.
void measure_grant_rate(int runs) {
  std::vector<double> all;
  for (int run = 0; run < runs; ++run) {
    VoterCluster voters(3);
    std::vector<Duty> wants;
    for (int i = 0; i < 1000; ++i) wants.push_back({"d" + std::to_string(i), 30, {}, {}, {}});
    auto client = voters.client("c", wants);
    std::size_t held = 0;
    const double from = nettlestand::now();
    for (const double until = from + 60; held < 1000 && nettlestand::now() < until;) {
      voters.io.run_for(std::chrono::milliseconds(2));
      voters.io.restart();
      held = 0;
      for (const Duty& duty : wants) held += client->held_token(duty.name) ? 1 : 0;
    }
    if (held == 1000) all.push_back(1000 / (nettlestand::now() - from));
    client.reset();
  }
  print_quantiles("1,000 duties defined, granted and confirmed, 3 voters", all, "duties/s");
}

// Size of the stored log after a million changes, and the time to start on it again.
void measure_log_growth() {
  std::string folder = "/tmp/nettlestand_log_XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) return;
  duties::SqliteStore::create(folder);
  double took = 0;
  {
    duties::SqliteStore store(folder);
    duties::RaftReplica::bootstrap(store, "v0");
  }
  std::uint64_t last = 0;
  {
    duties::SqliteStore store(folder);
    duties::RaftSettings settings;
    settings.name = "v0";
    duties::RaftReplica replica(settings, store, nettlestand::now());
    replica.take_events();
    std::vector<duties::Command> batch;
    duties::Command define;
    define.kind = duties::Command::Kind::kDefine;
    define.duty = {"d0", 5, {}, {}, {}};
    replica.propose(nettlestand::now(), {define});
    const double from = nettlestand::now();
    duties::Token token = 0;
    for (int i = 0; i < 500000; ++i) {
      duties::Command grant, release;
      grant.name = release.name = "d0";
      grant.node = {"n0", 1, "a", "west"};
      grant.token = token++;
      release.kind = duties::Command::Kind::kRelease;
      release.token = token;
      batch.push_back(grant);
      batch.push_back(release);
      if (batch.size() == 200) {
        replica.propose(nettlestand::now(), batch);
        replica.take_events();
        batch.clear();
      }
    }
    took = nettlestand::now() - from;
    last = replica.table().last_token();
  }
  double size = 0;
  for (const auto& file : std::filesystem::directory_iterator(folder))
    size += static_cast<double>(file.file_size());
  const double from = nettlestand::now();
  duties::SqliteStore store(folder);
  duties::RaftSettings settings;
  settings.name = "v0";
  duties::RaftReplica replica(settings, store, nettlestand::now());
  const double reopened = nettlestand::now() - from;
  std::printf(
      "a million changes in batches of 200: %.1f s (%.0f changes/s), %.2f MB of files, last token %llu; "
      "started on again in %.3f s\n",
      took, 1e6 / took, size / 1e6, static_cast<unsigned long long>(last), reopened);
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
}

// Success rate and p99 of requests with duties and reports enabled and disabled, alternating.
void measure_service_impact(int runs) {
  using namespace standins;
  using namespace standins::testing;
  std::vector<double> on, off, on_p99, off_p99;
  for (int run = 0; run < runs; ++run) {
    for (const bool enabled : {run % 2 == 0, run % 2 != 0}) {
      DutiesSetup setup(5, enabled ? 3 : 0, enabled ? 2 : 0);
      if (!enabled) setup.settings.duties.clear();
      if (enabled)
        setup.settings.duties +=
            "[report]\nbook = \"" + setup.shared_directory.path + "/report.db\"\nperiod_ms = 1000\n";
      setup.settings.load.rate = 400;
      setup.settings.seed = static_cast<std::uint64_t>(run) + 1;
      ProcessWorld world(setup.settings);
      world.start();
      if (enabled) add_voters(world, 3);
      world.play("", 5);
      const Timeline timeline = world.finish();
      if (world.starvation().is_invalid) continue;
      std::vector<double> times;
      std::size_t served = 0;
      for (const CallRecord& call : timeline.evidence.calls) {
        if (call.status != 200) continue;
        ++served;
        times.push_back(call.answered_at - call.sent_at);
      }
      std::sort(times.begin(), times.end());
      (enabled ? on : off)
          .push_back(static_cast<double>(served) / static_cast<double>(timeline.evidence.calls.size()));
      if (!times.empty()) (enabled ? on_p99 : off_p99).push_back(times[times.size() * 99 / 100] * 1000);
    }
  }
  print_quantiles("served, duties and report on", on, "");
  print_quantiles("served, off", off, "");
  print_quantiles("p99, duties and report on", on_p99, "ms");
  print_quantiles("p99, off", off_p99, "ms");
}

}  // namespace
}  // namespace nettlestand

int main(int argc, char** argv) {
  const std::string part = argc > 1 ? argv[1] : "";
  const int runs = argc > 2 ? std::atoi(argv[2]) : 100;
  using namespace nettlestand;
  if (part == "gaps")
    measure_gaps(runs);
  else if (part == "processes")
    measure_process_gaps(runs);
  else if (part == "rest")
    measure_idle_cost(static_cast<std::size_t>(runs));
  else if (part == "grants")
    measure_grant_rate(runs);
  else if (part == "log")
    measure_log_growth();
  else if (part == "service")
    measure_service_impact(runs);
  else
    return std::fprintf(stderr, "gaps|processes|rest|grants|log|service [RUNS, or clients]\n"), 2;
  return 0;
}
