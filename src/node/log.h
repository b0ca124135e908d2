// Logs through log4cplus: one line an event, with its fields as name=value; never a line for each request.
#pragma once

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <string>

namespace nettlestand::tier {

// To standard error, at "debug", "info", "warning" or "error" and above.
void start_logging(const std::string& level);
log4cplus::Logger& logger();

}  // namespace nettlestand::tier

#define NETTLESTAND_INFO(event) LOG4CPLUS_INFO(::nettlestand::tier::logger(), event)
#define NETTLESTAND_WARNING(event) LOG4CPLUS_WARN(::nettlestand::tier::logger(), event)
#define NETTLESTAND_DEBUG(event) LOG4CPLUS_DEBUG(::nettlestand::tier::logger(), event)
