// A node's duties on its loop: the client with its one connection to the voters. On the loop's thread. Off
// means not made: nothing of it then runs, connects or sends.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "duties/client.h"
#include "duties/link.h"
#include "util/log.h"

namespace nettlestand::duties {

struct VoterAddress {
  std::string name;
  boost::asio::ip::tcp::endpoint at;  // as this node reaches it
};

struct ServiceOptions {
  std::string cluster = "nettlestand";
  Keys keys;
  ClientSettings client;  // `voters` are the service's to fill in
  std::vector<VoterAddress> voters;
  std::vector<Duty> duties;  // that this node would hold
};

class Service {
 public:
  // Throws std::invalid_argument for options that can't be used.
  Service(boost::asio::io_context& io, ServiceOptions options, Log log);
  ~Service();
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  void start();
  // Called after whatever may have changed what is held, and until when: for guards on other threads.
  void on_turn(std::function<void()> turned) { turned_ = std::move(turned); }
  // Asks for a duty from now on; `changed` is told of each change, in order.
  using Changed = std::function<void(const Holding::Change&)>;
  // `slowly`: what carries it out takes time to stop; stopped() says that it has.
  void want(const Duty& duty, Changed changed, bool slowly = false);
  void stopped(const std::string& duty);
  void unwant(const std::string& duty);
  // It could not be done here: somebody else is to try.
  void failed(const std::string& duty);
  // The node is about to go: all is given back at once, and nothing more is asked for. What can be asked
  // still is.
  void leave();
  bool idle() const { return client_.idle(); }  // nothing is held, or still being given back
  // Nothing is said or heard after it; what waits is still written.
  void close();
  void ask(Request request, Client::Done done);

  // The guard: to be asked at the last moment before each effect of a duty. The token goes with the effect to
  // where it takes place, which turns away lower ones than it has seen.
  std::optional<Token> holds(const std::string& duty) const;
  // s on now()'s clock, until which a duty is held, or was.
  double until(const std::string& duty) const { return client_.until(duty); }
  const Node& self() const { return options_.client.holding.self; }
  // All that an operator wants to see of this node's side, as a JSON object.
  std::string report() const;

 private:
  void act(Client::Actions& out);
  void connect();
  void disconnect();
  void arm();
  void tell(const Holding::Change& change);

  boost::asio::io_context& io_;
  ServiceOptions options_;
  const Log log_;
  Client client_;
  std::shared_ptr<Link> link_;
  boost::asio::steady_timer timer_;
  std::map<std::string, Changed> listeners_;
  std::function<void()> turned_;
  std::uint64_t bytes_sent_ = 0, bytes_received_ = 0;
  bool running_ = false, connecting_ = false, told_away_ = false;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace nettlestand::duties
