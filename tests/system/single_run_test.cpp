// Requests that may run only once, from the client's side of an edge node to servers on real sockets: servers
// that refuse without proof, answer twice, or fail while the configuration changes.
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <mutex>
#include <set>

#include "base/digest.h"
#include "listed_servers.h"
#include "node/client_request_handler.h"
#include "recording_messenger.h"
#include "scripted_leader.h"
#include "scripted_server.h"

using namespace nettlestand::tier;
namespace asio = boost::asio;

namespace {

constexpr int kRequestTimeout = 408, kTooManyRequests = 429, kUnavailable = 503, kBadGateway = 502, kOk = 200,
              kServerFailure = 500;

// Records the response to a request.
class RecordingExchange : public HttpExchange {
 public:
  asio::awaitable<void> respond(int code, HeaderList all, std::string text) override {
    status = code;
    headers = std::move(all);
    body = std::move(text);
    ended = true;
    co_return;
  }
  asio::awaitable<bool> start(int code, const HeaderList& all, bool, std::uint64_t) override {
    status = code;
    headers = all;
    co_return true;
  }
  asio::awaitable<bool> write(std::string_view bytes) override {
    body.append(bytes);
    co_return true;
  }
  asio::awaitable<void> finish() override {
    ended = true;
    co_return;
  }
  void abort() override { ended = true; }
  bool has_signature() const {
    for (const auto& [name, value] : headers) {
      if (name == "X-Response-Signature") return true;
    }
    return false;
  }

  int status = 0;
  HeaderList headers;
  std::string body;
  bool ended = false;
};

// The part of an edge node that serves clients, with the given servers.
class EdgeNode {
 public:
  explicit EdgeNode(const std::vector<const ScriptedServer*>& servers)
      : view_(NodeInfo{}, {}, 1),
        config_texts_(1e9),
        control_client_(messenger_, view_, config_texts_, {}),
        forwarder_(std::make_unique<UpstreamConnectionPool>(io_), 1),
        batch_(io_, messenger_, control_client_, 1),
        handler_(io_, control_client_, forwarder_, batch_, 1) {
    std::vector<std::string> addresses;
    for (const ScriptedServer* server : servers) addresses.push_back(server->address());
    list_servers(forwarder_.pool(), addresses);
  }

  // Puts a configuration in force whose only route has this class.
  void configure(std::uint64_t generation, const std::string& route_class) {
    const std::string text =
        "{\"generation\":" + std::to_string(generation) +
        ",\"services\":[{\"name\":\"s\"}],\"routes\":[{\"name\":\"r\",\"hostname\":\"h\",\"path_prefix\":"
        "\"/x/\",\"service\":\"s\",\"timeout_ms\":4000,\"target_latency_ms\":300,\"route_class\":\"" +
        route_class + "\",\"max_attempts\":3}]}";
    leader_.configure(generation, text);
  }
  // As configure(), from another thread while a request is in progress; returns once it is in force.
  void configure_from_other_thread(std::uint64_t generation, const std::string& route_class) {
    std::promise<void> done;
    asio::post(io_, [&] {
      configure(generation, route_class);
      done.set_value();
    });
    done.get_future().wait();
  }
  // Sends a client's request and returns its response.
  std::shared_ptr<RecordingExchange> request(const std::string& id) {
    auto exchange = std::make_shared<RecordingExchange>();
    HttpRequest& request = exchange->request;
    request.method = "POST";
    request.target = "/x/1";
    request.body = "hello";
    request.body_digest = digest_of(request.body);
    request.received_at = steady_now();
    request.headers = {{"Host", "h"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "3000"}};
    asio::co_spawn(
        io_, [this, exchange]() -> asio::awaitable<void> { co_await handler_.handle(exchange); },
        asio::detached);
    io_.restart();
    while (!exchange->ended && io_.run_one_for(std::chrono::milliseconds(kTestTimeoutMs)) > 0) continue;
    REQUIRE(exchange->ended);
    return exchange;
  }

 private:
  asio::io_context io_;
  RecordingMessenger messenger_;
  PartialView view_;
  ConfigTextProvider config_texts_;
  ControlClient control_client_;
  ScriptedLeader leader_{control_client_};
  Forwarder forwarder_;
  BatchRequestHandler batch_;
  ClientRequestHandler handler_;
};

// A response without a body; `more`: further header lines.
std::string empty_response(int status, const std::string& request, const std::string& more = "") {
  return "HTTP/1.1 " + std::to_string(status) + " x\r\nX-Request-Id: " + request_id_of(request) + "\r\n" +
         more + "Keep-Alive: timeout=9\r\nContent-Length: 0\r\n\r\n";
}

// A server that runs each request and answers it with this status.
ScriptedServer::Script answers_with(int status) {
  return [status](int fd, int, const std::string& request) {
    send_all(fd, empty_response(status, request, "X-Response-Signature: s\r\n"));
    return true;
  };
}

}  // namespace

// Guards against: a request that ran is refused, so its client sends it again and it runs twice.
TEST_CASE("a refusal that comes from a server without proof does not reach the client of a single run") {
  const int status = GENERATE(kRequestTimeout, kTooManyRequests, kUnavailable);
  const ScriptedServer a(answers_with(status)), b(answers_with(status)), c(answers_with(status));
  EdgeNode node({&a, &b, &c});
  INFO("status " << status);
  node.configure(1, "non_idempotent");
  const auto once = node.request("r1");
  CHECK(once->status == kBadGateway);  // which promises nothing
  CHECK_FALSE(once->has_signature());  // a server's signature goes with its own status alone
  CHECK(a.requests() + b.requests() + c.requests() == 1);
  node.configure(2, "idempotent");
  const auto again = node.request("r2");
  CHECK(again->status == status);  // may be repeated, so it is passed on as it is
  CHECK(again->has_signature());
}

TEST_CASE("a server's own error reaches the client of a single run unchanged") {
  const ScriptedServer a(answers_with(kServerFailure)), b(answers_with(kServerFailure));
  EdgeNode node({&a, &b});
  node.configure(1, "non_idempotent");
  const auto once = node.request("r1");
  CHECK(once->status == kServerFailure);
  CHECK(once->has_signature());
  CHECK(a.requests() + b.requests() == 1);
}

// Guards against: a late second refusal of a client's first try is taken for the answer to its next try under
// the same id, so that the try which runs is sent to a further server as well.
TEST_CASE("a surplus refusal of an earlier call is not taken for the answer to a later one with its id") {
  std::mutex mutex;
  std::set<int> refused_on;  // sockets
  std::atomic<int> runs{0};
  const auto script = [&](int fd, int number, const std::string& request) {
    const std::string refusal = empty_response(kUnavailable, request, "X-Not-Executed: 1\r\n");
    const std::lock_guard lock(mutex);
    if (number == 1) {
      refused_on.insert(fd);
      send_all(fd, refusal);
      return true;
    }
    ++runs;
    if (refused_on.contains(fd)) send_all(fd, refusal);  // the surplus answer to the first request
    send_all(fd, http_response(request_id_of(request), "done", "X-Response-Signature: s\r\n"));
    return true;
  };
  const ScriptedServer a(script), b(script);
  EdgeNode node({&a, &b});
  node.configure(1, "non_idempotent");
  CHECK(node.request("r1")->status == kUnavailable);
  CHECK(runs == 0);
  const auto second = node.request("r1");
  CHECK(second->status == kOk);
  CHECK(second->body == "done");
  CHECK(runs == 1);
}

// Guards against: a request that ran is sent to a second server under a route class that is not in force any
// more.
TEST_CASE("a request that has run is sent again only if its route allowed that then and allows it now") {
  const std::string before = GENERATE("idempotent", "non_idempotent"),
                    after = GENERATE("idempotent", "non_idempotent");
  EdgeNode* changed = nullptr;
  std::atomic<int> runs{0};
  const auto script = [&](int fd, int, const std::string& request) {
    if (++runs == 1) changed->configure_from_other_thread(2, after);
    send_all(fd, empty_response(kServerFailure, request, "X-Response-Signature: s\r\n"));
    return true;
  };
  const ScriptedServer a(script), b(script), c(script);
  EdgeNode node({&a, &b, &c});
  changed = &node;
  node.configure(1, before);
  const auto got = node.request("r1");
  INFO(before << ", then " << after);
  const bool repeatable = before == "idempotent" && after == "idempotent";
  CHECK(runs == (repeatable ? 3 : 1));
  CHECK(got->status >= kServerFailure);
  CHECK(got->status != kUnavailable);  // it ran
}
