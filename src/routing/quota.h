// Tenants' quotas, leased from one owner to the nodes by demand. Both halves decide only.
//
// The owner refills a bucket for each tenant and grants tokens against the nodes' requests; a request that
// runs costs the node one token. What a node holds beyond its need goes back with its next poll. A node that
// the owner does not hear may fall back on a fixed part of the rate, so the owner sets that part aside
// meanwhile.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "control/configuration.h"
#include "messaging/messages.h"

namespace nettlestand::tier {

// A node falls back on its fixed part after this long without an answer of the owner.
Millis quota_fallback_ms(std::size_t edges);
// The owner counts a node as out of touch after this long, which is sooner.
Millis quota_missing_ms(std::size_t edges);
// How often an edge node asks: with many nodes each asks less often.
Millis edge_poll_ms(std::size_t edges);

struct QuotaBounds {
  double window_s = 5;
  double overage = 0.1;
  double slack = 20;

  // What a window allows beyond the steady rate, as tokens are refilled.
  double spare_tokens(const Tenant& tenant) const;
  // How many of a tenant's tokens one of so many nodes may hold unused: a sudden flood uses all of them at
  // once, so together they have to fit into what is spare. 0: a node asks for each request.
  double max_held(const Tenant& tenant, std::size_t nodes) const;
};

class QuotaOwner {
 public:
  // `succeeds`: another owner may have granted tokens just before, so that the buckets start nearly empty.
  QuotaOwner(QuotaBounds bounds, bool is_successor) : bounds_(bounds), is_successor_(is_successor) {}
  // `reachable`: the part of the nodes, 0 to 1, that the owner hears.
  std::vector<TokenGrant> grant(Millis now, const Configuration& configuration, double reachable,
                                std::size_t nodes, const std::vector<TokenRequest>& requests);

 private:
  struct Bucket {
    double tokens = 0;
    Millis refilled_at = 0;
  };
  double bucket_depth(const Tenant& tenant, std::size_t nodes) const;
  QuotaBounds bounds_;
  bool is_successor_;
  std::map<std::string, Bucket> buckets_;
};

class QuotaLease {
 public:
  enum class Result { kTaken, kWait, kDenied };
  explicit QuotaLease(QuotaBounds bounds = {}) : bounds_(bounds) {}
  // kWait: a grant may come within moments.
  Result acquire(Millis now, const Tenant& tenant);
  // What to ask for, and to give back, with the next poll.
  std::vector<TokenRequest> requests(Millis now);
  // `asked_at`: when the poll was sent that is answered. A grant that comes so late that this node has fallen
  // back on its fixed part meanwhile is passed over: the owner has counted it as used.
  void on_grants(Millis now, Millis asked_at, const std::vector<TokenGrant>& grants, std::size_t edges);
  // Whether a tenant ran out of tokens that a poll may bring.
  bool is_urgent() const { return urgent_; }

 private:
  struct HeldTokens {
    double tokens = 0;
    double rate = 0;                // requests per second, smoothed
    double max_unused = 0;          // that this node may hold unused
    std::size_t requests_seen = 0;  // since the last request for tokens
    std::size_t waiting = 0;
    Millis measured_at = 0;
    Millis exhausted_until = 0;
    Millis fallback_at = 0;
  };
  QuotaBounds bounds_;
  std::map<std::string, HeldTokens> held_;
  std::size_t edges_ = 1;
  Millis last_grant_at_ = 0;
  bool urgent_ = false;
};

}  // namespace nettlestand::tier
