// Clients' requests at an edge node: route, key, quota, and on to a server; batch calls to their own front.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <limits>
#include <memory>
#include <string>

#include "admission/random.h"
#include "control/control_client.h"
#include "forwarding/forwarder.h"
#include "node/batch_request_handler.h"
#include "node/http_server.h"
#include "node/refusal_counters.h"

namespace nettlestand::tier {

class ClientRequestHandler {
 public:
  ClientRequestHandler(boost::asio::io_context& io, ControlClient& control_client, Forwarder& forwarder,
                       BatchRequestHandler& batch, std::uint64_t seed)
      : io_(io), control_client_(control_client), forwarder_(forwarder), batch_(batch), random_(seed) {}

  boost::asio::awaitable<void> handle(std::shared_ptr<HttpExchange> exchange);
  // Tells now and then what was refused, and why.
  void tick(Millis now);
  const RefusalCounters& refusals() const { return refusals_; }
  // The process ends then: what may last longer is refused from now on.
  void set_stop_deadline(Millis deadline) { stop_deadline_ = deadline; }

 private:
  // Who asks, and whether that is known; answered where it isn't.
  struct Caller {
    std::string key, tenant;
    const Tenant* tenant_entry = nullptr;
  };
  // Whether there is a fresh configuration; waits a moment for one, as after the start of everything.
  boost::asio::awaitable<bool> has_configuration();
  boost::asio::awaitable<bool> acquire_quota(const Tenant& tenant);
  boost::asio::awaitable<void> forward_request(std::shared_ptr<HttpExchange> exchange,
                                               std::shared_ptr<const Configuration> configuration,
                                               const Route& route, Caller caller);
  // Whether the configuration in force now still lets this request go to this service.
  bool still_allowed(const std::string& host, const std::string& path, const Caller& caller,
                     const std::string& service) const;

  boost::asio::awaitable<void> refuse(std::shared_ptr<HttpExchange> exchange, RefusalCause cause,
                                      const std::string& tenant = "");

  boost::asio::io_context& io_;
  ControlClient& control_client_;
  Forwarder& forwarder_;
  BatchRequestHandler& batch_;
  quinceusher::Random random_;
  Millis stop_deadline_ = std::numeric_limits<Millis>::max();
  RefusalCounters refusals_;
};

}  // namespace nettlestand::tier
