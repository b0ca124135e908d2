#include "forwarding/forwarder.h"

#include <algorithm>
#include <utility>

#include "forwarding/event_stream.h"
#include "node/log.h"

namespace nettlestand::tier {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxServersTried = 8;       // servers that one request is sent to at most
constexpr Millis kItemFirstByteTimeoutMs = 4000;  // then the item is tried at another server
constexpr Millis kItemReadTimeoutMs = 2000;       // between reads of an item's response
constexpr double kGapTimeoutFactor = 4;           // x the route's gap_aim_ms, for resumable streams
constexpr Millis kMinGapTimeoutMs = 500;
constexpr Millis kMinTimeLeftMs = 5;  // with less time left no attempt is made

// Serializes a request for one server.
OutgoingRequest build_request(const ForwardRequest& request, const ChosenServer& server,
                              const std::uint64_t* last_event_id) {
  OutgoingRequest result;
  result.id = request.id;
  result.head_only = request.method == "HEAD";
  result.body_size = request.body.size();
  result.body_digest = request.body_digest;
  std::string& out = result.bytes;
  out = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + request.host + "\r\n";
  const auto add = [&out](std::string_view name, std::string_view value) {
    out.append(name).append(": ").append(value).append("\r\n");
  };
  for (const auto& [name, value] : request.headers) add(name, value);
  add("X-Request-Id", request.id);
  add("X-Expect-Instance", server.id);
  if (!request.tenant.empty()) add("X-Tenant", request.tenant);
  if (request.deadline > 0 && !request.is_item) {
    add("X-Deadline-Ms", std::to_string(std::max<Millis>(request.deadline - steady_now(), 1)));
  }
  if (last_event_id != nullptr) add("Last-Event-Id", std::to_string(*last_event_id));
  if (!request.body.empty() || request.method != "GET")
    add("Content-Length", std::to_string(request.body.size()));
  out += "\r\n";
  out += request.body;
  return result;
}

// Whether a client takes the status for the guarantee that its request did not run and will not run.
bool is_refusal(int status) {
  constexpr int kRequestTimeout = 408, kMisdirected = 421, kTooManyRequests = 429, kUnavailable = 503;
  return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests ||
         status == kUnavailable;
}

// What both the route that the request came with and the configuration in force allow.
SendPermission current_permission(const ForwardRequest& request) {
  const SendPermission current = request.permission ? request.permission() : SendPermission::kRepeatable;
  if (current == SendPermission::kRepeatable && !request.route->repeatable()) return SendPermission::kOnce;
  return current;
}

bool is_success(int status) { return status >= 200 && status < 300; }

}  // namespace

// State of a request across its attempts.
struct Forwarder::Progress {
  std::vector<std::string> tried;
  int runs = 0;  // attempts that may have run the request
  bool head_forwarded = false;
  bool is_stream = false;
  bool completed = false;
  bool may_retry = false;  // after the current attempt, by the route's rules
  int status = 0;
  std::uint64_t last_event_id = 0;
  bool has_last_event_id = false;
};

Forwarder::Forwarder(std::unique_ptr<Upstream> upstream, std::uint64_t seed)
    : pool_(seed), upstream_(std::move(upstream)), random_(seed + 1) {}
Forwarder::~Forwarder() = default;

TenantAdmission& Forwarder::admission(const std::string& tenant, const std::string& service) {
  return admissions_[{tenant, service}];
}

void Forwarder::tick(Millis now) {
  const std::string report = upstream_->call_counters().take_due_report(now);
  if (!report.empty()) NETTLESTAND_INFO("calls" << report);
}

asio::awaitable<ForwardResult> Forwarder::forward(ForwardRequest request, ResponseSink& sink) {
  Progress progress;
  progress.last_event_id = request.last_event_id;
  progress.has_last_event_id = request.has_last_event_id;
  TenantAdmission& tenant_admission = admission(request.tenant, request.service);
  const auto result = [&](ForwardOutcome outcome, ForwardRefusal refusal = ForwardRefusal::kNone) {
    return ForwardResult{outcome, progress.status, progress.last_event_id, refusal};
  };
  // The tenant's limit is checked before any server is chosen.
  if (tenant_admission.admit(steady_now(), random_) != TenantAdmission::Decision::kSend)
    co_return result(ForwardOutcome::kRefused, ForwardRefusal::kTenantLimit);

  const int max_runs = request.is_item ? 1 : std::max(1, request.route->max_attempts);
  CallOutcome last = CallOutcome::kNotSent;
  ForwardRefusal refusal = ForwardRefusal::kServersRefused;
  while (progress.tried.size() < kMaxServersTried) {
    const Millis now = steady_now();
    if (now + kMinTimeLeftMs >= request.deadline) break;
    const bool resume = progress.head_forwarded;
    if (progress.runs >= max_runs) break;
    if (resume && (!request.route->resumable || !progress.is_stream)) break;
    const SendPermission permission = current_permission(request);
    if (permission == SendPermission::kDenied) {
      refusal = ForwardRefusal::kWithdrawn;
      break;
    }
    const bool repeatable = permission == SendPermission::kRepeatable;
    if (progress.runs > 0 && !repeatable) break;
    const auto server = pool_.pick(now, request.service, progress.tried, request.is_item);
    if (!server) {
      if (progress.tried.empty()) refusal = ForwardRefusal::kNoServer;
      break;
    }
    if (!progress.tried.empty()) {
      upstream_->call_counters().count(CallEvent::kRepeatedSend);
      NETTLESTAND_DEBUG("request sent again id=" << request.id << " server=" << server->id
                                                 << " attempt=" << progress.tried.size() + 1
                                                 << " runs=" << progress.runs << " after=" << name_of(last));
    }
    progress.tried.push_back(server->id);
    progress.may_retry = repeatable && progress.runs + 1 < max_runs;
    last = co_await attempt(request, *server, progress, sink);
    if (last != CallOutcome::kCompleted) {
      NETTLESTAND_DEBUG("attempt failed id=" << request.id << " server=" << server->id
                                             << " outcome=" << name_of(last) << " ms=" << steady_now() - now);
    }
    tenant_admission.on_call_ended(steady_now(), last);
    if (!never_ran(last)) ++progress.runs;
    if (sink.client_gone) co_return result(ForwardOutcome::kClientGone);
    if (progress.completed) co_return result(ForwardOutcome::kCompleted);
  }
  if (progress.head_forwarded) co_return result(ForwardOutcome::kTruncated);
  if (progress.runs == 0) co_return result(ForwardOutcome::kRefused, refusal);
  co_return result(last == CallOutcome::kTimedOut ? ForwardOutcome::kTimedOut : ForwardOutcome::kFailed);
}

asio::awaitable<CallOutcome> Forwarder::attempt(ForwardRequest& request, const ChosenServer& server,
                                                Progress& progress, ResponseSink& sink) {
  using Read = UpstreamConnection::Read;
  const Millis started_at = steady_now();
  const bool force_new = pool_.is_suspect(started_at, server.id);
  pool_.on_sent(started_at, server.id, request.is_item);
  bool first_byte = false;
  const auto end_call = [&](CallOutcome outcome) {
    pool_.on_call_ended(steady_now(), server.id, outcome, request.is_item, first_byte);
    return sink.client_gone && !never_ran(outcome) ? CallOutcome::kClientGone : outcome;
  };
  UpstreamConnectionPtr connection =
      co_await upstream_->open(server.address, request.id, request.deadline, force_new);
  if (!connection) co_return end_call(CallOutcome::kNotSent);
  // The server list and the configuration may have changed while the connection was established.
  const SendPermission permission = current_permission(request);
  const bool allowed = permission == SendPermission::kRepeatable ||
                       (permission == SendPermission::kOnce && progress.runs == 0);
  if (sink.client_gone || !allowed || !pool_.is_usable(request.service, server.id)) {
    upstream_->release(server.address, std::move(connection));
    co_return end_call(CallOutcome::kWithdrawn);
  }
  progress.may_retry = progress.may_retry && permission == SendPermission::kRepeatable;
  sink.cancel_call = [weak = std::weak_ptr<UpstreamConnection>(connection)] {
    if (const auto alive = weak.lock()) alive->cancel();
  };
  const auto release_and_end = [&](CallOutcome outcome) {
    sink.cancel_call = nullptr;
    upstream_->release(server.address, std::move(connection));
    return end_call(outcome);
  };
  bool sent = false;
  const std::uint64_t* resume_after = progress.has_last_event_id ? &progress.last_event_id : nullptr;
  if (!co_await connection->send(build_request(request, server, resume_after), request.deadline, sent)) {
    co_return release_and_end(sent ? CallOutcome::kConnectionLost : CallOutcome::kNotSent);
  }
  Millis head_deadline = request.deadline;
  if (request.is_item) head_deadline = std::min(head_deadline, started_at + kItemFirstByteTimeoutMs);
  if (progress.may_retry)
    head_deadline = std::min(head_deadline, started_at + pool_.first_byte_timeout(request.service));
  ResponseHead head;
  const Read head_read = co_await connection->read_head(head, head_deadline);
  if (head_read != Read::kOk)
    co_return release_and_end(head_read == Read::kTimedOut ? CallOutcome::kTimedOut
                                                           : CallOutcome::kConnectionLost);
  pool_.on_first_byte(steady_now(), server.id, steady_now() - started_at, request.is_item);
  first_byte = true;
  if (head.load_running >= 0) {
    pool_.on_load_report(steady_now(), server.id, head.load_running, head.load_waiting, head.load_slots);
  }
  progress.status = head.status;
  constexpr int kHttpMisdirected = 421;
  if (head.status == kHttpMisdirected || head.not_executed) {
    std::string ignored;
    while (co_await connection->read_some(ignored, request.deadline) == Read::kOk) continue;
    co_return release_and_end(head.status == kHttpMisdirected ? CallOutcome::kMisdirected
                                                              : CallOutcome::kNotExecuted);
  }
  if (is_refusal(head.status)) {
    upstream_->call_counters().count(CallEvent::kUnprovenRefusal);
    NETTLESTAND_DEBUG("refusal without proof id=" << request.id << " server=" << server.id
                                                  << " status=" << head.status);
    // To its client it would be the promise that the request did not run, which the server has not given.
    if (current_permission(request) != SendPermission::kRepeatable)
      co_return release_and_end(CallOutcome::kServerError);
  }
  const bool success = is_success(head.status);
  if (!success && (progress.may_retry || progress.head_forwarded))
    co_return release_and_end(CallOutcome::kServerError);
  if (progress.head_forwarded && !head.is_event_stream) co_return release_and_end(CallOutcome::kServerError);
  if (!progress.head_forwarded) {
    progress.is_stream = success && head.is_event_stream;
    progress.head_forwarded = true;
    if (!co_await sink.on_head(head)) co_return release_and_end(CallOutcome::kClientGone);
  }

  const CallOutcome outcome = co_await forward_body(request, *connection, progress, sink);
  if (outcome != CallOutcome::kCompleted) co_return release_and_end(outcome);
  progress.completed = true;
  co_return release_and_end(success ? CallOutcome::kCompleted : CallOutcome::kServerError);
}

asio::awaitable<CallOutcome> Forwarder::forward_body(const ForwardRequest& request,
                                                     UpstreamConnection& connection, Progress& progress,
                                                     ResponseSink& sink) {
  using Read = UpstreamConnection::Read;
  EventStreamParser events;
  std::string bytes, whole_events;
  for (;;) {
    const Read read = co_await connection.read_some(bytes, body_deadline(request, progress));
    if (read == Read::kComplete) break;
    if (read == Read::kClosed) {
      const bool may_be_whole = !progress.is_stream || events.is_between_events();
      co_return may_be_whole ? CallOutcome::kCompleted : CallOutcome::kConnectionLost;
    }
    if (read != Read::kOk)
      co_return read == Read::kTimedOut ? CallOutcome::kTimedOut : CallOutcome::kConnectionLost;
    if (!progress.is_stream) {
      if (!co_await sink.on_data(bytes)) co_return CallOutcome::kClientGone;
      continue;
    }
    const bool in_order = take_whole_events(events, bytes, progress, whole_events);
    if (!whole_events.empty() && !co_await sink.on_data(whole_events)) co_return CallOutcome::kClientGone;
    if (!in_order) co_return CallOutcome::kConnectionLost;
  }
  // The last event of a whole response counts without the blank line that ends an event.
  const bool in_order = take_last_event(events, progress, whole_events);
  if (!whole_events.empty() && !co_await sink.on_data(whole_events)) co_return CallOutcome::kClientGone;
  co_return in_order ? CallOutcome::kCompleted : CallOutcome::kConnectionLost;
}

// Until when the next bytes of a response have to arrive.
Millis Forwarder::body_deadline(const ForwardRequest& request, const Progress& progress) {
  if (request.is_item) return std::min(request.deadline, steady_now() + kItemReadTimeoutMs);
  if (!progress.is_stream || !request.route->resumable || !progress.may_retry) return request.deadline;
  const auto gap = static_cast<Millis>(kGapTimeoutFactor * request.route->gap_aim_ms);
  return std::min(request.deadline, steady_now() + std::max(kMinGapTimeoutMs, gap));
}

// Counts an event as passed on, if it follows the one before.
bool Forwarder::take_event(const StreamEvent& event, Progress& progress) {
  if (!event.id) return true;
  if (progress.has_last_event_id && *event.id != progress.last_event_id + 1) return false;
  progress.last_event_id = *event.id;
  progress.has_last_event_id = true;
  return true;
}

// Sets `whole_events` to the events that these bytes complete. False if one is missing or repeated; it and
// those after it are left out.
bool Forwarder::take_whole_events(EventStreamParser& events, std::string_view bytes, Progress& progress,
                                  std::string& whole_events) {
  bool in_order = true;
  whole_events.clear();
  events.feed(bytes, [&](const StreamEvent& event) {
    in_order = in_order && take_event(event, progress);
    if (in_order) whole_events.append(event.bytes);
  });
  return in_order;
}

// The same for what is left at the end of a response that is whole.
bool Forwarder::take_last_event(EventStreamParser& events, Progress& progress, std::string& whole_events) {
  bool in_order = true;
  whole_events.clear();
  events.finish([&](const StreamEvent& event) {
    in_order = take_event(event, progress);
    if (in_order) whole_events.append(event.bytes);
  });
  return in_order;
}

}  // namespace nettlestand::tier
