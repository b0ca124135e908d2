// Test double of a server: listens on loopback and answers each request by a script. With helpers for HTTP
// messages on plain sockets.
#pragma once

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

// Time after which a test no longer waits.
inline constexpr int kTestTimeoutMs = 10000;

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  out.sin_port = htons(port);
  return out;
}

inline std::uint16_t bound_port(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  REQUIRE(::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0);
  return ntohs(address.sin_port);
}

// Reads one complete request, or response with a Content-Length, and leaves further bytes in `buffer`.
// Returns an empty string at the end of the stream and after the timeout.
inline std::string read_message(int fd, std::string& buffer) {
  for (;;) {
    const std::size_t head = buffer.find("\r\n\r\n");
    if (head != std::string::npos) {
      std::size_t length = 0;
      const std::size_t field = buffer.find("Content-Length: ");
      if (field < head) length = std::stoul(buffer.substr(field + 16));
      const std::size_t size = head + 4 + length;
      if (buffer.size() >= size) {
        std::string out = buffer.substr(0, size);
        buffer.erase(0, size);
        return out;
      }
    }
    pollfd wait{fd, POLLIN, 0};
    if (::poll(&wait, 1, kTestTimeoutMs) <= 0) return {};
    char bytes[4096];
    const ssize_t got = ::recv(fd, bytes, sizeof(bytes), 0);
    if (got <= 0) return {};
    buffer.append(bytes, static_cast<std::size_t>(got));
  }
}

inline void send_all(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) return;
    sent += static_cast<std::size_t>(size);
  }
}

// Makes the next close() reset the connection.
inline void reset_on_close(int fd) {
  const linger now{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

// The value of the X-Request-Id header.
inline std::string request_id_of(const std::string& request) {
  const std::size_t at = request.find("X-Request-Id: ");
  return request.substr(at + 14, request.find("\r\n", at) - at - 14);
}

// A response with status 200; without an X-Request-Id header if `id` is empty. `more`: further header lines.
inline std::string http_response(const std::string& id, const std::string& body,
                                 const std::string& more = "") {
  return "HTTP/1.1 200 OK\r\n" + (id.empty() ? "" : "X-Request-Id: " + id + "\r\n") + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts connections on loopback and handles each on its own thread.
class LoopbackListener {
 public:
  // `number`: index of the connection, from 0.
  using ConnectionHandler = std::function<void(int fd, std::size_t number)>;
  explicit LoopbackListener(ConnectionHandler handler) : handler_(std::move(handler)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(0);
    REQUIRE(::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
    REQUIRE(::listen(listener_, 64) == 0);
    port_ = bound_port(listener_);
    thread_ = std::thread([this] { accept_all(); });
  }
  ~LoopbackListener() { stop(); }
  LoopbackListener(const LoopbackListener&) = delete;
  LoopbackListener& operator=(const LoopbackListener&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int accepted() const { return accepted_; }
  // Accepts no further connections and waits until all handlers have returned.
  void stop() {
    if (!thread_.joinable()) return;
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    for (std::thread& each : connections_) each.join();
    ::close(listener_);
  }

 private:
  void accept_all() {
    for (;;) {
      const int fd = ::accept(listener_, nullptr, nullptr);
      if (fd < 0) return;
      const auto number = static_cast<std::size_t>(accepted_++);
      connections_.emplace_back([this, fd, number] {
        handler_(fd, number);
        ::close(fd);
      });
    }
  }

  ConnectionHandler handler_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::vector<std::thread> connections_;
  std::atomic<int> accepted_{0};
  std::thread thread_;
};

// A server that calls a script for each request. The connection is closed when the script returns false.
class ScriptedServer {
 public:
  using Script = std::function<bool(int fd, int number, const std::string& request)>;
  explicit ScriptedServer(Script script) : script_(std::move(script)) {}
  std::string address() const { return listener_.address(); }
  int requests() const { return requests_; }
  int connections() const { return listener_.accepted(); }

 private:
  void serve(int fd) {
    std::string buffer;
    for (;;) {
      const std::string request = read_message(fd, buffer);
      if (request.empty() || !script_(fd, ++requests_, request)) return;
    }
  }

  Script script_;
  std::atomic<int> requests_{0};
  LoopbackListener listener_{[this](int fd, std::size_t) { serve(fd); }};
};
