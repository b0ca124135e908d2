// Benchmarks of the load balancer: one request with its outcome, and one change of the server list, by the
// number of servers and balancers.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "quinceusher/balancer.h"

namespace {

namespace qu = quinceusher;

qu::Settings settings(int balancers) {
  qu::Settings s;
  s.copy_count = balancers;
  s.max_attempts = 5;
  s.can_cancel = true;
  s.max_retry_after = 2;
  s.tenants = {{1e9}};
  qu::RequestClass c;
  c.aim = 2;
  c.give_up = 6;
  c.late_worth = 0.5;
  c.effect = qu::Effect::kSafe;
  s.classes = {c};
  return s;
}

qu::Server server(std::size_t n) {
  qu::Server out;
  out.address = "10.1." + std::to_string(n / 256) + "." + std::to_string(n % 256) + ":3000";
  out.cell = static_cast<int>(n / 4);
  return out;
}

// A balancer with `servers` servers, warmed up by 20,000 requests.
struct Fleet {
  Fleet(std::size_t servers, int balancers) : balancer(settings(balancers), 1) {
    qu::MembershipUpdate all;
    for (std::size_t i = 0; i < servers; ++i) all.servers.push_back(server(i));
    balancer.handle(now, all, actions);
    for (int i = 0; i < 20000; ++i) request();
  }

  // Handles one request. 16 requests are in flight at a time; each response takes 1 ms.
  void request() {
    now += 0.00006;
    qu::Request r;
    r.id = std::to_string(++last_id);
    r.time_left = 6;
    actions.clear();
    balancer.handle(now, r, actions);
    outstanding.push_back(r.id);
    if (outstanding.size() - completed < 16) return;
    actions.clear();
    balancer.handle(now, qu::AttemptResult{outstanding[completed++], 0, qu::Outcome::kDelivered, 0.001, true},
                    actions);
    if (completed > 4096) {
      outstanding.erase(outstanding.begin(), outstanding.begin() + static_cast<std::ptrdiff_t>(completed));
      completed = 0;
    }
  }

  qu::Balancer balancer;
  std::vector<qu::Action> actions;
  std::vector<std::string> outstanding;
  std::size_t completed = 0;
  std::uint64_t last_id = 0;
  double now = 1000;
};

void request_and_outcome(benchmark::State& state) {
  Fleet fleet(static_cast<std::size_t>(state.range(0)), static_cast<int>(state.range(1)));
  for (auto _ : state) fleet.request();
}

// Removes a server or adds it again.
void server_list_change(benchmark::State& state) {
  const auto servers = static_cast<std::size_t>(state.range(0));
  Fleet fleet(servers, static_cast<int>(state.range(1)));
  std::size_t n = 0;
  for (auto _ : state) {
    qu::MembershipUpdate change;
    change.form = qu::MembershipUpdate::Form::kChanges;
    change.servers.push_back(server((n / 2 * 7919) % servers));
    if (n++ % 2 == 0) change.servers.back().state = qu::ServerState::kGone;
    fleet.actions.clear();
    fleet.balancer.handle(fleet.now, change, fleet.actions);
  }
}

void sizes(benchmark::internal::Benchmark* b) {
  for (const int balancers : {1, 100}) {
    for (const int servers : {10, 100, 1000, 10000, 100000}) b->Args({servers, balancers});
  }
}

BENCHMARK(request_and_outcome)->Apply(sizes);
BENCHMARK(server_list_change)->Apply(sizes);

}  // namespace

BENCHMARK_MAIN();
