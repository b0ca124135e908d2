// Tests that invalid options and requests are reported with an error code and a text.
#include <functional>

#include "tests/library/application.h"

namespace nettlestand::testing {
namespace {

TEST(Options, AreCheckedWithATextThatNamesTheField) {
  struct Case {
    std::function<void(Options&)> change;
    std::string expected_text;
  };
  using std::chrono::milliseconds;
  const std::vector<Case> cases = {
      {[](Options& o) { o.classes.clear(); }, "classes: 0 is not from 1 to 100"},
      {[](Options& o) { o.classes[0].name = ""; }, "classes[0].name: is not 1 to 128 bytes"},
      {[](Options& o) { o.classes[0].name = "a\r\nb"; }, "classes[0].name: contains a control character"},
      {[](Options& o) { o.classes[1].name = "look"; }, "classes[1].name: 'look' is listed more than once"},
      {[](Options& o) { o.classes[0].deadline = milliseconds(0); },
       "classes[0].deadline: 0 is not from 0.001 to 3600"},
      {[](Options& o) { o.classes[0].aim = milliseconds(-1); }, "classes[0].aim: -0.001 is not"},
      {[](Options& o) { o.classes[0].late_worth = 2; }, "classes[0].late_worth: 2 is not from 0 to 1"},
      {[](Options& o) { o.classes[2].dedup_window = milliseconds(1); },
       "classes[2].dedup_window: is only valid for keyed"},
      {[](Options& o) {
         o.tenants = {{"a", std::nullopt}, {"a", 3}};
       },
       "tenants[1].name: 'a' is listed more than once"},
      {[](Options& o) {
         o.tenants = {{"a", -1}};
       },
       "tenants[0].allowance: -1 is not from 0 to"},
      {[](Options& o) { o.zones = {""}; }, "zones[0]: is not 1 to 128 bytes"},
      {[](Options& o) { o.zone = "b"; }, "zone: 'b' is not in zones"},
      {[](Options& o) { o.peers = 0; }, "peers: 0 is not from 1 to 100000"},
      {[](Options& o) { o.position = 1; }, "position: 1 is not from 0 to 0"},
      {[](Options& o) { o.max_attempts = 0; }, "max_attempts: 0 is not"},
      {[](Options& o) { o.max_retry_after = std::chrono::hours(2); }, "max_retry_after: 7200 is not"},
      {[](Options& o) { o.start_capacity = -1; }, "start_capacity: -1 is not"},
      {[](Options& o) { o.connect_timeout = milliseconds(0); }, "connect_timeout: 0 is not"},
      {[](Options& o) { o.idle_close = milliseconds(1); }, "idle_close: 0.001 is not"},
      {[](Options& o) { o.sockets = 0; }, "sockets: 0 is not"},
      {[](Options& o) { o.memory = 1000; }, "memory: 1000 is not from 16777216"},
      {[](Options& o) { o.max_open = 0; }, "max_open: 0 is not"},
      {[](Options& o) { o.discovery = "somewhere:80"; },
       "discovery: 'somewhere:80' is not an address and a port"},
      {[](Options& o) { o.servers[0].address = "127.0.0.1"; },
       "servers[0].address: '127.0.0.1' is not an address"},
      {[](Options& o) { o.servers[0].address = "127.0.0.1:70000"; }, "servers[0].address: '127.0.0.1:70000'"},
      {[](Options& o) { o.servers[0].name = std::string(256, 'x'); },
       "servers[0].name: is not 1 to 255 bytes"},
      {[](Options& o) { o.servers.push_back(o.servers[0]); },
       "servers[1].name: 's0' is listed more than once"},
      {[](Options& o) { o.servers[0].zone = "b"; }, "servers[0].zone: 'b' is not in zones"},
      {[](Options& o) { o.servers[0].weight = 1e9; }, "servers[0].weight: 1000000000 is not"},
      {[](Options& o) { o.servers.resize(10000, o.servers[0]); }, "servers: more than 8192 for this memory"},
  };
  for (const Case& test_case : cases) {
    Options changed = options({1});
    test_case.change(changed);
    Error error;
    EXPECT_EQ(Gateway::open(std::move(changed), error), nullptr) << test_case.expected_text;
    EXPECT_EQ(error.code, Errc::kBadOption);
    EXPECT_EQ(error.text.rfind(test_case.expected_text, 0), 0U)
        << error.text << " instead of " << test_case.expected_text;
  }
  Error error{Errc::kFull, "old"};
  EXPECT_NE(Gateway::open(options({1}), error), nullptr);
  EXPECT_FALSE(error) << "the error of the last call is cleared";
}

TEST(Options, ServersAndDiscoveryAreCheckedWhenTheyChange) {
  const auto gateway = open(options({1}));
  EXPECT_EQ(gateway->set_servers({server("a", 1), server("a", 2)}).text,
            "servers[1].name: 'a' is listed more than once");
  EXPECT_EQ(gateway->set_discovery_address("nowhere").code, Errc::kBadOption);
  EXPECT_EQ(gateway->set_discovery_address("127.0.0.1:1").text,
            "discovery: this gateway was opened without one");
}

TEST(Requests, ThatCantBeUsedAreToldWhy) {
  struct Case {
    std::function<void(Request&)> change;
    Errc code;
    std::string expected_text;
    int status;
  };
  const std::vector<Case> cases = {
      {[](Request& r) { r.request_class = "other"; }, Errc::kUnknownClass, "unknown Request-Class", 400},
      {[](Request& r) { r.request_class = ""; }, Errc::kUnknownClass, "unknown Request-Class", 400},
      {[](Request& r) { r.tenant = "nobody"; }, Errc::kUnknownTenant, "unknown Tenant", 400},
      {[](Request& r) { r.tenant = ""; }, Errc::kUnknownTenant, "unknown Tenant", 400},
      {[](Request& r) { r.body.assign(65537, 'x'); }, Errc::kBodyTooLong, "a body over 64 KiB", 413},
      {[](Request& r) { r.idempotency_key = "k"; }, Errc::kBadRequest, "Idempotency-Key does not belong",
       400},
      {[](Request& r) { r.request_class = "mark"; }, Errc::kBadRequest, "Idempotency-Key does not belong",
       400},
      {[](Request& r) { r.request_class = "look"; }, Errc::kBadRequest, "a body where none belongs", 400},
      {[](Request& r) { r.id = "a\r\nX: y"; }, Errc::kBadRequest, "a control character in a value", 400},
      {[](Request& r) { r.id.assign(129, 'i'); }, Errc::kBadRequest, "a header too long", 400},
      {[](Request& r) { r.target = "/api?a b"; }, Errc::kBadRequest, "bad target", 400},
      {[](Request& r) { r.target = "api"; }, Errc::kBadRequest, "bad target", 400},
      {[](Request& r) { r.target = ""; }, Errc::kBadRequest, "bad target", 400},
      {[](Request& r) { r.host = "a b"; }, Errc::kBadRequest, "bad Host", 400},
      {[](Request& r) { r.host = ""; }, Errc::kBadRequest, "no Host", 400},
      {[](Request& r) { r.timeout = std::chrono::milliseconds(-1); }, Errc::kBadRequest,
       "bad Request-Timeout-Ms", 400},
  };
  TcpListener peer;
  Options with_tenant = options({peer.port()});
  with_tenant.tenants = {{"acme", 1000}};
  const auto gateway = open(with_tenant);
  for (const Case& test_case : cases) {
    Request changed = request("close");
    changed.tenant = "acme";
    test_case.change(changed);
    ResponseCollector answers;
    gateway->submit(std::move(changed), answers.completion());
    const Response got = answers.wait_one();
    EXPECT_EQ(got.outcome, Outcome::kInvalid) << test_case.expected_text;
    EXPECT_EQ(got.error.code, test_case.code) << test_case.expected_text;
    EXPECT_EQ(got.error.text.rfind(test_case.expected_text, 0), 0U) << got.error.text;
    EXPECT_EQ(got.status(), test_case.status) << test_case.expected_text;
  }
  EXPECT_TRUE(peer.no_data()) << "nothing reaches a server";
  EXPECT_EQ(gateway->open_requests(), 0U);
  EXPECT_EQ(make_error_code(Errc::kRequestIdInUse).message(), "a request with this id is open");
}

}  // namespace
}  // namespace nettlestand::testing
