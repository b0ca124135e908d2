// Tests of the daemon alone: its configuration, and its own listener when descriptors run out or connections
// are silent. An embedded gateway has no listener; the application's server has its own limits.
#include "tests/forms/world.h"

namespace nettlestand::testing {
namespace {

TEST(Node, SaysPlainlyWhatIsWrongWithItsConfiguration) {
  const World w;
  const std::string good = w.config();
  std::string bad_seed = good;
  bad_seed.replace(bad_seed.find("8c1f"), 4, "xyz!");
  std::string bad_settings = good;
  bad_settings.replace(bad_settings.find("\"peersTotal\":1"), 14, "\"peersTotal\":0");
  for (const std::string& config : {std::string(), std::string("{"), bad_seed, bad_settings}) {
    NodeUnderTest node(config);
    EXPECT_EQ(node.exit_code(), 2);
    const std::string& log = node.log("");
    EXPECT_EQ(log.find('\n'), log.size() - 1) << log;
    EXPECT_TRUE(has(log, "nettlestand: ")) << log;
  }
  std::string taken = good;
  taken.replace(taken.find("127.0.0.1:0"), 11, "127.0.0.1:" + std::to_string(w.servers[0].port()));
  EXPECT_EQ(NodeUnderTest(taken).exit_code(), 1);
}

TEST(Node, TurnsAwayNumbersThatNoServiceHas) {
  struct Case {
    std::string in, out, says;
  };
  const std::vector<Case> cases = {
      {"\"idleClose\":5", "\"idleClose\":1e300", "'bounds.idleClose' is not from 0.01 to 86400"},
      {"\"idleClose\":5", "\"idleClose\":1e-9", "'bounds.idleClose'"},
      {"\"idleClose\":5", "\"idleClose\":-1", "'bounds.idleClose'"},
      {"\"dialTimeout\":0.25", "\"dialTimeout\":1e300", "'bounds.dialTimeout' is not from 0.001 to 600"},
      {"\"dialTimeout\":0.25", "\"dialTimeout\":0", "'bounds.dialTimeout'"},
      {"\"giveUp\":5", "\"giveUp\":1e10", "'categories[].giveUp' is not from 0.001 to 3600"},
      {"\"giveUp\":5", "\"giveUp\":0", "'categories[].giveUp'"},
      {"\"giveUp\":5", "\"giveUp\":-5", "'categories[].giveUp'"},
      {"\"aim\":2", "\"aim\":1e300", "'categories[].aim' is not from 1e-06 to 3600"},
      {"\"aim\":2", "\"aim\":0", "'categories[].aim'"},
      {"\"lateWorth\":0.5", "\"lateWorth\":-1", "'categories[].lateWorth' is not from 0 to 1"},
      {"\"aim\":2", "\"aim\":2,\"aimStretch\":1e300", "'categories[].aimStretch' is not from 0 to 1000000"},
      {"\"dedupWindow\":4", "\"dedupWindow\":1e300", "'categories[].dedupWindow' is not from 0 to 86400"},
      {"\"maxRetryAfter\":2.0", "\"maxRetryAfter\":1e300", "'bounds.maxRetryAfter' is not from 0 to 3600"},
      {"\"maxAttempts\":4", "\"maxAttempts\":2000000000", "'bounds.maxAttempts' is not from 1 to 1000"},
      {"\"askWithin\":0.4", "\"askWithin\":1e-9", "'rules.askWithin' is not from 0.05 to 86400"},
      {"\"askWithin\":0.4", "\"askWithin\":1e300", "'rules.askWithin'"},
      {"\"askWithin\":0.4", "\"rampTime\":1e300", "'rules.rampTime' is not from 0 to 86400"},
      {"\"allowancePerS\":1000", "\"allowancePerS\":1e300", "'realms[].allowancePerS' is not from 0 to"},
      {"\"allowancePerS\":1000", "\"allowancePerS\":-1", "'realms[].allowancePerS'"},
      {"\"peersTotal\":1", "\"peersTotal\":2000000000", "'peersTotal' is not from 1 to 100000"},
      {"\"peersTotal\":1", "\"peersTotal\":1,\"granularity\":1e300", "'granularity' is not from 0 to 60"},
      {"\"peersTotal\":1", "\"peersTotal\":1,\"overShareWorth\":1e300",
       "'overShareWorth' is not from 0 to 1"},
      {"\"peersTotal\":1", "\"peersTotal\":1,\"fees\":{\"crossZone\":-1e300}", "'fees.crossZone'"},
      {"\"stage\":1", "\"stage\":2000000000", "'stage' is not from 0 to 1000"},
      {"\"memory_mb\":64", "\"memory_mb\":1e300", "'limits.memory_mb' is not from 16 to 1000000"},
      {"\"memory_mb\":64", "\"memory_mb\":0", "'limits.memory_mb'"},
      {"\"sockets\":1024", "\"sockets\":-1", "'limits.sockets' is not from 64 to"},
      {"\"name\":\"close\"", "\"name\":\"mark\"", "'categories[].name' is not a unique name"},
      {"\"name\":\"acme\"", "\"name\":\"\"", "'realms[].name' is not a name of 1 to 128 bytes"},
      {"\"azs\":[\"a\"]", "\"azs\":[" + repeated("\"a\",", 1000) + "\"a\"]",
       "'azs' is not a list of 0 to 1000"},
      {"\"realms\":[", "\"realms\":[" + repeated("{\"name\":\"x\"},", 1000),
       "'realms' is not a list of 0 to"},
      {"\"settings\":{", std::string(4 << 20, ' ') + "\"settings\":{", "is longer than 4 MiB"},
  };
  const std::string good = World().config();
  for (const Case& wrong : cases) {
    std::string config = good;
    ASSERT_TRUE(has(config, wrong.in)) << wrong.in;
    config.replace(config.find(wrong.in), wrong.in.size(), wrong.out);
    NodeUnderTest node(config);
    ASSERT_EQ(node.exit_code(), 2) << wrong.out.substr(0, 100);
    const std::string& log = node.log("");
    EXPECT_TRUE(has(log, wrong.says)) << log;
    EXPECT_EQ(log.find('\n'), log.size() - 1) << log;
  }
}

TEST(Node, SilentConnectionsDoNotKeepOthersOut) {
  World w;
  w.sockets = 100;
  w.serve(host("s0", w.servers[0].port()));
  std::vector<TcpConnection> silent;
  for (int i = 0; i < 120; ++i) silent.push_back(w.client());
  TcpConnection caller = w.client();
  caller.send(request("close"));
  TcpConnection server = w.servers[0].accept();
  server.message();
  server.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
}

TEST(Node, EndsSilentAndSlowConnectionsInThreeSeconds) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  const double from = seconds();
  TcpConnection silent = w.client(), slow = w.client(), bodiless = w.client();
  slow.send("POST /api HTTP/1.1\r\nRequest-Id:");
  bodiless.send(head("close") + "Content-Length: 100\r\n\r\nhalf");
  EXPECT_TRUE(silent.ended());
  EXPECT_TRUE(has(slow.message(), "HTTP/1.1 408 "));
  EXPECT_TRUE(has(bodiless.message(), "HTTP/1.1 408 "));
  EXPECT_LT(seconds() - from, 3);
}

TEST(Node, KeptConnectionsAndSlowHeadsDoNotKeepOthersOut) {
  World w;
  w.sockets = 100;
  w.serve(host("s0", w.servers[0].port()));
  std::vector<TcpConnection> crowd;
  for (int i = 0; i < 100; ++i) {
    crowd.push_back(w.client());
    const bool slow = i % 2 == 0;
    crowd.back().send(slow ? "POST /api HTTP/1.1\r\nRequest-Id:" : "GET /healthz HTTP/1.1\r\n\r\n");
    if (!slow) crowd.back().message();
  }
  TcpConnection caller = w.client();
  caller.send(request("close"));
  if (w.servers[0].no_data(6000))
    FAIL() << "the caller got: " << (caller.no_data() ? "nothing" : caller.message());
  TcpConnection server = w.servers[0].accept();
  server.message();
  server.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
}

// Clients that have just connected must not evict each other while there are older idle connections.
TEST(Node, ACrowdDoesNotPushOutWhoHasJustConnected) {
  World w;
  w.sockets = 100;
  w.serve(host("s0", w.servers[0].port()));
  std::vector<TcpConnection> kept;
  for (int i = 0; i < 40; ++i) {
    kept.push_back(w.client());
    kept.back().send("GET /healthz HTTP/1.1\r\n\r\n");
    kept.back().message();
  }
  TcpConnection caller = w.client();
  std::vector<TcpConnection> crowd;
  for (int i = 0; i < 10; ++i) crowd.push_back(w.client());
  crowd.back().send("GET /healthz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(has(crowd.back().message(), " 200 ")) << "all of the crowd are connected";
  caller.send(request("close"));
  TcpConnection server = w.servers[0].accept();
  server.message();
  server.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
}

TEST(Node, SurvivesRunningOutOfDescriptors) {
  World w;
  w.node = std::make_unique<NodeUnderTest>(w.config(), 24);
  w.take_watch();
  w.tell(list(7, true, host("s0", w.servers[0].port())));
  w.await_ready();
  std::vector<TcpConnection> silent;
  for (int i = 0; i < 40; ++i) silent.push_back(w.client());
  silent.back().send("GET /healthz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(has(silent.back().message(), " 200 ")) << "the earlier silent connections were evicted";
  silent.clear();
  TcpConnection caller = w.client();
  caller.send(request("close"));
  TcpConnection server = w.servers[0].accept();
  server.message();
  server.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
}

}  // namespace
}  // namespace nettlestand::testing
