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

constexpr std::size_t kBodyPart = 3;    // of the memory, the part that bodies may take up: a third
constexpr double kLongestDeadline = 3;  // s; as the daemon after SIGTERM
constexpr double kLastAnswers = 0.45;   // s over the longest deadline; what is open then is answered

using Loggers = GatewayLoggers;

std::uint64_t random_base() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

// Names that other processes don't come upon: mixed after SplitMix64 (Steele, Lea, Flood 2014).
std::string id_of(std::uint64_t base, Ticket ticket) {
  std::uint64_t z = base + ticket * 0x9E3779B97F4A7C15ULL;
  z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
  z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
  char out[17];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(z ^ (z >> 31)));
  return out;
}

// A log that fails must not fail a request.
void log_to(const Loggers& to, const LogEvent& event) noexcept {
  try {
    if (to.lines) to.lines(event.text);
  } catch (...) {
  }
  try {
    if (to.events) to.events(event);
  } catch (...) {
  }
}

}  // namespace

Gateway::Impl::Impl(Options options, Checked checked, asio::io_context* loop)
    : options_(std::move(options)),
      logger_(std::make_shared<const Loggers>(Loggers{options_.logger, options_.event_logger})),
      checked_(std::move(checked)),
      own_(loop == nullptr ? std::make_unique<asio::io_context>(1) : nullptr),
      loop_(loop == nullptr ? *own_ : *loop),
      request_validator_(checked_.engine.settings, checked_.classes, checked_.tenants,
                         checked_.duties.has_value()),
      budget_(options_.memory / kBodyPart),
      poller_(loop_),
      upstream_(loop_, poller_,
                {std::chrono::duration<double>(options_.connect_timeout).count(),
                 std::chrono::duration<double>(options_.idle_close).count(), options_.sockets},
                budget_, [this](const LogEvent& event) { log(event); }),
      engine_(
          loop_, checked_.engine, upstream_, [this](const LogEvent& event) { log(event); },
          [this] {
            if (discovery_) discovery_->watch();
          }),
      last_answers_(loop_),
      id_base_(random_base()) {
  if (checked_.discovery) {
    discovery_.emplace(loop_,
                       DiscoveryOptions{*checked_.discovery, options_.zones, options_.seed,
                                        options_.servers_version, false, checked_.engine.max_servers},
                       Discovery::Callbacks{[this](const ServerList& list) { engine_.on_server_list(list); },
                                            [this] { engine_.on_watch_failed(); }},
                       [this](const LogEvent& event) { log(event); });
  }
  if (checked_.peers) {
    peers_.emplace(loop_, *checked_.peers,
                   peers::Service::Listeners{[this](const peers::BalancerAssignment& assignment) {
                                               engine_.on_balancers_changed(assignment.index,
                                                                            assignment.count,
                                                                            assignment.rate_limit_divisor);
                                             },
                                             {}},
                   [this](const LogEvent& event) { log(event); });
  }
  if (checked_.duties) {
    duties_.emplace(loop_, *checked_.duties, [this](const LogEvent& event) { log(event); });
    hold_duties();
  }
  if (own_) work_.emplace(own_->get_executor());
}

// What is held goes to the table for other threads before anybody is told of it.
void Gateway::Impl::hold_duties() {
  duties_->set_state_listener([this] {
    const std::lock_guard lock(mutex_);
    for (const DutyOptions& d : options_.duties->duties)
      held_[d.name] = {duties_->held_token(d.name).value_or(0), duties_->held_until(d.name)};
  });
}

std::uint64_t Gateway::Impl::duty_token(const std::string& duty) const {
  const std::lock_guard lock(mutex_);
  const auto it = held_.find(duty);
  return it == held_.end() || now() >= it->second.until ? 0 : it->second.token;
}

void Gateway::Impl::duty_failed(const std::string& duty) {
  on_loop([this, duty] {
    if (duties_ && !shut_) duties_->report_failure(duty);
  });
}

// What is posted to the loop keeps the gateway's inside until it has run, or goes with the loop.
template <class F>
void Gateway::Impl::on_loop(F f) {
  asio::post(loop_, [self = shared_from_this(), f = std::move(f)]() mutable { f(); });
}

void Gateway::Impl::start() {
  on_loop([this] {
    if (shut_) return;
    engine_.start();
    if (peers_) peers_->start();
    if (duties_) {
      duties_->start();
      for (std::size_t i = 0; i < checked_.duties->duties.size(); ++i) {
        duties_->acquire(checked_.duties->duties[i], [this, i](const duties::LeaseHolder::Change& c) {
          if (!options_.duties->duties[i].changed) return;
          DutyChange change{c.duty, c.token, c.gained, c.gained ? "" : duties::name_of(c.loss_reason)};
          post_task([self = shared_from_this(), i, change = std::move(change)] {
            self->options_.duties->duties[i].changed(change);
          });
        });
      }
    }
    if (checked_.servers) engine_.on_server_list(*checked_.servers);  // else discovery's, known or to come
  });
  if (!own_) return;
  thread_ = std::thread([self = shared_from_this()] {
    while (true) {
      try {
        self->loop_.run();
        return;
      } catch (const std::exception& surprise) {  // one connection's trouble must not end the others
        self->log(nettlestand::unexpected_error("gateway", surprise.what()));
      }
    }
  });
}

void Gateway::Impl::close() {
  std::unordered_map<Ticket, std::shared_ptr<Pending>> owed;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    owed.swap(table_);
  }
  for (auto& [ticket, pending] : owed) {
    Response response;
    response.outcome = Outcome::kShutDown;
    complete(std::move(pending->done), std::move(response));
  }
  // Twice: what the end has cancelled comes in between, and must still find the gateway's inside.
  on_loop([this] {
    shut();
    on_loop([this] { work_.reset(); });
  });
  if (!thread_.joinable()) return;
  if (thread_.get_id() == std::this_thread::get_id()) {
    thread_.detach();  // it holds what it needs, and ends by itself
  } else {
    thread_.join();
  }
}

void Gateway::Impl::shut() {
  if (std::exchange(shut_, true)) return;
  last_answers_.cancel();
  if (discovery_) discovery_->shut_down();
  if (peers_) peers_->leave();
  if (duties_) duties_->close();
  engine_.shut_down();
  poller_.shut_down();
  if (stopped_) post_task(std::exchange(stopped_, nullptr));
}

Response Gateway::Impl::refusal(Errc code, const char* text) const {
  Response out = response_of(engine_.refusal());
  out.error = {code, text};
  return out;
}

std::shared_ptr<Gateway::Impl::Pending> Gateway::Impl::enter(Completion& done, Ticket& ticket) {
  auto pending = std::make_shared<Pending>();
  pending->owner = this;
  bool stopping = false;
  {
    const std::lock_guard lock(mutex_);
    ticket = pending->ticket = ++last_ticket_;
    stopping = stopping_;
    if (!stopping && table_.size() < options_.max_open) {
      pending->done = std::move(done);
      table_.emplace(ticket, pending);
      return pending;
    }
  }
  complete(std::move(done), stopping ? refusal(Errc::kStopping, "the gateway is stopping")
                                     : refusal(Errc::kFull, "max_open requests are open"));
  return nullptr;
}

Ticket Gateway::Impl::take_up(const std::shared_ptr<Pending>& pending) {
  on_loop([this, pending] {
    if (!owes(pending->ticket)) return;  // cancelled, or shut down, before it came here
    if (engine_.has_request(pending->call.client_id)) {
      Response response;
      response.outcome = Outcome::kInvalid;
      response.error = {Errc::kIdIsOpen, "this Request-Id is open"};
      finish(pending->ticket, std::move(response));
      return;
    }
    pending->number = engine_.submit(std::move(pending->call), pending);
  });
  return pending->ticket;
}

Ticket Gateway::Impl::submit(Request&& request, Completion&& done) {
  const double received_at = now();
  Ticket ticket = 0;
  const std::shared_ptr<Pending> pending = enter(done, ticket);
  if (!pending) return ticket;
  if (request.id.empty()) request.id = id_of(id_base_, ticket);
  std::uint64_t token = 0;
  if (!request.duty.empty() && (token = duty_token(request.duty)) == 0) {
    finish(ticket, refusal(Errc::kNotHeld, "the duty is not this gateway's"));
    return ticket;
  }
  try {
    pending->call = call_of(std::move(request), request_validator_, checked_.classes,
                            checked_.engine.settings, budget_, received_at, token);
  } catch (const RequestRejection& bad) {
    Response response;
    if (bad.status == 503) response = response_of(engine_.refusal());
    if (bad.status != 503) response.outcome = Outcome::kInvalid;
    response.error = error_of(bad);
    finish(ticket, std::move(response));
    return ticket;
  }
  return take_up(pending);
}

Ticket Gateway::Impl::submit(HttpCall&& call, Completion&& done) {
  Ticket ticket = 0;
  const std::shared_ptr<Pending> pending = enter(done, ticket);
  if (!pending) return ticket;
  if (!call.impl || !call.impl->call.payload) {
    Response response;
    response.outcome = Outcome::kInvalid;
    response.error = {Errc::kBadRequest, "an empty HttpCall"};
    finish(ticket, std::move(response));
    return ticket;
  }
  pending->call = std::move(call.impl->call);
  return take_up(pending);
}

bool Gateway::Impl::take_out(Ticket ticket, std::shared_ptr<Pending>* out) {
  const std::lock_guard lock(mutex_);
  const auto it = table_.find(ticket);
  if (it == table_.end()) return false;
  if (out != nullptr) *out = std::move(it->second);
  table_.erase(it);
  return true;
}

bool Gateway::Impl::owes(Ticket ticket) const {
  const std::lock_guard lock(mutex_);
  return table_.contains(ticket);
}

bool Gateway::Impl::finish(Ticket ticket, Response&& response) {
  std::shared_ptr<Pending> pending;
  if (!take_out(ticket, &pending)) return false;
  complete(std::move(pending->done), std::move(response));
  return true;
}

void Gateway::Impl::answered(Pending& pending, Reply&& reply) {
  finish(pending.ticket, response_of(std::move(reply)));
  if (draining_) on_loop([this] { end_if_drained(); });
}

bool Gateway::Impl::cancel(Ticket ticket) {
  std::shared_ptr<Pending> pending;
  if (!take_out(ticket, &pending)) return false;
  Response response;
  response.outcome = Outcome::kCancelled;
  complete(std::move(pending->done), std::move(response));
  on_loop([this, pending] {
    if (pending->number != 0 && !shut_) engine_.on_client_gone(pending->number);
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
    if (shut_) return;
    stopped_ = std::move(*done);
    draining_ = true;
    if (peers_) peers_->announce_leaving();
    if (duties_) duties_->release_all();
    double longest = 0;
    for (const auto& c : checked_.engine.settings.classes) longest = std::max(longest, c.give_up);
    last_answers_.expires_after(to_duration(std::min(longest, kLongestDeadline) + kLastAnswers));
    last_answers_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (error || self->shut_) return;
      self->engine_.expire_all();
      self->shut();
    });
    end_if_drained();
  });
}

void Gateway::Impl::answer_all() {
  on_loop([this] {
    if (!shut_) engine_.expire_all();
  });
}

void Gateway::Impl::end_if_drained() {
  if (open_requests() == 0) shut();
}

std::size_t Gateway::Impl::open_requests() const {
  const std::lock_guard lock(mutex_);
  return table_.size();
}

// Guards the loop and the executor's threads against what completions throw.
void Gateway::Impl::complete(Completion done, Response&& response) {
  if (!done) return;
  struct Owed {
    Completion done;
    Response response;
  };
  // Holds nothing of the gateway: it may be run when both the gateway and its loop are gone.
  post_task([logger = logger_, owed = Owed{std::move(done), std::move(response)}]() mutable {
    try {
      owed.done(std::move(owed.response));
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
  if (Error error = servers_of(servers, options_.zones, checked_.engine.max_servers, ++list_seq_, list)) {
    return error;
  }
  on_loop([this, list = std::move(list)] {
    if (!shut_) engine_.on_server_list(list);
  });
  return {};
}

Error Gateway::Impl::move_discovery(const std::string& address) {
  const auto to = parse_endpoint(address);
  if (!to) return {Errc::kBadOption, "discovery: '" + address + "' is not an address and a port"};
  if (!discovery_) return {Errc::kBadOption, "discovery: this gateway was opened without one"};
  on_loop([this, to = *to] { discovery_->set_address(to); });
  return {};
}

void Gateway::Impl::log(const LogEvent& event) const noexcept { log_to(*logger_, event); }

}  // namespace nettlestand
