// Runs soak tests and prints the violations that they find:
// nettlestand-soak [--from SEED] [--seeds N] [--seconds S] [--core N] [--edges N] [--stores N] [--engines N]
// [--clients N] [--program FILE]
#include <popt.h>

#include <iostream>

#include "soak/soak.h"

using namespace nettlestand::tier::soak;

namespace {

struct Options {
  char* program = nullptr;
  long from = 1, seeds = 1, seconds = 30, core = 3, edges = 2, stores = 3, engines = 4, clients = 12;
};

SoakOptions soak_options(const Options& options, std::uint64_t seed) {
  SoakOptions out;
  out.program = options.program != nullptr ? options.program : PROGRAM;
  out.seed = seed;
  out.seconds = static_cast<int>(options.seconds);
  out.core = static_cast<std::size_t>(options.core);
  out.edges = static_cast<std::size_t>(options.edges);
  out.stores = static_cast<std::size_t>(options.stores);
  out.engines = static_cast<std::size_t>(options.engines);
  out.clients = static_cast<std::size_t>(options.clients);
  return out;
}

void print(std::uint64_t seed, const SoakReport& report) {
  const Oracle::Totals& totals = report.totals;
  std::cout << "seed " << seed << (profile_of(seed) == Profile::kPlanned ? " planned" : " all") << ": "
            << totals.requests << " requests, " << totals.served << " served, " << totals.rejected
            << " refused, " << totals.unanswered << " unanswered, " << totals.jobs << " jobs, "
            << totals.results << " results, " << report.signals << " signals, " << report.changes
            << " changes, " << report.violations.size() << " violations" << std::endl;
  for (const auto& [kind, count] : report.violation_counts)
    std::cout << "  " << count << " x " << kind << std::endl;
  for (const std::string& line : report.violations) std::cout << "  " << line << std::endl;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  const poptOption table[] = {
      {"program", 0, POPT_ARG_STRING, &options.program, 0, "program to test instead of the one of this build",
       "FILE"},
      {"from", 0, POPT_ARG_LONG, &options.from, 0, "first seed", "SEED"},
      {"seeds", 0, POPT_ARG_LONG, &options.seeds, 0, "number of seeds", "N"},
      {"seconds", 0, POPT_ARG_LONG, &options.seconds, 0, "duration of the faults per seed", "S"},
      {"core", 0, POPT_ARG_LONG, &options.core, 0, "edge nodes that replicate the control state", "N"},
      {"edges", 0, POPT_ARG_LONG, &options.edges, 0, "other edge nodes", "N"},
      {"stores", 0, POPT_ARG_LONG, &options.stores, 0, "store nodes", "N"},
      {"engines", 0, POPT_ARG_LONG, &options.engines, 0, "model servers", "N"},
      {"clients", 0, POPT_ARG_LONG, &options.clients, 0, "clients of live requests", "N"},
      POPT_AUTOHELP{nullptr, 0, 0, nullptr, 0, nullptr, nullptr}};
  poptContext context = poptGetContext("nettlestand-soak", argc, const_cast<const char**>(argv), table, 0);
  const bool valid_arguments = poptGetNextOpt(context) == -1;
  poptFreeContext(context);
  if (!valid_arguments) return 2;
  std::size_t failed_seeds = 0;
  for (long seed = options.from; seed < options.from + options.seeds; ++seed) {
    const SoakReport report = run_soak(soak_options(options, static_cast<std::uint64_t>(seed)));
    print(static_cast<std::uint64_t>(seed), report);
    failed_seeds += report.violations.empty() ? 0 : 1;
  }
  std::cout << options.seeds << " seeds, " << failed_seeds << " broken" << std::endl;
  return failed_seeds == 0 ? 0 : 1;
}
