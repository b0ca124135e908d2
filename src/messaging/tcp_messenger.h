// Messages between nodes over TCP, framed as ZMTP 3.1.
//
// Delivery is best effort and in order for each lane while a connection lasts. Whoever sends repeats what
// matters: a message may be lost when a connection breaks, and is dropped while a peer can't be reached, or
// while its queue or that of all peers together is full.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "messaging/messenger.h"

namespace nettlestand::tier {

class TcpMessenger : public Messenger {
 public:
  // `from` is the address "ip:port" at which the sender itself listens.
  using Handler = std::function<void(const std::string& from, std::string_view message)>;

  TcpMessenger(boost::asio::io_context& io, const std::string& own_address, Handler handler);
  ~TcpMessenger() override;  // NOLINT(bugprone-exception-escape): as at its definition
  // Throws boost::system::system_error where the address can't be bound.
  void listen();
  using Messenger::send;
  void send(const std::string& address, std::string_view message, Lane lane) override;
  // Bytes that wait in the queues to all peers.
  std::size_t queued_bytes() const { return *queued_bytes_; }
  const std::string& own_address() const override { return own_address_; }

 private:
  class OutgoingConnection;
  class IncomingConnection;
  void accept();

  boost::asio::io_context& io_;
  std::string own_address_;
  Handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::unordered_map<std::string, std::shared_ptr<OutgoingConnection>> outgoing_connections_;
  std::shared_ptr<std::size_t> queued_bytes_ = std::make_shared<std::size_t>(0);  // outlived by connections
};

// "10.1.0.7:7660" as an endpoint; throws std::invalid_argument where it isn't one.
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

}  // namespace nettlestand::tier
