#include "gateway/convert.h"

#include <algorithm>
#include <boost/beast/http/verb.hpp>
#include <cstdio>
#include <random>
#include <set>
#include <string_view>
#include <utility>

#include "http/responses.h"
#include "util/endpoint.h"

namespace nettlestand {
namespace {

namespace http = boost::beast::http;
namespace qu = quinceusher;

constexpr std::size_t kMaxOptionNameBytes = 128, kMaxServerNameBytes = 255;  // bytes
constexpr std::size_t kMaxBodyBytes = 64 * 1024;                             // bytes
constexpr std::size_t kServersPerMegabyte = 128;  // each takes 1.4 KB or twice that
constexpr double kHour = 3600, kDay = 86400;      // s
constexpr double kDiscoveryTimeout = 0.4;         // s; see quinceusher::Settings::ask_within

template <class Duration>
double seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Keeps the first error found in the options.
class OptionsValidator {
 public:
  // Each check reports an error if the value is invalid.
  void check_range(const std::string& field, double value, double min, double max) {
    if (value >= min && value <= max) return;
    char message[96];
    std::snprintf(message, sizeof message, "%.10g is not from %.10g to %.10g", value, min, max);
    report(field, message);
  }
  void check_name(const std::string& field, const std::string& name, std::size_t max_bytes) {
    if (name.empty() || name.size() > max_bytes)
      report(field, "is not 1 to " + std::to_string(max_bytes) + " bytes");
    for (const char c : name) {
      if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)
        return report(field, "contains a control character");
    }
  }
  void check_unique(const std::string& field, const std::string& name, std::set<std::string>& seen) {
    if (!seen.insert(name).second) report(field, "'" + name + "' is listed more than once");
  }
  void report(const std::string& field, const std::string& what) {
    if (!error) error = {Errc::kBadOption, field + ": " + what};
  }
  Error error;
};

// Returns the path of a field in a list, as in "servers[0].name".
std::string field_path(const char* list, std::size_t index, const char* field) {
  return std::string(list) + "[" + std::to_string(index) + "]." + field;
}

// Returns the index of a zone, or zones.size() if it is unknown.
int zone_index(const std::string& name, const std::vector<std::string>& zones) {
  return static_cast<int>(std::find(zones.begin(), zones.end(), name) - zones.begin());
}

// Parses an IPv4 address and a port, 0 only if `any_port`. Reports an error if the text is invalid.
std::optional<boost::asio::ip::udp::endpoint> parse_udp_endpoint(OptionsValidator& validator,
                                                                 const std::string& field,
                                                                 const std::string& text,
                                                                 bool any_port = false) {
  const auto e = parse_endpoint(text);
  if (!e || !e->address().is_v4() || (e->port() == 0 && !any_port)) {
    validator.report(field, "'" + text + "' is not an IPv4 address and a port");
    return std::nullopt;
  }
  return boost::asio::ip::udp::endpoint(e->address(), e->port());
}

void check_membership(OptionsValidator& validator, const Options& options, ValidatedOptions& out) {
  if (!options.membership) return;
  const MembershipOptions& membership = *options.membership;
  peers::ServiceOptions& service = out.peers.emplace();
  validator.check_name("membership.name", membership.name, peers::kMaxNameBytes);
  validator.check_name("membership.cluster", membership.cluster, kMaxOptionNameBytes);
  if (membership.region.size() > peers::kMaxLabelBytes)
    validator.report("membership.region", "over 12 bytes");
  if (options.zone.size() > peers::kMaxLabelBytes)
    validator.report("zone", "over 12 bytes, the limit of membership");
  if (const auto listen = parse_udp_endpoint(validator, "membership.listen", membership.listen, true))
    service.listen = *listen;
  for (std::size_t i = 0; i < membership.join.size(); ++i) {
    if (const auto e =
            parse_udp_endpoint(validator, "membership.join[" + std::to_string(i) + "]", membership.join[i]))
      service.join.push_back(*e);
  }
  for (std::size_t i = 0; i < membership.members.size(); ++i) {
    if (const auto e = parse_udp_endpoint(validator, "membership.members[" + std::to_string(i) + "]",
                                          membership.members[i])) {
      service.members.push_back(*e);
    }
  }
  if (!membership.members.empty() && !membership.join.empty())
    validator.report("membership.join", "not allowed together with members, which lists all");
  if (!membership.members.empty() && membership.members.size() != static_cast<std::size_t>(options.peers)) {
    validator.report("membership.members", "not as many as peers");
  }
  if (!membership.keys.empty()) {
    std::string key_lines;
    for (const std::string& key : membership.keys) key_lines += key + "\n";
    try {
      service.cluster.keys = peers::parse_keys(key_lines);
    } catch (const std::runtime_error& problem) {
      validator.report("membership.keys", problem.what());
    }
  }
  service.cluster.name = membership.cluster;
  service.follow_balancers = membership.follow;
  service.settings.self.region = membership.region;
  peers::set_identity(
      service, {membership.name, options.zone, options.tier, options.position, options.peers, options.seed});
}

void check_duties(OptionsValidator& validator, const Options& options, ValidatedOptions& out) {
  if (!options.duties) return;
  const DutiesOptions& duties_options = *options.duties;
  duties::ClientServiceOptions& service = out.duties.emplace();
  validator.check_name("duties.name", duties_options.name, duties::kMaxNameBytes);
  validator.check_name("duties.cluster", duties_options.cluster, kMaxOptionNameBytes);
  service.cluster = duties_options.cluster;
  if (duties_options.voters.empty() || duties_options.voters.size() > 63)
    validator.report("duties.voters", "not 1 to 63");
  for (std::size_t i = 0; i < duties_options.voters.size(); ++i) {
    const std::string field = "duties.voters[" + std::to_string(i) + "]";
    validator.check_name(field + ".name", duties_options.voters[i].name, duties::kMaxNameBytes);
    if (const auto e = parse_endpoint(duties_options.voters[i].address)) {
      service.voters.push_back({duties_options.voters[i].name, *e});
    } else {
      validator.report(field + ".address",
                       "'" + duties_options.voters[i].address + "' is not an address and a port");
    }
  }
  for (std::size_t i = 0; i < duties_options.duties.size(); ++i) {
    const DutyOptions& duty = duties_options.duties[i];
    const std::string field = "duties.duties[" + std::to_string(i) + "]";
    validator.check_name(field + ".name", duty.name, duties::kMaxNameBytes);
    if (duty.lease < std::chrono::milliseconds(200) || duty.lease > std::chrono::hours(1))
      validator.report(field + ".lease", "not 200 ms to 1 h");
    for (const auto* list : {&duty.prefer, &duty.apart}) {
      for (const std::string& name : *list) validator.check_name(field, name, duties::kMaxNameBytes);
      if (list->size() > duties::kMaxListEntries) validator.report(field, "a list of more than 64");
    }
    service.duties.push_back(
        {duty.name, std::chrono::duration<double>(duty.lease).count(), duty.prefer, duty.apart, {}});
  }
  if (!(duties_options.drift >= 0 && duties_options.drift <= 0.2))
    validator.report("duties.drift", "not 0 to 0.2");
  if (!duties_options.keys.empty()) {
    std::string key_lines;
    for (const std::string& key : duties_options.keys) key_lines += key + "\n";
    try {
      service.keys.keys = peers::parse_keys(key_lines);
    } catch (const std::runtime_error& problem) {
      validator.report("duties.keys", problem.what());
    }
  }
  duties::LeaseHolderSettings& lease_holder = service.client.lease_holder;
  // The generation is random, so that each opened gateway has its own: neither a clock nor a disk can be
  // relied on for that.
  std::random_device random;
  lease_holder.self = {duties_options.name, (static_cast<std::uint64_t>(random()) << 31 ^ random()) + 1,
                       options.zone, duties_options.region};
  lease_holder.drift = duties_options.drift;
  service.client.seed = lease_holder.self.generation;
}

}  // namespace

Error to_server_list(const std::vector<ServerOptions>& servers, const std::vector<std::string>& zones,
                     std::size_t max_servers, std::uint64_t seq, ServerList& out) {
  OptionsValidator validator;
  std::set<std::string> seen;
  out = {seq, true, {}};
  if (servers.size() > max_servers)
    validator.report("servers", "more than " + std::to_string(max_servers) + " for this memory");
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const ServerOptions& server = servers[i];
    validator.check_name(field_path("servers", i, "name"), server.name, kMaxServerNameBytes);
    validator.check_unique(field_path("servers", i, "name"), server.name, seen);
    validator.check_range(field_path("servers", i, "weight"), server.weight, 0, 1e6);
    const auto endpoint = parse_endpoint(server.address);
    if (!endpoint)
      validator.report(field_path("servers", i, "address"),
                       "'" + server.address + "' is not an address and a port");
    if (!server.zone.empty() && zone_index(server.zone, zones) == static_cast<int>(zones.size())) {
      validator.report(field_path("servers", i, "zone"), "'" + server.zone + "' is not in zones");
    }
    if (validator.error) return validator.error;
    ListedServer listed;
    listed.info.address = server.name;
    listed.info.zone = server.zone.empty() ? 0 : zone_index(server.zone, zones);
    listed.info.cell = server.cell;
    listed.info.weight = server.weight;
    listed.info.state =
        server.state == ServerState::kReady ? qu::ServerState::kReady : qu::ServerState::kDraining;
    listed.endpoint = *endpoint;
    out.servers.push_back(std::move(listed));
  }
  return validator.error;
}

Error validate(const Options& options, ValidatedOptions& out) {
  OptionsValidator validator;
  qu::Settings& settings = out.engine.settings;
  validator.check_range("classes", static_cast<double>(options.classes.size()), 1, 100);
  validator.check_range("tenants", static_cast<double>(options.tenants.size()), 0, 1000);
  validator.check_range("zones", static_cast<double>(options.zones.size()), 0, 1000);
  std::set<std::string> seen;
  for (std::size_t i = 0; i < options.classes.size(); ++i) {
    const ClassOptions& class_options = options.classes[i];
    validator.check_name(field_path("classes", i, "name"), class_options.name, kMaxOptionNameBytes);
    validator.check_unique(field_path("classes", i, "name"), class_options.name, seen);
    validator.check_range(field_path("classes", i, "aim"), seconds(class_options.aim), 0.001, kHour);
    validator.check_range(field_path("classes", i, "deadline"), seconds(class_options.deadline), 0.001,
                          kHour);
    validator.check_range(field_path("classes", i, "late_worth"), class_options.late_worth, 0, 1);
    validator.check_range(field_path("classes", i, "dedup_window"), seconds(class_options.dedup_window), 0,
                          kDay);
    if (class_options.effect != Effect::kKeyed && class_options.dedup_window.count() != 0) {
      validator.report(field_path("classes", i, "dedup_window"), "is only valid for keyed classes");
    }
    qu::RequestClass request_class;
    request_class.aim = seconds(class_options.aim);
    request_class.give_up = seconds(class_options.deadline);
    request_class.late_worth = class_options.late_worth;
    request_class.effect = class_options.effect == Effect::kSafe    ? qu::Effect::kSafe
                           : class_options.effect == Effect::kKeyed ? qu::Effect::kKeyed
                                                                    : qu::Effect::kUnsafe;
    request_class.dedup_scope = class_options.dedup == Dedup::kAll    ? qu::DedupScope::kAll
                                : class_options.dedup == Dedup::kZone ? qu::DedupScope::kZone
                                                                      : qu::DedupScope::kCell;
    request_class.dedup_window = seconds(class_options.dedup_window);
    settings.classes.push_back(request_class);
    out.classes.push_back(class_options.name);
  }
  seen.clear();
  for (std::size_t i = 0; i < options.tenants.size(); ++i) {
    const TenantOptions& tenant = options.tenants[i];
    validator.check_name(field_path("tenants", i, "name"), tenant.name, kMaxOptionNameBytes);
    validator.check_unique(field_path("tenants", i, "name"), tenant.name, seen);
    validator.check_range(field_path("tenants", i, "allowance"), tenant.allowance.value_or(0), 0, 1e9);
    settings.tenants.push_back({tenant.allowance});
    out.tenants.push_back(tenant.name);
  }
  seen.clear();
  for (std::size_t i = 0; i < options.zones.size(); ++i) {
    const std::string field = "zones[" + std::to_string(i) + "]";
    validator.check_name(field, options.zones[i], kMaxOptionNameBytes);
    validator.check_unique(field, options.zones[i], seen);
  }
  validator.check_range("peers", options.peers, 1, 100000);
  validator.check_range("position", options.position, 0, options.peers - 1);
  validator.check_range("tier", options.tier, 0, 1000);
  validator.check_range("max_attempts", options.max_attempts, 1, 1000);
  validator.check_range("max_retry_after", seconds(options.max_retry_after), 0, kHour);
  validator.check_range("start_capacity", options.start_capacity, 0, 1);
  validator.check_range("ramp_time", seconds(options.ramp_time), 0, kDay);
  validator.check_range("connect_timeout", seconds(options.connect_timeout), 0.001, 600);
  validator.check_range("idle_close", seconds(options.idle_close), 0.01, kDay);
  validator.check_range("sockets", static_cast<double>(options.sockets), 1, 2147483647);
  validator.check_range("memory", static_cast<double>(options.memory), 16.0 * 1024 * 1024, 1e15);
  validator.check_range("max_open", static_cast<double>(options.max_open), 1, 1e9);
  if (!options.zone.empty() &&
      zone_index(options.zone, options.zones) == static_cast<int>(options.zones.size())) {
    validator.report("zone", "'" + options.zone + "' is not in zones");
  }
  settings.copy_index = options.position;
  settings.copy_count = options.peers;
  settings.tier = options.tier;
  settings.zone = options.zone.empty() ? 0 : zone_index(options.zone, options.zones);
  settings.max_attempts = options.max_attempts;
  settings.can_cancel = true;
  settings.max_retry_after = seconds(options.max_retry_after);
  settings.start_capacity = options.start_capacity;
  settings.ramp_time = seconds(options.ramp_time);
  out.engine.seed = options.seed;
  out.engine.max_servers = options.memory / (1024 * 1024) * kServersPerMegabyte;
  if (!options.discovery.empty()) {
    out.discovery = parse_endpoint(options.discovery);
    if (!out.discovery)
      validator.report("discovery", "'" + options.discovery + "' is not an address and a port");
    settings.must_watch = true;
    settings.ask_within = kDiscoveryTimeout;
  }
  check_membership(validator, options, out);
  check_duties(validator, options, out);
  if (validator.error) return validator.error;
  if (options.servers.empty() && out.discovery) return {};
  ServerList list;
  Error error = to_server_list(options.servers, options.zones, out.engine.max_servers,
                               options.servers_version.value_or(0), list);
  // With discovery, the given servers are the last known list, and a list from discovery may replace it at
  // once.
  (out.discovery ? out.engine.last_known_servers : out.servers) = std::move(list);
  return error;
}

Call to_call(Request&& request, const RequestValidator& request_validator,
             const std::vector<std::string>& classes, const qu::Settings& settings, ByteBudget& budget,
             double received_at, std::uint64_t token) {
  // Prevents header injection by values that the application took over from its clients.
  for (const std::string* text : {&request.id, &request.idempotency_key, &request.target, &request.host,
                                  &request.cookie, &request.content_type, &request.tenant}) {
    const auto control = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; };
    if (std::any_of(text->begin(), text->end(), control))
      throw RequestRejection{400, "a control character in a value"};
  }
  if (request.body.size() > kMaxBodyBytes) throw RequestRejection{413, "a body over 64 KiB"};
  const auto found_class = std::find(classes.begin(), classes.end(), request.request_class);
  if (found_class == classes.end()) throw RequestRejection{400, "unknown Request-Class"};
  const auto& class_settings = settings.classes[static_cast<std::size_t>(found_class - classes.begin())];
  const bool safe = class_settings.effect == qu::Effect::kSafe;
  if (safe && !request.body.empty()) throw RequestRejection{400, "a body where none belongs"};
  RequestValidator::Head head;
  head.version(11);
  head.method(safe ? http::verb::get : http::verb::post);
  head.target(request.target);
  const auto set = [&](const char* field, const std::string& value) {
    if (!value.empty()) head.set(field, value);
  };
  set("Host", request.host);
  set("Request-Id", request.id);
  set("Request-Class", request.request_class);
  set("Tenant", request.tenant);
  set("Idempotency-Key", request.idempotency_key);
  set("Cookie", request.cookie);
  set("Content-Type", request.content_type);
  if (token != 0) set("Fencing-Token", std::to_string(token));
  if (request.timeout.count() < 0) throw RequestRejection{400, "bad Request-Timeout-Ms"};
  if (request.timeout.count() > 0) set("Request-Timeout-Ms", std::to_string(request.timeout.count()));
  if (request.work.count() > 0) set("Work-Hint", std::to_string(request.work.count()));
  if (request.is_repeat) set("Client-Retry", "1");
  const RequestValidator::FieldValues field_values(head);
  RequestValidator::check_target_and_host(head, field_values);
  if (request.target.empty() || request.target.front() != '/') throw RequestRejection{400, "bad target"};
  auto upstream_request = std::make_shared<UpstreamRequest>();
  Call out = request_validator.read_call(head, field_values, *upstream_request);
  upstream_request->claim = ByteReservation(budget);
  // Request bodies may take at most half of the budget, so that memory remains for the bodies of answers.
  if (!upstream_request->claim.grow_to(request.body.size(), budget.size() / 2))
    throw RequestRejection{503, "no memory to spare"};
  if (!safe) upstream_request->head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  upstream_request->body = std::move(request.body);
  out.payload = std::move(upstream_request);
  out.received_at = received_at;
  return out;
}

Error to_error(const RequestRejection& rejection) {
  const std::string_view what = rejection.what == nullptr ? "can't be read" : rejection.what;
  Errc code = Errc::kBadRequest;
  if (rejection.status == 503) code = Errc::kFull;
  if (rejection.status == 409) code = Errc::kRequestIdInUse;
  if (rejection.status == 413) code = Errc::kBodyTooLong;
  if (what == "unknown Request-Class") code = Errc::kUnknownClass;
  if (what == "unknown Tenant") code = Errc::kUnknownTenant;
  return {code, std::string(what)};
}

Response to_response(Reply&& reply) {
  Response out;
  switch (reply.kind) {
    case Reply::Kind::kServed: {
      auto& upstream_response = static_cast<UpstreamResponse&>(*reply.payload);
      out.outcome = Outcome::kServed;
      out.body = std::move(upstream_response.body);
      out.content_type = std::move(upstream_response.content_type);
      break;
    }
    case Reply::Kind::kRefused:
      out.outcome = Outcome::kRefused;
      out.retry_after = std::chrono::microseconds(static_cast<std::int64_t>(reply.retry_after * 1e6));
      break;
    case Reply::Kind::kFailed:
      out.outcome = Outcome::kFailed;
      break;
    case Reply::Kind::kTimedOut:
      out.outcome = Outcome::kTimedOut;
      break;
    case Reply::Kind::kShutDown:
      out.outcome = Outcome::kShutDown;
      break;
  }
  return out;
}

}  // namespace nettlestand
