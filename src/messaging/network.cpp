#include "messaging/network.h"

#include <netinet/tcp.h>

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <chrono>
#include <deque>
#include <stdexcept>
#include <utility>

#include "base/time.h"
#include "messaging/zmtp.h"

namespace nettlestand::tier {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr int kUserTimeoutMs = 1500;       // unacknowledged bytes end a connection after this long
constexpr Millis kConnectTimeoutMs = 800;  // for a connection to come up
constexpr Millis kReconnectPauseMs = 100;  // after a failure, before a peer is dialed again
// Of bulk messages. Control messages may fill as much again.
constexpr std::size_t kMaxPeerBytes = 12U << 20;  // the largest message, a batch of job changes, fits
constexpr std::size_t kMaxQueuedBytes = 24U << 20;
constexpr std::size_t kWriteBytes = 64U
                                    << 10;  // handed to the socket at a time, so that control messages pass
constexpr std::size_t kReadBytes = 16U << 10;

void set_options(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(kUserTimeoutMs),
                    ignored);
}

}  // namespace

tcp::endpoint parse_endpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  unsigned port = 0;
  if (colon != std::string::npos) {
    const char* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (parsed.ptr != end) port = 0;
  }
  if (error || port == 0 || port > 65535)
    throw std::invalid_argument("not an address with a port: " + address);
  return {ip, static_cast<std::uint16_t>(port)};
}

// The connection to one peer that carries messages to it.
class Network::Outgoing : public std::enable_shared_from_this<Outgoing> {
 public:
  Outgoing(asio::io_context& io, std::string peer, std::string own, std::shared_ptr<std::size_t> total)
      : socket_(io), timer_(io), peer_(std::move(peer)), own_(std::move(own)), total_(std::move(total)) {}

  void send(std::string_view message, Lane lane) {
    if (state_ == State::kIdle && steady_now() < next_dial_) return;
    const std::size_t times = lane == Lane::kControl ? 2 : 1;
    if (queued_ + message.size() > times * kMaxPeerBytes) return;
    if (*total_ + message.size() > times * kMaxQueuedBytes) return;
    std::string frame = zmtp_message(message);
    add_queued(frame.size());
    (lane == Lane::kControl ? control_ : bulk_).push_back(std::move(frame));
    if (state_ == State::kIdle) dial();
    if (state_ == State::kReady && !writing_) write();
  }
  void close() { fail(); }

 private:
  enum class State { kIdle, kConnecting, kReady };

  void dial() {
    state_ = State::kConnecting;
    socket_ = tcp::socket(socket_.get_executor());
    timer_.expires_after(std::chrono::milliseconds(kConnectTimeoutMs));
    timer_.async_wait([self = weak_from_this(), life = ++life_](error_code error) {
      const auto link = self.lock();
      if (!error && link && link->life_ == life && link->state_ == State::kConnecting) link->fail();
    });
    socket_.async_connect(parse_endpoint(peer_), [self = shared_from_this(), life = life_](error_code error) {
      if (self->life_ != life) return;
      if (error) return self->fail();
      self->connected();
    });
  }

  void connected() {
    timer_.cancel();
    set_options(socket_);
    state_ = State::kReady;
    std::string opening = zmtp_greeting() + zmtp_ready("PUSH", own_);
    add_queued(opening.size());
    control_.push_front(std::move(opening));
    watch();
    write();
  }

  // The peer sends only its greeting; an end of the stream tells that the connection is gone.
  void watch() {
    socket_.async_read_some(asio::buffer(sink_),
                            [self = shared_from_this(), life = life_](error_code error, std::size_t) {
                              if (self->life_ != life) return;
                              if (error) return self->fail();
                              self->watch();
                            });
  }

  // Whole frames of a lane, the control lane first, and no more of them at once than kWriteBytes beyond one.
  void take_frames(std::deque<std::string>& lane) {
    while (!lane.empty() && out_.size() < kWriteBytes) {
      out_ += lane.front();
      lane.pop_front();
    }
  }

  void write() {
    take_frames(control_);
    take_frames(bulk_);
    if (out_.empty()) return;
    writing_ = true;
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this(), life = life_](error_code error, std::size_t) {
                        if (self->life_ != life) return;
                        self->writing_ = false;
                        self->take_queued(self->out_.size());
                        self->out_.clear();
                        if (error) return self->fail();
                        self->write();
                      });
  }

  void fail() {
    ++life_;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    state_ = State::kIdle;
    writing_ = false;
    take_queued(queued_);
    control_.clear();
    bulk_.clear();
    out_.clear();
    next_dial_ = steady_now() + kReconnectPauseMs;
  }

  void add_queued(std::size_t bytes) {
    queued_ += bytes;
    *total_ += bytes;
  }
  void take_queued(std::size_t bytes) {
    queued_ -= bytes;
    *total_ -= bytes;
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  std::string peer_, own_, out_;
  std::deque<std::string> control_, bulk_;  // frames
  std::size_t queued_ = 0;                  // bytes of these, and of what is being written
  std::shared_ptr<std::size_t> total_;      // of all peers
  std::array<char, 256> sink_{};
  State state_ = State::kIdle;
  bool writing_ = false;
  unsigned life_ = 0;
  Millis next_dial_ = 0;
};

// A connection that a peer has made, which carries its messages.
class Network::Incoming : public std::enable_shared_from_this<Incoming> {
 public:
  Incoming(tcp::socket socket, const Handler& handler) : socket_(std::move(socket)), handler_(handler) {}

  void start() {
    set_options(socket_);
    greeting_ = zmtp_greeting() + zmtp_ready("PULL", "");
    asio::async_write(socket_, asio::buffer(greeting_),
                      [self = shared_from_this()](error_code error, std::size_t) {
                        if (!error) self->read();
                      });
  }

 private:
  void read() {
    socket_.async_read_some(asio::buffer(bytes_),
                            [self = shared_from_this()](error_code error, std::size_t size) {
                              if (!error && self->received({self->bytes_.data(), size})) self->read();
                            });
  }

  bool received(std::string_view bytes) {
    decoder_.feed(bytes);
    ZmtpFrame frame;
    for (;;) {
      switch (decoder_.next(frame)) {
        case ZmtpDecoder::Result::kNeedMore:
          return true;
        case ZmtpDecoder::Result::kError:
          return false;
        case ZmtpDecoder::Result::kFrame:
          if (!take(frame)) return false;
      }
    }
  }

  // False where the peer does not keep to the protocol.
  bool take(const ZmtpFrame& frame) {
    if (frame.command) {
      if (const auto address = zmtp_ready_property(frame.body, "X-Address")) from_ = *address;
      return true;
    }
    if (from_.empty() || frame.more) return false;
    handler_(from_, frame.body);
    return true;
  }

  tcp::socket socket_;
  const Handler& handler_;
  ZmtpDecoder decoder_;
  std::string from_, greeting_;
  std::array<char, kReadBytes> bytes_{};
};

Network::Network(asio::io_context& io, const std::string& own_address, Handler handler)
    : io_(io), own_address_(own_address), handler_(std::move(handler)), acceptor_(io) {}

// NOLINTNEXTLINE(bugprone-exception-escape): Asio's cancel throws only where its event loop is gone.
Network::~Network() {
  for (auto& [address, link] : outgoing_) link->close();
}

void Network::listen() {
  const tcp::endpoint endpoint = parse_endpoint(own_address_);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  accept();
}

void Network::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) std::make_shared<Incoming>(std::move(socket), handler_)->start();
    accept();
  });
}

void Network::send(const std::string& address, std::string_view message, Lane lane) {
  if (address == own_address_) {
    asio::post(io_, [this, body = std::string(message)] { handler_(own_address_, body); });
    return;
  }
  auto& link = outgoing_[address];
  if (!link) {
    try {
      parse_endpoint(address);
    } catch (const std::invalid_argument&) {  // told by a peer: nothing to send to
      outgoing_.erase(address);
      return;
    }
    link = std::make_shared<Outgoing>(io_, address, own_address_, queued_bytes_);
  }
  link->send(message, lane);
}

}  // namespace nettlestand::tier
