#include "node/refusal_counters.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace nettlestand::tier {
namespace {

constexpr Millis kReportIntervalMs = 2000;
constexpr std::size_t kMaxReportedTenants = 4;  // per cause, those with the most refusals first

using Count = std::pair<std::string, std::uint64_t>;

std::vector<Count> largest_counts(const std::map<std::string, std::uint64_t>& counts) {
  std::vector<Count> out(counts.begin(), counts.end());
  const std::size_t kept = std::min(out.size(), kMaxReportedTenants);
  const auto more = [](const Count& a, const Count& b) { return a.second > b.second; };
  std::partial_sort(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(kept), out.end(), more);
  out.resize(kept);
  return out;
}

}  // namespace

const char* name_of(RefusalCause cause) {
  constexpr std::array<const char*, kRefusalCauseCount> kNames = {
      "no_configuration", "unknown_route", "unknown_key",     "bad_request", "stopping", "quota", "limit",
      "no_server",        "withdrawn",     "servers_refused", "no_memory"};
  return kNames[static_cast<std::size_t>(cause)];
}

void RefusalCounters::count(RefusalCause cause, const std::string& tenant) {
  const auto index = static_cast<std::size_t>(cause);
  ++totals_[index];
  ++unreported_[index][tenant];
}

std::string RefusalCounters::take_due_report(Millis now) {
  if (now < next_report_) return {};
  next_report_ = now + kReportIntervalMs;
  std::string out;
  for (std::size_t cause = 0; cause < kRefusalCauseCount; ++cause) {
    if (unreported_[cause].empty()) continue;
    std::uint64_t sum = 0;
    for (const auto& [tenant, count] : unreported_[cause]) sum += count;
    out += std::string(" ") + name_of(static_cast<RefusalCause>(cause)) + "=" + std::to_string(sum);
    for (const auto& [tenant, count] : largest_counts(unreported_[cause])) {
      if (!tenant.empty()) out += "," + tenant + ":" + std::to_string(count);
    }
    unreported_[cause].clear();
  }
  return out;
}

}  // namespace nettlestand::tier
