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
constexpr int kServiceUnavailable = 503, kGatewayTimeout = 504;
const HeaderList kJson = {{"Content-Type", "application/json"}};

bool is_configuration_change(std::string_view path) {
  return path.starts_with(kConfigPrefix) && path != kReadPath;
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
  const std::uint64_t call_number = pending_replies_.next_number();
  relay_.start(steady_now(), std::move(call),
               [this, call_number](std::uint32_t status, const std::string& body) {
                 pending_replies_.deliver({call_number, status, body});
               });
  const auto reply = co_await pending_replies_.wait(call_number, kReplyTimeoutMs);
  const int status = reply ? static_cast<int>(reply->status) : kGatewayTimeout;
  const std::string body = reply ? reply->body : std::string("{\"error\":\"no answer\"}");
  HeaderList headers = kJson;
  if (status == kServiceUnavailable || status == kGatewayTimeout) headers.emplace_back("Retry-After", "0.3");
  co_await exchange->respond(status, headers, body);
}

}  // namespace nettlestand::tier
