// Counts the requests that an edge node has refused, by cause. The log gets a summary at intervals; a
// line for every request only at the level debug.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace nettlestand::tier {

// `name_of` gives the name under which a cause is logged.
enum class RefusalCause : std::uint8_t {
  kNoConfiguration,  // no configuration that is certain to be in force
  kUnknownRoute,
  kUnknownKey,
  kBadRequest,      // it has no request id
  kStopping,        // the process will exit before the request could end
  kQuota,           // the tenant has exceeded its quota
  kTenantLimit,     // the tenant is over its adaptive limit
  kNoServer,        // no eligible server has capacity
  kWithdrawn,       // no longer allowed by the configuration when it was to be sent
  kServersRefused,  // all servers that were tried have rejected it
  kNoMemory         // the process has no memory left for it
};
inline constexpr std::size_t kRefusalCauseCount = 11;
const char* name_of(RefusalCause cause);

// Totals since the start, and counts by tenant since the last summary.
class RefusalCounters {
 public:
  void count(RefusalCause cause, const std::string& tenant);
  std::uint64_t total(RefusalCause cause) const { return totals_[static_cast<std::size_t>(cause)]; }
  // Once per report interval, returns a summary of the refusals since the last one and clears it. Empty
  // before the interval is over, or if nothing was refused.
  std::string take_due_report(Millis now);

 private:
  std::array<std::uint64_t, kRefusalCauseCount> totals_{};
  std::array<std::map<std::string, std::uint64_t>, kRefusalCauseCount> unreported_;  // by tenant
  Millis next_report_ = 0;
};

}  // namespace nettlestand::tier
