// The JSON response to a read of a job's results.
#pragma once

#include <cstdint>
#include <string>

#include "batch/job_table.h"

namespace nettlestand::tier {

// The results from position `start` on, as many as fit in a page and at least one if there is one.
std::string results_page(const Job& job, std::uint64_t start);

}  // namespace nettlestand::tier
