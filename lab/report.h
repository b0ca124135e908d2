// Renders a result as one self-contained HTML page with plots.
#pragma once

#include <string>

#include "lab/result.h"

namespace nettlestand::lab {

// Runs gnuplot (gnuplot-nox) in a temporary directory that is removed afterwards. Throws std::runtime_error
// if gnuplot is missing or fails.
std::string report(const Result& result);

}  // namespace nettlestand::lab
