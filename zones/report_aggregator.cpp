#include "zones/report_aggregator.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <set>
#include <stdexcept>
#include <utility>

namespace nettlestand::zones {
namespace {

constexpr std::size_t kUnknownZone = std::numeric_limits<std::size_t>::max();
constexpr double kMaxWeight = 1e9;

// The lower of the two middle values, as the lower capacity is the safe one.
std::optional<double> median(std::vector<double> all) {
  if (all.empty()) return std::nullopt;
  const auto middle = all.begin() + static_cast<std::ptrdiff_t>((all.size() - 1) / 2);
  std::nth_element(all.begin(), middle, all.end());
  return *middle;
}

}  // namespace

ReportAggregator::ReportAggregator(ReportAggregatorSettings settings) : settings_(std::move(settings)) {
  const std::size_t n = settings_.zones.size();
  std::set<std::string> names;
  for (const auto& z : settings_.zones) {
    if (!names.insert(z.zone).second) throw std::invalid_argument("zones: " + z.zone + " is listed twice");
  }
  if (settings_.distance.size() != n || std::any_of(settings_.distance.begin(), settings_.distance.end(),
                                                    [n](const auto& row) { return row.size() != n; })) {
    throw std::invalid_argument("zones: the distances don't match the zones");
  }
  if (settings_.load_per_weight <= 0)
    throw std::invalid_argument("zones: the load per weight must be above 0");
  if (!(settings_.report_ttl > 0) ||
      !(settings_.partition_threshold >= 0 && settings_.partition_threshold < 1)) {
    throw std::invalid_argument(
        "zones: the report lifetime must be above 0, the partition threshold from 0 to below 1");
  }
}

std::size_t ReportAggregator::zone_index(const std::string& zone) const {
  for (std::size_t i = 0; i < settings_.zones.size(); ++i) {
    if (settings_.zones[i].zone == zone) return i;
  }
  return kUnknownZone;
}

bool ReportAggregator::add_report(const NodeReport& report, double now) {
  const std::size_t zone = zone_index(report.zone);
  if (zone == kUnknownZone || report.node.empty() || report.demand.size() != settings_.classes.size())
    return false;
  if (std::any_of(report.demand.begin(), report.demand.end(), [](Load l) { return l < 0; })) return false;
  for (const auto& [name, v] : report.views) {
    const bool sound = v.weight >= 0 && v.weight <= kMaxWeight && v.success_ratio >= 0 &&
                       v.success_ratio <= 1 && v.latency_factor >= 1 && std::isfinite(v.latency_factor);
    if (!sound || zone_index(name) == kUnknownZone) return false;
  }
  reports_[report.node] = {report, zone, now};
  return true;
}

bool ReportAggregator::drain(const std::string& zone, double duration, double now) {
  if (zone_index(zone) == kUnknownZone || !(duration >= 0)) return false;
  drains_[zone] = {now, duration};
  return true;
}

bool ReportAggregator::undrain(const std::string& zone) { return drains_.erase(zone) > 0; }

std::vector<std::size_t> ReportAggregator::reporting_nodes(double now) const {
  std::vector<std::size_t> out(settings_.zones.size());
  for (const auto& [node, received] : reports_)
    out[received.zone] += now - received.at < settings_.report_ttl ? 1 : 0;
  return out;
}

PlanInput ReportAggregator::plan_input(double now) {
  std::erase_if(reports_, [&](const auto& entry) { return now - entry.second.at >= settings_.report_ttl; });
  const std::size_t n = settings_.zones.size();
  // [from][to]: what the nodes of one zone report of another, or of their own.
  std::vector<std::vector<std::vector<double>>> weights(n, std::vector<std::vector<double>>(n)),
      success = weights;
  PlanInput out;
  out.now = now;
  out.distance = settings_.distance;
  for (const auto& z : settings_.zones)
    out.zones.push_back({z.zone, z.region, 0, 1, std::vector<Load>(settings_.classes.size())});
  for (const auto& [node, received] : reports_) {
    for (std::size_t c = 0; c < settings_.classes.size(); ++c)
      out.zones[received.zone].demand[c] += received.report.demand[c];
    for (const auto& [name, view] : received.report.views) {
      weights[received.zone][zone_index(name)].push_back(effective_weight(view));
      success[received.zone][zone_index(name)].push_back(view.success_ratio);
    }
  }
  for (std::size_t b = 0; b < n; ++b) {
    std::optional<double> weight = median(weights[b][b]);
    if (!weight) {
      std::vector<double> others;
      for (std::size_t a = 0; a < n; ++a) {
        if (const auto view = median(weights[a][b])) others.push_back(*view);
      }
      weight = median(others);
    }
    ZoneInput& z = out.zones[b];
    z.capacity =
        static_cast<Load>(std::floor(weight.value_or(0) * static_cast<double>(settings_.load_per_weight)));
    if (const auto it = drains_.find(z.zone); it != drains_.end()) {
      const Drain& d = it->second;
      z.available = d.duration > 0 ? std::clamp(1 - (now - d.started_at) / d.duration, 0.0, 1.0) : 0;
    }
    for (std::size_t a = 0; a < n; ++a) {
      const auto ratio = median(success[a][b]);
      if (a != b && ratio && *ratio <= settings_.partition_threshold && z.capacity > 0)
        out.distance[a][b] = kUnreachable;
    }
  }
  return out;
}

}  // namespace nettlestand::zones
