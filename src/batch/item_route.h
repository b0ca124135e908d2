// Which route a batch item runs on.
#pragma once

#include "control/configuration.h"
#include "messaging/messages.h"

namespace nettlestand::tier {

// The route of the item's job, if the configuration still leads the item's host and path to it. Null
// otherwise: no service may run the item. A name alone does not tell, as a route may get another host, prefix
// or class under its name.
const Route* route_of_item(const Configuration& configuration, const JobSpec& job, const JobItem& item);

// The route of the job, if the configuration leads all of its items to it; null otherwise.
const Route* route_of_job(const Configuration& configuration, const JobSpec& job);

}  // namespace nettlestand::tier
