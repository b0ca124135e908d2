#include "zones/evidence.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <set>
#include <stdexcept>
#include <utility>

namespace nettlestand::zones {
namespace {

constexpr std::size_t kNowhere = std::numeric_limits<std::size_t>::max();
constexpr double kMostWeight = 1e9;

// The lower of the two in the middle: in doubt a zone bears less.
std::optional<double> median(std::vector<double> all) {
  if (all.empty()) return std::nullopt;
  const auto middle = all.begin() + static_cast<std::ptrdiff_t>((all.size() - 1) / 2);
  std::nth_element(all.begin(), middle, all.end());
  return *middle;
}

}  // namespace

Evidence::Evidence(EvidenceSettings settings) : s_(std::move(settings)) {
  const std::size_t n = s_.zones.size();
  std::set<std::string> names;
  for (const auto& z : s_.zones) {
    if (!names.insert(z.zone).second) throw std::invalid_argument("zones: " + z.zone + " is named twice");
  }
  if (s_.distance.size() != n ||
      std::any_of(s_.distance.begin(), s_.distance.end(), [n](const auto& row) { return row.size() != n; })) {
    throw std::invalid_argument("zones: distances are not those of the zones");
  }
  if (s_.per_weight <= 0) throw std::invalid_argument("zones: what a server bears is not above 0");
  if (!(s_.fresh > 0) || !(s_.cut >= 0 && s_.cut < 1)) {
    throw std::invalid_argument("zones: reports have to count for a while, and a cut is a part of 1");
  }
}

std::size_t Evidence::place(const std::string& zone) const {
  for (std::size_t i = 0; i < s_.zones.size(); ++i) {
    if (s_.zones[i].zone == zone) return i;
  }
  return kNowhere;
}

bool Evidence::report(const Report& report, double now) {
  const std::size_t zone = place(report.zone);
  if (zone == kNowhere || report.node.empty() || report.demand.size() != s_.classes.size()) return false;
  if (std::any_of(report.demand.begin(), report.demand.end(), [](Load l) { return l < 0; })) return false;
  for (const auto& [name, v] : report.views) {
    const bool sound = v.weight >= 0 && v.weight <= kMostWeight && v.well >= 0 && v.well <= 1 &&
                       v.slow >= 1 && std::isfinite(v.slow);
    if (!sound || place(name) == kNowhere) return false;
  }
  told_[report.node] = {report, zone, now};
  return true;
}

bool Evidence::drain(const std::string& zone, double over, double now) {
  if (place(zone) == kNowhere || !(over >= 0)) return false;
  drains_[zone] = {now, over};
  return true;
}

bool Evidence::undrain(const std::string& zone) { return drains_.erase(zone) > 0; }

std::vector<std::size_t> Evidence::heard(double now) const {
  std::vector<std::size_t> out(s_.zones.size());
  for (const auto& [node, told] : told_) out[told.zone] += now - told.at < s_.fresh ? 1 : 0;
  return out;
}

Facts Evidence::facts(double now) {
  std::erase_if(told_, [&](const auto& entry) { return now - entry.second.at >= s_.fresh; });
  const std::size_t n = s_.zones.size();
  // [from][to]: what the nodes of a zone say of another, or of their own.
  std::vector<std::vector<std::vector<double>>> bear(n, std::vector<std::vector<double>>(n)), through = bear;
  Facts out;
  out.at = now;
  out.distance = s_.distance;
  for (const auto& z : s_.zones)
    out.zones.push_back({z.zone, z.region, 0, 1, std::vector<Load>(s_.classes.size())});
  for (const auto& [node, told] : told_) {
    for (std::size_t c = 0; c < s_.classes.size(); ++c)
      out.zones[told.zone].demand[c] += told.report.demand[c];
    for (const auto& [name, view] : told.report.views) {
      bear[told.zone][place(name)].push_back(bears(view));
      through[told.zone][place(name)].push_back(view.well);
    }
  }
  for (std::size_t b = 0; b < n; ++b) {
    std::optional<double> bears = median(bear[b][b]);
    if (!bears) {
      std::vector<double> others;
      for (std::size_t a = 0; a < n; ++a) {
        if (const auto view = median(bear[a][b])) others.push_back(*view);
      }
      bears = median(others);
    }
    ZoneFacts& z = out.zones[b];
    z.capacity = static_cast<Load>(std::floor(bears.value_or(0) * static_cast<double>(s_.per_weight)));
    if (const auto it = drains_.find(z.zone); it != drains_.end()) {
      const Drain& d = it->second;
      z.open = d.over > 0 ? std::clamp(1 - (now - d.from) / d.over, 0.0, 1.0) : 0;
    }
    for (std::size_t a = 0; a < n; ++a) {
      const auto well = median(through[a][b]);
      if (a != b && well && *well <= s_.cut && z.capacity > 0) out.distance[a][b] = kUnreached;
    }
  }
  return out;
}

}  // namespace nettlestand::zones
