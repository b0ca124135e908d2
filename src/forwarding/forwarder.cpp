#include "forwarding/forwarder.h"

#include <algorithm>
#include <utility>

#include "forwarding/event_stream.h"

namespace nettlestand::tier {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxTries = 8;       // servers that one request is offered to
constexpr Millis kItemFirstByteMs = 4000;  // silence after which an item is tried elsewhere
constexpr Millis kItemGapMs = 2000;
constexpr double kGapPatience = 4;  // x the route's gap_aim_ms, for streams that may be resumed
constexpr Millis kLeastGapPatienceMs = 500;
constexpr Millis kLeastLeftMs = 5;  // with less time left no server is asked

OutgoingRequest outgoing(const ForwardRequest& request, const ChosenServer& server,
                         const std::uint64_t* last_event) {
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
  if (last_event != nullptr) add("Last-Event-Id", std::to_string(*last_event));
  if (!request.body.empty() || request.method != "GET")
    add("Content-Length", std::to_string(request.body.size()));
  out += "\r\n";
  out += request.body;
  return result;
}

bool is_success(int status) { return status >= 200 && status < 300; }

}  // namespace

// What has become of a request over its attempts.
struct Forwarder::Progress {
  std::vector<std::string> tried;
  int runs = 0;  // servers that may have run it
  bool head_passed = false;
  bool is_stream = false;
  bool ended_whole = false;
  bool may_try_again = false;  // after the present attempt, as far as the rules go
  int status = 0;
  std::uint64_t last_event = 0;
  bool has_event = false;
};

Forwarder::Forwarder(std::unique_ptr<Upstream> upstream, std::uint64_t seed)
    : pool_(seed), upstream_(std::move(upstream)), random_(seed + 1) {}
Forwarder::~Forwarder() = default;

ClientAdmission& Forwarder::admission(const std::string& tenant, const std::string& service) {
  return admissions_[{tenant, service}];
}

asio::awaitable<ForwardResult> Forwarder::forward(ForwardRequest request, AnswerSink& sink) {
  Progress progress;
  progress.last_event = request.last_event_id;
  progress.has_event = request.has_last_event_id;
  ClientAdmission& client = admission(request.tenant, request.service);
  const auto result = [&](ForwardEnd end, ForwardRefusal refusal = ForwardRefusal::kNone) {
    return ForwardResult{end, progress.status, progress.last_event, refusal};
  };
  // The first decision: may this client's call go at all?
  if (client.admit(steady_now(), random_) != ClientAdmission::Decision::kSend)
    co_return result(ForwardEnd::kRefused, ForwardRefusal::kLimit);

  const int allowed_runs = request.is_item ? 1 : std::max(1, request.route->max_attempts);
  CallEnd last = CallEnd::kNotSent;
  ForwardRefusal refusal = ForwardRefusal::kServersRefused;
  while (progress.tried.size() < kMaxTries) {
    const Millis now = steady_now();
    if (now + kLeastLeftMs >= request.deadline) break;
    const bool repeatable = request.route->repeatable();
    const bool resume = progress.head_passed;
    if (progress.runs >= allowed_runs || (progress.runs > 0 && !repeatable)) break;
    if (resume && (!request.route->resumable || !progress.is_stream)) break;
    if (request.may_send && !request.may_send()) {
      refusal = ForwardRefusal::kWithdrawn;
      break;
    }
    const auto server = pool_.pick(now, request.service, progress.tried, request.is_item);
    if (!server) {
      if (progress.tried.empty()) refusal = ForwardRefusal::kNoServer;
      break;
    }
    progress.tried.push_back(server->id);
    progress.may_try_again = repeatable && progress.runs + 1 < allowed_runs;
    last = co_await attempt(request, *server, progress, sink);
    client.on_end(steady_now(), last);
    if (!never_ran(last)) ++progress.runs;
    if (sink.client_gone) co_return result(ForwardEnd::kAbandoned);
    if (progress.ended_whole) co_return result(ForwardEnd::kAnswered);
  }
  if (progress.head_passed) co_return result(ForwardEnd::kCut);
  if (progress.runs == 0) co_return result(ForwardEnd::kRefused, refusal);
  co_return result(last == CallEnd::kTimedOut ? ForwardEnd::kTimedOut : ForwardEnd::kFailed);
}

asio::awaitable<CallEnd> Forwarder::attempt(ForwardRequest& request, const ChosenServer& server,
                                            Progress& progress, AnswerSink& sink) {
  using Read = UpstreamConnection::Read;
  const Millis began = steady_now();
  const bool suspect = pool_.is_suspect(began, server.id);
  pool_.on_sent(began, server.id, request.is_item);
  bool first_byte = false;
  const auto end = [&](CallEnd how) {
    pool_.on_end(steady_now(), server.id, how, request.is_item, first_byte);
    return sink.client_gone && !never_ran(how) ? CallEnd::kAbandoned : how;
  };
  UpstreamPtr connection = co_await upstream_->open(server.address, request.deadline, suspect);
  if (!connection) co_return end(CallEnd::kNotSent);
  // The list and the configuration may have changed while the connection came up.
  const bool allowed = !request.may_send || request.may_send();
  if (sink.client_gone || !allowed || !pool_.is_usable(request.service, server.id)) {
    upstream_->finish(server.address, std::move(connection));
    co_return end(CallEnd::kNotSent);
  }
  sink.abandon = [raw = std::weak_ptr<UpstreamConnection>(connection)] {
    if (const auto alive = raw.lock()) alive->cancel();
  };
  const auto finish = [&](CallEnd how) {
    sink.abandon = nullptr;
    upstream_->finish(server.address, std::move(connection));
    return end(how);
  };
  bool sent = false;
  const std::uint64_t* resume_after = progress.has_event ? &progress.last_event : nullptr;
  if (!co_await connection->send(outgoing(request, server, resume_after), request.deadline, sent)) {
    co_return finish(sent ? CallEnd::kBroken : CallEnd::kNotSent);
  }
  Millis head_until = request.deadline;
  if (request.is_item) head_until = std::min(head_until, began + kItemFirstByteMs);
  if (progress.may_try_again) head_until = std::min(head_until, began + pool_.patience(request.service));
  ResponseHead head;
  const Read head_read = co_await connection->read_head(head, head_until);
  if (head_read != Read::kOk)
    co_return finish(head_read == Read::kTimedOut ? CallEnd::kTimedOut : CallEnd::kBroken);
  pool_.on_first_byte(steady_now(), server.id, steady_now() - began, request.is_item);
  first_byte = true;
  if (head.load_running >= 0) {
    pool_.on_load(steady_now(), server.id, head.load_running, head.load_waiting, head.load_slots);
  }
  progress.status = head.status;
  constexpr int kMisdirected = 421;
  if (head.status == kMisdirected || head.not_executed) {
    std::string ignored;
    while (co_await connection->read_some(ignored, request.deadline) == Read::kOk) continue;
    co_return finish(head.status == kMisdirected ? CallEnd::kGone : CallEnd::kNotExecuted);
  }
  const bool success = is_success(head.status);
  if (!success && (progress.may_try_again || progress.head_passed)) co_return finish(CallEnd::kFailed);
  if (progress.head_passed && !head.event_stream) co_return finish(CallEnd::kFailed);
  if (!progress.head_passed) {
    progress.is_stream = success && head.event_stream;
    progress.head_passed = true;
    if (!co_await sink.head(head)) co_return finish(CallEnd::kAbandoned);
  }

  EventSplitter events;
  std::string bytes, whole_events;
  Millis gap = request.deadline;
  for (;;) {
    if (request.is_item) gap = steady_now() + kItemGapMs;
    if (!request.is_item && progress.is_stream && request.route->resumable && progress.may_try_again) {
      gap = std::min(request.deadline,
                     steady_now() + std::max(kLeastGapPatienceMs,
                                             static_cast<Millis>(kGapPatience * request.route->gap_aim_ms)));
    }
    const Read read = co_await connection->read_some(bytes, std::min(gap, request.deadline));
    if (read == Read::kEnd) break;
    if (read != Read::kOk) co_return finish(read == Read::kTimedOut ? CallEnd::kTimedOut : CallEnd::kBroken);
    if (!progress.is_stream) {
      if (!co_await sink.data(bytes)) co_return finish(CallEnd::kAbandoned);
      continue;
    }
    bool in_order = true;
    whole_events.clear();
    events.feed(bytes, [&](const StreamEvent& event) {
      if (event.id) {
        in_order = in_order && (!progress.has_event || *event.id == progress.last_event + 1);
        if (!in_order) return;
        progress.last_event = *event.id;
        progress.has_event = true;
      }
      whole_events.append(event.bytes);
    });
    if (!whole_events.empty() && !co_await sink.data(whole_events)) co_return finish(CallEnd::kAbandoned);
    if (!in_order) co_return finish(CallEnd::kBroken);
  }
  if (progress.is_stream && !events.partial().empty()) {
    // The server's last bytes end no event: they are its own all the same.
    if (!co_await sink.data(events.partial())) co_return finish(CallEnd::kAbandoned);
  }
  progress.ended_whole = true;
  co_return finish(success ? CallEnd::kAnswered : CallEnd::kFailed);
}

}  // namespace nettlestand::tier
