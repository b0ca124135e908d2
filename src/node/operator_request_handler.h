// The operator's calls over HTTP: reads and checks them, and has them passed on to the leader.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string_view>

#include "control/operator_relay.h"
#include "node/http_server.h"
#include "node/pending_calls.h"

namespace nettlestand::tier {

// The version that a change builds on; nothing where the text is no whole number.
std::optional<std::uint64_t> parse_base_version(std::string_view text);

class OperatorRequestHandler {
 public:
  OperatorRequestHandler(boost::asio::io_context& io, OperatorRelay& relay)
      : relay_(relay), pending_replies_(io, 0) {}

  boost::asio::awaitable<void> handle(std::shared_ptr<HttpExchange> exchange);

 private:
  struct Reply {
    std::uint64_t call = 0;
    std::uint32_t status = 0;
    std::string body;
  };
  OperatorRelay& relay_;
  PendingCalls<Reply> pending_replies_;
};

}  // namespace nettlestand::tier
