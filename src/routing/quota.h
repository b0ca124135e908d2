// Tenant quotas: one owner leases tokens to the nodes by demand. Both sides only decide; they do no I/O.
//
// The owner refills a bucket for each tenant and grants tokens at the nodes' requests; a request that runs
// costs its node one token. A node returns tokens beyond its need with its next poll. A node that the owner
// does not hear may fall back on a fixed share of the rate, so the owner sets that share aside meanwhile.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "control/configuration.h"
#include "messaging/messages.h"

namespace nettlestand::tier {

// Time without an answer of the owner after which a node falls back on its fixed share.
Millis quota_fallback_ms(std::size_t edges);
// Time without a poll after which the owner counts a node as missing: less than quota_fallback_ms(), so that
// the owner sets the node's fixed share aside before the node uses it.
Millis quota_missing_ms(std::size_t edges);
// Interval of an edge node's polls: with more nodes each polls less often.
Millis edge_poll_ms(std::size_t edges);

// Bounds on the requests of a tenant in any window: (rate x window + burst) x (1 + overage) + slack.
struct QuotaBounds {
  double window_s = 5;
  double overage = 0.1;
  double slack = 20;

  // Tokens that a window allows beyond the steady rate at which they are refilled.
  double spare_tokens(const Tenant& tenant) const;
  // How many unused tokens of a tenant each of `nodes` may hold: a sudden flood uses all of them at once, so
  // together they must fit into the spare tokens. 0: a node asks for each request.
  double max_held(const Tenant& tenant, std::size_t nodes) const;
};

// The owner's side: buckets that are refilled, and grants.
class QuotaOwner {
 public:
  // `is_successor`: another owner may have granted tokens just before, so the buckets start nearly empty.
  QuotaOwner(QuotaBounds bounds, bool is_successor) : bounds_(bounds), is_successor_(is_successor) {}
  // `reachable`: fraction of the nodes, 0 to 1, that the owner hears.
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

// A node's side: the tokens that it holds, and what it asks for.
class QuotaLease {
 public:
  enum class Result { kTaken, kWait, kDenied };
  explicit QuotaLease(QuotaBounds bounds = {}) : bounds_(bounds) {}
  // Takes a token for a request. kWait: a grant may come within moments.
  Result acquire(Millis now, const Tenant& tenant);
  // The tokens to request and to return with the next poll.
  std::vector<TokenRequest> requests(Millis now);
  // Takes over the answer to a poll that was sent at `asked_at`. A grant that is so late that the node has
  // fallen back on its fixed share meanwhile is dropped: the owner has counted that share as used.
  void on_grants(Millis now, Millis asked_at, const std::vector<TokenGrant>& grants, std::size_t edges);
  // Whether a tenant ran out of tokens, so that a poll should not wait.
  bool is_urgent() const { return urgent_; }

 private:
  struct HeldTokens {
    double tokens = 0;
    double rate = 0;                // requests per second, smoothed
    double max_unused = 0;          // tokens that this node may hold unused
    std::size_t requests_seen = 0;  // since `measured_at`
    std::size_t waiting = 0;        // requests since the last poll that found no token
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
