// A minimal consumer of the installed library: one server, one request, one decision.
#include <iostream>
#include <variant>
#include <vector>

#include "quinceusher/balancer.h"

int main() {
  quinceusher::Settings settings;
  quinceusher::RequestClass lookup;
  lookup.aim = 0.5;
  lookup.give_up = 2;
  lookup.effect = quinceusher::Effect::kSafe;
  settings.classes = {lookup};
  settings.max_attempts = 3;

  quinceusher::Balancer balancer(settings, 42);
  std::vector<quinceusher::Action> actions;
  quinceusher::MembershipUpdate members;
  members.servers.push_back({.address = "10.0.0.1:80"});
  balancer.handle(0.0, members, actions);
  balancer.handle(0.1, quinceusher::Request{.id = "r1", .time_left = 2}, actions);
  for (const quinceusher::Action& action : actions) {
    if (const auto* send = std::get_if<quinceusher::Send>(&action)) {
      std::cout << send->id << " -> " << send->server << ", time-out " << send->timeout << " s\n";
      return 0;
    }
  }
  std::cerr << "no send\n";
  return 1;
}
