#include "node/operator_request_handler.h"

#include <charconv>
#include <utility>

namespace nettlestand::tier {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kConfigPrefix = "/nettlestand/config/";
constexpr std::string_view kRetirePrefix = "/nettlestand/retire/";
constexpr std::string_view kReadPath = "/nettlestand/config/read";
constexpr Millis kReplyTimeoutMs = 3000;  // longer than the relay's own timeout
// Memory of a call besides its body, in bytes for each byte of the body: the call and its messages.
constexpr std::size_t kCallMemoryFactor = 3;
constexpr int kServiceUnavailable = 503, kGatewayTimeout = 504;
const char* const kRetryAfter = "0.3";  // seconds
const HeaderList kJson = {{"Content-Type", "application/json"}};

bool is_configuration_change(std::string_view path) {
  return path.starts_with(kConfigPrefix) && path != kReadPath;
}

// Refuses a call for which the process has no memory left; nothing of it has been done.
asio::awaitable<void> refuse_for_memory(std::shared_ptr<HttpExchange> exchange) {
  HeaderList headers = kJson;
  headers.emplace_back("Retry-After", kRetryAfter);
  co_await exchange->respond(kServiceUnavailable, std::move(headers), "{\"error\":\"no memory left\"}");
}

}  // namespace

std::optional<std::uint64_t> parse_base_version(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return value;
}

asio::awaitable<void> OperatorRequestHandler::handle(std::shared_ptr<HttpExchange> exchange) {
  const HttpRequest& request = exchange->request;
  if (!exchange->reserve_memory(kCallMemoryFactor * request.body.size()))
    co_return co_await refuse_for_memory(std::move(exchange));
  OperatorCall call{};
  call.method = request.method;
  call.path = std::string(request.path());
  call.body = request.body;
  const bool known = call.path.starts_with(kConfigPrefix) || call.path.starts_with(kRetirePrefix);
  if (!known) co_return co_await exchange->respond(404, kJson, "{\"error\":\"no such call\"}");
  if (is_configuration_change(call.path)) {
    const auto base = parse_base_version(request.header("X-Base-Version"));
    if (!base) {
      co_return co_await exchange->respond(400, kJson, "{\"error\":\"X-Base-Version is no whole number\"}");
    }
    call.base = *base;
  }
  const bool is_read = call.path == kReadPath;
  const std::uint64_t call_number = pending_replies_.next_number();
  relay_.start(steady_now(), std::move(call),
               [this, call_number](std::uint32_t status, const std::string& body) {
                 pending_replies_.deliver({call_number, status, body});
               });
  const auto reply = co_await pending_replies_.wait(call_number, kReplyTimeoutMs);
  const int status = reply ? static_cast<int>(reply->status) : kGatewayTimeout;
  const std::string body = reply ? reply->body : std::string("{\"error\":\"no answer\"}");
  if (is_read && !exchange->reserve_memory(body.size()))
    co_return co_await refuse_for_memory(std::move(exchange));
  HeaderList headers = kJson;
  if (status == kServiceUnavailable || status == kGatewayTimeout)
    headers.emplace_back("Retry-After", kRetryAfter);
  co_await exchange->respond(status, headers, body);
}

}  // namespace nettlestand::tier
