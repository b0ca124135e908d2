#include "http/upstream.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <exception>
#include <limits>
#include <string_view>
#include <utility>
#include <vector>

#include "http/arena_parser.h"
#include "util/clock.h"

namespace nettlestand {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using quinceusher::Outcome;

// Servers exceed the protocol's limit of 64 KiB: complete responses of 130 to 390 KB were seen in service. A
// response over this limit is treated as corrupt.
constexpr std::size_t kMaxBodyBytes = 1024 * 1024;
constexpr std::size_t kMaxHeadBytes = 16 * 1024;  // of a response's head, and of a chunk header
constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr double kFreshIdleSeconds = 0.1;          // a connection idle for less is rarely stale
constexpr double kStaleResetSeconds = 0.02;        // a reused connection reset within this time was stale
constexpr double kDistrustIdleSeconds = 10;        // after such a reset
constexpr double kReuseDelaySeconds = 0.02;        // surplus bytes of a server arrive within this time
constexpr std::size_t kMaxRestingConnections = 4;  // per server, before the oldest of them is reused anyway
constexpr double kRestBeforeReuseSeconds = 60;     // after surplus bytes from any server
constexpr int kMaxInterimResponses = 8;            // 1xx responses before the final one
constexpr double kIdleShare = 0.9;  // of the servers' idle timeout; older connections are closed, not reused

}  // namespace

// A connection to a server and, if there is one, the attempt in flight on it.
class Upstream::Connection final : public std::enable_shared_from_this<Connection>, public Poller::Watcher {
 public:
  enum class State { kConnecting, kWriting, kReading, kIdle, kClosed };

  Connection(Upstream& pool, std::string server, std::uint64_t generation)
      : pool_(pool), server(std::move(server)), generation(generation), timer_(pool.io_) {
    ++pool_.open_sockets_;
  }
  ~Connection() {
    if (state != State::kClosed) --pool_.open_sockets_;
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void assign(const AttemptId& attempt, std::shared_ptr<const UpstreamRequest> request, double timeout,
              double within) {
    ++attempt_serial_;
    attempt_ = attempt;
    has_attempt_ = true;
    request_ = std::move(request);
    attempt_started_at_ = now();
    idle_before_use_ = state == State::kIdle ? attempt_started_at_ - idle_since : 0;
    deadline_ = attempt_started_at_ + timeout;
    write_deadline_ = attempt_started_at_ + within;
    head_received_at_ = 0;
    reset_parser();
    interim_count_ = 0;
    written_ = 0;
    out_.clear();
  }

  void connect(const tcp::endpoint& to) {
    const int failed = socket_.connect(to);
    // Out of descriptors, which says nothing about the server.
    if (!socket_.is_open()) return end(Outcome::kNotSent, false);
    if (failed != 0) return end(Outcome::kDialFailed, false);
    poller_key_ = pool_.poller_.add(socket_.descriptor(), *this);
    if (poller_key_ == 0) return end(Outcome::kNotSent, false);
    connect_deadline_ = now() + pool_.connect_timeout_;
    arm_timer(write_phase_deadline());
  }

  void ready(std::uint32_t events) override {
    const auto self = shared_from_this();
    const bool readable = (events & ~static_cast<std::uint32_t>(EPOLLOUT)) != 0;
    const bool peer_ended = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
    run_guarded([&] {
      if (state == State::kConnecting) return on_connected();
      const bool idle = state == State::kIdle;
      if (state == State::kWriting && (events & EPOLLOUT) != 0) write();
      if (state == State::kWriting && readable && is_stale()) return end_before_written();
      if (state == State::kReading && readable) read(peer_ended);
      // Any input on an idle connection, including its end, makes it unusable.
      if (state == State::kIdle && (idle ? readable && is_stale() : peer_ended)) {
        pool_.remove_idle(self);
        close();
      }
    });
  }

  void on_connected() {
    if (Server* known = pool_.find(server)) known->connecting.erase(shared_from_this());
    if (socket_.pending_error() != 0) return end(Outcome::kDialFailed, false);
    is_stale() ? end_before_written() : start_writing();
  }

  void start_writing() {
    state = State::kWriting;
    connect_deadline_ = kNever;
    if (now() >= write_deadline_) return end(Outcome::kNotSent, false);
    arm_timer(write_phase_deadline());
    const double left = std::max(1.0, std::floor((deadline_ - now()) * 1000));
    out_ = request_->head;
    out_ += "Request-Timeout-Ms: " + std::to_string(static_cast<std::int64_t>(left)) + "\r\n\r\n";
    write();
  }

  void extend(double timeout) {
    deadline_ = now() + timeout;
    arm_timer(deadline_);
  }

  // Whether the last byte of the request has not been written yet.
  bool is_unwritten() const { return state == State::kConnecting || state == State::kWriting; }

  const AttemptId& attempt() const { return attempt_; }

  // Whether the server has closed the connection or has sent unsolicited bytes.
  bool is_stale() {
    char byte = 0;
    const ssize_t got = socket_.read(&byte, 1, MSG_PEEK);
    if (got > 0 && state == State::kIdle) pool_.on_surplus_bytes();
    return got >= 0 || !Socket::would_block();
  }

  // Ends the attempt, if there is one, and closes the connection unless `keep`.
  void end(Outcome outcome, bool keep) {
    std::unique_ptr<UpstreamResponse> answer;
    if (outcome == Outcome::kReset && idle_before_use_ >= kFreshIdleSeconds &&
        now() - attempt_started_at_ < kStaleResetSeconds) {
      pool_.distrust_idle_until_ = now() + kDistrustIdleSeconds;
    }
    if (outcome == Outcome::kDelivered) {
      answer = std::make_unique<UpstreamResponse>();
      answer->content_type = std::move(content_type_);
      answer->body = std::move(parser_->get().body());
      answer->claim = std::exchange(claim_, {});
    }
    claim_ = {};
    timer_.cancel();
    const bool carried = std::exchange(has_attempt_, false);
    const AttemptId attempt = attempt_;
    const auto self = shared_from_this();
    parser_.reset();
    request_.reset();
    std::string().swap(out_);
    std::string().swap(in_);
    if (keep) {
      pool_.add_idle(shared_from_this());
    } else {
      close();
    }
    if (carried) pool_.report_outcome(attempt, outcome, std::move(answer));
  }

  void close() {
    if (state == State::kConnecting) {
      if (Server* known = pool_.find(server)) known->connecting.erase(shared_from_this());
    }
    if (state != State::kClosed) --pool_.open_sockets_;
    state = State::kClosed;
    has_attempt_ = false;
    pool_.poller_.remove(poller_key_, socket_.descriptor());
    socket_.close();
    timer_.cancel();
  }

 private:
  // An exception on one connection, such as a failed allocation, ends only that connection.
  template <class Step>
  void run_guarded(Step&& step) {
    try {
      step();
    } catch (const std::exception& problem) {
      pool_.log_({LogLevel::kError,
                  "upstream",
                  "connection_ended",
                  "closing the connection to " + server + ": " + problem.what(),
                  {{"server", server}, {"why", std::string(problem.what())}}});
      end(state == State::kReading ? Outcome::kUnknown : Outcome::kDialFailed, false);
    }
  }

  void arm_timer(double at) {
    timer_.expires_after(to_duration(at - now()));
    timer_.async_wait([self = shared_from_this(), serial = attempt_serial_](const error_code& error) {
      if (!error && serial == self->attempt_serial_ && self->has_attempt_) self->expire();
    });
  }

  // The deadline of an attempt whose request is not fully written.
  double write_phase_deadline() const { return std::min({deadline_, connect_deadline_, write_deadline_}); }

  // Only unwritten bytes prove that a request never ran, so a written one ends as timed out.
  void expire() {
    const double until = is_unwritten() ? write_phase_deadline() : deadline_;
    if (now() < until) return arm_timer(until);  // the timer was set for an earlier deadline
    if (state == State::kReading) {
      const std::uint64_t serial = attempt_serial_;
      report_progress();
      if (serial != attempt_serial_ || !has_attempt_ || now() < deadline_) return;
    }
    if (state == State::kReading) return end(Outcome::kTimedOut, false);
    // Missing only the write deadline of a repeat doesn't count as the server's failure.
    end(now() < std::min(deadline_, connect_deadline_) ? Outcome::kNotSent : Outcome::kDialFailed, false);
  }

  void report_progress() {
    // The sink may end this attempt.
    if (head_received_at_ == 0) return pool_.sink_->arriving(attempt_, {-1, 0, 0, 0});
    const auto length = parser_->content_length();
    pool_.sink_->arriving(attempt_, {now() - head_received_at_, now() - last_byte_at_,
                                     static_cast<double>(parser_->get().body().size()),
                                     length ? static_cast<double>(*length) : 0});
  }

  // Writes the request. The server may run it only once all of it is written.
  void write() {
    const std::size_t head = out_.size(), all = head + request_->body.size();
    for (bool first = written_ == 0; written_ < all; first = false) {
      if (!first && is_stale()) return end_before_written();
      const std::size_t of_body = written_ < head ? 0 : written_ - head;
      const std::string_view rest =
          written_ < head ? std::string_view(out_).substr(written_) : std::string_view();
      const ssize_t sent = socket_.write(rest, std::string_view(request_->body).substr(of_body));
      if (sent < 0 && Socket::would_block()) return;  // ready() continues
      if (sent <= 0) return end_before_written();
      written_ += static_cast<std::size_t>(sent);
    }
    out_.clear();
    state = State::kReading;
    if (write_deadline_ < deadline_) arm_timer(deadline_);
  }

  // Bytes that a server sent before it had the whole request are not taken for a response: the last byte is
  // never written, so the request never runs. Only a rejection by the server is honored.
  void end_before_written() {
    error_code error;
    const ssize_t got = socket_.read(pool_.scratch_.data(), pool_.scratch_.size());
    if (got > 0) parser_->put(asio::buffer(pool_.scratch_.data(), static_cast<std::size_t>(got)), error);
    const bool rejected = parser_->is_header_done() && on_head() && head_outcome_ == Outcome::kRejected;
    end(rejected ? Outcome::kRejected : Outcome::kDialFailed, false);
  }

  // `read_to_end`: the server has closed its side, and the remaining bytes must be read up to the end.
  void read(bool read_to_end) {
    const std::uint64_t serial = attempt_serial_;
    while (state == State::kReading && serial == attempt_serial_) {
      const ssize_t got = socket_.read(pool_.scratch_.data(), pool_.scratch_.size());
      if (got < 0 && Socket::would_block()) return;
      if (got == 0) return on_server_closed();
      if (got < 0) return end(Outcome::kReset, false);
      const auto size = static_cast<std::size_t>(got);
      in_.append(pool_.scratch_.data(), size);
      parse();
      if (size < pool_.scratch_.size() && !read_to_end)
        return;  // no more input for now; ready() follows when there is
    }
  }

  // A response with neither a length nor chunks is complete when the server closes the connection in order
  // (RFC 9112, 6.3). A reset doesn't complete it, and any other response is truncated.
  void on_server_closed() {
    // Beast 1.74 treats an end of the stream before the first byte as the end of a message.
    const bool whole = parser_->is_header_done() && parser_->need_eof();
    end(whole ? head_outcome_ : Outcome::kReset, false);
  }

  void parse() {
    error_code error;
    std::size_t from = 0;
    while (from < in_.size() && !parser_->is_done()) {
      const bool in_head = !parser_->is_header_done();
      const std::size_t body = parser_->get().body().size();
      const std::size_t used = parser_->put(asio::buffer(in_.data() + from, in_.size() - from), error);
      from += used;
      std::size_t framing = used - (parser_->get().body().size() - body);
      if (in_head) framing = head_bytes_ += framing;
      if (error == http::error::need_more) framing += in_.size() - from;
      if (error && error != http::error::need_more) return end(Outcome::kUnknown, false);
      // A response with an oversized head, or whose length is ambiguous or too large, is corrupt. The attempt
      // ends as one that may have run, and its connection is closed.
      if (framing > kMaxHeadBytes || (in_head && parser_->is_header_done() && !on_head())) {
        return end(Outcome::kUnknown, false);
      }
      if (!claim_.grow_to(parser_->get().body().size())) return end(Outcome::kUnknown, false);
      if (error == http::error::need_more) break;
      if (parser_->is_done() && is_interim()) {
        if (++interim_count_ > kMaxInterimResponses) return end(Outcome::kUnknown, false);
        reset_parser();
      } else if (used == 0) {
        break;
      }
    }
    in_.erase(0, from);
    if (parser_->is_done()) {
      if (!in_.empty()) pool_.on_surplus_bytes();
      return end(head_outcome_, keep_alive_ && in_.empty());
    }
    last_byte_at_ = now();
    if (head_received_at_ == 0 && parser_->is_header_done()) {
      head_received_at_ = last_byte_at_;
      report_progress();
    }
  }

  // The parser is not eager: an eager parser of Beast 1.74 continues after a head whose body is over the
  // limit.
  void reset_parser() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    parser_->header_limit(kMaxHeadBytes);
    head_bytes_ = 0;
    claim_ = ByteReservation(pool_.budget_);
  }

  // Evaluates the head; false if the end of the response is ambiguous or there is no memory for its body.
  // Must run before the body is read, because Beast then adds the trailers to the header fields.
  bool on_head() {
    const auto& head = parser_->get();
    const std::size_t encodings = head.count(http::field::transfer_encoding);
    if (head.count(http::field::content_length) + encodings > 1) return false;
    if (encodings == 1 && !boost::beast::iequals(head[http::field::transfer_encoding], "chunked"))
      return false;
    head_outcome_ = outcome_of(head);
    keep_alive_ = head.keep_alive();
    content_type_ = std::string(head[http::field::content_type]);
    return claim_.grow_to(parser_->content_length().value_or(0));
  }

  bool is_interim() const {
    const unsigned status = parser_->get().result_int();
    return status >= 100 && status < 200 && status != 101;
  }

  // Only these two statuses with exactly one Not-Started field prove that a request never ran.
  static Outcome outcome_of(const http::header<false, Fields>& head) {
    const unsigned status = head.result_int();
    if (status == 200) return Outcome::kDelivered;
    if ((status == 503 || status == 504) && head.count("Not-Started") == 1 && head["Not-Started"] == "1")
      return Outcome::kRejected;
    return status >= 500 ? Outcome::kError : Outcome::kUnknown;
  }

  Upstream& pool_;

 public:
  const std::string server;
  const std::uint64_t generation;
  State state = State::kConnecting;
  double idle_since = 0;
  std::list<std::shared_ptr<Connection>>::iterator idle_position;  // in Upstream::idle_

 private:
  Socket socket_;
  Poller::Key poller_key_ = 0;
  asio::steady_timer timer_;
  std::string in_, out_;  // out_: the head of the request
  std::size_t written_ = 0, head_bytes_ = 0;
  int interim_count_ = 0;
  ByteReservation claim_;
  std::uint64_t attempt_serial_ = 0;  // counts the attempts on this connection
  AttemptId attempt_;
  bool has_attempt_ = false;
  std::shared_ptr<const UpstreamRequest> request_;
  double attempt_started_at_ = 0, idle_before_use_ = 0, deadline_ = 0;
  double connect_deadline_ = kNever, write_deadline_ = kNever;
  double head_received_at_ = 0, last_byte_at_ = 0;  // 0: not yet received
  ArenaParser<false, 1024> parser_;
  // From the response's head.
  Outcome head_outcome_ = Outcome::kUnknown;
  bool keep_alive_ = false;
  std::string content_type_;
};

Upstream::Upstream(asio::io_context& io, Poller& poller, const UpstreamOptions& options, ByteBudget& budget,
                   Log log)
    : io_(io),
      poller_(poller),
      budget_(budget),
      log_(std::move(log)),
      connect_timeout_(options.connect_timeout),
      max_idle_seconds_(options.server_idle_timeout * kIdleShare),
      max_sockets_(options.max_sockets),
      expiry_timer_(io) {
  close_expired();
}

Upstream::~Upstream() { shut_down(); }

// Attempts in flight end with their connections: their handlers find them closed and access nothing else.
void Upstream::shut_down() {
  *alive_ = false;
  expiry_timer_.cancel();
  for (const auto& [attempt, connection] : std::exchange(attempts_, {})) connection->close();
  for (const std::shared_ptr<Connection>& connection : std::exchange(idle_, {})) connection->close();
  servers_.clear();
}

Upstream::Server* Upstream::find(const std::string& name) {
  const auto it = servers_.find(name);
  return it == servers_.end() ? nullptr : &it->second;
}

Upstream::Connection* Upstream::connection_for(const AttemptId& attempt) const {
  const auto it = attempts_.find(attempt);
  return it == attempts_.end() ? nullptr : it->second.get();
}

void Upstream::report_outcome(const AttemptId& attempt, Outcome outcome, std::unique_ptr<Payload> answer) {
  attempts_.erase(attempt);
  if (!inside_start_) return sink_->ended(attempt, outcome, std::move(answer));
  asio::post(io_, [this, alive = alive_, attempt, outcome] {  // outcomes are never reported inside start()
    if (*alive) sink_->ended(attempt, outcome, nullptr);
  });
}

void Upstream::start(const AttemptId& attempt, const std::string& server,
                     std::shared_ptr<const Payload> request, double timeout, double within) {
  struct Starting {
    explicit Starting(bool& flag) : flag(flag) { flag = true; }
    ~Starting() { flag = false; }
    bool& flag;
  } const starting(inside_start_);
  auto upstream_request = std::static_pointer_cast<const UpstreamRequest>(std::move(request));
  Server* known = find(server);
  if (known == nullptr || timeout <= 0) return report_outcome(attempt, Outcome::kNotSent, nullptr);
  if (const std::shared_ptr<Connection> old = take_idle(*known, upstream_request->retryable)) {
    attempts_.emplace(attempt, old);
    old->assign(attempt, std::move(upstream_request), timeout, within);
    return old->start_writing();
  }
  if (!free_socket_slot()) return report_outcome(attempt, Outcome::kNotSent, nullptr);
  const auto created = std::make_shared<Connection>(*this, server, known->generation);
  attempts_.emplace(attempt, created);
  created->assign(attempt, std::move(upstream_request), timeout, within);
  known->connecting.insert(created);
  created->connect(known->endpoint);
}

void Upstream::extend(const AttemptId& attempt, double timeout) {
  if (Connection* connection = connection_for(attempt)) connection->extend(timeout);
}

void Upstream::stop(const AttemptId& attempt, Outcome outcome) {
  if (Connection* connection = connection_for(attempt)) connection->end(outcome, false);
}

void Upstream::withdraw(const AttemptId& attempt) {
  Connection* connection = connection_for(attempt);
  if (connection != nullptr && connection->is_unwritten()) connection->end(Outcome::kNotSent, false);
}

// Prefers the most recently used connection, so that the others can expire. Avoids connections that the
// server has closed or is about to close, where a request that must not be repeated would be lost. If idle
// connections are still reset on reuse, for example because a middlebox has dropped their state, such a
// request may have run; requests that must not be repeated then use only a connection that was just used, or
// a new one.
std::shared_ptr<Upstream::Connection> Upstream::take_idle(Server& server, bool retryable) {
  while (!server.idle.empty()) {
    const auto it = choose_idle(server);
    if (it == server.idle.end()) return nullptr;
    const std::shared_ptr<Connection> candidate = *it;
    if (!retryable && now() < distrust_idle_until_ && now() - candidate->idle_since >= kFreshIdleSeconds)
      return nullptr;
    server.idle.erase(it);
    idle_.erase(candidate->idle_position);
    if (now() - candidate->idle_since < max_idle_seconds_ && !candidate->is_stale()) return candidate;
    candidate->close();
  }
  return nullptr;
}

// Handles servers that send surplus responses. A response belongs to a request only by its position on the
// connection, so a late second response would be taken for that of the next request. A connection therefore
// rests before it is reused; with many resting ones, the one that has rested longest is taken.
std::deque<std::shared_ptr<Upstream::Connection>>::iterator Upstream::choose_idle(Server& server) {
  auto& idle = server.idle;  // the most recently used is at the back
  if (now() >= rest_before_reuse_until_) return idle.end() - 1;
  for (auto it = idle.end(); it != idle.begin();) {
    if (now() - (*--it)->idle_since >= kReuseDelaySeconds) return it;
  }
  return idle.size() < kMaxRestingConnections ? idle.end() : idle.begin();
}

void Upstream::on_surplus_bytes() { rest_before_reuse_until_ = now() + kRestBeforeReuseSeconds; }

// Keeps to the socket limit by closing the longest idle connection.
bool Upstream::free_socket_slot() {
  if (open_sockets_ < max_sockets_) return true;
  if (idle_.empty()) return false;
  const std::shared_ptr<Connection> oldest = idle_.front();
  remove_idle(oldest);
  oldest->close();
  return true;
}

void Upstream::add_idle(const std::shared_ptr<Connection>& connection) {
  Server* known = find(connection->server);
  // The connection may lead to a former process that was replaced while the connection was busy.
  if (known == nullptr || known->generation != connection->generation) return connection->close();
  connection->state = Connection::State::kIdle;
  connection->idle_since = now();
  connection->idle_position = idle_.insert(idle_.end(), connection);
  known->idle.push_back(connection);
}

void Upstream::remove_idle(const std::shared_ptr<Connection>& connection) {
  idle_.erase(connection->idle_position);
  if (Server* known = find(connection->server)) std::erase(known->idle, connection);
}

void Upstream::close_idle(Server& server) {
  for (const std::shared_ptr<Connection>& connection : std::exchange(server.idle, {})) {
    idle_.erase(connection->idle_position);
    connection->close();
  }
}

void Upstream::close_expired() {
  while (!idle_.empty() && now() - idle_.front()->idle_since >= max_idle_seconds_) {
    const std::shared_ptr<Connection> oldest = idle_.front();
    remove_idle(oldest);
    oldest->close();
  }
  expiry_timer_.expires_after(
      to_duration(max_idle_seconds_ - (idle_.empty() ? 0 : now() - idle_.front()->idle_since)));
  expiry_timer_.async_wait([this](const error_code& error) {
    if (!error) close_expired();
  });
}

void Upstream::collect_connecting(const Server& server, std::vector<AttemptId>& stopped) {
  for (const std::shared_ptr<Connection>& waiting : server.connecting) stopped.push_back(waiting->attempt());
}

std::vector<AttemptId> Upstream::apply(const ServerList& list) {
  std::vector<std::string> gone;
  std::vector<AttemptId> stopped;
  if (list.is_full) {
    std::unordered_set<std::string> listed_names;
    for (const ListedServer& listed : list.servers) listed_names.insert(listed.info.address);
    for (const auto& [name, server] : servers_) {
      if (!listed_names.contains(name)) gone.push_back(name);
    }
  }
  for (const ListedServer& listed : list.servers) {
    if (listed.info.state != quinceusher::ServerState::kReady) {
      gone.push_back(listed.info.address);
      continue;
    }
    Server& server = servers_[listed.info.address];
    // A new process or address: idle and connecting connections lead to the former one.
    if (server.endpoint != listed.endpoint || server.started_at != listed.info.started) {
      close_idle(server);
      collect_connecting(server, stopped);
      server.generation = ++generation_;
    }
    server.endpoint = listed.endpoint;
    server.started_at = listed.info.started;
  }
  // A request still waiting for its connection must not be written to a server that drains or is gone.
  for (const std::string& name : gone) {
    const auto it = servers_.find(name);
    if (it == servers_.end()) continue;
    collect_connecting(it->second, stopped);
    close_idle(it->second);
    servers_.erase(it);
  }
  return stopped;
}

}  // namespace nettlestand
