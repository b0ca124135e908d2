#include "node/listener.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cstdio>
#include <optional>
#include <string_view>
#include <utility>

namespace nettlestand {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using Request = http::request<http::string_body>;

constexpr std::size_t kBodyLimit = 64 * 1024;   // bytes
constexpr std::size_t kReadSize = 8 * 1024;     // bytes
constexpr std::size_t kEarlyLimit = 16 * 1024;  // bytes kept of a next request while one is being answered
constexpr double kIdleLimit = 120;              // s without a request
constexpr double kReadLimit = 10;               // s from a request's first byte to its last
constexpr double kWriteLimit = 10;              // s for a client to take its answer
constexpr double kLongestTimeout = 600;         // s
constexpr auto kSweepPeriod = std::chrono::milliseconds(250);
constexpr auto kAcceptPause = std::chrono::milliseconds(20);  // after a failed accept: never a busy loop

// What a client is told that sent what can't be used; it reaches no server.
struct BadRequest {
  unsigned status;
  const char* what;
};

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

std::optional<std::uint64_t> whole(std::string_view text) {
  std::uint64_t out = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return out;
}

std::string_view path_of(const Request& request) {
  const std::string_view target = view(request.target());
  return target.substr(0, target.find('?'));
}

// Headers that belong to one connection, and those that the node writes itself.
bool goes_on(const Request& request, const Request::value_type& field) {
  switch (field.name()) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::transfer_encoding:
    case http::field::content_length:
    case http::field::te:
    case http::field::trailer:
    case http::field::upgrade:
    case http::field::expect:
      return false;
    default:
      return !boost::beast::iequals(field.name_string(), "Request-Timeout-Ms") &&
             !http::token_list{request[http::field::connection]}.exists(field.name_string());
  }
}

std::shared_ptr<const Forward> forward(Request&& request) {
  auto out = std::make_shared<Forward>();
  std::string& head = out->head;
  head.append(view(request.method_string())).append(" ").append(view(request.target()));
  head.append(" HTTP/1.1\r\n");
  for (const auto& field : request) {
    if (!goes_on(request, field)) continue;
    head.append(view(field.name_string())).append(": ").append(view(field.value())).append("\r\n");
  }
  if (!request.body().empty() || request.method() == http::verb::post) {
    head.append("Content-Length: ").append(std::to_string(request.body().size())).append("\r\n");
  }
  out->body = std::move(request.body());
  return out;
}

std::string message(const Answer& answer, bool close) {
  std::string out = "HTTP/1.1 " + std::to_string(answer.status) + " ";
  out.append(view(http::obsolete_reason(static_cast<http::status>(answer.status))));
  out += "\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n";
  if (!answer.content_type.empty()) out += "Content-Type: " + answer.content_type + "\r\n";
  if (answer.retry_after > 0) {
    std::array<char, 32> seconds{};
    std::snprintf(seconds.data(), seconds.size(), "%.3f", answer.retry_after);
    out.append("Retry-After: ").append(seconds.data()).append("\r\n");
  }
  if (close) out += "Connection: close\r\n";
  return out + "\r\n" + answer.body;
}

}  // namespace

class Listener::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Listener& listener, tcp::socket socket) : listener_(listener), socket_(std::move(socket)) {
    ++listener_.count_;
  }
  ~Connection() { --listener_.count_; }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void start() {
    fresh_parser();
    enter(State::kIdle);
    wait_readable();
  }

  // Closes it unless a request is being read, waits or is being answered.
  bool close_if_idle() {
    if (state_ != State::kIdle) return false;
    char byte = 0;
    // What has come and is not read yet is a request that this machine has taken.
    if (::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) return false;
    close();
    return true;
  }

  void close() {
    if (state_ == State::kClosed) return;
    const auto self = shared_from_this();
    const bool waiting = state_ == State::kWaiting;
    enter(State::kClosed);
    error_code ignored;
    socket_.close(ignored);
    if (waiting) listener_.engine_.gone(request_);
    if (listener_.full_) listener_.accept_later();
  }

  double since() const { return since_; }

 private:
  enum class State { kIdle, kReading, kWaiting, kWriting, kClosed };

  Order* order_of(State state) {
    if (state == State::kIdle) return &listener_.idle_;
    if (state == State::kReading) return &listener_.reading_;
    return state == State::kWriting ? &listener_.writing_ : nullptr;
  }

  void enter(State state) {
    const auto self = shared_from_this();
    if (Order* order = listed_ ? order_of(state_) : nullptr) order->erase(place_);
    state_ = state;
    since_ = now();
    Order* order = order_of(state);
    listed_ = order != nullptr;
    if (order != nullptr) place_ = order->insert(order->end(), self);
  }

  // Not eager: an eager parser of Beast 1.74 goes on after a head whose body is over the limit, and takes the
  // body for more of the head.
  void fresh_parser() {
    parser_.emplace();
    parser_->body_limit(kBodyLimit);
  }

  // One wait is out at any time, also while a request waits for its answer: only so is it noticed that a
  // client leaves.
  void wait_readable() {
    if (waiting_ || state_ == State::kClosed) return;
    waiting_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
      self->waiting_ = false;
      if (self->state_ == State::kClosed) return;
      if (error) return self->close();
      self->read();
    });
  }

  void read() {
    if (in_.size() >= kEarlyLimit && state_ != State::kReading && state_ != State::kIdle) return;
    error_code error;
    if (state_ == State::kIdle) came_at_ = now();
    const std::size_t got = socket_.read_some(in_.prepare(kReadSize), error);
    in_.commit(got);
    if (error == asio::error::would_block) return wait_readable();
    if (error) return close();
    if (state_ == State::kIdle) enter(State::kReading);
    if (state_ == State::kReading) return parse();
    wait_readable();  // the next request's bytes are kept
  }

  void parse() {
    error_code error;
    while (in_.size() > 0 && !parser_->is_done()) {
      const std::size_t used = parser_->put(in_.data(), error);
      in_.consume(used);
      if (error == http::error::need_more) break;
      if (error) {
        answer({error == http::error::body_limit ? 413U : 400U, 0, {}, {}}, true);
        return;
      }
      if (used == 0) break;
    }
    if (parser_->is_done()) return take();
    if (parser_->is_header_done() && !told_to_continue_ &&
        boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
      told_to_continue_ = true;
      static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
      socket_.write_some(asio::buffer(kContinue.data(), kContinue.size()), error);
    }
    wait_readable();
  }

  void take() {
    Request request = parser_->release();
    told_to_continue_ = false;
    keep_alive_ = request.keep_alive();
    const std::string_view path = path_of(request);
    if (path == "/healthz") {
      const bool get = request.method() == http::verb::get || request.method() == http::verb::head;
      head_only_ = request.method() == http::verb::head;
      return answer({!get                                                ? 405U
                     : listener_.engine_.ready() && !listener_.draining_ ? 200U
                                                                         : 503U,
                     0,
                     {},
                     {}},
                    false);
    }
    if (path != "/api") return answer({404, 0, {}, {}}, false);
    Call call;
    try {
      call = sound(std::move(request));
    } catch (const BadRequest& bad) {
      return answer({bad.status, 0, std::string(bad.what) + "\n", "text/plain"}, false);
    }
    if (listener_.crowded()) return answer(listener_.engine_.refusal(), true);
    enter(State::kWaiting);
    request_ = 0;
    wait_readable();
    const std::uint64_t number =
        listener_.engine_.submit(std::move(call), [self = shared_from_this()](Answer&& final) {
          if (self->state_ == State::kWaiting) self->answer(std::move(final), false);
        });
    request_ = number;
  }

  Call sound(Request&& request) const {
    const auto named = [&](const char* field, const auto& known) {
      const auto it = known.find(std::string(view(request[field])));
      return it == known.end() ? std::nullopt : std::optional<std::size_t>(it->second);
    };
    Call out;
    out.came_at = came_at_;
    if (request["Request-Id"].empty()) throw BadRequest{400, "no Request-Id"};
    const auto request_class = named("Request-Class", listener_.classes_);
    if (!request_class) throw BadRequest{400, "unknown Request-Class"};
    out.facts.request_class = *request_class;
    if (!listener_.tenants_.empty()) {
      const auto tenant = named("Tenant", listener_.tenants_);
      if (!tenant) throw BadRequest{400, "unknown Tenant"};
      out.facts.tenant = *tenant;
    }
    const quinceusher::RequestClass& facts = listener_.class_facts_[*request_class];
    // Guards the classes that are not safe: what servers take for safe, or can't tell from a repeat, runs
    // twice.
    const bool safe = facts.effect == quinceusher::Effect::kSafe;
    if (request.method() != http::verb::post && !(safe && request.method() == http::verb::get)) {
      throw BadRequest{400, "the method does not belong to the class"};
    }
    if (facts.effect == quinceusher::Effect::kKeyed && request["Idempotency-Key"].empty()) {
      throw BadRequest{400, "no Idempotency-Key"};
    }
    out.timeout = facts.give_up;
    if (request.count("Request-Timeout-Ms") > 0) {
      const auto ms = whole(view(request["Request-Timeout-Ms"]));
      if (!ms || *ms == 0) throw BadRequest{400, "bad Request-Timeout-Ms"};
      out.timeout = std::min(static_cast<double>(*ms) / 1000, kLongestTimeout);
    }
    if (request.count("Work-Hint") > 0) {
      if (const auto us = whole(view(request["Work-Hint"]))) out.facts.work = static_cast<double>(*us) / 1e6;
    }
    out.facts.is_repeat = request["Client-Retry"] == "1";
    out.forward = forward(std::move(request));
    return out;
  }

  void answer(Answer&& final, bool close) {
    close_after_ = close || !keep_alive_ || listener_.finishing_;
    const std::size_t length = final.body.size();
    out_ = message(final, close_after_);
    if (std::exchange(head_only_, false)) out_.resize(out_.size() - length);
    enter(State::kWriting);
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                        if (self->state_ != State::kWriting) return;
                        if (error) return self->close();
                        self->answered();
                      });
  }

  void answered() {
    out_.clear();
    if (close_after_ || listener_.finishing_) {
      // Guards the answer: closing over unread bytes resets the connection and may take the answer with it.
      error_code ignored;
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
      std::array<char, 4096> rest{};
      for (int i = 0; i < 32 && socket_.read_some(asio::buffer(rest), ignored) > 0 && !ignored; ++i) {
      }
      return close();
    }
    fresh_parser();
    if (in_.size() == 0) {
      enter(State::kIdle);
      return wait_readable();
    }
    came_at_ = now();
    enter(State::kReading);
    parse();
  }

  Listener& listener_;
  tcp::socket socket_;
  State state_ = State::kClosed;
  bool listed_ = false, waiting_ = false, told_to_continue_ = false, keep_alive_ = false, head_only_ = false,
       close_after_ = false;
  Order::iterator place_;
  double since_ = 0, came_at_ = 0;
  std::uint64_t request_ = 0;
  boost::beast::flat_buffer in_;
  std::string out_;
  std::optional<http::request_parser<http::string_body>> parser_;
};

Listener::Listener(asio::io_context& io, const Config& config, Engine& engine, std::size_t most_connections)
    : io_(io),
      engine_(engine),
      class_facts_(config.settings.classes),
      most_(most_connections),
      acceptor_(io),
      retry_(io),
      sweep_(io) {
  for (const std::string& name : config.classes) classes_.emplace(name, classes_.size());
  for (const std::string& name : config.tenants) tenants_.emplace(name, tenants_.size());
  acceptor_.open(config.listen.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(config.listen);
  acceptor_.listen(4096);
  acceptor_.non_blocking(true);
  accept();
  sweep();
}

// Guards the limit on descriptors: the longest idle connection makes room; where none is idle, the rest wait
// in the machine's queue until one ends.
void Listener::accept() {
  if (accepting_ || !acceptor_.is_open()) return;
  accepting_ = true;
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](const error_code& error) {
    accepting_ = false;
    if (error == asio::error::operation_aborted) return;
    if (error) return accept_later();
    for (int i = 0; i < 64; ++i) {
      if (count_ >= most_ && (idle_.empty() || !idle_.front()->close_if_idle())) {
        if (!full_) log_line("no room for further connections of callers");
        full_ = true;
        return accept_later();
      }
      full_ = false;
      error_code failed;
      tcp::socket socket(io_);
      acceptor_.accept(socket, failed);
      if (failed == asio::error::would_block || failed == asio::error::connection_aborted) break;
      if (failed) return accept_later();  // no descriptor left, most likely
      adopt(std::move(socket));
    }
    accept();
  });
}

void Listener::accept_later() {
  retry_.expires_after(kAcceptPause);
  retry_.async_wait([this](const error_code& error) {
    if (!error) accept();
  });
}

bool Listener::adopt(tcp::socket socket) {
  error_code error;
  socket.set_option(tcp::no_delay(true), error);
  socket.non_blocking(true, error);
  if (error) return false;
  std::make_shared<Connection>(*this, std::move(socket))->start();
  return true;
}

void Listener::sweep() {
  const auto close_older = [](Order& order, double limit) {
    while (!order.empty() && now() - order.front()->since() > limit) {
      const std::shared_ptr<Connection> oldest = order.front();
      oldest->close();
    }
  };
  close_older(idle_, kIdleLimit);
  close_older(reading_, kReadLimit);
  close_older(writing_, kWriteLimit);
  sweep_.expires_after(kSweepPeriod);
  sweep_.async_wait([this](const error_code& error) {
    if (!error) sweep();
  });
}

void Listener::finish() {
  finishing_ = true;
  const Order idle = idle_;
  for (const std::shared_ptr<Connection>& connection : idle) connection->close_if_idle();
}

void Listener::stop_accepting() {
  for (error_code error; !error;) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) adopt(std::move(socket));
  }
  error_code ignored;
  acceptor_.close(ignored);
  retry_.cancel();
}

}  // namespace nettlestand
