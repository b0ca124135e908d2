// The HTTP/1.1 listener for callers: reads requests, responds to those that need no server, and submits
// requests for /api to the engine.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>

#include "core/engine.h"
#include "http/request_validator.h"
#include "util/byte_budget.h"
#include "util/log.h"
#include "util/poller.h"
#include "util/socket.h"

namespace nettlestand {

// Timeouts of a listener's connections.
struct ListenerLimits {
  double idle = 20;   // s; without a request
  double read = 2.2;  // s; for receiving a request, from the connection's start for the first one
  double write = 5;   // s; for writing a response
};

// Accepts connections and limits their number by evicting inactive ones.
class Listener {
 public:
  class Connection;

  // Throws boost::system::system_error if it can't listen on the address.
  Listener(boost::asio::io_context& io, Poller& poller, const boost::asio::ip::tcp::endpoint& address,
           RequestValidator request_validator, Engine& engine, ByteBudget& budget,
           std::size_t max_connections, const ListenerLimits& limits, Log log);

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // Starts draining: /healthz responds with 503 from now on. Clients may keep using their connections.
  void drain() { draining_ = true; }
  // From now on each response ends its connection, and idle connections are ended. Must be called repeatedly,
  // for connections that become idle later. New connections are still accepted.
  void close_idle_connections();
  // Stops forwarding requests: those received from now on are refused, an incomplete one gets an error, and
  // every connection without a pending response is ended. Call it after stop_accepting().
  void stop_reading();
  // Accepts the connections that are already queued, and none after that.
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
  // The part of the connections reserved for ended ones whose clients have not closed yet.
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
              busy_count_ = 0;  // busy: a response is pending or being written
  bool draining_ = false, closing_idle_ = false, reading_stopped_ = false, accept_pending_ = false,
       is_full_ = false;
  // Connections by state, each list ordered by the time of entry. unused_: no bytes received yet; ending_:
  // the last response is written.
  ConnectionList unused_, idle_, reading_, writing_, ending_;
  std::array<char, 16 * 1024> scratch_{};  // read buffer, shared because there is one thread
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_, sweep_timer_;
};

}  // namespace nettlestand
