// The settings file of a process (TOML, named by NETTLESTAND_CONFIG), as structs that Boost.Hana reflects
// over.
#pragma once

#include <absl/status/statusor.h>

#include <boost/hana.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace nettlestand::tier {

struct ListenSettings {
  BOOST_HANA_DEFINE_STRUCT(ListenSettings, (std::string, front), (std::string, ready),
                           (std::string, control));
};

struct LimitsSettings {
  BOOST_HANA_DEFINE_STRUCT(LimitsSettings, (double, cpu_share), (std::int64_t, memory_mb),
                           (std::int64_t, max_fds), (std::int64_t, disk_mb), (double, link_mbps));
};

struct FaultToleranceSettings {
  BOOST_HANA_DEFINE_STRUCT(FaultToleranceSettings, (std::int64_t, machines));
};

struct BoundsSettings {
  BOOST_HANA_DEFINE_STRUCT(BoundsSettings, (double, grace_s), (bool, global_revocation), (double, revoke_ms),
                           (double, quota_window_s), (double, quota_overage), (double, quota_slack),
                           (double, drain_ms), (double, config_apply_ms), (double, status_s),
                           (double, ack_ms));
};

struct CloudApiSettings {
  BOOST_HANA_DEFINE_STRUCT(CloudApiSettings, (std::string, address), (double, rate_per_s),
                           (double, max_lag_ms));
};

struct LogSettings {
  BOOST_HANA_DEFINE_STRUCT(LogSettings, (std::string, level));
};

struct Settings {
  BOOST_HANA_DEFINE_STRUCT(Settings, (std::string, node_name), (std::string, machine_class),
                           (std::string, ip), (std::string, zone), (std::string, region),
                           (std::vector<std::int64_t>, internal_port_range),
                           (std::vector<std::string>, seeds), (bool, bootstrap), (std::string, data_dir),
                           (ListenSettings, listen), (LimitsSettings, limits),
                           (FaultToleranceSettings, fault_tolerance), (BoundsSettings, bounds),
                           (CloudApiSettings, cloud_api), (LogSettings, log));

  // Where other nodes reach this one.
  std::string internal_address() const { return ip + ":" + std::to_string(internal_port_range.at(0)); }
  // Where the node listens whose control address is a seed: on all machines the internal ports are the same.
  std::string internal_address_of(const std::string& control_address) const;
  bool has_disk() const { return !data_dir.empty(); }
};

// All faults of a file at once, each with its line; settings that are not known are passed over.
absl::StatusOr<Settings> read_settings(const std::string& path);
absl::StatusOr<Settings> parse_settings(const std::string& text);

}  // namespace nettlestand::tier
