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
#include "duties/frame_connection.h"
#include "util/log.h"

namespace nettlestand::duties {

struct VoterAddress {
  std::string name;
  boost::asio::ip::tcp::endpoint endpoint;  // as this node reaches it
};

struct ClientServiceOptions {
  std::string cluster = "nettlestand";
  Keys keys;
  ClientSettings client;  // `voters` are the service's to fill in
  std::vector<VoterAddress> voters;
  std::vector<Duty> duties;  // that this node would hold
};

class ClientService {
 public:
  // Throws std::invalid_argument for options that can't be used.
  ClientService(boost::asio::io_context& io, ClientServiceOptions options, Log log);
  ~ClientService();
  ClientService(const ClientService&) = delete;
  ClientService& operator=(const ClientService&) = delete;

  void start();
  // Called after whatever may have changed what is held, and until when: for guards on other threads.
  void set_state_listener(std::function<void()> turned) { state_listener_ = std::move(turned); }
  // Asks for a duty from now on; `changed` is told of each change, in order.
  using ChangeListener = std::function<void(const LeaseHolder::Change&)>;
  // `slowly`: what carries it out takes time to stop; stopped() says that it has.
  void acquire(const Duty& duty, ChangeListener changed, bool stops_slowly = false);
  void confirm_stopped(const std::string& duty);
  void release(const std::string& duty);
  // It could not be done here: somebody else is to try.
  void report_failure(const std::string& duty);
  // The node is about to go: all is given back at once, and nothing more is asked for. What can be asked
  // still is.
  void release_all();
  bool idle() const { return client_.idle(); }  // nothing is held, or still being given back
  // Nothing is said or heard after it; what waits is still written.
  void close();
  void send_operator_request(Request request, Client::RequestCallback done);

  // The guard: to be asked at the last moment before each effect of a duty. The token goes with the effect to
  // where it takes place, which turns away lower ones than it has seen.
  std::optional<Token> held_token(const std::string& duty) const;
  // s on now()'s clock, until which a duty is held, or was.
  double held_until(const std::string& duty) const { return client_.held_until(duty); }
  const Node& self() const { return options_.client.lease_holder.self; }
  // All that an operator wants to see of this node's side, as a JSON object.
  std::string report() const;

 private:
  void apply_actions(Client::Actions& out);
  void connect();
  void disconnect();
  void schedule_timer();
  void report_change(const LeaseHolder::Change& change);

  boost::asio::io_context& io_;
  ClientServiceOptions options_;
  const Log log_;
  Client client_;
  std::shared_ptr<FrameConnection> link_;
  boost::asio::steady_timer timer_;
  std::map<std::string, ChangeListener> listeners_;
  std::function<void()> state_listener_;
  std::uint64_t bytes_sent_ = 0, bytes_received_ = 0;
  bool running_ = false, connecting_ = false, unreachable_logged_ = false;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace nettlestand::duties
