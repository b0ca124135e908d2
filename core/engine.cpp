#include "core/engine.h"

#include <algorithm>
#include <charconv>
#include <exception>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "util/clock.h"

namespace nettlestand {
namespace {

namespace qu = quinceusher;
using boost::system::error_code;

// A client counts from when it sent and until the answer's last byte has come; this much of its time is for
// the ways there and back, and for a busy moment of this process.
constexpr double kWayReserve = 0.025;     // s
constexpr double kWayReservePart = 0.25;  // of the timeout, at most
constexpr double kAnswerReserve =
    0.4;                              // of the reserve: the node's own deadline is that long before the limit
constexpr double kFirstListWait = 1;  // s; a node that knows servers waits so long for newer word of them

// The module's names of requests are the engine's numbers.
std::uint64_t number_of(const std::string& id) {
  std::uint64_t out = 0;
  std::from_chars(id.data(), id.data() + id.size(), out);
  return out;
}

double reserve(const Call& call) { return std::min(kWayReserve, call.timeout * kWayReservePart); }

}  // namespace

Engine::Engine(boost::asio::io_context& io, EngineOptions options, Transport& transport, Log log,
               std::function<void()> watch)
    : io_(io),
      options_(std::move(options)),
      balancer_(options_.settings, options_.seed),
      transport_(transport),
      log_(std::move(log)),
      watch_(std::move(watch)) {
  transport_.attach(*this);
}

void Engine::start() {
  post(qu::Started{});
  if (!options_.settings.must_watch) watch_();  // lists that are pushed come on the same stream
  if (!options_.known) return;
  ServerList known = *options_.known;
  known.whole = true;
  take(known);
  auto& timer = timers_.try_emplace(++last_timer_, io_, at(now() + kFirstListWait)).first->second;
  timer.async_wait([this](const error_code& error) {
    if (!error) asked_ = true;
  });
}

// The module is not re-entered: what its actions bring about at once waits here until they are all done.
void Engine::post(qu::Event event) {
  if (shut_) return;
  events_.push_back(std::move(event));
  if (!running_) drain();
}

void Engine::drain() {
  running_ = true;
  std::vector<qu::Action> actions;
  while (!events_.empty()) {
    const qu::Event next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    // Guards the loop, which may be an application's: what one event runs into ends that event alone.
    try {
      balancer_.handle(now(), next, actions);
      for (const qu::Action& action : actions) {
        std::visit([this](const auto& a) { run(a); }, action);
      }
    } catch (const std::exception& surprise) {
      log_(nettlestand::surprise("engine", surprise.what()));
    }
    if (const auto* end = std::get_if<qu::AttemptResult>(&next)) forget_if_done(number_of(end->id));
  }
  running_ = false;
}

std::uint64_t Engine::submit(Call call, std::shared_ptr<Caller> caller) {
  const std::uint64_t number = ++last_id_;  // not the client's id, which may come twice
  if (shut_) {
    caller->answered({Reply::Kind::kShutDown, 0, nullptr});
    return number;
  }
  const double limit = call.came_at + call.timeout;
  call.facts.id = std::to_string(number);
  call.facts.time_left = limit - reserve(call) - now();
  Live& live = live_.try_emplace(number, io_, std::move(call), std::move(caller)).first->second;
  client_ids_.insert(live.call.client_id);
  ++open_;
  // Guards against work that nobody waits for any more, where this loop was held up: it is never begun.
  if (live.call.facts.time_left <= 0) {
    answer(number, refusal());
    return number;
  }
  live.deadline.expires_at(at(limit - reserve(live.call) * kAnswerReserve));
  live.deadline.async_wait([this, number](const error_code& error) {
    if (!error) expire(number, Reply::Kind::kTimedOut);
  });
  post(live.call.facts);
  return number;
}

void Engine::gone(std::uint64_t request) {
  Live* live = find(request);
  if (live == nullptr || !live->caller) return;
  const std::string id = live->call.facts.id;
  release(*live);
  post(qu::RequestGone{id});
  withdraw(request);
}

// Guards against a module that has not ended a request in time: the client gets a final answer all the same.
void Engine::expire(std::uint64_t request, Reply::Kind kind) {
  Live* live = find(request);
  if (live == nullptr || !live->caller) return;
  const bool may_have_run = std::any_of(live->tries.begin(), live->tries.end(),
                                        [](const Try& attempt) { return attempt.may_have_run; });
  if (options_.answered) options_.answered(live->call, may_have_run ? kind : Reply::Kind::kRefused);
  const std::string id = live->call.facts.id;
  const std::shared_ptr<Caller> caller = release(*live);
  post(qu::RequestGone{id});
  withdraw(request);
  caller->answered(may_have_run ? Reply{kind, 0, nullptr} : refusal());
}

Reply Engine::refusal() const {
  return {Reply::Kind::kRefused, options_.settings.max_retry_after / 2, nullptr};
}

void Engine::expire_all() {
  std::vector<std::uint64_t> open;
  for (const auto& [number, live] : live_) open.push_back(number);
  for (const std::uint64_t number : open) expire(number, Reply::Kind::kTimedOut);
}

void Engine::shut() {
  shut_ = true;
  timers_.clear();
  std::vector<std::uint64_t> open;
  for (const auto& [number, live] : live_) open.push_back(number);
  for (const std::uint64_t number : open) expire(number, Reply::Kind::kShutDown);
  transport_.shut();
  client_ids_.clear();
  live_.clear();
}

void Engine::list_came(const ServerList& list) {
  take(list);
  asked_ = true;
}

// Guards the memory against lists without end.
void Engine::count(const ServerList& list) {
  std::unordered_set<std::string_view> more;
  for (const ListedServer& server : list.servers) {
    if (server.facts.state == qu::ServerState::kGone) continue;
    if (list.whole || !listed_.contains(server.facts.address)) more.insert(server.facts.address);
  }
  if (more.size() + (list.whole ? 0 : listed_.size()) > options_.most_servers) {
    throw std::length_error("more than " + std::to_string(options_.most_servers) + " servers listed");
  }
  if (list.whole) listed_.clear();
  for (const ListedServer& server : list.servers) {
    if (server.facts.state == qu::ServerState::kGone) {
      listed_.erase(server.facts.address);
    } else {
      listed_.insert(server.facts.address);
    }
  }
}

void Engine::take(const ServerList& list) {
  count(list);
  qu::MembershipUpdate update;
  update.form = list.whole ? qu::MembershipUpdate::Form::kFull : qu::MembershipUpdate::Form::kChanges;
  for (const ListedServer& server : list.servers) update.servers.push_back(server.facts);
  // The module hears of a drain before it hears of the sends that the drain has stopped. New servers are
  // there before it can choose them.
  const std::vector<AttemptId> stopped = transport_.apply(list);
  servers_known_ = transport_.servers() > 0;
  post(update);
  for (const AttemptId& send : stopped) transport_.stop(send, qu::Outcome::kNotSent);
}

void Engine::watch_failed() {
  asked_ = true;
  qu::MembershipUpdate update;
  update.form = qu::MembershipUpdate::Form::kFailed;
  post(update);
}

void Engine::copies_changed(int index, int count, double sharers) {
  post(qu::CopiesChanged{index, count, sharers});
}

Engine::Live* Engine::find(std::uint64_t request) {
  const auto it = live_.find(request);
  return it == live_.end() ? nullptr : &it->second;
}

// Guards the one final answer, and clients that have gone: what still waits for its connection, or is half
// written, must not be begun for a request that nobody waits for. Ending one may forget the request.
void Engine::withdraw(std::uint64_t request) {
  for (std::size_t i = 0;; ++i) {
    const Live* live = find(request);
    if (live == nullptr) return;
    if (i >= live->tries.size()) break;
    if (live->tries[i].open) transport_.withdraw({request, static_cast<int>(i)});
  }
  forget_if_done(request);
}

void Engine::forget_if_done(std::uint64_t request) {
  const auto it = live_.find(request);
  if (it == live_.end() || it->second.caller) return;
  const auto& tries = it->second.tries;
  if (std::none_of(tries.begin(), tries.end(), [](const Try& attempt) { return attempt.open; })) {
    client_ids_.erase(it->second.call.client_id);
    live_.erase(it);
  }
}

// The only way to a final answer: whoever takes the caller answers it, and whatever comes second finds none.
// It is answered last of all, since it may have its next request there.
std::shared_ptr<Caller> Engine::release(Live& live) {
  if (!live.caller) return nullptr;
  --open_;
  live.deadline.cancel();
  return std::exchange(live.caller, nullptr);
}

void Engine::answer(std::uint64_t request, Reply&& reply) {
  Live* live = find(request);
  if (live == nullptr) return;
  if (options_.answered && live->caller) options_.answered(live->call, reply.kind);
  const std::shared_ptr<Caller> caller = release(*live);
  withdraw(request);
  if (caller) caller->answered(std::move(reply));
}

void Engine::ended(const AttemptId& attempt, qu::Outcome outcome, std::unique_ptr<Cargo> cargo) {
  Live* live = find(attempt.request);
  if (live == nullptr) return;
  Try& done = live->tries[static_cast<std::size_t>(attempt.attempt)];
  done.open = false;
  done.may_have_run = !qu::never_ran(outcome);
  if (options_.answered && live->caller && outcome == qu::Outcome::kDelivered)
    options_.answered(live->call, Reply::Kind::kServed);
  const auto caller = outcome == qu::Outcome::kDelivered ? release(*live) : nullptr;
  post(qu::AttemptResult{live->call.facts.id, attempt.attempt, outcome, now() - done.sent_at, !live->caller});
  if (caller) withdraw(attempt.request);
  if (caller) caller->answered({Reply::Kind::kServed, 0, std::move(cargo)});
}

void Engine::arriving(const AttemptId& attempt, const Progress& p) {
  if (Live* live = find(attempt.request)) {
    post(qu::AnswerArriving{live->call.facts.id, attempt.attempt, p.arriving, p.quiet, p.received,
                            p.expected});
  }
}

void Engine::run(const qu::Send& action) {
  const std::uint64_t request = number_of(action.id);
  Live* live = find(request);
  if (live == nullptr) return;
  const AttemptId attempt{request, static_cast<int>(live->tries.size())};
  live->tries.push_back({now(), true, true});
  // Guards the one final answer: nothing is sent for a request that has it, or that nobody waits for.
  if (live->caller && live->caller->left()) {
    release(*live);
    post(qu::RequestGone{action.id});
  }
  if (!live->caller) return ended(attempt, qu::Outcome::kNotSent, nullptr);
  transport_.start(attempt, action.server, live->call.cargo, action.timeout, action.within);
}

void Engine::run(const qu::Refuse& action) {
  answer(number_of(action.id), {Reply::Kind::kRefused, action.retry_after, nullptr});
}

void Engine::run(const qu::Fail& action) { answer(number_of(action.id), {Reply::Kind::kFailed, 0, nullptr}); }

void Engine::run(const qu::Cancel& action) {
  transport_.stop({number_of(action.id), action.attempt}, qu::Outcome::kCancelled);
}

void Engine::run(const qu::Extend& action) {
  transport_.extend({number_of(action.id), action.attempt}, action.timeout);
}

void Engine::run(const qu::SetTimer& action) {
  const std::uint64_t number = ++last_timer_;
  auto& timer = timers_.try_emplace(number, io_, at(action.at)).first->second;
  timer.async_wait([this, number, token = action.token](const error_code& error) {
    if (error) return;
    timers_.erase(number);
    post(qu::TimerFired{token});
  });
}

void Engine::run(const qu::WatchMembers&) { watch_(); }

void Engine::run(const qu::LogLine& action) {
  LogEvent event{LogLevel::kWarning, "decisions", "shedding", action.text, {}};
  for (const auto& [name, value] : action.figures) event.fields.push_back({name, std::int64_t{value}});
  log_(event);
}

}  // namespace nettlestand
