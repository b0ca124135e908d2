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

constexpr std::size_t kLongestName = 128, kLongestServer = 255;  // bytes
constexpr std::size_t kBodyLimit = 64 * 1024;                    // bytes
constexpr std::size_t kServersInMegabyte = 128;                  // each takes 1.4 KB, or twice that
constexpr double kHour = 3600, kDay = 86400;                     // s
constexpr double kAskWithin = 0.4;                               // s

template <class Duration>
double seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Collects the first thing that is wrong.
class Checker {
 public:
  void number(const std::string& field, double value, double least, double most) {
    if (value >= least && value <= most) return;
    char wanted[96];
    std::snprintf(wanted, sizeof wanted, "%.10g is not from %.10g to %.10g", value, least, most);
    wrong(field, wanted);
  }
  void name(const std::string& field, const std::string& name, std::size_t longest) {
    if (name.empty() || name.size() > longest)
      wrong(field, "is not 1 to " + std::to_string(longest) + " bytes");
    for (const char c : name) {
      if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) return wrong(field, "holds a control character");
    }
  }
  void once(const std::string& field, const std::string& name, std::set<std::string>& seen) {
    if (!seen.insert(name).second) wrong(field, "'" + name + "' stands there twice");
  }
  void wrong(const std::string& field, const std::string& what) {
    if (!error) error = {Errc::kBadOption, field + ": " + what};
  }
  Error error;
};

std::string item(const char* list, std::size_t index, const char* field) {
  return std::string(list) + "[" + std::to_string(index) + "]." + field;
}

int zone_of(const std::string& name, const std::vector<std::string>& zones) {
  return static_cast<int>(std::find(zones.begin(), zones.end(), name) - zones.begin());
}

std::optional<boost::asio::ip::udp::endpoint> udp_of(Checker& checker, const std::string& field,
                                                     const std::string& text, bool any_port = false) {
  const auto e = parse_endpoint(text);
  if (!e || !e->address().is_v4() || (e->port() == 0 && !any_port)) {
    checker.wrong(field, "'" + text + "' is not an IPv4 address and a port");
    return std::nullopt;
  }
  return boost::asio::ip::udp::endpoint(e->address(), e->port());
}

void check_membership(Checker& checker, const Options& options, Checked& out) {
  if (!options.membership) return;
  const MembershipOptions& m = *options.membership;
  peers::ServiceOptions& to = out.peers.emplace();
  checker.name("membership.name", m.name, peers::kMaxNameBytes);
  checker.name("membership.cluster", m.cluster, kLongestName);
  if (m.region.size() > peers::kMaxLabelBytes) checker.wrong("membership.region", "over 12 bytes");
  if (options.zone.size() > peers::kMaxLabelBytes)
    checker.wrong("zone", "over 12 bytes, which membership can't tell of");
  if (const auto listen = udp_of(checker, "membership.listen", m.listen, true)) to.listen = *listen;
  for (std::size_t i = 0; i < m.join.size(); ++i) {
    if (const auto e = udp_of(checker, "membership.join[" + std::to_string(i) + "]", m.join[i]))
      to.join.push_back(*e);
  }
  for (std::size_t i = 0; i < m.members.size(); ++i) {
    if (const auto e = udp_of(checker, "membership.members[" + std::to_string(i) + "]", m.members[i])) {
      to.members.push_back(*e);
    }
  }
  if (!m.members.empty() && !m.join.empty())
    checker.wrong("membership.join", "stands beside members, which names all");
  if (!m.members.empty() && m.members.size() != static_cast<std::size_t>(options.peers)) {
    checker.wrong("membership.members", "not as many as peers");
  }
  if (!m.keys.empty()) {
    std::string lines;
    for (const std::string& key : m.keys) lines += key + "\n";
    try {
      to.cluster.keys = peers::parse_keys(lines);
    } catch (const std::runtime_error& problem) {
      checker.wrong("membership.keys", problem.what());
    }
  }
  to.cluster.name = m.cluster;
  to.follow_balancers = m.follow;
  to.settings.self.region = m.region;
  peers::set_identity(to,
                      {m.name, options.zone, options.tier, options.position, options.peers, options.seed});
}

void check_duties(Checker& checker, const Options& options, Checked& out) {
  if (!options.duties) return;
  const DutiesOptions& d = *options.duties;
  duties::ClientServiceOptions& to = out.duties.emplace();
  checker.name("duties.name", d.name, duties::kMaxNameBytes);
  checker.name("duties.cluster", d.cluster, kLongestName);
  to.cluster = d.cluster;
  if (d.voters.empty() || d.voters.size() > 63) checker.wrong("duties.voters", "not 1 to 63");
  for (std::size_t i = 0; i < d.voters.size(); ++i) {
    const std::string field = "duties.voters[" + std::to_string(i) + "]";
    checker.name(field + ".name", d.voters[i].name, duties::kMaxNameBytes);
    if (const auto e = parse_endpoint(d.voters[i].address)) {
      to.voters.push_back({d.voters[i].name, *e});
    } else {
      checker.wrong(field + ".address", "'" + d.voters[i].address + "' is not an address and a port");
    }
  }
  for (std::size_t i = 0; i < d.duties.size(); ++i) {
    const DutyOptions& x = d.duties[i];
    const std::string field = "duties.duties[" + std::to_string(i) + "]";
    checker.name(field + ".name", x.name, duties::kMaxNameBytes);
    if (x.lease < std::chrono::milliseconds(200) || x.lease > std::chrono::hours(1))
      checker.wrong(field + ".lease", "not 200 ms to 1 h");
    for (const auto* list : {&x.prefer, &x.apart}) {
      for (const std::string& name : *list) checker.name(field, name, duties::kMaxNameBytes);
      if (list->size() > duties::kMaxListEntries) checker.wrong(field, "a list of more than 64");
    }
    to.duties.push_back({x.name, std::chrono::duration<double>(x.lease).count(), x.prefer, x.apart, {}});
  }
  if (!(d.drift >= 0 && d.drift <= 0.2)) checker.wrong("duties.drift", "not 0 to 0.2");
  if (!d.keys.empty()) {
    std::string lines;
    for (const std::string& key : d.keys) lines += key + "\n";
    try {
      to.keys.keys = peers::parse_keys(lines);
    } catch (const std::runtime_error& problem) {
      checker.wrong("duties.keys", problem.what());
    }
  }
  duties::LeaseHolderSettings& h = to.client.lease_holder;
  // A life of its own for each opening: no clock and no disk can be trusted with that.
  std::random_device random;
  h.self = {d.name, (static_cast<std::uint64_t>(random()) << 31 ^ random()) + 1, options.zone, d.region};
  h.drift = d.drift;
  to.client.seed = h.self.generation;
}

}  // namespace

Error servers_of(const std::vector<ServerOptions>& servers, const std::vector<std::string>& zones,
                 std::size_t most, std::uint64_t seq, ServerList& out) {
  Checker checker;
  std::set<std::string> seen;
  out = {seq, true, {}};
  if (servers.size() > most)
    checker.wrong("servers", "more than " + std::to_string(most) + " for this memory");
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const ServerOptions& server = servers[i];
    checker.name(item("servers", i, "name"), server.name, kLongestServer);
    checker.once(item("servers", i, "name"), server.name, seen);
    checker.number(item("servers", i, "weight"), server.weight, 0, 1e6);
    const auto dial = parse_endpoint(server.address);
    if (!dial)
      checker.wrong(item("servers", i, "address"), "'" + server.address + "' is not an address and a port");
    if (!server.zone.empty() && zone_of(server.zone, zones) == static_cast<int>(zones.size())) {
      checker.wrong(item("servers", i, "zone"), "'" + server.zone + "' is none of zones");
    }
    if (checker.error) return checker.error;
    ListedServer listed;
    listed.info.address = server.name;
    listed.info.zone = server.zone.empty() ? 0 : zone_of(server.zone, zones);
    listed.info.cell = server.cell;
    listed.info.weight = server.weight;
    listed.info.state =
        server.state == ServerState::kReady ? qu::ServerState::kReady : qu::ServerState::kDraining;
    listed.endpoint = *dial;
    out.servers.push_back(std::move(listed));
  }
  return checker.error;
}

Error check(const Options& options, Checked& out) {
  Checker checker;
  qu::Settings& s = out.engine.settings;
  checker.number("classes", static_cast<double>(options.classes.size()), 1, 100);
  checker.number("tenants", static_cast<double>(options.tenants.size()), 0, 1000);
  checker.number("zones", static_cast<double>(options.zones.size()), 0, 1000);
  std::set<std::string> seen;
  for (std::size_t i = 0; i < options.classes.size(); ++i) {
    const ClassOptions& c = options.classes[i];
    checker.name(item("classes", i, "name"), c.name, kLongestName);
    checker.once(item("classes", i, "name"), c.name, seen);
    checker.number(item("classes", i, "aim"), seconds(c.aim), 0.001, kHour);
    checker.number(item("classes", i, "deadline"), seconds(c.deadline), 0.001, kHour);
    checker.number(item("classes", i, "late_worth"), c.late_worth, 0, 1);
    checker.number(item("classes", i, "dedup_window"), seconds(c.dedup_window), 0, kDay);
    if (c.effect != Effect::kKeyed && c.dedup_window.count() != 0) {
      checker.wrong(item("classes", i, "dedup_window"), "belongs to keyed classes");
    }
    qu::RequestClass facts;
    facts.aim = seconds(c.aim);
    facts.give_up = seconds(c.deadline);
    facts.late_worth = c.late_worth;
    facts.effect = c.effect == Effect::kSafe    ? qu::Effect::kSafe
                   : c.effect == Effect::kKeyed ? qu::Effect::kKeyed
                                                : qu::Effect::kUnsafe;
    facts.dedup_scope = c.dedup == Dedup::kAll    ? qu::DedupScope::kAll
                        : c.dedup == Dedup::kZone ? qu::DedupScope::kZone
                                                  : qu::DedupScope::kCell;
    facts.dedup_window = seconds(c.dedup_window);
    s.classes.push_back(facts);
    out.classes.push_back(c.name);
  }
  seen.clear();
  for (std::size_t i = 0; i < options.tenants.size(); ++i) {
    const TenantOptions& tenant = options.tenants[i];
    checker.name(item("tenants", i, "name"), tenant.name, kLongestName);
    checker.once(item("tenants", i, "name"), tenant.name, seen);
    checker.number(item("tenants", i, "allowance"), tenant.allowance.value_or(0), 0, 1e9);
    s.tenants.push_back({tenant.allowance});
    out.tenants.push_back(tenant.name);
  }
  seen.clear();
  for (std::size_t i = 0; i < options.zones.size(); ++i) {
    const std::string field = "zones[" + std::to_string(i) + "]";
    checker.name(field, options.zones[i], kLongestName);
    checker.once(field, options.zones[i], seen);
  }
  checker.number("peers", options.peers, 1, 100000);
  checker.number("position", options.position, 0, options.peers - 1);
  checker.number("tier", options.tier, 0, 1000);
  checker.number("max_attempts", options.max_attempts, 1, 1000);
  checker.number("max_retry_after", seconds(options.max_retry_after), 0, kHour);
  checker.number("start_capacity", options.start_capacity, 0, 1);
  checker.number("ramp_time", seconds(options.ramp_time), 0, kDay);
  checker.number("connect_timeout", seconds(options.connect_timeout), 0.001, 600);
  checker.number("idle_close", seconds(options.idle_close), 0.01, kDay);
  checker.number("sockets", static_cast<double>(options.sockets), 1, 2147483647);
  checker.number("memory", static_cast<double>(options.memory), 16.0 * 1024 * 1024, 1e15);
  checker.number("max_open", static_cast<double>(options.max_open), 1, 1e9);
  if (!options.zone.empty() &&
      zone_of(options.zone, options.zones) == static_cast<int>(options.zones.size())) {
    checker.wrong("zone", "'" + options.zone + "' is none of zones");
  }
  s.copy_index = options.position;
  s.copy_count = options.peers;
  s.tier = options.tier;
  s.zone = options.zone.empty() ? 0 : zone_of(options.zone, options.zones);
  s.max_attempts = options.max_attempts;
  s.can_cancel = true;
  s.max_retry_after = seconds(options.max_retry_after);
  s.start_capacity = options.start_capacity;
  s.ramp_time = seconds(options.ramp_time);
  out.engine.seed = options.seed;
  out.engine.max_servers = options.memory / (1024 * 1024) * kServersInMegabyte;
  if (!options.discovery.empty()) {
    out.discovery = parse_endpoint(options.discovery);
    if (!out.discovery)
      checker.wrong("discovery", "'" + options.discovery + "' is not an address and a port");
    s.must_watch = true;
    s.ask_within = kAskWithin;
  }
  check_membership(checker, options, out);
  check_duties(checker, options, out);
  if (checker.error) return checker.error;
  if (options.servers.empty() && out.discovery) return {};
  ServerList list;
  Error error = servers_of(options.servers, options.zones, out.engine.max_servers,
                           options.servers_version.value_or(0), list);
  // Servers beside a discovery are what was known of it: it may speak at once.
  (out.discovery ? out.engine.last_known_servers : out.servers) = std::move(list);
  return error;
}

Call call_of(Request&& request, const RequestValidator& request_validator,
             const std::vector<std::string>& classes, const qu::Settings& settings, ByteBudget& budget,
             double received_at, std::uint64_t token) {
  // Guards against lines that an application's client wrote into a value.
  for (const std::string* text : {&request.id, &request.idempotency_key, &request.target, &request.host,
                                  &request.cookie, &request.content_type, &request.tenant}) {
    const auto control = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; };
    if (std::any_of(text->begin(), text->end(), control))
      throw RequestRejection{400, "a control character in a value"};
  }
  if (request.body.size() > kBodyLimit) throw RequestRejection{413, "a body over 64 KiB"};
  const auto named = std::find(classes.begin(), classes.end(), request.request_class);
  if (named == classes.end()) throw RequestRejection{400, "unknown Request-Class"};
  const auto& facts = settings.classes[static_cast<std::size_t>(named - classes.begin())];
  const bool safe = facts.effect == qu::Effect::kSafe;
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
  const RequestValidator::FieldValues lines(head);
  RequestValidator::check_target_and_host(head, lines);
  if (request.target.empty() || request.target.front() != '/') throw RequestRejection{400, "bad target"};
  auto forward = std::make_shared<UpstreamRequest>();
  Call out = request_validator.read_call(head, lines, *forward);
  forward->claim = ByteReservation(budget);
  // Guards the memory limit: answers need room too, so requests leave half of the budget to them.
  if (!forward->claim.grow_to(request.body.size(), budget.size() / 2))
    throw RequestRejection{503, "no memory to spare"};
  if (!safe) forward->head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  forward->body = std::move(request.body);
  out.payload = std::move(forward);
  out.received_at = received_at;
  return out;
}

Error error_of(const RequestRejection& bad) {
  const std::string_view what = bad.what == nullptr ? "can't be read" : bad.what;
  Errc code = Errc::kBadRequest;
  if (bad.status == 503) code = Errc::kFull;
  if (bad.status == 409) code = Errc::kIdIsOpen;
  if (bad.status == 413) code = Errc::kBodyTooLong;
  if (what == "unknown Request-Class") code = Errc::kUnknownClass;
  if (what == "unknown Tenant") code = Errc::kUnknownTenant;
  return {code, std::string(what)};
}

Response response_of(Reply&& reply) {
  Response out;
  switch (reply.kind) {
    case Reply::Kind::kServed: {
      auto& whole = static_cast<UpstreamResponse&>(*reply.payload);
      out.outcome = Outcome::kServed;
      out.body = std::move(whole.body);
      out.content_type = std::move(whole.content_type);
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
