#include "standins/tier/engine.h"

#include <boost/asio/post.hpp>
#include <future>

#include "node/pending_calls.h"

namespace nettlestand::tier::standins {
namespace {

namespace asio = boost::asio;

HttpLimits wide_limits() { return {65536, 64U << 20, 10000, 60000}; }

std::string event_of(std::uint64_t number, std::size_t padding = 0) {
  return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) +
         std::string(padding, '.') + "\n\n";
}

// A separate function, since GCC 12 can't compile a braced list inside an awaited call.
HeaderList headers_of(const std::string& request_id, const char* name, const std::string& value) {
  HeaderList out;
  if (!request_id.empty()) out.emplace_back("X-Request-Id", request_id);
  out.emplace_back(name, value);
  return out;
}

}  // namespace

IoThread::IoThread() : thread_([this] { io_.run(); }) {}

IoThread::~IoThread() {
  io_.stop();
  thread_.join();
}

void IoThread::run(const std::function<void()>& function) {
  std::promise<void> done;
  asio::post(io_, [&] {
    function();
    done.set_value();
  });
  done.get_future().get();
}

Engine::Engine(IoThread& loop, std::string id, std::string address, int events)
    : loop_(loop), address_(std::move(address)), events_(events), id_(std::move(id)) {
  loop_.run([this] {
    server_ = std::make_unique<HttpServer>(
        loop_.io(), address_, [] { return wide_limits(); },
        [this](std::shared_ptr<HttpExchange> exchange) { return handle(std::move(exchange)); });
    server_->listen();
  });
}

std::string Engine::whole_stream() {
  std::string out;
  for (std::uint64_t number = 1; number <= kDefaultEvents; ++number) out += event_of(number);
  return out;
}

void Engine::set_instance(std::string id) {
  const std::lock_guard lock(mutex_);
  id_ = std::move(id);
}

std::string Engine::instance() const {
  const std::lock_guard lock(mutex_);
  return id_;
}

std::vector<ReceivedRequest> Engine::received() const {
  const std::lock_guard lock(mutex_);
  return received_;
}

void Engine::record(const HttpRequest& request) {
  const std::lock_guard lock(mutex_);
  received_.push_back({std::string(request.header("X-Request-Id")), request.target,
                       std::string(request.header("X-Tenant")), request.body,
                       std::string(request.header("Last-Event-Id")), std::string(request.header("X-Api-Key")),
                       steady_now()});
}

asio::awaitable<void> Engine::wait_before_second_answer() {
  constexpr unsigned kMaxDelayMs = 40;
  co_await sleep_for(loop_.io(), 1 + static_cast<Millis>(random_() % kMaxDelayMs));
}

asio::awaitable<void> Engine::respond(std::shared_ptr<HttpExchange> exchange, int status, HeaderList headers,
                                      std::string body) {
  const bool twice = answers_twice_;
  co_await exchange->respond(status, headers, body);
  if (!twice) co_return;
  co_await wait_before_second_answer();
  co_await exchange->respond(status, headers, body);
}

asio::awaitable<void> Engine::stream(std::shared_ptr<HttpExchange> exchange, HeaderList headers) {
  const bool twice = answers_twice_;
  if (!co_await send_events(exchange, headers) || !twice) co_return;
  co_await wait_before_second_answer();
  co_await send_events(exchange, headers);
}

asio::awaitable<bool> Engine::send_events(std::shared_ptr<HttpExchange> exchange, HeaderList headers) {
  const HttpRequest& request = exchange->request;
  const EngineMode mode = mode_;
  std::uint64_t first = 1;
  if (const std::string_view last = request.header("Last-Event-Id"); !last.empty())
    first = std::stoul(std::string(last)) + 1;
  if (!co_await exchange->start(200, headers, false, 0)) co_return false;
  for (auto number = first; number <= static_cast<std::uint64_t>(events_); ++number) {
    if (mode == EngineMode::kCutInEvent && number == first + 1) {
      mode_ = EngineMode::kStream;
      const std::string event = event_of(number);
      co_await exchange->write(std::string_view(event).substr(0, event.size() / 2));
      exchange->abort();
      co_return false;
    }
    if (!co_await exchange->write(event_of(number, event_padding_))) co_return false;
    if (pause_ms_ > 0) co_await sleep_for(loop_.io(), pause_ms_);
  }
  co_await exchange->finish();
  co_return true;
}

asio::awaitable<void> Engine::handle(std::shared_ptr<HttpExchange> exchange) {
  const HttpRequest& request = exchange->request;
  const std::string id(request.header("X-Request-Id"));
  HeaderList headers = headers_of(id, "X-Response-Signature", "signature of " + id);
  const std::string own_instance = instance();
  if (const std::string_view expected = request.header("X-Expect-Instance");
      !expected.empty() && expected != own_instance) {
    co_return co_await respond(exchange, 421, headers_of(id, "X-Instance-Id", own_instance), "");
  }
  const EngineMode mode = mode_;
  const bool is_full = mode == EngineMode::kFull || (mode == EngineMode::kFullAtTimes && random_() % 2 == 0);
  if (is_full) {
    co_return co_await respond(exchange, 503, headers_of(id, "X-Not-Executed", "1"), "");
  }
  record(request);
  switch (mode) {
    case EngineMode::kError:
      co_return co_await respond(exchange, 500, headers, "broken");
    case EngineMode::kUnprocessable:
      co_return co_await respond(exchange, 422, headers, "never");
    case EngineMode::kRefuseAfterRun:
      co_return co_await respond(exchange, 503, headers, "too late");
    case EngineMode::kLoseAnswer:
      co_return exchange->abort();
    default:
      headers.emplace_back("Content-Type", "text/event-stream");
      co_await stream(exchange, std::move(headers));
  }
}

Platform::Platform(IoThread& loop, std::string address) : address_(std::move(address)) {
  loop.run([this, &loop] {
    server_ = std::make_unique<HttpServer>(
        loop.io(), address_, [] { return wide_limits(); },
        [this](std::shared_ptr<HttpExchange> exchange) { return handle(std::move(exchange)); });
    server_->listen();
  });
}

void Platform::set_servers(std::vector<Entry> servers) {
  const std::lock_guard lock(mutex_);
  servers_ = std::move(servers);
}

asio::awaitable<void> Platform::handle(std::shared_ptr<HttpExchange> exchange) {
  ++calls_;
  // Two entries per page, so that readers have to follow the page tokens.
  constexpr std::size_t kPage = 2;
  const std::string token = exchange->request.query("page_token");
  const std::size_t from = token.empty() ? 0 : std::stoul(token.substr(1));
  std::string body = "{\"instances\":[";
  {
    const std::lock_guard lock(mutex_);
    const std::size_t to = std::min(from + kPage, servers_.size());
    for (std::size_t i = from; i < to; ++i) {
      const Entry& entry = servers_[i];
      body += std::string(i > from ? "," : "") + "{\"id\":\"" + entry.id + "\",\"service\":\"" +
              entry.service + "\",\"address\":\"" + entry.address + "\",\"zone\":\"" + entry.zone +
              "\",\"slots\":32,\"cold_left_ms\":0,\"state\":\"" + entry.state + "\"}";
    }
    body += "],\"next_token\":" +
            (to < servers_.size() ? "\"p" + std::to_string(to) + "\"" : std::string("null")) + "}";
  }
  co_await exchange->respond(200, headers_of("", "Content-Type", "application/json"), std::move(body));
}

}  // namespace nettlestand::tier::standins
