#include "soak/soak.h"

#include <atomic>
#include <memory>
#include <thread>

#include "soak/clients.h"
#include "soak/operators.h"

namespace nettlestand::tier::soak {
namespace {

// For the start of the tier, and for the jobs to finish after the faults.
constexpr int kReadyTimeoutMs = 60000;
constexpr Millis kJobsTimeoutMs = 40000;
// Between two events of a response.
constexpr int kEventIntervalMs = 2;
constexpr Millis kMillisPerSecond = 1000;

standins::TierOptions world_options(const SoakOptions& options) {
  standins::TierOptions out;
  out.program = options.program;
  out.core = options.core;
  out.plain_edges = options.edges;
  out.stores = options.stores;
  out.engines = options.engines;
  out.more_settings =
      "[log]\nlevel = \"debug\"\n[bounds]\ngrace_s = 8\nglobal_revocation = true\nrevoke_ms = 5000\n";
  return out;
}

bool all_ready(const standins::TierWorld& world) {
  return standins::until(kReadyTimeoutMs, [&world] {
    for (std::size_t node = 0; node < world.edges(); ++node) {
      if (!world.ready(node)) return false;
    }
    return true;
  });
}

// The requests that all servers received.
std::vector<standins::ReceivedRequest> recorded_runs(standins::TierWorld& world) {
  std::vector<standins::ReceivedRequest> out;
  for (std::size_t i = 0; i < world.engines(); ++i) {
    const std::vector<standins::ReceivedRequest> seen = world.engine(i).received();
    out.insert(out.end(), seen.begin(), seen.end());
  }
  return out;
}

// The text of a completed item.
std::string expected_result() {
  std::string out;
  for (int i = 1; i <= standins::Engine::kDefaultEvents; ++i) {
    out += (i > 1 ? "\n" : "") + std::string("piece ") + std::to_string(i);
  }
  return out;
}

}  // namespace

Profile profile_of(std::uint64_t seed) { return seed % 2 == 0 ? Profile::kPlanned : Profile::kAll; }

SoakReport run_soak(const SoakOptions& options) {
  standins::TierWorld world(world_options(options));
  for (std::size_t i = 0; i < world.engines(); ++i) world.engine(i).set_pause_ms(kEventIntervalMs);
  Oracle oracle;
  oracle.set_expected_result(expected_result());
  FaultInjector fault_injector(world, oracle, profile_of(options.seed), options.seed);
  SoakReport report;
  std::atomic<bool> stopping{false};
  Operator config_operator(world, oracle, stopping, options.seed);
  if (!config_operator.submit_initial_configuration() || !all_ready(world)) {
    report.violations.push_back("the tier did not become ready; logs: " + world.keep_logs());
    return report;
  }
  const ClientContext context{world, oracle, stopping};
  std::vector<std::thread> threads;
  threads.emplace_back([&config_operator] { config_operator.run(); });
  std::uint64_t client_number = 0;
  for (std::size_t i = 0; i < options.clients; ++i, ++client_number) {
    threads.emplace_back(
        [=] { LiveClient(context, client_number, options.seed * 1000 + client_number).run(); });
  }
  for (std::size_t i = 0; i < options.job_clients; ++i, ++client_number) {
    threads.emplace_back(
        [=] { JobClient(context, client_number, options.seed * 1000 + client_number).run(); });
  }
  fault_injector.run(steady_now() + options.seconds * kMillisPerSecond);
  stopping = true;
  for (std::thread& thread : threads) thread.join();
  config_operator.check_final_configuration();
  if (!JobClient(context, client_number, options.seed).finish(kJobsTimeoutMs)) {
    const std::vector<SubmittedJob> unfinished = oracle.unfinished_jobs();
    if (!unfinished.empty()) oracle.report_violation("LOST: a job does not finish: " + unfinished.front().id);
  }
  const std::vector<standins::ReceivedRequest> runs = recorded_runs(world);
  config_operator.check_without_tenants();
  oracle.check(runs);
  report.violations = oracle.violations();
  report.violation_counts = oracle.violation_counts();
  report.totals = oracle.totals();
  report.signals = fault_injector.signals();
  report.changes = config_operator.changes();
  report.runs = runs.size();
  if (!report.violations.empty()) report.violations.push_back("logs: " + world.keep_logs());
  return report;
}

}  // namespace nettlestand::tier::soak
