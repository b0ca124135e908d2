#include "http/listener.h"

#include <poll.h>

#include <algorithm>
#include <boost/beast/http/verb.hpp>
#include <cerrno>
#include <cstdio>
#include <exception>
#include <string>
#include <string_view>
#include <utility>

#include "http/request_reader.h"
#include "http/responses.h"
#include "util/clock.h"

namespace nettlestand {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kMaxOtherBodyBytes = 64 * 1024;   // of a request that is not for /api
constexpr std::size_t kMaxPipelinedBytes = 8 * 1024;    // kept of further requests while one is pending
constexpr std::size_t kMaxCopiedBodyBytes = 4 * 1024;   // larger bodies are written separately from the head
constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;  // after the last response
constexpr double kEndingTimeoutSeconds = 1;             // for a client to close after its last response
constexpr double kEvictionGraceSeconds = 0.25;          // new connections and requests being read are spared
constexpr int kMaxEvictionCandidates = 16;              // examined per list for one eviction
constexpr auto kSweepPeriod = std::chrono::milliseconds(200);
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);  // avoids a busy loop after a failed accept

}  // namespace

// A caller's connection, which handles one request at a time.
class Listener::Connection final : public std::enable_shared_from_this<Connection>,
                                   public Caller,
                                   public Poller::Watcher {
 public:
  Connection(Listener& listener, Socket socket)
      : listener_(listener),
        socket_(std::move(socket)),
        reader_(listener.request_validator_, listener.budget_, kMaxOtherBodyBytes) {
    ++listener_.connection_count_;
  }
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void start() {
    poller_key_ = listener_.poller_.add(socket_.descriptor(), *this);
    if (poller_key_ == 0) return;
    enter(State::kUnused);
  }

  // Reads a last time: complete requests get a response, and an incomplete one gets an error.
  void end_reading() {
    const auto self = shared_from_this();
    run_guarded([&] {
      read();
      if (state_ == State::kUnused || state_ == State::kIdle || state_ == State::kReading) end_if_overdue(0);
    });
  }

  // Ends the connection unless a request is being read, is pending or is being answered.
  bool end_if_idle() {
    if (state_ != State::kIdle && state_ != State::kUnused) return false;
    char byte = 0;
    // Bytes not read yet belong to a request that this host has already acknowledged.
    if (socket_.read(&byte, 1, MSG_PEEK) > 0) return false;
    end();
    return true;
  }

  // Ends the connection, with a 408 for an incomplete request, if it has exceeded the time limit.
  bool end_if_overdue(double limit) {
    if (now() - (has_answered_ ? state_since_ : connected_at_) < limit) return false;
    static constexpr std::string_view kRequestTimeoutResponse =
        "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    if (state_ == State::kReading) socket_.write(kRequestTimeoutResponse, {});
    end();
    return true;
  }

  // Shuts the connection down in order. Closing a socket with unread bytes would reset the connection, which
  // may destroy a response that the client has not read yet. Further input is therefore discarded for a
  // while. A request that crosses the shutdown is never parsed, so its client may send it again.
  void end() {
    reader_.reset();
    socket_.shutdown_send();
    std::string().swap(in_);
    enter(State::kEnding);
    read();
  }

  // Closes the connection if the client has probably seen its end.
  bool close_if_end_seen() {
    if (!socket_.is_end_acknowledged() && now() - state_since_ < kEvictionGraceSeconds) return false;
    run_guarded([this] { read(); });  // closing with unread bytes would reset the connection
    close();
    return true;
  }

  // Asks the socket itself, because the event loop may not have processed the client's close yet.
  bool left() const override {
    if (state_ != State::kWaiting) return true;
    pollfd at{socket_.descriptor(), POLLRDHUP, 0};
    return ::poll(&at, 1, 0) > 0;
  }

  void close() {
    if (state_ == State::kClosed) return;
    const bool waiting = state_ == State::kWaiting;
    const auto self = weak_from_this().lock();
    enter(State::kClosed);
    listener_.poller_.remove(poller_key_, socket_.descriptor());
    socket_.close();
    reader_.reset();
    if (waiting) listener_.engine_.on_client_gone(request_);
    listener_.on_connection_closed();
  }

  double state_since() const { return state_since_; }

 private:
  enum class State { kNew, kUnused, kIdle, kReading, kWaiting, kWriting, kEnding, kClosed };

  ConnectionList* list_for(State state) {
    switch (state) {
      case State::kUnused:
        return &listener_.unused_;
      case State::kIdle:
        return &listener_.idle_;
      case State::kReading:
        return &listener_.reading_;
      case State::kWriting:
        return &listener_.writing_;
      case State::kEnding:
        return &listener_.ending_;
      default:
        return nullptr;
    }
  }
  static bool is_busy(State state) { return state == State::kWaiting || state == State::kWriting; }

  void enter(State state) {
    const auto self = weak_from_this().lock();  // its list entry may hold the last reference
    if (ConnectionList* list = is_listed_ ? list_for(state_) : nullptr) list->erase(list_position_);
    is_listed_ = false;
    if (is_busy(state_)) --listener_.busy_count_;
    if (is_busy(state)) ++listener_.busy_count_;
    state_ = state;
    state_since_ = now();
    if (ConnectionList* list = list_for(state)) {
      list_position_ = list->insert(list->end(), self);
      is_listed_ = true;
    }
  }

  // An exception on one connection, such as a failed allocation, ends only that connection.
  template <class Step>
  void run_guarded(Step&& step) {
    try {
      step();
    } catch (const std::exception& problem) {
      listener_.log_({LogLevel::kError,
                      "listener",
                      "connection_ended",
                      std::string("closing a caller's connection: ") + problem.what(),
                      {{"why", std::string(problem.what())}}});
      close();
    }
  }

  void ready(std::uint32_t events) override {
    const auto self = shared_from_this();
    run_guarded([&] {
      if ((events & EPOLLOUT) != 0 && state_ == State::kWriting) write();
      // A client that has closed its side is gone, even with unread bytes left. In the ending state the input
      // is discarded up to its end, so that the last response is not lost to a reset.
      const bool ended = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
      if (ended && state_ != State::kEnding) return close();
      if ((events & ~static_cast<std::uint32_t>(EPOLLOUT)) != 0) read();
    });
  }

  // Reads the available input, also while a request is pending, in order to notice that the client closes.
  void read() {
    while (state_ != State::kClosed) {
      // Bounds the memory for pipelined requests; the rest is read once this one is answered.
      reading_paused_ = is_busy(state_) && in_.size() >= kMaxPipelinedBytes;
      if (reading_paused_) return;
      const ssize_t got = socket_.read(listener_.scratch_.data(), listener_.scratch_.size());
      if (got < 0 && Socket::would_block()) return;
      if (got <= 0) return close();
      const auto size = static_cast<std::size_t>(got);
      if (state_ == State::kEnding) {
        if ((discarded_bytes_ += size) > kMaxDiscardedBytes) return close();
        continue;
      }
      // A request's deadline counts from its last byte; for pipelined input, from the first.
      if (!is_busy(state_) || in_.empty()) received_at_ = now();
      in_.append(listener_.scratch_.data(), size);
      if (!is_busy(state_)) {  // otherwise the bytes are kept for the next request
        if (state_ != State::kReading) enter(State::kReading);
        parse_pending();
      }
      if (size < listener_.scratch_.size()) return;  // no more input for now; ready() follows when there is
    }
  }

  // Parses requests from the input until one is pending or more input is needed. A loop instead of recursion,
  // because immediate responses would nest.
  void parse_pending() {
    parse_again_ = true;
    if (is_parsing_) return;
    is_parsing_ = true;
    while (std::exchange(parse_again_, false) && state_ == State::kReading) parse();
    is_parsing_ = false;
  }

  void parse() {
    switch (reader_.read(in_)) {
      case RequestReader::Step::kNeedMore:
        return;
      case RequestReader::Step::kRejected:
        return reject(reader_.rejection());
      case RequestReader::Step::kHead:
        // A duplicate id could run a request twice or return a response to the wrong client.
        if (reader_.is_call() && listener_.engine_.has_request(reader_.client_id()))
          return reject(kRequestIdInUse);
        if (reader_.expects_continue()) {
          static constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
          socket_.write(kContinueResponse, {});
        }
        return parse();
      case RequestReader::Step::kRequest:
        return handle_request();
    }
  }

  void reject(const RequestRejection& bad) { respond(response_to(bad, listener_.engine_), true); }

  void handle_request() {
    const http::verb method = reader_.request().method();
    if (reader_.path() == "/healthz") {
      head_only_ = method == http::verb::head;
      const unsigned status = method != http::verb::get && !head_only_            ? 405
                              : listener_.engine_.ready() && !listener_.draining_ ? 200
                                                                                  : 503;
      return respond({status, 0, {}, {}, {}}, false);
    }
    if (!reader_.is_call()) return respond({404, 0, {}, {}, {}}, false);
    Call call;
    try {
      call = reader_.take_call(received_at_);
    } catch (const RequestRejection& bad) {
      return reject(bad);
    }
    reader_.reset();
    if (listener_.engine_.has_request(call.client_id)) return reject(kRequestIdInUse);
    if (listener_.is_saturated() || listener_.reading_stopped_) return reject({503, nullptr});
    enter(State::kWaiting);
    request_ = 0;
    request_ = listener_.engine_.submit(std::move(call), shared_from_this());
  }

  void answered(Reply&& reply) override {
    if (state_ != State::kWaiting) return;
    run_guarded([&] { respond(response_to(std::move(reply)), false); });
  }

  void respond(FinalResponse&& final, bool close) {
    close_after_ = close || !reader_.keep_alive() || listener_.closing_idle_;
    reader_.reset();
    response_head_ = response_head(final, close_after_);
    response_ = std::move(final);
    if (std::exchange(head_only_, false)) response_.body.clear();
    enter(State::kWriting);
    written_ = 0;
    if (response_.body.size() <= kMaxCopiedBodyBytes) {  // one part is faster to write than two
      response_head_ += response_.body;
      response_.body.clear();
    }
    write();
  }

  void write() {
    const std::size_t all = response_head_.size() + response_.body.size();
    while (written_ < all) {
      const std::size_t of_body = written_ < response_head_.size() ? 0 : written_ - response_head_.size();
      const std::string_view head =
          of_body > 0 ? std::string_view()
                      : std::string_view(response_head_).substr(std::min(written_, response_head_.size()));
      const ssize_t sent = socket_.write(head, std::string_view(response_.body).substr(of_body));
      if (sent < 0 && Socket::would_block()) return;  // ready() continues
      if (sent <= 0) return close();
      written_ += static_cast<std::size_t>(sent);
    }
    on_written();
  }

  void on_written() {
    response_head_.clear();
    response_ = {};
    has_answered_ = true;
    if (close_after_ || listener_.closing_idle_) return end();
    if (in_.empty()) {
      std::string().swap(in_);
      enter(State::kIdle);
    } else {
      enter(State::kReading);
      parse_pending();
    }
    if (std::exchange(reading_paused_, false)) read();
  }

  Listener& listener_;
  Socket socket_;
  Poller::Key poller_key_ = 0;
  RequestReader reader_;
  State state_ = State::kNew;
  bool is_listed_ = false, head_only_ = false, close_after_ = false;
  bool reading_paused_ = false, is_parsing_ = false, parse_again_ = false;
  bool has_answered_ = false;  // has had a response
  ConnectionList::iterator list_position_;
  double state_since_ = 0, received_at_ = 0;
  const double connected_at_ = now();
  std::uint64_t request_ = 0;
  std::size_t written_ = 0, discarded_bytes_ = 0;
  std::string in_, response_head_;
  FinalResponse response_;
};

Listener::Listener(asio::io_context& io, Poller& poller, const tcp::endpoint& address,
                   RequestValidator request_validator, Engine& engine, ByteBudget& budget,
                   std::size_t max_connections, const ListenerLimits& limits, Log log)
    : poller_(poller),
      engine_(engine),
      budget_(budget),
      log_(std::move(log)),
      request_validator_(std::move(request_validator)),
      max_connections_(max_connections),
      limits_(limits),
      acceptor_(io),
      accept_retry_timer_(io),
      sweep_timer_(io) {
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen(4096);
  acceptor_.non_blocking(true);
  accept();
  close_expired();
}

// Keeps to the descriptor limit: inactive connections are evicted; if there is none, new clients wait in the
// kernel's accept queue until a connection closes.
void Listener::accept() {
  if (accept_pending_ || !acceptor_.is_open()) return;
  accept_pending_ = true;
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](const error_code& error) {
    accept_pending_ = false;
    if (error == asio::error::operation_aborted) return;
    if (error) return retry_accept_later();
    for (int i = 0; i < 64; ++i) {
      // Evicts a connection only if a client is waiting, which spares those just accepted.
      if (connection_count_ >= max_connections_ - ending_reserve()) {
        if (!has_pending_client()) break;
        if (connection_count_ - ending_.size() >= max_connections_ - ending_reserve()) evict_one();
      }
      if (connection_count_ >= max_connections_ && !reclaim_ended()) {
        if (!ending_.empty()) return retry_accept_later();
        if (!is_full_)
          log_({LogLevel::kWarning,
                "listener",
                "full",
                "connection limit reached; new callers wait in the accept queue",
                {{"connections", static_cast<std::int64_t>(connection_count_)}}});
        is_full_ = true;
        return;  // on_connection_closed() resumes accepting
      }
      if (!accept_one()) {
        if (Socket::would_block() || errno == ECONNABORTED) break;
        evict_one();  // probably out of descriptors
        reclaim_ended();
        return retry_accept_later();
      }
      is_full_ = false;
    }
    accept();
  });
}

bool Listener::has_pending_client() {
  pollfd queue{acceptor_.native_handle(), POLLIN, 0};
  return ::poll(&queue, 1, 0) > 0;
}

void Listener::retry_accept_later() {
  accept_retry_timer_.expires_after(kAcceptRetryDelay);
  accept_retry_timer_.async_wait([this](const error_code& error) {
    if (!error) accept();
  });
}

// False with errno set if no connection was accepted.
bool Listener::accept_one() {
  const int descriptor = ::accept4(acceptor_.native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (descriptor < 0) return false;
  Socket socket(descriptor);
  try {
    std::make_shared<Connection>(*this, std::move(socket))->start();
  } catch (const std::exception& problem) {
    log_({LogLevel::kError,
          "listener",
          "connection_not_taken",
          std::string("cannot set up a caller's connection: ") + problem.what(),
          {{"why", std::string(problem.what())}}});
  }
  return true;
}

void Listener::on_connection_closed() {
  --connection_count_;
  if (is_full_) accept();
}

// Closes the connection that was ended longest ago, if the client's host has acknowledged the end or has had
// time to.
bool Listener::reclaim_ended() {
  if (ending_.empty()) return false;
  const std::shared_ptr<Connection> oldest = ending_.front();
  return oldest->close_if_end_seen();
}

// Evicts connections that have never sent a byte first, then idle ones, then those that send slowly, so that
// hundreds of clients that only connect don't displace the others.
void Listener::evict_one() {
  // Spares clients that have just connected and are about to send: evicted at once, they reconnect and
  // displace each other endlessly (seen: 800 connections a second).
  const double old = now() - kEvictionGraceSeconds;
  const auto evict = [](const ConnectionList& list, double before) {
    int candidates = 0;  // one with unread input must not shield those behind it
    for (auto it = list.begin(); it != list.end() && candidates < kMaxEvictionCandidates; ++candidates) {
      const std::shared_ptr<Connection> next = *it++;
      if (next->state_since() > before) break;
      if (next->end_if_idle()) return true;
    }
    return false;
  };
  if (evict(unused_, old) || evict(idle_, now())) return;
  if (!reading_.empty()) {
    const std::shared_ptr<Connection> slowest = reading_.front();
    if (slowest->end_if_overdue(kEvictionGraceSeconds)) return;
  }
  evict(unused_, now());
}

void Listener::close_expired() {
  const auto older = [](const ConnectionList& list, double limit) {
    return !list.empty() && now() - list.front()->state_since() > limit;
  };
  const auto oldest = [](const ConnectionList& list) { return std::shared_ptr<Connection>(list.front()); };
  while (older(unused_, limits_.read)) oldest(unused_)->end();
  while (older(idle_, limits_.idle)) oldest(idle_)->end();
  while (older(writing_, limits_.write)) oldest(writing_)->close();
  while (older(ending_, kEndingTimeoutSeconds)) oldest(ending_)->close();
  for (auto it = reading_.begin(); it != reading_.end();) {
    const std::shared_ptr<Connection> next = *it++;
    next->end_if_overdue(limits_.read);
  }
  if (is_full_) accept();  // a connection that was busy before may be idle by now
  sweep_timer_.expires_after(kSweepPeriod);
  sweep_timer_.async_wait([this](const error_code& error) {
    if (!error) close_expired();
  });
}

void Listener::close_idle_connections() {
  closing_idle_ = true;
  // Spares clients that have just connected and are about to send: they have no response yet that tells them
  // to leave.
  const double old = now() - kEvictionGraceSeconds;
  for (const ConnectionList* list : {&unused_, &idle_}) {
    const ConnectionList all = *list;
    for (const std::shared_ptr<Connection>& connection : all) {
      if (list == &idle_ || connection->state_since() < old) connection->end_if_idle();
    }
  }
}

void Listener::stop_reading() {
  reading_stopped_ = true;
  for (const ConnectionList* list : {&unused_, &idle_, &reading_}) {
    const ConnectionList all = *list;
    for (const std::shared_ptr<Connection>& connection : all) connection->end_reading();
  }
}

void Listener::stop_accepting() {
  while (accept_one()) {
  }
  error_code ignored;
  acceptor_.close(ignored);
  accept_retry_timer_.cancel();
}

}  // namespace nettlestand
