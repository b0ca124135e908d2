// Tenant quotas over many nodes: never more than the bounds allow, and hardly less than the limit.
#include "routing/quota.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

using namespace nettlestand::tier;

namespace {

constexpr QuotaBounds kBounds{5, 0.1, 20};

std::shared_ptr<const Configuration> configuration_with(double rate, double burst) {
  const std::string text =
      "{\"generation\":1,\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"],\"rate_per_s\":" +
      std::to_string(rate) + ",\"burst\":" + std::to_string(burst) + "}]}";
  auto parsed = Configuration::parse(text);
  REQUIRE(parsed.ok());
  return *parsed;
}

struct QuotaRun {
  std::size_t most_in_window = 0, taken = 0, asked = 0;
};

// Nodes that ask an owner for tokens, some of which lose contact with it, and owners with successors.
QuotaRun play(std::uint64_t seed, double rate, double burst, double demand, std::size_t nodes, bool faults) {
  std::mt19937_64 random(seed);
  const auto configuration = configuration_with(rate, burst);
  const Tenant& tenant = *configuration->tenant_named("t");
  std::vector<QuotaLease> leases(nodes, QuotaLease(kBounds));
  std::vector<Millis> next_poll(nodes), heard(nodes, -100000), cut_until(nodes, -1);
  QuotaOwner owner(kBounds, false);
  std::deque<Millis> window;
  std::vector<std::pair<std::size_t, Millis>> waiting;  // node, and until when
  constexpr Millis kWaitMs = 120;
  QuotaRun out;
  const auto length = static_cast<Millis>(kBounds.window_s * 1000);
  const Millis swing_ms = faults ? 4000 : 40000;
  for (Millis now = 1000; now < 41000; now += 5) {
    if (faults && random() % 2000 == 0) owner = QuotaOwner(kBounds, true);
    if (faults && random() % 400 == 0)
      cut_until[random() % nodes] = now + static_cast<Millis>(random() % 4000);
    for (std::size_t i = 0; i < nodes; ++i) {
      const bool due = now >= next_poll[i] || leases[i].is_urgent();
      if (due && now >= cut_until[i]) {
        next_poll[i] = now + edge_poll_ms(nodes);
        heard[i] = now;
        std::size_t reachable = 0;
        for (const Millis at : heard) reachable += at + quota_missing_ms(nodes) > now ? 1 : 0;
        leases[i].on_grants(
            now, now,
            owner.grant(now, *configuration, static_cast<double>(reachable) / static_cast<double>(nodes),
                        nodes, leases[i].requests(now)),
            nodes);
      }
    }
    // Uneven: the first nodes get more, and demand swings, so that buckets fill before each flood.
    const double now_demand = demand * (now / swing_ms % 2 == 0 ? 1.9 : 0.1);
    const auto call = [&](std::size_t node, Millis until) {
      switch (leases[node].acquire(now, tenant)) {
        case QuotaLease::Result::kTaken:
          ++out.taken;
          window.push_back(now);
          return;
        case QuotaLease::Result::kWait:
          if (now < until) waiting.emplace_back(node, until);
          return;
        case QuotaLease::Result::kDenied:
          return;
      }
    };
    std::vector<std::pair<std::size_t, Millis>> again;
    again.swap(waiting);
    for (const auto& [node, until] : again) call(node, until);
    // Calls come in bursts, and wait a moment for a grant.
    constexpr int kClump = 5;
    for (double due = now_demand * 0.005 / kClump; due > 0; due -= 1) {
      if (due < 1 && static_cast<double>(random() % 1000) / 1000 > due) break;
      const std::size_t node = std::min(random() % nodes, random() % nodes);
      out.asked += kClump;
      for (int i = 0; i < kClump; ++i) call(node, now + kWaitMs);
    }
    while (!window.empty() && window.front() + length <= now) window.pop_front();
    out.most_in_window = std::max(out.most_in_window, window.size());
  }
  return out;
}

double allowed(double rate, double burst) {
  return (rate * kBounds.window_s + burst) * (1 + kBounds.overage) + kBounds.slack;
}

}  // namespace

TEST_CASE("no window holds more than the bounds allow, whatever is cut off and whoever owns the quota") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    const double rate = seed % 3 == 0 ? 20 : seed % 3 == 1 ? 81 : 300;
    const double burst = seed % 2 == 0 ? rate : rate / 4;
    const std::size_t nodes = seed % 4 == 0 ? 30 : 10;
    INFO("seed " << seed << " rate " << rate << " burst " << burst << " nodes " << nodes);
    const QuotaRun run = play(seed, rate, burst, rate * 6, nodes, true);
    CHECK(static_cast<double>(run.most_in_window) <= allowed(rate, burst));
  }
}

// Nodes collect tokens while a tenant asks for little; then a flood comes to all of them at once.
TEST_CASE("what many nodes hold unused fits into a window beside the rate") {
  const std::size_t nodes = GENERATE(10, 30, 81, 340);
  const double rate = GENERATE(30.0, 56.0, 81.0, 330.0);
  INFO("nodes " << nodes << " rate " << rate);
  const auto configuration = configuration_with(rate, rate);
  const Tenant& tenant = *configuration->tenant_named("t");
  std::vector<QuotaLease> leases(nodes, QuotaLease(kBounds));
  QuotaOwner owner(kBounds, false);
  const auto poll = [&](Millis now, QuotaLease& lease) {
    lease.on_grants(now, now, owner.grant(now, *configuration, 1, nodes, lease.requests(now)), nodes);
  };
  std::vector<int> waits(nodes);
  const Millis flood = 30000, end = flood + static_cast<Millis>(kBounds.window_s * 1000);
  double taken = 0;
  for (Millis now = 1000; now < end; now += 25) {
    for (std::size_t i = 0; i < nodes; ++i) {
      const bool due = (now / 25 + static_cast<Millis>(i)) % (edge_poll_ms(nodes) / 25) == 0;
      if (due || leases[i].is_urgent()) poll(now, leases[i]);
      // One request in five seconds, which waits a moment for a token; then as many as there are tokens.
      const bool asks = now >= flood || waits[i] > 0 || (now / 25 + static_cast<Millis>(i)) % 200 == 0;
      if (!asks) continue;
      const auto result = leases[i].acquire(now, tenant);
      waits[i] = result == QuotaLease::Result::kWait && waits[i] < 5 ? waits[i] + 1 : 0;
      if (now < flood || result != QuotaLease::Result::kTaken) continue;
      do ++taken;
      while (leases[i].acquire(now, tenant) == QuotaLease::Result::kTaken);
    }
  }
  CHECK(taken <= allowed(rate, rate));
  CHECK(taken >= 0.9 * rate * kBounds.window_s);
}

TEST_CASE("a tenant far over its limit gets nearly all of it") {
  const QuotaRun run = play(5, 81, 81, 600, 10, false);
  CHECK(static_cast<double>(run.taken) >= 0.97 * 81 * 40);
}

TEST_CASE("a tenant well below its limit is hardly ever refused") {
  const QuotaRun run = play(6, 81, 81, 24, 10, false);
  CHECK(static_cast<double>(run.taken) >= 0.97 * static_cast<double>(run.asked));
}

// A leader with a congested link receives the polls and answers them seconds later.
TEST_CASE("a grant that comes after the node fell back on its fixed part is not used as well") {
  const auto configuration = configuration_with(40, 40);
  const Tenant& tenant = *configuration->tenant_named("t");
  QuotaLease lease;
  TokenGrant grant{};
  grant.tenant = "t";
  grant.granted = 30;
  lease.on_grants(1000, 990, {grant}, 10);
  std::size_t taken = 0;
  while (lease.acquire(1000, tenant) == QuotaLease::Result::kTaken) ++taken;
  CHECK(taken == 30);
  const Millis late = 1000 + quota_fallback_ms(10) + 600;
  lease.on_grants(late, 1010, {grant}, 10);
  taken = 0;
  while (lease.acquire(late, tenant) == QuotaLease::Result::kTaken) ++taken;
  CHECK(taken <= 3);  // of the fixed part
}

TEST_CASE("a tenant without a limit needs no tokens") {
  QuotaLease lease;
  Tenant tenant;
  tenant.name = "free";
  for (int i = 0; i < 1000; ++i) REQUIRE(lease.acquire(5, tenant) == QuotaLease::Result::kTaken);
  CHECK(lease.requests(10).empty());
}
