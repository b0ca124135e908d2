#include "nettlestand/http.h"

#include <boost/beast/core/string.hpp>
#include <utility>

#include "gateway/impl.h"
#include "http/request_reader.h"
#include "http/responses.h"
#include "util/clock.h"

namespace nettlestand {
namespace {

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

FinalResponse plain(const HttpAnswer& answer) {
  return {static_cast<unsigned>(answer.status), 0, answer.body, answer.content_type, {}};
}

HttpAnswer public_of(FinalResponse&& answer, bool close) {
  return {static_cast<int>(answer.status), answer.retry_after > 0 ? retry_after_text(answer.retry_after) : "",
          std::move(answer.content_type), std::move(answer.body), close};
}

}  // namespace

HttpCall::HttpCall() = default;
HttpCall::HttpCall(HttpCall&&) noexcept = default;
HttpCall& HttpCall::operator=(HttpCall&&) noexcept = default;
HttpCall::~HttpCall() = default;

std::string HttpAnswer::bytes() const {
  std::string out = response_head(plain(*this), close);
  if (!retry_after.empty()) out.insert(out.size() - 2, "Retry-After: " + retry_after + "\r\n");
  return out + body;
}

HttpAnswer http_answer(Response response) {
  HttpAnswer out;
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

struct HttpReader::Impl {
  Impl(Gateway::Impl& gateway, std::size_t other)
      : gateway(gateway), reader(gateway.request_validator(), gateway.budget(), other) {}
  Gateway::Impl& gateway;
  RequestReader reader;
  RequestRejection bad{400, nullptr};
  bool begun = false;
  double received_at = 0;
};

HttpReader::HttpReader(Gateway& gateway, std::size_t other_body_limit)
    : impl_(std::make_unique<Impl>(gateway.impl(), other_body_limit)) {}
HttpReader::~HttpReader() = default;

HttpReader::Step HttpReader::read(std::string& in) {
  if (!std::exchange(impl_->begun, true)) impl_->received_at = now();
  switch (impl_->reader.read(in)) {
    case RequestReader::Step::kNeedMore:
      return Step::kMore;
    case RequestReader::Step::kHead:
      return Step::kHead;
    case RequestReader::Step::kRequest:
      return Step::kRequest;
    case RequestReader::Step::kRejected:
      break;
  }
  impl_->bad = impl_->reader.rejection();
  return Step::kTurnedAway;
}

bool HttpReader::for_gateway() const { return impl_->reader.is_call(); }
bool HttpReader::expects_continue() const { return impl_->reader.expects_continue(); }
bool HttpReader::keep_alive() const { return impl_->reader.keep_alive(); }
std::string_view HttpReader::method() const { return view(impl_->reader.request().method_string()); }
std::string_view HttpReader::target() const { return view(impl_->reader.request().target()); }
std::string_view HttpReader::path() const { return impl_->reader.path(); }
std::string_view HttpReader::body() const { return impl_->reader.request().body(); }

std::vector<HttpReader::Field> HttpReader::fields() const {
  std::vector<Field> out;
  for (const auto& field : impl_->reader.request()) {
    out.push_back({view(field.name_string()), view(field.value())});
  }
  return out;
}

bool HttpReader::call(HttpCall& out) {
  try {
    out.impl = std::make_unique<HttpCall::Impl>();
    out.impl->call = impl_->reader.take_call(impl_->received_at);
    return true;
  } catch (const RequestRejection& bad) {
    impl_->bad = bad;
    return false;
  }
}

HttpAnswer HttpReader::verdict() const {
  return public_of(response_to(impl_->bad, impl_->gateway.engine()), true);
}

bool HttpReader::upgrades() const {
  return impl_->reader.request().count(boost::beast::http::field::upgrade) > 0;
}

std::string HttpReader::rewritten(std::string_view lines, std::string_view without) const {
  using boost::beast::http::field;
  const auto& request = impl_->reader.request();
  const bool upgrade = upgrades();
  std::string out;
  out.append(method()).append(" ").append(target()).append(" HTTP/1.1\r\n");
  for (const auto& line : request) {
    switch (line.name()) {
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
    if (boost::beast::iequals(line.name_string(), boost::beast::string_view(without.data(), without.size())))
      continue;
    out.append(view(line.name_string())).append(": ").append(view(line.value())).append("\r\n");
  }
  out.append(lines);
  if (!keep_alive() && !upgrade) out += "Connection: close\r\n";
  const std::string& body = request.body();
  if (!body.empty() || request.method() == boost::beast::http::verb::post ||
      request.method() == boost::beast::http::verb::put) {
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return out.append("\r\n").append(body);
}

void HttpReader::forget() {
  impl_->reader.reset();
  impl_->begun = false;
}

}  // namespace nettlestand
