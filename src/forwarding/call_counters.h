// Counts what is unusual about calls to servers, so that an incident can be read from a node's log. The log
// gets a summary at intervals, and a line for every single call on level debug alone.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "base/time.h"

namespace nettlestand::tier {

// `name_of` gives the name under which an event is logged.
enum class CallEvent : std::uint8_t {
  kRepeatedSend,     // a request was sent to a further server
  kForeignResponse,  // a response to another request was skipped
  kUnprovenRefusal,  // a response refuses a request (429, 503, ...) without proof that it did not run
  kRepeatedId        // a connection was passed over since it has carried a request with the same id
};
inline constexpr std::size_t kCallEventCount = 4;
const char* name_of(CallEvent event);

// Totals since the start, and counts since the last summary.
class CallCounters {
 public:
  void count(CallEvent event);
  std::uint64_t total(CallEvent event) const { return totals_[static_cast<std::size_t>(event)]; }
  // Once per report interval, returns a summary of the events since the last one and clears it. Empty before
  // the interval is over, or if nothing was counted.
  std::string take_due_report(Millis now);

 private:
  using Counts = std::array<std::uint64_t, kCallEventCount>;
  Counts totals_{}, unreported_{};
  Millis next_report_ = 0;
};

}  // namespace nettlestand::tier
