// Callers' connections: reads requests, answers what needs no server, and passes /api on to the engine.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>

#include "core/engine.h"
#include "http/request_validator.h"
#include "util/budget.h"
#include "util/log.h"
#include "util/poller.h"
#include "util/socket.h"

namespace nettlestand {

// How long a listener waits for its clients.
struct ListenerLimits {
  double idle = 20;   // s without a request
  double read = 2.2;  // s for a request, from the connection's start if it is its first
  double write = 5;   // s for a client to take its answer
};

class Listener {
 public:
  class Connection;

  // Throws boost::system::system_error when the address can't be listened on.
  Listener(boost::asio::io_context& io, Poller& poller, const boost::asio::ip::tcp::endpoint& address,
           RequestValidator request_validator, Engine& engine, ByteBudget& budget,
           std::size_t max_connections, const ListenerLimits& limits, Log log);

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // Says that the node leaves: /healthz answers 503 from now on. Clients may go on using what they have.
  void drain() { draining_ = true; }
  // Answers from now on end their connections, and what is idle is ended; to be called again and again, for
  // what becomes idle later. New ones are still accepted.
  void close_idle_connections();
  // No request is sent on from here on: those that have come are refused, half of one gets its error, and
  // every connection on which nothing waits for its answer is ended. After stop_accepting().
  void stop_reading();
  // Accepts what has been connected by now, and nothing after that.
  void stop_accepting();
  std::size_t connections() const { return connection_count_; }

 private:
  using ConnectionList = std::list<std::shared_ptr<Connection>>;

  void accept();
  void retry_accept_later();
  bool accept_one();
  bool has_pending_client();
  void evict_one();
  bool reclaim_ended();
  void on_connection_closed();
  void close_expired();
  // Of the connections, so many are for those that have been ended and whose clients have not closed yet.
  std::size_t ending_reserve() const { return max_connections_ / 8; }
  bool is_saturated() const { return busy_count_ > max_connections_ - max_connections_ / 8; }

  Poller& poller_;
  Engine& engine_;
  ByteBudget& budget_;
  const Log log_;
  const RequestValidator request_validator_;
  const std::size_t max_connections_;
  const ListenerLimits limits_;
  std::size_t connection_count_ = 0,
              busy_count_ = 0;  // busy: with a request that waits for its answer or gets it
  bool draining_ = false, closing_idle_ = false, reading_stopped_ = false, accept_pending_ = false,
       is_full_ = false;
  // Each in the order in which they became so. fresh: has sent nothing yet; ending: has its last answer.
  ConnectionList unused_, idle_, reading_, writing_, ending_;
  std::array<char, 16 * 1024> scratch_{};  // what is read goes through here: one thread, one buffer
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_, sweep_timer_;
};

}  // namespace nettlestand
