#include "standins/links/way.h"

#include <algorithm>

namespace nettlestand::standins {

WayFaults join(const WayFaults& a, const WayFaults& b) {
  const auto either = [](double x, double y) { return 1 - (1 - x) * (1 - y); };
  WayFaults out;
  out.cut = a.cut || b.cut;
  out.loss = either(a.loss, b.loss);
  out.burst = std::max(a.burst, b.burst);
  out.delay = a.delay + b.delay;
  out.jitter = a.jitter + b.jitter;
  out.reorder = either(a.reorder, b.reorder);
  out.duplicate = either(a.duplicate, b.duplicate);
  out.corrupt = either(a.corrupt, b.corrupt);
  out.bandwidth = a.bandwidth == 0   ? b.bandwidth
                  : b.bandwidth == 0 ? a.bandwidth
                                     : std::min(a.bandwidth, b.bandwidth);
  return out;
}

// Two states, of which one loses all: left after `burst` messages in the mean, and entered as often as makes
// `loss` of all.
bool Way::lost() {
  if (faults_.loss <= 0) return in_burst_ = false;
  if (faults_.loss >= 1) return true;
  if (faults_.burst <= 1) return unit() < faults_.loss;
  const double leave = 1 / faults_.burst;
  const double enter = std::min(1.0, leave * faults_.loss / (1 - faults_.loss));
  in_burst_ = in_burst_ ? unit() >= leave : unit() < enter;
  return in_burst_;
}

// When its last byte is through a narrow band.
double Way::queued(double now, std::size_t bytes) {
  if (faults_.bandwidth <= 0) return now;
  free_at_ = std::max(free_at_, now) + static_cast<double>(bytes) / faults_.bandwidth;
  return free_at_;
}

std::vector<Way::Delivery> Way::datagram(double now, std::size_t bytes) {
  std::vector<Delivery> out;
  if (faults_.cut || lost()) return out;
  const std::size_t copies = faults_.duplicate > 0 && unit() < faults_.duplicate ? 2 : 1;
  for (std::size_t i = 0; i < copies; ++i) {
    Delivery one{queued(now, bytes) + faults_.delay, false};
    if (faults_.jitter > 0) one.at += faults_.jitter * unit();
    // Held back by as much again as the way takes, and 2 ms at least, so that on a quick way too others pass.
    if (faults_.reorder > 0 && unit() < faults_.reorder) {
      one.at += (1 + unit()) * std::max(0.002, faults_.delay + faults_.jitter);
    }
    one.corrupt = faults_.corrupt > 0 && unit() < faults_.corrupt;
    out.push_back(one);
  }
  return out;
}

double Way::piece(double now, std::size_t bytes, double last) {
  if (faults_.cut || faults_.loss >= 1) return kNever;
  double at = queued(now, bytes) + faults_.delay;
  if (faults_.jitter > 0) at += faults_.jitter * unit();
  for (double wait = kResend; lost(); wait *= 2) at += wait;
  return std::max(at, last);
}

double Way::handshake() {
  if (faults_.cut || faults_.loss >= 1) return kNever;
  double took = faults_.delay;
  for (double wait = kFirstResend; lost(); wait *= 2) took += wait;
  return took;
}

}  // namespace nettlestand::standins
