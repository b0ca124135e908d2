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

constexpr int kTurn = 64;            // datagrams that are read before others on the loop have their turn
constexpr double kMostTaken = 1000;  // datagrams a second that are looked at; what is over is dropped
constexpr std::size_t kMostElsewhere = 4096;  // endpoints beyond the list that are remembered
constexpr double kCountsEvery = 10;           // s between lines on what was dropped
constexpr int kTellAll = 3;                   // times that `all` hears of a start,
constexpr double kTellAllEvery = 1;           // s apart
constexpr int kReceiveBuffer = 256 * 1024;

// A hint alone: a process whose clock is wrong is told which lives are taken.
std::uint64_t life_hint() {
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

// In a list of all its own place, else its address.
Settings settings_of(const ServiceOptions& o, const udp::endpoint& at) {
  Settings out = o.settings;
  out.life = life_hint();
  out.seed = o.seed;
  out.address = o.members.empty() ? packed(at) : static_cast<Address>(o.copies.index) + 1;
  return out;
}

CopiesSettings copies_of(const ServiceOptions& o) {
  CopiesSettings out = o.copies;
  out.self = o.settings.self;
  return out;
}

void check(const ServiceOptions& o) {
  for (const auto* list : {&o.members, &o.join}) {
    for (const udp::endpoint& e : *list) {
      if (!e.address().is_v4() || e.port() == 0)
        throw std::invalid_argument("peers: an address is not IPv4 with a port");
    }
  }
  if (!o.members.empty() && static_cast<std::size_t>(o.copies.index) >= o.members.size()) {
    throw std::invalid_argument("peers: this node's number is not a place in the list of members");
  }
}

}  // namespace

void identify(ServiceOptions& options, const Place& place) {
  Identity& self = options.settings.self;
  self.name = place.name.substr(0, kLongestName);
  self.zone = place.zone.substr(0, kLongestShort);
  self.version = std::string(NETTLESTAND_VERSION).substr(0, kLongestShort);
  self.tier = static_cast<std::uint8_t>(std::clamp(place.tier, 0, 255));
  self.number = static_cast<std::uint32_t>(std::max(0, place.position));
  options.copies.index = place.position;
  options.copies.count = place.count;
  options.seed = place.seed;
}

std::vector<std::string> read_keys(const std::string& text) {
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
    if (out.size() > 2) wrong("a third key; two at the most");
  }
  if (out.empty()) throw std::runtime_error("the file of keys holds none");
  return out;
}

Service::Service(asio::io_context& io, ServiceOptions options, Listeners listeners, Log log)
    : io_(io),
      options_((check(options), std::move(options))),
      listeners_(std::move(listeners)),
      log_(std::move(log)),
      socket_(io, udp::v4()),
      timer_(io),
      wire_(options_.cluster),
      core_([this] {
        socket_.set_option(udp::socket::receive_buffer_size(kReceiveBuffer));
        socket_.bind(options_.listen);
        socket_.non_blocking(true);
        return settings_of(options_, socket_.local_endpoint());
      }()),
      copies_(copies_of(options_), now()) {
  for (const udp::endpoint& e : options_.members) {
    endpoints_.push_back(e);
    places_[e] = endpoints_.size();
  }
}

Service::~Service() { *alive_ = false; }

void Service::start() {
  running_ = true;
  tokens_ = 2 * kMostTaken;
  tokens_at_ = now();
  next_counts_ = now() + kCountsEvery;
  next_all_ = now();
  log_({LogLevel::kInfo,
        "peers",
        "started",
        "membership on " + text_of(address()) + " as " + options_.settings.self.name,
        {{"address", text_of(address())},
         {"name", options_.settings.self.name},
         {"life", static_cast<std::int64_t>(core_.life())},
         {"sealed", wire_.sealed()}}});
  std::vector<Membership::Out> out;
  core_.start(now(), asked_first(), out);
  deliver(out);
  await();
}

void Service::reload(const ServiceOptions& next) {
  check(next);
  if (next.members.empty() != options_.members.empty() || next.copies.index != options_.copies.index) {
    throw std::invalid_argument(
        "peers: how nodes are named, and which of them this is, holds until the next start");
  }
  wire_.keys(next.cluster.keys);
  for (std::size_t i = 0; i < next.members.size(); ++i) {
    if (i < options_.members.size() && endpoints_[i] == next.members[i]) continue;
    if (i >= options_.members.size()) {
      throw std::invalid_argument("peers: more members than at the start");
    }
    if (places_[endpoints_[i]] == i + 1) places_.erase(endpoints_[i]);
    endpoints_[i] = next.members[i];
    places_[next.members[i]] = i + 1;
  }
  options_.members = next.members;
  options_.join = next.join;
  options_.cluster = next.cluster;
  core_.join(asked_first());
}

std::vector<Address> Service::asked_first() {
  std::vector<Address> out;
  if (by_place()) {
    for (std::size_t i = 0; i < options_.members.size(); ++i) out.push_back(i + 1);
  } else {
    for (const udp::endpoint& e : options_.join) out.push_back(packed(e));
  }
  return out;
}

// ------------------------------------------------------------ addresses

Address Service::address_of(const Endpoint& endpoint) {
  if (!by_place()) return packed(endpoint);
  const auto it = places_.find(endpoint);
  if (it != places_.end()) return it->second;
  if (endpoints_.size() >= options_.members.size() + kMostElsewhere) return 0;
  endpoints_.push_back(endpoint);
  return places_[endpoint] = endpoints_.size();
}

std::optional<udp::endpoint> Service::endpoint_of(Address address) const {
  if (address == 0) return std::nullopt;
  if (by_place()) {
    if (address > endpoints_.size()) return std::nullopt;
    return endpoints_[address - 1];
  }
  const auto port = static_cast<std::uint16_t>(address & 0xFFFF);
  const std::uint64_t ip = address >> 16;
  if (port == 0 || ip == 0 || ip > 0xFFFFFFFF) return std::nullopt;
  return Endpoint(asio::ip::address_v4(static_cast<std::uint32_t>(ip)), port);
}

// ------------------------------------------------------------ sending and taking

// Places beyond the list are one node's own numbers, and mean nothing to another.
void Service::keep_listed(Message& message) const {
  if (!by_place()) return;
  for (Update& u : message.updates) {
    if (u.address > options_.members.size()) u.address = 0;
  }
}

void Service::send(const Endpoint& to, Message message) {
  keep_listed(message);
  const std::string bytes = wire_.encode(message);
  error_code error;
  socket_.send_to(asio::buffer(bytes), to, 0, error);
  if (error) {  // as lost on the way
    ++counters_.unsent;
    return;
  }
  ++counters_.sent;
  counters_.bytes_sent += bytes.size();
}

void Service::send(std::vector<Membership::Out>& out) {
  for (Membership::Out& o : out) {
    if (const auto to = endpoint_of(o.to)) send(*to, std::move(o.message));
  }
  out.clear();
}

void Service::deliver(std::vector<Membership::Out>& out) {
  send(out);
  follow_changes();
  arm();
}

void Service::await() {
  socket_.async_wait(udp::socket::wait_read, [this, alive = alive_](const error_code& error) {
    if (!*alive || error || !running_) return;
    take();
    if (running_) await();
  });
}

// Guards the node's other work: so many at a time, and so many a second, whatever comes.
void Service::take() {
  std::array<char, 2048> buffer;
  std::vector<Membership::Out> out;
  for (int i = 0; i < kTurn && running_; ++i) {
    Endpoint from;
    error_code error;
    const std::size_t size = socket_.receive_from(asio::buffer(buffer), from, 0, error);
    if (error == asio::error::would_block || error == asio::error::try_again) break;
    if (error) continue;  // what an earlier datagram of this node has met: port unreachable
    ++counters_.received;
    counters_.bytes_received += size;
    const double at = now();
    tokens_ = std::min(2 * kMostTaken, tokens_ + (at - tokens_at_) * kMostTaken);
    tokens_at_ = at;
    if (tokens_ < 1) {
      ++counters_.flooded;
      continue;
    }
    tokens_ -= 1;
    Refusal why = Refusal::kNone;
    auto message = wire_.decode({buffer.data(), size}, why);
    if (!message) {
      ++counters_.refused[static_cast<std::size_t>(why)];
      continue;
    }
    const Address address = address_of(from);
    if (address == 0) {
      ++counters_.strangers;
      continue;
    }
    keep_listed(*message);
    core_.message(at, address, *message, out);
    send(out);
  }
  deliver(out);
}

void Service::turn() {
  std::vector<Membership::Out> out;
  const double at = now();
  if (at >= core_.next()) core_.tick(at, out);
  if (options_.all && told_all_ < kTellAll && at >= next_all_ && !core_.refused()) {
    ++told_all_;
    next_all_ = at + kTellAllEvery;
    send(*options_.all, core_.hello());
  }
  if (at >= next_counts_) {
    next_counts_ = at + kCountsEvery;
    tell_counts();
  }
  deliver(out);
}

void Service::arm() {
  if (!running_) return;
  double next = std::min({core_.next(), copies_.next(), next_counts_});
  if (options_.all && told_all_ < kTellAll) next = std::min(next, next_all_);
  timer_.expires_at(at(next));
  timer_.async_wait([this, alive = alive_](const error_code& error) {
    if (*alive && !error && running_) turn();
  });
}

// ------------------------------------------------------------ what is told

std::string Service::shown(const Member& m) const { return m.described ? m.id.name : hex(m.key); }

std::string Service::shown(Address address) const {
  const auto to = endpoint_of(address);
  return to ? text_of(*to) : "unknown";
}

void Service::follow_changes() {
  const double at = now();
  for (const Change& change : core_.changes()) {
    copies_.changed(at, change.member);
    tell(change);
    if (listeners_.changed) listeners_.changed(change);
  }
  const auto& c = core_.counters();
  if (c.rebirths > std::exchange(told_rebirths_, c.rebirths)) {
    log_({LogLevel::kWarning,
          "peers",
          "reborn",
          "others had taken this node for dead: it goes on as life " + std::to_string(core_.life()),
          {{"life", static_cast<std::int64_t>(core_.life())}}});
  }
  if (c.stood > std::exchange(told_stood_, c.stood)) {
    log_({LogLevel::kWarning, "peers", "stood", "this process stood: it accuses nobody for a while", {}});
  }
  if (c.namesakes > std::exchange(told_namesakes_, c.namesakes)) {
    log_({LogLevel::kError,
          "peers",
          "namesake",
          "another process is there under the name " + options_.settings.self.name,
          {{"name", options_.settings.self.name}}});
  }
  if (core_.refused() && !std::exchange(told_refused_, true)) {
    log_({LogLevel::kError,
          "peers",
          "refused",
          "the name " + options_.settings.self.name +
              " is another process's: this one stays out of membership",
          {{"name", options_.settings.self.name}}});
  }
  if (copies_.next() > at) return;
  if (const auto split = copies_.tick(at); split && options_.follow) {
    log_({LogLevel::kInfo,
          "peers",
          "copies",
          "this is copy " + std::to_string(split->index) + " of " + std::to_string(split->count),
          {{"index", std::int64_t{split->index}},
           {"count", std::int64_t{split->count}},
           {"sharers", split->sharers}}});
    if (listeners_.split) listeners_.split(*split);
  }
}

void Service::tell(const Change& change) {
  const Member& m = change.member;
  const bool same = change.before == m.state && !change.first;
  const char* event = same                         ? "member_described"
                      : m.state == State::kAlive   ? "member_alive"
                      : m.state == State::kSuspect ? "member_suspect"
                      : m.state == State::kLeaving ? "member_leaving"
                      : m.state == State::kDead    ? "member_dead"
                                                   : "member_left";
  const LogLevel level = m.state == State::kDead      ? LogLevel::kWarning
                         : m.state == State::kSuspect ? LogLevel::kDebug
                                                      : LogLevel::kInfo;
  std::string by = change.by == core_.key() ? "itself" : "";
  if (by.empty()) {
    const auto who = core_.find(change.by);
    by = who ? shown(*who) : hex(change.by);
  }
  log_({level,
        "peers",
        event,
        shown(m) + " is " + name_of(m.state) + (change.first ? ", new" : "") + ", told by " + by,
        {{"member", shown(m)},
         {"key", hex(m.key)},
         {"life", static_cast<std::int64_t>(m.life)},
         {"zone", m.id.zone},
         {"tier", std::int64_t{m.id.tier}},
         {"before", std::string(change.first ? "unknown" : name_of(change.before))},
         {"by", by}}});
}

void Service::tell_counts() {
  std::uint64_t dropped = counters_.strangers - told_.strangers + counters_.flooded - told_.flooded;
  std::vector<LogField> fields = {
      {"strangers", static_cast<std::int64_t>(counters_.strangers - told_.strangers)},
      {"flooded", static_cast<std::int64_t>(counters_.flooded - told_.flooded)}};
  static constexpr const char* kNames[kRefusals] = {"none",          "malformed", "version",
                                                    "other_cluster", "seal",      "replay"};
  for (std::size_t i = 1; i < kRefusals; ++i) {
    const std::uint64_t more = counters_.refused[i] - told_.refused[i];
    // A repeat now and then is the network's.
    if (i != static_cast<std::size_t>(Refusal::kReplay) || more > 10) dropped += more;
    fields.push_back({kNames[i], static_cast<std::int64_t>(more)});
  }
  told_ = counters_;
  if (dropped == 0) return;
  log_({LogLevel::kWarning, "peers", "dropped", std::to_string(dropped) + " datagrams were dropped",
        std::move(fields)});
}

void Service::leaving() {
  std::vector<Membership::Out> out;
  core_.leaving(now(), out);
  deliver(out);
}

void Service::leave() {
  if (!running_) return;
  std::vector<Membership::Out> out;
  core_.leave(now(), out);
  if (options_.all && !out.empty()) send(*options_.all, out.front().message);
  deliver(out);
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
  w.Bool(wire_.sealed());
  w.Key("refused");
  w.Bool(core_.refused());
  number("life", core_.life());
  number("health", static_cast<std::uint64_t>(core_.health()));
  number("living", core_.living());
  w.Key("copies");
  w.StartObject();
  w.Key("followed");
  w.Bool(options_.follow);
  number("index", static_cast<std::uint64_t>(copies_.split().index));
  number("count", static_cast<std::uint64_t>(copies_.split().count));
  w.Key("sharers");
  w.Double(copies_.split().sharers);
  w.EndObject();
  w.Key("members");
  w.StartArray();
  for (const Member& m : core_.members()) {
    w.StartObject();
    text("name", shown(m));
    text("key", hex(m.key));
    text("state", name_of(m.state));
    number("life", m.life);
    number("incarnation", m.incarnation);
    text("zone", m.id.zone);
    text("region", m.id.region);
    number("tier", m.id.tier);
    number("number", m.id.number);
    text("version", m.id.version);
    text("address", m.key == core_.key() ? text_of(address()) : shown(m.address));
    age("for_s", m.since);
    age("heard_s", m.heard_at);
    number("reached_by", m.reached_by);
    number("doubted_by", m.doubted_by);
    w.EndObject();
  }
  w.EndArray();
  const Membership::Counters& c = core_.counters();
  w.Key("counters");
  w.StartObject();
  number("sent", counters_.sent);
  number("bytes_sent", counters_.bytes_sent);
  number("received", counters_.received);
  number("bytes_received", counters_.bytes_received);
  number("unsent", counters_.unsent);
  number("strangers", counters_.strangers);
  number("flooded", counters_.flooded);
  for (std::size_t i = 1; i < kRefusals; ++i) {
    number((std::string("refused_") + (i == 3 ? "other_cluster" : name_of(static_cast<Refusal>(i)))).c_str(),
           counters_.refused[i]);
  }
  number("probes", c.probes);
  number("failed_probes", c.failed_probes);
  number("accusations", c.accusations);
  number("refuted", c.refuted);
  number("deaths_declared", c.deaths_declared);
  number("rebirths", c.rebirths);
  number("stood", c.stood);
  number("namesakes", c.namesakes);
  number("contested", c.contested);
  number("no_room", c.overflow);
  number("incredible", c.incredible);
  number("held_back", c.unsent);
  w.EndObject();
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace nettlestand::peers
