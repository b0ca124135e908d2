#include "nettlestand/http.h"

#include <boost/beast/core/string.hpp>
#include <utility>

#include "gateway/impl.h"
#include "http/request_reader.h"
#include "http/responses.h"
#include "util/clock.h"

namespace nettlestand {
namespace {

std::string_view to_string_view(boost::beast::string_view text) { return {text.data(), text.size()}; }

FinalResponse to_final_response(const HttpResponse& response) {
  return {static_cast<unsigned>(response.status), 0, response.body, response.content_type, {}};
}

HttpResponse to_http_response(FinalResponse&& response, bool close) {
  return {static_cast<int>(response.status),
          response.retry_after > 0 ? retry_after_text(response.retry_after) : "",
          std::move(response.content_type), std::move(response.body), close};
}

}  // namespace

HttpCall::HttpCall() = default;
HttpCall::HttpCall(HttpCall&&) noexcept = default;
HttpCall& HttpCall::operator=(HttpCall&&) noexcept = default;
HttpCall::~HttpCall() = default;

std::string HttpResponse::serialize() const {
  std::string out = response_head(to_final_response(*this), close);
  if (!retry_after.empty()) out.insert(out.size() - 2, "Retry-After: " + retry_after + "\r\n");
  return out + body;
}

HttpResponse http_response(Response response) {
  HttpResponse out;
  out.status = response.status();
  out.close = response.outcome == Outcome::kInvalid;
  if (response.retry_after.count() > 0) {
    out.retry_after = retry_after_text(static_cast<double>(response.retry_after.count()) / 1e6);
  }
  out.content_type = std::move(response.content_type);
  out.body = std::move(response.body);
  if (out.close) {
    out.content_type = "text/plain";
    out.body = response.error.text + "\n";
  }
  return out;
}

// Parser and state of one connection.
struct HttpReader::Impl {
  Impl(Gateway::Impl& gateway, std::size_t other_body_limit)
      : gateway(gateway), reader(gateway.request_validator(), gateway.budget(), other_body_limit) {}
  Gateway::Impl& gateway;
  RequestReader reader;
  RequestRejection rejection{400, nullptr};
  bool has_begun = false;
  double received_at = 0;
};

HttpReader::HttpReader(Gateway& gateway, std::size_t other_body_limit)
    : impl_(std::make_unique<Impl>(gateway.impl(), other_body_limit)) {}
HttpReader::~HttpReader() = default;

HttpReader::Step HttpReader::read(std::string& input) {
  if (!std::exchange(impl_->has_begun, true)) impl_->received_at = now();
  switch (impl_->reader.read(input)) {
    case RequestReader::Step::kNeedMore:
      return Step::kNeedMore;
    case RequestReader::Step::kHead:
      return Step::kHead;
    case RequestReader::Step::kRequest:
      return Step::kRequest;
    case RequestReader::Step::kRejected:
      break;
  }
  impl_->rejection = impl_->reader.rejection();
  return Step::kRejected;
}

bool HttpReader::for_gateway() const { return impl_->reader.is_call(); }
bool HttpReader::expects_continue() const { return impl_->reader.expects_continue(); }
bool HttpReader::keep_alive() const { return impl_->reader.keep_alive(); }
std::string_view HttpReader::method() const {
  return to_string_view(impl_->reader.request().method_string());
}
std::string_view HttpReader::target() const { return to_string_view(impl_->reader.request().target()); }
std::string_view HttpReader::path() const { return impl_->reader.path(); }
std::string_view HttpReader::body() const { return impl_->reader.request().body(); }

std::vector<HttpReader::Field> HttpReader::fields() const {
  std::vector<Field> out;
  for (const auto& field : impl_->reader.request()) {
    out.push_back({to_string_view(field.name_string()), to_string_view(field.value())});
  }
  return out;
}

bool HttpReader::take_call(HttpCall& out) {
  try {
    out.impl = std::make_unique<HttpCall::Impl>();
    out.impl->call = impl_->reader.take_call(impl_->received_at);
    return true;
  } catch (const RequestRejection& rejection) {
    impl_->rejection = rejection;
    return false;
  }
}

HttpResponse HttpReader::rejection_response() const {
  return to_http_response(response_to(impl_->rejection, impl_->gateway.engine()), true);
}

bool HttpReader::is_upgrade() const {
  return impl_->reader.request().count(boost::beast::http::field::upgrade) > 0;
}

std::string HttpReader::normalized_request(std::string_view extra_headers,
                                           std::string_view excluded_header) const {
  using boost::beast::http::field;
  const auto& request = impl_->reader.request();
  const bool upgrade = is_upgrade();
  std::string out;
  out.append(method()).append(" ").append(target()).append(" HTTP/1.1\r\n");
  for (const auto& header : request) {
    switch (header.name()) {
      case field::content_length:
      case field::transfer_encoding:
      case field::trailer:
      case field::expect:
      case field::keep_alive:
        continue;
      case field::connection:
        if (upgrade) break;
        continue;
      default:
        break;
    }
    if (boost::beast::iequals(header.name_string(),
                              boost::beast::string_view(excluded_header.data(), excluded_header.size())))
      continue;
    out.append(to_string_view(header.name_string()))
        .append(": ")
        .append(to_string_view(header.value()))
        .append("\r\n");
  }
  out.append(extra_headers);
  if (!keep_alive() && !upgrade) out += "Connection: close\r\n";
  const std::string& body = request.body();
  if (!body.empty() || request.method() == boost::beast::http::verb::post ||
      request.method() == boost::beast::http::verb::put) {
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return out.append("\r\n").append(body);
}

void HttpReader::reset() {
  impl_->reader.reset();
  impl_->has_begun = false;
}

}  // namespace nettlestand
