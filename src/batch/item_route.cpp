#include "batch/item_route.h"

#include <algorithm>
#include <string_view>

namespace nettlestand::tier {

const Route* route_of_item(const Configuration& configuration, const JobSpec& job, const JobItem& item) {
  const std::string_view target = item.path;
  const Route* route = configuration.find_route(job.host, target.substr(0, target.find('?')));
  if (route == nullptr || route->name != job.route) return nullptr;
  return route->route_class == RouteClass::kBatch ? route : nullptr;
}

const Route* route_of_job(const Configuration& configuration, const JobSpec& job) {
  const bool leads_to_all = std::all_of(job.items.begin(), job.items.end(), [&](const JobItem& item) {
    return route_of_item(configuration, job, item) != nullptr;
  });
  return leads_to_all ? configuration.route_named(job.route) : nullptr;
}

}  // namespace nettlestand::tier
