// Logging through log4cplus: one line per event, with its fields as name=value. Nothing is logged for every
// single request.
#pragma once

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <string>

namespace nettlestand::tier {

// Starts logging to standard error. `level` is the lowest level that is logged: "debug", "info", "warning" or
// "error".
void start_logging(const std::string& level);
// The logger that the macros below use.
log4cplus::Logger& logger();

}  // namespace nettlestand::tier

#define NETTLESTAND_INFO(event) LOG4CPLUS_INFO(::nettlestand::tier::logger(), event)
#define NETTLESTAND_WARNING(event) LOG4CPLUS_WARN(::nettlestand::tier::logger(), event)
#define NETTLESTAND_DEBUG(event) LOG4CPLUS_DEBUG(::nettlestand::tier::logger(), event)
