// Serves /api of an application's own RESTinio server through a gateway, with exactly the validation,
// statuses, headers and rules of the daemon. Other routes go to the application's handlers.
//
//     using traits_t = ...single thread traits with
//         using stream_socket_t = nettlestand::restinio::Socket;
//         using request_handler_t = restinio::sync_chain::fixed_size_chain_t<2>;
//     auto binding = std::make_shared<nettlestand::restinio::GatewayBinding>(gateway);
//     restinio::server_settings_t<traits_t>{}.gateway_binding(binding)
//         .request_handler(nettlestand::restinio::handler(binding), own)
//
// RESTinio's parser is more lenient than the daemon's, closes the connection without a response on input that
// it can't parse, and does not watch the connection while a request is pending. So the socket type below it
// parses the input through HttpReader, passes complete and valid requests to RESTinio one at a time, and
// detects disconnects. A rejected request also reaches the handler chain as a request, so that its response
// is sent in order; so put the handler first in the chain.
//
// One thread must run the server's io_context; the gateway may use that loop or a thread of its own. Requests
// to other routes are read completely, with heads of up to 8 KiB and bodies of up to the limit of
// GatewayBinding. After an upgrade request to another route, the connection's bytes are passed through
// unchanged.
#pragma once

#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <cstring>
#include <memory>
#include <restinio/all.hpp>
#include <restinio/sync_chain/fixed_size.hpp>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "nettlestand/asio.h"
#include "nettlestand/gateway.h"
#include "nettlestand/http.h"

namespace nettlestand::restinio {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

// The header that links a request parsed by RESTinio to the connection that holds its body. It is dropped
// from clients' requests.
inline constexpr const char* kRequestTokenHeader = "Nettlestand-Token";
[[deprecated("use kRequestTokenHeader")]] inline constexpr const char* kToken = kRequestTokenHeader;

class ClientConnection;

// Connects a RESTinio server to a gateway; all connections of the server share it. Use it only on the thread
// of the server's io_context. The gateway must outlive the server.
class GatewayBinding {
 public:
  // `other_body_limit`: maximum body size in bytes of requests for other routes.
  explicit GatewayBinding(Gateway& gateway, std::size_t other_body_limit = 64 * 1024)
      : gateway_(gateway), other_body_limit_(other_body_limit) {}

  // Closes idle connections, and each other connection after its next response, as the daemon does when it
  // drains.
  inline void drain();
  [[deprecated("use drain()")]] void finish() { drain(); }
  std::size_t connections() const { return connections_.size(); }

 private:
  friend class ClientConnection;
  template <class Request>
  friend ::restinio::request_handling_status_t serve(const std::shared_ptr<GatewayBinding>& binding,
                                                     const Request& request);

  Gateway& gateway_;
  const std::size_t other_body_limit_;
  bool draining_ = false;
  std::uint64_t last_token_ = 0;
  std::unordered_map<std::uint64_t, std::weak_ptr<ClientConnection>> pending_;  // by token
  std::unordered_set<ClientConnection*> connections_;                           // open ones
  std::array<char, 16 * 1024> read_buffer_{};
};

// A client's connection: parses its input and supplies RESTinio with the requests.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using ReadHandler = UniqueFunction<void(error_code, std::size_t)>;
  using Read [[deprecated("use ReadHandler")]] = ReadHandler;

  ClientConnection(asio::io_context& loop, std::shared_ptr<GatewayBinding> binding)
      : binding_(std::move(binding)),
        socket_(loop),
        linger_(loop),
        reader_(binding_->gateway_, binding_->other_body_limit_) {}
  ~ClientConnection() { binding_->connections_.erase(this); }
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  tcp::socket& socket() { return socket_; }
  const tcp::socket& socket() const { return socket_; }
  bool is_open() const { return open_ && socket_.is_open(); }

  // Called when RESTinio starts to read from the accepted connection.
  void start() {
    open_ = true;
    binding_->connections_.insert(this);
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    wait_readable();
  }

  [[deprecated("use start()")]] void begin() { start(); }

  void read(asio::mutable_buffer target, ReadHandler done) {
    read_target_ = target;
    read_handler_ = std::move(done);
    to_restinio_.empty() && !client_gone_ ? parse()
                                          : deliver();  // parses input that arrived after the last request
  }

  // Cancels RESTinio's pending read.
  void cancel() {
    if (read_handler_) post_read(asio::error::operation_aborted, 0);
  }

  // Discards incoming bytes for a while before the socket is closed: closing a socket with unread bytes
  // resets the connection, and the client may then lose the response.
  void close() {
    if (!std::exchange(open_, false)) return;
    cancel_request();
    cancel();
    binding_->connections_.erase(this);
    error_code failed;
    if (!client_gone_) socket_.shutdown(tcp::socket::shutdown_send, failed);
    if (client_gone_ || failed) {
      socket_.close(failed);
      return;
    }
    linger_.expires_after(std::chrono::seconds(1));
    linger_.async_wait([self = shared_from_this()](const error_code& error) {
      error_code closing;
      if (!error) self->socket_.close(closing);
    });
    wait_readable();
  }

  // Closes the connection unless a request is being read, is pending or is being answered.
  void close_if_idle() {
    if (awaiting_response_ || other_route_pending_ || request_begun_ || discarding_ || passthrough_ ||
        !received_.empty() || !to_restinio_.empty())
      return;
    char byte = 0;
    // Bytes in the socket's buffer belong to a request that was already accepted.
    if (::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) return;
    client_gone_ = true;
    deliver();
  }

  // Sends what RESTinio writes unchanged.
  template <class Buffers, class Handler>
  void write(const Buffers& buffers, Handler&& handler) {
    other_route_pending_ = false;
    socket_.async_write_some(buffers, std::forward<Handler>(handler));
  }

 private:
  template <class Request>
  friend ::restinio::request_handling_status_t serve(const std::shared_ptr<GatewayBinding>& binding,
                                                     const Request& request);

  static constexpr std::size_t kMaxPipelinedBytes = 8 * 1024;  // bytes of further requests that are buffered
  static constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;  // bytes discarded after the last response

  // Waits for input. A wait is active at all times, also while a request is pending, as disconnects are
  // detected only that way.
  void wait_readable() {
    if (wait_active_ || client_gone_ || !socket_.is_open()) return;
    wait_active_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
      self->wait_active_ = false;
      if (!self->socket_.is_open()) return;
      self->on_readable(error);
    });
  }

  void on_readable(const error_code& failed) {
    const bool busy = awaiting_response_ || !to_restinio_.empty();
    if (open_ && busy && received_.size() >= kMaxPipelinedBytes) return;
    error_code error = failed;
    const std::size_t received = failed ? 0 : socket_.read_some(asio::buffer(binding_->read_buffer_), error);
    if (error == asio::error::would_block) return wait_readable();
    if (error) return on_client_gone();
    if (!open_ || discarding_) {
      if ((discarded_ += received) > kMaxDiscardedBytes) {
        error_code ignored;
        socket_.close(ignored);
        return;
      }
      return wait_readable();
    }
    received_.append(binding_->read_buffer_.data(), received);
    wait_readable();
    parse();
  }

  void on_client_gone() {
    client_gone_ = true;
    linger_.cancel();
    if (!open_) {
      error_code ignored;
      socket_.close(ignored);
      return;
    }
    cancel_request();
    to_restinio_.clear();
    deliver();
  }

  // Cancels the pending request at the gateway, as its client is gone.
  void cancel_request() {
    if (ticket_ != 0) binding_->gateway_.cancel(std::exchange(ticket_, 0));
  }

  void parse() {
    if (passthrough_) {
      to_restinio_.append(received_);
      received_.clear();
      return deliver();
    }
    while (open_ && !client_gone_ && !awaiting_response_ && !discarding_ && to_restinio_.empty() &&
           !received_.empty()) {
      request_begun_ = true;
      switch (reader_.read(received_)) {
        case HttpReader::Step::kNeedMore:
          return;
        case HttpReader::Step::kHead:
          if (reader_.expects_continue() && !other_route_pending_) {
            static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
            error_code ignored;
            socket_.write_some(asio::buffer(kContinue.data(), kContinue.size()), ignored);
          }
          if (received_.empty()) received_.shrink_to_fit();
          if (!is_complete_without_body()) continue;
          [[fallthrough]];
        case HttpReader::Step::kRequest:
          on_request();
          break;
        case HttpReader::Step::kRejected:
          reject(reader_.rejection_response());
          break;
      }
    }
    deliver();
  }

  // Whether a request is complete with its head, as it has no body.
  bool is_complete_without_body() {
    std::string empty_input;
    if (!received_.empty()) return false;
    switch (reader_.read(empty_input)) {
      case HttpReader::Step::kRequest:
        return true;
      default:
        return false;
    }
  }

  void on_request() {
    request_begun_ = false;
    if (reader_.for_gateway()) {
      HttpCall call;
      if (!reader_.take_call(call)) return reject(reader_.rejection_response());
      call_ = std::move(call);
      rejection_ = {};
      pass_to_restinio(true);
    } else {
      if (!known_method()) return reject({501, "", "text/plain", "unknown method\n", true});
      other_route_pending_ = true;
      pass_to_restinio(false);
    }
    reader_.reset();
  }

  // RESTinio's parser closes the connection without a response on methods that it does not know.
  bool known_method() const {
    const std::string_view method = reader_.method();
    if (method == "CONNECT") return false;
    for (int m = 0; m <= static_cast<int>(HTTP_SOURCE); ++m) {
      if (method == http_method_str(static_cast<http_method>(m))) return true;
    }
    return false;
  }

  void reject(HttpResponse response) {
    rejection_ = std::move(response);
    discarding_ = true;
    awaiting_response_ = true;
    request_begun_ = false;
    received_.clear();
    received_.shrink_to_fit();
    to_restinio_ =
        "POST /api HTTP/1.1\r\n" + make_token_header() + "Connection: close\r\nContent-Length: 0\r\n\r\n";
  }

  std::string make_token_header() {
    token_ = ++binding_->last_token_;
    binding_->pending_[token_] = weak_from_this();
    return std::string(kRequestTokenHeader) + ": " + std::to_string(token_) + "\r\n";
  }

  // Serializes the request for RESTinio. The body of a request for the gateway is kept in this object.
  void pass_to_restinio(bool for_gateway) {
    awaiting_response_ = for_gateway;
    passthrough_ = !for_gateway && reader_.is_upgrade();  // the input after it may be of another protocol
    to_restinio_ =
        reader_.normalized_request(for_gateway ? make_token_header() : std::string(), kRequestTokenHeader);
    if (passthrough_) to_restinio_.append(std::exchange(received_, {}));
  }

  // Completes RESTinio's pending read if there is data for it or the client is gone.
  void deliver() {
    if (!read_handler_ || !open_) return;
    if (!to_restinio_.empty()) {
      const std::size_t size = std::min(to_restinio_.size(), read_target_.size());
      std::memcpy(read_target_.data(), to_restinio_.data(), size);
      to_restinio_.erase(0, size);
      return post_read({}, size);
    }
    if (client_gone_) post_read(asio::error::eof, 0);
  }

  void post_read(const error_code& error, std::size_t size) {
    asio::post(socket_.get_executor(),
               [self = shared_from_this(),
                done = std::make_shared<ReadHandler>(std::exchange(read_handler_, nullptr)), error,
                size] { (*done)(error, size); });
  }

  // Called when the response to a request for the gateway has been written.
  void on_response_written() {
    awaiting_response_ = false;
    ticket_ = 0;
    if (!open_) return;
    wait_readable();
    parse();
  }

  const std::shared_ptr<GatewayBinding> binding_;
  tcp::socket socket_;
  asio::steady_timer linger_;
  HttpReader reader_;
  std::string received_, to_restinio_;  // input not yet parsed; data not yet delivered to RESTinio
  asio::mutable_buffer read_target_;
  ReadHandler read_handler_;
  HttpCall call_;
  HttpResponse rejection_;
  std::uint64_t token_ = 0;
  Ticket ticket_ = 0;
  std::size_t discarded_ = 0;
  // awaiting_response_: the response to a request for the gateway is not written yet; other_route_pending_: a
  // request for another route may be pending; request_begun_: part of a request has arrived; discarding_:
  // input is discarded; passthrough_: input goes to RESTinio unchanged
  bool open_ = false, wait_active_ = false, client_gone_ = false, awaiting_response_ = false,
       other_route_pending_ = false, request_begun_ = false, discarding_ = false, passthrough_ = false;
};

using Door [[deprecated("use GatewayBinding")]] = GatewayBinding;
using Guard [[deprecated("use ClientConnection")]] = ClientConnection;

inline void GatewayBinding::drain() {
  draining_ = true;
  const auto open_connections = connections_;
  for (ClientConnection* connection : open_connections) connection->close_if_idle();
}

// The socket type for traits_t::stream_socket_t.
class Socket {
 public:
  using executor_type = tcp::socket::executor_type;

  Socket(asio::io_context& loop, const std::shared_ptr<GatewayBinding>& binding)
      : connection_(std::make_shared<ClientConnection>(loop, binding)) {}
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  Socket(Socket&&) = default;
  Socket& operator=(Socket&& other) noexcept {
    if (connection_) connection_->close();
    connection_ = std::move(other.connection_);
    return *this;
  }
  ~Socket() {
    if (connection_) connection_->close();
  }

  ClientConnection& connection() const { return *connection_; }
  [[deprecated("use connection()")]] ClientConnection& guard() const { return connection(); }
  tcp::socket& lowest_layer() { return connection_->socket(); }
  const tcp::socket& lowest_layer() const { return connection_->socket(); }
  executor_type get_executor() { return connection_->socket().get_executor(); }
  tcp::endpoint remote_endpoint() const { return connection_->socket().remote_endpoint(); }
  bool is_open() const { return connection_ && connection_->is_open(); }
  void cancel(error_code& error) {
    error = {};
    connection_->cancel();
  }
  // Does nothing: close() shuts down the sending side.
  void shutdown(tcp::socket::shutdown_type, error_code& error) { error = {}; }
  void close() { connection_->close(); }

  template <class Buffers, class Handler>
  void async_read_some(const Buffers& buffers, Handler&& handler) {
    auto executor = asio::get_associated_executor(handler, get_executor());
    connection_->read(
        *asio::buffer_sequence_begin(buffers),
        [executor, handler = std::forward<Handler>(handler)](error_code error, std::size_t size) mutable {
          asio::dispatch(executor,
                         [handler = std::move(handler), error, size]() mutable { handler(error, size); });
        });
  }
  template <class Buffers, class Handler>
  void async_write_some(const Buffers& buffers, Handler&& handler) {
    connection_->write(buffers, std::forward<Handler>(handler));
  }

 private:
  std::shared_ptr<ClientConnection> connection_;
};

template <class Connection, class Start, class Failed>
void prepare_connection_and_start_read(Socket& socket, Connection&, Start start, Failed) {
  socket.connection().start();
  start();
}

inline ::restinio::impl::tls_socket_t* make_tls_socket_pointer_for_state_listener(Socket&) noexcept {
  return nullptr;
}

template <class Request>
::restinio::request_handling_status_t serve(const std::shared_ptr<GatewayBinding>& binding,
                                            const Request& request) {
  const auto token_header = request->header().opt_value_of(kRequestTokenHeader);
  if (!token_header) return ::restinio::request_not_handled();
  const auto it = binding->pending_.find(
      std::strtoull(std::string(token_header->data(), token_header->size()).c_str(), nullptr, 10));
  if (it == binding->pending_.end()) return ::restinio::request_not_handled();
  const std::shared_ptr<ClientConnection> connection = it->second.lock();
  binding->pending_.erase(it);
  if (!connection) return ::restinio::request_not_handled();
  const auto respond = [binding, connection, request](HttpResponse client_response) {
    auto response = request->create_response(::restinio::http_status_line_t{
        ::restinio::http_status_code_t{static_cast<std::uint16_t>(client_response.status)},
        ::http_status_str(static_cast<http_status>(client_response.status))});
    if (!client_response.content_type.empty())
      response.append_header("Content-Type", client_response.content_type);
    if (!client_response.retry_after.empty())
      response.append_header("Retry-After", client_response.retry_after);
    if (client_response.close || binding->draining_) response.connection_close();
    response.set_body(std::move(client_response.body));
    response.done([connection](const auto&) { connection->on_response_written(); });
  };
  if (connection->discarding_) {
    respond(std::move(connection->rejection_));
    return ::restinio::request_accepted();
  }
  connection->ticket_ = binding->gateway_.submit(
      std::move(connection->call_), [respond, connection](Response response) mutable {
        auto executor = connection->socket().get_executor();
        auto client_response = std::make_shared<HttpResponse>(http_response(std::move(response)));
        asio::dispatch(executor, [respond = std::move(respond), client_response] {
          respond(std::move(*client_response));
        });
      });
  return ::restinio::request_accepted();
}

// Returns the request handler that has to be the first one in the handler chain.
inline auto handler(std::shared_ptr<GatewayBinding> binding) {
  return [binding = std::move(binding)](const auto& request) { return serve(binding, request); };
}

}  // namespace nettlestand::restinio

namespace restinio {

// Adds gateway_binding() to the server settings.
template <class Settings>
class socket_type_dependent_settings_t<Settings, nettlestand::restinio::Socket> {
 protected:
  ~socket_type_dependent_settings_t() = default;

 public:
  socket_type_dependent_settings_t() = default;
  socket_type_dependent_settings_t(socket_type_dependent_settings_t&&) = default;

  Settings& gateway_binding(std::shared_ptr<nettlestand::restinio::GatewayBinding> binding) & {
    binding_ = std::move(binding);
    return static_cast<Settings&>(*this);
  }
  Settings&& gateway_binding(std::shared_ptr<nettlestand::restinio::GatewayBinding> binding) && {
    return std::move(this->gateway_binding(std::move(binding)));
  }
  const std::shared_ptr<nettlestand::restinio::GatewayBinding>& gateway_binding() const {
    if (!binding_) throw exception_t{"nettlestand: the server settings have no gateway binding"};
    return binding_;
  }

  [[deprecated("use gateway_binding()")]] Settings& door(
      std::shared_ptr<nettlestand::restinio::GatewayBinding> binding) & {
    return this->gateway_binding(std::move(binding));
  }
  [[deprecated("use gateway_binding()")]] Settings&& door(
      std::shared_ptr<nettlestand::restinio::GatewayBinding> binding) && {
    return std::move(this->gateway_binding(std::move(binding)));
  }
  [[deprecated("use gateway_binding()")]] const std::shared_ptr<nettlestand::restinio::GatewayBinding>& door()
      const {
    return gateway_binding();
  }

 private:
  std::shared_ptr<nettlestand::restinio::GatewayBinding> binding_;
};

namespace impl {

template <>
class socket_supplier_t<nettlestand::restinio::Socket> {
 protected:
  template <class Settings>
  socket_supplier_t(Settings& settings, asio_ns::io_context& loop)
      : loop_(loop), binding_(settings.gateway_binding()) {
    for (std::size_t i = 0; i < settings.concurrent_accepts_count(); ++i)
      sockets_.emplace_back(loop_, binding_);
  }
  virtual ~socket_supplier_t() = default;

  nettlestand::restinio::Socket& socket(std::size_t i) { return sockets_.at(i); }
  nettlestand::restinio::Socket move_socket(std::size_t i) {
    return std::exchange(sockets_.at(i), nettlestand::restinio::Socket(loop_, binding_));
  }
  std::size_t concurrent_accept_sockets_count() const { return sockets_.size(); }

 private:
  asio_ns::io_context& loop_;
  std::shared_ptr<nettlestand::restinio::GatewayBinding> binding_;
  std::vector<nettlestand::restinio::Socket> sockets_;
};

}  // namespace impl
}  // namespace restinio
