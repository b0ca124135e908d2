#include "daemon/operator_file.h"

#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <map>
#include <set>
#include <utility>

#include "util/endpoint.h"

namespace nettlestand {
namespace {

namespace qu = quinceusher;

constexpr double kHourMs = 3'600'000, kDayMs = 86'400'000;
constexpr std::size_t kLongestName = 128, kLongestServer = 255;  // bytes

// How many bytes to change, add or drop to make one name of another (Levenshtein).
std::size_t distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t corner = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t change = corner + (a[i - 1] == b[j - 1] ? 0 : 1);
      corner = std::exchange(row[j], std::min({row[j] + 1, row[j - 1] + 1, change}));
    }
  }
  return row.back();
}

std::string plain(double value) {
  std::array<char, 32> out{};
  std::snprintf(out.data(), out.size(), "%.10g", value);
  return out.data();
}

const char* kind_of(const toml::node& node) {
  switch (node.type()) {
    case toml::node_type::table:
      return "a table";
    case toml::node_type::array:
      return "an array";
    case toml::node_type::string:
      return "a string";
    case toml::node_type::integer:
      return "a whole number";
    case toml::node_type::floating_point:
      return "a decimal number";
    case toml::node_type::boolean:
      return "a boolean";
    default:
      return "a date or time";
  }
}

class Problems {
 public:
  explicit Problems(std::vector<Problem>& to) : to_(to) {}
  void add(const toml::source_region& where, std::string text) {
    to_.push_back({where.begin.line, where.begin.column, std::move(text)});
  }

 private:
  std::vector<Problem>& to_;
};

// One table of the file. Each key that is asked for is known; finish() tells of the others.
class Section {
 public:
  Section(Problems& problems, const toml::table* table, std::string name)
      : problems_(problems), table_(table), name_(std::move(name)) {}

  bool there() const { return table_ != nullptr; }
  toml::source_region where() const {
    return table_ != nullptr ? table_->source() : toml::source_region{{1, 1}, {1, 1}, {}};
  }
  toml::source_region where(const char* key) const {
    const toml::node* node = table_ != nullptr ? table_->get(key) : nullptr;
    return node != nullptr ? node->source() : where();
  }
  bool has(const char* key) const { return table_ != nullptr && table_->contains(key); }
  void wrong(const char* key, const std::string& what) {
    problems_.add(where(key), name_ + "." + key + ": " + what);
  }
  void missing(const char* key) { problems_.add(where(), name_ + "." + key + " is missing"); }

  const toml::node* find(const char* key, const char* wanted, bool (*is)(const toml::node&)) {
    known_.insert(key);
    const toml::node* node = table_ != nullptr ? table_->get(key) : nullptr;
    if (node == nullptr || is(*node)) return node;
    wrong(key, std::string("is ") + kind_of(*node) + " where " + wanted + " belongs");
    return nullptr;
  }

  std::optional<std::string> text(const char* key, std::size_t longest) {
    const toml::node* node = find(key, "a string", [](const toml::node& n) { return n.is_string(); });
    if (node == nullptr) return std::nullopt;
    const std::string out = **node->as_string();
    if (out.empty() || out.size() > longest) {
      wrong(key, "is not 1 to " + std::to_string(longest) + " bytes");
      return std::nullopt;
    }
    const auto control = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; };
    if (std::any_of(out.begin(), out.end(), control)) wrong(key, "holds a control character");
    return out;
  }

  double whole(const char* key, double otherwise, double least, double most) {
    const toml::node* node = find(key, "a whole number", [](const toml::node& n) { return n.is_integer(); });
    return node == nullptr ? otherwise
                           : ranged(key, static_cast<double>(**node->as_integer()), otherwise, least, most);
  }
  double number(const char* key, double otherwise, double least, double most) {
    const toml::node* node = find(key, "a number", [](const toml::node& n) { return n.is_number(); });
    if (node == nullptr) return otherwise;
    const double value =
        node->is_integer() ? static_cast<double>(**node->as_integer()) : **node->as_floating_point();
    return ranged(key, value, otherwise, least, most);
  }
  // In ms, as s.
  double ms(const char* key, double otherwise_ms, double least_ms, double most_ms) {
    return whole(key, otherwise_ms, least_ms, most_ms) / 1000;
  }

  std::optional<boost::asio::ip::tcp::endpoint> address(const char* key) {
    const auto text = this->text(key, 255);
    if (!text) return std::nullopt;
    const auto out = endpoint_of(*text);
    if (!out) wrong(key, "'" + *text + "' is not an address and a port (names are not resolved)");
    return out;
  }

  bool flag(const char* key, bool otherwise) {
    const toml::node* node = find(key, "a boolean", [](const toml::node& n) { return n.is_boolean(); });
    return node == nullptr ? otherwise : **node->as_boolean();
  }

  // A list of addresses, none of them twice.
  std::vector<boost::asio::ip::tcp::endpoint> addresses(const char* key) {
    std::vector<boost::asio::ip::tcp::endpoint> out;
    const toml::node* node = find(key, "an array", [](const toml::node& n) { return n.is_array(); });
    if (node == nullptr) return out;
    if (node->as_array()->size() > 10000) wrong(key, "more than 10000");
    for (const toml::node& item : *node->as_array()) {
      const auto problem = [&](const std::string& what) {
        problems_.add(item.source(), name_ + "." + key + ": " + what);
      };
      if (!item.is_string()) {
        problem(std::string(kind_of(item)) + " where an address belongs");
        continue;
      }
      const auto e = endpoint_of(**item.as_string());
      if (!e) {
        problem("'" + **item.as_string() + "' is not an address and a port (names are not resolved)");
      } else if (std::find(out.begin(), out.end(), *e) != out.end()) {
        problem("'" + **item.as_string() + "' stands there twice");
      } else {
        out.push_back(*e);
      }
    }
    return out;
  }

  // The place of a word among those that are allowed.
  std::size_t word(const char* key, const std::vector<std::string>& words, std::size_t otherwise) {
    const auto text = this->text(key, kLongestName);
    if (!text) return otherwise;
    const auto it = std::find(words.begin(), words.end(), *text);
    if (it != words.end()) return static_cast<std::size_t>(it - words.begin());
    std::string all;
    for (const std::string& word : words) all += (all.empty() ? "" : ", ") + word;
    wrong(key, "'" + *text + "' is none of " + all);
    return otherwise;
  }

  void finish() {
    if (table_ == nullptr) return;
    for (const auto& [key, node] : *table_) {
      if (known_.contains(std::string(key.str()))) continue;
      std::string text = "unknown key '" + std::string(key.str()) + "' in " + name_;
      // The nearest one by far, or one that it begins.
      const auto far = [&](const std::string& known) {
        return known.starts_with(key.str()) ? 0 : distance(known, key.str());
      };
      const auto nearest = std::min_element(known_.begin(), known_.end(),
                                            [&](const auto& a, const auto& b) { return far(a) < far(b); });
      if (nearest != known_.end() && far(*nearest) <= 2) text += "; did you mean '" + *nearest + "'?";
      problems_.add(key.source(), text);
    }
  }

 protected:
  double ranged(const char* key, double value, double otherwise, double least, double most) {
    if (value >= least && value <= most) return value;
    wrong(key, plain(value) + " is not from " + plain(least) + " to " + plain(most));
    return otherwise;
  }

  Problems& problems_;
  const toml::table* table_;
  const std::string name_;
  std::set<std::string> known_;
};

// Sections that may come several times, as [[class]].
std::vector<const toml::table*> tables(Section& root, Problems& problems, const char* key) {
  std::vector<const toml::table*> out;
  const toml::node* node =
      root.find(key, "a list of tables", [](const toml::node& n) { return n.is_array(); });
  if (node == nullptr) return out;
  for (const toml::node& item : *node->as_array()) {
    if (item.is_table()) {
      out.push_back(item.as_table());
    } else {
      problems.add(item.source(), std::string(key) + ": " + kind_of(item) + " where a table belongs");
    }
  }
  return out;
}

class Reader {
 public:
  Reader(const toml::table& root, bool alone, std::vector<Problem>& to)
      : problems_(to), root_(problems_, &root, "the file"), alone_(alone) {}

  Config read() {
    node();
    limits();
    warm_up();
    listener();
    log();
    classes();
    tenants();
    discovery();
    servers();
    peers();
    all_duties();
    control();
    root_.finish();
    identify(out_);
    return std::move(out_);
  }

 private:
  Section section(const char* name) {
    const toml::node* node = root_.find(name, "a table", [](const toml::node& n) { return n.is_table(); });
    return {problems_, node == nullptr ? nullptr : node->as_table(), name};
  }

  void node() {
    Section s = section("node");
    out_.name = s.text("name", kLongestName).value_or("nettlestand");
    if (const auto listen = s.address("listen")) {
      out_.listen = *listen;
    } else if (alone_ && !s.has("listen")) {
      s.missing("listen");
    }
    out_.settings.copy_count = static_cast<int>(s.whole("nodes", 1, 1, 100000));
    out_.settings.copy_index = static_cast<int>(s.whole("position", 0, 0, 99999));
    if (out_.settings.copy_index >= out_.settings.copy_count) {
      s.wrong("position", plain(out_.settings.copy_index) + " is not under node.nodes, which is " +
                              plain(out_.settings.copy_count));
    }
    out_.settings.tier = static_cast<int>(s.whole("tier", 0, 0, 1000));
    out_.seed = static_cast<std::uint64_t>(s.whole("seed", 0, 1, 9e15));
    if (const toml::node* zones =
            s.find("zones", "an array", [](const toml::node& n) { return n.is_array(); })) {
      for (const toml::node& item : *zones->as_array()) zone_named(item);
      if (out_.zones.size() > 1000) s.wrong("zones", "more than 1000");
    } else {
      zones_known_ = !s.has("zones");
    }
    if (const auto zone = s.text("zone", kLongestName)) out_.settings.zone = zone_of(s, *zone);
    s.finish();
  }

  void zone_named(const toml::node& item) {
    if (!item.is_string()) {
      return problems_.add(item.source(),
                           std::string("node.zones: ") + kind_of(item) + " where a string belongs");
    }
    const std::string& name = **item.as_string();
    if (name.empty() || name.size() > kLongestName) {
      problems_.add(item.source(), "node.zones: a name is not 1 to 128 bytes");
    } else if (std::find(out_.zones.begin(), out_.zones.end(), name) != out_.zones.end()) {
      problems_.add(item.source(), "node.zones: '" + name + "' stands there twice");
    } else {
      out_.zones.push_back(name);
    }
  }

  int zone_of(Section& s, const std::string& name) {
    const auto it = std::find(out_.zones.begin(), out_.zones.end(), name);
    if (it != out_.zones.end()) return static_cast<int>(it - out_.zones.begin());
    if (zones_known_) s.wrong("zone", "'" + name + "' is none of node.zones");
    return 0;
  }

  void limits() {
    Section s = section("limits");
    out_.sockets = static_cast<std::size_t>(s.whole("sockets", 1024, 64, 2147483647));
    out_.memory_mb = static_cast<std::size_t>(s.whole("memory_mb", 64, 16, 1e6));
    out_.settings.max_attempts = static_cast<int>(s.whole("max_attempts", 4, 1, 1000));
    out_.settings.max_retry_after = s.ms("max_retry_after_ms", 2000, 0, kHourMs);
    out_.connect_timeout = s.ms("connect_timeout_ms", 250, 1, 600'000);
    out_.idle_close = s.ms("server_idle_close_ms", 5000, 10, kDayMs);
    out_.settings.can_cancel = true;
    s.finish();
  }

  void warm_up() {
    Section s = section("warm_up");
    out_.settings.start_capacity = s.number("start_capacity", 1, 0, 1);
    out_.settings.ramp_time = s.ms("ramp_ms", 0, 0, kDayMs);
    if (out_.settings.start_capacity < 1 && out_.settings.ramp_time == 0) {
      s.wrong("start_capacity", "is under 1, and no warm_up.ramp_ms says when a server has the rest");
    }
    s.finish();
  }

  void listener() {
    Section s = section("listener");
    const ListenerLimits usual;
    out_.listener.idle = s.ms("idle_ms", usual.idle * 1000, 2000, kDayMs);
    out_.listener.read = s.ms("read_ms", usual.read * 1000, 100, kHourMs);
    out_.listener.write = s.ms("write_ms", usual.write * 1000, 100, kHourMs);
    s.finish();
  }

  // Where the platform says who the others are, `listen`, `members` and `join` are its.
  void peers() {
    Section s = section("peers");
    if (!s.there()) return;
    namespace pe = nettlestand::peers;
    pe::ServiceOptions& o = out_.peers.emplace();
    const auto udp = [&](const char* key, const boost::asio::ip::tcp::endpoint& e) {
      if (!e.address().is_v4() || e.port() == 0) s.wrong(key, "is not an IPv4 address with a port from 1");
      return boost::asio::ip::udp::endpoint(e.address(), e.port());
    };
    if (const auto listen = s.address("listen")) {
      o.listen = udp("listen", *listen);
    } else if (alone_ && !s.has("listen")) {
      s.missing("listen");
    }
    for (const char* key : {"members", "join"}) {
      for (const auto& e : s.addresses(key)) (key[0] == 'm' ? o.members : o.join).push_back(udp(key, e));
    }
    if (!o.members.empty() && !o.join.empty())
      s.wrong("join", "stands beside peers.members, which names all");
    if (alone_ && !s.has("members") && !s.has("join")) s.missing("members or peers.join");
    if (!o.members.empty() && o.members.size() != static_cast<std::size_t>(out_.settings.copy_count)) {
      s.wrong("members", plain(static_cast<double>(o.members.size())) + " where node.nodes says " +
                             plain(out_.settings.copy_count));
    }
    const std::size_t most = pe::kMaxLabelBytes;
    if (const auto cluster = s.text("cluster", kLongestName)) o.cluster.name = *cluster;
    out_.peers_key_file = s.text("key_file", 4096).value_or("");
    o.settings.self.region = s.text("region", most).value_or("");
    o.follow_balancers = s.flag("follow", true);
    o.settings.probe_interval = s.ms("period_ms", o.settings.probe_interval * 1000, 60, 60'000);
    o.settings.ack_timeout = s.ms("timeout_ms", o.settings.ack_timeout * 1000, 10, 10'000);
    o.settings.confirmations = static_cast<int>(s.whole("accusers", o.settings.confirmations, 1, 16));
    o.settings.min_suspicion = s.ms("least_doubt_ms", o.settings.min_suspicion * 1000, 40, 60'000);
    o.settings.max_suspicion = s.ms("most_doubt_ms", o.settings.max_suspicion * 1000, 40, 600'000);
    o.settings.rediscovery_interval =
        s.ms("seek_period_ms", o.settings.rediscovery_interval * 1000, 100, kHourMs);
    o.settings.name_conflict_timeout =
        s.ms("patience_ms", o.settings.name_conflict_timeout * 1000, 100, kHourMs);
    o.balancers.join_delay = s.ms("hold_new_ms", o.balancers.join_delay * 1000, 0, kHourMs);
    o.balancers.loss_delay = s.ms("hold_lost_ms", o.balancers.loss_delay * 1000, 0, kHourMs);
    if (o.settings.ack_timeout * pe::kMinIntervalTimeouts > o.settings.probe_interval) {
      s.wrong("timeout_ms",
              "is over a sixth of peers.period_ms, which is " + plain(o.settings.probe_interval * 1000));
    }
    if (o.settings.min_suspicion < o.settings.ack_timeout * pe::kMinSuspicionTimeouts) {
      s.wrong("least_doubt_ms",
              "is under four times peers.timeout_ms, which is " + plain(o.settings.ack_timeout * 1000));
    }
    if (o.settings.max_suspicion < o.settings.min_suspicion) {
      s.wrong("most_doubt_ms",
              "is under peers.least_doubt_ms, which is " + plain(o.settings.min_suspicion * 1000));
    }
    if (out_.name.size() > pe::kMaxNameBytes)
      root_.wrong("node", "name: over 32 bytes, which [peers] can't tell of");
    const auto zone = static_cast<std::size_t>(out_.settings.zone);
    if (zone < out_.zones.size() && out_.zones[zone].size() > most) {
      root_.wrong("node", "zone: over 12 bytes, which [peers] can't tell of");
    }
    s.finish();
  }

  // Names, none of them empty or too long.
  std::vector<std::string> names(Section& s, const char* key, std::size_t longest, std::size_t most) {
    std::vector<std::string> out;
    const toml::node* node = s.find(key, "an array", [](const toml::node& n) { return n.is_array(); });
    if (node == nullptr) return out;
    for (const toml::node& item : *node->as_array()) {
      if (!item.is_string() || (**item.as_string()).empty() || (**item.as_string()).size() > longest) {
        problems_.add(item.source(),
                      std::string(key) + ": not a string of 1 to " + std::to_string(longest) + " bytes");
      } else {
        out.push_back(**item.as_string());
      }
    }
    if (out.size() > most) s.wrong(key, "more than " + std::to_string(most));
    return out;
  }

  nettlestand::duties::Duty duty_of(Section& s, const std::string& name, double lease_ms) {
    nettlestand::duties::Duty d;
    d.name = name;
    d.lease_seconds = s.ms("lease_ms", lease_ms, 200, kHourMs);
    d.preferred_locations = names(s, "prefer", duties::kMaxNameBytes, duties::kMaxListEntries);
    d.anti_affinity = names(s, "apart", duties::kMaxNameBytes, duties::kMaxListEntries);
    d.excluded_nodes = names(s, "never", duties::kMaxNameBytes, duties::kMaxListEntries);
    return d;
  }

  void all_duties() {
    Section s = section("duties");
    const auto voters = tables(root_, problems_, "voter"), all = tables(root_, problems_, "duty");
    Section r = section("report");
    if (!s.there()) {
      for (const char* other : {"voter", "duty", "report"}) {
        if (root_.has(other)) root_.wrong(other, "stands there without [duties]");
      }
      return;
    }
#ifndef NETTLESTAND_WITH_DUTIES
    root_.wrong("duties", "this build has none; configure with -DNETTLESTAND_BUILD_DUTIES=ON");
#endif
    DutiesConfig& d = out_.duties.emplace();
    duties::ClientServiceOptions& o = d.service;
    o.cluster = s.text("cluster", kLongestName).value_or(o.cluster);
    d.key_file = s.text("key_file", 4096).value_or("");
    duties::LeaseHolderSettings& h = o.client.lease_holder;
    h.self.region = s.text("region", duties::kMaxNameBytes).value_or("");
    h.drift = s.number("drift", h.drift, 0, 0.2);
    h.request_interval = s.ms("ask_ms", h.request_interval * 1000, 20, 60'000);
    h.reply_timeout = s.ms("answer_ms", h.reply_timeout * 1000, 20, 60'000);
    o.client.voter_selector.reply_timeout =
        s.ms("patience_ms", o.client.voter_selector.reply_timeout * 1000, 50, 60'000);
    d.may_start_programs = s.flag("programs", alone_);
    std::map<std::string, std::uint32_t> seen;
    for (const toml::table* table : voters) {
      Section v(problems_, table, "voter");
      const auto name = v.text("name", duties::kMaxNameBytes);
      named(v, seen, name);
      const auto address = v.address("address");
      if (!v.has("address")) v.missing("address");
      if (name && name->find('=') != std::string::npos) v.wrong("name", "holds a =");
      if (name && address) o.voters.push_back({*name, *address});
      v.finish();
    }
    if (voters.empty()) problems_.add(s.where(), "nothing says who votes: [[voter]] is missing");
    if (voters.size() > 63) root_.wrong("voter", "more than 63");
    duties::VoterOptions v;
    v.data_dir = s.text("folder", 4096).value_or("");
    v.addresses = o.voters;
    v.voter.cluster = o.cluster;
    v.voter.lease_manager.drift = h.drift;
    v.voter.lease_manager.request_ttl = 2.5 * h.request_interval;
    duties::RaftSettings& a = v.voter.raft;
    a.election_timeout_ms = static_cast<unsigned>(s.whole("election_ms", a.election_timeout_ms, 50, 60'000));
    a.heartbeat_interval_ms =
        static_cast<unsigned>(s.whole("heartbeat_ms", a.heartbeat_interval_ms, 10, 10'000));
    a.snapshot_threshold = static_cast<unsigned>(s.whole("snapshot_after", a.snapshot_threshold, 16, 1e6));
    a.snapshot_trailing = static_cast<unsigned>(s.whole("snapshot_keeps", a.snapshot_trailing, 1, 1e6));
    v.voter.lease_manager.first_renewal_timeout =
        s.ms("take_ms", v.voter.lease_manager.first_renewal_timeout * 1000, 50, 60'000);
    v.voter.lease_manager.propose_timeout = 3e-3 * a.election_timeout_ms;
    if (a.heartbeat_interval_ms * 3 > a.election_timeout_ms) {
      s.wrong("heartbeat_ms",
              "is over a third of duties.election_ms, which is " + plain(a.election_timeout_ms));
    }
    if (const auto listen = s.address("listen")) {
      v.listen = *listen;
      if (!s.has("folder")) s.missing("folder");
      d.voter = std::move(v);
    } else if (s.has("folder")) {
      s.wrong("folder", "stands there without duties.listen, by which this node would vote");
    }
    std::map<std::string, std::uint32_t> named_duties;
    for (const toml::table* table : all) {
      Section x(problems_, table, "duty");
      const auto name = x.text("name", duties::kMaxNameBytes);
      named(x, named_duties, name);
      DutyProgram p;
      p.duty = duty_of(x, name.value_or(""), 5000);
      p.command = names(x, "command", 4096, 64);
      p.stop = x.ms("stop_ms", p.stop * 1000, 0, kHourMs);
      if (!x.has("command")) x.missing("command");
      if (!p.command.empty() && p.command[0][0] != '/') x.wrong("command", "its first word is no whole path");
      if (name == report::kDuty) x.wrong("name", "is the fleet report's own");
      x.finish();
      o.duties.push_back(p.duty);
      d.programs.push_back(std::move(p));
    }
    if (all.size() > duties::kMaxDuties)
      root_.wrong("duty", "more than " + std::to_string(duties::kMaxDuties));
    if (r.there()) {
      report::ReporterOptions& q = d.report.emplace();
      q.book = r.text("book", 4096).value_or("");
      q.period = r.ms("period_ms", q.period * 1000, 200, kDayMs);
      q.tell_every = r.ms("tell_ms", std::min(q.period * 250, 2000.0), 50, 60'000);
      q.duty = duty_of(r, report::kDuty, 5000);
      r.finish();
      o.duties.push_back(q.duty);
    }
    if (out_.name.size() > duties::kMaxNameBytes)
      root_.wrong("node", "name: over 64 bytes, which [duties] can't tell of");
    s.finish();
  }

  void control() {
    Section s = section("control");
    if (!s.there()) return;
    out_.control = s.text("socket", 107).value_or("");
    if (!s.has("socket")) s.missing("socket");
    s.finish();
  }

  void log() {
    Section s = section("log");
    static const std::vector<std::string> kLevels = {"debug", "info", "warning", "error"};
    out_.log.format = static_cast<LogOptions::Format>(s.word("format", {"plain", "text", "json"}, 0));
    out_.log.level = static_cast<LogLevel>(s.word("level", kLevels, 1));
    out_.log.repeats = static_cast<int>(s.whole("repeats", out_.log.repeats, 0, 1e6));
    out_.log.period = s.ms("period_ms", out_.log.period * 1000, 1, kDayMs);
    const toml::node* levels = s.find("levels", "a table", [](const toml::node& n) { return n.is_table(); });
    if (levels != nullptr) {
      Section by(problems_, levels->as_table(), "log.levels");
      for (const char* component : kLogComponents) {
        const std::size_t level = by.word(component, kLevels, kLevels.size());
        if (level < kLevels.size()) out_.log.levels[component] = static_cast<LogLevel>(level);
      }
      by.finish();
    }
    s.finish();
  }

  // Names that stand there once.
  void named(Section& s, std::map<std::string, std::uint32_t>& seen, const std::optional<std::string>& name) {
    if (!name) {
      if (!s.has("name")) s.missing("name");
      return;
    }
    const auto [it, fresh] = seen.emplace(*name, s.where("name").begin.line);
    if (!fresh) s.wrong("name", "'" + *name + "' stands in line " + std::to_string(it->second) + " already");
  }

  void classes() {
    std::map<std::string, std::uint32_t> seen;
    const auto all = tables(root_, problems_, "class");
    if (all.empty() && alone_ && !root_.has("class")) root_.missing("class");
    if (all.size() > 100) root_.wrong("class", "more than 100");
    for (const toml::table* table : all) {
      Section s(problems_, table, "class");
      const auto name = s.text("name", kLongestName);
      named(s, seen, name);
      qu::RequestClass c;
      c.effect = static_cast<qu::Effect>(s.word("effect", {"safe", "keyed", "unsafe"}, 2));
      if (!s.has("effect")) s.missing("effect");
      c.give_up = s.ms("deadline_ms", 2000, 1, kHourMs);
      if (!s.has("deadline_ms")) s.missing("deadline_ms");
      c.aim = s.ms("aim_ms", c.give_up * 500 < 1 ? 1 : c.give_up * 500, 1, kHourMs);
      if (c.aim > c.give_up) {
        s.wrong("aim_ms",
                plain(c.aim * 1000) + " is over class.deadline_ms, which is " + plain(c.give_up * 1000));
      }
      c.late_worth = s.number("late_worth", 0.5, 0, 1);
      c.dedup_scope = static_cast<qu::DedupScope>(s.word("dedup", {"all", "zone", "cell"}, 0));
      c.dedup_window = s.ms("dedup_window_ms", 0, 0, kDayMs);
      for (const char* key : {"dedup", "dedup_window_ms"}) {
        if (s.has(key) && c.effect != qu::Effect::kKeyed) s.wrong(key, "belongs to keyed classes only");
      }
      if (c.effect == qu::Effect::kKeyed && !s.has("dedup_window_ms")) s.missing("dedup_window_ms");
      s.finish();
      out_.settings.classes.push_back(c);
      out_.classes.push_back(name.value_or(""));
    }
  }

  void tenants() {
    std::map<std::string, std::uint32_t> seen;
    const auto all = tables(root_, problems_, "tenant");
    if (all.size() > 1000) root_.wrong("tenant", "more than 1000");
    for (const toml::table* table : all) {
      Section s(problems_, table, "tenant");
      const auto name = s.text("name", kLongestName);
      named(s, seen, name);
      qu::Tenant t;
      const double allowance = s.number("allowance_per_s", 0, 0, 1e9);
      if (s.has("allowance_per_s")) t.allowance = allowance;
      s.finish();
      out_.settings.tenants.push_back(t);
      out_.tenants.push_back(name.value_or(""));
    }
  }

  void discovery() {
    Section s = section("discovery");
    if (s.there()) {
      out_.discovery = s.address("address");
      if (!s.has("address")) s.missing("address");
      if (out_.discovery && out_.discovery == out_.listen) {
        s.wrong("address", "is node.listen: the node would ask itself");
      }
      out_.settings.must_watch = true;
      out_.settings.ask_within = 0.4;
    }
    s.finish();
  }

  void servers() {
    std::map<std::string, std::uint32_t> seen;
    std::map<boost::asio::ip::tcp::endpoint, std::uint32_t> dials;
    const auto all = tables(root_, problems_, "server");
    const bool discovered = root_.has("discovery");
    if (alone_ && all.empty() && !discovered && !root_.has("server")) {
      problems_.add(root_.where(), "nothing says where servers are: [[server]] or [discovery] is missing");
    }
    if (!all.empty() && discovered) {
      root_.wrong("server", "stands beside [discovery], which would replace it");
    }
    if (all.size() > out_.max_servers()) {
      root_.wrong("server",
                  "more than limits.memory_mb allows, which is " + std::to_string(out_.max_servers()));
    }
    ServerList list;
    list.is_full = true;
    for (const toml::table* table : all) {
      Section s(problems_, table, "server");
      ListedServer server;
      const auto name = s.text("name", kLongestServer);
      named(s, seen, name);
      server.info.address = name.value_or("");
      if (const auto dial = s.address("address")) {
        server.endpoint = *dial;
        const auto [it, fresh] = dials.emplace(*dial, s.where("address").begin.line);
        if (!fresh) s.wrong("address", "is that of the server in line " + std::to_string(it->second));
        if (*dial == out_.listen) s.wrong("address", "is node.listen: the node would send to itself");
      } else if (!s.has("address")) {
        s.missing("address");
      }
      if (const auto zone = s.text("zone", kLongestName)) server.info.zone = zone_of(s, *zone);
      server.info.cell = static_cast<int>(s.whole("cell", 0, 0, 1e6));
      server.info.weight = s.number("weight", 1, 0, 1e6);
      server.info.state = s.word("state", {"ready", "draining"}, 0) == 0 ? qu::ServerState::kReady
                                                                         : qu::ServerState::kDraining;
      s.finish();
      list.servers.push_back(std::move(server));
    }
    if (!all.empty()) out_.servers = std::move(list);
  }

  Problems problems_;
  Section root_;
  const bool alone_;
  bool zones_known_ = true;  // else what is wrong with them has been told
  Config out_;
};

}  // namespace

std::optional<Config> read_operator_file(std::string_view text, bool alone, std::vector<Problem>& problems) {
  problems.clear();
  try {
    const toml::table root = toml::parse(text);
    Config out = Reader(root, alone, problems).read();
    std::stable_sort(problems.begin(), problems.end(), [](const Problem& a, const Problem& b) {
      return std::pair(a.line, a.column) < std::pair(b.line, b.column);
    });
    if (problems.empty()) return out;
  } catch (const toml::parse_error& error) {
    const auto where = error.source().begin;
    problems.push_back({where.line, where.column, "not valid TOML: " + std::string(error.description())});
  }
  return std::nullopt;
}

std::string to_text(const std::vector<Problem>& problems, const std::string& file) {
  std::string out;
  for (const Problem& problem : problems) {
    out += file + ":" + std::to_string(problem.line) + ":" + std::to_string(problem.column) + ": " +
           problem.text + "\n";
  }
  return out;
}

void add_operator_file(Config& platform, const Config& file) {
  platform.listener = file.listener;
  platform.log = file.log;
  platform.control = file.control;
  // Whether nodes may speak to each other at all is the platform's to say, and with it whether there are
  // duties.
  if (platform.peers) platform.duties = file.duties;
  identify(platform);
  if (!platform.peers || !file.peers)
    return;  // whether nodes may speak to each other is the platform's to say
  const peers::ServiceOptions own = *platform.peers;
  platform.peers = file.peers;
  platform.peers->listen = own.listen;
  platform.peers->members = own.members;
  platform.peers->join.clear();
  platform.peers->broadcast = own.broadcast;
  platform.peers_key_file = file.peers_key_file;
  identify(platform);
}

}  // namespace nettlestand
