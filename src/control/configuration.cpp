#include "control/configuration.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <set>

namespace nettlestand::tier {
namespace {

using Json = rapidjson::Value;

absl::Status invalid_argument(std::string_view where, std::string_view what) {
  return absl::InvalidArgumentError(std::string(where) + ": " + std::string(what));
}

const Json* member(const Json& object, const char* name) {
  const auto found = object.FindMember(name);
  return found == object.MemberEnd() || found->value.IsNull() ? nullptr : &found->value;
}

bool read(const Json& object, const char* name, std::string& out) {
  const Json* value = member(object, name);
  if (value == nullptr || !value->IsString()) return false;
  out.assign(value->GetString(), value->GetStringLength());
  return true;
}

bool read(const Json& object, const char* name, double& out) {
  const Json* value = member(object, name);
  if (value == nullptr) return true;
  if (!value->IsNumber()) return false;
  out = value->GetDouble();
  return out >= 0;
}

template <class Integer>
bool read_integer(const Json& object, const char* name, Integer& out) {
  const Json* value = member(object, name);
  if (value == nullptr) return true;
  if (!value->IsNumber() || value->GetDouble() < 0) return false;
  out = static_cast<Integer>(value->GetDouble());
  return true;
}

bool read(const Json& object, const char* name, bool& out) {
  const Json* value = member(object, name);
  if (value == nullptr) return true;
  if (!value->IsBool()) return false;
  out = value->GetBool();
  return true;
}

absl::StatusOr<RouteClass> parse_route_class(const std::string& text) {
  if (text == "idempotent") return RouteClass::kIdempotent;
  if (text == "non_idempotent") return RouteClass::kNonIdempotent;
  if (text == "streaming") return RouteClass::kStreaming;
  if (text == "batch") return RouteClass::kBatch;
  return invalid_argument("route_class", "unknown: " + text);
}

bool is_prefix(const std::string& prefix) {
  return !prefix.empty() && prefix.front() == '/' && prefix.back() == '/';
}

}  // namespace

// Parses the JSON of a configuration.
class ConfigurationParser {
 public:
  explicit ConfigurationParser(Configuration& out) : out_(out) {}

  absl::Status parse(const Json& document) {
    if (!document.IsObject()) return invalid_argument("configuration", "not an object");
    const Json* generation = member(document, "generation");
    if (generation == nullptr || !generation->IsUint64())
      return invalid_argument("generation", "not a whole number");
    out_.generation_ = generation->GetUint64();
    if (absl::Status s =
            for_each_object(document, "services", [this](const Json& j) { return parse_service(j); });
        !s.ok())
      return s;
    if (absl::Status s =
            for_each_object(document, "routes", [this](const Json& j) { return parse_route(j); });
        !s.ok())
      return s;
    if (absl::Status s =
            for_each_object(document, "tenants", [this](const Json& j) { return parse_tenant(j); });
        !s.ok())
      return s;
    out_.requires_keys_ = member(document, "tenants") != nullptr;
    if (const Json* limits = member(document, "limits")) return this->parse_limits(*limits);
    return absl::OkStatus();
  }

 private:
  template <class Take>
  absl::Status for_each_object(const Json& document, const char* name, Take&& take) {
    const Json* list = member(document, name);
    if (list == nullptr) return absl::OkStatus();
    if (!list->IsArray()) return invalid_argument(name, "not a list");
    for (const Json& item : list->GetArray()) {
      if (!item.IsObject()) return invalid_argument(name, "an item is not an object");
      if (absl::Status status = take(item); !status.ok()) return status;
    }
    return absl::OkStatus();
  }

  absl::Status parse_service(const Json& json) {
    Service service;
    if (!read(json, "name", service.name)) return invalid_argument("service", "without a name");
    read(json, "health_path", service.health_path);
    if (!read_integer(json, "max_connections", service.max_connections))
      return invalid_argument(service.name, "max_connections");
    if (const Json* engine = member(json, "engine"); engine != nullptr && engine->IsObject()) {
      service.is_engine = true;
      if (!read_integer(*engine, "slots", service.slots))
        return invalid_argument(service.name, "engine.slots");
    }
    out_.services_.push_back(std::move(service));
    return absl::OkStatus();
  }

  absl::Status parse_split(const Json& json, Route& route) {
    const Json* split = member(json, "traffic_split");
    if (split == nullptr) {
      ServiceWeight only;
      if (!read(json, "service", only.service)) return invalid_argument(route.name, "without a service");
      route.split.push_back(std::move(only));
      return absl::OkStatus();
    }
    if (!split->IsArray()) return invalid_argument(route.name, "traffic_split is not a list");
    double sum = 0;
    for (const Json& part : split->GetArray()) {
      ServiceWeight weighted;
      weighted.weight = 0;
      if (!part.IsObject() || !read(part, "service", weighted.service) ||
          !read(part, "weight", weighted.weight)) {
        return invalid_argument(route.name, "traffic_split has a part that is wrong");
      }
      sum += weighted.weight;
      route.split.push_back(std::move(weighted));
    }
    return sum > 0 ? absl::OkStatus() : invalid_argument(route.name, "weights sum to 0");
  }

  absl::Status parse_route(const Json& json) {
    Route route;
    std::string route_class;
    if (!read(json, "name", route.name)) return invalid_argument("route", "without a name");
    if (!read(json, "hostname", route.host)) return invalid_argument(route.name, "without a hostname");
    if (!read(json, "path_prefix", route.prefix) || !is_prefix(route.prefix))
      return invalid_argument(route.name, "path_prefix");
    if (!read(json, "route_class", route_class)) return invalid_argument(route.name, "without a route_class");
    const auto parsed = parse_route_class(route_class);
    if (!parsed.ok()) return parsed.status();
    route.route_class = *parsed;
    const bool numbers = read(json, "timeout_ms", route.timeout_ms) &&
                         read(json, "target_latency_ms", route.target_latency_ms) &&
                         read(json, "gap_aim_ms", route.gap_aim_ms) &&
                         read(json, "completion_target_ms", route.completion_target_ms) &&
                         read(json, "max_wait_s", route.max_wait_s) &&
                         read_integer(json, "priority", route.priority) &&
                         read_integer(json, "max_attempts", route.max_attempts) &&
                         read_integer(json, "max_queued_tokens", route.max_queued_tokens) &&
                         read(json, "public", route.is_public) && read(json, "resumable", route.resumable);
    if (!numbers) return invalid_argument(route.name, "a value has the wrong type");
    if (member(json, "timeout_ms") != nullptr && route.timeout_ms <= 0)
      return invalid_argument(route.name, "timeout_ms is 0");
    if (absl::Status status = parse_split(json, route); !status.ok()) return status;
    out_.routes_.push_back(std::move(route));
    return absl::OkStatus();
  }

  absl::Status parse_tenant(const Json& json) {
    Tenant tenant;
    if (!read(json, "name", tenant.name)) return invalid_argument("tenant", "without a name");
    const Json* keys = member(json, "api_keys");
    if (keys != nullptr && !keys->IsArray()) return invalid_argument(tenant.name, "api_keys is not a list");
    for (const Json* key = keys == nullptr ? nullptr : keys->Begin(); key != nullptr && key != keys->End();
         ++key) {
      if (!key->IsString()) return invalid_argument(tenant.name, "a key is not a text");
      tenant.keys.emplace_back(key->GetString(), key->GetStringLength());
    }
    if (!read_integer(json, "priority", tenant.priority) || !read(json, "rate_per_s", tenant.rate_per_s) ||
        !read(json, "burst", tenant.burst)) {
      return invalid_argument(tenant.name, "a value has the wrong type");
    }
    out_.tenants_.push_back(std::move(tenant));
    return absl::OkStatus();
  }

  absl::Status parse_limits(const Json& json) {
    if (!json.IsObject()) return invalid_argument("limits", "not an object");
    ClientLimits& limits = out_.limits_;
    const bool ok = read_integer(json, "max_header_bytes", limits.max_header_bytes) &&
                    read_integer(json, "max_body_bytes", limits.max_body_bytes) &&
                    read_integer(json, "header_timeout_ms", limits.header_timeout_ms) &&
                    read_integer(json, "idle_timeout_ms", limits.idle_timeout_ms);
    return ok ? absl::OkStatus() : invalid_argument("limits", "a value has the wrong type");
  }

  Configuration& out_;
};

const std::string& Route::pick_service(double draw) const {
  double sum = 0;
  for (const ServiceWeight& part : split) sum += part.weight;
  double at = draw * sum;
  for (const ServiceWeight& part : split) {
    at -= part.weight;
    if (at < 0 && part.weight > 0) return part.service;
  }
  return split.back().service;
}

absl::StatusOr<std::shared_ptr<const Configuration>> Configuration::parse(std::string_view json) {
  rapidjson::Document document;
  // Iterative parsing, so that deeply nested input cannot overflow the stack.
  document.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (document.HasParseError()) return invalid_argument("configuration", "no whole JSON");
  auto out = std::make_shared<Configuration>();
  if (absl::Status status = ConfigurationParser(*out).parse(document); !status.ok()) return status;
  if (absl::Status status = out->build_index(); !status.ok()) return status;
  return std::shared_ptr<const Configuration>(std::move(out));
}

absl::Status Configuration::build_index() {
  std::set<std::string_view> names;
  for (const Service& service : services_) names.insert(service.name);
  std::set<std::pair<std::string_view, std::string_view>> host_prefixes;
  for (std::size_t i = 0; i < routes_.size(); ++i) {
    const Route& route = routes_[i];
    for (const ServiceWeight& part : route.split) {
      if (!names.contains(part.service))
        return invalid_argument(route.name, "unknown service " + part.service);
    }
    if (!host_prefixes.emplace(route.host, route.prefix).second)
      return invalid_argument(route.name, "shares host and prefix");
    routes_by_host_[route.host].push_back(i);
  }
  for (auto& [host, routes] : routes_by_host_) {
    std::sort(routes.begin(), routes.end(), [this](std::size_t a, std::size_t b) {
      return routes_[a].prefix.size() > routes_[b].prefix.size();
    });
  }
  for (std::size_t i = 0; i < tenants_.size(); ++i) {
    for (const std::string& key : tenants_[i].keys) {
      const auto [found, added] = tenant_by_key_.emplace(key, i);
      if (!added && found->second != i)
        return invalid_argument(tenants_[i].name, "shares a key with another tenant");
    }
  }
  return absl::OkStatus();
}

const Route* Configuration::find_route(std::string_view host, std::string_view path) const {
  const auto found = routes_by_host_.find(std::string(host));
  if (found == routes_by_host_.end()) return nullptr;
  for (const std::size_t i : found->second) {
    if (path.starts_with(routes_[i].prefix)) return &routes_[i];
  }
  return nullptr;
}

const Route* Configuration::route_named(std::string_view name) const {
  for (const Route& route : routes_) {
    if (route.name == name) return &route;
  }
  return nullptr;
}

const Tenant* Configuration::tenant_by_key(std::string_view key) const {
  if (key.empty()) return nullptr;
  const auto found = tenant_by_key_.find(std::string(key));
  return found == tenant_by_key_.end() ? nullptr : &tenants_[found->second];
}

const Tenant* Configuration::tenant_named(std::string_view name) const {
  for (const Tenant& tenant : tenants_) {
    if (tenant.name == name) return &tenant;
  }
  return nullptr;
}

const Service* Configuration::service_named(std::string_view name) const {
  for (const Service& service : services_) {
    if (service.name == name) return &service;
  }
  return nullptr;
}

}  // namespace nettlestand::tier
