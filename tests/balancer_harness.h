// Shared by the tests: a balancer that keeps its clock and returns the actions of each event.
#pragma once

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "quinceusher/balancer.h"

namespace quinceusher {

inline RequestClass class_of(Effect effect, DedupScope scope = DedupScope::kCell) {
  RequestClass c;
  c.aim = 2;
  c.give_up = 6;
  c.effect = effect;
  c.dedup_scope = scope;
  c.dedup_window = 4;
  return c;
}

inline Settings basic_settings(RequestClass c = class_of(Effect::kSafe)) {
  Settings s;
  s.classes = {c};
  s.max_attempts = 4;
  s.can_cancel = true;
  s.max_retry_after = 2;
  return s;
}

inline Server server(int n, int zone = 0, int cell = 0) {
  Server s;
  s.address = "s" + std::to_string(n);
  s.zone = zone;
  s.cell = cell;
  return s;
}

inline MembershipUpdate members(int count) {
  MembershipUpdate m;
  for (int i = 0; i < count; ++i) m.servers.push_back(server(i));
  return m;
}

struct TestBalancer {
  explicit TestBalancer(const Settings& settings, std::uint64_t seed = 1) : subject(settings, seed) {}

  std::vector<Action> at(double time, const Event& event) {
    now = time;
    std::vector<Action> out;
    subject.handle(now, event, out);
    return out;
  }
  std::vector<Action> request(const std::string& id, std::size_t tenant = 0, std::size_t request_class = 0) {
    Request r;
    r.id = id;
    r.tenant = tenant;
    r.request_class = request_class;
    r.time_left = 6;
    return at(now, r);
  }
  std::vector<Action> end(const std::string& id, Outcome outcome, int attempt = 0, double elapsed = 0.1) {
    return at(now, AttemptResult{id, attempt, outcome, elapsed, outcome == Outcome::kDelivered});
  }

  Balancer subject;
  double now = 0;
};

template <typename T>
std::vector<T> all(const std::vector<Action>& actions) {
  std::vector<T> out;
  for (const Action& a : actions) {
    if (const T* t = std::get_if<T>(&a)) out.push_back(*t);
  }
  return out;
}

}  // namespace quinceusher
