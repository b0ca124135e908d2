#include "peers/service.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <stdexcept>
#include <utility>

#include "nettlestand/version.h"
#include "util/clock.h"

namespace nettlestand::peers {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

// Datagrams that are read before other work on the loop has its turn.
constexpr int kMaxReadsPerTurn = 64;
// Datagrams above this rate are dropped.
constexpr double kMaxDatagramsPerSecond = 1000;
constexpr std::size_t kMaxUnlistedEndpoints = 4096;  // remembered endpoints beyond the list
constexpr double kDropLogIntervalSeconds = 10;       // between log lines on dropped datagrams
constexpr int kStartBroadcasts = 3;              // times that a start is announced to the broadcast address
constexpr double kBroadcastIntervalSeconds = 1;  // between them
constexpr int kReceiveBufferBytes = 256 * 1024;

// Only a hint: a process whose clock is wrong is told which generations are taken.
std::uint64_t generation_hint() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(since).count()));
}

Address packed(const udp::endpoint& e) {
  return (static_cast<Address>(e.address().to_v4().to_uint()) << 16) | e.port();
}

std::string text_of(const udp::endpoint& e) {
  return e.address().to_string() + ":" + std::to_string(e.port());
}

std::string hex(std::uint64_t n) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(n));
  return out;
}

// The address is this node's index if there is a list of members, else its endpoint.
MembershipSettings settings_of(const ServiceOptions& o, const udp::endpoint& at) {
  MembershipSettings out = o.settings;
  out.generation = generation_hint();
  out.seed = o.seed;
  out.address = o.members.empty() ? packed(at) : static_cast<Address>(o.balancers.index) + 1;
  return out;
}

BalancerTrackerSettings tracker_settings_of(const ServiceOptions& o) {
  BalancerTrackerSettings out = o.balancers;
  out.self = o.settings.self;
  return out;
}

void check(const ServiceOptions& o) {
  for (const auto* list : {&o.members, &o.join}) {
    for (const udp::endpoint& e : *list) {
      if (!e.address().is_v4() || e.port() == 0)
        throw std::invalid_argument("peers: an address must be IPv4 with a port");
    }
  }
  if (!o.members.empty() && static_cast<std::size_t>(o.balancers.index) >= o.members.size()) {
    throw std::invalid_argument("peers: this node's number is not an index into the list of members");
  }
}

}  // namespace

void set_identity(ServiceOptions& options, const NodePlacement& place) {
  Identity& self = options.settings.self;
  self.name = place.name.substr(0, kMaxNameBytes);
  self.zone = place.zone.substr(0, kMaxLabelBytes);
  self.version = std::string(NETTLESTAND_VERSION).substr(0, kMaxLabelBytes);
  self.tier = static_cast<std::uint8_t>(std::clamp(place.tier, 0, 255));
  self.number = static_cast<std::uint32_t>(std::max(0, place.position));
  options.balancers.index = place.position;
  options.balancers.count = place.count;
  options.seed = place.seed;
}

std::vector<std::string> parse_keys(const std::string& text) {
  std::vector<std::string> out;
  int number = 0;
  for (std::size_t from = 0; from < text.size();) {
    const std::size_t end = std::min(text.find('\n', from), text.size());
    std::string line = text.substr(from, end - from);
    from = end + 1;
    ++number;
    while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) line.pop_back();
    if (line.empty() || line.front() == '#') continue;
    const auto wrong = [&](const char* what) {
      throw std::runtime_error("line " + std::to_string(number) + " of the keys: " + what);
    };
    if (line.size() != 64) wrong("not 64 hexadecimal digits");
    std::string key;
    for (std::size_t i = 0; i < line.size(); i += 2) {
      int byte = 0;
      for (const char c : {line[i], line[i + 1]}) {
        const int digit = c >= '0' && c <= '9'   ? c - '0'
                          : c >= 'a' && c <= 'f' ? c - 'a' + 10
                          : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                                 : -1;
        if (digit < 0) wrong("not 64 hexadecimal digits");
        byte = byte * 16 + digit;
      }
      key.push_back(static_cast<char>(byte));
    }
    out.push_back(std::move(key));
    if (out.size() > 2) wrong("more than two keys");
  }
  if (out.empty()) throw std::runtime_error("no key is given");
  return out;
}

Service::Service(asio::io_context& io, ServiceOptions options, Listeners listeners, Log log)
    : io_(io),
      options_((check(options), std::move(options))),
      listeners_(std::move(listeners)),
      log_(std::move(log)),
      socket_(io, udp::v4()),
      timer_(io),
      codec_(options_.cluster),
      membership_([this] {
        socket_.set_option(udp::socket::receive_buffer_size(kReceiveBufferBytes));
        socket_.bind(options_.listen);
        socket_.non_blocking(true);
        return settings_of(options_, socket_.local_endpoint());
      }()),
      balancers_(tracker_settings_of(options_), now()) {
  for (const udp::endpoint& e : options_.members) {
    endpoints_.push_back(e);
    addresses_[e] = endpoints_.size();
  }
}

Service::~Service() { *alive_ = false; }

void Service::start() {
  running_ = true;
  tokens_ = 2 * kMaxDatagramsPerSecond;
  tokens_at_ = now();
  next_drop_log_ = now() + kDropLogIntervalSeconds;
  next_broadcast_ = now();
  log_({LogLevel::kInfo,
        "peers",
        "started",
        "membership on " + text_of(address()) + " as " + options_.settings.self.name,
        {{"address", text_of(address())},
         {"name", options_.settings.self.name},
         {"life", static_cast<std::int64_t>(membership_.generation())},
         {"sealed", codec_.authenticated()}}});
  std::vector<Membership::Outgoing> out;
  membership_.start(now(), seed_addresses(), out);
  flush(out);
  wait_readable();
}

void Service::reload(const ServiceOptions& next) {
  check(next);
  if (next.members.empty() != options_.members.empty() || next.balancers.index != options_.balancers.index) {
    throw std::invalid_argument(
        "peers: the kind of addresses and this node's index can't change without a restart");
  }
  codec_.set_keys(next.cluster.keys);
  for (std::size_t i = 0; i < next.members.size(); ++i) {
    if (i < options_.members.size() && endpoints_[i] == next.members[i]) continue;
    if (i >= options_.members.size()) {
      throw std::invalid_argument("peers: members can't be added without a restart");
    }
    if (addresses_[endpoints_[i]] == i + 1) addresses_.erase(endpoints_[i]);
    endpoints_[i] = next.members[i];
    addresses_[next.members[i]] = i + 1;
  }
  options_.members = next.members;
  options_.join = next.join;
  options_.cluster = next.cluster;
  membership_.set_seed_addresses(seed_addresses());
}

std::vector<Address> Service::seed_addresses() {
  std::vector<Address> out;
  if (addresses_by_index()) {
    for (std::size_t i = 0; i < options_.members.size(); ++i) out.push_back(i + 1);
  } else {
    for (const udp::endpoint& e : options_.join) out.push_back(packed(e));
  }
  return out;
}

// ------------------------------------------------------------ addresses

Address Service::address_of(const Endpoint& endpoint) {
  if (!addresses_by_index()) return packed(endpoint);
  const auto it = addresses_.find(endpoint);
  if (it != addresses_.end()) return it->second;
  if (endpoints_.size() >= options_.members.size() + kMaxUnlistedEndpoints) return 0;
  endpoints_.push_back(endpoint);
  return addresses_[endpoint] = endpoints_.size();
}

std::optional<udp::endpoint> Service::endpoint_of(Address address) const {
  if (address == 0) return std::nullopt;
  if (addresses_by_index()) {
    if (address > endpoints_.size()) return std::nullopt;
    return endpoints_[address - 1];
  }
  const auto port = static_cast<std::uint16_t>(address & 0xFFFF);
  const std::uint64_t ip = address >> 16;
  if (port == 0 || ip == 0 || ip > 0xFFFFFFFF) return std::nullopt;
  return Endpoint(asio::ip::address_v4(static_cast<std::uint32_t>(ip)), port);
}

// ------------------------------------------------------------ sending and receiving

// Addresses beyond the list are local to one node and mean nothing to another.
void Service::clear_unlisted_addresses(Message& message) const {
  if (!addresses_by_index()) return;
  for (Update& u : message.updates) {
    if (u.address > options_.members.size()) u.address = 0;
  }
}

void Service::send(const Endpoint& to, Message message) {
  clear_unlisted_addresses(message);
  const std::string bytes = codec_.encode(message);
  error_code error;
  socket_.send_to(asio::buffer(bytes), to, 0, error);
  if (error) {  // treated like a datagram lost on the way
    ++counters_.send_failures;
    return;
  }
  ++counters_.sent;
  counters_.bytes_sent += bytes.size();
}

void Service::send(std::vector<Membership::Outgoing>& out) {
  for (Membership::Outgoing& o : out) {
    if (const auto to = endpoint_of(o.to)) send(*to, std::move(o.message));
  }
  out.clear();
}

void Service::flush(std::vector<Membership::Outgoing>& out) {
  send(out);
  publish_changes();
  arm_timer();
}

void Service::wait_readable() {
  socket_.async_wait(udp::socket::wait_read, [this, alive = alive_](const error_code& error) {
    if (!*alive || error || !running_) return;
    read_datagrams();
    if (running_) wait_readable();
  });
}

// Protects the node's other work: reads a bounded number of datagrams at a time and handles a bounded number
// a second.
void Service::read_datagrams() {
  std::array<char, 2048> buffer;
  std::vector<Membership::Outgoing> out;
  for (int i = 0; i < kMaxReadsPerTurn && running_; ++i) {
    Endpoint from;
    error_code error;
    const std::size_t size = socket_.receive_from(asio::buffer(buffer), from, 0, error);
    if (error == asio::error::would_block || error == asio::error::try_again) break;
    if (error) continue;  // error reported for an earlier datagram of this node, such as port unreachable
    ++counters_.received;
    counters_.bytes_received += size;
    const double at = now();
    tokens_ = std::min(2 * kMaxDatagramsPerSecond, tokens_ + (at - tokens_at_) * kMaxDatagramsPerSecond);
    tokens_at_ = at;
    if (tokens_ < 1) {
      ++counters_.rate_limited;
      continue;
    }
    tokens_ -= 1;
    DecodeError decode_error = DecodeError::kNone;
    auto message = codec_.decode({buffer.data(), size}, decode_error);
    if (!message) {
      ++counters_.decode_errors[static_cast<std::size_t>(decode_error)];
      continue;
    }
    const Address address = address_of(from);
    if (address == 0) {
      ++counters_.unknown_senders;
      continue;
    }
    clear_unlisted_addresses(*message);
    membership_.on_message(at, address, *message, out);
    send(out);
  }
  flush(out);
}

void Service::on_timer() {
  std::vector<Membership::Outgoing> out;
  const double at = now();
  if (at >= membership_.next_tick()) membership_.tick(at, out);
  if (options_.broadcast && broadcasts_sent_ < kStartBroadcasts && at >= next_broadcast_ &&
      !membership_.refused()) {
    ++broadcasts_sent_;
    next_broadcast_ = at + kBroadcastIntervalSeconds;
    send(*options_.broadcast, membership_.hello());
  }
  if (at >= next_drop_log_) {
    next_drop_log_ = at + kDropLogIntervalSeconds;
    log_drops();
  }
  flush(out);
}

void Service::arm_timer() {
  if (!running_) return;
  double next = std::min({membership_.next_tick(), balancers_.next_tick(), next_drop_log_});
  if (options_.broadcast && broadcasts_sent_ < kStartBroadcasts) next = std::min(next, next_broadcast_);
  timer_.expires_at(to_time_point(next));
  timer_.async_wait([this, alive = alive_](const error_code& error) {
    if (*alive && !error && running_) on_timer();
  });
}

// ------------------------------------------------------------ reporting

std::string Service::display_name(const Member& m) const {
  return m.identity_known ? m.identity.name : hex(m.key);
}

std::string Service::display_name(Address address) const {
  const auto to = endpoint_of(address);
  return to ? text_of(*to) : "unknown";
}

void Service::publish_changes() {
  const double at = now();
  for (const Change& change : membership_.changes()) {
    balancers_.on_member_changed(at, change.member);
    log_change(change);
    if (listeners_.changed) listeners_.changed(change);
  }
  const auto& c = membership_.counters();
  if (c.rejoins > std::exchange(logged_rejoins_, c.rejoins)) {
    log_({LogLevel::kWarning,
          "peers",
          "reborn",
          "other members declared this node dead; it rejoins with generation " +
              std::to_string(membership_.generation()),
          {{"life", static_cast<std::int64_t>(membership_.generation())}}});
  }
  if (c.stalls > std::exchange(logged_stalls_, c.stalls)) {
    log_({LogLevel::kWarning,
          "peers",
          "stood",
          "this process was stalled; it raises no suspicions for a while",
          {}});
  }
  if (c.name_conflicts > std::exchange(logged_name_conflicts_, c.name_conflicts)) {
    log_({LogLevel::kError,
          "peers",
          "namesake",
          "another process uses the name " + options_.settings.self.name,
          {{"name", options_.settings.self.name}}});
  }
  if (membership_.refused() && !std::exchange(logged_refused_, true)) {
    log_({LogLevel::kError,
          "peers",
          "refused",
          "the name " + options_.settings.self.name +
              " is held by another process; this node stays out of the cluster",
          {{"name", options_.settings.self.name}}});
  }
  if (balancers_.next_tick() > at) return;
  if (const auto assignment = balancers_.tick(at); assignment && options_.follow_balancers) {
    log_({LogLevel::kInfo,
          "peers",
          "copies",
          "this node is balancer " + std::to_string(assignment->index) + " of " +
              std::to_string(assignment->count),
          {{"index", std::int64_t{assignment->index}},
           {"count", std::int64_t{assignment->count}},
           {"sharers", assignment->rate_limit_divisor}}});
    if (listeners_.assignment) listeners_.assignment(*assignment);
  }
}

void Service::log_change(const Change& change) {
  const Member& m = change.member;
  const bool same = change.before == m.state && !change.first_seen;
  const char* event = same                               ? "member_described"
                      : m.state == MemberState::kAlive   ? "member_alive"
                      : m.state == MemberState::kSuspect ? "member_suspect"
                      : m.state == MemberState::kLeaving ? "member_leaving"
                      : m.state == MemberState::kDead    ? "member_dead"
                                                         : "member_left";
  const LogLevel level = m.state == MemberState::kDead      ? LogLevel::kWarning
                         : m.state == MemberState::kSuspect ? LogLevel::kDebug
                                                            : LogLevel::kInfo;
  std::string by = change.source == membership_.key() ? "itself" : "";
  if (by.empty()) {
    const auto who = membership_.find(change.source);
    by = who ? display_name(*who) : hex(change.source);
  }
  log_({level,
        "peers",
        event,
        display_name(m) + " is " + name_of(m.state) + (change.first_seen ? ", new" : "") + ", reported by " +
            by,
        {{"member", display_name(m)},
         {"key", hex(m.key)},
         {"life", static_cast<std::int64_t>(m.generation)},
         {"zone", m.identity.zone},
         {"tier", std::int64_t{m.identity.tier}},
         {"before", std::string(change.first_seen ? "unknown" : name_of(change.before))},
         {"by", by}}});
}

void Service::log_drops() {
  std::uint64_t dropped =
      counters_.unknown_senders - logged_.unknown_senders + counters_.rate_limited - logged_.rate_limited;
  std::vector<LogField> fields = {
      {"strangers", static_cast<std::int64_t>(counters_.unknown_senders - logged_.unknown_senders)},
      {"flooded", static_cast<std::int64_t>(counters_.rate_limited - logged_.rate_limited)}};
  static constexpr const char* kNames[kDecodeErrorCount] = {"none",          "malformed", "version",
                                                            "other_cluster", "seal",      "replay"};
  for (std::size_t i = 1; i < kDecodeErrorCount; ++i) {
    const std::uint64_t more = counters_.decode_errors[i] - logged_.decode_errors[i];
    // A few duplicates are normal in a network.
    if (i != static_cast<std::size_t>(DecodeError::kReplay) || more > 10) dropped += more;
    fields.push_back({kNames[i], static_cast<std::int64_t>(more)});
  }
  logged_ = counters_;
  if (dropped == 0) return;
  log_({LogLevel::kWarning, "peers", "dropped", std::to_string(dropped) + " datagrams dropped",
        std::move(fields)});
}

void Service::announce_leaving() {
  std::vector<Membership::Outgoing> out;
  membership_.announce_leaving(now(), out);
  flush(out);
}

void Service::leave() {
  if (!running_) return;
  std::vector<Membership::Outgoing> out;
  membership_.leave(now(), out);
  if (options_.broadcast && !out.empty()) send(*options_.broadcast, out.front().message);
  flush(out);
  running_ = false;
  timer_.cancel();
  error_code ignored;
  socket_.cancel(ignored);
}

std::string Service::report() const {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  const double at = now();
  const auto text = [&](const char* name, const std::string& value) {
    w.Key(name);
    w.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  const auto number = [&](const char* name, std::uint64_t value) {
    w.Key(name);
    w.Uint64(value);
  };
  const auto age = [&](const char* name, double since) {
    w.Key(name);
    if (since < -1e17) {
      w.Null();
    } else {
      w.Double(std::round((at - since) * 1000) / 1000);
    }
  };
  w.StartObject();
  text("name", options_.settings.self.name);
  text("cluster", options_.cluster.name);
  text("address", text_of(address()));
  w.Key("sealed");
  w.Bool(codec_.authenticated());
  w.Key("refused");
  w.Bool(membership_.refused());
  number("life", membership_.generation());
  number("health", static_cast<std::uint64_t>(membership_.health()));
  number("living", membership_.live_count());
  w.Key("copies");
  w.StartObject();
  w.Key("followed");
  w.Bool(options_.follow_balancers);
  number("index", static_cast<std::uint64_t>(balancers_.assignment().index));
  number("count", static_cast<std::uint64_t>(balancers_.assignment().count));
  w.Key("sharers");
  w.Double(balancers_.assignment().rate_limit_divisor);
  w.EndObject();
  w.Key("members");
  w.StartArray();
  for (const Member& m : membership_.members()) {
    w.StartObject();
    text("name", display_name(m));
    text("key", hex(m.key));
    text("state", name_of(m.state));
    number("life", m.generation);
    number("incarnation", m.incarnation);
    text("zone", m.identity.zone);
    text("region", m.identity.region);
    number("tier", m.identity.tier);
    number("number", m.identity.number);
    text("version", m.identity.version);
    text("address", m.key == membership_.key() ? text_of(address()) : display_name(m.address));
    age("for_s", m.since);
    age("heard_s", m.heard_at);
    number("reached_by", m.reached_by);
    number("doubted_by", m.suspected_by);
    w.EndObject();
  }
  w.EndArray();
  const Membership::Counters& c = membership_.counters();
  w.Key("counters");
  w.StartObject();
  number("sent", counters_.sent);
  number("bytes_sent", counters_.bytes_sent);
  number("received", counters_.received);
  number("bytes_received", counters_.bytes_received);
  number("unsent", counters_.send_failures);
  number("strangers", counters_.unknown_senders);
  number("flooded", counters_.rate_limited);
  for (std::size_t i = 1; i < kDecodeErrorCount; ++i) {
    number(
        (std::string("refused_") + (i == 3 ? "other_cluster" : name_of(static_cast<DecodeError>(i)))).c_str(),
        counters_.decode_errors[i]);
  }
  number("probes", c.probes);
  number("failed_probes", c.failed_probes);
  number("accusations", c.suspicions);
  number("refuted", c.refuted);
  number("deaths_declared", c.deaths_declared);
  number("rebirths", c.rejoins);
  number("stood", c.stalls);
  number("namesakes", c.name_conflicts);
  number("contested", c.contested_names);
  number("no_room", c.overflow);
  number("incredible", c.implausible_generations);
  number("held_back", c.rate_limited_replies);
  w.EndObject();
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace nettlestand::peers
