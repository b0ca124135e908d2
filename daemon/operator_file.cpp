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
constexpr std::size_t kMaxConfigNameBytes = 128, kMaxServerNameBytes = 255;
// The Levenshtein distance of two names, in bytes.
std::size_t edit_distance(std::string_view a, std::string_view b) {
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

std::string format_number(double value) {
  std::array<char, 32> out{};
  std::snprintf(out.data(), out.size(), "%.10g", value);
  return out.data();
}

const char* type_name(const toml::node& node) {
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

// Collects problems with their positions.
class Problems {
 public:
  explicit Problems(std::vector<Problem>& to) : to_(to) {}
  void add(const toml::source_region& where, std::string text) {
    to_.push_back({where.begin.line, where.begin.column, std::move(text)});
  }

 private:
  std::vector<Problem>& to_;
};

// One table of the file. Records each key that is read; report_unknown_keys() reports the others. The readers
// return the default, and report a problem, for a value of the wrong type or range.
class Section {
 public:
  Section(Problems& problems, const toml::table* table, std::string name)
      : problems_(problems), table_(table), name_(std::move(name)) {}

  bool is_present() const { return table_ != nullptr; }
  toml::source_region where() const {
    return table_ != nullptr ? table_->source() : toml::source_region{{1, 1}, {1, 1}, {}};
  }
  toml::source_region where(const char* key) const {
    const toml::node* node = table_ != nullptr ? table_->get(key) : nullptr;
    return node != nullptr ? node->source() : where();
  }
  bool has(const char* key) const { return table_ != nullptr && table_->contains(key); }
  void add_problem(const char* key, const std::string& what) {
    problems_.add(where(key), name_ + "." + key + ": " + what);
  }
  void add_missing(const char* key) { problems_.add(where(), name_ + "." + key + " is missing"); }

  const toml::node* find(const char* key, const char* wanted, bool (*is)(const toml::node&)) {
    known_.insert(key);
    const toml::node* node = table_ != nullptr ? table_->get(key) : nullptr;
    if (node == nullptr || is(*node)) return node;
    add_problem(key, std::string("is ") + type_name(*node) + " where " + wanted + " is expected");
    return nullptr;
  }

  std::optional<std::string> text(const char* key, std::size_t max_bytes) {
    const toml::node* node = find(key, "a string", [](const toml::node& n) { return n.is_string(); });
    if (node == nullptr) return std::nullopt;
    const std::string out = **node->as_string();
    if (out.empty() || out.size() > max_bytes) {
      add_problem(key, "is not 1 to " + std::to_string(max_bytes) + " bytes");
      return std::nullopt;
    }
    const auto control = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; };
    if (std::any_of(out.begin(), out.end(), control)) add_problem(key, "contains a control character");
    return out;
  }

  double integer(const char* key, double default_value, double min_value, double max_value) {
    const toml::node* node = find(key, "a whole number", [](const toml::node& n) { return n.is_integer(); });
    return node == nullptr ? default_value
                           : check_range(key, static_cast<double>(**node->as_integer()), default_value,
                                         min_value, max_value);
  }
  double number(const char* key, double default_value, double min_value, double max_value) {
    const toml::node* node = find(key, "a number", [](const toml::node& n) { return n.is_number(); });
    if (node == nullptr) return default_value;
    const double value =
        node->is_integer() ? static_cast<double>(**node->as_integer()) : **node->as_floating_point();
    return check_range(key, value, default_value, min_value, max_value);
  }
  // Reads milliseconds, returns seconds.
  double ms(const char* key, double otherwise_ms, double min_ms, double max_ms) {
    return integer(key, otherwise_ms, min_ms, max_ms) / 1000;
  }

  std::optional<boost::asio::ip::tcp::endpoint> address(const char* key) {
    const auto text = this->text(key, 255);
    if (!text) return std::nullopt;
    const auto out = parse_endpoint(*text);
    if (!out) add_problem(key, "'" + *text + "' is not an address and a port (names are not resolved)");
    return out;
  }

  bool flag(const char* key, bool default_value) {
    const toml::node* node = find(key, "a boolean", [](const toml::node& n) { return n.is_boolean(); });
    return node == nullptr ? default_value : **node->as_boolean();
  }

  // A list of addresses without duplicates.
  std::vector<boost::asio::ip::tcp::endpoint> addresses(const char* key) {
    std::vector<boost::asio::ip::tcp::endpoint> out;
    const toml::node* node = find(key, "an array", [](const toml::node& n) { return n.is_array(); });
    if (node == nullptr) return out;
    if (node->as_array()->size() > 10000) add_problem(key, "more than 10000");
    for (const toml::node& item : *node->as_array()) {
      const auto problem = [&](const std::string& what) {
        problems_.add(item.source(), name_ + "." + key + ": " + what);
      };
      if (!item.is_string()) {
        problem(std::string(type_name(item)) + " where an address is expected");
        continue;
      }
      const auto e = parse_endpoint(**item.as_string());
      if (!e) {
        problem("'" + **item.as_string() + "' is not an address and a port (names are not resolved)");
      } else if (std::find(out.begin(), out.end(), *e) != out.end()) {
        problem("'" + **item.as_string() + "' is listed twice");
      } else {
        out.push_back(*e);
      }
    }
    return out;
  }

  // The index of a string among the allowed values.
  std::size_t choice(const char* key, const std::vector<std::string>& words, std::size_t default_value) {
    const auto text = this->text(key, kMaxConfigNameBytes);
    if (!text) return default_value;
    const auto it = std::find(words.begin(), words.end(), *text);
    if (it != words.end()) return static_cast<std::size_t>(it - words.begin());
    std::string all;
    for (const std::string& word : words) all += (all.empty() ? "" : ", ") + word;
    add_problem(key, "'" + *text + "' is not one of " + all);
    return default_value;
  }

  void report_unknown_keys() {
    if (table_ == nullptr) return;
    for (const auto& [key, node] : *table_) {
      if (known_.contains(std::string(key.str()))) continue;
      std::string text = "unknown key '" + std::string(key.str()) + "' in " + name_;
      // Suggests the most similar known key, or one that starts with the unknown key.
      const auto far = [&](const std::string& known) {
        return known.starts_with(key.str()) ? 0 : edit_distance(known, key.str());
      };
      const auto nearest = std::min_element(known_.begin(), known_.end(),
                                            [&](const auto& a, const auto& b) { return far(a) < far(b); });
      if (nearest != known_.end() && far(*nearest) <= 2) text += "; did you mean '" + *nearest + "'?";
      problems_.add(key.source(), text);
    }
  }

 protected:
  double check_range(const char* key, double value, double default_value, double min_value,
                     double max_value) {
    if (value >= min_value && value <= max_value) return value;
    add_problem(key, format_number(value) + " is not from " + format_number(min_value) + " to " +
                         format_number(max_value));
    return default_value;
  }

  Problems& problems_;
  const toml::table* table_;
  const std::string name_;
  std::set<std::string> known_;
};

// The tables of an array of tables, such as [[class]].
std::vector<const toml::table*> tables(Section& root, Problems& problems, const char* key) {
  std::vector<const toml::table*> out;
  const toml::node* node =
      root.find(key, "a list of tables", [](const toml::node& n) { return n.is_array(); });
  if (node == nullptr) return out;
  for (const toml::node& item : *node->as_array()) {
    if (item.is_table()) {
      out.push_back(item.as_table());
    } else {
      problems.add(item.source(), std::string(key) + ": " + type_name(item) + " where a table is expected");
    }
  }
  return out;
}

// Reads the sections of the file into a Config.
class OperatorFileReader {
 public:
  OperatorFileReader(const toml::table& root, bool standalone, std::vector<Problem>& to)
      : problems_(to), root_(problems_, &root, "the file"), standalone_(standalone) {}

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
    read_duties();
    control();
    root_.report_unknown_keys();
    set_identities(config_);
    return std::move(config_);
  }

 private:
  Section section(const char* name) {
    const toml::node* node = root_.find(name, "a table", [](const toml::node& n) { return n.is_table(); });
    return {problems_, node == nullptr ? nullptr : node->as_table(), name};
  }

  void node() {
    Section s = section("node");
    config_.name = s.text("name", kMaxConfigNameBytes).value_or("nettlestand");
    if (const auto listen = s.address("listen")) {
      config_.listen = *listen;
    } else if (standalone_ && !s.has("listen")) {
      s.add_missing("listen");
    }
    config_.settings.copy_count = static_cast<int>(s.integer("nodes", 1, 1, 100000));
    config_.settings.copy_index = static_cast<int>(s.integer("position", 0, 0, 99999));
    if (config_.settings.copy_index >= config_.settings.copy_count) {
      s.add_problem("position", format_number(config_.settings.copy_index) +
                                    " is not under node.nodes, which is " +
                                    format_number(config_.settings.copy_count));
    }
    config_.settings.tier = static_cast<int>(s.integer("tier", 0, 0, 1000));
    config_.seed = static_cast<std::uint64_t>(s.integer("seed", 0, 1, 9e15));
    if (const toml::node* zones =
            s.find("zones", "an array", [](const toml::node& n) { return n.is_array(); })) {
      for (const toml::node& item : *zones->as_array()) add_zone(item);
      if (config_.zones.size() > 1000) s.add_problem("zones", "more than 1000");
    } else {
      zones_valid_ = !s.has("zones");
    }
    if (const auto zone = s.text("zone", kMaxConfigNameBytes)) config_.settings.zone = zone_index(s, *zone);
    s.report_unknown_keys();
  }

  void add_zone(const toml::node& item) {
    if (!item.is_string()) {
      return problems_.add(item.source(),
                           std::string("node.zones: ") + type_name(item) + " where a string is expected");
    }
    const std::string& name = **item.as_string();
    if (name.empty() || name.size() > kMaxConfigNameBytes) {
      problems_.add(item.source(), "node.zones: a name is not 1 to 128 bytes");
    } else if (std::find(config_.zones.begin(), config_.zones.end(), name) != config_.zones.end()) {
      problems_.add(item.source(), "node.zones: '" + name + "' is listed twice");
    } else {
      config_.zones.push_back(name);
    }
  }

  int zone_index(Section& s, const std::string& name) {
    const auto it = std::find(config_.zones.begin(), config_.zones.end(), name);
    if (it != config_.zones.end()) return static_cast<int>(it - config_.zones.begin());
    if (zones_valid_) s.add_problem("zone", "'" + name + "' is not one of node.zones");
    return 0;
  }

  void limits() {
    Section s = section("limits");
    config_.sockets = static_cast<std::size_t>(s.integer("sockets", 1024, 64, 2147483647));
    config_.memory_mb = static_cast<std::size_t>(s.integer("memory_mb", 64, 16, 1e6));
    config_.settings.max_attempts = static_cast<int>(s.integer("max_attempts", 4, 1, 1000));
    config_.settings.max_retry_after = s.ms("max_retry_after_ms", 2000, 0, kHourMs);
    config_.connect_timeout = s.ms("connect_timeout_ms", 250, 1, 600'000);
    config_.server_idle_timeout = s.ms("server_idle_close_ms", 5000, 10, kDayMs);
    config_.settings.can_cancel = true;
    s.report_unknown_keys();
  }

  void warm_up() {
    Section s = section("warm_up");
    config_.settings.start_capacity = s.number("start_capacity", 1, 0, 1);
    config_.settings.ramp_time = s.ms("ramp_ms", 0, 0, kDayMs);
    if (config_.settings.start_capacity < 1 && config_.settings.ramp_time == 0) {
      s.add_problem("start_capacity", "is under 1, which needs warm_up.ramp_ms");
    }
    s.report_unknown_keys();
  }

  void listener() {
    Section s = section("listener");
    const ListenerLimits usual;
    config_.listener.idle = s.ms("idle_ms", usual.idle * 1000, 2000, kDayMs);
    config_.listener.read = s.ms("read_ms", usual.read * 1000, 100, kHourMs);
    config_.listener.write = s.ms("write_ms", usual.write * 1000, 100, kHourMs);
    s.report_unknown_keys();
  }

  // If the platform names the other nodes, its `listen` and `members` replace those of the file, and `join`
  // is ignored.
  void peers() {
    Section s = section("peers");
    if (!s.is_present()) return;
    namespace pe = nettlestand::peers;
    pe::ServiceOptions& o = config_.peers.emplace();
    const auto udp = [&](const char* key, const boost::asio::ip::tcp::endpoint& e) {
      if (!e.address().is_v4() || e.port() == 0)
        s.add_problem(key, "is not an IPv4 address with a port from 1");
      return boost::asio::ip::udp::endpoint(e.address(), e.port());
    };
    if (const auto listen = s.address("listen")) {
      o.listen = udp("listen", *listen);
    } else if (standalone_ && !s.has("listen")) {
      s.add_missing("listen");
    }
    for (const char* key : {"members", "join"}) {
      for (const auto& e : s.addresses(key)) (key[0] == 'm' ? o.members : o.join).push_back(udp(key, e));
    }
    if (!o.members.empty() && !o.join.empty())
      s.add_problem("join", "conflicts with peers.members, which lists all nodes");
    if (standalone_ && !s.has("members") && !s.has("join")) s.add_missing("members or peers.join");
    if (!o.members.empty() && o.members.size() != static_cast<std::size_t>(config_.settings.copy_count)) {
      s.add_problem("members", format_number(static_cast<double>(o.members.size())) +
                                   " where node.nodes says " + format_number(config_.settings.copy_count));
    }
    const std::size_t max_label = pe::kMaxLabelBytes;
    if (const auto cluster = s.text("cluster", kMaxConfigNameBytes)) o.cluster.name = *cluster;
    config_.peers_key_file = s.text("key_file", 4096).value_or("");
    o.settings.self.region = s.text("region", max_label).value_or("");
    o.follow_balancers = s.flag("follow", true);
    o.settings.probe_interval = s.ms("period_ms", o.settings.probe_interval * 1000, 60, 60'000);
    o.settings.ack_timeout = s.ms("timeout_ms", o.settings.ack_timeout * 1000, 10, 10'000);
    o.settings.confirmations = static_cast<int>(s.integer("accusers", o.settings.confirmations, 1, 16));
    o.settings.min_suspicion = s.ms("least_doubt_ms", o.settings.min_suspicion * 1000, 40, 60'000);
    o.settings.max_suspicion = s.ms("most_doubt_ms", o.settings.max_suspicion * 1000, 40, 600'000);
    o.settings.rediscovery_interval =
        s.ms("seek_period_ms", o.settings.rediscovery_interval * 1000, 100, kHourMs);
    o.settings.name_conflict_timeout =
        s.ms("patience_ms", o.settings.name_conflict_timeout * 1000, 100, kHourMs);
    o.balancers.join_delay = s.ms("hold_new_ms", o.balancers.join_delay * 1000, 0, kHourMs);
    o.balancers.loss_delay = s.ms("hold_lost_ms", o.balancers.loss_delay * 1000, 0, kHourMs);
    if (o.settings.ack_timeout * pe::kMinIntervalTimeouts > o.settings.probe_interval) {
      s.add_problem("timeout_ms", "is over a sixth of peers.period_ms, which is " +
                                      format_number(o.settings.probe_interval * 1000));
    }
    if (o.settings.min_suspicion < o.settings.ack_timeout * pe::kMinSuspicionTimeouts) {
      s.add_problem("least_doubt_ms", "is under four times peers.timeout_ms, which is " +
                                          format_number(o.settings.ack_timeout * 1000));
    }
    if (o.settings.max_suspicion < o.settings.min_suspicion) {
      s.add_problem("most_doubt_ms", "is under peers.least_doubt_ms, which is " +
                                         format_number(o.settings.min_suspicion * 1000));
    }
    if (config_.name.size() > pe::kMaxNameBytes)
      root_.add_problem("node", "name: over 32 bytes, the limit of [peers]");
    const auto zone = static_cast<std::size_t>(config_.settings.zone);
    if (zone < config_.zones.size() && config_.zones[zone].size() > max_label) {
      root_.add_problem("node", "zone: over 12 bytes, the limit of [peers]");
    }
    s.report_unknown_keys();
  }

  // A list of names, none of them empty or too long.
  std::vector<std::string> string_list(Section& s, const char* key, std::size_t max_bytes,
                                       std::size_t max_count) {
    std::vector<std::string> out;
    const toml::node* node = s.find(key, "an array", [](const toml::node& n) { return n.is_array(); });
    if (node == nullptr) return out;
    for (const toml::node& item : *node->as_array()) {
      if (!item.is_string() || (**item.as_string()).empty() || (**item.as_string()).size() > max_bytes) {
        problems_.add(item.source(),
                      std::string(key) + ": not a string of 1 to " + std::to_string(max_bytes) + " bytes");
      } else {
        out.push_back(**item.as_string());
      }
    }
    if (out.size() > max_count) s.add_problem(key, "more than " + std::to_string(max_count));
    return out;
  }

  nettlestand::duties::Duty read_duty(Section& s, const std::string& name, double lease_ms) {
    nettlestand::duties::Duty d;
    d.name = name;
    d.lease_seconds = s.ms("lease_ms", lease_ms, 200, kHourMs);
    d.preferred_locations = string_list(s, "prefer", duties::kMaxNameBytes, duties::kMaxListEntries);
    d.anti_affinity = string_list(s, "apart", duties::kMaxNameBytes, duties::kMaxListEntries);
    d.excluded_nodes = string_list(s, "never", duties::kMaxNameBytes, duties::kMaxListEntries);
    return d;
  }

  void read_duties() {
    Section s = section("duties");
    const auto voters = tables(root_, problems_, "voter"), all = tables(root_, problems_, "duty");
    Section report_section = section("report");
    if (!s.is_present()) {
      for (const char* other : {"voter", "duty", "report"}) {
        if (root_.has(other)) root_.add_problem(other, "needs [duties]");
      }
      return;
    }
#ifndef NETTLESTAND_WITH_DUTIES
    root_.add_problem("duties", "this build has no duties; configure with -DNETTLESTAND_BUILD_DUTIES=ON");
#endif
    DutiesConfig& duties_config = config_.duties.emplace();
    duties::ClientServiceOptions& client_options = duties_config.service;
    client_options.cluster = s.text("cluster", kMaxConfigNameBytes).value_or(client_options.cluster);
    duties_config.key_file = s.text("key_file", 4096).value_or("");
    duties::LeaseHolderSettings& holder = client_options.client.lease_holder;
    holder.self.region = s.text("region", duties::kMaxNameBytes).value_or("");
    holder.drift = s.number("drift", holder.drift, 0, 0.2);
    holder.request_interval = s.ms("ask_ms", holder.request_interval * 1000, 20, 60'000);
    holder.reply_timeout = s.ms("answer_ms", holder.reply_timeout * 1000, 20, 60'000);
    client_options.client.voter_selector.reply_timeout =
        s.ms("patience_ms", client_options.client.voter_selector.reply_timeout * 1000, 50, 60'000);
    duties_config.may_start_programs = s.flag("programs", standalone_);
    std::map<std::string, std::uint32_t> seen;
    for (const toml::table* table : voters) {
      Section v(problems_, table, "voter");
      const auto name = v.text("name", duties::kMaxNameBytes);
      check_unique_name(v, seen, name);
      const auto address = v.address("address");
      if (!v.has("address")) v.add_missing("address");
      if (name && name->find('=') != std::string::npos) v.add_problem("name", "contains '='");
      if (name && address) client_options.voters.push_back({*name, *address});
      v.report_unknown_keys();
    }
    if (voters.empty()) problems_.add(s.where(), "no voters: [[voter]] is missing");
    if (voters.size() > 63) root_.add_problem("voter", "more than 63");
    duties::VoterOptions v;
    v.data_dir = s.text("folder", 4096).value_or("");
    v.addresses = client_options.voters;
    v.voter.cluster = client_options.cluster;
    v.voter.lease_manager.drift = holder.drift;
    v.voter.lease_manager.request_ttl = 2.5 * holder.request_interval;
    duties::RaftSettings& raft = v.voter.raft;
    raft.election_timeout_ms =
        static_cast<unsigned>(s.integer("election_ms", raft.election_timeout_ms, 50, 60'000));
    raft.heartbeat_interval_ms =
        static_cast<unsigned>(s.integer("heartbeat_ms", raft.heartbeat_interval_ms, 10, 10'000));
    raft.snapshot_threshold =
        static_cast<unsigned>(s.integer("snapshot_after", raft.snapshot_threshold, 16, 1e6));
    raft.snapshot_trailing =
        static_cast<unsigned>(s.integer("snapshot_keeps", raft.snapshot_trailing, 1, 1e6));
    v.voter.lease_manager.first_renewal_timeout =
        s.ms("take_ms", v.voter.lease_manager.first_renewal_timeout * 1000, 50, 60'000);
    v.voter.lease_manager.propose_timeout = 3e-3 * raft.election_timeout_ms;
    if (raft.heartbeat_interval_ms * 3 > raft.election_timeout_ms) {
      s.add_problem("heartbeat_ms", "is over a third of duties.election_ms, which is " +
                                        format_number(raft.election_timeout_ms));
    }
    if (const auto listen = s.address("listen")) {
      v.listen = *listen;
      if (!s.has("folder")) s.add_missing("folder");
      duties_config.voter = std::move(v);
    } else if (s.has("folder")) {
      s.add_problem("folder", "needs duties.listen, which makes this node a voter");
    }
    std::map<std::string, std::uint32_t> named_duties;
    for (const toml::table* table : all) {
      Section x(problems_, table, "duty");
      const auto name = x.text("name", duties::kMaxNameBytes);
      check_unique_name(x, named_duties, name);
      DutyProgram program;
      program.duty = read_duty(x, name.value_or(""), 5000);
      program.command = string_list(x, "command", 4096, 64);
      program.stop_timeout = x.ms("stop_ms", program.stop_timeout * 1000, 0, kHourMs);
      if (!x.has("command")) x.add_missing("command");
      if (!program.command.empty() && program.command[0][0] != '/')
        x.add_problem("command", "its first element is not an absolute path");
      if (name == report::kReportDuty) x.add_problem("name", "is reserved for the fleet report");
      x.report_unknown_keys();
      client_options.duties.push_back(program.duty);
      duties_config.programs.push_back(std::move(program));
    }
    if (all.size() > duties::kMaxDuties)
      root_.add_problem("duty", "more than " + std::to_string(duties::kMaxDuties));
    if (report_section.is_present()) {
      report::ReporterOptions& reporter = duties_config.report.emplace();
      reporter.store_path = report_section.text("book", 4096).value_or("");
      reporter.period = report_section.ms("period_ms", reporter.period * 1000, 200, kDayMs);
      reporter.publish_interval =
          report_section.ms("tell_ms", std::min(reporter.period * 250, 2000.0), 50, 60'000);
      reporter.duty = read_duty(report_section, report::kReportDuty, 5000);
      report_section.report_unknown_keys();
      client_options.duties.push_back(reporter.duty);
    }
    if (config_.name.size() > duties::kMaxNameBytes)
      root_.add_problem("node", "name: over 64 bytes, the limit of [duties]");
    s.report_unknown_keys();
  }

  void control() {
    Section s = section("control");
    if (!s.is_present()) return;
    config_.control_socket = s.text("socket", 107).value_or("");
    if (!s.has("socket")) s.add_missing("socket");
    s.report_unknown_keys();
  }

  void log() {
    Section s = section("log");
    static const std::vector<std::string> kLevels = {"debug", "info", "warning", "error"};
    config_.log.format = static_cast<LogOptions::Format>(s.choice("format", {"plain", "text", "json"}, 0));
    config_.log.level = static_cast<LogLevel>(s.choice("level", kLevels, 1));
    config_.log.max_repeats = static_cast<int>(s.integer("repeats", config_.log.max_repeats, 0, 1e6));
    config_.log.repeat_period = s.ms("period_ms", config_.log.repeat_period * 1000, 1, kDayMs);
    const toml::node* levels = s.find("levels", "a table", [](const toml::node& n) { return n.is_table(); });
    if (levels != nullptr) {
      Section by(problems_, levels->as_table(), "log.levels");
      for (const char* component : kLogComponents) {
        const std::size_t level = by.choice(component, kLevels, kLevels.size());
        if (level < kLevels.size()) config_.log.levels[component] = static_cast<LogLevel>(level);
      }
      by.report_unknown_keys();
    }
    s.report_unknown_keys();
  }

  // Reports a missing name, or one that was used before.
  void check_unique_name(Section& s, std::map<std::string, std::uint32_t>& seen,
                         const std::optional<std::string>& name) {
    if (!name) {
      if (!s.has("name")) s.add_missing("name");
      return;
    }
    const auto [it, fresh] = seen.emplace(*name, s.where("name").begin.line);
    if (!fresh)
      s.add_problem("name", "'" + *name + "' is used in line " + std::to_string(it->second) + " already");
  }

  void classes() {
    std::map<std::string, std::uint32_t> seen;
    const auto all = tables(root_, problems_, "class");
    if (all.empty() && standalone_ && !root_.has("class")) root_.add_missing("class");
    if (all.size() > 100) root_.add_problem("class", "more than 100");
    for (const toml::table* table : all) {
      Section s(problems_, table, "class");
      const auto name = s.text("name", kMaxConfigNameBytes);
      check_unique_name(s, seen, name);
      qu::RequestClass c;
      c.effect = static_cast<qu::Effect>(s.choice("effect", {"safe", "keyed", "unsafe"}, 2));
      if (!s.has("effect")) s.add_missing("effect");
      c.give_up = s.ms("deadline_ms", 2000, 1, kHourMs);
      if (!s.has("deadline_ms")) s.add_missing("deadline_ms");
      c.aim = s.ms("aim_ms", c.give_up * 500 < 1 ? 1 : c.give_up * 500, 1, kHourMs);
      if (c.aim > c.give_up) {
        s.add_problem("aim_ms", format_number(c.aim * 1000) + " is over class.deadline_ms, which is " +
                                    format_number(c.give_up * 1000));
      }
      c.late_worth = s.number("late_worth", 0.5, 0, 1);
      c.dedup_scope = static_cast<qu::DedupScope>(s.choice("dedup", {"all", "zone", "cell"}, 0));
      c.dedup_window = s.ms("dedup_window_ms", 0, 0, kDayMs);
      for (const char* key : {"dedup", "dedup_window_ms"}) {
        if (s.has(key) && c.effect != qu::Effect::kKeyed) s.add_problem(key, "belongs to keyed classes only");
      }
      if (c.effect == qu::Effect::kKeyed && !s.has("dedup_window_ms")) s.add_missing("dedup_window_ms");
      s.report_unknown_keys();
      config_.settings.classes.push_back(c);
      config_.classes.push_back(name.value_or(""));
    }
  }

  void tenants() {
    std::map<std::string, std::uint32_t> seen;
    const auto all = tables(root_, problems_, "tenant");
    if (all.size() > 1000) root_.add_problem("tenant", "more than 1000");
    for (const toml::table* table : all) {
      Section s(problems_, table, "tenant");
      const auto name = s.text("name", kMaxConfigNameBytes);
      check_unique_name(s, seen, name);
      qu::Tenant t;
      const double allowance = s.number("allowance_per_s", 0, 0, 1e9);
      if (s.has("allowance_per_s")) t.allowance = allowance;
      s.report_unknown_keys();
      config_.settings.tenants.push_back(t);
      config_.tenants.push_back(name.value_or(""));
    }
  }

  void discovery() {
    Section s = section("discovery");
    if (s.is_present()) {
      config_.discovery = s.address("address");
      if (!s.has("address")) s.add_missing("address");
      if (config_.discovery && config_.discovery == config_.listen) {
        s.add_problem("address", "is node.listen: the node would query itself");
      }
      config_.settings.must_watch = true;
      config_.settings.ask_within = 0.4;
    }
    s.report_unknown_keys();
  }

  void servers() {
    std::map<std::string, std::uint32_t> seen;
    std::map<boost::asio::ip::tcp::endpoint, std::uint32_t> lines_by_address;
    const auto all = tables(root_, problems_, "server");
    const bool discovered = root_.has("discovery");
    if (standalone_ && all.empty() && !discovered && !root_.has("server")) {
      problems_.add(root_.where(), "no source of servers: [[server]] or [discovery] is missing");
    }
    if (!all.empty() && discovered) {
      root_.add_problem("server", "conflicts with [discovery], which would replace it");
    }
    if (all.size() > config_.max_servers()) {
      root_.add_problem(
          "server", "more than limits.memory_mb allows, which is " + std::to_string(config_.max_servers()));
    }
    ServerList list;
    list.is_full = true;
    for (const toml::table* table : all) {
      Section s(problems_, table, "server");
      ListedServer server;
      const auto name = s.text("name", kMaxServerNameBytes);
      check_unique_name(s, seen, name);
      server.info.address = name.value_or("");
      if (const auto endpoint = s.address("address")) {
        server.endpoint = *endpoint;
        const auto [it, fresh] = lines_by_address.emplace(*endpoint, s.where("address").begin.line);
        if (!fresh) s.add_problem("address", "is used by the server in line " + std::to_string(it->second));
        if (*endpoint == config_.listen)
          s.add_problem("address", "is node.listen: the node would send to itself");
      } else if (!s.has("address")) {
        s.add_missing("address");
      }
      if (const auto zone = s.text("zone", kMaxConfigNameBytes)) server.info.zone = zone_index(s, *zone);
      server.info.cell = static_cast<int>(s.integer("cell", 0, 0, 1e6));
      server.info.weight = s.number("weight", 1, 0, 1e6);
      server.info.state = s.choice("state", {"ready", "draining"}, 0) == 0 ? qu::ServerState::kReady
                                                                           : qu::ServerState::kDraining;
      s.report_unknown_keys();
      list.servers.push_back(std::move(server));
    }
    if (!all.empty()) config_.static_servers = std::move(list);
  }

  Problems problems_;
  Section root_;
  const bool standalone_;
  bool zones_valid_ = true;  // false: node.zones has a problem that is already reported
  Config config_;
};

}  // namespace

std::optional<Config> parse_operator_file(std::string_view text, bool standalone,
                                          std::vector<Problem>& problems) {
  problems.clear();
  try {
    const toml::table root = toml::parse(text);
    Config out = OperatorFileReader(root, standalone, problems).read();
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

void merge_operator_file(Config& platform, const Config& file) {
  platform.listener = file.listener;
  platform.log = file.log;
  platform.control_socket = file.control_socket;
  // The platform decides whether nodes may send messages to each other, and so whether there are duties.
  if (platform.peers) platform.duties = file.duties;
  set_identities(platform);
  if (!platform.peers || !file.peers) return;
  const peers::ServiceOptions own = *platform.peers;
  platform.peers = file.peers;
  platform.peers->listen = own.listen;
  platform.peers->members = own.members;
  platform.peers->join.clear();
  platform.peers->broadcast = own.broadcast;
  platform.peers_key_file = file.peers_key_file;
  set_identities(platform);
}

}  // namespace nettlestand
