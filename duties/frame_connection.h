// One TCP connection that carries frames. On its loop's thread; held by shared_ptr until it is closed.
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
    std::function<void(const Frame& hello)> on_handshake;   // the other side's hello is good
    std::function<void(const Frame& frame)> on_frame;       // each one behind it
    std::function<void(const std::string& why)> on_closed;  // once, at the end; not after close()
  };
  struct Options {
    Keys keys;
    std::size_t max_frame_bytes = kMaxClientFrameBytes;  // bytes of a frame from there
    std::size_t max_queued_bytes =
        8 * 1024 * 1024;           // bytes that wait to be written; beyond it send() says no
    double handshake_timeout = 1;  // s until it is connected and the hello is there
    double idle_timeout = 0;       // s without a byte until it is taken for dead; 0: never
  };

  FrameConnection(boost::asio::io_context& io, Options options);

  // Says `hello` as soon as it is up.
  void connect(const Tcp::endpoint& to, const Frame& hello, Handlers handlers);
  void accept(Tcp::socket socket, const Frame& hello, Handlers handlers);
  // False: there is no hello yet, or too much waits; nothing of it is sent.
  bool send(const Frame& frame);
  // Bytes that a frame from there may have from now on.
  void set_max_frame_bytes(std::size_t most) { channel_.set_max_frame_bytes(most); }
  // Closes it, and tells nobody. `flush`: what waits is still written, for 0.2 s at the most.
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

// kNonce bytes that nobody can foretell.
std::string random_nonce();

}  // namespace nettlestand::duties
