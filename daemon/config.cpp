#include "daemon/config.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <set>
#include <stdexcept>

#include "discovery/server_list_parser.h"
#include "json/reader.h"

namespace nettlestand {
namespace {

namespace json = quinceusher::json;
using json::Json;

constexpr std::size_t kMaxConfigNameBytes = 128;  // of a class's, tenant's or zone's name

// Reads unique names that fit into a header. With duplicates, a request's header would be ambiguous.
std::vector<std::string> read_names(const Json& in, const char* field) {
  std::vector<std::string> out;
  std::set<std::string_view> seen;
  for (const Json& item : in.GetArray()) {
    const std::string_view name = json::string(item, "name");
    if (name.empty() || name.size() > kMaxConfigNameBytes)
      json::reject_field(field, "a name of 1 to 128 bytes");
    if (!seen.insert(name).second) json::reject_field(field, "a unique name");
    out.emplace_back(name);
  }
  return out;
}

void check_length(std::size_t length, const char* field, std::size_t min, std::size_t max) {
  if (length >= min && length <= max) return;
  json::reject_field(field, ("a list of " + std::to_string(min) + " to " + std::to_string(max)).c_str());
}

// Checks the ranges of the settings. A time of zero, or one too long for the clock, would make a timer spin
// or expire at once. No service comes near the ends of these ranges.
void check_settings(const quinceusher::Settings& s) {
  constexpr double kMinSeconds = 0.001, kHour = 3600, kDay = 86400;  // s
  json::check_range(s.copy_count, "peersTotal", 1, 100000);
  json::check_range(s.copy_index, "position", 0, s.copy_count - 1);
  json::check_range(s.tier, "stage", 0, 1000);
  json::check_range(s.zone, "zone", 0, 1000);
  json::check_range(s.tick, "granularity", 0, 60);
  json::check_range(s.over_share_worth, "overShareWorth", 0, 1);
  json::check_range(s.max_attempts, "bounds.maxAttempts", 1, 1000);
  json::check_range(s.max_retry_after, "bounds.maxRetryAfter", 0, kHour);
  if (s.ask_within != 0) json::check_range(s.ask_within, "rules.askWithin", 0.05, kDay);
  json::check_range(s.start_capacity, "rules.startCapacity", 0, 1);
  json::check_range(s.ramp_time, "rules.rampTime", 0, kDay);
  json::check_range(s.cross_zone_price, "fees.crossZone", 0, 1e6);
  check_length(s.classes.size(), "categories", 1, 100);
  for (const quinceusher::RequestClass& c : s.classes) {
    json::check_range(c.aim, "categories[].aim", 1e-6, kHour);
    json::check_range(c.aim_stretch, "categories[].aimStretch", 0, 1e6);
    json::check_range(c.give_up, "categories[].giveUp", kMinSeconds, kHour);
    json::check_range(c.late_worth, "categories[].lateWorth", 0, 1);
    json::check_range(c.dedup_window, "categories[].dedupWindow", 0, kDay);
  }
  check_length(s.tenants.size(), "realms", 0, 1000);
  for (const quinceusher::Tenant& t : s.tenants) {
    json::check_range(t.allowance.value_or(0), "realms[].allowancePerS", 0, 1e9);
  }
}

boost::asio::ip::udp::endpoint read_udp(std::string_view text) {
  const auto tcp = read_endpoint(text);
  return {tcp.address(), tcp.port()};
}

// Membership settings, if the platform allows messages between nodes and names their addresses. Membership
// datagrams have at most 256 bytes.
std::optional<peers::ServiceOptions> read_peers(const Json& in, const Json& bounds, int position) {
  const Json* listen = json::find(in, "peer_listen");
  if (!json::boolean(bounds, "peers") || listen == nullptr || json::find(in, "peers") == nullptr)
    return std::nullopt;
  peers::ServiceOptions out;
  out.listen = read_udp(json::string(in, "peer_listen"));
  for (const Json& item : json::array(in, "peers").GetArray()) {
    if (!item.IsString()) json::reject_field("peers", "an array of addresses");
    out.members.push_back(read_udp({item.GetString(), item.GetStringLength()}));
  }
  check_length(out.members.size(), "peers", 1, 10000);
  if (static_cast<std::size_t>(position) >= out.members.size()) {
    json::reject_field("peers", "a list that holds this node's position");
  }
  if (json::find(in, "peers_all") != nullptr) out.broadcast = read_udp(json::string(in, "peers_all"));
  for (const auto& e : out.members) {
    if (!e.address().is_v4()) json::reject_field("peers", "an array of IPv4 addresses");
  }
  if (!out.listen.address().is_v4()) json::reject_field("peer_listen", "an IPv4 address");
  return out;
}

std::uint64_t read_seed(std::string_view text) {
  std::uint64_t out = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, 16);
  if (error != std::errc() || end != text.data() + text.size())
    json::reject_field("seed", "a hexadecimal number");
  return out;
}

}  // namespace

Config read_platform_config(const std::string& text) {
  const rapidjson::Document in = json::parse(text);
  Config out;
  out.name = json::string(in, "name");
  out.listen = read_endpoint(json::string(in, "listen"));
  out.discovery = read_endpoint(json::string(in, "discovery"));
  out.seed = read_seed(json::string(in, "seed"));
  if (const Json* limits = json::find(in, "limits")) {
    const int sockets = json::integer_or(*limits, "sockets", 1024);
    json::check_range(sockets, "limits.sockets", 64, 2147483647);
    out.sockets = static_cast<std::size_t>(sockets);
    const double memory = json::number_or(*limits, "memory_mb", 64);
    json::check_range(memory, "limits.memory_mb", 16, 1e6);
    out.memory_mb = static_cast<std::size_t>(memory);
  }
  const Json& settings = json::require(in, "settings");
  out.settings = json::read_settings(settings);
  check_settings(out.settings);
  out.classes = read_names(json::array(settings, "categories"), "categories[].name");
  if (json::find(settings, "realms") != nullptr) {
    out.tenants = read_names(json::array(settings, "realms"), "realms[].name");
  }
  if (json::find(settings, "azs") != nullptr) {
    check_length(json::array(settings, "azs").Size(), "azs", 0, 1000);
    for (const Json& zone : json::array(settings, "azs").GetArray()) {
      if (!zone.IsString() || zone.GetStringLength() > kMaxConfigNameBytes) {
        json::reject_field("azs", "an array of names of at most 128 bytes");
      }
      out.zones.emplace_back(zone.GetString(), zone.GetStringLength());
    }
  }
  const Json& bounds = json::require(settings, "bounds");
  out.connect_timeout = json::number_or(bounds, "dialTimeout", out.connect_timeout);
  out.server_idle_timeout = json::number_or(bounds, "idleClose", out.server_idle_timeout);
  json::check_range(out.connect_timeout, "bounds.dialTimeout", 0.001, 600);
  json::check_range(out.server_idle_timeout, "bounds.idleClose", 0.01, 86400);
  out.peers = read_peers(in, bounds, out.settings.copy_index);
  set_identities(out);
  if (const Json* known = json::find(in, "known"))
    out.last_known_servers = server_list_from_json(*known, out.zones);
  if (out.last_known_servers && out.last_known_servers->servers.size() > out.max_servers()) {
    json::reject_field("known", "a list of at most 128 servers for each MB of memory");
  }
  return out;
}

void set_identities(Config& config) {
  const quinceusher::Settings& s = config.settings;
  const auto at = static_cast<std::size_t>(s.zone);
  const std::string zone = at < config.zones.size() ? config.zones[at] : "";
  if (config.peers)
    peers::set_identity(*config.peers, {config.name, zone, s.tier, s.copy_index, s.copy_count, config.seed});
  if (!config.duties) return;
  duties::Node& self = config.duties->service.client.lease_holder.self;
  self.name = config.name.substr(0, duties::kMaxNameBytes);
  self.zone = zone.substr(0, duties::kMaxNameBytes);
  // Each start gets a random generation, since neither the clock nor the disk can be trusted to give a new
  // one.
  std::random_device random;
  self.generation = (static_cast<std::uint64_t>(random()) << 31 ^ random()) + 1;
  config.duties->service.client.seed = self.generation;
  if (!config.duties->voter) return;
  config.duties->voter->voter.self = self;
  config.duties->voter->voter.raft.seed = self.generation;
}

}  // namespace nettlestand
