// Sends and receives messages between nodes over TCP, framed as ZMTP 3.1.
//
// Delivery is best effort, and in order within a lane while a connection lasts. A message may be lost when a
// connection breaks. It is dropped while the peer is unreachable, and while the queue to the peer, or those
// to all peers together, are full. The sender retries messages that must arrive.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "messaging/messenger.h"
#include "util/byte_budget.h"

namespace nettlestand::tier {

// What connections from other machines may take of the process. Without a budget, memory is not limited.
struct IncomingLimits {
  std::shared_ptr<ByteBudget> memory;  // for messages that have not been received whole
  // Connections that have not said who opened them, and those that have. With so many open, a further one
  // takes the place of the one that has been silent for the longest.
  std::size_t max_unidentified = std::numeric_limits<std::size_t>::max();
  std::size_t max_identified = std::numeric_limits<std::size_t>::max();
};

// Keeps one outgoing connection to each peer, opened by the first message, and accepts connections from
// peers.
class TcpMessenger : public Messenger {
 public:
  // Receives each message. `from` is the address "ip:port" at which the sender itself listens.
  using Handler = std::function<void(const std::string& from, std::string_view message)>;

  TcpMessenger(boost::asio::io_context& io, const std::string& own_address, Handler handler,
               IncomingLimits incoming_limits = {});
  // Closes the outgoing connections and drops what is queued for them.
  ~TcpMessenger() override;  // NOLINT(bugprone-exception-escape): as at its definition
  // Starts accepting connections at the own address. Throws boost::system::system_error if it can't be bound
  // and std::invalid_argument if it is malformed.
  void listen();
  using Messenger::send;
  void send(const std::string& address, std::string_view message, Lane lane) override;
  // Bytes in the queues to all peers.
  std::size_t queued_bytes() const { return *queued_bytes_; }
  const std::string& own_address() const override { return own_address_; }

 private:
  class OutgoingConnection;
  class IncomingConnection;
  void accept();
  void open_incoming(boost::asio::ip::tcp::socket socket);
  // Closes connections of other machines that have been silent the longest, until the limits are kept.
  void close_surplus(bool identified, std::size_t limit);

  boost::asio::io_context& io_;
  std::string own_address_;
  Handler handler_;
  IncomingLimits incoming_limits_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  // Shared with the connections, since the event loop may destroy them after the messenger.
  std::shared_ptr<std::set<IncomingConnection*>> incoming_connections_ =
      std::make_shared<std::set<IncomingConnection*>>();
  std::unordered_map<std::string, std::shared_ptr<OutgoingConnection>> outgoing_connections_;
  std::shared_ptr<std::size_t> queued_bytes_ =
      std::make_shared<std::size_t>(0);  // shared: connections may outlive this
};

// Parses an address such as "10.1.0.7:7660". Throws std::invalid_argument if it is malformed.
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

}  // namespace nettlestand::tier
