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

// The protocol's 64 KiB are not what servers keep to: whole answers of 130 to 390 KB were seen on days of
// service. An answer over this limit is taken for spoilt.
constexpr std::size_t kMaxBodyBytes = 1024 * 1024;  // bytes
constexpr std::size_t kMaxHeadBytes = 16 * 1024;    // bytes, of an answer's head and of a chunk's
constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr double kFreshIdleSeconds = 0.1;    // s; a connection idle for less has hardly ever gone stale
constexpr double kStaleResetSeconds = 0.02;  // s; a kept connection that breaks so soon was stale
constexpr double kDistrustIdleSeconds = 10;  // s after such a one
constexpr double kReuseDelaySeconds = 0.02;  // s; what a server says too much comes by then, or shows by then
constexpr std::size_t kMaxRestingConnections =
    4;  // connections to a server, while which a further one is opened
constexpr double kRestBeforeReuseSeconds = 60;  // s after such a word from any server
constexpr int kMaxInterimResponses = 8;         // answers 1xx ahead of the final one
constexpr double kIdleShare = 0.9;  // of the servers' idle time; what is older is closed, not used

}  // namespace

// One connection and, while it carries one, the attempt on it.
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
    // No descriptor left: nothing to do with the server.
    if (!socket_.opened()) return end(Outcome::kNotSent, false);
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
      // What a server says on a parked connection, also its end, is of no use to anybody.
      if (state == State::kIdle && (idle ? readable && is_stale() : peer_ended)) {
        pool_.remove_idle(self);
        close();
      }
    });
  }

  void on_connected() {
    if (Server* known = pool_.find(server)) known->connecting.erase(shared_from_this());
    if (socket_.error() != 0) return end(Outcome::kDialFailed, false);
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

  // Whether its request's last byte is still here.
  bool is_unwritten() const { return state == State::kConnecting || state == State::kWriting; }

  const AttemptId& attempt() const { return attempt_; }

  // Whether the server has closed it, or has said what nobody asked for.
  bool is_stale() {
    char byte = 0;
    const ssize_t got = socket_.read(&byte, 1, MSG_PEEK);
    if (got > 0 && state == State::kIdle) pool_.on_surplus_bytes();
    return got >= 0 || !Socket::would_block();
  }

  // Ends the attempt, if there is one, and with it the connection unless it may be kept.
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
  // Guards the other attempts: what goes wrong on one connection, be it memory, ends that one alone.
  template <class Step>
  void run_guarded(Step&& step) {
    try {
      step();
    } catch (const std::exception& problem) {
      pool_.log_({LogLevel::kError,
                  "upstream",
                  "connection_ended",
                  "a connection to " + server + " ends: " + problem.what(),
                  {{"server", server}, {"why", std::string(problem.what())}}});
      end(state == State::kReading ? Outcome::kUnknown : Outcome::kDialFailed, false);
    }
  }

  void arm_timer(double at) {
    timer_.expires_after(duration(at - now()));
    timer_.async_wait([self = shared_from_this(), serial = attempt_serial_](const error_code& error) {
      if (!error && serial == self->attempt_serial_ && self->has_attempt_) self->expire();
    });
  }

  // When an attempt whose request is not written is over.
  double write_phase_deadline() const { return std::min({deadline_, connect_deadline_, write_deadline_}); }

  // Guards against taking a sent request for one that never ran: only bytes still here prove it.
  void expire() {
    const double until = is_unwritten() ? write_phase_deadline() : deadline_;
    if (now() < until) return arm_timer(until);  // an older deadline's shot
    if (state == State::kReading) {
      const std::uint64_t serial = attempt_serial_;
      report_progress();
      if (serial != attempt_serial_ || !has_attempt_ || now() < deadline_) return;
    }
    if (state == State::kReading) return end(Outcome::kTimedOut, false);
    // What only came too late for a repeat is not held against the server.
    end(now() < std::min(deadline_, connect_deadline_) ? Outcome::kNotSent : Outcome::kDialFailed, false);
  }

  void report_progress() {
    // It may end this attempt.
    if (head_received_at_ == 0) return pool_.sink_->arriving(attempt_, {-1, 0, 0, 0});
    const auto length = parser_->content_length();
    pool_.sink_->arriving(attempt_, {now() - head_received_at_, now() - last_byte_at_,
                                     static_cast<double>(parser_->get().body().size()),
                                     length ? static_cast<double>(*length) : 0});
  }

  // Until all of it is written: only then may it run.
  void write() {
    const std::size_t head = out_.size(), all = head + request_->body.size();
    for (bool first = written_ == 0; written_ < all; first = false) {
      if (!first && is_stale()) return end_before_written();
      const std::size_t of_body = written_ < head ? 0 : written_ - head;
      const std::string_view rest =
          written_ < head ? std::string_view(out_).substr(written_) : std::string_view();
      const ssize_t sent = socket_.write(rest, std::string_view(request_->body).substr(of_body));
      if (sent < 0 && Socket::would_block()) return;  // it gets ready for more
      if (sent <= 0) return end_before_written();
      written_ += static_cast<std::size_t>(sent);
    }
    out_.clear();
    state = State::kReading;
    if (write_deadline_ < deadline_) arm_timer(deadline_);
  }

  // Guards against taking for an answer what a server said before it had the request. Without its last byte
  // the request never runs, and that is never written; but the server's word that it turns the request away
  // counts.
  void end_before_written() {
    error_code error;
    const ssize_t got = socket_.read(pool_.scratch_.data(), pool_.scratch_.size());
    if (got > 0) parser_->put(asio::buffer(pool_.scratch_.data(), static_cast<std::size_t>(got)), error);
    const bool rejected = parser_->is_header_done() && on_head() && head_outcome_ == Outcome::kRejected;
    end(rejected ? Outcome::kRejected : Outcome::kDialFailed, false);
  }

  // `read_to_end`: the server has ended its side, and what is left must be read up to that.
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
      if (size < pool_.scratch_.size() && !read_to_end) return;  // that was all; more makes it ready again
    }
  }

  // An answer with neither a length nor chunks is whole where its server ends the connection in order (RFC
  // 9112, 6.3); a reset is no end, and any other answer is cut.
  void on_server_closed() {
    // Beast 1.74 takes an end before the first byte for the end of a message.
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
      // Guards the memory and the client: an answer whose head has no end, or whose length is in doubt or too
      // long, is spoilt. It ends here, as one that may have run, and its connection is of no further use.
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

  // Not eager: an eager parser of Beast 1.74 goes on after a head whose body is over the limit.
  void reset_parser() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    parser_->header_limit(kMaxHeadBytes);
    head_bytes_ = 0;
    claim_ = Claim(pool_.budget_);
  }

  // Takes what a head says; false where it leaves in doubt where its answer ends, or there is no room for it.
  // Guards against trailers: Beast puts them among the header fields once the body is read.
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

  // Only the two statuses with the server's word for it, said once, prove that a request never ran.
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
  std::list<std::shared_ptr<Connection>>::iterator idle_position;  // among all that are parked

 private:
  Socket socket_;
  Poller::Key poller_key_ = 0;
  asio::steady_timer timer_;
  std::string in_, out_;  // out: the head of the request
  std::size_t written_ = 0, head_bytes_ = 0;
  int interim_count_ = 0;
  Claim claim_;
  std::uint64_t attempt_serial_ = 0;  // of what it carries
  AttemptId attempt_;
  bool has_attempt_ = false;
  std::shared_ptr<const UpstreamRequest> request_;
  double attempt_started_at_ = 0, idle_before_use_ = 0, deadline_ = 0;
  double connect_deadline_ = kNever, write_deadline_ = kNever;
  double head_received_at_ = 0, last_byte_at_ = 0;  // since: the answer's head is there; 0: it is not
  ArenaParser<false, 1024> parser_;
  // As the answer's head has it.
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

// What is out on connections ends with them: their handlers find them closed and look at nothing else.
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
  asio::post(io_, [this, alive = alive_, attempt, outcome] {  // nothing is delivered inside start()
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

// The most recently used, so that the others can idle out. Guards against writing on a connection that the
// server has closed or is about to close: what may not be repeated would be lost.
// Where kept connections break under their next request all the same, as when something on the way forgets
// them, that request may have run: what may not be repeated then goes on one just used, or on a new one.
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

// Guards the next request's client where servers say more than they were asked: an answer is tied to its
// request by its place on the connection alone, and a second one that comes a moment late would be taken for
// the next request's. So a connection rests before it is used again, the longest where all have just been
// used.
std::deque<std::shared_ptr<Upstream::Connection>>::iterator Upstream::choose_idle(Server& server) {
  auto& idle = server.idle;  // the most recently used at the back
  if (now() >= rest_before_reuse_until_) return idle.end() - 1;
  for (auto it = idle.end(); it != idle.begin();) {
    if (now() - (*--it)->idle_since >= kReuseDelaySeconds) return it;
  }
  return idle.size() < kMaxRestingConnections ? idle.end() : idle.begin();
}

void Upstream::on_surplus_bytes() { rest_before_reuse_until_ = now() + kRestBeforeReuseSeconds; }

// Guards the limit on sockets: the longest idle connection makes room for one that is needed.
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
  // Guards against a connection that leads to the process before: it was busy while another took its place.
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
      duration(max_idle_seconds_ - (idle_.empty() ? 0 : now() - idle_.front()->idle_since)));
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
    // Another process, or the same at another address: what is parked or on its way leads nowhere.
    if (server.endpoint != listed.endpoint || server.started_at != listed.info.started) {
      close_idle(server);
      collect_connecting(server, stopped);
      server.generation = ++generation_;
    }
    server.endpoint = listed.endpoint;
    server.started_at = listed.info.started;
  }
  // Guards the drains: a send that still waits for its connection must not be written later.
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
