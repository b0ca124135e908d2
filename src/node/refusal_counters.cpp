#include "node/refusal_counters.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace nettlestand::tier {
namespace {

constexpr Millis kReportMs = 2000;
constexpr std::size_t kMostTenants = 4;  // named in a report for each cause, those with most first

using Count = std::pair<std::string, std::uint64_t>;

std::vector<Count> largest(const std::map<std::string, std::uint64_t>& counts) {
  std::vector<Count> out(counts.begin(), counts.end());
  const std::size_t kept = std::min(out.size(), kMostTenants);
  const auto more = [](const Count& a, const Count& b) { return a.second > b.second; };
  std::partial_sort(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(kept), out.end(), more);
  out.resize(kept);
  return out;
}

}  // namespace

const char* name_of(RefusalCause cause) {
  constexpr std::array<const char*, kRefusalCauses> kNames = {
      "no_configuration", "unknown_route", "unknown_key",    "bad_request", "stopping", "quota", "limit",
      "no_server",        "withdrawn",     "servers_refused"};
  return kNames[static_cast<std::size_t>(cause)];
}

void RefusalCounters::count(RefusalCause cause, const std::string& tenant) {
  const auto at = static_cast<std::size_t>(cause);
  ++totals_[at];
  ++unreported_[at][tenant];
}

std::string RefusalCounters::due_report(Millis now) {
  if (now < next_report_) return {};
  next_report_ = now + kReportMs;
  std::string out;
  for (std::size_t cause = 0; cause < kRefusalCauses; ++cause) {
    if (unreported_[cause].empty()) continue;
    std::uint64_t sum = 0;
    for (const auto& [tenant, count] : unreported_[cause]) sum += count;
    out += std::string(" ") + name_of(static_cast<RefusalCause>(cause)) + "=" + std::to_string(sum);
    for (const auto& [tenant, count] : largest(unreported_[cause])) {
      if (!tenant.empty()) out += "," + tenant + ":" + std::to_string(count);
    }
    unreported_[cause].clear();
  }
  return out;
}

}  // namespace nettlestand::tier
