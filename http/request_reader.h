// Reads one connection's requests: bytes in, requests or verdicts out. No sockets and no clock. Every front
// that takes HTTP/1.1 reads through it, so that the same bytes mean the same everywhere.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/engine.h"
#include "http/arena_parser.h"
#include "http/request_validator.h"
#include "http/upstream_payload.h"
#include "util/budget.h"

namespace nettlestand {

class RequestReader {
 public:
  enum class Step {
    kNeedMore,  // all that was there is taken, and more is needed
    kHead,      // a sound head has come; read() goes on with the body
    kRequest,   // a whole request: path(), method(), body(), call()
    kRejected   // verdict(): nothing that follows on this connection can be read
  };

  // `other_body_limit`: bytes of the body of a request that is not for /api.
  RequestReader(const RequestValidator& request_validator, ByteBudget& budget, std::size_t other_body_limit)
      : request_validator_(request_validator), budget_(budget), other_body_limit_(other_body_limit) {}

  // Takes from the front of `in` as much as belongs to the request at hand.
  Step read(std::string& in);

  // From kHead on.
  bool is_call() const { return call_.has_value(); }
  const std::string& client_id() const { return call_->client_id; }
  bool expects_continue() const { return expects_continue_; }
  bool keep_alive() const { return keep_alive_; }
  // At kRejected.
  const RequestRejection& rejection() const { return rejection_; }
  // At kRequest. The views hold until forget().
  const boost::beast::http::message<true, boost::beast::http::string_body, Fields>& request() const {
    return parser_->get();
  }
  std::string_view path() const { return RequestValidator::path_of(parser_->get()); }
  // The request for /api, with its body; only once, and only where is_call(). Throws RequestRejection.
  Call take_call(double received_at);

  // Lets go of all that is held of a request; the next one may be read.
  void reset();

 private:
  Step on_head();
  Step reject(unsigned status, const char* what = nullptr);

  const RequestValidator& request_validator_;
  ByteBudget& budget_;
  const std::size_t other_body_limit_;
  ArenaParser<true, 2048> parser_;
  std::optional<Call> call_;
  std::shared_ptr<UpstreamRequest> upstream_request_;
  std::size_t head_bytes_ = 0;
  bool keep_alive_ = false, expects_continue_ = false;
  Claim claim_;  // on the bytes of the body
  RequestRejection rejection_{400, nullptr};
};

}  // namespace nettlestand
