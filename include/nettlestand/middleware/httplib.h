// A cpp-httplib server (0.11) that serves /api through a gateway, with exactly the responses of the daemon.
// All other requests go to the application's handlers.
//
//     nettlestand::httplib::Server server(*gateway);   // is an ::httplib::Server
//     server.Get("/own", ...);
//     server.listen("127.0.0.1", 8080);
//
// httplib's pre-routing hook can't do this: it runs before the body is read, httplib determines the end of a
// request by rules of its own, and no hook can close a connection after an error. So this class reads
// connections itself, through HttpReader, and passes requests for other routes to httplib's own processing,
// complete and with Content-Length. As in any httplib server, each connection occupies a thread of the pool,
// also while it is idle; new_task_queue determines the number of threads.
#pragma once

#include <httplib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstring>
#include <memory>
#include <string>
#include <utility>

#include "nettlestand/gateway.h"
#include "nettlestand/http.h"

namespace nettlestand::httplib {

// An httplib server whose /api is served by a gateway.
class Server : public ::httplib::Server {
 public:
  // The gateway must outlive the server, and must not run its completions on the server's thread pool.
  // `other_body_limit`: maximum body size in bytes of requests for other routes.
  explicit Server(Gateway& gateway, std::size_t other_body_limit = 64 * 1024)
      : gateway_(gateway),
        other_body_limit_(other_body_limit),
        drain_event_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}
  ~Server() override { ::close(drain_event_); }

  // As in httplib, but with a longer accept queue. httplib's has a length of five: clients beyond that which
  // connect at the same time would have to retry, after a second or never.
  bool bind_to_port(const std::string& host, int port, int socket_flags = 0) {
    return ::httplib::Server::bind_to_port(host, port, socket_flags) && enlarge_accept_queue();
  }
  int bind_to_any_port(const std::string& host, int socket_flags = 0) {
    const int port = ::httplib::Server::bind_to_any_port(host, socket_flags);
    return port >= 0 && enlarge_accept_queue() ? port : -1;
  }
  bool listen(const std::string& host, int port, int socket_flags = 0) {
    return bind_to_port(host, port, socket_flags) && listen_after_bind();
  }

  // Closes idle connections, and each other connection after its next response, as the daemon does when it
  // drains. May be called from any thread.
  void drain() {
    draining_ = true;
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(drain_event_, &one, sizeof one);
  }
  [[deprecated("use drain()")]] void finish() { drain(); }
  std::size_t connections() const { return connections_; }

 private:
  static constexpr std::size_t kMaxPipelinedBytes =
      8 * 1024;  // bytes of further requests that are buffered while one is answered
  static constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;  // bytes discarded after the last response
  static constexpr int kAcceptQueueLength = 4096;                // connections

  bool enlarge_accept_queue() { return ::listen(svr_sock_, kAcceptQueueLength) == 0; }

  // The response to one request. Its completion makes the file descriptor `ready` readable.
  struct PendingResponse {
    PendingResponse() : ready(::eventfd(0, EFD_CLOEXEC)) {}
    ~PendingResponse() { ::close(ready); }
    const int ready;
    Response response;
  };

  // The stream passed to httplib: it reads a complete request from memory and writes to the client's socket.
  class BufferedRequestStream : public ::httplib::Stream {
   public:
    BufferedRequestStream(socket_t socket, std::string text) : socket_(socket), text_(std::move(text)) {}
    bool is_readable() const override { return position_ < text_.size(); }
    bool is_writable() const override { return true; }
    ssize_t read(char* target, std::size_t size) override {
      const std::size_t count = std::min(size, text_.size() - position_);
      std::memcpy(target, text_.data() + position_, count);
      position_ += count;
      return static_cast<ssize_t>(count);
    }
    ssize_t write(const char* source, std::size_t size) override {
      return ::send(socket_, source, size, MSG_NOSIGNAL);
    }
    void get_remote_ip_and_port(std::string& ip, int& port) const override {
      read_endpoint(::getpeername, ip, port);
    }
    void get_local_ip_and_port(std::string& ip, int& port) const override {
      read_endpoint(::getsockname, ip, port);
    }
    socket_t socket() const override { return socket_; }

   private:
    template <class GetName>
    void read_endpoint(GetName get_name, std::string& ip, int& port) const {
      sockaddr_storage address{};
      socklen_t size = sizeof address;
      if (get_name(socket_, reinterpret_cast<sockaddr*>(&address), &size) != 0) return;
      std::array<char, NI_MAXHOST> host{};
      std::array<char, NI_MAXSERV> service{};
      if (::getnameinfo(reinterpret_cast<sockaddr*>(&address), size, host.data(), host.size(), service.data(),
                        service.size(), NI_NUMERICHOST | NI_NUMERICSERV) != 0) {
        return;
      }
      ip = host.data();
      port = std::atoi(service.data());
    }

    const socket_t socket_;
    const std::string text_;
    std::size_t position_ = 0;
  };

  // Serves one connection on a thread of the pool.
  bool process_and_close_socket(socket_t socket) override {
    ++connections_;
    const int enabled = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    const timeval send_timeout{write_timeout_sec_, static_cast<suseconds_t>(write_timeout_usec_)};
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &send_timeout, sizeof send_timeout);
    try {
      serve_connection(socket);
    } catch (const std::exception&) {  // most likely out of memory; only this connection is closed
    }
    ::close(socket);
    --connections_;
    return true;
  }

  void serve_connection(socket_t socket) {
    HttpReader reader(gateway_, other_body_limit_);
    std::string input;
    while (read_request(socket, reader, input)) {
      if (reader.for_gateway()) {
        HttpCall call;
        if (!reader.take_call(call)) return send_rejection(socket, reader.rejection_response());
        reader.reset();
        if (!submit_and_respond(socket, std::move(call), reader.keep_alive(), input)) return;
      } else {
        BufferedRequestStream stream(socket, reader.normalized_request({}, {}));
        const bool close = !reader.keep_alive() || draining_;
        bool closed = close;
        reader.reset();
        if (!process_request(stream, close, closed, nullptr) || closed) return linger(socket);
      }
    }
  }

  // Reads a complete request. Returns false if the connection is to be closed.
  bool read_request(socket_t socket, HttpReader& reader, std::string& input) {
    bool request_begun = false;
    auto started_at = std::chrono::steady_clock::now();
    while (true) {
      if (!input.empty()) {
        request_begun = true;
        HttpReader::Step step = reader.read(input);
        if (step == HttpReader::Step::kHead) {
          if (reader.expects_continue() && !send_all(socket, "HTTP/1.1 100 Continue\r\n\r\n")) return false;
          step = reader.read(input);
        }
        if (step == HttpReader::Step::kRequest) return true;
        if (step == HttpReader::Step::kRejected) {
          send_rejection(socket, reader.rejection_response());
          return false;
        }
      }
      const auto timeout = std::chrono::seconds(request_begun ? read_timeout_sec_ : keep_alive_timeout_sec_);
      const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
          started_at + timeout - std::chrono::steady_clock::now());
      // A drain wakes only connections that are idle.
      std::array<pollfd, 2> descriptors{
          {{socket, POLLIN, 0}, {request_begun ? -1 : drain_event_, POLLIN, 0}}};
      const int count = ::poll(descriptors.data(), descriptors.size(),
                               static_cast<int>(std::max<std::int64_t>(0, remaining.count())));
      if (count < 0) continue;
      if (descriptors[0].revents == 0) return false;  // timed out, or the server is draining
      if (!receive(socket, input)) return false;
      if (!request_begun) started_at = std::chrono::steady_clock::now();
    }
  }

  static bool receive(socket_t socket, std::string& input) {
    std::array<char, 16 * 1024> buffer;
    const ssize_t received = ::recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (received < 0 && (errno == EAGAIN || errno == EINTR)) return true;
    if (received <= 0) return false;
    input.append(buffer.data(), static_cast<std::size_t>(received));
    return true;
  }

  // Submits a request and sends the response, unless the client disconnects first. Returns false if the
  // connection is to be closed.
  bool submit_and_respond(socket_t socket, HttpCall call, bool keep_alive, std::string& input) {
    const auto pending = std::make_shared<PendingResponse>();
    const Ticket ticket = gateway_.submit(std::move(call), [pending](Response response) {
      pending->response = std::move(response);
      const std::uint64_t one = 1;
      [[maybe_unused]] const ssize_t written = ::write(pending->ready, &one, sizeof one);
    });
    while (true) {
      const short events = input.size() < kMaxPipelinedBytes ? POLLIN : 0;
      std::array<pollfd, 2> descriptors{
          {{pending->ready, POLLIN, 0}, {socket, static_cast<short>(events | POLLRDHUP), 0}}};
      if (::poll(descriptors.data(), descriptors.size(), -1) < 0) continue;
      if (descriptors[0].revents != 0) break;
      const bool client_gone = (descriptors[1].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
      if (client_gone || ((descriptors[1].revents & POLLIN) != 0 && !receive(socket, input))) {
        gateway_.cancel(ticket);  // the client no longer waits for the response
        return false;
      }
    }
    std::uint64_t ignored = 0;
    [[maybe_unused]] const ssize_t received = ::read(pending->ready, &ignored, sizeof ignored);
    HttpResponse client_response = http_response(std::move(pending->response));
    client_response.close = client_response.close || !keep_alive || draining_;
    if (!send_all(socket, client_response.serialize())) return false;
    if (client_response.close) linger(socket);
    return !client_response.close;
  }

  void send_rejection(socket_t socket, const HttpResponse& response) {
    if (send_all(socket, response.serialize())) linger(socket);
  }

  static bool send_all(socket_t socket, std::string_view text) {
    while (!text.empty()) {
      const ssize_t sent = ::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR) continue;
      if (sent <= 0) return false;
      text.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  // Discards incoming bytes for a while before the socket is closed: closing a socket with unread bytes
  // resets the connection, and the client may then lose the response.
  static void linger(socket_t socket) {
    ::shutdown(socket, SHUT_WR);
    std::array<char, 16 * 1024> buffer;
    std::size_t discarded = 0;
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(1);
    while (discarded < kMaxDiscardedBytes) {
      const auto remaining =
          std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
      pollfd descriptor{socket, POLLIN, 0};
      if (remaining.count() <= 0 || ::poll(&descriptor, 1, static_cast<int>(remaining.count())) <= 0) return;
      const ssize_t received = ::recv(socket, buffer.data(), buffer.size(), 0);
      if (received <= 0) return;
      discarded += static_cast<std::size_t>(received);
    }
  }

  Gateway& gateway_;
  const std::size_t other_body_limit_;
  const int drain_event_;  // readable once the server drains
  std::atomic<bool> draining_ = false;
  std::atomic<std::size_t> connections_ = 0;
};

}  // namespace nettlestand::httplib
