// Selects the request headers that are forwarded to a server, for live requests and for items of batch jobs.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace nettlestand::tier {

using HeaderFields = std::vector<std::pair<std::string, std::string>>;

// Whether a header is hop-by-hop or describes the framing of its message.
bool is_hop_by_hop_header(std::string_view name);
// Whether a header is set by the forwarder itself, or must not reach the server.
bool is_reserved_header(std::string_view name);
// The headers to forward: those that are neither hop-by-hop, nor listed by a `Connection` header, nor
// reserved.
HeaderFields forwarded_headers(const HeaderFields& fields);

}  // namespace nettlestand::tier
