// Handles clients' requests at an edge node: finds the route, checks API key and quota, and forwards to a
// server. Requests about batch jobs go to the BatchRequestHandler.
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
#include "routing/caller.h"

namespace nettlestand::tier {

// The handler of the listener for clients.
class ClientRequestHandler {
 public:
  ClientRequestHandler(boost::asio::io_context& io, ControlClient& control_client, Forwarder& forwarder,
                       BatchRequestHandler& batch, std::uint64_t seed)
      : io_(io), control_client_(control_client), forwarder_(forwarder), batch_(batch), random_(seed) {}

  boost::asio::awaitable<void> handle(std::shared_ptr<HttpExchange> exchange);
  // Logs a summary of refused requests at intervals.
  void tick(Millis now);
  const RefusalCounters& refusals() const { return refusals_; }
  // Sets the time at which the process exits: from now on, requests that may take longer are refused.
  void set_stop_deadline(Millis deadline) { stop_deadline_ = deadline; }

 private:
  // Whether there is a configuration that is certain to be in force. Waits a short time for one, which is
  // needed after all nodes have started at once.
  boost::asio::awaitable<bool> has_configuration();
  // Takes one request from the tenant's quota. Waits a short time for a grant; false if the quota is used up
  // or no grant arrives in time.
  boost::asio::awaitable<bool> acquire_quota(const Tenant& tenant);
  boost::asio::awaitable<void> handle_job_request(std::shared_ptr<HttpExchange> exchange,
                                                  const Configuration& configuration);
  boost::asio::awaitable<void> forward_request(std::shared_ptr<HttpExchange> exchange,
                                               std::shared_ptr<const Configuration> configuration,
                                               const Route& route, Caller caller);
  // Whether the configuration that is in force now still allows this request to go to this service.
  SendPermission current_permission(const std::string& host, const std::string& path, const std::string& key,
                                    const std::string& tenant, const std::string& service) const;

  // Answers with the status of the cause, and counts it.
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
