// nettlestand as a library: a gateway in the application's process forwards requests to one tier of servers
// and answers each of them exactly once. Requires only the standard library; nettlestand/asio.h opens a
// gateway on an application's own Boost.Asio loop.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <system_error>

#include "nettlestand/export.h"
#include "nettlestand/function.h"
#include "nettlestand/options.h"

namespace nettlestand {

// Errors in how the application uses the library, and reasons of the gateway to refuse a request.
enum class Errc {
  kBadOption = 1,  // invalid options; the text names the field
  kUnknownClass,   // the request names a class that is not in Options
  kUnknownTenant,
  kBadRequest,      // any other invalid part of a request; the text names it
  kRequestIdInUse,  // a request with this id is open or has attempts in flight
  kBodyTooLong,     // over 64 KiB
  kStopping,        // the gateway is draining and accepts no requests
  kFull,            // max_open or the memory limit is reached
  kDutyNotHeld,     // this gateway does not hold the request's duty (any more)
  kIdIsOpen [[deprecated("use kRequestIdInUse")]] = kRequestIdInUse,
  kNotHeld [[deprecated("use kDutyNotHeld")]] = kDutyNotHeld
};
// The error category of Errc, with the name "nettlestand".
NETTLESTAND_API const std::error_category& gateway_category() noexcept;
inline std::error_code make_error_code(Errc code) { return {static_cast<int>(code), gateway_category()}; }

// An error of the library; false in a boolean context if there is none.
struct Error {
  std::error_code code;
  std::string text;  // for people: the field and what is wrong with it
  explicit operator bool() const { return static_cast<bool>(code); }
};

// A request to forward.
struct Request {
  std::string request_class;    // as Options name it
  std::string tenant;           // as Options name it; empty if they name no tenants
  std::string id;               // unique for each request, up to 128 bytes; empty: the gateway generates one
  std::string idempotency_key;  // up to 128 bytes; required for keyed classes, not allowed for others
  std::string target = "/api";  // path and query, up to 2,048 bytes
  std::string host = "service.internal";
  std::string cookie, content_type;      // forwarded if not empty
  std::string body;                      // up to 64 KiB; empty for safe classes
  std::chrono::milliseconds timeout{0};  // counted from submit(), up to 600 s; 0: the class's deadline
  std::chrono::microseconds work{0};     // estimated work for the server; 0: unknown
  // Duty under which the request is made, or empty. Refused if this gateway does not hold the duty; otherwise
  // sent with its fencing token (header Fencing-Token), so that servers can reject tokens lower than one they
  // have seen.
  std::string duty;
  bool is_repeat = false;  // a retry by the application's own client
};

// How a request ended.
enum class Outcome {
  kServed,     // a server answered 200
  kRefused,    // not executed: a retry is harmless, best after `retry_after`
  kFailed,     // may have been executed, so a retry is harmless only for safe classes
  kTimedOut,   // as kFailed, as the deadline passed
  kInvalid,    // invalid, see `error`; not executed
  kCancelled,  // cancelled by cancel(); may have been executed
  kShutDown    // the gateway was destroyed before the answer; may have been executed
};

// The final answer to a request.
struct Response {
  Outcome outcome = Outcome::kFailed;
  Error error;  // set for kInvalid, and for kRefused if the gateway is full, is stopping or does not hold the
                // duty
  std::string body, content_type;            // set for kServed
  std::chrono::microseconds retry_after{0};  // set for kRefused; 0: no advice
  // The HTTP status with which the daemon answers: 200, 503, 502 or 504; 400, 409 or 413 for kInvalid; 499
  // for kCancelled.
  NETTLESTAND_API int status() const;
};

// Called exactly once for each submit(), on Options::executor, never inside submit(). Exceptions from it are
// caught and logged.
using Completion = UniqueFunction<void(Response)>;

// Identifies a submitted request. A gateway never reuses one; 0 is not a ticket.
using Ticket = std::uint64_t;

class HttpCall;

// Forwards requests to one tier of servers. All members may be called from any thread and from within
// completions, unless they say otherwise.
class NETTLESTAND_API Gateway {
 public:
  // Opens a gateway that runs on a thread of its own. Returns null and sets `error` if the options are
  // invalid or no thread can be started. Throws only std::bad_alloc.
  static std::unique_ptr<Gateway> open(Options options, Error& error);

  // Posts kShutDown to the completion of each open request at once; the gateway's thread closes the
  // connections. A thread of its own is joined, unless this is called on that thread. On an application's
  // loop nothing is waited for: the rest is released when the loop next runs, or with the loop, which must
  // outlive this call.
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Submits a request; `done` gets its one final answer.
  Ticket submit(Request request, Completion done);
  // Submits a request that HttpReader has read.
  Ticket submit(HttpCall call, Completion done);

  // Cancels a request: `done` gets kCancelled unless its answer has already been posted, and attempts in
  // flight are abandoned. Returns false if the request has been answered or the ticket is unknown.
  bool cancel(Ticket ticket);

  // Drains the gateway: further requests are refused with kStopping, and open requests get their answers
  // within 3.45 s (sooner if the deadlines of all classes are under 3 s). Then connections are closed and
  // `done` is called on the executor, or without one on the gateway's thread. Only the first call has an
  // effect.
  void stop(UniqueFunction<void()> done = nullptr);

  // Answers all open requests now, as if their deadlines had passed.
  void expire_all();

  // Whether requests can be served: there is a server to send to, and discovery, if configured, has delivered
  // a list or had its time to do so.
  bool ready() const;
  // The number of requests without an answer.
  std::size_t open_requests() const;

  // The fencing token of a duty while this gateway holds it, otherwise 0. Call it immediately before each
  // effect of the duty, and send the token along to the system that performs the effect.
  std::uint64_t duty_token(const std::string& duty) const;
  // Reports that this gateway can't perform the duty, so that another member takes it over. The gateway
  // requests the duty again after an increasing backoff.
  void report_duty_failure(const std::string& duty);

  // Replaces all servers, as a list from discovery would. Servers that are not in the list drain.
  Error set_servers(const std::vector<ServerOptions>& servers);
  // Changes the address of discovery. The current list stays in use until discovery at the new address
  // answers.
  Error set_discovery_address(const std::string& address);

  [[deprecated("use expire_all()")]] void answer_all() { expire_all(); }
  [[deprecated("use report_duty_failure()")]] void duty_failed(const std::string& duty) {
    report_duty_failure(duty);
  }
  [[deprecated("use set_discovery_address()")]] Error move_discovery(const std::string& address) {
    return set_discovery_address(address);
  }

  class Impl;
  explicit Gateway(std::shared_ptr<Impl> impl);  // internal
  Impl& impl() const { return *impl_; }          // internal

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace nettlestand

template <>
struct std::is_error_code_enum<nettlestand::Errc> : std::true_type {};
