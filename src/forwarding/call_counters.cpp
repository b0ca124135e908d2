#include "forwarding/call_counters.h"

namespace nettlestand::tier {
namespace {

constexpr Millis kReportIntervalMs = 2000;

}  // namespace

const char* name_of(CallEvent event) {
  constexpr std::array<const char*, kCallEventCount> kNames = {"repeated_sends", "foreign_responses",
                                                               "unproven_refusals", "repeated_ids"};
  return kNames[static_cast<std::size_t>(event)];
}

void CallCounters::count(CallEvent event) {
  ++totals_[static_cast<std::size_t>(event)];
  ++unreported_[static_cast<std::size_t>(event)];
}

std::string CallCounters::take_due_report(Millis now) {
  if (now < next_report_) return {};
  next_report_ = now + kReportIntervalMs;
  std::string out;
  for (std::size_t event = 0; event < kCallEventCount; ++event) {
    if (unreported_[event] == 0) continue;
    out +=
        std::string(" ") + name_of(static_cast<CallEvent>(event)) + "=" + std::to_string(unreported_[event]);
  }
  unreported_ = {};
  return out;
}

}  // namespace nettlestand::tier
