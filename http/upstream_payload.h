// The HTTP/1.1 payloads that front ends and the upstream transport exchange through the core.
#pragma once

#include <string>

#include "core/transport.h"
#include "util/byte_budget.h"

namespace nettlestand {

// A request as it is forwarded to a server.
struct UpstreamRequest final : Payload {
  std::string head;  // request line and headers, without Request-Timeout-Ms and the final empty line
  std::string body;
  ByteReservation claim;  // memory reserved for the body
  bool retryable = false;
};

// A server's complete 200 response, as it is returned to a caller.
struct UpstreamResponse final : Payload {
  std::string body, content_type;
  ByteReservation claim;  // memory reserved for the body
};

}  // namespace nettlestand
