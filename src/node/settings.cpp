#include "node/settings.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <toml++/toml.h>

#include <fstream>
#include <set>
#include <sstream>

namespace nettlestand::tier {
namespace {

namespace hana = boost::hana;

// Settings that may be left out; `defaults` has the values that they then get. All of [bounds] is optional
// too.
const std::set<std::string> kOptionalSettings = {"seeds",
                                                 "bootstrap",
                                                 "data_dir",
                                                 "region",
                                                 "listen",
                                                 "listen.front",
                                                 "listen.ready",
                                                 "listen.control",
                                                 "limits",
                                                 "limits.cpu_share",
                                                 "limits.memory_mb",
                                                 "limits.max_fds",
                                                 "limits.disk_mb",
                                                 "limits.link_mbps",
                                                 "fault_tolerance",
                                                 "fault_tolerance.machines",
                                                 "bounds",
                                                 "log",
                                                 "log.level",
                                                 "cloud_api",
                                                 "cloud_api.rate_per_s",
                                                 "cloud_api.max_lag_ms",
                                                 "cloud_api.address"};

Settings defaults() {
  Settings out{};
  out.bounds.grace_s = 8;
  out.bounds.global_revocation = true;
  out.bounds.revoke_ms = 5000;
  out.bounds.quota_window_s = 5;
  out.bounds.quota_overage = 0.1;
  out.bounds.quota_slack = 20;
  out.bounds.drain_ms = 3000;
  out.bounds.config_apply_ms = 2000;
  out.bounds.status_s = 120;
  out.bounds.ack_ms = 4000;
  out.limits.cpu_share = 1;
  out.limits.memory_mb = 256;
  out.limits.max_fds = 1024;
  out.limits.disk_mb = 64;
  out.limits.link_mbps = 100;
  out.fault_tolerance.machines = 1;
  out.cloud_api.rate_per_s = 10;
  out.cloud_api.max_lag_ms = 1000;
  out.log.level = "info";
  return out;
}

// Reads a TOML table into a struct, member by member, and collects the errors.
class SettingsReader {
 public:
  template <class Struct>
  void read(const toml::table& table, const std::string& prefix, Struct& out) {
    hana::for_each(hana::accessors<Struct>(), [&](auto member) {
      const std::string key = hana::to<const char*>(hana::first(member));
      const std::string name = prefix + key;
      const toml::node* node = table.get(key);
      if (node == nullptr) {
        const bool optional = kOptionalSettings.contains(name) || name.starts_with("bounds.");
        if (!optional) add_error(table, absl::StrCat(name, " is missing"));
        return;
      }
      read_value(*node, name, hana::second(member)(out));
    });
  }
  const std::vector<std::string>& errors() const { return errors_; }
  void add_error(const toml::node& node, const std::string& what) {
    errors_.push_back(absl::StrCat("line ", node.source().begin.line, ": ", what));
  }

 private:
  template <class Value>
  void read_value(const toml::node& node, const std::string& name, Value& out) {
    if constexpr (hana::Struct<Value>::value) {
      if (const toml::table* table = node.as_table()) return read(*table, name + ".", out);
      add_error(node, absl::StrCat(name, " must be a table"));
    } else if constexpr (std::is_same_v<Value, std::vector<std::string>> ||
                         std::is_same_v<Value, std::vector<std::int64_t>>) {
      const toml::array* array = node.as_array();
      if (array == nullptr) return add_error(node, absl::StrCat(name, " must be a list"));
      out.clear();
      for (const toml::node& element : *array) read_value(element, name, out.emplace_back());
    } else {
      const auto value = node.value<Value>();
      if (!value) return add_error(node, absl::StrCat(name, " has a value of the wrong type"));
      out = *value;
    }
  }
  std::vector<std::string> errors_;
};

// Checks values that have the right type. Runs only on a file that was read without errors.
void validate(const toml::table& table, const Settings& settings, SettingsReader& reader) {
  const auto find_node = [&](const char* key) -> const toml::node& {
    const toml::node* node = table.get(key);
    return node != nullptr ? *node : table;
  };
  const auto& ports = settings.internal_port_range;
  if (ports.size() != 2 || ports[0] < 1 || ports[1] > 65535 || ports[0] > ports[1]) {
    reader.add_error(find_node("internal_port_range"),
                     "internal_port_range must be two ports, the first not above the second");
  }
  const BoundsSettings& bounds = settings.bounds;
  if (bounds.grace_s <= 0 || bounds.revoke_ms <= 0 || bounds.quota_window_s <= 0 || bounds.drain_ms <= 0) {
    reader.add_error(find_node("bounds"), "bounds must be above 0");
  }
  if (settings.limits.memory_mb <= 0 || settings.limits.max_fds <= 0)
    reader.add_error(find_node("limits"), "limits.memory_mb and limits.max_fds must be above 0");
  if (settings.fault_tolerance.machines < 0)
    reader.add_error(find_node("fault_tolerance"), "fault_tolerance.machines must not be negative");
  static const std::set<std::string> kLogLevels = {"debug", "info", "warning", "error"};
  if (!kLogLevels.contains(settings.log.level)) {
    reader.add_error(find_node("log"), "log.level must be debug, info, warning or error");
  }
}

}  // namespace

std::string Settings::internal_address_of(const std::string& control_address) const {
  return control_address.substr(0, control_address.rfind(':')) + ":" +
         std::to_string(internal_port_range.at(0));
}

std::vector<std::string> Settings::internal_seed_addresses() const {
  std::vector<std::string> out;
  for (const std::string& seed : seeds) out.push_back(internal_address_of(seed));
  return out;
}

absl::StatusOr<Settings> parse_settings(const std::string& text) {
  Settings out = defaults();
  try {
    const toml::table table = toml::parse(text);
    SettingsReader reader;
    reader.read(table, "", out);
    if (reader.errors().empty()) validate(table, out, reader);
    if (!reader.errors().empty()) return absl::InvalidArgumentError(absl::StrJoin(reader.errors(), "\n"));
  } catch (const toml::parse_error& error) {
    return absl::InvalidArgumentError(
        absl::StrCat("line ", error.source().begin.line, ": ", std::string(error.description())));
  }
  return out;
}

absl::StatusOr<Settings> read_settings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return absl::NotFoundError(absl::StrCat("can't read ", path));
  std::ostringstream text;
  text << file.rdbuf();
  return parse_settings(text.str());
}

}  // namespace nettlestand::tier
