// Who sends a request, by its API key, and whether the configuration lets it use a route. No I/O.
//
// Who a caller is follows from its key alone; whether it needs one depends on the route as well. A request
// with a tenant's key is therefore the tenant's also where no key is needed.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/configuration.h"

namespace nettlestand::tier {

// The client of a request.
struct Caller {
  std::string key;                 // as sent; empty if none was
  const Tenant* tenant = nullptr;  // that holds the key, in the configuration that was asked; null: anonymous

  // Empty for an anonymous caller.
  std::string tenant_name() const { return tenant == nullptr ? std::string() : tenant->name; }
};

// The caller of a request to a route; nothing if it has to have a tenant's key and has none.
//
// Where a route needs no key, one that no tenant holds is ignored, except for batch jobs: a job is read later
// with a key of the tenant that submitted it, and a key that nobody holds can't become such a key.
std::optional<Caller> caller_of_request(const Configuration& configuration, const Route& route,
                                        std::string_view key);

// The caller of a request about a batch job. Such a request names no route: a caller without a key may ask
// for jobs that were submitted without one. Nothing if the key is one that no tenant holds.
std::optional<Caller> caller_of_job_request(const Configuration& configuration, std::string_view key);

// The tenants under whose names a job may be kept that this caller may read and end, the likeliest first.
// Jobs that were submitted without a key are kept under the empty name and are anyone's.
std::vector<std::string> accessible_job_owners(const Caller& caller);

// Whether a request that was let in as `tenant_name`, with this key, may still be sent as that tenant's.
bool may_still_send(const Configuration& configuration, const Route& route, std::string_view key,
                    const std::string& tenant_name);

}  // namespace nettlestand::tier
