// Where the parts of a node say what happened: whoever puts them together decides where that goes.
#pragma once

#include <functional>
#include <string>

namespace nettlestand {

using Log = std::function<void(const std::string&)>;

}  // namespace nettlestand
