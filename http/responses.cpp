#include "http/responses.h"

#include <array>
#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <utility>

namespace nettlestand {

FinalResponse response_to(Reply&& reply) {
  switch (reply.kind) {
    case Reply::Kind::kServed: {
      auto& whole = static_cast<UpstreamResponse&>(*reply.payload);
      return {200, 0, std::move(whole.body), std::move(whole.content_type), std::move(whole.claim)};
    }
    case Reply::Kind::kRefused:
      return {503, reply.retry_after, {}, {}, {}};
    case Reply::Kind::kTimedOut:
      return {504, 0, {}, {}, {}};
    case Reply::Kind::kFailed:
    case Reply::Kind::kShutDown:
      break;
  }
  return {502, 0, {}, {}, {}};
}

FinalResponse response_to(const RequestRejection& bad, const Engine& engine) {
  FinalResponse out{bad.status, bad.status == 503 ? engine.refusal().retry_after : 0, {}, {}, {}};
  if (bad.what != nullptr) {
    out.body = std::string(bad.what) + "\n";
    out.content_type = "text/plain";
  }
  return out;
}

std::string retry_after_text(double seconds) {
  std::array<char, 32> out{};
  std::snprintf(out.data(), out.size(), "%.3f", seconds);
  return out.data();
}

std::string response_head(const FinalResponse& answer, bool close) {
  std::string out = "HTTP/1.1 " + std::to_string(answer.status) + " ";
  const auto reason =
      boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(answer.status));
  out.append(reason.data(), reason.size());
  out += "\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n";
  if (!answer.content_type.empty()) out += "Content-Type: " + answer.content_type + "\r\n";
  if (answer.retry_after > 0) out += "Retry-After: " + retry_after_text(answer.retry_after) + "\r\n";
  if (close) out += "Connection: close\r\n";
  return out + "\r\n";
}

}  // namespace nettlestand
