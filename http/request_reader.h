// Parses the requests of one connection: takes bytes and returns requests or rejections, without sockets or a
// clock. Every front end that accepts HTTP/1.1 uses it, so that all of them interpret the same bytes alike.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/engine.h"
#include "http/arena_parser.h"
#include "http/request_validator.h"
#include "http/upstream_payload.h"
#include "util/byte_budget.h"

namespace nettlestand {

// Parses and validates one request at a time.
class RequestReader {
 public:
  enum class Step {
    kNeedMore,  // all input is consumed, and more is needed
    kHead,      // the head is complete and valid; read() continues with the body
    kRequest,   // the request is complete: request(), path(), take_call()
    kRejected   // see rejection(); nothing after it on this connection can be read
  };

  // `other_body_limit`: maximum body size in bytes of a request that is not for /api.
  RequestReader(const RequestValidator& request_validator, ByteBudget& budget, std::size_t other_body_limit)
      : request_validator_(request_validator), budget_(budget), other_body_limit_(other_body_limit) {}

  // Consumes from the front of `in` what belongs to the current request.
  Step read(std::string& in);

  // Available from kHead on.
  bool is_call() const { return call_.has_value(); }
  const std::string& client_id() const { return call_->client_id; }
  bool expects_continue() const { return expects_continue_; }
  bool keep_alive() const { return keep_alive_; }
  // Available at kRejected.
  const RequestRejection& rejection() const { return rejection_; }
  // Available at kRequest. The views are valid until reset().
  const boost::beast::http::message<true, boost::beast::http::string_body, Fields>& request() const {
    return parser_->get();
  }
  std::string_view path() const { return RequestValidator::path_of(parser_->get()); }
  // Moves out the request for /api with its body. May be called once, if is_call(). Throws RequestRejection.
  Call take_call(double received_at);

  // Releases everything held for the current request, so that the next one can be read.
  void reset();

 private:
  Step on_head();
  std::size_t memory_of_head() const;
  Step reject(unsigned status, const char* what = nullptr);

  const RequestValidator& request_validator_;
  ByteBudget& budget_;
  const std::size_t other_body_limit_;
  ArenaParser<true, 2048> parser_;
  std::optional<Call> call_;
  std::shared_ptr<UpstreamRequest> upstream_request_;
  std::size_t head_bytes_ = 0;
  bool keep_alive_ = false, expects_continue_ = false;
  std::size_t head_memory_ = 0;
  ByteReservation claim_;  // memory reserved for the head and the body
  RequestRejection rejection_{400, nullptr};
};

}  // namespace nettlestand
