#include "routing/caller.h"

namespace nettlestand::tier {
namespace {

Caller identify(const Configuration& configuration, std::string_view key) {
  return {std::string(key), configuration.tenant_by_key(key)};
}

}  // namespace

std::optional<Caller> caller_of_request(const Configuration& configuration, const Route& route,
                                        std::string_view key) {
  Caller caller = identify(configuration, key);
  if (caller.tenant != nullptr || !configuration.requires_keys()) return caller;
  const bool owns_job = route.route_class == RouteClass::kBatch;
  if (!route.is_public || (owns_job && !key.empty())) return std::nullopt;
  return caller;
}

std::optional<Caller> caller_of_job_request(const Configuration& configuration, std::string_view key) {
  Caller caller = identify(configuration, key);
  const bool is_known = caller.tenant != nullptr || key.empty() || !configuration.requires_keys();
  if (!is_known) return std::nullopt;
  return caller;
}

std::vector<std::string> accessible_job_owners(const Caller& caller) {
  const std::string anonymous;
  if (caller.tenant == nullptr) return {anonymous};
  return {caller.tenant->name, anonymous};
}

bool may_still_send(const Configuration& configuration, const Route& route, std::string_view key,
                    const std::string& tenant_name) {
  const std::optional<Caller> caller = caller_of_request(configuration, route, key);
  return caller && caller->tenant_name() == tenant_name;
}

}  // namespace nettlestand::tier
