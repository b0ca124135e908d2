#include "node/operator_front.h"

#include <charconv>
#include <utility>

namespace nettlestand::tier {
namespace {

namespace asio = boost::asio;

constexpr Millis kPatienceMs =
    2500;  // the caller goes to another node after a second, for large bodies later
constexpr Millis kReplyWaitMs = 1300;  // for a leader to answer, before the call is sent again
constexpr Millis kRetryMs = 40;
const HeaderList kJson = {{"Content-Type", "application/json"}};

}  // namespace

asio::awaitable<void> OperatorFront::handle(std::shared_ptr<HttpExchange> exchange) {
  const HttpRequest& request = exchange->request;
  OperatorCall call{};
  call.method = request.method;
  call.path = std::string(request.path());
  call.body = request.body;
  const std::string_view base = request.header("X-Base-Version");
  std::from_chars(base.data(), base.data() + base.size(), call.base);
  const bool known =
      call.path.starts_with("/nettlestand/config/") || call.path.starts_with("/nettlestand/retire/");
  if (!known) co_return co_await exchange->respond(404, kJson, "{\"error\":\"no such call\"}");

  const Millis until = steady_now() + kPatienceMs;
  bool may_be_taken = false;
  while (steady_now() < until) {
    const std::string leader = follower_.leader(kConfigGroup);
    if (leader.empty()) {
      co_await sleep_for(io_, kRetryMs);
      continue;
    }
    call.call = calls_.next_number();
    network_.send(leader, encode_message(MessageType::kOperatorCall, call));
    const auto reply =
        co_await calls_.wait(call.call, std::min(kReplyWaitMs, std::max<Millis>(until - steady_now(), 1)));
    if (!reply) {
      may_be_taken = true;
      continue;
    }
    if (!reply->not_leader)
      co_return co_await exchange->respond(static_cast<int>(reply->status), kJson, reply->body);
    follower_.hint_leader(kConfigGroup, reply->leader);
    co_await sleep_for(io_, kRetryMs);
  }
  // Where a leader was asked and did not answer, the order may be in force: nothing is promised then.
  HeaderList headers = kJson;
  headers.emplace_back("Retry-After", "0.3");
  co_await exchange->respond(may_be_taken ? 504 : 503, headers, "{\"error\":\"no leader answered\"}");
}

}  // namespace nettlestand::tier
