// For those who serve HTTP/1.1 themselves: reads a client's bytes as the daemon does, with the same checks
// and the same answers, and gives what is for /api to a gateway. No sockets: bytes in, requests or verdicts
// out.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "nettlestand/export.h"
#include "nettlestand/gateway.h"

namespace nettlestand {

// A sound request for /api, to be submitted. Its class's time counts from when its first bytes were read.
class NETTLESTAND_API HttpCall {
 public:
  HttpCall();
  HttpCall(HttpCall&&) noexcept;
  HttpCall& operator=(HttpCall&&) noexcept;
  ~HttpCall();

  struct Impl;
  std::unique_ptr<Impl> impl;  // the library's own
};

// What a client is told.
struct HttpResponse {
  int status = 500;
  std::string retry_after;  // the header's value; empty: none
  std::string content_type, body;
  bool close = false;  // the connection ends with it

  // Status line, headers and body.
  NETTLESTAND_API std::string serialize() const;
  [[deprecated("use serialize()")]] std::string bytes() const { return serialize(); }
};

// The answer to a request, from what its completion got.
NETTLESTAND_API HttpResponse http_response(Response response);

using HttpAnswer [[deprecated("use HttpResponse")]] = HttpResponse;
[[deprecated("use http_response()")]] inline HttpResponse http_answer(Response response) {
  return http_response(std::move(response));
}

// Reads one connection's requests. Not for two threads at once. The gateway must outlive it.
class NETTLESTAND_API HttpReader {
 public:
  enum class Step {
    kNeedMore,  // all that was there is taken; more is needed
    kHead,      // a sound head has come; read() goes on with its body
    kRequest,   // a whole request is there
    kRejected,  // the client gets verdict(), and nothing that follows it on this connection can be read
    kMore [[deprecated("use kNeedMore")]] = kNeedMore,
    kTurnedAway [[deprecated("use kRejected")]] = kRejected
  };

  // `other_body_limit`: bytes of the body of a request that is not for /api. Heads are of 8 KiB at most.
  explicit HttpReader(Gateway& gateway, std::size_t other_body_limit = 64 * 1024);
  ~HttpReader();
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  // Takes from the front of `in` what belongs to the request at hand. After kRequest: forget() before the
  // next.
  Step read(std::string& input);

  // From kHead on.
  bool for_gateway() const;       // its path is /api
  bool expects_continue() const;  // the client waits for "100 Continue" before it sends the body
  bool keep_alive() const;
  std::string_view method() const;
  std::string_view target() const;
  std::string_view path() const;  // the target without its query
  struct Field {
    std::string_view name, value;
  };
  std::vector<Field> fields() const;
  // At kRequest; empty once call() has taken it.
  std::string_view body() const;
  // At kRequest, where for_gateway(): once. False, and verdict() says why, where it can't be used.
  bool take_call(HttpCall& out);
  // At kTurnedAway, or where call() was false.
  HttpResponse rejection_response() const;
  // At kRequest: the request as another server may read it, without a doubt where it ends: framed by a
  // length, without what belongs to one connection but an upgrade. `lines`: further header lines, each with
  // its line end; a client's own header of the name `without` is left out. Its body is empty once call() has
  // taken it.
  std::string normalized_request(std::string_view extra_headers, std::string_view excluded_header) const;
  // Whether it asks for another protocol on its connection.
  bool is_upgrade() const;

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
