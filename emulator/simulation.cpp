#include "emulator/simulation.h"

#include <algorithm>
#include <utility>

namespace nettlestand::emulator {
namespace {

constexpr double kEpoch = 1'700'000'000;  // s; wall-clock time at simulated time 0

std::uint64_t link_key(std::uint32_t a, std::uint32_t b) { return (static_cast<std::uint64_t>(a) << 32) | b; }

}  // namespace

class Simulation::ProcessContext final : public Context {
 public:
  ProcessContext(Simulation& s, ActorId self) : s_(s), self_(self) {}
  ActorId self() const override { return self_; }
  double now() const override { return s_.now_; }
  double wall_clock() const override { return kEpoch + s_.now_ + s_.processes_[self_].wall_offset; }
  void send(ActorId to, std::string bytes) override { s_.send(self_, to, std::move(bytes)); }
  void set_timer(double at, std::uint64_t token) override {
    s_.push({std::max(at, s_.now_), 0, EventKind::kTimer, self_, 0, s_.processes_[self_].generation, token});
  }
  pcg64& random() override { return s_.processes_[self_].random; }

 private:
  Simulation& s_;
  const ActorId self_;
};

ActorId Simulation::add(Factory factory, std::uint32_t zone) {
  const auto id = static_cast<ActorId>(processes_.size());
  processes_.emplace_back();
  processes_.back().factory = std::move(factory);
  processes_.back().zone = zone;
  processes_.back().random = pcg64(seed_, id);
  return id;
}

void Simulation::start(ActorId who) {
  Process& p = processes_[who];
  if (p.actor) return;
  p.actor = p.factory(who, p.generation);
  p.paused = false;
  ProcessContext host(*this, who);
  p.actor->start(host);
}

void Simulation::kill(ActorId who) {
  Process& p = processes_[who];
  if (!p.actor) return;
  p.actor.reset();
  ++p.generation;
  p.paused = false;
  p.waiting.clear();
  p.timers.clear();
}

void Simulation::pause(ActorId who) { processes_[who].paused = processes_[who].actor != nullptr; }

void Simulation::resume(ActorId who) {
  Process& p = processes_[who];
  if (!p.paused) return;
  p.paused = false;
  ProcessContext host(*this, who);
  // In the order of an event loop: first the timers that are due, then the queued datagrams.
  for (const std::uint64_t token : std::exchange(p.timers, {})) {
    if (p.actor) p.actor->timer(host, token);
  }
  for (const auto& [from, bytes] : std::exchange(p.waiting, {})) {
    if (p.actor) p.actor->message(host, from, bytes);
  }
}

void Simulation::set_link(ActorId from, ActorId to, const standins::LinkFaults& faults) {
  link_faults_[link_key(from, to)] = faults;
  stateful_links_.erase(link_key(from, to));
}
void Simulation::set_zones(std::uint32_t from, std::uint32_t to, const standins::LinkFaults& faults) {
  zone_faults_[link_key(from, to)] = faults;
  stateful_links_.clear();
}
void Simulation::heal() {
  network_ = {};
  link_faults_.clear();
  zone_faults_.clear();
  stateful_links_.clear();
}

standins::LinkModel& Simulation::link_model(ActorId from, ActorId to) {
  standins::LinkFaults all = network_;
  if (const auto it = link_faults_.find(link_key(from, to)); it != link_faults_.end())
    all = combine(all, it->second);
  if (const auto it = zone_faults_.find(link_key(processes_[from].zone, processes_[to].zone));
      it != zone_faults_.end()) {
    all = combine(all, it->second);
  }
  const bool has_state = (all.loss > 0 && all.burst > 1) || all.bandwidth > 0;
  standins::LinkModel* out = &stateless_link_;
  if (has_state) {
    out =
        &stateful_links_.try_emplace(link_key(from, to), seed_ ^ (link_key(from, to) * 0x9E3779B97F4A7C15ULL))
             .first->second;
  }
  out->set(all);
  return *out;
}

void Simulation::send(ActorId from, ActorId to, std::string bytes) {
  Process& p = processes_[from];
  ++p.traffic.sent;
  p.traffic.bytes_sent += bytes.size();
  if (to >= processes_.size()) return;
  standins::LinkModel& on = link_model(from, to);
  for (const standins::LinkModel::Delivery& one : on.datagram_arrivals(now_, bytes.size())) {
    std::string copy = bytes;
    if (one.corrupt && !copy.empty()) {
      const auto at = static_cast<std::size_t>(on.uniform_below(copy.size()));
      copy[at] = static_cast<char>(copy[at] ^ (1 << on.uniform_below(8)));
    }
    messages_in_flight_.emplace(++last_token_, std::move(copy));
    push({one.at, 0, EventKind::kMessage, to, from, 0, last_token_});
  }
}

void Simulation::at(double when, std::function<void()> f) {
  callbacks_.emplace(++last_token_, std::move(f));
  push({std::max(when, now_), 0, EventKind::kCall, 0, 0, 0, last_token_});
}

void Simulation::run_until(double when) {
  while (!event_queue_.empty() && event_queue_.top().at <= when) {
    const ScheduledEvent next = event_queue_.top();
    event_queue_.pop();
    now_ = next.at;
    ++handled_;
    if (next.what == EventKind::kCall) {
      const auto it = callbacks_.find(next.token);
      const auto f = std::move(it->second);
      callbacks_.erase(it);
      f();
      continue;
    }
    Process& p = processes_[next.who];
    ProcessContext host(*this, next.who);
    if (next.what == EventKind::kTimer) {
      if (!p.actor || p.generation != next.generation) continue;
      if (p.paused) {
        p.timers.push_back(next.token);
      } else {
        p.actor->timer(host, next.token);
      }
      continue;
    }
    const auto it = messages_in_flight_.find(next.token);
    const std::string bytes = std::move(it->second);
    messages_in_flight_.erase(it);
    if (!p.actor) continue;
    if (p.paused) {
      if (p.waiting.size() < kMaxQueuedDatagrams) p.waiting.emplace_back(next.from, bytes);
      continue;
    }
    ++p.traffic.received;
    p.traffic.bytes_received += bytes.size();
    p.actor->message(host, next.from, bytes);
  }
  now_ = std::max(now_, when);
}

}  // namespace nettlestand::emulator
