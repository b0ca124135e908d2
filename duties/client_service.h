// A node's Client on its event loop, with its connection to the voters. Used on the loop's thread only. A
// node without duties does not create it, so nothing of it runs, connects or sends.
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
  boost::asio::ip::tcp::endpoint endpoint;  // as reached from this node
};

struct ClientServiceOptions {
  std::string cluster = "nettlestand";
  Keys keys;
  ClientSettings client;  // `voters` is filled in by the service
  std::vector<VoterAddress> voters;
  std::vector<Duty> duties;  // that this node may hold
};

class ClientService {
 public:
  // Throws std::invalid_argument for invalid options.
  ClientService(boost::asio::io_context& io, ClientServiceOptions options, Log log);
  ~ClientService();
  ClientService(const ClientService&) = delete;
  ClientService& operator=(const ClientService&) = delete;

  void start();
  // Sets a function that is called after each event that may have changed which leases are held, and until
  // when. For code on other threads that keeps a copy of them.
  void set_state_listener(std::function<void()> turned) { state_listener_ = std::move(turned); }
  // Starts to acquire a duty; `changed` is called for each change, in order.
  using ChangeListener = std::function<void(const LeaseHolder::Change&)>;
  // `stops_slowly`: carrying out the duty takes time to stop, and confirm_stopped() reports that it has.
  void acquire(const Duty& duty, ChangeListener changed, bool stops_slowly = false);
  void confirm_stopped(const std::string& duty);
  void release(const std::string& duty);
  // The duty could not be carried out here: another node should try.
  void report_failure(const std::string& duty);
  // The node is about to exit: releases all leases and acquires no more. Requests of operators still work.
  void release_all();
  bool idle() const { return client_.idle(); }  // no lease is held or being released
  // Closes the connection after writing what is queued.
  void close();
  void send_operator_request(Request request, Client::RequestCallback done);

  // The fencing token while this node holds the duty. To be checked immediately before each effect of a duty.
  // The token goes with the effect to the resource, which rejects tokens lower than the highest it has seen.
  std::optional<Token> held_token(const std::string& duty) const;
  // Time on now()'s clock, in s, until which a duty is held, or was.
  double held_until(const std::string& duty) const { return client_.held_until(duty); }
  const Node& self() const { return options_.client.lease_holder.self; }
  // This node's state for operators, as a JSON object.
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
