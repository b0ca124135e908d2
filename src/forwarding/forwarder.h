// The one way in which a request reaches a server: choosing it, sending, trying again where that is allowed,
// and passing the answer on. Live requests and batch items alike go through it.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "control/configuration.h"
#include "forwarding/server_pool.h"
#include "forwarding/upstream.h"

namespace nettlestand::tier {

// A request on its way. The configuration is held, so the route stays valid while it changes.
struct ForwardRequest {
  std::shared_ptr<const Configuration> configuration;
  const Route* route = nullptr;
  std::string service, tenant;
  std::string id, method, target, host;
  std::vector<std::pair<std::string, std::string>> headers;  // that go on to the server
  std::string body;
  std::uint64_t body_digest = 0;    // of the body as its client sent it
  Millis deadline = 0;              // of the client and of the route, whichever comes first
  bool is_item = false;             // of a batch job
  std::uint64_t last_event_id = 0;  // to continue after; 0: from the start
  bool has_last_event_id = false;
  // Asked right before each send: whether the request may still go to a server.
  std::function<bool()> may_send;
};

// Where an answer goes.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  // The head of the answer that will be passed on; called once. False ends the request: the client is gone.
  virtual boost::asio::awaitable<bool> on_head(const ResponseHead& head) = 0;
  // Bytes of the body; of an event stream, whole events.
  virtual boost::asio::awaitable<bool> on_data(std::string_view bytes) = 0;
  // Set once the client is known to be gone; `abandon` then ends the call that is under way.
  bool client_gone = false;
  std::function<void()> cancel_call;
};

enum class ForwardOutcome : std::uint8_t {
  kCompleted,  // the server's whole answer was passed on
  kTruncated,  // it was begun and can't be completed
  kRefused,    // it has not run and will not
  kFailed,     // it may have run, and nothing was passed on
  kTimedOut,   // the same, as the deadline has come
  kClientGone  // the client left
};

// Why a request was refused without having run.
enum class ForwardRefusal : std::uint8_t {
  kNone,
  kTenantLimit,    // by the client's learned limit
  kNoServer,       // no server that may be used has room
  kWithdrawn,      // it may no longer be sent
  kServersRefused  // each server that was asked has turned it away, or could not be reached
};

struct ForwardResult {
  ForwardOutcome outcome = ForwardOutcome::kFailed;
  int status = 0;                   // of the last answer of a server
  std::uint64_t last_event_id = 0;  // passed on
  ForwardRefusal refusal = ForwardRefusal::kNone;
};

class Forwarder {
 public:
  Forwarder(std::unique_ptr<Upstream> upstream, std::uint64_t seed);
  ~Forwarder();

  boost::asio::awaitable<ForwardResult> forward(ForwardRequest request, ResponseSink& sink);

  ServerPool& pool() { return pool_; }
  Upstream& upstream() { return *upstream_; }

 private:
  struct Progress;
  boost::asio::awaitable<CallOutcome> attempt(ForwardRequest& request, const ChosenServer& server,
                                              Progress& progress, ResponseSink& sink);
  TenantAdmission& admission(const std::string& tenant, const std::string& service);

  ServerPool pool_;
  std::unique_ptr<Upstream> upstream_;
  quinceusher::Random random_;
  std::map<std::pair<std::string, std::string>, TenantAdmission> admissions_;
};

}  // namespace nettlestand::tier
