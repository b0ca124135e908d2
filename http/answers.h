// What a front tells its clients: the statuses and heads of HTTP/1.1 answers.
#pragma once

#include <string>

#include "core/engine.h"
#include "http/intake.h"
#include "http/payload.h"

namespace nettlestand {

// The final answer to a request.
struct Answer {
  unsigned status = 500;
  double retry_after = 0;  // s; 0: no advice
  std::string body, content_type;
  Claim claim;  // on the bytes of the body
};

inline constexpr BadRequest kOpenId{409, "this Request-Id is open"};

Answer answer_to(Reply&& reply);
// To what is turned away; a 503 carries the engine's advice.
Answer answer_to(const BadRequest& bad, const Engine& engine);

// Status line and headers, with the empty line.
std::string head_of(const Answer& answer, bool close);
// As `Retry-After` has it: seconds with three decimals.
std::string retry_after_text(double seconds);

}  // namespace nettlestand
