// The HTTP/1.1 transport to servers: a keep-alive connection pool per server, and the outcome of each
// attempt.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/transport.h"
#include "http/upstream_payload.h"
#include "quinceusher/balancer.h"
#include "util/byte_budget.h"
#include "util/log.h"
#include "util/poller.h"
#include "util/socket.h"

namespace nettlestand {

// Settings of the transport.
struct UpstreamOptions {
  double connect_timeout = 0.25;   // s
  double server_idle_timeout = 5;  // s; after so long, servers close idle connections
  std::size_t max_sockets = 460;
};

// Sends UpstreamRequests to servers and returns UpstreamResponses. Runs on the thread of the one event loop.
class Upstream final : public Transport {
 public:
  class Connection;

  Upstream(boost::asio::io_context& io, Poller& poller, const UpstreamOptions& options, ByteBudget& budget,
           Log log);
  ~Upstream() override;

  void attach(Sink& sink) override { sink_ = &sink; }
  void start(const AttemptId& attempt, const std::string& server, std::shared_ptr<const Payload> request,
             double timeout, double within) override;
  void extend(const AttemptId& attempt, double timeout) override;
  void stop(const AttemptId& attempt, quinceusher::Outcome outcome) override;
  void withdraw(const AttemptId& attempt) override;
  std::vector<AttemptId> apply(const ServerList& list) override;
  std::size_t servers() const override { return servers_.size(); }
  void shut_down() override;

 private:
  struct Server {
    boost::asio::ip::tcp::endpoint endpoint;
    double started_at = 0;
    std::uint64_t generation = 0;                  // changes with each process or address
    std::deque<std::shared_ptr<Connection>> idle;  // the most recently used is at the back
    std::unordered_set<std::shared_ptr<Connection>> connecting;
  };

  Server* find(const std::string& name);
  // An idle connection to send on; null if a new one is needed.
  std::shared_ptr<Connection> take_idle(Server& server, bool retryable);
  std::deque<std::shared_ptr<Connection>>::iterator choose_idle(Server& server);
  // A server has sent bytes that answer no request.
  void on_surplus_bytes();
  Connection* connection_for(const AttemptId& attempt) const;
  void report_outcome(const AttemptId& attempt, quinceusher::Outcome outcome,
                      std::unique_ptr<Payload> answer);
  // Whether another socket may be opened; closes the longest idle connection if needed.
  bool free_socket_slot();
  void add_idle(const std::shared_ptr<Connection>& connection);
  void remove_idle(const std::shared_ptr<Connection>& connection);
  void close_idle(Server& server);
  void close_expired();
  static void collect_connecting(const Server& server, std::vector<AttemptId>& stopped);

  boost::asio::io_context& io_;
  Poller& poller_;
  ByteBudget& budget_;
  const Log log_;
  Sink* sink_ = nullptr;
  const double connect_timeout_, max_idle_seconds_;
  const std::size_t max_sockets_;
  std::size_t open_sockets_ = 0;
  double distrust_idle_until_ = 0;      // set after idle connections were reset on reuse
  double rest_before_reuse_until_ = 0;  // set after servers have sent surplus bytes
  bool inside_start_ = false;           // outcomes are reported after start() returns
  std::uint64_t generation_ = 0;
  struct AttemptIdHash {
    std::size_t operator()(const AttemptId& id) const {
      return std::hash<std::uint64_t>()(id.request * 1024 + static_cast<std::uint64_t>(id.attempt));
    }
  };
  std::unordered_map<AttemptId, std::shared_ptr<Connection>, AttemptIdHash> attempts_;  // in flight
  std::array<char, 16 * 1024> scratch_{};  // read buffer, shared because there is one thread
  std::unordered_map<std::string, Server> servers_;
  std::list<std::shared_ptr<Connection>> idle_;  // of all servers, the longest idle first
  boost::asio::steady_timer expiry_timer_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace nettlestand
