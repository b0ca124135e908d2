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
struct ValidatedOptions {
  EngineOptions engine;
  std::vector<std::string> classes, tenants;  // their names
  std::optional<boost::asio::ip::tcp::endpoint> discovery;
  std::optional<ServerList> servers;
  std::optional<peers::ServiceOptions> peers;
  std::optional<duties::ClientServiceOptions> duties;
};
Error validate(const Options& options, ValidatedOptions& out);

// A whole list, numbered `seq`.
Error to_server_list(const std::vector<ServerOptions>& servers, const std::vector<std::string>& zones,
                     std::size_t max_servers, std::uint64_t seq, ServerList& out);

// A request as it came at `came_at`, with its id filled in, and the token of its duty, where it has one.
// Throws RequestRejection.
Call to_call(Request&& request, const RequestValidator& request_validator,
             const std::vector<std::string>& classes, const quinceusher::Settings& settings,
             ByteBudget& budget, double received_at, std::uint64_t token = 0);

Error to_error(const RequestRejection& rejection);
Response to_response(Reply&& reply);

}  // namespace nettlestand
