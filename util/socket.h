// A non-blocking TCP socket that is not registered with Asio, for use with a Poller.
#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <cerrno>
#include <cstddef>
#include <string_view>
#include <utility>

#include "util/poller.h"

namespace nettlestand {

// Owns the descriptor of a TCP connection and closes it on destruction. Sets TCP_NODELAY.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor_(descriptor) {
    const int on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  Socket& operator=(Socket&&) = delete;
  ~Socket() { close(); }

  int descriptor() const { return descriptor_; }

  // Starts to connect. Returns 0 (also for EINPROGRESS) or the errno value.
  int connect(const boost::asio::ip::tcp::endpoint& to) {
    descriptor_ = ::socket(to.protocol().family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor_ < 0) return errno;
    const int on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto size = static_cast<socklen_t>(to.size());
    if (::connect(descriptor_, to.data(), size) == 0 || errno == EINPROGRESS) return 0;
    return errno;
  }
  bool is_open() const { return descriptor_ >= 0; }
  // The pending socket error (SO_ERROR), which is the result of connect() once the socket is writable.
  int pending_error() const {
    int out = 0;
    socklen_t size = sizeof out;
    return ::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &out, &size) == 0 ? out : errno;
  }

  // read() and write() return the number of bytes, or a negative value with errno set; read() returns 0 at
  // the end of the stream. would_block() tells whether errno only means that the socket is not ready.
  ssize_t read(char* to, std::size_t size, int flags = 0) const {
    ssize_t got;
    do {
      got = ::recv(descriptor_, to, size, flags);
    } while (got < 0 && errno == EINTR);
    return got;
  }
  ssize_t write(std::string_view first, std::string_view second) const {
    iovec parts[2] = {{const_cast<char*>(first.data()), first.size()},
                      {const_cast<char*>(second.data()), second.size()}};
    msghdr message{};
    message.msg_iov = first.empty() ? parts + 1 : parts;
    message.msg_iovlen = first.empty() || second.empty() ? 1 : 2;
    ssize_t sent;
    do {
      sent = message.msg_iovlen == 1
                 ? ::send(descriptor_, message.msg_iov->iov_base, message.msg_iov->iov_len, MSG_NOSIGNAL)
                 : ::sendmsg(descriptor_, &message, MSG_NOSIGNAL);
    } while (sent < 0 && errno == EINTR);
    return sent;
  }
  static bool would_block() { return errno == EAGAIN || errno == EWOULDBLOCK; }

  // Sends a FIN; the connection can still be read.
  void shutdown_send() const { ::shutdown(descriptor_, SHUT_WR); }
  // Whether the peer's kernel has acknowledged all written data and our FIN. Everything that the peer's
  // program sent before it could see the FIN has then arrived. False if the kernel gives no TCP_INFO.
  bool is_end_acknowledged() const {
    tcp_info info{};
    socklen_t size = sizeof info;
    return ::getsockopt(descriptor_, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
           (info.tcpi_state == TCP_FIN_WAIT2 || info.tcpi_state == TCP_TIME_WAIT ||
            info.tcpi_state == TCP_CLOSE);
  }
  void close() {
    if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
  }

 private:
  int descriptor_ = -1;
};

}  // namespace nettlestand
