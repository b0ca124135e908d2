// What HTTP/1.1 fronts and transports hand each other through the core.
#pragma once

#include <string>

#include "core/transport.h"
#include "util/budget.h"

namespace nettlestand {

// A request as it goes on to a server.
struct UpstreamRequest final : Payload {
  std::string head;  // request line and headers, but for Request-Timeout-Ms and the empty line
  std::string body;
  Claim claim;  // on the bytes of the body
  bool retryable = false;
};

// A server's 200, as it goes on to a caller.
struct UpstreamResponse final : Payload {
  std::string body, content_type;
  Claim claim;  // on the bytes of the body
};

}  // namespace nettlestand
