// Calls to other nodes that wait for their replies.
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

template <class Reply>
class PendingCalls {
 public:
  // `first_number` has to be drawn by chance at each start of the process: a reply to a call of its earlier
  // life must not be taken for the reply to one of this life.
  PendingCalls(boost::asio::io_context& io, std::uint64_t first_number)
      : io_(io), last_number_(first_number) {}

  // A number for a call; numbers are never used twice in a process's life.
  std::uint64_t next_number() { return ++last_number_; }

  // The reply to a call, or nothing where none came in time.
  boost::asio::awaitable<std::optional<Reply>> wait(std::uint64_t call, Millis timeout) {
    auto pending = std::make_shared<PendingCall>(io_);
    pending_[call] = pending;
    boost::system::error_code ignored;
    pending->timer.expires_after(std::chrono::milliseconds(timeout));
    co_await pending->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    pending_.erase(call);
    co_return std::move(pending->reply);
  }

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

inline boost::asio::awaitable<void> sleep_for(boost::asio::io_context& io, Millis time) {
  boost::asio::steady_timer timer(io, std::chrono::milliseconds(time));
  boost::system::error_code ignored;
  co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace nettlestand::tier
