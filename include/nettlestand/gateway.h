// nettlestand in an application's process: a gateway takes requests, sends them on to one tier of servers,
// and answers each exactly once: served, refused or failed. Needs the standard library alone; a gateway on an
// application's own Boost.Asio loop is opened by nettlestand/asio.h.
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

// Mistakes that an application can make.
enum class Errc {
  kBadOption = 1,  // Options that can't be used; the text names the field
  kUnknownClass,   // of a request
  kUnknownTenant,
  kBadRequest,      // anything else about a request that can't be used; the text says what
  kRequestIdInUse,  // a request with this id is open, or has attempts out
  kBodyTooLong,     // over 64 KiB
  kStopping,        // the gateway takes nothing more
  kFull,            // max_open, or no memory to spare
  kDutyNotHeld,     // the request's duty is not this gateway's (any more)
  kIdIsOpen [[deprecated("use kRequestIdInUse")]] = kRequestIdInUse,
  kNotHeld [[deprecated("use kDutyNotHeld")]] = kDutyNotHeld
};
NETTLESTAND_API const std::error_category& gateway_category() noexcept;
inline std::error_code make_error_code(Errc code) { return {static_cast<int>(code), gateway_category()}; }

struct Error {
  std::error_code code;
  std::string text;  // for people: what is wrong, and of which field
  explicit operator bool() const { return static_cast<bool>(code); }
};

struct Request {
  std::string request_class;    // as Options name it
  std::string tenant;           // as Options name it; empty where they name none
  std::string id;               // new with every request, to 128 bytes; empty: the gateway makes one
  std::string idempotency_key;  // to 128 bytes; for keyed classes, and only for those
  std::string target = "/api";  // path and query as servers get them, to 2,048 bytes
  std::string host = "service.internal";
  std::string cookie, content_type;      // passed on where they are not empty
  std::string body;                      // to 64 KiB; none for safe classes
  std::chrono::milliseconds timeout{0};  // from submit(); 0: the class's deadline; to 600 s
  std::chrono::microseconds work{0};     // a guess at the server's work; 0: none
  // Made under a duty: refused where this gateway does not hold it, else sent on with its token
  // (Fencing-Token), for servers to turn away lower ones than they have seen.
  std::string duty;
  bool is_repeat = false;  // a further try of the application's own client
};

enum class Outcome {
  kServed,     // a server's 200
  kRefused,    // nothing has run: trying again is harmless, best after `retry_after`
  kFailed,     // nothing is promised: it may have run, unless its class is safe to ask again
  kTimedOut,   // as kFailed, for its time was up
  kInvalid,    // `error` says why; nothing has run
  kCancelled,  // by cancel(): it may have run
  kShutDown    // the gateway ended before its answer: it may have run
};

struct Response {
  Outcome outcome = Outcome::kFailed;
  Error error;  // of kInvalid; of kRefused where the gateway itself had no room or is stopping
  std::string body, content_type;            // of kServed
  std::chrono::microseconds retry_after{0};  // of kRefused; 0: no advice
  // As the daemon answers: 200, 503, 502, 504; 400, 409 or 413 for kInvalid; 499 for kCancelled.
  NETTLESTAND_API int status() const;
};

// Called exactly once for each submit(), on Options::executor, never inside submit(). What it throws is
// caught and logged.
using Completion = UniqueFunction<void(Response)>;

// Names one submitted request. Never reused by its gateway; 0 names none.
using Ticket = std::uint64_t;

class HttpCall;

// All members may be called from any thread, and from within completions, unless they say otherwise.
class NETTLESTAND_API Gateway {
 public:
  // A gateway on a thread of its own. Null, and `error` says why, where it can't be: Options that can't be
  // used, or no thread. Throws only std::bad_alloc.
  static std::unique_ptr<Gateway> open(Options options, Error& error);

  // Completions that are still owed are posted as kShutDown, at once; connections are closed by the gateway's
  // thread. A thread of its own is joined, unless this is called on it. On an application's loop nothing is
  // waited for: what is left goes with the loop's next turns, or with the loop; that loop must outlive this
  // call.
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Takes a request; `done` gets its one final answer.
  Ticket submit(Request request, Completion done);
  // One that HttpReader has read.
  Ticket submit(HttpCall call, Completion done);

  // Nothing more is wanted of it: `done` gets kCancelled unless its answer is already on the way, and
  // attempts that are out are abandoned. False where it has been answered or the ticket names nothing.
  bool cancel(Ticket ticket);

  // Takes nothing more from here on: what is submitted is refused with kStopping. What is open gets its
  // answer, 3.45 s from now at the latest (sooner where every class's deadline is under 3 s). Then
  // connections are closed and `done` is called, on the executor; without one, on the gateway's thread. Only
  // the first call counts.
  void stop(UniqueFunction<void()> done = nullptr);

  // Answers everything that is open now, as for deadlines that have come.
  void expire_all();

  // Whether requests can be served: there is a server to send to, and discovery, where there is one, has been
  // heard or asked.
  bool ready() const;
  // Requests that have no answer yet.
  std::size_t open_requests() const;

  // The guard of a duty's effects: its token while this gateway holds it, 0 else. To be asked at the last
  // moment before each effect; the token goes with the effect to where it takes place.
  std::uint64_t duty_token(const std::string& duty) const;
  // It can't be done here: somebody else is to try. Asked for again after a pause that grows.
  void report_duty_failure(const std::string& duty);

  // Replaces all servers, as a list from discovery would. Those that it lacks drain.
  Error set_servers(const std::vector<ServerOptions>& servers);
  // Asks discovery at another address from now on; until that has spoken, the old one still counts.
  Error set_discovery_address(const std::string& address);

  [[deprecated("use expire_all()")]] void answer_all() { expire_all(); }
  [[deprecated("use report_duty_failure()")]] void duty_failed(const std::string& duty) {
    report_duty_failure(duty);
  }
  [[deprecated("use set_discovery_address()")]] Error move_discovery(const std::string& address) {
    return set_discovery_address(address);
  }

  class Impl;
  explicit Gateway(std::shared_ptr<Impl> impl);  // the library's own
  Impl& impl() const { return *impl_; }          // the library's own

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace nettlestand

template <>
struct std::is_error_code_enum<nettlestand::Errc> : std::true_type {};
