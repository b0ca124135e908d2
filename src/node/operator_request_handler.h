// Handles the operator's calls over HTTP: validates them and forwards them to the leader of the control
// state.
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

// Parses X-Base-Version, the version on which a change is based. Nothing if the text is not a whole number.
std::optional<std::uint64_t> parse_base_version(std::string_view text);

// The handler of the listener for operators.
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
