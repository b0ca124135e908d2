// The operator's calls: any node takes them and passes on to the leader what it can't decide.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>

#include "control/follower.h"
#include "messaging/network.h"
#include "node/http_server.h"
#include "node/pending_calls.h"

namespace nettlestand::tier {

class OperatorFront {
 public:
  OperatorFront(boost::asio::io_context& io, Network& network, ControlFollower& follower)
      : io_(io), network_(network), follower_(follower), calls_(io) {}

  boost::asio::awaitable<void> handle(std::shared_ptr<HttpExchange> exchange);
  void on_reply(OperatorReply reply) { calls_.deliver(std::move(reply)); }

 private:
  boost::asio::io_context& io_;
  Network& network_;
  ControlFollower& follower_;
  PendingCalls<OperatorReply> calls_;
};

}  // namespace nettlestand::tier
