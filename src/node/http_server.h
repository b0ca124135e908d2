// HTTP/1.1 towards callers, on Boost.Beast: one handler for all requests of a listener.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"

namespace nettlestand::tier {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  std::string method, target;
  HeaderList headers;  // as they came, without trailers
  std::string body;
  std::uint64_t body_digest = 0;  // of the body as it came
  Millis received_at = 0;

  // The first value, or empty; names are compared without regard to case.
  std::string_view header(std::string_view name) const;
  std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
  // Of the query; empty where it is absent.
  std::string query(std::string_view name) const;
  // The Host header without its port.
  std::string host() const;
};

// One request and the way back to its caller. Exactly one answer is given, whole or in pieces.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  HttpRequest request;

  virtual boost::asio::awaitable<void> respond(int status, HeaderList headers, std::string body) = 0;
  // Starts an answer whose body follows; without a length it is sent in chunks.
  virtual boost::asio::awaitable<bool> start(int status, const HeaderList& headers, bool has_length,
                                             std::uint64_t length) = 0;
  virtual boost::asio::awaitable<bool> write(std::string_view bytes) = 0;
  virtual boost::asio::awaitable<void> finish() = 0;
  // Ends the connection, so that an answer that was begun is seen not to be whole.
  virtual void abort() = 0;
  // Called once if the caller closes its connection before it is answered.
  std::function<void()> on_disconnect;
};

struct HttpLimits {
  std::uint64_t max_header_bytes = 16384, max_body_bytes = 4194304;
  Millis header_timeout = 3000, idle_timeout = 15000;
};

class HttpServer {
 public:
  using Handler = std::function<boost::asio::awaitable<void>(std::shared_ptr<HttpExchange>)>;
  HttpServer(boost::asio::io_context& io, std::string address, std::function<HttpLimits()> limits,
             Handler handler);
  ~HttpServer();
  // Throws boost::system::system_error where the address can't be bound.
  void listen();
  // Every further answer ends its connection.
  void set_draining() { draining_ = true; }
  // Closes the connections on which no request is under way, in order; what else comes is refused at once
  // with 503, so that it can be sent elsewhere.
  void reject_new_requests();
  // Requests that are being read or answered.
  std::size_t active_requests() const { return active_requests_; }

 private:
  class Session;
  boost::asio::awaitable<void> accept();

  boost::asio::io_context& io_;
  std::string address_;
  std::function<HttpLimits()> limits_;
  Handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  bool draining_ = false, rejecting_ = false;
  std::size_t active_requests_ = 0;
  // Shared with the sessions, which may be destroyed with the event loop, after the server.
  std::shared_ptr<std::set<Session*>> sessions_ = std::make_shared<std::set<Session*>>();
};

}  // namespace nettlestand::tier
