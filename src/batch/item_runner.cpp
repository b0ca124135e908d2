#include "batch/item_runner.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "forwarding/event_stream.h"
#include "node/log.h"

namespace nettlestand::tier {
namespace {

namespace asio = boost::asio;

constexpr Millis kItemDeadlineMs = 60000;  // of one attempt: items are not bound by a route's time-out
constexpr Millis kRetryMs = 120;           // before an item that was turned away is offered again
constexpr Millis kFailureRetryMs = 300;    // after a server's own error
constexpr std::size_t kMaxRunning = 600;   // items at a time, for memory and descriptors
constexpr int kUnprocessable = 422, kServerError = 500, kOk = 200;

}  // namespace

// Collects the text of an item's events.
class ItemRunner::TextSink : public AnswerSink {
 public:
  explicit TextSink(ItemState& from) : text(from.text), has_event(from.has_event) {}
  asio::awaitable<bool> head(const ResponseHead& head) override {
    is_stream = head.event_stream;
    co_return true;
  }
  asio::awaitable<bool> data(std::string_view bytes) override {
    if (!is_stream) co_return true;
    splitter_.feed(bytes, [this](const StreamEvent& event) {
      if (!event.id) return;
      if (has_event) text.push_back('\n');
      text += EventSplitter::data_of(event.bytes);
      has_event = true;
    });
    co_return true;
  }
  std::string text;
  bool has_event;
  bool is_stream = false;

 private:
  EventSplitter splitter_;
};

ItemRunner::ItemRunner(asio::io_context& io, Forwarder& forwarder, ControlFollower& follower,
                       const JobTable& table, Hooks hooks)
    : io_(io), forwarder_(forwarder), follower_(follower), table_(table), hooks_(std::move(hooks)) {}

void ItemRunner::forget(const JobKey& key) {
  states_.erase(key);
  const auto found = sinks_.find(key);
  if (found == sinks_.end()) return;
  const auto sinks = found->second;
  for (const auto& sink : sinks) {
    sink->client_gone = true;
    if (sink->abandon) sink->abandon();
  }
}

void ItemRunner::pump(Millis now) {
  // Jobs by age, so that the earliest due go first; one item of each tenant in turn.
  std::map<std::string, std::vector<std::pair<Millis, JobKey>>> by_tenant;
  for (const auto& [key, job] : table_.jobs()) {
    if (job.complete() || job.ended || !hooks_.may_run(now, key)) continue;
    by_tenant[key.tenant].emplace_back(job.accepted_at, key);
  }
  for (auto& [tenant, jobs] : by_tenant) std::sort(jobs.begin(), jobs.end());
  for (bool progress = true; progress && running_ < kMaxRunning;) {
    progress = false;
    for (auto& [tenant, jobs] : by_tenant) {
      bool started = false;
      for (const auto& [accepted_at, key] : jobs) {
        const Job* job = table_.find(key);
        if (job == nullptr || running_ >= kMaxRunning) break;
        if ((started = start_one(now, key, *job))) break;
      }
      progress = progress || started;
    }
  }
}

bool ItemRunner::start_one(Millis now, const JobKey& key, const Job& job) {
  const auto configuration = follower_.configuration();
  const Route* route = configuration ? configuration->route_named(job.spec.route) : nullptr;
  if (!configuration || !follower_.is_fresh(now)) return false;
  give_up_overdue(now, key, job, route);
  if (route == nullptr) return false;
  JobState& state = states_[key];
  const auto count = static_cast<std::uint32_t>(job.spec.items.size());
  for (const std::uint32_t item : state.again) {
    if (state.items[item].retry_at > now) continue;
    start(now, key, job, *route, item);
    return true;
  }
  while (state.next < count) {
    const std::uint32_t item = state.next;
    if (job.listed[item] || state.items[item].running || state.items[item].finished) {
      ++state.next;
      continue;
    }
    if (!forwarder_.pool().pick(now, route->split.front().service, {}, true)) return false;
    start(now, key, job, *route, item);
    return true;
  }
  return false;
}

void ItemRunner::start(Millis now, const JobKey& key, const Job& job, const Route& route,
                       std::uint32_t item) {
  JobState& job_state = states_[key];
  job_state.again.erase(item);
  if (item == job_state.next) ++job_state.next;
  ItemState& state = job_state.items[item];
  const PrimaryTerm term = hooks_.term(key);
  ++state.starts;
  const bool has_body = job.has_body(item);
  NETTLESTAND_DEBUG("item started job=" << key.id << " item=" << job.spec.items[item].id
                                        << " start=" << state.starts << " epoch=" << term.epoch
                                        << " tenure=" << term.tenure);
  if (!has_body) {
    NETTLESTAND_WARNING("item body changed job=" << key.id << " item=" << job.spec.items[item].id
                                                 << " start=" << state.starts << " epoch=" << term.epoch
                                                 << " tenure=" << term.tenure);
  }
  state.running = true;
  ++running_;
  const JobItem& spec = job.spec.items[item];
  ForwardRequest request;
  request.configuration = follower_.configuration();
  request.route = &route;
  request.service = route.service_for(static_cast<double>(item % 97) / 97);
  request.tenant = key.tenant;
  request.id = spec.id;
  request.method = "POST";
  request.target = spec.path;
  request.host = job.spec.host;
  for (std::size_t i = 0; i < spec.header_names.size(); ++i) {
    request.headers.emplace_back(spec.header_names[i], spec.header_values[i]);
  }
  request.body = spec.body;
  request.deadline = now + kItemDeadlineMs;
  request.is_item = true;
  request.last_event_id = state.last_event;
  request.has_last_event_id = state.has_event;
  request.may_send = [this, key, service = request.service] {
    const Job* current = table_.find(key);
    const auto configuration = follower_.configuration();
    const Route* now_route =
        current && configuration ? configuration->route_named(current->spec.route) : nullptr;
    const Millis at = steady_now();
    if (now_route == nullptr || current->ended || !follower_.is_fresh(at) || !hooks_.may_run(at, key))
      return false;
    return std::any_of(now_route->split.begin(), now_route->split.end(),
                       [&](const ServiceWeight& part) { return part.service == service && part.weight > 0; });
  };
  asio::co_spawn(io_, run(key, item, std::move(request)), asio::detached);
}

asio::awaitable<void> ItemRunner::run(JobKey key, std::uint32_t item, ForwardRequest request) {
  const int max_attempts = request.route->max_attempts;
  auto sink = std::make_shared<TextSink>(states_[key].items[item]);
  sinks_[key].insert(sink);
  const ForwardResult result = co_await forwarder_.forward(std::move(request), *sink);
  sinks_[key].erase(sink);
  if (sinks_[key].empty()) sinks_.erase(key);
  --running_;
  if (!sink->client_gone) finished(key, item, result, max_attempts, sink);
  pump(steady_now());
}

void ItemRunner::finished(const JobKey& key, std::uint32_t item, const ForwardResult& result,
                          int max_attempts, const std::shared_ptr<TextSink>& sink) {
  const auto found = states_.find(key);
  if (found == states_.end()) return;
  ItemState& state = found->second.items[item];
  state.running = false;
  const bool whole = result.end == ForwardEnd::kAnswered;
  if (whole && result.status == kOk && sink->is_stream) {
    return finish(key, item, ResultState::kCompleted, std::move(sink->text));
  }
  if (whole && result.status == kUnprocessable) return finish(key, item, ResultState::kDeadLetter, "");
  if (sink->is_stream) {
    state.text = std::move(sink->text);
    state.has_event = sink->has_event;
    state.last_event = result.last_event;
  }
  const bool server_error = whole && result.status == kServerError;
  if (server_error && ++state.failures >= max_attempts)
    return finish(key, item, ResultState::kDeadLetter, "");
  state.retry_at = steady_now() + (server_error ? kFailureRetryMs : kRetryMs);
  found->second.again.insert(item);
}

void ItemRunner::finish(const JobKey& key, std::uint32_t item, ResultState result, std::string text) {
  ItemState& state = states_[key].items[item];
  state.finished = true;
  state.text.clear();
  JobResult out{};
  out.item = item;
  out.state = result;
  out.text = std::move(text);
  hooks_.done(steady_now(), key, std::move(out));
}

// Items of a job whose route is gone, or that has waited as long as the route allows.
void ItemRunner::give_up_overdue(Millis now, const JobKey& key, const Job& job, const Route* route) {
  const bool overdue = route != nullptr && route->max_wait_s > 0 &&
                       now > job.accepted_at + static_cast<Millis>(route->max_wait_s * 1000) + 500;
  if (route != nullptr && !overdue) return;
  JobState& state = states_[key];
  for (std::uint32_t item = 0; item < job.spec.items.size(); ++item) {
    ItemState& item_state = state.items[item];
    if (job.listed[item] || item_state.running || item_state.finished) continue;
    state.again.erase(item);
    finish(key, item, ResultState::kDeadLetter, "");
  }
}

}  // namespace nettlestand::tier
