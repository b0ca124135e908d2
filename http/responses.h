// What a front tells its clients: the statuses and heads of HTTP/1.1 answers.
#pragma once

#include <string>

#include "core/engine.h"
#include "http/request_validator.h"
#include "http/upstream_payload.h"

namespace nettlestand {

// The final answer to a request.
struct FinalResponse {
  unsigned status = 500;
  double retry_after = 0;  // s; 0: no advice
  std::string body, content_type;
  Claim claim;  // on the bytes of the body
};

inline constexpr RequestRejection kRequestIdInUse{409, "this Request-Id is open"};

FinalResponse response_to(Reply&& reply);
// To what is turned away; a 503 carries the engine's advice.
FinalResponse response_to(const RequestRejection& bad, const Engine& engine);

// Status line and headers, with the empty line.
std::string response_head(const FinalResponse& answer, bool close);
// As `Retry-After` has it: seconds with three decimals.
std::string retry_after_text(double seconds);

}  // namespace nettlestand
