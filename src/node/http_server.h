// An HTTP/1.1 server on Boost.Beast: each listener has one handler for all its requests.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "util/byte_budget.h"

namespace nettlestand::tier {

// Names and values, in their order in the message.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

// A request that was received whole.
struct HttpRequest {
  std::string method, target;
  HeaderList headers;  // as received, without trailers
  std::string body;
  std::uint64_t body_digest = 0;  // of the body as received
  Millis received_at = 0;

  // The first value of a header, or empty. Names are compared case-insensitively.
  std::string_view header(std::string_view name) const;
  std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
  // The value of a query parameter, not decoded; empty if there is none.
  std::string query(std::string_view name) const;
  // The Host header without its port.
  std::string host() const;
};

// One request and the means to respond to it. Exactly one response is sent: whole by `respond`, or streamed
// by `start`, `write` and `finish`. The functions that return a bool return false once the connection is
// closed.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  HttpRequest request;

  virtual boost::asio::awaitable<void> respond(int status, HeaderList headers, std::string body) = 0;
  // Starts a streamed response. Without a length, the body is sent with chunked encoding.
  virtual boost::asio::awaitable<bool> start(int status, const HeaderList& headers, bool has_length,
                                             std::uint64_t length) = 0;
  virtual boost::asio::awaitable<bool> write(std::string_view bytes) = 0;
  virtual boost::asio::awaitable<void> finish() = 0;
  // Closes the connection, so that the client can tell that a response that was started is incomplete.
  virtual void abort() = 0;
  // Reserves memory for work on this request, until it has been answered. False if the process has none left:
  // the request has to be refused then.
  virtual bool reserve_memory(std::size_t /*bytes*/) { return true; }
  // Called once if the client closes its connection before it has its response.
  std::function<void()> on_disconnect;
};

// Limits on what clients may send, and on the time that they take for it.
struct HttpLimits {
  std::uint64_t max_header_bytes = 16384, max_body_bytes = 4194304;
  Millis header_timeout = 3000, idle_timeout = 15000;
};

// What all connections of a server may take of the process together. Without a budget, memory is not limited.
struct HttpResources {
  std::shared_ptr<ByteBudget> memory;  // shared between servers
  // With so many open, a further connection takes the place of one that is of less use; see
  // HttpServer::make_room.
  std::size_t max_connections = std::numeric_limits<std::size_t>::max();
};

// Listens at one address. `limits` is called for each request.
class HttpServer {
 public:
  using Handler = std::function<boost::asio::awaitable<void>(std::shared_ptr<HttpExchange>)>;
  HttpServer(boost::asio::io_context& io, std::string address, std::function<HttpLimits()> limits,
             Handler handler, HttpResources resources = {});
  ~HttpServer();
  // Throws boost::system::system_error if the address can't be bound.
  void listen();
  // From now on, the connection is closed after each response.
  void set_draining() { draining_ = true; }
  // Closes idle connections gracefully, and answers every further request at once with 503, so that the
  // client can retry it at another node.
  void reject_new_requests();
  // Number of requests that are being answered.
  std::size_t active_requests() const { return active_requests_; }

 private:
  class Session;
  boost::asio::awaitable<void> accept();
  // Closes a connection if no further one may be opened: one that is closing anyway, else the one that has
  // rested for the longest, else the one whose request has been arriving for the longest. False if each of
  // them has a request that is being answered.
  bool make_room();

  boost::asio::io_context& io_;
  std::string address_;
  std::function<HttpLimits()> limits_;
  Handler handler_;
  HttpResources resources_;
  boost::asio::ip::tcp::acceptor acceptor_;
  bool draining_ = false, rejecting_ = false;
  std::size_t active_requests_ = 0;
  // Shared with the sessions, since the event loop may destroy them after the server.
  std::shared_ptr<std::set<Session*>> sessions_ = std::make_shared<std::set<Session*>>();
};

}  // namespace nettlestand::tier
