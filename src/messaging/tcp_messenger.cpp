#include "messaging/tcp_messenger.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <chrono>
#include <deque>
#include <stdexcept>
#include <utility>
#include <vector>

#include "base/time.h"
#include "messaging/zmtp.h"

namespace nettlestand::tier {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr int kTcpUserTimeoutMs = 1500;      // a connection with data unacknowledged for longer is closed
constexpr Millis kConnectTimeoutMs = 800;    // to establish a connection
constexpr Millis kReconnectBackoffMs = 100;  // after a failure, before the next connection attempt
// Limits for bulk messages. For control messages both limits are twice as high, so that full queues of bulk
// messages don't block them. The largest message, a batch of job changes, fits the limit of a peer.
constexpr std::size_t kMaxQueuedBytesPerPeer = 12U << 20;
constexpr std::size_t kMaxTotalQueuedBytes = 24U << 20;
// Size from which on no further frame is added to one write to the socket, so that control messages can
// overtake queued bulk messages.
constexpr std::size_t kWriteChunkBytes = 64U << 10;
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);
constexpr std::size_t kReadBufferBytes = 16U << 10;
// What a connection may send before it has said who it is: a greeting and a READY command.
constexpr std::size_t kMaxHandshakeBytes = 4U << 10;
// Messages that take more leave a share of the memory to smaller ones.
constexpr std::size_t kLargeMessageBytes = 128U << 10;
constexpr std::size_t kSmallMessagesDivisor = 4;  // share of the budget that is left to them

void set_options(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(kTcpUserTimeoutMs),
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

// The connection that carries messages to one peer. It is opened by the first message and, after a failure,
// by the first message after the backoff.
class TcpMessenger::OutgoingConnection : public std::enable_shared_from_this<OutgoingConnection> {
 public:
  OutgoingConnection(asio::io_context& io, std::string peer, std::string own_address,
                     std::shared_ptr<std::size_t> total_queued_bytes)
      : socket_(io),
        timer_(io),
        peer_(std::move(peer)),
        own_address_(std::move(own_address)),
        total_queued_bytes_(std::move(total_queued_bytes)) {}

  void send(std::string_view message, Lane lane) {
    if (state_ == State::kIdle && steady_now() < next_connect_at_) return;
    const std::size_t times = lane == Lane::kControl ? 2 : 1;
    if (queued_bytes_ + message.size() > times * kMaxQueuedBytesPerPeer) return;
    if (*total_queued_bytes_ + message.size() > times * kMaxTotalQueuedBytes) return;
    std::string frame = zmtp_message(message);
    add_queued_bytes(frame.size());
    (lane == Lane::kControl ? control_frames_ : bulk_frames_).push_back(std::move(frame));
    if (state_ == State::kIdle) connect();
    if (state_ == State::kReady && !writing_) write();
  }
  void close() { fail(); }

 private:
  enum class State { kIdle, kConnecting, kReady };

  void connect() {
    state_ = State::kConnecting;
    socket_ = tcp::socket(socket_.get_executor());
    timer_.expires_after(std::chrono::milliseconds(kConnectTimeoutMs));
    timer_.async_wait([self = weak_from_this(), id = ++connection_id_](error_code error) {
      const auto connection = self.lock();
      if (!error && connection && connection->connection_id_ == id &&
          connection->state_ == State::kConnecting)
        connection->fail();
    });
    socket_.async_connect(parse_endpoint(peer_),
                          [self = shared_from_this(), id = connection_id_](error_code error) {
                            if (self->connection_id_ != id) return;
                            if (error) return self->fail();
                            self->on_connected();
                          });
  }

  void on_connected() {
    timer_.cancel();
    set_options(socket_);
    state_ = State::kReady;
    std::string opening = zmtp_greeting() + zmtp_ready("PUSH", own_address_);
    add_queued_bytes(opening.size());
    control_frames_.push_front(std::move(opening));
    watch_for_close();
    write();
  }

  // Reads and discards what the peer sends, which is only its handshake, to notice when the connection
  // closes.
  void watch_for_close() {
    socket_.async_read_some(asio::buffer(discard_buffer_),
                            [self = shared_from_this(), id = connection_id_](error_code error, std::size_t) {
                              if (self->connection_id_ != id) return;
                              if (error) return self->fail();
                              self->watch_for_close();
                            });
  }

  // Moves whole frames of a lane to the write buffer while it holds less than kWriteChunkBytes; the last
  // frame may exceed that size.
  void move_to_write_buffer(std::deque<std::string>& lane) {
    while (!lane.empty() && write_buffer_.size() < kWriteChunkBytes) {
      write_buffer_ += lane.front();
      lane.pop_front();
    }
  }

  // Writes the next chunk, control frames first, and continues until both queues are empty.
  void write() {
    move_to_write_buffer(control_frames_);
    move_to_write_buffer(bulk_frames_);
    if (write_buffer_.empty()) return;
    writing_ = true;
    asio::async_write(socket_, asio::buffer(write_buffer_),
                      [self = shared_from_this(), id = connection_id_](error_code error, std::size_t) {
                        if (self->connection_id_ != id) return;
                        self->writing_ = false;
                        self->subtract_queued_bytes(self->write_buffer_.size());
                        self->write_buffer_.clear();
                        if (error) return self->fail();
                        self->write();
                      });
  }

  // Closes the connection, drops all queued messages and starts the reconnect backoff.
  void fail() {
    ++connection_id_;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    state_ = State::kIdle;
    writing_ = false;
    subtract_queued_bytes(queued_bytes_);
    control_frames_.clear();
    bulk_frames_.clear();
    write_buffer_.clear();
    next_connect_at_ = steady_now() + kReconnectBackoffMs;
  }

  void add_queued_bytes(std::size_t bytes) {
    queued_bytes_ += bytes;
    *total_queued_bytes_ += bytes;
  }
  void subtract_queued_bytes(std::size_t bytes) {
    queued_bytes_ -= bytes;
    *total_queued_bytes_ -= bytes;
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  std::string peer_, own_address_, write_buffer_;
  std::deque<std::string> control_frames_, bulk_frames_;
  std::size_t queued_bytes_ = 0;                     // in both lanes and in the write in progress
  std::shared_ptr<std::size_t> total_queued_bytes_;  // to all peers; shared
  std::array<char, 256> discard_buffer_{};
  State state_ = State::kIdle;
  bool writing_ = false;
  unsigned connection_id_ = 0;  // changes on connect and failure; callbacks with an older one do nothing
  Millis next_connect_at_ = 0;
};

// A connection opened by a peer, which carries messages from it.
class TcpMessenger::IncomingConnection : public std::enable_shared_from_this<IncomingConnection> {
 public:
  using Registry = std::set<IncomingConnection*>;

  IncomingConnection(tcp::socket socket, const Handler& handler, std::shared_ptr<ByteBudget> budget,
                     std::shared_ptr<Registry> registry)
      : socket_(std::move(socket)),
        handler_(handler),
        budget_(std::move(budget)),
        memory_(budget_ ? ByteReservation(*budget_) : ByteReservation()),
        registry_(std::move(registry)) {
    registry_->insert(this);
  }
  ~IncomingConnection() { registry_->erase(this); }
  IncomingConnection(const IncomingConnection&) = delete;
  IncomingConnection& operator=(const IncomingConnection&) = delete;

  // Whether the peer has said at which address it listens.
  bool is_identified() const { return !peer_address_.empty(); }
  bool is_open() const { return socket_.is_open(); }
  Millis last_received_at() const { return last_received_at_; }
  void close() {
    error_code ignored;
    socket_.close(ignored);
  }

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
    socket_.async_read_some(asio::buffer(read_buffer_),
                            [self = shared_from_this()](error_code error, std::size_t size) {
                              if (!error && self->on_bytes({self->read_buffer_.data(), size})) self->read();
                            });
  }

  // Decodes received bytes. Returns false if the connection has to end: after a protocol error, and if there
  // is no memory left for a message that is not whole; its sender repeats what must arrive.
  bool on_bytes(std::string_view bytes) {
    last_received_at_ = steady_now();
    decoder_.feed(bytes);
    ZmtpFrame frame;
    for (;;) {
      switch (decoder_.next(frame)) {
        case ZmtpDecoder::Result::kNeedMore:
          return reserve_memory();
        case ZmtpDecoder::Result::kError:
          return false;
        case ZmtpDecoder::Result::kFrame:
          if (!handle_frame(frame)) return false;
      }
    }
  }

  // Reserves the memory of the bytes that wait for the rest of their frame.
  bool reserve_memory() {
    const std::size_t bytes = decoder_.memory_bytes();
    if (peer_address_.empty() && bytes > kMaxHandshakeBytes + kReadBufferBytes) return false;
    const bool large = budget_ && bytes > kLargeMessageBytes;
    memory_.shrink_to(bytes);
    return memory_.grow_to(bytes, large ? budget_->size() / kSmallMessagesDivisor : 0);
  }

  // Returns false on a protocol error: a message before the peer's address, or one of several frames.
  bool handle_frame(const ZmtpFrame& frame) {
    if (frame.is_command) {
      if (const auto address = zmtp_ready_property(frame.body, "X-Address")) peer_address_ = *address;
      return true;
    }
    if (peer_address_.empty() || frame.has_more) return false;
    handler_(peer_address_, frame.body);
    return true;
  }

  tcp::socket socket_;
  const Handler& handler_;
  std::shared_ptr<ByteBudget> budget_;
  ByteReservation memory_;
  std::shared_ptr<Registry> registry_;
  Millis last_received_at_ = steady_now();
  ZmtpDecoder decoder_;
  std::string peer_address_, greeting_;
  std::array<char, kReadBufferBytes> read_buffer_{};
};

TcpMessenger::TcpMessenger(asio::io_context& io, const std::string& own_address, Handler handler,
                           IncomingLimits incoming_limits)
    : io_(io),
      own_address_(own_address),
      handler_(std::move(handler)),
      incoming_limits_(std::move(incoming_limits)),
      acceptor_(io),
      accept_retry_timer_(io) {}

// NOLINTNEXTLINE(bugprone-exception-escape): Asio's cancel throws only where its event loop is gone.
TcpMessenger::~TcpMessenger() {
  for (auto& [address, connection] : outgoing_connections_) connection->close();
}

void TcpMessenger::listen() {
  const tcp::endpoint endpoint = parse_endpoint(own_address_);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  accept();
}

void TcpMessenger::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      open_incoming(std::move(socket));
      return accept();
    }
    // Out of file descriptors: other connections will be closed soon.
    accept_retry_timer_.expires_after(kAcceptRetryDelay);
    accept_retry_timer_.async_wait([this](error_code cancelled) {
      if (!cancelled) accept();
    });
  });
}

void TcpMessenger::open_incoming(tcp::socket socket) {
  std::make_shared<IncomingConnection>(std::move(socket), handler_, incoming_limits_.memory,
                                       incoming_connections_)
      ->start();
  if (incoming_connections_->size() <=
      std::min(incoming_limits_.max_unidentified, incoming_limits_.max_identified))
    return;
  close_surplus(false, incoming_limits_.max_unidentified);
  close_surplus(true, incoming_limits_.max_identified);
}

void TcpMessenger::close_surplus(bool identified, std::size_t limit) {
  std::vector<IncomingConnection*> connections;
  for (IncomingConnection* connection : *incoming_connections_) {
    if (connection->is_open() && connection->is_identified() == identified) connections.push_back(connection);
  }
  if (connections.size() <= limit) return;
  const auto surplus = connections.begin() + static_cast<std::ptrdiff_t>(connections.size() - limit);
  const auto is_longer_silent = [](const IncomingConnection* a, const IncomingConnection* b) {
    return a->last_received_at() < b->last_received_at();
  };
  std::nth_element(connections.begin(), surplus, connections.end(), is_longer_silent);
  std::for_each(connections.begin(), surplus, [](IncomingConnection* connection) { connection->close(); });
}

void TcpMessenger::send(const std::string& address, std::string_view message, Lane lane) {
  if (address == own_address_) {
    asio::post(io_, [this, body = std::string(message)] { handler_(own_address_, body); });
    return;
  }
  auto& connection = outgoing_connections_[address];
  if (!connection) {
    try {
      parse_endpoint(address);
    } catch (const std::invalid_argument&) {  // the address came from a peer; the message is dropped
      outgoing_connections_.erase(address);
      return;
    }
    connection = std::make_shared<OutgoingConnection>(io_, address, own_address_, queued_bytes_);
  }
  connection->send(message, lane);
}

}  // namespace nettlestand::tier
