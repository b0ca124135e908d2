// For applications with an HTTP/1.1 server of their own: parses a client's bytes with the same checks and the
// same error responses as the daemon, and yields requests for /api to submit to a gateway. Uses no sockets:
// takes bytes and returns requests or rejections.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "nettlestand/export.h"
#include "nettlestand/gateway.h"

namespace nettlestand {

// A valid request for /api, to be passed to Gateway::submit(). Its deadline counts from when its first bytes
// were read.
class NETTLESTAND_API HttpCall {
 public:
  HttpCall();
  HttpCall(HttpCall&&) noexcept;
  HttpCall& operator=(HttpCall&&) noexcept;
  ~HttpCall();

  struct Impl;
  std::unique_ptr<Impl> impl;  // internal
};

// The response to an HTTP client.
struct HttpResponse {
  int status = 500;
  std::string retry_after;  // value of the Retry-After header; empty: none
  std::string content_type, body;
  bool close = false;  // close the connection after this response

  // Status line, headers and body.
  NETTLESTAND_API std::string serialize() const;
  [[deprecated("use serialize()")]] std::string bytes() const { return serialize(); }
};

// Converts the response that a completion received.
NETTLESTAND_API HttpResponse http_response(Response response);

using HttpAnswer [[deprecated("use HttpResponse")]] = HttpResponse;
[[deprecated("use http_response()")]] inline HttpResponse http_answer(Response response) {
  return http_response(std::move(response));
}

// Parses the requests of one connection. Not thread-safe. The gateway must outlive it.
class NETTLESTAND_API HttpReader {
 public:
  enum class Step {
    kNeedMore,  // all input is consumed, and more is needed
    kHead,      // the head is complete and valid; read() continues with the body
    kRequest,   // the request is complete
    kRejected,  // send rejection_response(); nothing after it on this connection can be read
    kMore [[deprecated("use kNeedMore")]] = kNeedMore,
    kTurnedAway [[deprecated("use kRejected")]] = kRejected
  };

  // `other_body_limit`: maximum body size in bytes of a request that is not for /api. Heads are limited to 8
  // KiB.
  explicit HttpReader(Gateway& gateway, std::size_t other_body_limit = 64 * 1024);
  ~HttpReader();
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  // Consumes from the front of `input` what belongs to the current request. After kRequest, call reset()
  // before reading the next request.
  Step read(std::string& input);

  // Available from kHead on.
  bool for_gateway() const;       // whether the path is /api
  bool expects_continue() const;  // whether the client waits for "100 Continue" before it sends the body
  bool keep_alive() const;
  std::string_view method() const;
  std::string_view target() const;
  std::string_view path() const;  // the target without the query
  struct Field {
    std::string_view name, value;
  };
  std::vector<Field> fields() const;
  // Available at kRequest; empty after take_call().
  std::string_view body() const;
  // Moves out the request for the gateway. May be called once, at kRequest, if for_gateway(). Returns false
  // if the request is invalid; see rejection_response().
  bool take_call(HttpCall& out);
  // The error response, at kRejected or after take_call() has returned false.
  HttpResponse rejection_response() const;
  // At kRequest: the request serialized for another HTTP server, so that its end is unambiguous: framed by
  // Content-Length and without hop-by-hop headers, except those of an upgrade. `extra_headers`: further
  // header lines, each with its line end. Headers of the client with the name `excluded_header` are dropped.
  // The body is empty after take_call().
  std::string normalized_request(std::string_view extra_headers, std::string_view excluded_header) const;
  // Whether the request asks for an upgrade to another protocol.
  bool is_upgrade() const;

  // Releases everything held for the current request, so that the next one can be read.
  void reset();

  [[deprecated("use take_call()")]] bool call(HttpCall& out) { return take_call(out); }
  [[deprecated("use rejection_response()")]] HttpResponse verdict() const { return rejection_response(); }
  [[deprecated("use normalized_request()")]] std::string rewritten(std::string_view lines,
                                                                   std::string_view without) const {
    return normalized_request(lines, without);
  }
  [[deprecated("use is_upgrade()")]] bool upgrades() const { return is_upgrade(); }
  [[deprecated("use reset()")]] void forget() { reset(); }

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace nettlestand
