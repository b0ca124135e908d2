// Forwards requests to servers: chooses a server, sends the request, retries where that is allowed, and
// passes the response on. Live requests and batch items take the same path.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "control/configuration.h"
#include "forwarding/event_stream.h"
#include "forwarding/server_pool.h"
#include "forwarding/upstream.h"

namespace nettlestand::tier {

// What the configuration in force says about sending a request now.
enum class SendPermission : std::uint8_t {
  kDenied,
  kOnce,       // unless it may have run already
  kRepeatable  // also after it has run
};

// A request to forward. It keeps its configuration alive, so `route` stays valid if a new one is applied.
struct ForwardRequest {
  std::shared_ptr<const Configuration> configuration;
  const Route* route = nullptr;
  std::string service, tenant;
  std::string id, method, target, host;
  std::vector<std::pair<std::string, std::string>> headers;  // the forwarded ones only
  std::string body;
  std::uint64_t body_digest = 0;    // of the body as received from the client
  Millis deadline = 0;              // the earlier of the client's and the route's
  bool is_item = false;             // item of a batch job
  std::uint64_t last_event_id = 0;  // resume after this event; 0: from the start
  bool has_last_event_id = false;
  // Called right before each send, as the configuration may have changed since the request was received. Not
  // set: kRepeatable. What `route` does not allow is never done.
  std::function<SendPermission()> permission;
};

// Receives the response to a forwarded request.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  // Called once, with the head of the response that is passed on. False ends the request: the client is gone.
  virtual boost::asio::awaitable<bool> on_head(const ResponseHead& head) = 0;
  // Called with bytes of the body; for an event stream, with complete events, of which the last one of a
  // whole response may lack its blank line. False: the client is gone.
  virtual boost::asio::awaitable<bool> on_data(std::string_view bytes) = 0;
  // Set by the owner when the client has gone; it then calls `cancel_call`, if set, to end the call in
  // progress.
  bool client_gone = false;
  std::function<void()> cancel_call;
};

// How a forwarded request ended.
enum class ForwardOutcome : std::uint8_t {
  kCompleted,  // the complete response was passed on
  kTruncated,  // a part of the response was passed on and the rest cannot be had
  kRefused,    // it did not run and will not
  kFailed,     // it may have run, and nothing was passed on
  kTimedOut,   // as kFailed, because the last attempt timed out
  kClientGone  // the client has gone
};

// Why a request was refused without having run.
enum class ForwardRefusal : std::uint8_t {
  kNone,
  kTenantLimit,    // over the tenant's learned limit
  kNoServer,       // no eligible server has capacity
  kWithdrawn,      // `permission` said that it may no longer be sent
  kServersRefused  // every server tried rejected it or could not be reached
};

struct ForwardResult {
  ForwardOutcome outcome = ForwardOutcome::kFailed;
  int status = 0;                   // of the last response received from a server
  std::uint64_t last_event_id = 0;  // last event passed on
  ForwardRefusal refusal = ForwardRefusal::kNone;
};

// Forwards requests with the servers, connections and tenant limits of this node.
class Forwarder {
 public:
  Forwarder(std::unique_ptr<Upstream> upstream, std::uint64_t seed);
  ~Forwarder();

  // Runs a request to its end. `sink` has to stay alive until then.
  boost::asio::awaitable<ForwardResult> forward(ForwardRequest request, ResponseSink& sink);

  // Logs a summary of unusual calls at intervals.
  void tick(Millis now);

  ServerPool& pool() { return pool_; }
  Upstream& upstream() { return *upstream_; }

 private:
  struct Progress;
  // Sends the request to one server and passes its response on.
  boost::asio::awaitable<CallOutcome> attempt(ForwardRequest& request, const ChosenServer& server,
                                              Progress& progress, ResponseSink& sink);
  // Passes the body of a response on. kCompleted if it has arrived whole, whatever its status.
  static boost::asio::awaitable<CallOutcome> forward_body(const ForwardRequest& request,
                                                          UpstreamConnection& connection, Progress& progress,
                                                          ResponseSink& sink);
  static Millis body_deadline(const ForwardRequest& request, const Progress& progress);
  static bool take_event(const StreamEvent& event, Progress& progress);
  static bool take_whole_events(EventStreamParser& events, std::string_view bytes, Progress& progress,
                                std::string& whole_events);
  static bool take_last_event(EventStreamParser& events, Progress& progress, std::string& whole_events);
  TenantAdmission& admission(const std::string& tenant, const std::string& service);

  ServerPool pool_;
  std::unique_ptr<Upstream> upstream_;
  quinceusher::Random random_;
  std::map<std::pair<std::string, std::string>, TenantAdmission> admissions_;
};

}  // namespace nettlestand::tier
