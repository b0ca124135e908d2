#include "discovery/discovery.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "discovery/server_list_parser.h"

namespace nettlestand {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

// A change must be known here at the latest 6 s after discovery could have been asked, or after a watch fell
// silent, whatever happened in between. The timeouts detect a silent watch and abandon a failed call soon
// enough for another call within that time.
constexpr auto kConnectTimeout = std::chrono::seconds(2);
constexpr auto kResponseTimeout = std::chrono::seconds(3);  // includes waiting in discovery's queue
constexpr auto kSilenceTimeout = std::chrono::seconds(3);   // 1.5 times the interval of keep-alive lines, 2 s
constexpr std::size_t kMaxBytesPerServer = 512;             // in a list
// If all nodes retry more often after losing discovery, their calls overload it and all of them fail.
constexpr double kMinBackoffSeconds = 0.25, kMaxBackoffSeconds = 4;

}  // namespace

// One streaming request for server lists.
class Discovery::Watch : public std::enable_shared_from_this<Watch> {
 public:
  explicit Watch(Discovery& owner) : owner_(owner), stream_(owner.io_) {
    parser_.body_limit(boost::none);
    parser_.eager(true);
  }

  void start() {
    request_.method(http::verb::get);
    request_.target("/v1/servers?stream=1" +
                    (owner_.last_seq_ ? "&index=" + std::to_string(*owner_.last_seq_) : std::string()));
    request_.version(11);
    request_.set(http::field::host,
                 owner_.address_.address().to_string() + ":" + std::to_string(owner_.address_.port()));
    stream_.expires_after(kConnectTimeout);
    stream_.async_connect(owner_.address_, [self = shared_from_this()](const error_code& error) {
      if (error) return self->fail("connect: " + error.message());
      self->send_request();
    });
  }

  void close() {
    closed_ = true;
    stream_.close();
  }

 private:
  void send_request() {
    stream_.expires_after(kResponseTimeout);
    http::async_write(stream_, request_, [self = shared_from_this()](const error_code& error, std::size_t) {
      if (error) return self->fail("write: " + error.message());
      self->read_response_head();
    });
  }

  void read_response_head() {
    http::async_read_header(stream_, buffer_, parser_,
                            [self = shared_from_this()](const error_code& error, std::size_t) {
                              if (error) return self->fail("answer: " + error.message());
                              const unsigned status = self->parser_.get().result_int();
                              if (status != 200)
                                return self->fail("answer: status " + std::to_string(status));
                              self->process_lines();
                            });
  }

  // Discovery sends empty lines as keep-alives; a watch without any input for kSilenceTimeout counts as
  // failed.
  void read() {
    stream_.expires_after(kSilenceTimeout);
    http::async_read_some(stream_, buffer_, parser_,
                          [self = shared_from_this()](const error_code& error, std::size_t) {
                            if (error) return self->fail("watch: " + error.message());
                            self->process_lines();
                          });
  }

  // Processes complete lists only; a partial one is dropped with its connection.
  void process_lines() {
    splitter_.add(parser_.get().body());
    parser_.get().body().clear();
    while (const auto text = closed_ ? std::nullopt : splitter_.next()) {
      // A list that can't be parsed or applied must fail the watch, which would otherwise read no further.
      try {
        owner_.on_list_received(this, parse_server_list(*text, owner_.options_.zones));
      } catch (const std::exception& problem) {
        owner_.last_seq_.reset();  // request the full list, or the same line would be sent again
        return fail(std::string("watch: ") + problem.what());
      }
    }
    if (closed_) return;
    if (splitter_.buffered_bytes() > owner_.options_.max_servers * kMaxBytesPerServer)
      return fail("watch: list too long");
    if (parser_.is_done()) return fail("watch: closed by discovery");
    read();
  }

  void fail(const std::string& reason) {
    if (closed_) return;
    close();
    owner_.on_watch_failed(this, reason);
  }

  Discovery& owner_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  http::response_parser<http::string_body> parser_;
  ServerListSplitter splitter_;
  bool closed_ = false;
};

Discovery::Discovery(boost::asio::io_context& io, DiscoveryOptions options, Callbacks callbacks, Log log)
    : io_(io),
      options_(std::move(options)),
      callbacks_(std::move(callbacks)),
      log_(std::move(log)),
      address_(options_.address),
      last_seq_(options_.seq),
      random_(static_cast<std::minstd_rand::result_type>(options_.seed)),
      retry_timer_(io) {}

Discovery::~Discovery() { shut_down(); }

void Discovery::shut_down() {
  is_shut_down_ = true;
  retry_timer_.cancel();
  for (const std::shared_ptr<Watch>& watch :
       {std::exchange(current_, nullptr), std::exchange(next_, nullptr)}) {
    if (watch) watch->close();
  }
}

void Discovery::watch() {
  if (current_ || address_pending_ || is_shut_down_) return;
  current_ = std::make_shared<Watch>(*this);
  current_->start();
}

// Requests the full list from the new address at once, because its version numbers may differ from the old
// address's. The old watch and list stay in use until the new address has delivered a list.
void Discovery::set_address(const boost::asio::ip::tcp::endpoint& address) {
  if (is_shut_down_) return;
  if (address == address_) {  // the same address: retry at once if it is in backoff
    if (!address_pending_) return watch();
    if (next_) return;
  }
  const std::string to = address.address().to_string() + ":" + std::to_string(address.port());
  log_({LogLevel::kInfo, "discovery", "moved", "discovery: switching to " + to, {{"address", to}}});
  address_ = address;
  last_seq_.reset();
  address_pending_ = true;
  backoff_seconds_ = 0;
  retry_timer_.cancel();
  if (next_) next_->close();
  open_next_watch();
}

void Discovery::open_next_watch() {
  next_ = std::make_shared<Watch>(*this);
  next_->start();
}

// The backoff is jittered: all nodes lose discovery at once and must not return at once.
void Discovery::retry_after_backoff(std::function<void()> action) {
  // With auto_retry, discovery is an agent on the node's own host: calls are cheap, and a change there must
  // be known at once.
  backoff_seconds_ = std::clamp(backoff_seconds_ * 2, kMinBackoffSeconds,
                                options_.auto_retry ? kMinBackoffSeconds : kMaxBackoffSeconds);
  retry_timer_.expires_after(std::chrono::milliseconds(
      static_cast<int>(1000 * backoff_seconds_ * std::uniform_real_distribution<>(0.5, 1.0)(random_))));
  retry_timer_.async_wait([this, action = std::move(action)](const error_code& error) {
    if (!error && !is_shut_down_) action();
  });
}

void Discovery::on_list_received(Watch* which, ServerList&& list) {
  callbacks_.on_list(list);  // throws if it can't be applied; the watch is then not healthy
  if (which == next_.get()) {
    if (current_) current_->close();  // later lists of the old address are outdated
    current_ = std::exchange(next_, nullptr);
    address_pending_ = false;
  }
  if (!is_healthy_) log_({LogLevel::kInfo, "discovery", "heard", "discovery: heard again", {}});
  is_healthy_ = true;
  backoff_seconds_ = 0;
  if (!address_pending_) last_seq_ = list.seq;
}

void Discovery::on_watch_failed(const Watch* which, const std::string& reason) {
  if (which != current_.get() && which != next_.get()) return;
  if (is_healthy_)
    log_({LogLevel::kWarning,
          "discovery",
          "lost",
          "discovery: " + reason + "; the last list is kept",
          {{"why", reason}}});
  is_healthy_ = false;
  if (which == next_.get()) {  // opened by set_address(), so it is always retried here
    next_.reset();
    return retry_after_backoff([this] { open_next_watch(); });
  }
  current_.reset();
  if (address_pending_) return;
  if (options_.auto_retry) retry_after_backoff([this] { watch(); });
  callbacks_.on_failure();
}

}  // namespace nettlestand
