#include "gateway/impl.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstdio>
#include <exception>
#include <random>
#include <utility>

#include "util/clock.h"

namespace nettlestand {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kBodyMemoryDivisor = 3;  // bodies may take up this part of the memory: a third
constexpr double kMaxDeadline = 3;             // s; as in the daemon's drain
constexpr double kFinalAnswersDelay =
    0.45;  // s after the longest deadline, when all open requests are answered

using Loggers = GatewayLoggers;

std::uint64_t random_request_id_seed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

// Generates request ids that don't collide with those of other processes, by the mixing function of
// SplitMix64 (Steele, Lea, Flood 2014).
std::string make_request_id(std::uint64_t seed, Ticket ticket) {
  std::uint64_t z = seed + ticket * 0x9E3779B97F4A7C15ULL;
  z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
  z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
  char out[17];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(z ^ (z >> 31)));
  return out;
}

// Ignores exceptions from loggers, as a failing logger must not fail a request.
void log_to(const Loggers& loggers, const LogEvent& event) noexcept {
  try {
    if (loggers.on_line) loggers.on_line(event.text);
  } catch (...) {
  }
  try {
    if (loggers.on_event) loggers.on_event(event);
  } catch (...) {
  }
}

}  // namespace

Gateway::Impl::Impl(Options options, ValidatedOptions validated, asio::io_context* loop)
    : options_(std::move(options)),
      loggers_(std::make_shared<const Loggers>(Loggers{options_.logger, options_.event_logger})),
      validated_(std::move(validated)),
      own_loop_(loop == nullptr ? std::make_unique<asio::io_context>(1) : nullptr),
      loop_(loop == nullptr ? *own_loop_ : *loop),
      request_validator_(validated_.engine.settings, validated_.classes, validated_.tenants,
                         validated_.duties.has_value()),
      budget_(options_.memory / kBodyMemoryDivisor),
      poller_(loop_),
      upstream_(loop_, poller_,
                {std::chrono::duration<double>(options_.connect_timeout).count(),
                 std::chrono::duration<double>(options_.idle_close).count(), options_.sockets},
                budget_, [this](const LogEvent& event) { log(event); }),
      engine_(
          loop_, validated_.engine, upstream_, [this](const LogEvent& event) { log(event); },
          [this] {
            if (discovery_) discovery_->watch();
          }),
      drain_timer_(loop_),
      request_id_seed_(random_request_id_seed()) {
  if (validated_.discovery) {
    discovery_.emplace(loop_,
                       DiscoveryOptions{*validated_.discovery, options_.zones, options_.seed,
                                        options_.servers_version, false, validated_.engine.max_servers},
                       Discovery::Callbacks{[this](const ServerList& list) { engine_.on_server_list(list); },
                                            [this] { engine_.on_watch_failed(); }},
                       [this](const LogEvent& event) { log(event); });
  }
  if (validated_.peers) {
    peers_.emplace(loop_, *validated_.peers,
                   peers::Service::Listeners{[this](const peers::BalancerAssignment& assignment) {
                                               engine_.on_balancers_changed(assignment.index,
                                                                            assignment.count,
                                                                            assignment.rate_limit_divisor);
                                             },
                                             {}},
                   [this](const LogEvent& event) { log(event); });
  }
  if (validated_.duties) {
    duties_.emplace(loop_, *validated_.duties, [this](const LogEvent& event) { log(event); });
    track_duties();
  }
  if (own_loop_) work_guard_.emplace(own_loop_->get_executor());
}

// Updates held_duties_ before the application is told of a change, so that duty_token() already reflects it.
void Gateway::Impl::track_duties() {
  duties_->set_state_listener([this] {
    const std::lock_guard lock(mutex_);
    for (const DutyOptions& d : options_.duties->duties)
      held_duties_[d.name] = {duties_->held_token(d.name).value_or(0), duties_->held_until(d.name)};
  });
}

std::uint64_t Gateway::Impl::duty_token(const std::string& duty) const {
  const std::lock_guard lock(mutex_);
  const auto it = held_duties_.find(duty);
  return it == held_duties_.end() || now() >= it->second.until ? 0 : it->second.token;
}

void Gateway::Impl::report_duty_failure(const std::string& duty) {
  on_loop([this, duty] {
    if (duties_ && !is_shut_down_) duties_->report_failure(duty);
  });
}

// A posted task keeps this object alive until it has run or is destroyed with the loop.
template <class F>
void Gateway::Impl::on_loop(F f) {
  asio::post(loop_, [self = shared_from_this(), f = std::move(f)]() mutable { f(); });
}

void Gateway::Impl::start() {
  on_loop([this] {
    if (is_shut_down_) return;
    engine_.start();
    if (peers_) peers_->start();
    if (duties_) {
      duties_->start();
      for (std::size_t i = 0; i < validated_.duties->duties.size(); ++i) {
        duties_->acquire(validated_.duties->duties[i], [this, i](const duties::LeaseHolder::Change& c) {
          if (!options_.duties->duties[i].changed) return;
          DutyChange change{c.duty, c.token, c.gained, c.gained ? "" : duties::name_of(c.loss_reason)};
          post_task([self = shared_from_this(), i, change = std::move(change)] {
            self->options_.duties->duties[i].changed(change);
          });
        });
      }
    }
    if (validated_.servers)
      engine_.on_server_list(*validated_.servers);  // otherwise the last known list or one from discovery
  });
  if (!own_loop_) return;
  thread_ = std::thread([self = shared_from_this()] {
    while (true) {
      try {
        self->loop_.run();
        return;
      } catch (const std::exception& error) {  // an error on one connection must not end the others
        self->log(nettlestand::unexpected_error("gateway", error.what()));
      }
    }
  });
}

void Gateway::Impl::close() {
  std::unordered_map<Ticket, std::shared_ptr<Pending>> unanswered;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    unanswered.swap(pending_);
  }
  for (auto& [ticket, pending] : unanswered) {
    Response response;
    response.outcome = Outcome::kShutDown;
    complete(std::move(pending->done), std::move(response));
  }
  // Posted twice: handlers that the shutdown has cancelled run in between and still need this object.
  on_loop([this] {
    shut_down();
    on_loop([this] { work_guard_.reset(); });
  });
  if (!thread_.joinable()) return;
  if (thread_.get_id() == std::this_thread::get_id()) {
    thread_.detach();  // it shares ownership of this object and ends by itself
  } else {
    thread_.join();
  }
}

void Gateway::Impl::shut_down() {
  if (std::exchange(is_shut_down_, true)) return;
  drain_timer_.cancel();
  if (discovery_) discovery_->shut_down();
  if (peers_) peers_->leave();
  if (duties_) duties_->close();
  engine_.shut_down();
  poller_.shut_down();
  if (on_stopped_) post_task(std::exchange(on_stopped_, nullptr));
}

Response Gateway::Impl::refusal(Errc code, const char* text) const {
  Response out = to_response(engine_.refusal());
  out.error = {code, text};
  return out;
}

std::shared_ptr<Gateway::Impl::Pending> Gateway::Impl::register_request(Completion& done, Ticket& ticket) {
  auto pending = std::make_shared<Pending>();
  pending->owner = this;
  bool stopping = false;
  {
    const std::lock_guard lock(mutex_);
    ticket = pending->ticket = ++last_ticket_;
    stopping = stopping_;
    if (!stopping && pending_.size() < options_.max_open) {
      pending->done = std::move(done);
      pending_.emplace(ticket, pending);
      return pending;
    }
  }
  complete(std::move(done), stopping ? refusal(Errc::kStopping, "the gateway is stopping")
                                     : refusal(Errc::kFull, "max_open requests are open"));
  return nullptr;
}

Ticket Gateway::Impl::submit_to_engine(const std::shared_ptr<Pending>& pending) {
  on_loop([this, pending] {
    if (!is_pending(pending->ticket)) return;  // cancelled or shut down before this task ran
    if (engine_.has_request(pending->call.client_id)) {
      Response response;
      response.outcome = Outcome::kInvalid;
      response.error = {Errc::kRequestIdInUse, "this Request-Id is open"};
      finish(pending->ticket, std::move(response));
      return;
    }
    pending->engine_request = engine_.submit(std::move(pending->call), pending);
  });
  return pending->ticket;
}

Ticket Gateway::Impl::submit(Request&& request, Completion&& done) {
  const double received_at = now();
  Ticket ticket = 0;
  const std::shared_ptr<Pending> pending = register_request(done, ticket);
  if (!pending) return ticket;
  if (request.id.empty()) request.id = make_request_id(request_id_seed_, ticket);
  std::uint64_t token = 0;
  if (!request.duty.empty() && (token = duty_token(request.duty)) == 0) {
    finish(ticket, refusal(Errc::kDutyNotHeld, "this gateway does not hold the duty"));
    return ticket;
  }
  try {
    pending->call = to_call(std::move(request), request_validator_, validated_.classes,
                            validated_.engine.settings, budget_, received_at, token);
  } catch (const RequestRejection& rejection) {
    Response response;
    if (rejection.status == 503) response = to_response(engine_.refusal());
    if (rejection.status != 503) response.outcome = Outcome::kInvalid;
    response.error = to_error(rejection);
    finish(ticket, std::move(response));
    return ticket;
  }
  return submit_to_engine(pending);
}

Ticket Gateway::Impl::submit(HttpCall&& call, Completion&& done) {
  Ticket ticket = 0;
  const std::shared_ptr<Pending> pending = register_request(done, ticket);
  if (!pending) return ticket;
  if (!call.impl || !call.impl->call.payload) {
    Response response;
    response.outcome = Outcome::kInvalid;
    response.error = {Errc::kBadRequest, "an empty HttpCall"};
    finish(ticket, std::move(response));
    return ticket;
  }
  pending->call = std::move(call.impl->call);
  return submit_to_engine(pending);
}

bool Gateway::Impl::remove_pending(Ticket ticket, std::shared_ptr<Pending>* out) {
  const std::lock_guard lock(mutex_);
  const auto it = pending_.find(ticket);
  if (it == pending_.end()) return false;
  if (out != nullptr) *out = std::move(it->second);
  pending_.erase(it);
  return true;
}

bool Gateway::Impl::is_pending(Ticket ticket) const {
  const std::lock_guard lock(mutex_);
  return pending_.contains(ticket);
}

bool Gateway::Impl::finish(Ticket ticket, Response&& response) {
  std::shared_ptr<Pending> pending;
  if (!remove_pending(ticket, &pending)) return false;
  complete(std::move(pending->done), std::move(response));
  return true;
}

void Gateway::Impl::answered(Pending& pending, Reply&& reply) {
  finish(pending.ticket, to_response(std::move(reply)));
  if (draining_) on_loop([this] { end_if_drained(); });
}

bool Gateway::Impl::cancel(Ticket ticket) {
  std::shared_ptr<Pending> pending;
  if (!remove_pending(ticket, &pending)) return false;
  Response response;
  response.outcome = Outcome::kCancelled;
  complete(std::move(pending->done), std::move(response));
  on_loop([this, pending] {
    if (pending->engine_request != 0 && !is_shut_down_) engine_.on_client_gone(pending->engine_request);
    if (draining_) end_if_drained();
  });
  return true;
}

void Gateway::Impl::stop(UniqueFunction<void()> done) {
  {
    const std::lock_guard lock(mutex_);
    if (std::exchange(stopping_, true)) return;
  }
  on_loop([this, done = std::make_shared<UniqueFunction<void()>>(std::move(done))] {
    if (is_shut_down_) return;
    on_stopped_ = std::move(*done);
    draining_ = true;
    if (peers_) peers_->announce_leaving();
    if (duties_) duties_->release_all();
    double longest = 0;
    for (const auto& c : validated_.engine.settings.classes) longest = std::max(longest, c.give_up);
    drain_timer_.expires_after(to_duration(std::min(longest, kMaxDeadline) + kFinalAnswersDelay));
    drain_timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (error || self->is_shut_down_) return;
      self->engine_.expire_all();
      self->shut_down();
    });
    end_if_drained();
  });
}

void Gateway::Impl::expire_all() {
  on_loop([this] {
    if (!is_shut_down_) engine_.expire_all();
  });
}

void Gateway::Impl::end_if_drained() {
  if (open_requests() == 0) shut_down();
}

std::size_t Gateway::Impl::open_requests() const {
  const std::lock_guard lock(mutex_);
  return pending_.size();
}

// Exceptions from completions are caught, as they must not reach the loop or the executor's threads.
void Gateway::Impl::complete(Completion done, Response&& response) {
  if (!done) return;
  struct CompletionCall {
    Completion done;
    Response response;
  };
  // Holds no reference to the gateway: it may run after both the gateway and its loop are gone.
  post_task([logger = loggers_, call = CompletionCall{std::move(done), std::move(response)}]() mutable {
    try {
      call.done(std::move(call.response));
    } catch (const std::exception& problem) {
      log_to(*logger, {LogLevel::kError,
                       "gateway",
                       "completion_threw",
                       std::string("a completion threw: ") + problem.what(),
                       {{"what", std::string(problem.what())}}});
    } catch (...) {
      log_to(*logger, {LogLevel::kError, "gateway", "completion_threw", "a completion threw", {}});
    }
  });
}

void Gateway::Impl::post_task(UniqueFunction<void()> task) {
  if (options_.executor) return options_.executor->post(std::move(task));
  asio::post(loop_, [task = std::make_shared<UniqueFunction<void()>>(std::move(task))] { (*task)(); });
}

Error Gateway::Impl::set_servers(const std::vector<ServerOptions>& servers) {
  ServerList list;
  if (Error error = to_server_list(servers, options_.zones, validated_.engine.max_servers,
                                   ++server_list_sequence_, list)) {
    return error;
  }
  on_loop([this, list = std::move(list)] {
    if (!is_shut_down_) engine_.on_server_list(list);
  });
  return {};
}

Error Gateway::Impl::set_discovery_address(const std::string& address) {
  const auto to = parse_endpoint(address);
  if (!to) return {Errc::kBadOption, "discovery: '" + address + "' is not an address and a port"};
  if (!discovery_) return {Errc::kBadOption, "discovery: this gateway was opened without one"};
  on_loop([this, to = *to] { discovery_->set_address(to); });
  return {};
}

void Gateway::Impl::log(const LogEvent& event) const noexcept { log_to(*loggers_, event); }

}  // namespace nettlestand
