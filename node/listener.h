// Callers' connections: reads requests, answers what needs no server, and passes /api on to the engine.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "node/config.h"
#include "node/engine.h"

namespace nettlestand {

class Listener {
 public:
  class Connection;

  // Throws boost::system::system_error when the address can't be listened on.
  Listener(boost::asio::io_context& io, const Config& config, Engine& engine, std::size_t most_connections);

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // Says that the node leaves: /healthz answers 503 from now on. Clients may go on using what they have.
  void drain() { draining_ = true; }
  // Answers from now on end their connections, and what is idle is closed. New ones are still accepted.
  void finish();
  // Accepts what has been connected by now, and nothing after that.
  void stop_accepting();
  std::size_t connections() const { return count_; }

 private:
  using Order = std::list<std::shared_ptr<Connection>>;

  void accept();
  void accept_later();
  bool adopt(boost::asio::ip::tcp::socket socket);
  void sweep();
  bool crowded() const { return count_ - idle_.size() > most_ - most_ / 8; }

  boost::asio::io_context& io_;
  Engine& engine_;
  std::unordered_map<std::string, std::size_t> classes_, tenants_;
  std::vector<quinceusher::RequestClass> class_facts_;
  const std::size_t most_;
  std::size_t count_ = 0;
  bool draining_ = false, finishing_ = false, accepting_ = false, full_ = false;
  Order idle_, reading_, writing_;  // each in the order in which they became so
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_, sweep_;
};

}  // namespace nettlestand
