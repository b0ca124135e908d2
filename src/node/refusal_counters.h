// Why an edge node has refused or failed requests, counted by cause and told in the log now and then, never
// for each request.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace nettlestand::tier {

enum class RefusalCause : std::uint8_t {
  kNoConfiguration,  // none that is certain to be in force
  kUnknownRoute,
  kUnknownKey,
  kBadRequest,     // without an id
  kStopping,       // the process ends before the request could
  kQuota,          // the tenant's requests are beyond its quota
  kLimit,          // by the client's learned limit
  kNoServer,       // none that may be used has room
  kWithdrawn,      // a change of the configuration, before it was sent
  kServersRefused  // each server that was asked has turned it away
};
inline constexpr std::size_t kRefusalCauseCount = 10;
const char* name_of(RefusalCause cause);

class RefusalCounters {
 public:
  void count(RefusalCause cause, const std::string& tenant);
  std::uint64_t total(RefusalCause cause) const { return totals_[static_cast<std::size_t>(cause)]; }
  // Once in a while: what was refused since the last time, as text; empty where nothing was.
  std::string take_due_report(Millis now);

 private:
  std::array<std::uint64_t, kRefusalCauseCount> totals_{};
  std::array<std::map<std::string, std::uint64_t>, kRefusalCauseCount> unreported_;  // by tenant
  Millis next_report_ = 0;
};

}  // namespace nettlestand::tier
