#include "soak/soak.h"

#include <atomic>
#include <memory>
#include <thread>

#include "soak/clients.h"
#include "soak/operators.h"

namespace nettlestand::tier::soak {
namespace {

constexpr int kReadyMs = 60000;
constexpr Millis kFinishMs = 40000;
constexpr int kEventPauseMs = 2;
constexpr Millis kMillisPerSecond = 1000;

standins::WorldOptions world_options(const SoakOptions& options) {
  standins::WorldOptions out;
  out.program = options.program;
  out.core = options.core;
  out.plain_edges = options.edges;
  out.stores = options.stores;
  out.engines = options.engines;
  out.more_settings = "[bounds]\ngrace_s = 8\nglobal_revocation = true\nrevoke_ms = 5000\n";
  return out;
}

bool all_ready(const standins::TierWorld& world) {
  return standins::until(kReadyMs, [&world] {
    for (std::size_t node = 0; node < world.edges(); ++node) {
      if (!world.ready(node)) return false;
    }
    return true;
  });
}

std::vector<standins::SeenRequest> runs_of(standins::TierWorld& world) {
  std::vector<standins::SeenRequest> out;
  for (std::size_t i = 0; i < world.engines(); ++i) {
    const std::vector<standins::SeenRequest> seen = world.engine(i).seen();
    out.insert(out.end(), seen.begin(), seen.end());
  }
  return out;
}

std::string whole_text() {
  std::string out;
  for (int i = 1; i <= standins::Engine::kUsualEvents; ++i) {
    out += (i > 1 ? "\n" : "") + std::string("piece ") + std::to_string(i);
  }
  return out;
}

}  // namespace

Profile profile_of(std::uint64_t seed) { return seed % 2 == 0 ? Profile::kPlanned : Profile::kAll; }

SoakReport play_soak(const SoakOptions& options) {
  standins::TierWorld world(world_options(options));
  for (std::size_t i = 0; i < world.engines(); ++i) world.engine(i).set_pause_ms(kEventPauseMs);
  Ledger ledger;
  ledger.set_whole_text(whole_text());
  Disturbances disturbances(world, ledger, profile_of(options.seed), options.seed);
  SoakReport report;
  std::atomic<bool> stopping{false};
  Operator changes(world, ledger, stopping, options.seed);
  if (!changes.begin() || !all_ready(world)) {
    report.broken.push_back("the tier did not start; logs: " + world.keep_logs());
    return report;
  }
  const ClientContext context{world, ledger, stopping};
  std::vector<std::thread> threads;
  threads.emplace_back([&changes] { changes.run(); });
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < options.clients; ++i, ++number) {
    threads.emplace_back([=] { LiveClient(context, number, options.seed * 1000 + number).run(); });
  }
  for (std::size_t i = 0; i < options.job_clients; ++i, ++number) {
    threads.emplace_back([=] { JobClient(context, number, options.seed * 1000 + number).run(); });
  }
  disturbances.run(steady_now() + options.seconds * kMillisPerSecond);
  stopping = true;
  for (std::thread& thread : threads) thread.join();
  changes.finish();
  if (!JobClient(context, number, options.seed).finish(kFinishMs)) {
    const std::vector<SubmittedJob> open = ledger.open_jobs();
    if (!open.empty()) ledger.fail("LOST: a job is never done: " + open.front().id);
  }
  const std::vector<standins::SeenRequest> runs = runs_of(world);
  ledger.check(runs);
  report.broken = ledger.broken();
  report.totals = ledger.totals();
  report.signals = disturbances.signals();
  report.changes = changes.changes();
  report.runs = runs.size();
  if (!report.broken.empty()) report.broken.push_back("logs: " + world.keep_logs());
  return report;
}

}  // namespace nettlestand::tier::soak
