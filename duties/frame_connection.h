// A TCP connection that carries frames. Used on its loop's thread only; must be held by shared_ptr until
// closed.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "duties/wire.h"

namespace nettlestand::duties {

class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
 public:
  using Tcp = boost::asio::ip::tcp;
  struct Handlers {
    std::function<void(const Frame& hello)> on_handshake;   // the other side's hello was accepted
    std::function<void(const Frame& frame)> on_frame;       // later frames, except pings answered here
    std::function<void(const std::string& why)> on_closed;  // at most once; not after close()
  };
  struct Options {
    Keys keys;
    std::size_t max_frame_bytes = kMaxClientFrameBytes;  // of an incoming frame
    std::size_t max_queued_bytes = 8 * 1024 * 1024;      // unwritten bytes; beyond it send() returns false
    double handshake_timeout = 1;                        // s for connecting and receiving the hello
    double idle_timeout = 0;                             // s without a byte until it is closed; 0: never
  };

  FrameConnection(boost::asio::io_context& io, Options options);

  // Sends `hello` once connected.
  void connect(const Tcp::endpoint& to, const Frame& hello, Handlers handlers);
  void accept(Tcp::socket socket, const Frame& hello, Handlers handlers);
  // Returns false, and sends nothing, before the other side's hello or while too much is queued.
  bool send(const Frame& frame);
  // Limit for incoming frames from now on.
  void set_max_frame_bytes(std::size_t most) { channel_.set_max_frame_bytes(most); }
  // Closes without calling `on_closed`. `flush`: still writes what is queued, for 0.2 s at most.
  void close(bool flush = false);
  bool handshake_done() const { return channel_.handshake_done() && !closed_; }
  const std::string& nonce() const { return channel_.nonce(); }
  std::uint64_t bytes_sent() const { return sent_; }
  std::uint64_t bytes_received() const { return received_; }

 private:
  void start_handshake(const Frame& hello);
  void read();
  void write();
  void arm_timeout(double seconds);
  void fail(const std::string& why);

  boost::asio::io_context& io_;
  const Options options_;
  Tcp::socket socket_;
  boost::asio::steady_timer timer_;
  Channel channel_;
  Handlers handlers_;
  std::string queued_, writing_;
  std::array<char, 16384> read_buffer_;
  double last_byte_at_ = 0;
  std::uint64_t sent_ = 0, received_ = 0;
  bool closed_ = false, closing_ = false, connected_ = false;
};

// kNonceBytes unpredictable bytes.
std::string random_nonce();

}  // namespace nettlestand::duties
