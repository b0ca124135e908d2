// Calls to other nodes whose replies are awaited by coroutines.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>

#include "base/time.h"

namespace nettlestand::tier {

// Matches replies to calls by the call's number, `Reply::call`.
template <class Reply>
class PendingCalls {
 public:
  // If replies come from other nodes, `first_number` has to be random at each start of the process, so that a
  // reply to a call from before a restart is not mistaken for the reply to a new call.
  PendingCalls(boost::asio::io_context& io, std::uint64_t first_number)
      : io_(io), last_number_(first_number) {}

  // Returns a number for a new call. No number is used twice until the process ends.
  std::uint64_t next_number() { return ++last_number_; }

  // Waits for the reply to a call; nothing if none arrived in time.
  boost::asio::awaitable<std::optional<Reply>> wait(std::uint64_t call, Millis timeout) {
    auto pending = std::make_shared<PendingCall>(io_);
    pending_[call] = pending;
    boost::system::error_code ignored;
    pending->timer.expires_after(std::chrono::milliseconds(timeout));
    co_await pending->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    pending_.erase(call);
    co_return std::move(pending->reply);
  }

  // Passes a reply to the coroutine that waits for it; drops one that nobody waits for (any more).
  void deliver(Reply reply) {
    const auto found = pending_.find(reply.call);
    if (found == pending_.end()) return;
    found->second->reply = std::move(reply);
    found->second->timer.cancel();
  }

 private:
  struct PendingCall {
    explicit PendingCall(boost::asio::io_context& io) : timer(io) {}
    boost::asio::steady_timer timer;
    std::optional<Reply> reply;
  };
  boost::asio::io_context& io_;
  std::uint64_t last_number_;
  std::map<std::uint64_t, std::shared_ptr<PendingCall>> pending_;
};

// Suspends the calling coroutine.
inline boost::asio::awaitable<void> sleep_for(boost::asio::io_context& io, Millis time) {
  boost::asio::steady_timer timer(io, std::chrono::milliseconds(time));
  boost::system::error_code ignored;
  co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace nettlestand::tier
