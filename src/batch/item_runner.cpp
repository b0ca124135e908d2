#include "batch/item_runner.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "base/digest.h"
#include "batch/item_route.h"
#include "forwarding/event_stream.h"
#include "forwarding/request_headers.h"
#include "node/log.h"

namespace nettlestand::tier {
namespace {

namespace asio = boost::asio;

constexpr Millis kAttemptTimeoutMs = 60000;       // per attempt; a route's timeout does not apply to items
constexpr std::size_t kMaxConcurrentItems = 600;  // bounds memory and file descriptors
// Within which a store that is in touch with the leaders, as a primary is, has a new configuration.
constexpr Millis kMaxConfigLagMs = 4000;
constexpr int kHttpUnprocessable = 422, kHttpServerError = 500, kHttpOk = 200;
constexpr std::uint32_t kServiceSplitSteps = 97;  // granularity of the split of items over a route's services

// Maps the outcome of a forwarded request to the end of an item's run.
RunEnd end_of(const ForwardResult& result, bool is_stream) {
  if (result.outcome == ForwardOutcome::kRefused) return RunEnd::kRejected;
  if (result.outcome != ForwardOutcome::kCompleted) return RunEnd::kInterrupted;
  if (result.status == kHttpOk && is_stream) return RunEnd::kCompleted;
  if (result.status == kHttpUnprocessable) return RunEnd::kUnprocessable;
  if (result.status == kHttpServerError) return RunEnd::kServerError;
  return RunEnd::kInterrupted;
}

}  // namespace

// Collects the text of an item's event stream, after that of earlier runs.
class ItemRunner::TextSink : public ResponseSink {
 public:
  explicit TextSink(PartialText partial_text) : partial_text_(std::move(partial_text)) {}
  asio::awaitable<bool> on_head(const ResponseHead& head) override {
    is_stream_ = head.is_event_stream;
    co_return true;
  }
  asio::awaitable<bool> on_data(std::string_view bytes) override {
    if (!is_stream_) co_return true;
    parser_.feed(bytes, [this](const StreamEvent& event) { append(event); });
    co_return true;
  }
  bool is_stream() const { return is_stream_; }
  // The text received so far; nothing if the response was not an event stream.
  std::optional<PartialText> take(std::uint64_t last_event) {
    if (!is_stream_) return std::nullopt;
    // An event without its blank line is passed on only as the last one of a whole response.
    parser_.finish([this](const StreamEvent& event) { append(event); });
    partial_text_.last_event = last_event;
    return std::move(partial_text_);
  }

 private:
  void append(const StreamEvent& event) {
    if (!event.id) return;
    if (partial_text_.has_event) partial_text_.text.push_back('\n');
    partial_text_.text += EventStreamParser::data_of(event.bytes);
    partial_text_.has_event = true;
  }
  PartialText partial_text_;
  bool is_stream_ = false;
  EventStreamParser parser_;
};

ItemRunner::ItemRunner(asio::io_context& io, Forwarder& forwarder, ControlClient& control_client,
                       const JobTable& table, Hooks hooks)
    : io_(io),
      forwarder_(forwarder),
      control_client_(control_client),
      table_(table),
      hooks_(std::move(hooks)),
      schedule_(table, *this) {}

void ItemRunner::pump(Millis) {
  if (pump_requested_) return;
  pump_requested_ = true;
  asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (alive.expired()) return;
    pump_requested_ = false;
    schedule_.pump(steady_now());
  });
}

const Route* ItemRunner::route_named(const std::string& name) const {
  const auto configuration = control_client_.configuration();
  return configuration ? configuration->route_named(name) : nullptr;
}

ItemLimits ItemRunner::limits_for(Millis now, const std::string& name) {
  ItemLimits out;
  if (!control_client_.configuration() || !control_client_.has_config_lease(now)) return out;
  const Route* route = route_named(name);
  out.generation = control_client_.configuration()->generation();
  out.max_config_lag_ms = std::min(control_client_.config_lease_ms(), kMaxConfigLagMs);
  out.state = route == nullptr ? ItemLimits::RouteState::kRemoved : ItemLimits::RouteState::kPresent;
  if (route == nullptr) return out;
  out.max_wait_s = route->max_wait_s;
  out.max_attempts = route->max_attempts;
  return out;
}

bool ItemRunner::is_routed(const Job& job, std::uint32_t item) const {
  const auto configuration = control_client_.configuration();
  return configuration && route_of_item(*configuration, job.spec, job.spec.items[item]) != nullptr;
}

bool ItemRunner::can_start() const { return sinks_.size() < kMaxConcurrentItems && hooks_.has_memory(); }

// Items that were started but not yet handed to the forwarder occupy capacity too.
bool ItemRunner::has_capacity(Millis now, const std::string& name) {
  const Route* route = route_named(name);
  if (route == nullptr) return false;
  return std::any_of(route->split.begin(), route->split.end(), [&](const ServiceWeight& part) {
    return part.weight > 0 &&
           forwarder_.pool().item_capacity(now, part.service) > not_forwarded_[part.service];
  });
}

ForwardRequest ItemRunner::request_for(Millis now, const ItemRun& run, const Job& job) const {
  const JobItem& item = job.spec.items[run.item];
  ForwardRequest out;
  out.configuration = control_client_.configuration();
  out.route = route_of_item(*out.configuration, job.spec, item);
  out.service =
      out.route->pick_service(static_cast<double>(run.item % kServiceSplitSteps) / kServiceSplitSteps);
  out.tenant = run.key.tenant;
  out.id = item.id;
  out.method = "POST";
  out.target = item.path;
  out.host = job.spec.host;
  HeaderFields fields;
  for (std::size_t i = 0; i < item.header_names.size(); ++i) {
    fields.emplace_back(item.header_names[i], item.header_values[i]);
  }
  out.headers = forwarded_headers(fields);
  out.body = item.body;
  out.body_digest = digest_of(item.body);
  out.deadline = now + kAttemptTimeoutMs;
  out.is_item = true;
  out.last_event_id = run.partial_text.last_event;
  out.has_last_event_id = run.partial_text.has_event;
  return out;
}

void ItemRunner::start(Millis now, const ItemRun& run) {
  const Job& job = *table_.find(run.key);
  const PrimaryTenure tenure = hooks_.tenure_of(run.key);
  NETTLESTAND_DEBUG("item started job=" << run.key.id << " item=" << job.spec.items[run.item].id
                                        << " run=" << run.id << " start=" << run.attempt
                                        << " reason=" << name_of(run.reason) << " epoch=" << tenure.epoch
                                        << " tenure=" << tenure.number);
  ForwardRequest request = request_for(now, run, job);
  request.permission = [this, id = run.id, key = run.key, item = run.item, service = request.service] {
    return may_send(id, key, item, service) ? SendPermission::kRepeatable : SendPermission::kDenied;
  };
  auto sink = std::make_shared<TextSink>(run.partial_text);
  sinks_.emplace(run.id, sink);
  ++not_forwarded_[request.service];
  asio::co_spawn(io_, send(run, std::move(request), std::move(sink)), asio::detached);
}

void ItemRunner::on_corrupted_item(const JobKey& key, std::uint32_t item, StartReason reason) {
  const PrimaryTenure tenure = hooks_.tenure_of(key);
  NETTLESTAND_WARNING("item not sent, its content does not match its digest job="
                      << key.id << " item=" << table_.find(key)->spec.items[item].id << " reason="
                      << name_of(reason) << " epoch=" << tenure.epoch << " tenure=" << tenure.number);
}

bool ItemRunner::may_send(RunId run, const JobKey& key, std::uint32_t item, const std::string& service) {
  const Millis now = steady_now();
  if (!schedule_.may_send(run) || !control_client_.has_config_lease(now) || !hooks_.may_run(now, key))
    return false;
  const JobSpec& job = table_.find(key)->spec;
  const Route* route = route_of_item(*control_client_.configuration(), job, job.items[item]);
  return route != nullptr &&
         std::any_of(route->split.begin(), route->split.end(),
                     [&](const ServiceWeight& part) { return part.service == service && part.weight > 0; });
}

asio::awaitable<void> ItemRunner::send(ItemRun run, ForwardRequest request, std::shared_ptr<TextSink> sink) {
  --not_forwarded_[request.service];  // the forwarder counts it from here on
  const ForwardResult result = co_await forwarder_.forward(std::move(request), *sink);
  sinks_.erase(run.id);
  RunOutcome outcome;
  outcome.end = end_of(result, sink->is_stream());
  outcome.text = sink->take(result.last_event_id);
  const Millis now = steady_now();
  schedule_.on_run_ended(now, run.id, std::move(outcome));
  pump(now);
}

void ItemRunner::on_result(Millis now, const JobKey& key, JobResult result) {
  hooks_.report_result(now, key, std::move(result));
}

void ItemRunner::abandon(RunId run) {
  const auto found = sinks_.find(run);
  if (found == sinks_.end()) return;
  found->second->client_gone = true;
  if (found->second->cancel_call) found->second->cancel_call();
}

}  // namespace nettlestand::tier
