// How soon a server that fails is left out, and one that is back has its share: one of ten servers is faulty
// for 10 s, before one copy and before ten. Prints a line a fault; simulated time, so the same each time.
#include <algorithm>
#include <cstdio>
#include <vector>

#include "emulator/fleet.h"

namespace fleet = nettlestand::fleet;
using quinceusher::Effect;

namespace {

constexpr double kFrom = 10, kUntil = 20, kEnd = 40;

double rate(const std::vector<double>& at, double from, double until) {
  return static_cast<double>(std::lower_bound(at.begin(), at.end(), until) -
                             std::lower_bound(at.begin(), at.end(), from)) /
         (until - from);
}

// The first time from which on the rate over `window` s holds what is wanted, until `limit`.
template <class Holds>
double first(const std::vector<double>& at, double from, double limit, double window, Holds&& holds) {
  for (double t = from; t < limit; t += 0.05) {
    if (holds(rate(at, t, t + window))) return t - from;
  }
  return -1;
}

}  // namespace

int main() {
  struct Kind {
    const char* name;
    fleet::FaultKind kind;
    double factor;
  };
  const Kind kinds[] = {{"refuses connects", fleet::FaultKind::kRefuse, 1},
                        {"connects hang", fleet::FaultKind::kHangConnect, 1},
                        {"takes and never answers", fleet::FaultKind::kSilent, 1},
                        {"resets after the request", fleet::FaultKind::kReset, 1},
                        {"answers errors", fleet::FaultKind::kError, 1},
                        {"ten times slower", fleet::FaultKind::kSlow, 10}};
  std::printf(
      "| fault | copies | effect | attempts that met it in the first second, later a second | under a tenth "
      "of its "
      "share after s | half its share again after s | most in a second after, of its share | served |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const Kind& kind : kinds) {
    for (const std::size_t copies : {1U, 10U}) {
      for (const Effect effect : {Effect::kSafe, Effect::kUnsafe}) {
        fleet::Spec spec;
        spec.copies = copies;
        spec.work = 0.01;
        spec.aim = 0.5;
        spec.give_up = 1.5;
        spec.effect = effect;
        for (int i = 0; i < 4; ++i) spec.tenants.push_back({500, 250});  // half of capacity
        spec.seconds = kEnd;
        spec.keep_times = true;
        spec.faults = {{kFrom, kUntil, 0, 1, kind.kind, kind.factor}};
        const fleet::Result r = fleet::play(spec);
        const std::vector<double>& at = r.sent_at[0];
        const double share = rate(at, 2, kFrom);
        const double out = first(at, kFrom, kUntil, 1, [&](double now) { return now < share / 10; });
        const double back = first(at, kUntil, kEnd - 1, 1, [&](double now) { return now > share / 2; });
        double most = 0;
        for (double t = kUntil; t < kEnd - 1; t += 0.1) most = std::max(most, rate(at, t, t + 1) / share);
        std::printf("| %s | %zu | %s | %.0f, %.1f | %.2f | %.2f | %.2f | %.4f |\n", kind.name, copies,
                    effect == Effect::kSafe ? "safe" : "unsafe", rate(at, kFrom, kFrom + 1),
                    rate(at, kFrom + 1, kUntil), out, back, most, r.all.served_part());
      }
    }
  }
  return 0;
}
