// The settings file of a node (TOML; its path is in NETTLESTAND_CONFIG) as structs that are reflected by
// Boost.Hana: the names of their members are the keys of the file.
#pragma once

#include <absl/status/statusor.h>

#include <boost/hana.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace nettlestand::tier {

// Addresses "ip:port" of the HTTP listeners: clients (`front`), readiness checks (`ready`) and operators
// (`control`). An empty one isn't opened.
struct ListenSettings {
  BOOST_HANA_DEFINE_STRUCT(ListenSettings, (std::string, front), (std::string, ready),
                           (std::string, control));
};

// Resources that the process may use.
struct LimitsSettings {
  BOOST_HANA_DEFINE_STRUCT(LimitsSettings, (double, cpu_share), (std::int64_t, memory_mb),
                           (std::int64_t, max_fds), (std::int64_t, disk_mb), (double, link_mbps));
};

// The number of machines that may fail without loss of control state or of batch jobs.
struct FaultToleranceSettings {
  BOOST_HANA_DEFINE_STRUCT(FaultToleranceSettings, (std::int64_t, machines));
};

// Bounds on times and quotas that the operator sets; `_s` in a name is seconds, `_ms` milliseconds.
struct BoundsSettings {
  BOOST_HANA_DEFINE_STRUCT(BoundsSettings, (double, grace_s), (bool, global_revocation), (double, revoke_ms),
                           (double, quota_window_s), (double, quota_overage), (double, quota_slack),
                           (double, drain_ms), (double, config_apply_ms), (double, status_s),
                           (double, ack_ms));
};

// The platform's API, from which the list of servers is polled.
struct CloudApiSettings {
  BOOST_HANA_DEFINE_STRUCT(CloudApiSettings, (std::string, address), (double, rate_per_s),
                           (double, max_lag_ms));
};

// `level`: "debug", "info", "warning" or "error".
struct LogSettings {
  BOOST_HANA_DEFINE_STRUCT(LogSettings, (std::string, level));
};

// All settings of a node.
struct Settings {
  BOOST_HANA_DEFINE_STRUCT(Settings, (std::string, node_name), (std::string, machine_class),
                           (std::string, ip), (std::string, zone), (std::string, region),
                           (std::vector<std::int64_t>, internal_port_range),
                           (std::vector<std::string>, seeds), (bool, bootstrap), (std::string, data_dir),
                           (ListenSettings, listen), (LimitsSettings, limits),
                           (FaultToleranceSettings, fault_tolerance), (BoundsSettings, bounds),
                           (CloudApiSettings, cloud_api), (LogSettings, log));

  // The address "ip:port" at which other nodes reach this one.
  std::string internal_address() const { return ip + ":" + std::to_string(internal_port_range.at(0)); }
  // The internal address of the node with this control address, as seeds are given. All nodes use the same
  // internal ports.
  std::string internal_address_of(const std::string& control_address) const;
  std::vector<std::string> internal_seed_addresses() const;
  bool has_disk() const { return !data_dir.empty(); }
};

// Reads and validates settings. The error lists all mistakes at once, one a line, each with its line in the
// file. Unknown keys are ignored.
absl::StatusOr<Settings> read_settings(const std::string& path);
absl::StatusOr<Settings> parse_settings(const std::string& text);

}  // namespace nettlestand::tier
