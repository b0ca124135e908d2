#include "node/client_request_handler.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include "forwarding/request_headers.h"
#include "node/log.h"

namespace nettlestand::tier {
namespace {

namespace asio = boost::asio;

constexpr Millis kDefaultDeadlineMs = 30000;  // if neither the client nor the route sets one
constexpr Millis kQuotaTimeoutMs = 120;       // to wait for a grant, before the request is over quota
constexpr Millis kQuotaPollIntervalMs = 15;
// Time to wait for the control state to be available again, before a request is refused.
constexpr Millis kConfigurationTimeoutMs = 250;
constexpr Millis kConfigurationPollIntervalMs = 25;
// Memory of a response on its way to a client that reads slowly: the read buffer of the connection to the
// server, and what is being written.
constexpr std::size_t kResponseBufferBytes = 80U << 10;
// Values of Retry-After, in seconds. Clients retry only a few times, so each value is the time after which a
// retry is likely to succeed: servers have capacity again soon, the control state is back within about a
// second, and a quota is refilled over its window.
const char* const kServerRetryAfter = "0.25";
const char* const kConfigurationRetryAfter = "1";
const char* const kQuotaRetryAfter = "0.8";

Millis parse_number_or(std::string_view text, Millis otherwise) {
  Millis value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  return parsed.ec == std::errc() ? value : otherwise;
}

// The client's deadline or the route's, whichever is first.
Millis deadline_of(const HttpRequest& request, const Route& route) {
  const Millis client_ms = parse_number_or(request.header("X-Deadline-Ms"), kDefaultDeadlineMs);
  const Millis route_ms = route.timeout_ms > 0 ? static_cast<Millis>(route.timeout_ms) : kDefaultDeadlineMs;
  return request.received_at + std::min(client_ms, route_ms);
}

std::size_t serialized_bytes(const HttpRequest& request) {
  std::size_t bytes = request.target.size() + request.body.size();
  for (const auto& [name, value] : request.headers) bytes += name.size() + value.size();
  return bytes;
}

int status_of(RefusalCause cause) {
  switch (cause) {
    case RefusalCause::kUnknownRoute:
      return 404;
    case RefusalCause::kUnknownKey:
      return 401;
    case RefusalCause::kBadRequest:
      return 400;
    case RefusalCause::kQuota:
      return 429;
    default:
      return 503;
  }
}

// The value of Retry-After; null if a retry would not help.
const char* retry_after(RefusalCause cause) {
  switch (cause) {
    case RefusalCause::kUnknownRoute:
    case RefusalCause::kUnknownKey:
    case RefusalCause::kBadRequest:
      return nullptr;
    case RefusalCause::kNoConfiguration:
      return kConfigurationRetryAfter;
    case RefusalCause::kQuota:
      return kQuotaRetryAfter;
    default:
      return kServerRetryAfter;
  }
}

RefusalCause cause_of(ForwardRefusal refusal) {
  switch (refusal) {
    case ForwardRefusal::kTenantLimit:
      return RefusalCause::kTenantLimit;
    case ForwardRefusal::kNoServer:
      return RefusalCause::kNoServer;
    case ForwardRefusal::kWithdrawn:
      return RefusalCause::kWithdrawn;
    default:
      return RefusalCause::kServersRefused;
  }
}

// Streams a server's response to the client.
class ClientResponseSink : public ResponseSink {
 public:
  explicit ClientResponseSink(std::shared_ptr<HttpExchange> exchange) : exchange_(std::move(exchange)) {}
  asio::awaitable<bool> on_head(const ResponseHead& head) override {
    // Another server may continue an event stream, so its length is not announced.
    co_return co_await exchange_->start(head.status, head.headers, head.has_length && !head.is_event_stream,
                                        head.length);
  }
  asio::awaitable<bool> on_data(std::string_view bytes) override {
    co_return co_await exchange_->write(bytes);
  }

 private:
  std::shared_ptr<HttpExchange> exchange_;
};

}  // namespace

asio::awaitable<void> ClientRequestHandler::handle(std::shared_ptr<HttpExchange> exchange) {
  const HttpRequest& request = exchange->request;
  if (!co_await has_configuration()) co_return co_await refuse(exchange, RefusalCause::kNoConfiguration);
  const auto configuration = control_client_.configuration();
  if (BatchRequestHandler::is_job_path(request.path())) {
    co_return co_await handle_job_request(std::move(exchange), *configuration);
  }
  const Route* route = configuration->find_route(request.host(), request.path());
  if (route == nullptr) co_return co_await refuse(exchange, RefusalCause::kUnknownRoute);
  const std::optional<Caller> caller = caller_of_request(*configuration, *route, request.header("X-Api-Key"));
  if (!caller) co_return co_await refuse(exchange, RefusalCause::kUnknownKey);
  const std::string tenant = caller->tenant_name();
  if (request.header("X-Request-Id").empty()) {
    co_return co_await refuse(exchange, RefusalCause::kBadRequest, tenant);
  }
  if (route->route_class == RouteClass::kBatch) {
    if (request.received_at + BatchRequestHandler::kMaxCallMs > stop_deadline_) {
      co_return co_await refuse(exchange, RefusalCause::kStopping, tenant);
    }
    co_return co_await batch_.submit(std::move(exchange), *configuration, *route, tenant);
  }
  if (deadline_of(request, *route) > stop_deadline_) {
    co_return co_await refuse(exchange, RefusalCause::kStopping, tenant);
  }
  // The request is held a second time while it is sent.
  if (!exchange->reserve_memory(serialized_bytes(request) + kResponseBufferBytes)) {
    co_return co_await refuse(exchange, RefusalCause::kNoMemory, tenant);
  }
  if (caller->tenant != nullptr && !co_await acquire_quota(*caller->tenant)) {
    co_return co_await refuse(exchange, RefusalCause::kQuota, tenant);
  }
  co_await forward_request(std::move(exchange), configuration, *route, *caller);
}

asio::awaitable<void> ClientRequestHandler::handle_job_request(std::shared_ptr<HttpExchange> exchange,
                                                               const Configuration& configuration) {
  const auto caller = caller_of_job_request(configuration, exchange->request.header("X-Api-Key"));
  if (!caller) co_return co_await refuse(exchange, RefusalCause::kUnknownKey);
  const bool may_long_poll = stop_deadline_ == std::numeric_limits<Millis>::max();
  std::vector<std::string> owners = accessible_job_owners(*caller);
  const bool found = co_await batch_.handle_job_request(exchange, std::move(owners), may_long_poll);
  if (found) co_return;
  const bool lacks_key = caller->tenant == nullptr && configuration.requires_keys();
  if (lacks_key) co_return co_await refuse(exchange, RefusalCause::kUnknownKey);
  co_await BatchRequestHandler::respond_no_such_job(exchange);
}

asio::awaitable<void> ClientRequestHandler::refuse(std::shared_ptr<HttpExchange> exchange, RefusalCause cause,
                                                   const std::string& tenant) {
  refusals_.count(cause, tenant);
  NETTLESTAND_DEBUG("request refused id=" << exchange->request.header("X-Request-Id") << " tenant=" << tenant
                                          << " cause=" << name_of(cause));
  HeaderList headers;
  if (const char* after = retry_after(cause)) headers.emplace_back("Retry-After", after);
  co_await exchange->respond(status_of(cause), std::move(headers), "");
}

void ClientRequestHandler::tick(Millis now) {
  const std::string report = refusals_.take_due_report(now);
  if (!report.empty()) NETTLESTAND_INFO("refused" << report);
}

asio::awaitable<bool> ClientRequestHandler::has_configuration() {
  const Millis until = steady_now() + kConfigurationTimeoutMs;
  for (;;) {
    const Millis now = steady_now();
    if (control_client_.configuration() && control_client_.has_config_lease(now)) co_return true;
    if (now >= until) co_return false;
    co_await sleep_for(io_, kConfigurationPollIntervalMs);
  }
}

asio::awaitable<bool> ClientRequestHandler::acquire_quota(const Tenant& tenant) {
  const Millis until = steady_now() + kQuotaTimeoutMs;
  for (;;) {
    const Millis now = steady_now();
    switch (control_client_.quota().acquire(now, tenant)) {
      case QuotaLease::Result::kTaken:
        co_return true;
      case QuotaLease::Result::kDenied:
        co_return false;
      case QuotaLease::Result::kWait:
        break;
    }
    if (now >= until) co_return false;
    control_client_.poll_if_urgent(now);
    co_await sleep_for(io_, kQuotaPollIntervalMs);
  }
}

SendPermission ClientRequestHandler::current_permission(const std::string& host, const std::string& path,
                                                        const std::string& key, const std::string& tenant,
                                                        const std::string& service) const {
  if (!control_client_.has_config_lease(steady_now())) return SendPermission::kDenied;
  const auto current = control_client_.configuration();
  const Route* route = current->find_route(host, path);
  if (route == nullptr || !may_still_send(*current, *route, key, tenant)) return SendPermission::kDenied;
  const bool has_service =
      std::any_of(route->split.begin(), route->split.end(),
                  [&](const ServiceWeight& part) { return part.service == service && part.weight > 0; });
  if (!has_service) return SendPermission::kDenied;
  return route->repeatable() ? SendPermission::kRepeatable : SendPermission::kOnce;
}

asio::awaitable<void> ClientRequestHandler::forward_request(
    std::shared_ptr<HttpExchange> exchange, std::shared_ptr<const Configuration> configuration,
    const Route& route, Caller caller) {
  HttpRequest& request = exchange->request;
  ForwardRequest forward;
  forward.configuration = configuration;
  forward.route = &route;
  forward.service = route.pick_service(random_.unit());
  forward.tenant = caller.tenant_name();
  forward.id = std::string(request.header("X-Request-Id"));
  forward.method = request.method;
  forward.target = request.target;
  forward.host = std::string(request.header("Host"));
  forward.deadline = deadline_of(request, route);
  if (const std::string_view last = request.header("Last-Event-Id"); !last.empty()) {
    forward.last_event_id = static_cast<std::uint64_t>(parse_number_or(last, 0));
    forward.has_last_event_id = true;
  }
  forward.headers = forwarded_headers(request.headers);
  forward.body = std::move(request.body);
  forward.body_digest = request.body_digest;
  forward.permission = [this, host = request.host(), path = std::string(request.path()), key = caller.key,
                        tenant = forward.tenant, service = forward.service] {
    return current_permission(host, path, key, tenant, service);
  };

  const auto sink = std::make_shared<ClientResponseSink>(exchange);
  exchange->on_disconnect = [weak = std::weak_ptr<ClientResponseSink>(sink)] {
    const auto live_sink = weak.lock();
    if (!live_sink) return;
    live_sink->client_gone = true;
    if (live_sink->cancel_call) live_sink->cancel_call();
  };
  const ForwardResult result = co_await forwarder_.forward(std::move(forward), *sink);
  switch (result.outcome) {
    case ForwardOutcome::kCompleted:
      co_return co_await exchange->finish();
    case ForwardOutcome::kTruncated:
    case ForwardOutcome::kClientGone:
      exchange->abort();
      co_return;
    case ForwardOutcome::kRefused:
      co_return co_await refuse(exchange, cause_of(result.refusal), caller.tenant_name());
    case ForwardOutcome::kFailed:
      co_return co_await exchange->respond(502, {}, "");
    case ForwardOutcome::kTimedOut:
      co_return co_await exchange->respond(504, {}, "");
  }
}

}  // namespace nettlestand::tier
