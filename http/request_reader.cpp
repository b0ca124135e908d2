#include "http/request_reader.h"

#include <algorithm>
#include <utility>

namespace nettlestand {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kMaxBodyBytes = 64 * 1024;  // of a request for /api
constexpr std::size_t kFieldOverheadBytes = 64;   // of a parsed header field, besides its text
constexpr std::size_t kMaxHeadBytes = 8 * 1024;   // of a request's head, and of a chunk header

}  // namespace

RequestReader::Step RequestReader::reject(unsigned status, const char* what) {
  rejection_ = {status, what};
  reset();
  return Step::kRejected;
}

void RequestReader::reset() {
  parser_.reset();
  call_.reset();
  upstream_request_.reset();
  claim_ = {};
}

// The parser is not eager: an eager parser of Beast 1.74 continues after a head whose body is over the limit,
// and parses the body as part of the head.
RequestReader::Step RequestReader::read(std::string& in) {
  if (!parser_) {
    parser_.emplace();
    parser_->body_limit(std::max(kMaxBodyBytes, other_body_limit_));
    parser_->header_limit(kMaxHeadBytes);
    head_bytes_ = 0;
  }
  boost::system::error_code error;
  std::size_t from = 0;
  while (from < in.size() && !parser_->is_done()) {
    const bool in_head = !parser_->is_header_done();
    const std::string_view bytes = std::string_view(in).substr(from);
    // Beast joins folded header lines, while other parsers read them as two.
    if (in_head && has_folded_line(bytes)) return reject(400);
    const std::size_t body = parser_->get().body().size();
    const std::size_t used = parser_->put(boost::asio::buffer(bytes.data(), bytes.size()), error);
    from += used;
    std::size_t framing = used - (parser_->get().body().size() - body);
    if (in_head) framing = head_bytes_ += framing;
    if (error == http::error::need_more) framing += in.size() - from;
    // Bounds heads and chunk headers: Beast's own limit doesn't count complete lines.
    if (framing > kMaxHeadBytes) return reject(431);
    if (error == http::error::need_more) break;
    if (error) {
      const bool long_head = error == http::error::header_limit;
      return reject(error == http::error::body_limit ? 413 : long_head ? 431 : 400);
    }
    if (in_head && parser_->is_header_done()) {
      in.erase(0, from);
      return on_head();
    }
    // A chunked body ends with its trailers, which the parser consumes in one call.
    if (parser_->is_done() && parser_->chunked() && has_folded_line(bytes.substr(0, used)))
      return reject(400);
    const std::size_t now = parser_->get().body().size();
    if (now > (is_call() ? kMaxBodyBytes : std::max(kMaxBodyBytes, other_body_limit_))) return reject(413);
    if (!in_head && !claim_.grow_to(head_memory_ + now, budget_.size() / 2)) return reject(503);
    if (used == 0) break;
  }
  in.erase(0, from);
  return parser_->is_done() ? Step::kRequest : Step::kNeedMore;
}

// Validates a request as soon as its head is complete, so that an invalid one is rejected before its body.
RequestReader::Step RequestReader::on_head() {
  const RequestValidator::Head& head = parser_->get().base();
  keep_alive_ = parser_->get().keep_alive();
  claim_ = ByteReservation(budget_);
  try {
    const RequestValidator::FieldValues fields(head);
    RequestValidator::check_framing(head, fields);
    RequestValidator::check_target_and_host(head, fields);
    const std::string_view expected = fields.value[RequestValidator::kExpect];
    expects_continue_ = boost::beast::iequals({expected.data(), expected.size()}, "100-continue");
    const auto length = parser_->content_length().value_or(0);
    if (RequestValidator::path_of(head) == "/api") {
      if (length > kMaxBodyBytes) throw RequestRejection{413, nullptr};
      upstream_request_ = std::make_shared<UpstreamRequest>();
      call_.emplace(request_validator_.read_call(head, fields, *upstream_request_));
    }
    // Requests may use at most half of the memory budget; the other half is left for responses.
    head_memory_ = memory_of_head();
    if (!claim_.grow_to(head_memory_ + length, budget_.size() / 2))
      throw RequestRejection{503, "no memory to spare"};
  } catch (const RequestRejection& bad) {
    return reject(bad.status, bad.what);
  }
  return Step::kHead;
}

// Memory of the parsed head: its bytes, held twice, and what each of its fields takes besides.
std::size_t RequestReader::memory_of_head() const {
  std::size_t fields = 0;
  for ([[maybe_unused]] const auto& field : parser_->get()) ++fields;
  return 2 * head_bytes_ + fields * kFieldOverheadBytes;
}

Call RequestReader::take_call(double received_at) {
  auto& request = parser_->get();
  if (request.method() == http::verb::post) {
    upstream_request_->head += "Content-Length: " + std::to_string(request.body().size()) + "\r\n";
  } else if (!request.body().empty()) {
    throw RequestRejection{400, "a body where none belongs"};
  }
  upstream_request_->body = std::move(request.body());
  upstream_request_->claim = std::exchange(claim_, {});
  Call out = std::move(*call_);
  out.received_at = received_at;
  out.payload = std::move(upstream_request_);
  return out;
}

}  // namespace nettlestand
