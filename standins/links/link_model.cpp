#include "standins/links/link_model.h"

#include <algorithm>

namespace nettlestand::standins {

LinkFaults combine(const LinkFaults& a, const LinkFaults& b) {
  const auto either = [](double x, double y) { return 1 - (1 - x) * (1 - y); };
  LinkFaults out;
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

// Gilbert-Elliott model with two states, of which one loses every message. That state lasts `burst` messages
// on average, and is entered often enough to lose the fraction `loss` of all messages.
bool LinkModel::draw_loss() {
  if (faults_.loss <= 0) return in_burst_ = false;
  if (faults_.loss >= 1) return true;
  if (faults_.burst <= 1) return uniform() < faults_.loss;
  const double leave = 1 / faults_.burst;
  const double enter = std::min(1.0, leave * faults_.loss / (1 - faults_.loss));
  in_burst_ = in_burst_ ? uniform() >= leave : uniform() < enter;
  return in_burst_;
}

// Time at which the last byte has been transmitted at the configured bandwidth.
double LinkModel::transmitted_at(double now, std::size_t bytes) {
  if (faults_.bandwidth <= 0) return now;
  link_free_at_ = std::max(link_free_at_, now) + static_cast<double>(bytes) / faults_.bandwidth;
  return link_free_at_;
}

std::vector<LinkModel::Delivery> LinkModel::datagram_arrivals(double now, std::size_t bytes) {
  std::vector<Delivery> out;
  if (faults_.cut || draw_loss()) return out;
  const std::size_t copies = faults_.duplicate > 0 && uniform() < faults_.duplicate ? 2 : 1;
  for (std::size_t i = 0; i < copies; ++i) {
    Delivery one{transmitted_at(now, bytes) + faults_.delay, false};
    if (faults_.jitter > 0) one.at += faults_.jitter * uniform();
    // Delays it by at least as much again as the link takes, and by no less than 2 ms, so that later
    // datagrams overtake it on a fast link too.
    if (faults_.reorder > 0 && uniform() < faults_.reorder) {
      one.at += (1 + uniform()) * std::max(0.002, faults_.delay + faults_.jitter);
    }
    one.corrupt = faults_.corrupt > 0 && uniform() < faults_.corrupt;
    out.push_back(one);
  }
  return out;
}

double LinkModel::stream_arrival(double now, std::size_t bytes, double last) {
  if (faults_.cut || faults_.loss >= 1) return kNever;
  double at = transmitted_at(now, bytes) + faults_.delay;
  if (faults_.jitter > 0) at += faults_.jitter * uniform();
  for (double wait = kRetransmitTimeout; draw_loss(); wait *= 2) at += wait;
  return std::max(at, last);
}

double LinkModel::handshake_time() {
  if (faults_.cut || faults_.loss >= 1) return kNever;
  double took = faults_.delay;
  for (double wait = kSynRetransmitTimeout; draw_loss(); wait *= 2) took += wait;
  return took;
}

}  // namespace nettlestand::standins
