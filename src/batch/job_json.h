// The JSON of a submission of a batch job, as a client sends it. No I/O.
#pragma once

#include <absl/status/statusor.h>

#include <string_view>

#include "messaging/messages.h"

namespace nettlestand::tier {

// Parses the body of a submission into its items, without a tree of all its values: what it takes beyond the
// items does not grow with what else the body holds. An InvalidArgumentError says what is wrong.
absl::StatusOr<JobSpec> parse_job(std::string_view json);

}  // namespace nettlestand::tier
