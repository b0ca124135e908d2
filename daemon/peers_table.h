// The output of `nettlestand peers show`: a node's membership report as a text table.
#pragma once

#include <string>

namespace nettlestand {

// One line for the node and one per member. Throws std::exception if `report` is not a report.
std::string peers_table(const std::string& report);

}  // namespace nettlestand
