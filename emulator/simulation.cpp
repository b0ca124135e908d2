#include "emulator/simulation.h"

#include <algorithm>
#include <utility>

namespace nettlestand::emulator {
namespace {

constexpr double kEpoch = 1'700'000'000;  // s; where wall clocks start

std::uint64_t pair_of(std::uint32_t a, std::uint32_t b) { return (static_cast<std::uint64_t>(a) << 32) | b; }

}  // namespace

class Simulation::Host final : public Context {
 public:
  Host(Simulation& s, ActorId self) : s_(s), self_(self) {}
  ActorId self() const override { return self_; }
  double now() const override { return s_.now_; }
  double wall_clock() const override { return kEpoch + s_.now_ + s_.processes_[self_].wall_offset; }
  void send(ActorId to, std::string bytes) override { s_.send(self_, to, std::move(bytes)); }
  void set_timer(double at, std::uint64_t token) override {
    s_.push({std::max(at, s_.now_), 0, What::kTimer, self_, 0, s_.processes_[self_].life, token});
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
  p.actor = p.factory(who, p.life);
  p.paused = false;
  Host host(*this, who);
  p.actor->start(host);
}

void Simulation::kill(ActorId who) {
  Process& p = processes_[who];
  if (!p.actor) return;
  p.actor.reset();
  ++p.life;
  p.paused = false;
  p.waiting.clear();
  p.timers.clear();
}

void Simulation::pause(ActorId who) { processes_[who].paused = processes_[who].actor != nullptr; }

void Simulation::resume(ActorId who) {
  Process& p = processes_[who];
  if (!p.paused) return;
  p.paused = false;
  Host host(*this, who);
  // As an event loop does: first the timers that are due, then what waits in the socket.
  for (const std::uint64_t token : std::exchange(p.timers, {})) {
    if (p.actor) p.actor->timer(host, token);
  }
  for (const auto& [from, bytes] : std::exchange(p.waiting, {})) {
    if (p.actor) p.actor->message(host, from, bytes);
  }
}

void Simulation::set_way(ActorId from, ActorId to, const standins::LinkFaults& faults) {
  ways_[pair_of(from, to)] = faults;
  roads_.erase(pair_of(from, to));
}
void Simulation::set_zones(std::uint32_t from, std::uint32_t to, const standins::LinkFaults& faults) {
  zones_[pair_of(from, to)] = faults;
  roads_.clear();
}
void Simulation::heal() {
  network_ = {};
  ways_.clear();
  zones_.clear();
  roads_.clear();
}

standins::LinkModel& Simulation::way(ActorId from, ActorId to) {
  standins::LinkFaults all = network_;
  if (const auto it = ways_.find(pair_of(from, to)); it != ways_.end()) all = combine(all, it->second);
  if (const auto it = zones_.find(pair_of(processes_[from].zone, processes_[to].zone)); it != zones_.end()) {
    all = combine(all, it->second);
  }
  const bool has_state = (all.loss > 0 && all.burst > 1) || all.bandwidth > 0;
  standins::LinkModel* out = &plain_;
  if (has_state) {
    out = &roads_.try_emplace(pair_of(from, to), seed_ ^ (pair_of(from, to) * 0x9E3779B97F4A7C15ULL))
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
  standins::LinkModel& on = way(from, to);
  for (const standins::LinkModel::Delivery& one : on.datagram_arrivals(now_, bytes.size())) {
    std::string copy = bytes;
    if (one.corrupt && !copy.empty()) {
      const auto at = static_cast<std::size_t>(on.uniform_below(copy.size()));
      copy[at] = static_cast<char>(copy[at] ^ (1 << on.uniform_below(8)));
    }
    flying_.emplace(++last_held_, std::move(copy));
    push({one.at, 0, What::kMessage, to, from, 0, last_held_});
  }
}

void Simulation::at(double when, std::function<void()> f) {
  calls_.emplace(++last_held_, std::move(f));
  push({std::max(when, now_), 0, What::kCall, 0, 0, 0, last_held_});
}

void Simulation::run_until(double when) {
  while (!due_.empty() && due_.top().at <= when) {
    const Due next = due_.top();
    due_.pop();
    now_ = next.at;
    ++handled_;
    if (next.what == What::kCall) {
      const auto it = calls_.find(next.token);
      const auto f = std::move(it->second);
      calls_.erase(it);
      f();
      continue;
    }
    Process& p = processes_[next.who];
    Host host(*this, next.who);
    if (next.what == What::kTimer) {
      if (!p.actor || p.life != next.life) continue;
      if (p.paused) {
        p.timers.push_back(next.token);
      } else {
        p.actor->timer(host, next.token);
      }
      continue;
    }
    const auto it = flying_.find(next.token);
    const std::string bytes = std::move(it->second);
    flying_.erase(it);
    if (!p.actor) continue;
    if (p.paused) {
      if (p.waiting.size() < kSocketHolds) p.waiting.emplace_back(next.from, bytes);
      continue;
    }
    ++p.traffic.received;
    p.traffic.bytes_received += bytes.size();
    p.actor->message(host, next.from, bytes);
  }
  now_ = std::max(now_, when);
}

}  // namespace nettlestand::emulator
