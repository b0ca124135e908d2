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

#include "http/arena.h"
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
constexpr std::size_t kBodyLimit = 1024 * 1024;  // bytes
constexpr std::size_t kHeadLimit = 16 * 1024;    // bytes, of an answer's head and of a chunk's
constexpr double kForever = std::numeric_limits<double>::infinity();
constexpr double kFreshIdle = 0.1;       // s; a connection idle for less has hardly ever gone stale
constexpr double kStaleReset = 0.02;     // s; a kept connection that breaks so soon was stale
constexpr double kWary = 10;             // s after such a one
constexpr double kRest = 0.02;           // s; what a server says too much comes by then, or shows by then
constexpr std::size_t kMostResting = 4;  // connections to a server, while which a further one is opened
constexpr double kRestMemory = 60;       // s after such a word from any server
constexpr int kMostInterim = 8;          // answers 1xx ahead of the final one
constexpr double kKeepIdle = 0.9;        // of the servers' idle time; what is older is closed, not used

}  // namespace

// One connection and, while it carries one, the attempt on it.
class Upstream::Connection final : public std::enable_shared_from_this<Connection>, public Poller::Watcher {
 public:
  enum class State { kConnecting, kWriting, kReading, kParked, kClosed };

  Connection(Upstream& pool, std::string server, std::uint64_t generation)
      : pool_(pool), server(std::move(server)), generation(generation), timer_(pool.io_) {
    ++pool_.open_;
  }
  ~Connection() {
    if (state != State::kClosed) --pool_.open_;
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void begin(const AttemptId& attempt, std::shared_ptr<const Forward> request, double timeout,
             double within) {
    ++serial_;
    attempt_ = attempt;
    carries_ = true;
    request_ = std::move(request);
    began_ = now();
    idle_ = state == State::kParked ? began_ - parked_at : 0;
    give_up_at_ = began_ + timeout;
    write_by_ = began_ + within;
    arriving_since_ = 0;
    fresh_parser();
    interim_ = 0;
    written_ = 0;
    out_.clear();
  }

  void connect(const tcp::endpoint& to) {
    const int failed = socket_.connect(to);
    // No descriptor left: nothing to do with the server.
    if (!socket_.opened()) return end(Outcome::kNotSent, false);
    if (failed != 0) return end(Outcome::kDialFailed, false);
    watched_ = pool_.poller_.add(socket_.descriptor(), *this);
    if (watched_ == 0) return end(Outcome::kNotSent, false);
    connect_by_ = now() + pool_.connect_timeout_;
    arm_timer(unwritten_until());
  }

  void ready(std::uint32_t events) override {
    const auto self = shared_from_this();
    const bool readable = (events & ~static_cast<std::uint32_t>(EPOLLOUT)) != 0;
    const bool ended = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
    guarded([&] {
      if (state == State::kConnecting) return connected();
      const bool parked = state == State::kParked;
      if (state == State::kWriting && (events & EPOLLOUT) != 0) write();
      if (state == State::kWriting && readable && stale()) return end_unwritten();
      if (state == State::kReading && readable) read(ended);
      // What a server says on a parked connection, also its end, is of no use to anybody.
      if (state == State::kParked && (parked ? readable && stale() : ended)) {
        pool_.unpark(self);
        close();
      }
    });
  }

  void connected() {
    if (Server* known = pool_.find(server)) known->connecting.erase(shared_from_this());
    if (socket_.error() != 0) return end(Outcome::kDialFailed, false);
    stale() ? end_unwritten() : start_writing();
  }

  void start_writing() {
    state = State::kWriting;
    connect_by_ = kForever;
    if (now() >= write_by_) return end(Outcome::kNotSent, false);
    arm_timer(unwritten_until());
    const double left = std::max(1.0, std::floor((give_up_at_ - now()) * 1000));
    out_ = request_->head;
    out_ += "Request-Timeout-Ms: " + std::to_string(static_cast<std::int64_t>(left)) + "\r\n\r\n";
    write();
  }

  void extend(double timeout) {
    give_up_at_ = now() + timeout;
    arm_timer(give_up_at_);
  }

  // Whether its request's last byte is still here.
  bool unwritten() const { return state == State::kConnecting || state == State::kWriting; }

  const AttemptId& attempt() const { return attempt_; }

  // Whether the server has closed it, or has said what nobody asked for.
  bool stale() {
    char byte = 0;
    const ssize_t got = socket_.read(&byte, 1, MSG_PEEK);
    if (got > 0 && state == State::kParked) pool_.surplus_came();
    return got >= 0 || !Socket::would_block();
  }

  // Ends the attempt, if there is one, and with it the connection unless it may be kept.
  void end(Outcome outcome, bool keep) {
    std::unique_ptr<WholeAnswer> answer;
    if (outcome == Outcome::kReset && idle_ >= kFreshIdle && now() - began_ < kStaleReset) {
      pool_.wary_until_ = now() + kWary;
    }
    if (outcome == Outcome::kDelivered) {
      answer = std::make_unique<WholeAnswer>();
      answer->content_type = std::move(content_type_);
      answer->body = std::move(parser_->get().body());
      answer->claim = std::exchange(claim_, {});
    }
    claim_ = {};
    timer_.cancel();
    const bool carried = std::exchange(carries_, false);
    const AttemptId attempt = attempt_;
    const auto self = shared_from_this();
    parser_.reset();
    request_.reset();
    std::string().swap(out_);
    std::string().swap(in_);
    if (keep) {
      pool_.park(shared_from_this());
    } else {
      close();
    }
    if (carried) pool_.ended(attempt, outcome, std::move(answer));
  }

  void close() {
    if (state == State::kConnecting) {
      if (Server* known = pool_.find(server)) known->connecting.erase(shared_from_this());
    }
    if (state != State::kClosed) --pool_.open_;
    state = State::kClosed;
    carries_ = false;
    pool_.poller_.remove(watched_, socket_.descriptor());
    socket_.close();
    timer_.cancel();
  }

 private:
  // Guards the other attempts: what goes wrong on one connection, be it memory, ends that one alone.
  template <class Step>
  void guarded(Step&& step) {
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
    timer_.async_wait([self = shared_from_this(), serial = serial_](const error_code& error) {
      if (!error && serial == self->serial_ && self->carries_) self->expire();
    });
  }

  // When an attempt whose request is not written is over.
  double unwritten_until() const { return std::min({give_up_at_, connect_by_, write_by_}); }

  // Guards against taking a sent request for one that never ran: only bytes still here prove it.
  void expire() {
    const double until = unwritten() ? unwritten_until() : give_up_at_;
    if (now() < until) return arm_timer(until);  // an older deadline's shot
    if (state == State::kReading) {
      const std::uint64_t serial = serial_;
      tell_progress();
      if (serial != serial_ || !carries_ || now() < give_up_at_) return;
    }
    if (state == State::kReading) return end(Outcome::kTimedOut, false);
    // What only came too late for a repeat is not held against the server.
    end(now() < std::min(give_up_at_, connect_by_) ? Outcome::kNotSent : Outcome::kDialFailed, false);
  }

  void tell_progress() {
    // It may end this attempt.
    if (arriving_since_ == 0) return pool_.sink_->arriving(attempt_, {-1, 0, 0, 0});
    const auto length = parser_->content_length();
    pool_.sink_->arriving(attempt_, {now() - arriving_since_, now() - last_byte_at_,
                                     static_cast<double>(parser_->get().body().size()),
                                     length ? static_cast<double>(*length) : 0});
  }

  // Until all of it is written: only then may it run.
  void write() {
    const std::size_t head = out_.size(), all = head + request_->body.size();
    for (bool first = written_ == 0; written_ < all; first = false) {
      if (!first && stale()) return end_unwritten();
      const std::size_t of_body = written_ < head ? 0 : written_ - head;
      const std::string_view rest =
          written_ < head ? std::string_view(out_).substr(written_) : std::string_view();
      const ssize_t sent = socket_.write(rest, std::string_view(request_->body).substr(of_body));
      if (sent < 0 && Socket::would_block()) return;  // it gets ready for more
      if (sent <= 0) return end_unwritten();
      written_ += static_cast<std::size_t>(sent);
    }
    out_.clear();
    state = State::kReading;
    if (write_by_ < give_up_at_) arm_timer(give_up_at_);
  }

  // Guards against taking for an answer what a server said before it had the request. Without its last byte
  // the request never runs, and that is never written; but the server's word that it turns the request away
  // counts.
  void end_unwritten() {
    error_code error;
    const ssize_t got = socket_.read(pool_.scratch_.data(), pool_.scratch_.size());
    if (got > 0) parser_->put(asio::buffer(pool_.scratch_.data(), static_cast<std::size_t>(got)), error);
    const bool turned_away = parser_->is_header_done() && head_came() && told_ == Outcome::kRejected;
    end(turned_away ? Outcome::kRejected : Outcome::kDialFailed, false);
  }

  // `to_its_end`: the server has ended its side, and what is left must be read up to that.
  void read(bool to_its_end) {
    const std::uint64_t serial = serial_;
    while (state == State::kReading && serial == serial_) {
      const ssize_t got = socket_.read(pool_.scratch_.data(), pool_.scratch_.size());
      if (got < 0 && Socket::would_block()) return;
      if (got == 0) return ended_by_server();
      if (got < 0) return end(Outcome::kReset, false);
      const auto size = static_cast<std::size_t>(got);
      in_.append(pool_.scratch_.data(), size);
      parse();
      if (size < pool_.scratch_.size() && !to_its_end) return;  // that was all; more makes it ready again
    }
  }

  // An answer with neither a length nor chunks is whole where its server ends the connection in order (RFC
  // 9112, 6.3); a reset is no end, and any other answer is cut.
  void ended_by_server() {
    // Beast 1.74 takes an end before the first byte for the end of a message.
    const bool whole = parser_->is_header_done() && parser_->need_eof();
    end(whole ? told_ : Outcome::kReset, false);
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
      if (framing > kHeadLimit || (in_head && parser_->is_header_done() && !head_came())) {
        return end(Outcome::kUnknown, false);
      }
      if (!claim_.grow_to(parser_->get().body().size())) return end(Outcome::kUnknown, false);
      if (error == http::error::need_more) break;
      if (parser_->is_done() && is_interim()) {
        if (++interim_ > kMostInterim) return end(Outcome::kUnknown, false);
        fresh_parser();
      } else if (used == 0) {
        break;
      }
    }
    in_.erase(0, from);
    if (parser_->is_done()) {
      if (!in_.empty()) pool_.surplus_came();
      return end(told_, keep_alive_ && in_.empty());
    }
    last_byte_at_ = now();
    if (arriving_since_ == 0 && parser_->is_header_done()) {
      arriving_since_ = last_byte_at_;
      tell_progress();
    }
  }

  // Not eager: an eager parser of Beast 1.74 goes on after a head whose body is over the limit.
  void fresh_parser() {
    parser_.emplace();
    parser_->body_limit(kBodyLimit);
    parser_->header_limit(kHeadLimit);
    head_bytes_ = 0;
    claim_ = Claim(pool_.budget_);
  }

  // Takes what a head says; false where it leaves in doubt where its answer ends, or there is no room for it.
  // Guards against trailers: Beast puts them among the header fields once the body is read.
  bool head_came() {
    const auto& head = parser_->get();
    const std::size_t encodings = head.count(http::field::transfer_encoding);
    if (head.count(http::field::content_length) + encodings > 1) return false;
    if (encodings == 1 && !boost::beast::iequals(head[http::field::transfer_encoding], "chunked"))
      return false;
    told_ = outcome_of(head);
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
  double parked_at = 0;
  std::list<std::shared_ptr<Connection>>::iterator place;  // among all that are parked

 private:
  Socket socket_;
  Poller::Key watched_ = 0;
  asio::steady_timer timer_;
  std::string in_, out_;  // out: the head of the request
  std::size_t written_ = 0, head_bytes_ = 0;
  int interim_ = 0;
  Claim claim_;
  std::uint64_t serial_ = 0;  // of what it carries
  AttemptId attempt_;
  bool carries_ = false;
  std::shared_ptr<const Forward> request_;
  double began_ = 0, idle_ = 0, give_up_at_ = 0;
  double connect_by_ = kForever, write_by_ = kForever;
  double arriving_since_ = 0, last_byte_at_ = 0;  // since: the answer's head is there; 0: it is not
  ArenaParser<false, 1024> parser_;
  // As the answer's head has it.
  Outcome told_ = Outcome::kUnknown;
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
      keep_idle_(options.idle_close * kKeepIdle),
      most_sockets_(options.most_sockets),
      sweep_(io) {
  close_old();
}

Upstream::~Upstream() { shut_down(); }

// What is out on connections ends with them: their handlers find them closed and look at nothing else.
void Upstream::shut_down() {
  *alive_ = false;
  sweep_.cancel();
  for (const auto& [attempt, connection] : std::exchange(attempts_, {})) connection->close();
  for (const std::shared_ptr<Connection>& connection : std::exchange(parked_, {})) connection->close();
  servers_.clear();
}

Upstream::Server* Upstream::find(const std::string& name) {
  const auto it = servers_.find(name);
  return it == servers_.end() ? nullptr : &it->second;
}

Upstream::Connection* Upstream::on(const AttemptId& attempt) const {
  const auto it = attempts_.find(attempt);
  return it == attempts_.end() ? nullptr : it->second.get();
}

void Upstream::ended(const AttemptId& attempt, Outcome outcome, std::unique_ptr<Payload> answer) {
  attempts_.erase(attempt);
  if (!starting_) return sink_->ended(attempt, outcome, std::move(answer));
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
  } const starting(starting_);
  auto forward = std::static_pointer_cast<const Forward>(std::move(request));
  Server* known = find(server);
  if (known == nullptr || timeout <= 0) return ended(attempt, Outcome::kNotSent, nullptr);
  if (const std::shared_ptr<Connection> old = reuse(*known, forward->repeatable)) {
    attempts_.emplace(attempt, old);
    old->begin(attempt, std::move(forward), timeout, within);
    return old->start_writing();
  }
  if (!make_room()) return ended(attempt, Outcome::kNotSent, nullptr);
  const auto fresh = std::make_shared<Connection>(*this, server, known->generation);
  attempts_.emplace(attempt, fresh);
  fresh->begin(attempt, std::move(forward), timeout, within);
  known->connecting.insert(fresh);
  fresh->connect(known->dial);
}

void Upstream::extend(const AttemptId& attempt, double timeout) {
  if (Connection* connection = on(attempt)) connection->extend(timeout);
}

void Upstream::stop(const AttemptId& attempt, Outcome outcome) {
  if (Connection* connection = on(attempt)) connection->end(outcome, false);
}

void Upstream::withdraw(const AttemptId& attempt) {
  Connection* connection = on(attempt);
  if (connection != nullptr && connection->unwritten()) connection->end(Outcome::kNotSent, false);
}

// The most recently used, so that the others can idle out. Guards against writing on a connection that the
// server has closed or is about to close: what may not be repeated would be lost.
// Where kept connections break under their next request all the same, as when something on the way forgets
// them, that request may have run: what may not be repeated then goes on one just used, or on a new one.
std::shared_ptr<Upstream::Connection> Upstream::reuse(Server& server, bool repeatable) {
  while (!server.parked.empty()) {
    const auto it = rested(server);
    if (it == server.parked.end()) return nullptr;
    const std::shared_ptr<Connection> last = *it;
    if (!repeatable && now() < wary_until_ && now() - last->parked_at >= kFreshIdle) return nullptr;
    server.parked.erase(it);
    parked_.erase(last->place);
    if (now() - last->parked_at < keep_idle_ && !last->stale()) return last;
    last->close();
  }
  return nullptr;
}

// Guards the next request's client where servers say more than they were asked: an answer is tied to its
// request by its place on the connection alone, and a second one that comes a moment late would be taken for
// the next request's. So a connection rests before it is used again, the longest where all have just been
// used.
std::deque<std::shared_ptr<Upstream::Connection>>::iterator Upstream::rested(Server& server) {
  auto& parked = server.parked;  // the most recently used at the back
  if (now() >= rest_until_) return parked.end() - 1;
  for (auto it = parked.end(); it != parked.begin();) {
    if (now() - (*--it)->parked_at >= kRest) return it;
  }
  return parked.size() < kMostResting ? parked.end() : parked.begin();
}

void Upstream::surplus_came() { rest_until_ = now() + kRestMemory; }

// Guards the limit on sockets: the longest idle connection makes room for one that is needed.
bool Upstream::make_room() {
  if (open_ < most_sockets_) return true;
  if (parked_.empty()) return false;
  const std::shared_ptr<Connection> oldest = parked_.front();
  unpark(oldest);
  oldest->close();
  return true;
}

void Upstream::park(const std::shared_ptr<Connection>& connection) {
  Server* known = find(connection->server);
  // Guards against a connection that leads to the process before: it was busy while another took its place.
  if (known == nullptr || known->generation != connection->generation) return connection->close();
  connection->state = Connection::State::kParked;
  connection->parked_at = now();
  connection->place = parked_.insert(parked_.end(), connection);
  known->parked.push_back(connection);
}

void Upstream::unpark(const std::shared_ptr<Connection>& connection) {
  parked_.erase(connection->place);
  if (Server* known = find(connection->server)) std::erase(known->parked, connection);
}

void Upstream::close_parked(Server& server) {
  for (const std::shared_ptr<Connection>& connection : std::exchange(server.parked, {})) {
    parked_.erase(connection->place);
    connection->close();
  }
}

void Upstream::close_old() {
  while (!parked_.empty() && now() - parked_.front()->parked_at >= keep_idle_) {
    const std::shared_ptr<Connection> oldest = parked_.front();
    unpark(oldest);
    oldest->close();
  }
  sweep_.expires_after(duration(keep_idle_ - (parked_.empty() ? 0 : now() - parked_.front()->parked_at)));
  sweep_.async_wait([this](const error_code& error) {
    if (!error) close_old();
  });
}

void Upstream::stop_connecting(const Server& server, std::vector<AttemptId>& stopped) {
  for (const std::shared_ptr<Connection>& waiting : server.connecting) stopped.push_back(waiting->attempt());
}

std::vector<AttemptId> Upstream::apply(const ServerList& list) {
  std::vector<std::string> gone;
  std::vector<AttemptId> stopped;
  if (list.is_full) {
    std::unordered_set<std::string> named;
    for (const ListedServer& told : list.servers) named.insert(told.info.address);
    for (const auto& [name, server] : servers_) {
      if (!named.contains(name)) gone.push_back(name);
    }
  }
  for (const ListedServer& told : list.servers) {
    if (told.info.state != quinceusher::ServerState::kReady) {
      gone.push_back(told.info.address);
      continue;
    }
    Server& server = servers_[told.info.address];
    // Another process, or the same at another address: what is parked or on its way leads nowhere.
    if (server.dial != told.endpoint || server.started != told.info.started) {
      close_parked(server);
      stop_connecting(server, stopped);
      server.generation = ++generation_;
    }
    server.dial = told.endpoint;
    server.started = told.info.started;
  }
  // Guards the drains: a send that still waits for its connection must not be written later.
  for (const std::string& name : gone) {
    const auto it = servers_.find(name);
    if (it == servers_.end()) continue;
    stop_connecting(it->second, stopped);
    close_parked(it->second);
    servers_.erase(it);
  }
  return stopped;
}

}  // namespace nettlestand
