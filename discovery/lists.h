// Lists of servers as discovery writes them: JSON, one object a list.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/members.h"
#include "json/read.h"

namespace nettlestand {

// Both throw std::exception with a plain text on what can't be used. `zones`: their names, in the order of
// the settings.
ServerList list_of(const quinceusher::json::Json& in, const std::vector<std::string>& zones);
ServerList read_list(std::string_view json, const std::vector<std::string>& zones);

// Throws for what is no address and port.
boost::asio::ip::tcp::endpoint read_endpoint(std::string_view text);

// Unix milliseconds on the steady clock. 0 stays 0 (long ago). The offset is taken once: with a new one for
// each list the same start would get new times, and the module would take each for a restart.
double steady_of_unix_ms(double unix_ms);

}  // namespace nettlestand
