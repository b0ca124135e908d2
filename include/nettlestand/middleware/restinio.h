// A gateway behind a route of an application's own RESTinio server: what comes to /api gets exactly what the
// daemon gives (intake, statuses, headers, rules), other routes go on to the application's handlers.
//
//     using traits_t = ...single thread traits with
//         using stream_socket_t = nettlestand::restinio::Socket;
//         using request_handler_t = restinio::sync_chain::fixed_size_chain_t<2>;
//     auto door = std::make_shared<nettlestand::restinio::Door>(gateway);
//     restinio::server_settings_t<traits_t>{}.door(door)
//         .request_handler(nettlestand::restinio::handler(door), own)
//
// RESTinio's parser is more lenient than the daemon's reading, closes on what it can't parse without an
// answer, and does not look at a connection while a request waits. So the clients' bytes are read below it:
// the socket type reads through HttpReader, hands RESTinio whole and sound requests one at a time, and
// notices a client that leaves. What is turned away reaches the chain as a request too, so that its answer
// keeps its place; put the handler first there.
//
// One thread runs the server's io_context; the gateway may be on that loop or on a thread of its own.
// Requests to other routes are read whole, with heads of up to 8 KiB and bodies of up to Door's limit. A
// connection that asks for an upgrade elsewhere is left alone from there on.
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

// The header by which a request that RESTinio has parsed finds what was read of it. Never taken from a
// client.
inline constexpr const char* kToken = "Nettlestand-Token";

class Guard;

// What all connections of one server share. Lives on the thread of the server's io_context. The gateway must
// outlive the server.
class Door {
 public:
  // `other_body_limit`: bytes of a body that is for another route.
  explicit Door(Gateway& gateway, std::size_t other_body_limit = 64 * 1024)
      : gateway_(gateway), other_body_limit_(other_body_limit) {}

  // Answers from now on end their connections, and what is idle is closed, as in the daemon's drain.
  inline void finish();
  std::size_t connections() const { return guards_.size(); }

 private:
  friend class Guard;
  template <class Request>
  friend ::restinio::request_handling_status_t serve(const std::shared_ptr<Door>& door,
                                                     const Request& request);

  Gateway& gateway_;
  const std::size_t other_body_limit_;
  bool finishing_ = false;
  std::uint64_t last_token_ = 0;
  std::unordered_map<std::uint64_t, std::weak_ptr<Guard>> waiting_;  // by token
  std::unordered_set<Guard*> guards_;                                // of open connections
  std::array<char, 16 * 1024> scratch_{};
};

// One connection, as seen from below RESTinio.
class Guard : public std::enable_shared_from_this<Guard> {
 public:
  using Read = UniqueFunction<void(error_code, std::size_t)>;

  Guard(asio::io_context& loop, std::shared_ptr<Door> door)
      : door_(std::move(door)),
        socket_(loop),
        linger_(loop),
        reader_(door_->gateway_, door_->other_body_limit_) {}
  ~Guard() { door_->guards_.erase(this); }
  Guard(const Guard&) = delete;
  Guard& operator=(const Guard&) = delete;

  tcp::socket& socket() { return socket_; }
  const tcp::socket& socket() const { return socket_; }
  bool is_open() const { return open_ && socket_.is_open(); }

  // RESTinio begins to read: the connection is there.
  void begin() {
    open_ = true;
    door_->guards_.insert(this);
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    wait_readable();
  }

  void read(asio::mutable_buffer into, Read done) {
    into_ = into;
    wanted_ = std::move(done);
    out_.empty() && !left_ ? parse() : give();  // what has come behind the last request is read now
  }

  // RESTinio wants no more of the read that is out.
  void cancel() {
    if (wanted_) post_read(asio::error::operation_aborted, 0);
  }

  // Guards the answer: closing over unread bytes resets the connection and may take the answer with it. So
  // what still comes is thrown away for a while.
  void close() {
    if (!std::exchange(open_, false)) return;
    abandon();
    cancel();
    door_->guards_.erase(this);
    error_code failed;
    if (!left_) socket_.shutdown(tcp::socket::shutdown_send, failed);
    if (left_ || failed) {
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

  // Closes it unless something is being read, waits or is being answered.
  void close_if_idle() {
    if (holding_ || foreign_ || begun_ || deaf_ || raw_ || !in_.empty() || !out_.empty()) return;
    char byte = 0;
    // What has come and is not read yet is a request that this machine has taken.
    if (::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) return;
    left_ = true;
    give();
  }

  // What RESTinio writes goes out as it is.
  template <class Buffers, class Handler>
  void write(const Buffers& buffers, Handler&& handler) {
    foreign_ = false;
    socket_.async_write_some(buffers, std::forward<Handler>(handler));
  }

 private:
  template <class Request>
  friend ::restinio::request_handling_status_t serve(const std::shared_ptr<Door>& door,
                                                     const Request& request);

  static constexpr std::size_t kEarlyLimit = 8 * 1024;     // bytes kept of a next request
  static constexpr std::size_t kEndingLimit = 256 * 1024;  // bytes thrown away after the last answer

  // One wait is out at any time, also while a request waits for its answer: only so is it noticed that a
  // client leaves.
  void wait_readable() {
    if (waiting_ || left_ || !socket_.is_open()) return;
    waiting_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
      self->waiting_ = false;
      if (!self->socket_.is_open()) return;
      self->readable(error);
    });
  }

  void readable(const error_code& failed) {
    const bool busy = holding_ || !out_.empty();
    if (open_ && busy && in_.size() >= kEarlyLimit) return;
    error_code error = failed;
    const std::size_t got = failed ? 0 : socket_.read_some(asio::buffer(door_->scratch_), error);
    if (error == asio::error::would_block) return wait_readable();
    if (error) return client_left();
    if (!open_ || deaf_) {
      if ((thrown_away_ += got) > kEndingLimit) {
        error_code ignored;
        socket_.close(ignored);
        return;
      }
      return wait_readable();
    }
    in_.append(door_->scratch_.data(), got);
    wait_readable();
    parse();
  }

  void client_left() {
    left_ = true;
    linger_.cancel();
    if (!open_) {
      error_code ignored;
      socket_.close(ignored);
      return;
    }
    abandon();
    out_.clear();
    give();
  }

  // Whoever waits for the gateway's answer is gone.
  void abandon() {
    if (ticket_ != 0) door_->gateway_.cancel(std::exchange(ticket_, 0));
  }

  void parse() {
    if (raw_) {
      out_.append(in_);
      in_.clear();
      return give();
    }
    while (open_ && !left_ && !holding_ && !deaf_ && out_.empty() && !in_.empty()) {
      begun_ = true;
      switch (reader_.read(in_)) {
        case HttpReader::Step::kMore:
          return;
        case HttpReader::Step::kHead:
          if (reader_.expects_continue() && !foreign_) {
            static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
            error_code ignored;
            socket_.write_some(asio::buffer(kContinue.data(), kContinue.size()), ignored);
          }
          if (in_.empty()) in_.shrink_to_fit();
          if (!whole_without_more()) continue;
          [[fallthrough]];
        case HttpReader::Step::kRequest:
          whole();
          break;
        case HttpReader::Step::kTurnedAway:
          turn_away(reader_.verdict());
          break;
      }
    }
    give();
  }

  // Whether a request whose head has just come has no body: nothing more need come for it.
  bool whole_without_more() {
    std::string none;
    if (!in_.empty()) return false;
    switch (reader_.read(none)) {
      case HttpReader::Step::kRequest:
        return true;
      default:
        return false;
    }
  }

  void whole() {
    begun_ = false;
    if (reader_.for_gateway()) {
      HttpCall call;
      if (!reader_.call(call)) return turn_away(reader_.verdict());
      call_ = std::move(call);
      verdict_ = {};
      to_chain(true);
    } else {
      if (!known_method()) return turn_away({501, "", "text/plain", "unknown method\n", true});
      foreign_ = true;
      to_chain(false);
    }
    reader_.forget();
  }

  // RESTinio's parser knows a list of methods, and closes on others without a word.
  bool known_method() const {
    const std::string_view method = reader_.method();
    if (method == "CONNECT") return false;
    for (int m = 0; m <= static_cast<int>(HTTP_SOURCE); ++m) {
      if (method == http_method_str(static_cast<http_method>(m))) return true;
    }
    return false;
  }

  void turn_away(HttpAnswer answer) {
    verdict_ = std::move(answer);
    deaf_ = true;
    holding_ = true;
    begun_ = false;
    in_.clear();
    in_.shrink_to_fit();
    out_ = "POST /api HTTP/1.1\r\n" + token() + "Connection: close\r\nContent-Length: 0\r\n\r\n";
  }

  std::string token() {
    token_ = ++door_->last_token_;
    door_->waiting_[token_] = weak_from_this();
    return std::string(kToken) + ": " + std::to_string(token_) + "\r\n";
  }

  // The request as RESTinio is to see it. The body of one for the gateway stays here.
  void to_chain(bool ours) {
    holding_ = ours;
    raw_ = !ours && reader_.upgrades();  // what follows may be another protocol
    out_ = reader_.rewritten(ours ? token() : std::string(), kToken);
    if (raw_) out_.append(std::exchange(in_, {}));
  }

  // Gives RESTinio what is there for it.
  void give() {
    if (!wanted_ || !open_) return;
    if (!out_.empty()) {
      const std::size_t size = std::min(out_.size(), into_.size());
      std::memcpy(into_.data(), out_.data(), size);
      out_.erase(0, size);
      return post_read({}, size);
    }
    if (left_) post_read(asio::error::eof, 0);
  }

  void post_read(const error_code& error, std::size_t size) {
    asio::post(socket_.get_executor(),
               [self = shared_from_this(), done = std::make_shared<Read>(std::exchange(wanted_, nullptr)),
                error, size] { (*done)(error, size); });
  }

  // The answer to what this connection was held for has been written.
  void answered() {
    holding_ = false;
    ticket_ = 0;
    if (!open_) return;
    wait_readable();
    parse();
  }

  const std::shared_ptr<Door> door_;
  tcp::socket socket_;
  asio::steady_timer linger_;
  HttpReader reader_;
  std::string in_, out_;  // from the client, not yet read; for RESTinio, not yet given
  asio::mutable_buffer into_;
  Read wanted_;
  HttpCall call_;
  HttpAnswer verdict_;
  std::uint64_t token_ = 0;
  Ticket ticket_ = 0;
  std::size_t thrown_away_ = 0;
  // holding: a request for the gateway waits for its answer to be written; foreign: so does, perhaps, one for
  // another route; begun: a part of a request is there; deaf: nothing more is read; raw: all goes to RESTinio
  // as it is
  bool open_ = false, waiting_ = false, left_ = false, holding_ = false, foreign_ = false, begun_ = false,
       deaf_ = false, raw_ = false;
};

inline void Door::finish() {
  finishing_ = true;
  const auto all = guards_;
  for (Guard* guard : all) guard->close_if_idle();
}

// For traits_t::stream_socket_t.
class Socket {
 public:
  using executor_type = tcp::socket::executor_type;

  Socket(asio::io_context& loop, const std::shared_ptr<Door>& door)
      : guard_(std::make_shared<Guard>(loop, door)) {}
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  Socket(Socket&&) = default;
  Socket& operator=(Socket&& other) noexcept {
    if (guard_) guard_->close();
    guard_ = std::move(other.guard_);
    return *this;
  }
  ~Socket() {
    if (guard_) guard_->close();
  }

  Guard& guard() const { return *guard_; }
  tcp::socket& lowest_layer() { return guard_->socket(); }
  const tcp::socket& lowest_layer() const { return guard_->socket(); }
  executor_type get_executor() { return guard_->socket().get_executor(); }
  tcp::endpoint remote_endpoint() const { return guard_->socket().remote_endpoint(); }
  bool is_open() const { return guard_ && guard_->is_open(); }
  void cancel(error_code& error) {
    error = {};
    guard_->cancel();
  }
  void shutdown(tcp::socket::shutdown_type, error_code& error) { error = {}; }  // close() does it in its way
  void close() { guard_->close(); }

  template <class Buffers, class Handler>
  void async_read_some(const Buffers& buffers, Handler&& handler) {
    auto executor = asio::get_associated_executor(handler, get_executor());
    guard_->read(*asio::buffer_sequence_begin(buffers), [executor, handler = std::forward<Handler>(handler)](
                                                            error_code error, std::size_t size) mutable {
      asio::dispatch(executor,
                     [handler = std::move(handler), error, size]() mutable { handler(error, size); });
    });
  }
  template <class Buffers, class Handler>
  void async_write_some(const Buffers& buffers, Handler&& handler) {
    guard_->write(buffers, std::forward<Handler>(handler));
  }

 private:
  std::shared_ptr<Guard> guard_;
};

template <class Connection, class Start, class Failed>
void prepare_connection_and_start_read(Socket& socket, Connection&, Start start, Failed) {
  socket.guard().begin();
  start();
}

inline ::restinio::impl::tls_socket_t* make_tls_socket_pointer_for_state_listener(Socket&) noexcept {
  return nullptr;
}

template <class Request>
::restinio::request_handling_status_t serve(const std::shared_ptr<Door>& door, const Request& request) {
  const auto told = request->header().opt_value_of(kToken);
  if (!told) return ::restinio::request_not_handled();
  const auto it =
      door->waiting_.find(std::strtoull(std::string(told->data(), told->size()).c_str(), nullptr, 10));
  if (it == door->waiting_.end()) return ::restinio::request_not_handled();
  const std::shared_ptr<Guard> guard = it->second.lock();
  door->waiting_.erase(it);
  if (!guard) return ::restinio::request_not_handled();
  const auto answer = [door, guard, request](HttpAnswer told_client) {
    auto response = request->create_response(::restinio::http_status_line_t{
        ::restinio::http_status_code_t{static_cast<std::uint16_t>(told_client.status)},
        ::http_status_str(static_cast<http_status>(told_client.status))});
    if (!told_client.content_type.empty()) response.append_header("Content-Type", told_client.content_type);
    if (!told_client.retry_after.empty()) response.append_header("Retry-After", told_client.retry_after);
    if (told_client.close || door->finishing_) response.connection_close();
    response.set_body(std::move(told_client.body));
    response.done([guard](const auto&) { guard->answered(); });
  };
  if (guard->deaf_) {
    answer(std::move(guard->verdict_));
    return ::restinio::request_accepted();
  }
  guard->ticket_ = door->gateway_.submit(std::move(guard->call_), [answer, guard](Response response) mutable {
    auto executor = guard->socket().get_executor();
    auto told_client = std::make_shared<HttpAnswer>(http_answer(std::move(response)));
    asio::dispatch(executor, [answer = std::move(answer), told_client] { answer(std::move(*told_client)); });
  });
  return ::restinio::request_accepted();
}

// The handler to put first in a chain.
inline auto handler(std::shared_ptr<Door> door) {
  return [door = std::move(door)](const auto& request) { return serve(door, request); };
}

}  // namespace nettlestand::restinio

namespace restinio {

// The server's settings name the door.
template <class Settings>
class socket_type_dependent_settings_t<Settings, nettlestand::restinio::Socket> {
 protected:
  ~socket_type_dependent_settings_t() = default;

 public:
  socket_type_dependent_settings_t() = default;
  socket_type_dependent_settings_t(socket_type_dependent_settings_t&&) = default;

  Settings& door(std::shared_ptr<nettlestand::restinio::Door> door) & {
    door_ = std::move(door);
    return static_cast<Settings&>(*this);
  }
  Settings&& door(std::shared_ptr<nettlestand::restinio::Door> door) && {
    return std::move(this->door(std::move(door)));
  }
  const std::shared_ptr<nettlestand::restinio::Door>& door() const {
    if (!door_) throw exception_t{"nettlestand: the server's settings name no door"};
    return door_;
  }

 private:
  std::shared_ptr<nettlestand::restinio::Door> door_;
};

namespace impl {

template <>
class socket_supplier_t<nettlestand::restinio::Socket> {
 protected:
  template <class Settings>
  socket_supplier_t(Settings& settings, asio_ns::io_context& loop) : loop_(loop), door_(settings.door()) {
    for (std::size_t i = 0; i < settings.concurrent_accepts_count(); ++i) sockets_.emplace_back(loop_, door_);
  }
  virtual ~socket_supplier_t() = default;

  nettlestand::restinio::Socket& socket(std::size_t i) { return sockets_.at(i); }
  nettlestand::restinio::Socket move_socket(std::size_t i) {
    return std::exchange(sockets_.at(i), nettlestand::restinio::Socket(loop_, door_));
  }
  std::size_t concurrent_accept_sockets_count() const { return sockets_.size(); }

 private:
  asio_ns::io_context& loop_;
  std::shared_ptr<nettlestand::restinio::Door> door_;
  std::vector<nettlestand::restinio::Socket> sockets_;
};

}  // namespace impl
}  // namespace restinio
