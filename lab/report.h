// A result as one HTML page with plots, which need nothing beside it.
#pragma once

#include <string>

#include "lab/result.h"

namespace nettlestand::lab {

// Calls gnuplot (gnuplot-nox), whose files stay in a folder of their own that goes again. Throws
// std::runtime_error where there is no gnuplot or it fails.
std::string report(const Result& result);

}  // namespace nettlestand::lab
