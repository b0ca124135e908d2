// Scripted TCP peers on loopback. Everything waits for events; kTimeoutMs only ends a test that would hang.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <string>
#include <utility>

namespace nettlestand::testing {

constexpr int kTimeoutMs = 15000;

inline double seconds() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// Polls a condition for which there is no event.
template <class Condition>
void until(Condition holds) {
  for (const double from = seconds(); !holds();) {
    if (seconds() - from > kTimeoutMs / 1000.0)
      throw std::runtime_error("timeout: the condition did not become true");
  }
}

inline bool readable(int fd, int wait_ms) {
  pollfd p{fd, POLLIN, 0};
  return poll(&p, 1, wait_ms) > 0;
}

// Whether a connection to this port is being opened.
inline bool connecting_to(int port) {
  char end[16];
  std::snprintf(end, sizeof end, ":%04X 02 ", static_cast<unsigned>(port));  // state SYN_SENT
  std::ifstream table("/proc/net/tcp");
  for (std::string line; std::getline(table, line);) {
    if (line.find(end) != std::string::npos) return true;
  }
  return false;
}

// A TCP connection of a scripted client or server.
class TcpConnection {
 public:
  explicit TcpConnection(int fd = -1) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  TcpConnection(TcpConnection&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)), buffered_(std::move(other.buffered_)) {}
  TcpConnection& operator=(TcpConnection&& other) noexcept {
    close();
    fd_ = std::exchange(other.fd_, -1);
    buffered_ = std::move(other.buffered_);
    return *this;
  }
  ~TcpConnection() { close(); }

  static TcpConnection to(int port) {
    TcpConnection out(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(out.fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
      throw std::runtime_error("no connection to the node");
    }
    return out;
  }

  int local_port() const {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    return ntohs(at.sin_port);
  }
  void send(const std::string& text) const { ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL); }
  // Sends as much as the other host accepts without its program reading.
  void send_some(const std::string& text) const {
    ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  void reset() {
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
  // Waits until the other host has received everything that was sent.
  void wait_until_delivered() const {
    until([&] {
      int left = 0;
      ioctl(fd_, SIOCOUTQ, &left);
      return left == 0;
    });
  }
  // Waits until the other program has read everything that was received, or has closed.
  void wait_until_read() const {
    sockaddr_in to{};
    socklen_t size = sizeof to;
    getpeername(fd_, reinterpret_cast<sockaddr*>(&to), &size);
    char ends[64];
    std::snprintf(ends, sizeof ends, ":%04X 0100007F:%04X 01 ", ntohs(to.sin_port), local_port());
    until([&] {
      std::ifstream table("/proc/net/tcp");
      for (std::string line; std::getline(table, line);) {
        const std::size_t at = line.find(ends);
        if (at != std::string::npos) return line.substr(at + 32, 8) == "00000000";  // receive queue
      }
      return true;
    });
  }
  bool closed() const { return fd_ < 0; }
  bool no_data(int wait_ms = 0) const { return buffered_.empty() && !readable(fd_, wait_ms); }

  // Whether the other side closes or resets the connection without sending more bytes.
  bool ended() {
    if (!buffered_.empty() || !readable(fd_, kTimeoutMs)) return false;
    char byte = 0;
    return recv(fd_, &byte, 1, 0) <= 0;
  }

  // Whether the other side closes the connection in order, without a reset and without sending more bytes.
  bool ended_in_order() {
    if (!buffered_.empty() || !readable(fd_, kTimeoutMs)) return false;
    char byte = 0;
    return recv(fd_, &byte, 1, 0) == 0;
  }

  // Reads one message: its head, and a body of Content-Length. Shorter if the connection ends first.
  std::string message() {
    std::size_t whole = std::string::npos;
    while (true) {
      const std::size_t head = buffered_.find("\r\n\r\n");
      if (head != std::string::npos) {
        const std::size_t at = buffered_.find("Content-Length: ");
        const std::size_t body = at < head ? std::stoul(buffered_.substr(at + 16)) : 0;
        whole = head + 4 + body;
        if (buffered_.size() >= whole) break;
      }
      char bytes[4096];
      if (!readable(fd_, kTimeoutMs)) break;
      const ssize_t got = recv(fd_, bytes, sizeof bytes, 0);
      if (got <= 0) break;
      buffered_.append(bytes, static_cast<std::size_t>(got));
    }
    std::string out = buffered_.substr(0, whole);
    buffered_.erase(0, out.size());
    return out;
  }

 private:
  int fd_;
  std::string buffered_;
};

// A listening socket on a free port.
class TcpListener {
 public:
  explicit TcpListener(int backlog = 64) : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    if (bind(fd_, reinterpret_cast<sockaddr*>(&at), size) != 0 || listen(fd_, backlog) != 0 ||
        getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
      throw std::runtime_error("can't listen");
    }
    port_ = ntohs(at.sin_port);
  }
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;
  ~TcpListener() { close(); }
  int port() const { return port_; }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  bool no_data(int wait_ms = 0) const { return !readable(fd_, wait_ms); }
  // Makes connections accepted from now on buffer little, so that large writes to them block.
  void shrink_receive_buffer() const {
    const int segment = 536, buffer = 2048;
    setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  }
  TcpConnection accept() const {
    if (!readable(fd_, kTimeoutMs)) throw std::runtime_error("the node did not connect");
    return TcpConnection(accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC));
  }
  static TcpConnection accept_either(const TcpListener& a, const TcpListener& b) {
    pollfd both[] = {{a.fd_, POLLIN, 0}, {b.fd_, POLLIN, 0}};
    poll(both, 2, kTimeoutMs);
    return ((both[0].revents & POLLIN) != 0 ? a : b).accept();
  }

 private:
  int fd_, port_ = 0;
};

}  // namespace nettlestand::testing
