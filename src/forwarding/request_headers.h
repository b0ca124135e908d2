// Which headers of a request go on to a server. Live requests and items of batch jobs alike pass through
// here.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace nettlestand::tier {

using HeaderFields = std::vector<std::pair<std::string, std::string>>;

// Whether a header concerns one connection only, or frames its message.
bool is_hop_by_hop_header(std::string_view name);
// Whether the tier sets a header itself, or the server must not see it.
bool is_reserved_header(std::string_view name);
// Whether the list of names in a `Connection` header holds `name`.
bool is_named_by_connection(std::string_view connection, std::string_view name);
// The headers that go on: neither of one connection, nor named by `Connection`, nor the tier's own.
HeaderFields forwarded_headers(const HeaderFields& fields);

}  // namespace nettlestand::tier
