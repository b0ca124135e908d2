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

// A client's time runs from its sending until the answer's last byte has arrived; this much of it is reserved
// for the network and for a busy moment of this process.
constexpr double kNetworkReserveSeconds = 0.025;
constexpr double kMaxReserveFraction = 0.25;      // fraction of the timeout reserved at most
constexpr double kDeadlineReserveFraction = 0.4;  // fraction of the reserve kept after the node's deadline
constexpr double kFirstListWaitSeconds = 1;  // seconds that a node with last known servers waits for newer

// The decision module's request ids are the engine's numbers.
std::uint64_t number_of(const std::string& id) {
  std::uint64_t out = 0;
  std::from_chars(id.data(), id.data() + id.size(), out);
  return out;
}

double reserve(const Call& call) {
  return std::min(kNetworkReserveSeconds, call.timeout * kMaxReserveFraction);
}

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
  if (!options_.settings.must_watch) watch_();  // pushed lists come on the stream that this opens
  if (!options_.last_known_servers) return;
  ServerList known = *options_.last_known_servers;
  known.is_full = true;
  apply_list(known);
  auto& timer =
      timers_.try_emplace(++last_timer_, io_, to_time_point(now() + kFirstListWaitSeconds)).first->second;
  timer.async_wait([this](const error_code& error) {
    if (!error) discovery_settled_ = true;
  });
}

// The decision module is not re-entered: events caused by its actions wait until all actions are done.
void Engine::post(qu::Event event) {
  if (shut_down_) return;
  events_.push_back(std::move(event));
  if (!running_) handle_events();
}

void Engine::handle_events() {
  running_ = true;
  std::vector<qu::Action> actions;
  while (!events_.empty()) {
    const qu::Event next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    // An exception ends only its own event: the event loop may belong to an application.
    try {
      balancer_.handle(now(), next, actions);
      for (const qu::Action& action : actions) {
        std::visit([this](const auto& a) { run(a); }, action);
      }
    } catch (const std::exception& surprise) {
      log_(nettlestand::unexpected_error("engine", surprise.what()));
    }
    if (const auto* end = std::get_if<qu::AttemptResult>(&next)) forget_if_done(number_of(end->id));
  }
  running_ = false;
}

std::uint64_t Engine::submit(Call call, std::shared_ptr<Caller> caller) {
  const std::uint64_t number = ++last_id_;  // a client may use its own id twice, so that can't be the key
  if (shut_down_) {
    caller->answered({Reply::Kind::kShutDown, 0, nullptr});
    return number;
  }
  const double limit = call.received_at + call.timeout;
  call.request.id = std::to_string(number);
  call.request.time_left = limit - reserve(call) - now();
  OpenRequest& entry =
      open_requests_.try_emplace(number, io_, std::move(call), std::move(caller)).first->second;
  client_ids_.insert(entry.call.client_id);
  ++open_count_;
  // If the event loop was held up, the client may no longer wait: the work is never begun.
  if (entry.call.request.time_left <= 0) {
    answer(number, refusal());
    return number;
  }
  entry.deadline.expires_at(to_time_point(limit - reserve(entry.call) * kDeadlineReserveFraction));
  entry.deadline.async_wait([this, number](const error_code& error) {
    if (!error) expire(number, Reply::Kind::kTimedOut);
  });
  post(entry.call.request);
  return number;
}

void Engine::on_client_gone(std::uint64_t request) {
  OpenRequest* entry = find(request);
  if (entry == nullptr || !entry->caller) return;
  const std::string id = entry->call.request.id;
  take_caller(*entry);
  post(qu::RequestGone{id});
  withdraw_attempts(request);
}

// Ends a request, with a final answer to its client, that the decision module has not ended in time.
void Engine::expire(std::uint64_t request, Reply::Kind kind) {
  OpenRequest* entry = find(request);
  if (entry == nullptr || !entry->caller) return;
  const bool may_have_run = std::any_of(entry->attempts.begin(), entry->attempts.end(),
                                        [](const AttemptRecord& attempt) { return attempt.may_have_run; });
  if (options_.answered) options_.answered(entry->call, may_have_run ? kind : Reply::Kind::kRefused);
  const std::string id = entry->call.request.id;
  const std::shared_ptr<Caller> caller = take_caller(*entry);
  post(qu::RequestGone{id});
  withdraw_attempts(request);
  caller->answered(may_have_run ? Reply{kind, 0, nullptr} : refusal());
}

Reply Engine::refusal() const {
  return {Reply::Kind::kRefused, options_.settings.max_retry_after / 2, nullptr};
}

void Engine::expire_all() {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, entry] : open_requests_) numbers.push_back(number);
  for (const std::uint64_t number : numbers) expire(number, Reply::Kind::kTimedOut);
}

void Engine::shut_down() {
  shut_down_ = true;
  timers_.clear();
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, entry] : open_requests_) numbers.push_back(number);
  for (const std::uint64_t number : numbers) expire(number, Reply::Kind::kShutDown);
  transport_.shut_down();
  client_ids_.clear();
  open_requests_.clear();
}

void Engine::on_server_list(const ServerList& list) {
  apply_list(list);
  discovery_settled_ = true;
}

// Bounds the memory that server lists can take.
void Engine::check_server_limit(const ServerList& list) {
  std::unordered_set<std::string_view> more;
  for (const ListedServer& server : list.servers) {
    if (server.info.state == qu::ServerState::kGone) continue;
    if (list.is_full || !listed_.contains(server.info.address)) more.insert(server.info.address);
  }
  if (more.size() + (list.is_full ? 0 : listed_.size()) > options_.max_servers) {
    throw std::length_error("more than " + std::to_string(options_.max_servers) + " servers listed");
  }
  if (list.is_full) listed_.clear();
  for (const ListedServer& server : list.servers) {
    if (server.info.state == qu::ServerState::kGone) {
      listed_.erase(server.info.address);
    } else {
      listed_.insert(server.info.address);
    }
  }
}

void Engine::apply_list(const ServerList& list) {
  check_server_limit(list);
  qu::MembershipUpdate update;
  update.form = list.is_full ? qu::MembershipUpdate::Form::kFull : qu::MembershipUpdate::Form::kChanges;
  for (const ListedServer& server : list.servers) update.servers.push_back(server.info);
  // The decision module learns of a drain before the sends that it stopped end. The transport knows new
  // servers before the module can choose them.
  const std::vector<AttemptId> stopped = transport_.apply(list);
  servers_known_ = transport_.servers() > 0;
  post(update);
  for (const AttemptId& send : stopped) transport_.stop(send, qu::Outcome::kNotSent);
}

void Engine::on_watch_failed() {
  discovery_settled_ = true;
  qu::MembershipUpdate update;
  update.form = qu::MembershipUpdate::Form::kFailed;
  post(update);
}

void Engine::on_balancers_changed(int index, int count, double sharers) {
  post(qu::BalancersChanged{index, count, sharers});
}

Engine::OpenRequest* Engine::find(std::uint64_t request) {
  const auto it = open_requests_.find(request);
  return it == open_requests_.end() ? nullptr : &it->second;
}

// Withdraws the open attempts of a request that nobody waits for: those that await a connection or are half
// written must not be begun or completed. Ending one may forget the request.
void Engine::withdraw_attempts(std::uint64_t request) {
  for (std::size_t i = 0;; ++i) {
    const OpenRequest* entry = find(request);
    if (entry == nullptr) return;
    if (i >= entry->attempts.size()) break;
    if (entry->attempts[i].open) transport_.withdraw({request, static_cast<int>(i)});
  }
  forget_if_done(request);
}

void Engine::forget_if_done(std::uint64_t request) {
  const auto it = open_requests_.find(request);
  if (it == open_requests_.end() || it->second.caller) return;
  const auto& attempts = it->second.attempts;
  if (std::none_of(attempts.begin(), attempts.end(),
                   [](const AttemptRecord& attempt) { return attempt.open; })) {
    client_ids_.erase(it->second.call.client_id);
    open_requests_.erase(it);
  }
}

// Ensures a single final answer: the code that takes the caller answers it, and later code finds none. The
// answer is given last, as the caller may submit its next request from within answered().
std::shared_ptr<Caller> Engine::take_caller(OpenRequest& entry) {
  if (!entry.caller) return nullptr;
  --open_count_;
  entry.deadline.cancel();
  return std::exchange(entry.caller, nullptr);
}

void Engine::answer(std::uint64_t request, Reply&& reply) {
  OpenRequest* entry = find(request);
  if (entry == nullptr) return;
  if (options_.answered && entry->caller) options_.answered(entry->call, reply.kind);
  const std::shared_ptr<Caller> caller = take_caller(*entry);
  withdraw_attempts(request);
  if (caller) caller->answered(std::move(reply));
}

void Engine::ended(const AttemptId& attempt, qu::Outcome outcome, std::unique_ptr<Payload> payload) {
  OpenRequest* entry = find(attempt.request);
  if (entry == nullptr) return;
  AttemptRecord& done = entry->attempts[static_cast<std::size_t>(attempt.attempt)];
  done.open = false;
  done.may_have_run = !qu::never_ran(outcome);
  if (options_.answered && entry->caller && outcome == qu::Outcome::kDelivered)
    options_.answered(entry->call, Reply::Kind::kServed);
  const auto caller = outcome == qu::Outcome::kDelivered ? take_caller(*entry) : nullptr;
  post(qu::AttemptResult{entry->call.request.id, attempt.attempt, outcome, now() - done.sent_at,
                         !entry->caller});
  if (caller) withdraw_attempts(attempt.request);
  if (caller) caller->answered({Reply::Kind::kServed, 0, std::move(payload)});
}

void Engine::arriving(const AttemptId& attempt, const Progress& p) {
  if (OpenRequest* entry = find(attempt.request)) {
    post(qu::AnswerProgress{entry->call.request.id, attempt.attempt, p.arriving, p.quiet, p.received,
                            p.expected});
  }
}

void Engine::run(const qu::Send& action) {
  const std::uint64_t request = number_of(action.id);
  OpenRequest* entry = find(request);
  if (entry == nullptr) return;
  const AttemptId attempt{request, static_cast<int>(entry->attempts.size())};
  entry->attempts.push_back({now(), true, true});
  // Nothing is sent for a request that has its final answer, or whose client has left.
  if (entry->caller && entry->caller->left()) {
    take_caller(*entry);
    post(qu::RequestGone{action.id});
  }
  if (!entry->caller) return ended(attempt, qu::Outcome::kNotSent, nullptr);
  transport_.start(attempt, action.server, entry->call.payload, action.timeout, action.within);
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
  auto& timer = timers_.try_emplace(number, io_, to_time_point(action.at)).first->second;
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
