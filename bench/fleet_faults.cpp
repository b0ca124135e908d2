// Measures how soon a failing server is ejected, and how soon a recovered one gets its share of the load
// again. One of ten servers is faulty for 10 s, with one balancer and with ten. Prints a line per fault. Runs
// in simulated time, so the results are reproducible.
#include <algorithm>
#include <cstdio>
#include <vector>

#include "emulator/fleet.h"

namespace fleet = nettlestand::fleet;
using quinceusher::Effect;

namespace {

constexpr double kFaultStart = 10, kFaultEnd = 20, kEnd = 40;

// Attempts per second between two times; `at` is sorted.
double rate(const std::vector<double>& at, double from, double until) {
  return static_cast<double>(std::lower_bound(at.begin(), at.end(), until) -
                             std::lower_bound(at.begin(), at.end(), from)) /
         (until - from);
}

// Seconds from `from` until the rate over `window` s first satisfies `condition`; -1 if it does not until
// `limit`.
template <class Condition>
double first_time(const std::vector<double>& at, double from, double limit, double window,
                  Condition&& condition) {
  for (double t = from; t < limit; t += 0.05) {
    if (condition(rate(at, t, t + window))) return t - from;
  }
  return -1;
}

}  // namespace

int main() {
  struct FaultCase {
    const char* name;
    fleet::FaultKind kind;
    double factor;
  };
  const FaultCase fault_cases[] = {{"refuses connects", fleet::FaultKind::kRefuse, 1},
                                   {"connects hang", fleet::FaultKind::kHangConnect, 1},
                                   {"takes and never answers", fleet::FaultKind::kSilent, 1},
                                   {"resets after the request", fleet::FaultKind::kReset, 1},
                                   {"answers errors", fleet::FaultKind::kError, 1},
                                   {"ten times slower", fleet::FaultKind::kSlow, 10}};
  std::printf(
      "| fault | balancers | effect | attempts/s at the faulty server in the first second, then | "
      "below a tenth of its share after s | recovered to half its share after s | "
      "highest share in a second after recovery | served |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const FaultCase& fault_case : fault_cases) {
    for (const std::size_t balancers : {1U, 10U}) {
      for (const Effect effect : {Effect::kSafe, Effect::kUnsafe}) {
        fleet::Spec spec;
        spec.balancers = balancers;
        spec.work = 0.01;
        spec.aim = 0.5;
        spec.give_up = 1.5;
        spec.effect = effect;
        for (int i = 0; i < 4; ++i) spec.tenants.push_back({500, 250});  // half of the capacity
        spec.seconds = kEnd;
        spec.keep_times = true;
        spec.faults = {{kFaultStart, kFaultEnd, 0, 1, fault_case.kind, fault_case.factor}};
        const fleet::Result r = fleet::play(spec);
        const std::vector<double>& at = r.sent_at[0];
        const double share = rate(at, 2, kFaultStart);
        const double ejected_after =
            first_time(at, kFaultStart, kFaultEnd, 1, [&](double now) { return now < share / 10; });
        const double restored_after =
            first_time(at, kFaultEnd, kEnd - 1, 1, [&](double now) { return now > share / 2; });
        double max_share = 0;
        for (double t = kFaultEnd; t < kEnd - 1; t += 0.1)
          max_share = std::max(max_share, rate(at, t, t + 1) / share);
        std::printf("| %s | %zu | %s | %.0f, %.1f | %.2f | %.2f | %.2f | %.4f |\n", fault_case.name,
                    balancers, effect == Effect::kSafe ? "safe" : "unsafe",
                    rate(at, kFaultStart, kFaultStart + 1), rate(at, kFaultStart + 1, kFaultEnd),
                    ejected_after, restored_after, max_share, r.all.served_part());
      }
    }
  }
  return 0;
}
