// Converts between the library's public types and those of the core, and validates what the application
// passes in. An error text names the invalid field.
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

// The core's options, converted from valid Options.
struct ValidatedOptions {
  EngineOptions engine;
  std::vector<std::string> classes, tenants;  // names, in the order of the core's settings
  std::optional<boost::asio::ip::tcp::endpoint> discovery;
  std::optional<ServerList> servers;
  std::optional<peers::ServiceOptions> peers;
  std::optional<duties::ClientServiceOptions> duties;
};
// Validates `options` and converts them to `out`. The error reports the first invalid field.
Error validate(const Options& options, ValidatedOptions& out);

// Validates `servers` and converts them to a complete list with the sequence number `seq`.
Error to_server_list(const std::vector<ServerOptions>& servers, const std::vector<std::string>& zones,
                     std::size_t max_servers, std::uint64_t seq, ServerList& out);

// Validates and converts a request that was received at `received_at` and has its id filled in. `token` is
// the fencing token of its duty, 0 if it has none. Throws RequestRejection.
Call to_call(Request&& request, const RequestValidator& request_validator,
             const std::vector<std::string>& classes, const quinceusher::Settings& settings,
             ByteBudget& budget, double received_at, std::uint64_t token = 0);

// Returns the public error for a rejected request.
Error to_error(const RequestRejection& rejection);
// Converts the engine's final answer.
Response to_response(Reply&& reply);

}  // namespace nettlestand
