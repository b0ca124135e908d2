// From the library's public words to the core's: what can't be used is told with a text that names the field.
#pragma once

#include <string>
#include <vector>

#include "core/engine.h"
#include "duties/client_service.h"
#include "http/request_validator.h"
#include "http/upstream_payload.h"
#include "nettlestand/gateway.h"
#include "nettlestand/options.h"
#include "peers/service.h"

namespace nettlestand {

// Options, checked.
struct Checked {
  EngineOptions engine;
  std::vector<std::string> classes, tenants;  // their names
  std::optional<boost::asio::ip::tcp::endpoint> discovery;
  std::optional<ServerList> servers;
  std::optional<peers::ServiceOptions> peers;
  std::optional<duties::ClientServiceOptions> duties;
};
Error check(const Options& options, Checked& out);

// A whole list, numbered `seq`.
Error servers_of(const std::vector<ServerOptions>& servers, const std::vector<std::string>& zones,
                 std::size_t most, std::uint64_t seq, ServerList& out);

// A request as it came at `came_at`, with its id filled in, and the token of its duty, where it has one.
// Throws RequestRejection.
Call call_of(Request&& request, const RequestValidator& request_validator,
             const std::vector<std::string>& classes, const quinceusher::Settings& settings,
             ByteBudget& budget, double received_at, std::uint64_t token = 0);

Error error_of(const RequestRejection& bad);
Response response_of(Reply&& reply);

}  // namespace nettlestand
