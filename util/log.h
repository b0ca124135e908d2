// Where the parts of a node say what happened: whoever puts them together decides where that goes.
#pragma once

#include <functional>
#include <string>

#include "nettlestand/log.h"

namespace nettlestand {

using Log = std::function<void(const LogEvent&)>;

// Something that should not happen, and that the program survives.
inline LogEvent unexpected_error(std::string_view component, const std::string& what) {
  return {LogLevel::kError, component, "surprise", "surprise: " + what, {{"what", what}}};
}

}  // namespace nettlestand
