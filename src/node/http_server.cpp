#include "node/http_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "base/digest.h"
#include "messaging/tcp_messenger.h"
#include "node/log.h"

namespace nettlestand::tier {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr Millis kWriteTimeoutMs = 8000;  // for a client to receive what was written
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);
constexpr auto kLingerTimeout = std::chrono::milliseconds(500);
constexpr int kServiceUnavailable = 503;
const char* const kRejectedRetryAfter = "0.1";  // seconds; another node can serve the retry at once
const char* const kNoMemoryRetryAfter = "0.5";  // seconds; requests that arrive slowly have timed out soon
// Limit on what is buffered of a client's next requests while one is being answered. If the client has sent
// more, it is not noticed that it closes its connection.
constexpr std::size_t kMaxPipelinedBytes = 64U << 10;
constexpr std::size_t kPipelinedReadBytes = 4U << 10;
constexpr std::size_t kFirstReadBytes = 2U << 10;  // of a request; most heads fit
constexpr std::size_t kMaxReadBytes = 64U << 10;   // of a body at once
// Memory of a connection besides its buffer: the session, its coroutines and its socket.
constexpr std::size_t kConnectionBytes = 8U << 10;
// Memory of a header besides its text, which is held twice while a request is read.
constexpr std::size_t kHeaderOverheadBytes = 192;
constexpr std::size_t kMaxRestingBufferBytes = 16U << 10;  // a larger buffer is freed after the response
// Requests that take more leave a share of the memory to smaller ones.
constexpr std::size_t kLargeRequestBytes = 64U << 10;
constexpr std::size_t kSmallRequestsDivisor = 4;  // share of the budget that is left to them
// Smallest limit on the read buffer, whatever the configuration allows a head.
constexpr std::uint64_t kMinBufferBytes = kMaxPipelinedBytes + kPipelinedReadBytes;

// What a connection may buffer. The parser takes the body out of the buffer as it arrives, but needs each of
// these whole in it: a head, the line before a chunk with its extensions, and all trailers.
std::size_t max_buffer_bytes(const HttpLimits& limits) {
  return std::max(kMinBufferBytes, limits.max_header_bytes + kPipelinedReadBytes);
}

std::string_view to_string_view(beast::string_view text) { return {text.data(), text.size()}; }

bool header_names_equal(std::string_view a, std::string_view b) {
  return beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

int status_of(error_code error) {
  if (error == http::error::header_limit || error == http::error::buffer_overflow) return 431;
  if (error == http::error::body_limit) return 413;
  if (error == beast::error::timeout) return 408;
  return 400;
}

std::size_t memory_of(const HeaderList& headers) {
  std::size_t bytes = 0;
  for (const auto& [name, value] : headers) bytes += kHeaderOverheadBytes + 2 * (name.size() + value.size());
  return bytes;
}

// Memory that the body takes so far. The room for one whose length is known is untouched until it arrives.
std::size_t memory_of_body(const http::request_parser<http::string_body>& parser) {
  const std::string& body = parser.get().body();
  return parser.chunked() ? body.capacity() : body.size();
}

void append_hex(std::string& out, std::size_t value) {
  char digits[2 * sizeof(value)];
  std::size_t count = 0;
  do {
    digits[count++] = "0123456789abcdef"[value % 16];
    value /= 16;
  } while (value != 0);
  while (count > 0) out.push_back(digits[--count]);
}

}  // namespace

std::string_view HttpRequest::header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (header_names_equal(key, name)) return value;
  }
  return {};
}

std::string HttpRequest::query(std::string_view name) const {
  const std::size_t question_mark = target.find('?');
  std::string_view rest = question_mark == std::string::npos
                              ? std::string_view()
                              : std::string_view(target).substr(question_mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name)
      return std::string(pair.substr(equals + 1));
  }
  return {};
}

std::string HttpRequest::host() const {
  const std::string_view value = header("Host");
  return std::string(value.substr(0, value.find(':')));
}

// One connection, and the exchange for the request on it that is being answered.
class HttpServer::Session : public HttpExchange, public std::enable_shared_from_this<Session> {
 public:
  Session(HttpServer& server, tcp::socket socket)
      : server_(server),
        sessions_(server.sessions_),
        budget_(server.resources_.memory),
        memory_(budget_ ? ByteReservation(*budget_) : ByteReservation()),
        stream_(std::move(socket)) {
    sessions_->insert(this);
  }
  ~Session() override { sessions_->erase(this); }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  asio::awaitable<void> run() {
    const auto self = shared_from_this();
    error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    while (open_) {
      if (!co_await read_request()) {
        buffer_.clear();
        release_request();
        break;
      }
      ++server_.active_requests_;
      set_state(State::kAnswering);
      responded_ = false;
      watch_for_disconnect();
      if (server_.rejecting_) {
        co_await respond_unavailable(kRejectedRetryAfter);
      } else {
        co_await server_.handler_(shared_from_this());
      }
      current_watch_ = 0;
      on_disconnect = nullptr;
      stream_.socket().cancel(ignored);
      --server_.active_requests_;
      release_request();
      const bool may_rest = !server_.rejecting_ || buffer_.size() > 0;
      if (!responded_ || !may_rest) break;
    }
    co_await close();
  }

  asio::awaitable<void> respond(int status, HeaderList headers, std::string body) override {
    std::string out = response_head(status, headers);
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (request.method == "HEAD") body.clear();
    co_await write_all(std::move(out), std::move(body));
    responded_ = true;
  }

  bool reserve_memory(std::size_t bytes) override {
    work_bytes_ += bytes;
    if (grow_reservation()) return true;
    work_bytes_ -= bytes;
    return false;
  }

  asio::awaitable<bool> start(int status, const HeaderList& headers, bool has_length,
                              std::uint64_t length) override {
    chunked_ = !has_length;
    std::string out = response_head(status, headers);
    out += has_length ? "Content-Length: " + std::to_string(length) + "\r\n\r\n"
                      : "Transfer-Encoding: chunked\r\n\r\n";
    co_return co_await write_all(std::move(out));
  }

  asio::awaitable<bool> write(std::string_view bytes) override {
    if (bytes.empty() || request.method == "HEAD") co_return open_;
    std::string out;
    out.reserve(bytes.size() + 16);
    if (chunked_) {
      append_hex(out, bytes.size());
      out += "\r\n";
    }
    out += bytes;
    if (chunked_) out += "\r\n";
    co_return co_await write_all(std::move(out));
  }

  asio::awaitable<void> finish() override {
    if (chunked_) co_await write_all("0\r\n\r\n");
    responded_ = true;
  }

  // How useful a connection is, least first.
  enum class State { kClosing, kIdle, kReading, kAnswering };
  State state() const { return state_; }
  Millis state_since() const { return state_since_; }
  bool has_socket() const { return stream_.socket().is_open(); }

  // Closes the connection if it is waiting for its next request.
  void close_if_idle() {
    if (state_ != State::kIdle) return;
    open_ = false;
    stream_.cancel();
  }

  void abort() override {
    open_ = false;
    aborted_ = true;
    stream_.close();
  }

 private:
  void set_state(State state) {
    state_ = state;
    state_since_ = steady_now();
  }
  void expire_after(Millis time) { stream_.expires_after(std::chrono::milliseconds(time)); }

  // Memory that this connection holds, also for the request that is being read or answered.
  std::size_t held_bytes() const {
    return kConnectionBytes + buffer_.capacity() + request_bytes_ + work_bytes_;
  }

  bool grow_reservation() {
    const std::size_t bytes = held_bytes();
    const bool large = budget_ && bytes > kLargeRequestBytes;
    return memory_.grow_to(bytes, large ? budget_->size() / kSmallRequestsDivisor : 0);
  }

  // Frees what the request has taken, so that a connection that rests holds little.
  void release_request() {
    request = HttpRequest();
    request_bytes_ = work_bytes_ = 0;
    if (buffer_.size() == 0 && buffer_.capacity() > kMaxRestingBufferBytes) buffer_.shrink_to_fit();
    memory_.shrink_to(held_bytes());
  }

  // Waits for the first bytes of a request. False if the client sends none.
  asio::awaitable<bool> wait_for_request(Millis idle_timeout) {
    if (buffer_.size() > 0) co_return true;
    error_code error;
    set_state(State::kIdle);
    expire_after(idle_timeout);
    const std::size_t size = co_await stream_.async_read_some(
        buffer_.prepare(kFirstReadBytes), asio::redirect_error(asio::use_awaitable, error));
    buffer_.commit(size);
    co_return !error;
  }

  asio::awaitable<bool> read_request() {
    const HttpLimits limits = server_.limits_();
    buffer_.max_size(std::max(max_buffer_bytes(limits), buffer_.size()));
    if (!co_await wait_for_request(limits.idle_timeout)) co_return false;
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    parser.body_limit(limits.max_body_bytes);
    HeaderList headers;  // copied before the body is read, so that trailers never count as headers
    std::size_t header_bytes = 0;
    error_code error;
    set_state(State::kReading);
    expire_after(limits.header_timeout);
    while (!error && !parser.is_done()) {
      request_bytes_ = header_bytes + memory_of_body(parser);
      if (!grow_reservation()) co_return co_await refuse_for_memory();
      const bool had_header = parser.is_header_done();
      error = co_await parse_more(parser);
      if (error || had_header || !parser.is_header_done()) continue;
      headers = headers_of(parser.get());
      header_bytes = memory_of(headers);
      parser.eager(true);
      expire_after(limits.header_timeout);
    }
    if (error) {
      if (is_protocol_error(error) || error == beast::error::timeout) co_await refuse(status_of(error));
      co_return false;
    }
    request_bytes_ = header_bytes + memory_of_body(parser);
    if (!grow_reservation()) co_return co_await refuse_for_memory();
    set_request(parser.release(), std::move(headers));
    co_return true;
  }

  // Parses what is buffered; if that is not enough for the next part of the request, reads more.
  asio::awaitable<error_code> parse_more(http::request_parser<http::string_body>& parser) {
    error_code error;
    if (buffer_.size() > 0) {
      buffer_.consume(parser.put(buffer_.data(), error));
      if (error != http::error::need_more) co_return error;
      error = {};
    }
    const std::size_t room = buffer_.max_size() - buffer_.size();
    if (room == 0) co_return http::error::buffer_overflow;
    const auto space = buffer_.prepare(std::min(room, read_size(parser)));
    const std::size_t size =
        co_await stream_.async_read_some(space, asio::redirect_error(asio::use_awaitable, error));
    buffer_.commit(size);
    if (error == asio::error::eof) co_return http::error::partial_message;
    co_return error;
  }

  // How much to read at once for the rest of a request.
  std::size_t read_size(const http::request_parser<http::string_body>& parser) const {
    const std::size_t spare = std::max(kFirstReadBytes, buffer_.capacity() - buffer_.size());
    if (!parser.is_header_done()) return spare;
    const std::uint64_t rest = parser.content_length_remaining().value_or(kMaxRestingBufferBytes);
    return std::max<std::size_t>(spare, std::min<std::uint64_t>(rest, kMaxReadBytes));
  }

  static bool is_protocol_error(error_code error) {
    return error.category() == http::make_error_code(http::error::bad_method).category();
  }

  static HeaderList headers_of(const http::fields& fields) {
    HeaderList out;
    for (const auto& field : fields) {
      out.emplace_back(std::string(to_string_view(field.name_string())),
                       std::string(to_string_view(field.value())));
    }
    return out;
  }

  void set_request(http::request<http::string_body> message, HeaderList headers) {
    keep_alive_ = message.keep_alive();
    request = HttpRequest();
    request.method = std::string(to_string_view(message.method_string()));
    request.target = std::string(to_string_view(message.target()));
    request.received_at = steady_now();
    request.headers = std::move(headers);
    request.body = std::move(message.body());
    request.body_digest = digest_of(request.body);
  }

  asio::awaitable<void> respond_unavailable(const char* retry_after) {
    HeaderList headers;
    headers.emplace_back("Retry-After", retry_after);
    co_await respond(kServiceUnavailable, std::move(headers), std::string());
  }

  // Refuses a request that has not been received whole, as the process has no memory left for it.
  asio::awaitable<bool> refuse_for_memory() {
    keep_alive_ = false;
    co_await respond_unavailable(kNoMemoryRetryAfter);
    co_return false;
  }

  asio::awaitable<void> refuse(int status) {
    if (aborted_) co_return;
    keep_alive_ = false;
    co_await respond(status, {}, "");
  }

  std::string response_head(int status, const HeaderList& headers) {
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    std::string out =
        "HTTP/1.1 " + std::to_string(status) + " " + std::string(to_string_view(reason)) + "\r\n";
    for (const auto& [name, value] : headers) out.append(name).append(": ").append(value).append("\r\n");
    if (!keep_alive_ || server_.draining_) {
      out += "Connection: close\r\n";
      open_ = false;
    }
    return out;
  }

  asio::awaitable<bool> write_all(std::string bytes, std::string more = {}) {
    if (aborted_) co_return false;
    error_code error;
    expire_after(kWriteTimeoutMs);
    const std::array<asio::const_buffer, 2> parts = {asio::buffer(bytes), asio::buffer(more)};
    co_await asio::async_write(stream_, parts, asio::redirect_error(asio::use_awaitable, error));
    if (error) abort();
    co_return !error;
  }

  // Detects that the client closes its connection while a request is being answered. What the client sends
  // meanwhile, its pipelined requests, is buffered.
  void watch_for_disconnect() {
    const unsigned watch_id = current_watch_ = ++last_watch_;
    wait_until_readable(watch_id);
  }

  void wait_until_readable(unsigned watch_id) {
    stream_.socket().async_wait(tcp::socket::wait_read,
                                [self = shared_from_this(), watch_id](error_code error) {
                                  if (error || self->current_watch_ != watch_id || self->aborted_) return;
                                  if (self->buffer_pipelined_bytes())
                                    return self->wait_until_readable(watch_id);
                                  if (self->buffer_.size() >= kMaxPipelinedBytes) return;
                                  self->abort();
                                  if (self->on_disconnect) self->on_disconnect();
                                });
  }

  // False if the client has closed its connection, or has sent more than is buffered.
  bool buffer_pipelined_bytes() {
    if (buffer_.size() >= kMaxPipelinedBytes) return false;
    const auto space = buffer_.prepare(kPipelinedReadBytes);
    const ssize_t got = ::recv(stream_.socket().native_handle(), space.data(), space.size(), MSG_DONTWAIT);
    if (got > 0) buffer_.commit(static_cast<std::size_t>(got));
    return got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR));
  }

  // Closes gracefully: the client still receives what was written, and what it still sends is discarded for a
  // short time.
  asio::awaitable<void> close() {
    if (aborted_) co_return;
    set_state(State::kClosing);
    error_code error;
    stream_.socket().shutdown(tcp::socket::shutdown_send, error);
    stream_.expires_after(kLingerTimeout);
    char sink[512];
    while (!error) {
      co_await stream_.async_read_some(asio::buffer(sink), asio::redirect_error(asio::use_awaitable, error));
    }
    stream_.close();
  }

  HttpServer& server_;
  std::shared_ptr<std::set<Session*>> sessions_;
  std::shared_ptr<ByteBudget> budget_;
  ByteReservation memory_;
  std::size_t request_bytes_ = 0, work_bytes_ = 0;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  bool open_ = true, aborted_ = false, keep_alive_ = true, chunked_ = false, responded_ = false;
  State state_ = State::kIdle;
  Millis state_since_ = steady_now();
  unsigned current_watch_ = 0, last_watch_ = 0;
};

HttpServer::HttpServer(asio::io_context& io, std::string address, std::function<HttpLimits()> limits,
                       Handler handler, HttpResources resources)
    : io_(io),
      address_(std::move(address)),
      limits_(std::move(limits)),
      handler_(std::move(handler)),
      resources_(std::move(resources)),
      acceptor_(io) {}

HttpServer::~HttpServer() = default;

void HttpServer::listen() {
  const tcp::endpoint endpoint = parse_endpoint(address_);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(1024);
  asio::co_spawn(
      io_, [this] { return accept(); }, asio::detached);
}

void HttpServer::reject_new_requests() {
  rejecting_ = true;
  for (Session* session : *sessions_) session->close_if_idle();
}

bool HttpServer::make_room() {
  std::size_t open = 0;
  Session* least_useful = nullptr;
  const auto usefulness = [](const Session& session) {
    return std::make_pair(session.state(), session.state_since());
  };
  for (Session* session : *sessions_) {
    if (!session->has_socket()) continue;
    ++open;
    if (least_useful == nullptr || usefulness(*session) < usefulness(*least_useful)) least_useful = session;
  }
  if (open < resources_.max_connections) return true;
  if (least_useful == nullptr || least_useful->state() == Session::State::kAnswering) return false;
  least_useful->abort();
  return true;
}

asio::awaitable<void> HttpServer::accept() {
  for (;;) {
    error_code error;
    tcp::socket socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) co_return;
    if (error) {  // out of file descriptors: other connections will be closed soon
      asio::steady_timer timer(io_, kAcceptRetryDelay);
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    if (sessions_->size() >= resources_.max_connections && !make_room()) continue;
    const auto session = std::make_shared<Session>(*this, std::move(socket));
    asio::co_spawn(
        io_, [session] { return session->run(); }, asio::detached);
  }
}

}  // namespace nettlestand::tier
