// A gateway behind /api of an application's own cpp-httplib server (0.11): what comes there gets exactly what
// the daemon gives, everything else goes on to the application's handlers.
//
//     nettlestand::httplib::Server server(*gateway);   // is an ::httplib::Server
//     server.Get("/own", ...);
//     server.listen("127.0.0.1", 8080);
//
// Its pre-routing hook can't do this: no body has come by then, httplib has decided by rules of its own where
// a request ends, and no hook can end a connection behind an error. So connections are read here, through
// HttpReader, and what is for other routes is handed to httplib's own processing, whole and with a length. As
// in any httplib server a connection holds a thread of the pool, also while it is idle: new_task_queue says
// how many there are.
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

class Server : public ::httplib::Server {
 public:
  // The gateway must outlive the server. It may not run its completions on the server's pool.
  // `other_body_limit`: bytes of a body that is for another route.
  explicit Server(Gateway& gateway, std::size_t other_body_limit = 64 * 1024)
      : gateway_(gateway),
        other_body_limit_(other_body_limit),
        ending_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}
  ~Server() override { ::close(ending_); }

  // As those of httplib, but for its accept queue of five: more than that at once would be left to come
  // again, after a second or never.
  bool bind_to_port(const std::string& host, int port, int socket_flags = 0) {
    return ::httplib::Server::bind_to_port(host, port, socket_flags) && widen();
  }
  int bind_to_any_port(const std::string& host, int socket_flags = 0) {
    const int port = ::httplib::Server::bind_to_any_port(host, socket_flags);
    return port >= 0 && widen() ? port : -1;
  }
  bool listen(const std::string& host, int port, int socket_flags = 0) {
    return bind_to_port(host, port, socket_flags) && listen_after_bind();
  }

  // Answers from now on end their connections, and what is idle is closed, as in the daemon's drain. Any
  // thread.
  void finish() {
    finishing_ = true;
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t told = ::write(ending_, &one, sizeof one);
  }
  std::size_t connections() const { return connections_; }

 private:
  static constexpr std::size_t kEarlyLimit = 8 * 1024;  // bytes kept of a next request while one is answered
  static constexpr std::size_t kEndingLimit = 256 * 1024;  // bytes thrown away after the last answer
  static constexpr int kAcceptQueue = 4096;                // connections

  bool widen() { return ::listen(svr_sock_, kAcceptQueue) == 0; }

  // Waits for one answer: its completion makes a descriptor readable.
  struct Waiting {
    Waiting() : ready(::eventfd(0, EFD_CLOEXEC)) {}
    ~Waiting() { ::close(ready); }
    const int ready;
    Response response;
  };

  // What httplib reads is a request that has come whole; what it writes goes to the client.
  class Whole : public ::httplib::Stream {
   public:
    Whole(socket_t socket, std::string text) : socket_(socket), text_(std::move(text)) {}
    bool is_readable() const override { return at_ < text_.size(); }
    bool is_writable() const override { return true; }
    ssize_t read(char* to, std::size_t size) override {
      const std::size_t part = std::min(size, text_.size() - at_);
      std::memcpy(to, text_.data() + at_, part);
      at_ += part;
      return static_cast<ssize_t>(part);
    }
    ssize_t write(const char* from, std::size_t size) override {
      return ::send(socket_, from, size, MSG_NOSIGNAL);
    }
    void get_remote_ip_and_port(std::string& ip, int& port) const override { name(::getpeername, ip, port); }
    void get_local_ip_and_port(std::string& ip, int& port) const override { name(::getsockname, ip, port); }
    socket_t socket() const override { return socket_; }

   private:
    template <class Which>
    void name(Which which, std::string& ip, int& port) const {
      sockaddr_storage at{};
      socklen_t size = sizeof at;
      if (which(socket_, reinterpret_cast<sockaddr*>(&at), &size) != 0) return;
      std::array<char, NI_MAXHOST> host{};
      std::array<char, NI_MAXSERV> service{};
      if (::getnameinfo(reinterpret_cast<sockaddr*>(&at), size, host.data(), host.size(), service.data(),
                        service.size(), NI_NUMERICHOST | NI_NUMERICSERV) != 0) {
        return;
      }
      ip = host.data();
      port = std::atoi(service.data());
    }

    const socket_t socket_;
    const std::string text_;
    std::size_t at_ = 0;
  };

  // One connection, from the pool's thread that has it.
  bool process_and_close_socket(socket_t socket) override {
    ++connections_;
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const timeval patience{write_timeout_sec_, static_cast<suseconds_t>(write_timeout_usec_)};
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
    try {
      serve(socket);
    } catch (const std::exception&) {  // memory, most likely: it ends this connection alone
    }
    ::close(socket);
    --connections_;
    return true;
  }

  void serve(socket_t socket) {
    HttpReader reader(gateway_, other_body_limit_);
    std::string in;
    while (next(socket, reader, in)) {
      if (reader.for_gateway()) {
        HttpCall call;
        if (!reader.call(call)) return end(socket, reader.verdict());
        reader.forget();
        if (!answer(socket, std::move(call), reader.keep_alive(), in)) return;
      } else {
        Whole whole(socket, reader.rewritten({}, {}));
        const bool close = !reader.keep_alive() || finishing_;
        bool closed = close;
        reader.forget();
        if (!process_request(whole, close, closed, nullptr) || closed) return linger(socket);
      }
    }
  }

  // Reads a whole request. False where the connection is over.
  bool next(socket_t socket, HttpReader& reader, std::string& in) {
    bool begun = false;
    auto since = std::chrono::steady_clock::now();
    while (true) {
      if (!in.empty()) {
        begun = true;
        HttpReader::Step step = reader.read(in);
        if (step == HttpReader::Step::kHead) {
          if (reader.expects_continue() && !send_all(socket, "HTTP/1.1 100 Continue\r\n\r\n")) return false;
          step = reader.read(in);
        }
        if (step == HttpReader::Step::kRequest) return true;
        if (step == HttpReader::Step::kTurnedAway) {
          end(socket, reader.verdict());
          return false;
        }
      }
      const auto limit = std::chrono::seconds(begun ? read_timeout_sec_ : keep_alive_timeout_sec_);
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          since + limit - std::chrono::steady_clock::now());
      // The end of the server wakes those that wait for nothing but a next request.
      std::array<pollfd, 2> both{{{socket, POLLIN, 0}, {begun ? -1 : ending_, POLLIN, 0}}};
      const int count =
          ::poll(both.data(), both.size(), static_cast<int>(std::max<std::int64_t>(0, left.count())));
      if (count < 0) continue;
      if (both[0].revents == 0) return false;  // its time is up, or the server ends
      if (!receive(socket, in)) return false;
      if (!begun) since = std::chrono::steady_clock::now();
    }
  }

  static bool receive(socket_t socket, std::string& in) {
    std::array<char, 16 * 1024> bytes;
    const ssize_t got = ::recv(socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) return true;
    if (got <= 0) return false;
    in.append(bytes.data(), static_cast<std::size_t>(got));
    return true;
  }

  // Submits a request, and answers it unless its client leaves first. False where the connection is over.
  bool answer(socket_t socket, HttpCall call, bool keep_alive, std::string& in) {
    const auto waiting = std::make_shared<Waiting>();
    const Ticket ticket = gateway_.submit(std::move(call), [waiting](Response response) {
      waiting->response = std::move(response);
      const std::uint64_t one = 1;
      [[maybe_unused]] const ssize_t told = ::write(waiting->ready, &one, sizeof one);
    });
    while (true) {
      const short wanted = in.size() < kEarlyLimit ? POLLIN : 0;
      std::array<pollfd, 2> both{
          {{waiting->ready, POLLIN, 0}, {socket, static_cast<short>(wanted | POLLRDHUP), 0}}};
      if (::poll(both.data(), both.size(), -1) < 0) continue;
      if (both[0].revents != 0) break;
      const bool left = (both[1].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
      if (left || ((both[1].revents & POLLIN) != 0 && !receive(socket, in))) {
        gateway_.cancel(ticket);  // nobody waits for its answer any more
        return false;
      }
    }
    std::uint64_t ignored = 0;
    [[maybe_unused]] const ssize_t got = ::read(waiting->ready, &ignored, sizeof ignored);
    HttpAnswer told = http_answer(std::move(waiting->response));
    told.close = told.close || !keep_alive || finishing_;
    if (!send_all(socket, told.bytes())) return false;
    if (told.close) linger(socket);
    return !told.close;
  }

  void end(socket_t socket, const HttpAnswer& verdict) {
    if (send_all(socket, verdict.bytes())) linger(socket);
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

  // Guards the answer: closing over unread bytes resets the connection and may take the answer with it. So
  // what still comes is thrown away for a while.
  static void linger(socket_t socket) {
    ::shutdown(socket, SHUT_WR);
    std::array<char, 16 * 1024> bytes;
    std::size_t thrown_away = 0;
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(1);
    while (thrown_away < kEndingLimit) {
      const auto left =
          std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now());
      pollfd p{socket, POLLIN, 0};
      if (left.count() <= 0 || ::poll(&p, 1, static_cast<int>(left.count())) <= 0) return;
      const ssize_t got = ::recv(socket, bytes.data(), bytes.size(), 0);
      if (got <= 0) return;
      thrown_away += static_cast<std::size_t>(got);
    }
  }

  Gateway& gateway_;
  const std::size_t other_body_limit_;
  const int ending_;  // readable once the server ends
  std::atomic<bool> finishing_ = false;
  std::atomic<std::size_t> connections_ = 0;
};

}  // namespace nettlestand::httplib
