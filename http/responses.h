// The HTTP/1.1 responses that a front end sends to its clients.
#pragma once

#include <string>

#include "core/engine.h"
#include "http/request_validator.h"
#include "http/upstream_payload.h"

namespace nettlestand {

// The final (not interim) response to a request.
struct FinalResponse {
  unsigned status = 500;
  double retry_after = 0;  // s; 0: no Retry-After field
  std::string body, content_type;
  ByteReservation claim;  // memory reserved for the body
};

inline constexpr RequestRejection kRequestIdInUse{409, "this Request-Id is open"};

// The response to a call that the engine has answered.
FinalResponse response_to(Reply&& reply);
// The response to a rejected request; a 503 carries the engine's Retry-After.
FinalResponse response_to(const RequestRejection& bad, const Engine& engine);

// Status line and header fields, with the final empty line. `close`: whether to add Connection: close.
std::string response_head(const FinalResponse& answer, bool close);
// Seconds with three decimals, as in Retry-After.
std::string retry_after_text(double seconds);

}  // namespace nettlestand
