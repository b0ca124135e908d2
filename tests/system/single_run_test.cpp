// Requests that may run only once, from the client's side of an edge node to servers on real sockets: servers
// that refuse without proof, answer twice, or fail while the configuration changes.
#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "edge_node.h"

using namespace nettlestand::tier;

namespace {

constexpr int kRequestTimeout = 408, kTooManyRequests = 429, kUnavailable = 503, kBadGateway = 502, kOk = 200,
              kServerFailure = 500;

// A configuration whose only route has this class.
std::string configuration(std::uint64_t generation, const std::string& route_class) {
  return "{\"generation\":" + std::to_string(generation) +
         ",\"services\":[{\"name\":\"s\"}],\"routes\":[{\"name\":\"r\",\"hostname\":\"h\",\"path_prefix\":"
         "\"/x/\",\"service\":\"s\",\"timeout_ms\":4000,\"target_latency_ms\":300,\"route_class\":\"" +
         route_class + "\",\"max_attempts\":3}]}";
}

std::shared_ptr<RecordingExchange> request(EdgeNode& node, const std::string& id) {
  return node.send("POST", "/x/1", {{"X-Request-Id", id}}, "hello");
}

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
  node.configure(1, configuration(1, "non_idempotent"));
  const auto once = request(node, "r1");
  CHECK(once->status == kBadGateway);  // which promises nothing
  CHECK_FALSE(once->has_signature());  // a server's signature goes with its own status alone
  CHECK(a.requests() + b.requests() + c.requests() == 1);
  node.configure(2, configuration(2, "idempotent"));
  const auto again = request(node, "r2");
  CHECK(again->status == status);  // may be repeated, so it is passed on as it is
  CHECK(again->has_signature());
}

TEST_CASE("a server's own error reaches the client of a single run unchanged") {
  const ScriptedServer a(answers_with(kServerFailure)), b(answers_with(kServerFailure));
  EdgeNode node({&a, &b});
  node.configure(1, configuration(1, "non_idempotent"));
  const auto once = request(node, "r1");
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
  node.configure(1, configuration(1, "non_idempotent"));
  CHECK(request(node, "r1")->status == kUnavailable);
  CHECK(runs == 0);
  const auto second = request(node, "r1");
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
    if (++runs == 1) changed->configure_from_other_thread(2, configuration(2, after));
    send_all(fd, empty_response(kServerFailure, request, "X-Response-Signature: s\r\n"));
    return true;
  };
  const ScriptedServer a(script), b(script), c(script);
  EdgeNode node({&a, &b, &c});
  changed = &node;
  node.configure(1, configuration(1, before));
  const auto got = request(node, "r1");
  INFO(before << ", then " << after);
  const bool repeatable = before == "idempotent" && after == "idempotent";
  CHECK(runs == (repeatable ? 3 : 1));
  CHECK(got->status >= kServerFailure);
  CHECK(got->status != kUnavailable);  // it ran
}
