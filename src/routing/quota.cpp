#include "routing/quota.h"

#include <algorithm>
#include <cmath>

namespace nettlestand::tier {
namespace {

constexpr double kHoldSeconds = 0.4;     // seconds of a node's present rate, in tokens that it holds unused
constexpr double kMinHeldTokens = 2;     // tokens that a node holds unused, at least
constexpr double kMaxHeldSeconds = 0.1;  // seconds of a tenant's rate that a node may hold: others need some
constexpr double kHeldShare = 0.6;     // fraction of a window's spare tokens that all nodes together may hold
constexpr double kMaxHeldShare = 0.9;  // fraction of the spare tokens held by all, if that is one a node
constexpr std::size_t kMaxWaiting = 4;       // waiting requests of a tenant that a poll asks tokens for
constexpr double kMinMeasureSeconds = 0.2;   // seconds between rate measurements; polls may come closer
constexpr double kRateSmoothing = 0.5;       // weight of the newest measurement in a rate
constexpr Millis kExhaustedMs = 120;         // ms for which a tenant at its limit is denied at once
constexpr double kDepthShare = 0.75;         // fraction of the spare tokens not held by nodes, for a bucket
constexpr double kSuccessorShare = 0.1;      // fraction of the depth a successor starts with: two owners fit
constexpr double kRefillFactor = 1.04;       // x the rate: rounding must not cost a tenant any of it
constexpr double kTypicalHeldSeconds = 0.3;  // seconds of a tenant's rate, in tokens that all nodes hold
constexpr double kFallbackDepthSeconds = 0.5;  // seconds of a node's fixed share that it may save up

constexpr Millis kMinPollMs = 250;     // ms between an edge node's polls, at least
constexpr Millis kPollMsPerEdge = 10;  // ms added to the poll interval per edge node
constexpr Millis kMaxPollMs = 900;     // ms between polls at most: several must fit into a node's lease
constexpr Millis kFallbackPolls = 3;   // poll intervals without an answer before a node uses its fixed share
constexpr Millis kMissingMarginMs = 150;  // ms by which the owner counts a node missing before its fallback

}  // namespace

Millis edge_poll_ms(std::size_t edges) {
  return std::clamp(static_cast<Millis>(edges) * kPollMsPerEdge, kMinPollMs, kMaxPollMs);
}
Millis quota_fallback_ms(std::size_t edges) { return kFallbackPolls * edge_poll_ms(edges); }
Millis quota_missing_ms(std::size_t edges) { return quota_fallback_ms(edges) - kMissingMarginMs; }

double QuotaBounds::spare_tokens(const Tenant& tenant) const {
  const double allowed = (tenant.rate_per_s * window_s + tenant.burst) * (1 + overage) + slack;
  return allowed - kRefillFactor * tenant.rate_per_s * window_s;
}

double QuotaBounds::max_held(const Tenant& tenant, std::size_t nodes) const {
  const auto count = static_cast<double>(std::max<std::size_t>(nodes, 1));
  const double wanted = std::ceil(std::max(kMinHeldTokens, tenant.rate_per_s * kMaxHeldSeconds));
  const double share = std::floor(kHeldShare * spare_tokens(tenant) / count);
  const double minimum = count <= kMaxHeldShare * spare_tokens(tenant) ? 1 : 0;
  return std::clamp(share, minimum, std::max(wanted, minimum));
}

double QuotaOwner::bucket_depth(const Tenant& tenant, std::size_t nodes) const {
  const auto count = static_cast<double>(nodes);
  const double expected = tenant.rate_per_s * kTypicalHeldSeconds + kMinHeldTokens * count;
  const double held_by_nodes = std::min(expected, bounds_.max_held(tenant, nodes) * count);
  return std::max(1.0, (bounds_.spare_tokens(tenant) - held_by_nodes) * kDepthShare);
}

std::vector<TokenGrant> QuotaOwner::grant(Millis now, const Configuration& configuration, double reachable,
                                          std::size_t nodes, const std::vector<TokenRequest>& requests) {
  std::vector<TokenGrant> out;
  for (const TokenRequest& request : requests) {
    const Tenant* tenant = configuration.tenant_named(request.tenant);
    if (tenant == nullptr || tenant->rate_per_s <= 0) continue;
    Bucket& bucket = buckets_[request.tenant];
    const double depth = bucket_depth(*tenant, nodes);
    if (bucket.refilled_at == 0) {
      bucket.refilled_at = now;
      bucket.tokens = is_successor_ ? kSuccessorShare * depth : depth;
    }
    const double elapsed = static_cast<double>(now - bucket.refilled_at) / 1000;
    bucket.refilled_at = now;
    bucket.tokens = std::min(
        depth, bucket.tokens + elapsed * kRefillFactor * tenant->rate_per_s * reachable + request.returned);
    TokenGrant grant{};
    grant.tenant = request.tenant;
    grant.granted = static_cast<std::uint32_t>(std::min<double>(request.wanted, std::floor(bucket.tokens)));
    grant.exhausted = grant.granted < request.wanted;
    bucket.tokens -= grant.granted;
    out.push_back(std::move(grant));
  }
  return out;
}

QuotaLease::Result QuotaLease::acquire(Millis now, const Tenant& tenant) {
  if (tenant.rate_per_s <= 0) return Result::kTaken;
  HeldTokens& held = held_[tenant.name];
  ++held.requests_seen;
  held.max_unused = bounds_.max_held(tenant, edges_);
  const Millis fallback_from = last_grant_at_ + quota_fallback_ms(edges_);
  if (fallback_from < now) {
    const double rate = tenant.rate_per_s / static_cast<double>(std::max<std::size_t>(edges_, 1));
    const Millis since = std::max(held.fallback_at, fallback_from);
    const double max_tokens = std::max(1.0, rate * kFallbackDepthSeconds);
    held.tokens = std::min(std::max(max_tokens, held.tokens),
                           held.tokens + rate * static_cast<double>(now - since) / 1000);
    held.fallback_at = now;
  }
  if (held.tokens >= 1) {
    held.tokens -= 1;
    return Result::kTaken;
  }
  if (now < held.exhausted_until) return Result::kDenied;
  ++held.waiting;
  urgent_ = true;
  return Result::kWait;
}

std::vector<TokenRequest> QuotaLease::requests(Millis now) {
  std::vector<TokenRequest> out;
  urgent_ = false;
  for (auto& [tenant, held] : held_) {
    const double elapsed = static_cast<double>(now - held.measured_at) / 1000;
    if (elapsed >= kMinMeasureSeconds) {
      const double measured = static_cast<double>(held.requests_seen) / std::min(elapsed, 5.0);
      held.rate += kRateSmoothing * (measured - held.rate);
      held.measured_at = now;
      held.requests_seen = 0;
    }
    // Waiting requests use their tokens at once, so these are not held.
    const double unused = std::min(std::ceil(held.rate * kHoldSeconds + kMinHeldTokens), held.max_unused);
    const double target = unused + static_cast<double>(std::min(held.waiting, kMaxWaiting));
    held.waiting = 0;
    TokenRequest request{};
    request.tenant = tenant;
    if (held.tokens < target) {
      request.wanted = static_cast<std::uint32_t>(std::ceil(target - held.tokens));
    } else {
      request.returned = static_cast<std::uint32_t>(std::floor(held.tokens - target));
      held.tokens -= request.returned;
    }
    if (request.wanted > 0 || request.returned > 0) out.push_back(std::move(request));
  }
  return out;
}

void QuotaLease::on_grants(Millis now, Millis asked_at, const std::vector<TokenGrant>& grants,
                           std::size_t edges) {
  edges_ = edges;
  if (asked_at + quota_missing_ms(edges) < now) return;
  last_grant_at_ = now;
  for (const TokenGrant& grant : grants) {
    HeldTokens& held = held_[grant.tenant];
    held.tokens += grant.granted;
    if (grant.exhausted && grant.granted == 0) held.exhausted_until = now + kExhaustedMs;
  }
}

}  // namespace nettlestand::tier
