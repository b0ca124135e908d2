#include "node/batch_request_handler.h"

#include <charconv>
#include <optional>
#include <utility>

#include "base/digest.h"
#include "batch/item_route.h"
#include "batch/job_json.h"
#include "control/placement.h"
#include "node/log.h"

namespace nettlestand::tier {
namespace {

namespace asio = boost::asio;

constexpr Millis kSubmitTimeoutMs = BatchRequestHandler::kMaxCallMs;
constexpr Millis kReadTimeoutMs = 1200;  // in addition to the wait that the client allows
constexpr Millis kReplyTimeoutMs = 700;  // after the store's own wait, until the call is sent again
constexpr Millis kSubmitReplyTimeoutMs = 900;
constexpr Millis kRetryDelayMs = 40;
constexpr Millis kMaxWaitMs = 10000;
// Memory of a submission besides its body, in bytes for each byte of the body: its items, the call to the
// store, and the messages in which the call is sent again.
constexpr std::size_t kSubmissionMemoryFactor = 3;
constexpr int kMethodNotAllowed = 405, kServiceUnavailable = 503;
constexpr std::uint32_t kNotFound = 404;
const char* const kNoMemoryRetryAfter = "0.5";  // seconds
constexpr std::uint32_t kNotPrimary = 0;        // reply status: the store can't answer and has stored nothing
constexpr std::uint32_t kOutcomeUnknown = 1;    // the store may have stored it; only another one can tell
const HeaderList kJson = {{"Content-Type", "application/json"}};

// Counts a read for as long as it is handled.
class LongPoll {
 public:
  explicit LongPoll(std::size_t& count) : count_(count) { ++count_; }
  ~LongPoll() { --count_; }
  LongPoll(const LongPoll&) = delete;
  LongPoll& operator=(const LongPoll&) = delete;

 private:
  std::size_t& count_;
};

std::uint64_t parse_number(std::string_view text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace

bool BatchRequestHandler::is_job_path(std::string_view path) {
  return path.starts_with("/nettlestand/lots/") || path.starts_with("/nettlestand/items/");
}

asio::awaitable<BatchRequestHandler::PrimaryReply> BatchRequestHandler::call_primary(JobCall call,
                                                                                     Millis deadline) {
  PrimaryReply out;
  const bool is_write = call.kind == JobCallKind::kSubmit || call.kind == JobCallKind::kEnd;
  while (steady_now() < deadline) {
    const std::string address = primary_address(control_client_.state().placement(), call.tenant);
    if (address.empty()) {
      co_await sleep_for(io_, kRetryDelayMs);
      continue;
    }
    call.call = pending_calls_.next_number();
    messenger_.send(address, encode_message(MessageType::kJobCall, call));
    const Millis timeout = is_write ? kSubmitReplyTimeoutMs : call.wait_ms + kReplyTimeoutMs;
    auto reply = co_await pending_calls_.wait(
        call.call, std::min(timeout, std::max<Millis>(deadline - steady_now(), 1)));
    if (!reply || reply->status == kOutcomeUnknown) {
      out.may_be_stored = true;
    } else if (reply->status != kNotPrimary) {
      out.status = reply->status;
      out.body = std::move(reply->body);
      co_return out;
    }
    if (reply) co_await sleep_for(io_, kRetryDelayMs);
    call.wait_ms = std::min(call.wait_ms, std::max<Millis>(deadline - steady_now() - kReplyTimeoutMs, 0));
  }
  co_return out;
}

asio::awaitable<void> BatchRequestHandler::refuse_for_memory(std::shared_ptr<HttpExchange> exchange) {
  HeaderList headers = kJson;
  headers.emplace_back("Retry-After", kNoMemoryRetryAfter);
  co_await exchange->respond(kServiceUnavailable, std::move(headers), "{}");
}

asio::awaitable<void> BatchRequestHandler::submit(std::shared_ptr<HttpExchange> exchange,
                                                  const Configuration& configuration, const Route& route,
                                                  std::string tenant) {
  const HttpRequest& request = exchange->request;
  if (digest_of(request.body) != request.body_digest) {
    body_check_.record_mismatch(BodyCheckStep::kSubmission);
    NETTLESTAND_WARNING("request body does not match its digest id="
                        << request.header("X-Request-Id") << " step=" << name_of(BodyCheckStep::kSubmission));
    HeaderList headers = kJson;
    headers.emplace_back("Retry-After", "0.5");
    co_return co_await exchange->respond(503, std::move(headers), "{}");
  }
  if (!exchange->reserve_memory(kSubmissionMemoryFactor * request.body.size()))
    co_return co_await refuse_for_memory(std::move(exchange));
  auto spec = parse_job(request.body);
  if (!spec.ok()) {
    std::string error = "{\"error\":\"" + std::string(spec.status().message()) + "\"}";
    co_return co_await exchange->respond(400, kJson, std::move(error));
  }
  spec->id = std::string(request.header("X-Request-Id"));
  spec->tenant = tenant;
  spec->route = route.name;
  spec->host = request.host();
  if (route_of_job(configuration, *spec) == nullptr)
    co_return co_await exchange->respond(400, kJson, "{\"error\":\"an item's path is not under the route\"}");
  JobCall call{};
  call.kind = JobCallKind::kSubmit;
  call.tenant = std::move(tenant);
  call.job = spec->id;
  call.spec.push_back(*std::move(spec));
  const PrimaryReply reply = co_await call_primary(std::move(call), steady_now() + kSubmitTimeoutMs);
  HeaderList headers = kJson;
  int status = static_cast<int>(reply.status);
  // 429 and 503 promise that no item will run. That can't be promised if a store may have stored the job.
  const bool refused = status == 0 || status == 429 || status == 503;
  if (refused && reply.may_be_stored) status = 504;
  if (status == 0) status = 503;
  if (status == 429 || status == 503) headers.emplace_back("Retry-After", "0.5");
  // A variable of its own, because GCC 12 destroys the temporary of a conditional expression twice if it is
  // inside an awaited expression.
  std::string body = reply.body;
  if (body.empty()) body = "{}";
  co_await exchange->respond(status, std::move(headers), std::move(body));
}

asio::awaitable<bool> BatchRequestHandler::handle_job_request(std::shared_ptr<HttpExchange> exchange,
                                                              std::vector<std::string> owners,
                                                              bool may_long_poll) {
  const HttpRequest& request = exchange->request;
  const std::string_view path = request.path();
  JobCall call{};
  call.job = std::string(path.substr(path.rfind('/') + 1));
  const bool items = path.starts_with("/nettlestand/items/");
  if (request.method == "DELETE" && !items) {
    call.kind = JobCallKind::kEnd;
  } else if (request.method == "GET") {
    call.kind = items ? JobCallKind::kBody : JobCallKind::kRead;
    call.item = request.query("id");
    call.start_after = parse_number(request.query("start_after"));
    if (!items && may_long_poll && long_polls_ < max_long_polls_)
      call.wait_ms = std::min(static_cast<Millis>(parse_number(request.header("X-Wait-Ms"))), kMaxWaitMs);
  } else {
    co_await exchange->respond(kMethodNotAllowed, kJson, "{}");
    co_return true;
  }
  const Millis timeout = call.kind == JobCallKind::kEnd ? kSubmitTimeoutMs : call.wait_ms + kReadTimeoutMs;
  std::optional<LongPoll> long_poll;
  if (call.wait_ms > 0) long_poll.emplace(long_polls_);
  const PrimaryReply reply = co_await call_owners(std::move(call), std::move(owners), steady_now() + timeout);
  long_poll.reset();
  if (reply.status == kNotFound) co_return false;
  HeaderList headers = kJson;
  if (reply.status == 0) {
    headers.emplace_back("Retry-After", "0.3");
    co_await exchange->respond(kServiceUnavailable, headers, "{}");
    co_return true;
  }
  if (!exchange->reserve_memory(reply.body.size())) {
    co_await refuse_for_memory(std::move(exchange));
    co_return true;
  }
  if (items) headers.front().second = "application/octet-stream";
  co_await exchange->respond(static_cast<int>(reply.status), headers, reply.body);
  co_return true;
}

asio::awaitable<BatchRequestHandler::PrimaryReply> BatchRequestHandler::call_owners(
    JobCall call, std::vector<std::string> owners, Millis deadline) {
  PrimaryReply reply;
  for (std::string& owner : owners) {
    call.tenant = std::move(owner);
    reply = co_await call_primary(call, deadline);
    if (reply.status != kNotFound) break;
  }
  co_return reply;
}

asio::awaitable<void> BatchRequestHandler::respond_no_such_job(std::shared_ptr<HttpExchange> exchange) {
  co_await exchange->respond(static_cast<int>(kNotFound), kJson, "");
}

}  // namespace nettlestand::tier
