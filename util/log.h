// The log function that is passed to the components of a node.
#pragma once

#include <functional>
#include <string>

#include "nettlestand/log.h"

namespace nettlestand {

// Receives each log event; the program that assembles the components decides where events are written.
using Log = std::function<void(const LogEvent&)>;

// The event for an unexpected error after which the program continues.
inline LogEvent unexpected_error(std::string_view component, const std::string& what) {
  return {LogLevel::kError, component, "surprise", "unexpected error: " + what, {{"what", what}}};
}

}  // namespace nettlestand
