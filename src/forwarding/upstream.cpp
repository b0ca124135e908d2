#include "forwarding/upstream.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <limits>
#include <optional>
#include <utility>

#include "base/digest.h"
#include "forwarding/request_headers.h"
#include "messaging/tcp_messenger.h"
#include "node/log.h"

namespace nettlestand::tier {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr Millis kConnectTimeoutMs = 300;
// Idle timeout for servers that announce no Keep-Alive timeout: they may close within a second.
constexpr Millis kDefaultIdleMs = 500;
constexpr double kKeepAliveShare = 0.75;  // of the announced timeout, so that this side closes first
constexpr std::uint32_t kMaxHeadBytes = 64U << 10;
constexpr std::size_t kReadBufferBytes = 8U << 10;
constexpr std::size_t kMaxIdlePerServer = 64;
constexpr std::size_t kMaxCallsPerConnection = 256;  // a connection remembers the ids of all its calls

std::string_view view_of(beast::string_view text) { return {text.data(), text.size()}; }

// Parses an X-Server-Load value: calls running, calls waiting and slots, as in "3,0,8". False if it is
// malformed.
bool parse_load(std::string_view text, ResponseHead& head) {
  std::array<int, 3> values{};
  for (std::size_t i = 0; i < values.size(); ++i) {
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), values[i]);
    if (parsed.ec != std::errc()) return false;
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
    if (text.starts_with(',')) text.remove_prefix(1);
  }
  head.load_running = values[0];
  head.load_waiting = values[1];
  head.load_slots = values[2];
  return true;
}

// How long a connection may stay idle, from the response's Keep-Alive header.
Millis idle_timeout_of(const http::fields& fields) {
  const std::string_view text = view_of(fields[http::field::keep_alive]);
  const std::size_t at = text.find("timeout=");
  if (at == std::string_view::npos) return kDefaultIdleMs;
  int seconds = 0;
  std::from_chars(text.data() + at + 8, text.data() + text.size(), seconds);
  return std::max(kDefaultIdleMs, static_cast<Millis>(kKeepAliveShare * 1000 * seconds));
}

}  // namespace

class UpstreamConnectionPool::Connection : public UpstreamConnection {
 public:
  Connection(asio::io_context& io, std::shared_ptr<BodyIntegrityCounters> check,
             std::shared_ptr<CallCounters> counters)
      : stream_(io), check_(std::move(check)), counters_(std::move(counters)) {}

  asio::awaitable<bool> connect(std::string address, Millis deadline) {
    error_code error;
    set_timeout(std::min(deadline, steady_now() + kConnectTimeoutMs));
    co_await stream_.async_connect(parse_endpoint(address), asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return false;
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), error);
    co_return true;
  }

  asio::awaitable<bool> send(OutgoingRequest request, Millis deadline, bool& sent) override {
    request_id_ = request.id;
    carried_ids_.push_back(digest_of(request_id_));
    head_only_ = request.head_only;
    complete_ = false;
    read_error_ = {};
    if (!verify_body(request)) co_return false;
    error_code error;
    set_timeout(deadline);
    const std::size_t written = co_await asio::async_write(stream_, asio::buffer(request.bytes),
                                                           asio::redirect_error(asio::use_awaitable, error));
    sent = written > 0;
    const bool unchanged = verify_body(request);
    co_return !error && unchanged;
  }

  asio::awaitable<Read> read_head(ResponseHead& head, Millis deadline) override {
    for (;;) {
      parser_.emplace();
      parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
      parser_->header_limit(kMaxHeadBytes);
      if (head_only_) parser_->skip(true);
      error_code error;
      set_timeout(deadline);
      co_await http::async_read_header(stream_, buffer_, *parser_,
                                       asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return read_failure(error);
      const std::string_view id = view_of(parser_->get()["X-Request-Id"]);
      if (id == request_id_) break;
      // Servers echo the request id; a response without one may belong to any request.
      if (id.empty()) co_return Read::kBroken;
      // A connection that carried a response to another request may hold more of them, so it is not reused.
      has_foreign_response_ = true;
      counters_->count(CallEvent::kForeignResponse);
      const Read skipped = co_await skip_body(deadline);
      if (skipped != Read::kComplete || !parser_->keep_alive()) co_return Read::kBroken;
    }
    parse_head(head);
    co_return Read::kOk;
  }

  asio::awaitable<Read> read_some(std::string& bytes, Millis deadline) override {
    bytes.clear();
    if (read_error_) co_return read_failure(read_error_);
    while (bytes.empty()) {
      if (parser_->is_done()) {
        complete_ = !parser_->need_eof();
        co_return complete_ ? Read::kComplete : Read::kClosed;
      }
      std::array<char, kReadBufferBytes> chunk;
      auto& body = parser_->get().body();
      body.data = chunk.data();
      body.size = chunk.size();
      body.more = true;
      error_code error;
      set_timeout(deadline);
      co_await http::async_read_some(stream_, buffer_, *parser_,
                                     asio::redirect_error(asio::use_awaitable, error));
      bytes.append(chunk.data(), chunk.size() - body.size);
      if (error == http::error::need_buffer) error = {};
      read_error_ = error;  // reported after the bytes that precede it
      if (error && bytes.empty()) co_return read_failure(error);
    }
    co_return Read::kOk;
  }

  void cancel() override { stream_.close(); }

  bool is_reusable() const override {
    if (!complete_ || has_foreign_response_ || read_error_) return false;
    if (carried_ids_.size() >= kMaxCallsPerConnection) return false;
    return parser_ && parser_->keep_alive() && buffer_.size() == 0;
  }

  // Whether it has carried a request whose id has this digest.
  bool has_carried(std::uint64_t id_digest) const {
    return std::find(carried_ids_.begin(), carried_ids_.end(), id_digest) != carried_ids_.end();
  }
  // Whether an idle connection still looks usable: neither closed by the server nor holding unsolicited
  // bytes.
  bool looks_alive(Millis now) {
    if (now >= idle_until_) return false;
    char byte;
    const ssize_t got = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }
  // Prepares a connection whose call has ended for its time in the pool.
  void become_idle(Millis now) {
    idle_until_ = now + idle_timeout_of(parser_->get());
    stream_.expires_never();
    parser_.reset();
  }
  Millis idle_until() const { return idle_until_; }

 private:
  // Compares the body with its digest; logs and counts a difference.
  bool verify_body(const OutgoingRequest& request) {
    const std::string_view bytes = request.bytes;
    const bool same = request.body_size <= bytes.size() &&
                      digest_of(bytes.substr(bytes.size() - request.body_size)) == request.body_digest;
    if (same) return true;
    check_->record_mismatch(BodyCheckStep::kSend);
    NETTLESTAND_WARNING("request body does not match its digest id=" << request.id << " step="
                                                                     << name_of(BodyCheckStep::kSend));
    return false;
  }
  void set_timeout(Millis deadline) {
    stream_.expires_after(std::chrono::milliseconds(std::max<Millis>(deadline - steady_now(), 1)));
  }
  static Read read_failure(error_code error) {
    return error == beast::error::timeout ? Read::kTimedOut : Read::kBroken;
  }

  asio::awaitable<Read> skip_body(Millis deadline) {
    std::string ignored;
    for (;;) {
      const Read read = co_await read_some(ignored, deadline);
      if (read != Read::kOk) co_return read;
    }
  }

  void parse_head(ResponseHead& head) {
    const auto& message = parser_->get();
    head.status = static_cast<int>(message.result_int());
    head.has_length = parser_->content_length().has_value();
    head.length = parser_->content_length().value_or(0);
    for (const auto& field : message) {
      const std::string name(view_of(field.name_string())), value(view_of(field.value()));
      if (is_hop_by_hop_header(name)) continue;
      if (beast::iequals(field.name_string(), "X-Server-Load")) {
        parse_load(value, head);
        continue;
      }
      if (beast::iequals(field.name_string(), "X-Not-Executed")) head.not_executed = true;
      if (field.name() == http::field::content_type && value.starts_with("text/event-stream")) {
        head.is_event_stream = true;
      }
      head.headers.emplace_back(name, value);
    }
  }

  beast::tcp_stream stream_;
  std::shared_ptr<BodyIntegrityCounters> check_;
  std::shared_ptr<CallCounters> counters_;
  std::vector<std::uint64_t> carried_ids_;  // digests of the ids of all its requests
  beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::buffer_body>> parser_;
  std::string request_id_;
  error_code read_error_;
  bool head_only_ = false, complete_ = false, has_foreign_response_ = false;
  Millis idle_until_ = 0;
};

UpstreamConnectionPool::UpstreamConnectionPool(asio::io_context& io) : io_(io) {}
UpstreamConnectionPool::~UpstreamConnectionPool() = default;

std::shared_ptr<UpstreamConnectionPool::Connection> UpstreamConnectionPool::take_idle(
    const std::string& address, const std::string& request_id) {
  auto& idle = idle_[address];
  const std::uint64_t id_digest = digest_of(request_id);
  for (std::size_t at = idle.size(); at-- > 0;) {
    if (idle[at]->has_carried(id_digest)) {
      call_counters_->count(CallEvent::kRepeatedId);
      NETTLESTAND_DEBUG("connection passed over, it has carried the request's id id=" << request_id);
      continue;
    }
    std::shared_ptr<Connection> connection = std::move(idle[at]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(at));
    if (connection->looks_alive(steady_now())) return connection;
  }
  return nullptr;
}

asio::awaitable<UpstreamConnectionPtr> UpstreamConnectionPool::open(std::string address,
                                                                    std::string request_id, Millis deadline,
                                                                    bool force_new) {
  if (!force_new) {
    if (auto idle = take_idle(address, request_id)) co_return idle;
  }
  auto connection = std::make_shared<Connection>(io_, body_check_, call_counters_);
  if (!co_await connection->connect(address, deadline)) co_return nullptr;
  co_return connection;
}

void UpstreamConnectionPool::release(const std::string& address, UpstreamConnectionPtr connection) {
  auto released = std::static_pointer_cast<Connection>(std::move(connection));
  auto& idle = idle_[address];
  if (!released->is_reusable() || idle.size() >= kMaxIdlePerServer) return released->cancel();
  released->become_idle(steady_now());
  idle.push_back(std::move(released));
}

void UpstreamConnectionPool::close_idle(Millis now) {
  for (auto at = idle_.begin(); at != idle_.end();) {
    std::erase_if(at->second, [now](const auto& connection) { return connection->idle_until() <= now; });
    at = at->second.empty() ? idle_.erase(at) : std::next(at);
  }
}

}  // namespace nettlestand::tier
