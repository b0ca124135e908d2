// The operator's configuration: routes, services, tenants and limits, parsed and validated.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nettlestand::tier {

// How the requests of a route may be retried and scheduled.
enum class RouteClass : std::uint8_t { kIdempotent, kNonIdempotent, kStreaming, kBatch };

// A service and its share of a route's traffic.
struct ServiceWeight {
  std::string service;
  double weight = 1;
};

// A host and path prefix, the services behind it, and how requests to it are treated.
struct Route {
  std::string name, host, prefix;
  RouteClass route_class = RouteClass::kNonIdempotent;
  double timeout_ms = 0, target_latency_ms = 0, gap_aim_ms = 0;
  int priority = 0;
  std::vector<ServiceWeight> split;
  int max_attempts = 1;
  bool is_public = false, resumable = false;
  // For batch routes.
  double completion_target_ms = 0, max_wait_s = 0;
  std::int64_t max_queued_tokens = 0;  // 0: no limit

  // Whether a request may be executed more than once.
  bool repeatable() const {
    return route_class == RouteClass::kIdempotent || (route_class == RouteClass::kStreaming && resumable) ||
           route_class == RouteClass::kBatch;
  }
  // Picks a service by weight; `draw` is uniform in [0, 1).
  const std::string& pick_service(double draw) const;
};

// A group of interchangeable servers.
struct Service {
  std::string name, health_path;
  int max_connections = 0;
  bool is_engine = false;  // generates tokens in batches of `slots`
  int slots = 0;
};

// A customer, known by its API keys.
struct Tenant {
  std::string name;
  std::vector<std::string> keys;
  int priority = 0;
  double rate_per_s = 0, burst = 0;  // rate 0: no limit
};

// Limits on client connections and requests.
struct ClientLimits {
  std::uint64_t max_header_bytes = 16384, max_body_bytes = 4194304;
  std::int64_t header_timeout_ms = 3000, idle_timeout_ms = 15000;
};

// An immutable version of the configuration, with the lookups that request handling needs.
class Configuration {
 public:
  // An invalid configuration gives an InvalidArgumentError that names the place and the reason.
  static absl::StatusOr<std::shared_ptr<const Configuration>> parse(std::string_view json);

  // The route of the host with the longest matching path prefix; null if none matches.
  const Route* find_route(std::string_view host, std::string_view path) const;
  const Route* route_named(std::string_view name) const;
  // Null for an unknown key, and for an empty one.
  const Tenant* tenant_by_key(std::string_view key) const;
  const Tenant* tenant_named(std::string_view name) const;
  const Service* service_named(std::string_view name) const;

  std::uint64_t generation() const { return generation_; }
  const std::vector<Route>& routes() const { return routes_; }
  const std::vector<Service>& services() const { return services_; }
  const std::vector<Tenant>& tenants() const { return tenants_; }
  const ClientLimits& limits() const { return limits_; }
  // Whether clients need a tenant's key where a route is not public. An empty list of tenants, such as
  // removals leave, asks for keys that nobody has; a configuration without the list asks for none.
  bool requires_keys() const { return requires_keys_; }

 private:
  friend class ConfigurationParser;
  absl::Status build_index();

  std::uint64_t generation_ = 0;
  std::vector<Route> routes_;
  std::vector<Service> services_;
  std::vector<Tenant> tenants_;
  bool requires_keys_ = false;
  ClientLimits limits_;
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;  // longest prefix first
  std::unordered_map<std::string, std::size_t> tenant_by_key_;
};

}  // namespace nettlestand::tier
