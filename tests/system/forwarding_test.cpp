// Event stream parser, choice of servers, and admission of a tenant's calls.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>

#include "forwarding/event_stream.h"
#include "forwarding/forwarder.h"
#include "forwarding/server_pool.h"
#include "listed_servers.h"

using namespace nettlestand::tier;

namespace {

ListedServer server(const std::string& id, const std::string& zone, const std::string& service = "s",
                    bool draining = false) {
  ListedServer out{};
  out.id = id;
  out.service = service;
  out.address = "10.0.0.1:" + id.substr(1);
  out.zone = zone;
  out.slots = 10;
  out.draining = draining;
  return out;
}

std::vector<ListedServer> servers(std::size_t count, std::size_t zones = 3) {
  std::vector<ListedServer> out;
  for (std::size_t i = 0; i < count; ++i)
    out.push_back(server("i" + std::to_string(i), std::string(1, static_cast<char>('a' + i % zones))));
  return out;
}

// The servers that are chosen in `times` attempts.
std::set<std::string> picked(ServerPool& pool, Millis now, int times = 200, bool is_item = false) {
  std::set<std::string> out;
  for (int i = 0; i < times; ++i) {
    if (const auto chosen = pool.pick(now, "s", {}, is_item)) out.insert(chosen->id);
  }
  return out;
}

// A connection to a server that is never sent anything.
class UnusedConnection : public UpstreamConnection {
 public:
  boost::asio::awaitable<bool> send(OutgoingRequest, Millis, bool&) override { co_return false; }
  boost::asio::awaitable<Read> read_head(ResponseHead&, Millis) override { co_return Read::kBroken; }
  boost::asio::awaitable<Read> read_some(std::string&, Millis) override { co_return Read::kBroken; }
  void cancel() override {}
  bool is_reusable() const override { return true; }
};

// Opens a connection to any server.
class UnusedUpstream : public Upstream {
 public:
  boost::asio::awaitable<UpstreamConnectionPtr> open(std::string, std::string, Millis, bool) override {
    ++opened;
    co_return std::make_shared<UnusedConnection>();
  }
  void release(const std::string&, UpstreamConnectionPtr) override {}
  void close_idle(Millis) override {}
  int opened = 0;
};

class IgnoringSink : public ResponseSink {
 public:
  boost::asio::awaitable<bool> on_head(const ResponseHead&) override { co_return true; }
  boost::asio::awaitable<bool> on_data(std::string_view) override { co_return true; }
};

// Forwards a request that the configuration allows until a connection is open, and denies then.
ForwardResult forward_withdrawn(Forwarder& forwarder, const Route& route) {
  ForwardRequest request;
  request.route = &route;
  request.service = "s";
  request.tenant = "t";
  request.id = "r1";
  request.method = "POST";
  request.target = "/x/1";
  request.deadline = steady_now() + 60000;
  request.permission = [allowed = true]() mutable {
    const bool is_first = std::exchange(allowed, false);
    return is_first ? SendPermission::kRepeatable : SendPermission::kDenied;
  };
  boost::asio::io_context io;
  IgnoringSink sink;
  ForwardResult result;
  boost::asio::co_spawn(
      io,
      [&]() -> boost::asio::awaitable<void> {
        result = co_await forwarder.forward(std::move(request), sink);
      },
      boost::asio::detached);
  io.run();
  return result;
}

}  // namespace

TEST_CASE("events are whole and in order wherever the stream is cut") {
  const std::string stream =
      "versions: 3\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n: note\n\nid: 3\ndata:d\n\npartial";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    EventStreamParser parser;
    std::string joined;
    std::vector<std::uint64_t> ids;
    std::vector<std::string> data;
    const auto on_event = [&](const StreamEvent& event) {
      joined += event.bytes;
      if (!event.id) return;
      ids.push_back(*event.id);
      data.push_back(EventStreamParser::data_of(event.bytes));
    };
    parser.feed(stream.substr(0, cut), on_event);
    parser.feed(stream.substr(cut), on_event);
    INFO("cut at " << cut);
    CHECK(ids == std::vector<std::uint64_t>{1, 2, 3});
    CHECK(data == std::vector<std::string>{"a", "b\nc", "d"});
    CHECK(joined + parser.partial() == stream);
    CHECK(parser.partial() == "partial");
  }
}

TEST_CASE("calls go to the own zone, over all of its servers, until they are crowded") {
  ServerPool pool(1);
  pool.set_zone("a");
  pool.set_servers(servers(9));
  CHECK(picked(pool, 100) == std::set<std::string>{"i0", "i3", "i6"});
  for (const char* id : {"i0", "i3", "i6"}) pool.on_load_report(100, id, 9, 0, 10);
  CHECK(picked(pool, 110).size() >= 5);
  CHECK(picked(pool, 110).count("i0") == 0);
  CHECK(picked(pool, 2000) == std::set<std::string>{"i0", "i3", "i6"});  // the load reports have expired
}

TEST_CASE("live calls pass by a server at which others wait, as long as another has none waiting") {
  ServerPool pool(1);
  pool.set_servers(servers(3, 1));
  pool.on_load_report(100, "i0", 1, 4, 10);
  pool.on_load_report(100, "i1", 1, 3, 10);
  CHECK(picked(pool, 110) == std::set<std::string>{"i1", "i2"});
  pool.on_load_report(120, "i1", 1, 5, 10);
  pool.on_load_report(120, "i2", 1, 5, 10);
  CHECK(picked(pool, 130).size() == 3);  // rather than refuse the call
}

TEST_CASE("items stay away from servers at which calls wait, and from those that run many") {
  ServerPool pool(1);
  std::vector<ListedServer> listed = servers(2, 1);
  listed[1].slots = 96;
  pool.set_servers(listed);
  pool.on_load_report(100, "i0", 0, 2, 10);
  pool.on_load_report(100, "i1", 40, 1, 96);
  CHECK(picked(pool, 110, 200, true) == std::set<std::string>{"i1"});
  CHECK(pool.item_capacity(110, "s") == 2);  // two at a time may await their first byte
  pool.on_load_report(120, "i0", 7, 0, 10);
  pool.on_load_report(120, "i1", 48, 0, 96);  // with many slots the gaps between events decide
  CHECK(picked(pool, 130, 200, true) == std::set<std::string>{"i0"});
  CHECK(pool.item_capacity(130, "s") == 1);
  pool.on_sent(130, "i0", true);
  CHECK(pool.item_capacity(130, "s") == 0);
}

TEST_CASE("the less busy of two is taken, so no server gets far more than another") {
  ServerPool pool(2);
  pool.set_servers(servers(8, 1));
  std::map<std::string, int> sent;
  for (int i = 0; i < 64; ++i) {
    const auto chosen = pool.pick(0, "s", {}, false);
    REQUIRE(chosen);
    pool.on_sent(0, chosen->id, false);
    ++sent[chosen->id];
  }
  for (const auto& [id, count] : sent) CHECK(count <= 10);
  CHECK(sent.size() == 8);
}

TEST_CASE("subsets cover all servers about evenly") {
  std::map<std::string, int> users;
  for (std::size_t node = 0; node < 20; ++node) {
    ServerPool pool(node);
    pool.set_servers(servers(60, 1));
    pool.set_position({node, 20}, {});
    const auto used = picked(pool, 0, 600);
    CHECK(used.size() == 8);
    for (const std::string& id : used) ++users[id];
  }
  CHECK(users.size() == 60);
  for (const auto& [id, count] : users) CHECK((count == 2 || count == 3));
}

TEST_CASE("draining, shunned, silent and tried servers are passed over") {
  ServerPool pool(3);
  pool.set_servers({server("i1", "a"), server("i2", "a"), server("i3", "a", "s", true)});
  CHECK(picked(pool, 0) == std::set<std::string>{"i1", "i2"});
  CHECK(pool.pick(0, "s", {"i1"}, false)->id == "i2");
  CHECK_FALSE(pool.pick(0, "s", {"i1", "i2"}, false));
  CHECK_FALSE(pool.pick(0, "unknown", {}, false));
  SECTION("after failures in a row, for a while") {
    for (int i = 0; i < 2; ++i) {
      pool.on_sent(0, "i1", false);
      pool.on_call_ended(0, "i1", CallOutcome::kConnectionLost, false, false);
    }
    CHECK(picked(pool, 10) == std::set<std::string>{"i2"});
    CHECK(picked(pool, 5000).size() == 2);
  }
  SECTION("while calls are out and nothing comes") {
    pool.on_sent(0, "i1", false);
    CHECK(picked(pool, 100).size() == 2);
    CHECK(picked(pool, 1000) == std::set<std::string>{"i2"});
    pool.on_first_byte(1000, "i1", 1000, false);
    CHECK(picked(pool, 1001).size() == 2);
  }
  SECTION("that another server has taken the address of, until it is listed again") {
    pool.on_sent(0, "i1", false);
    pool.on_call_ended(0, "i1", CallOutcome::kMisdirected, false, true);
    CHECK(picked(pool, 0) == std::set<std::string>{"i2"});
    CHECK_FALSE(pool.is_usable("s", "i1"));
  }
  SECTION("that left the list while a call was out") {
    pool.on_sent(0, "i1", false);
    pool.set_servers({server("i2", "a")});
    CHECK_FALSE(pool.is_usable("s", "i1"));
    pool.on_call_ended(5, "i1", CallOutcome::kCompleted, false, false);  // the end of the call is accepted
    CHECK(picked(pool, 5) == std::set<std::string>{"i2"});
  }
}

TEST_CASE("items leave room for live calls, and few of them wait for their first byte") {
  ServerPool pool(4);
  pool.set_servers({server("i1", "a")});
  pool.set_position({0, 2}, {});
  pool.set_item_node_count(2);
  REQUIRE(pool.pick(0, "s", {}, true));
  pool.on_sent(0, "i1", true);
  pool.on_sent(0, "i1", true);
  CHECK_FALSE(pool.pick(0, "s", {}, true));
  CHECK(pool.pick(0, "s", {}, false));
  for (int i = 0; i < 2; ++i) pool.on_first_byte(1, "i1", 1, true);
  CHECK(pool.pick(1, "s", {}, true));
  for (int i = 0; i < 2; ++i) {
    pool.on_sent(1, "i1", true);
    pool.on_first_byte(1, "i1", 1, true);
  }
  CHECK_FALSE(pool.pick(1, "s", {}, true));  // its half of eight tenths of ten slots
  pool.on_load_report(1, "i1", 4, 0, 10);
  CHECK(pool.pick(1, "s", {}, true));  // the report shows that the other node uses less
  pool.on_load_report(1, "i1", 8, 0, 10);
  CHECK_FALSE(pool.pick(1, "s", {}, true));
}

TEST_CASE("a node that alone has items fills the room, however many nodes of its class there are") {
  ServerPool pool(4);
  pool.set_servers({server("i1", "a")});
  pool.set_position({0, 14}, {});
  pool.set_item_node_count(1);
  int sent = 0;
  for (; sent < 20 && pool.pick(0, "s", {}, true); ++sent) {
    pool.on_sent(0, "i1", true);
    pool.on_first_byte(0, "i1", 1, true);
  }
  CHECK(sent == 8);  // eight tenths of ten slots
}

// Server pools of `nodes` nodes that all have items, without load reports from the servers.
std::vector<ServerPool> pools_of(std::size_t nodes, const std::vector<ListedServer>& listed) {
  std::vector<ServerPool> out;
  for (std::size_t i = 0; i < nodes; ++i) {
    out.emplace_back(i + 1);
    out.back().set_servers(listed);
    out.back().set_position({i, nodes}, {});
    out.back().set_item_node_count(nodes);
  }
  return out;
}

TEST_CASE("where servers have less room than nodes, a burst of items at all nodes stays near the room") {
  constexpr std::size_t kNodes = 45, kServers = 100;
  std::vector<ServerPool> pools = pools_of(kNodes, servers(kServers));
  std::map<std::string, int> items;
  for (ServerPool& pool : pools) {
    int sent = 0;
    while (const auto chosen = pool.pick(0, "s", {}, true)) {
      pool.on_sent(0, chosen->id, true);
      pool.on_first_byte(0, chosen->id, 1, true);
      ++items[chosen->id];
      REQUIRE(++sent < 1000);
    }
    CHECK(sent >= 20);  // each node may use enough servers
  }
  CHECK(items.size() == kServers);
  for (const auto& [id, count] : items) {
    INFO(id);
    CHECK(count <= 16);  // twice eight tenths of ten slots, not one per node
    CHECK(count >= 8);
  }
}

TEST_CASE("a node that no server is open to has one item out all the same, and hears of room by it") {
  constexpr std::size_t kNodes = 200;
  std::vector<ServerPool> pools = pools_of(kNodes, servers(2));
  for (ServerPool& pool : pools) {
    const auto first = pool.pick(0, "s", {}, true);
    REQUIRE(first);
    pool.on_sent(0, first->id, true);
    pool.on_first_byte(0, first->id, 1, true);
    pool.on_load_report(0, first->id, 1, 0, 10);
    CHECK(pool.pick(0, "s", {}, true));
  }
}

TEST_CASE("which ends prove that a call did not run") {
  for (const CallOutcome outcome :
       {CallOutcome::kNotExecuted, CallOutcome::kMisdirected, CallOutcome::kNotSent, CallOutcome::kWithdrawn})
    CHECK(never_ran(outcome));
  for (const CallOutcome outcome :
       {CallOutcome::kCompleted, CallOutcome::kServerError, CallOutcome::kConnectionLost,
        CallOutcome::kTimedOut, CallOutcome::kClientGone}) {
    CHECK_FALSE(never_ran(outcome));
  }
}

// Guards against: a change that takes a key or a route away while calls under it open their connections makes
// a node pass its healthy servers by, and refuse other calls.
TEST_CASE("calls that are withdrawn before they are sent count against no server and no tenant") {
  auto owned = std::make_unique<UnusedUpstream>();
  const UnusedUpstream& upstream = *owned;
  Forwarder forwarder(std::move(owned), 1);
  list_servers(forwarder.pool(), {"10.0.0.1:1", "10.0.0.1:2"});
  Route route{};
  route.max_attempts = 3;
  constexpr int kCalls = 12;
  for (int i = 0; i < kCalls; ++i) {
    const ForwardResult result = forward_withdrawn(forwarder, route);
    CHECK(result.outcome == ForwardOutcome::kRefused);
    CHECK(result.refusal == ForwardRefusal::kWithdrawn);
  }
  CHECK(upstream.opened == kCalls);
  const Millis now = steady_now();
  CHECK(picked(forwarder.pool(), now) == std::set<std::string>{"i-0", "i-1"});
  for (const char* const id : {"i-0", "i-1"}) CHECK_FALSE(forwarder.pool().is_suspect(now, id));
  TenantAdmission admission;
  const double limit = admission.limit();
  for (int i = 0; i < 1000; ++i) admission.on_call_ended(i * 10, CallOutcome::kWithdrawn);
  CHECK(admission.limit() == limit);
}

TEST_CASE("a client's limit drops while its calls fail, and climbs again once they end well") {
  TenantAdmission admission;
  quinceusher::Random random(1);
  const double start = admission.limit();
  const auto call_for_one_second = [&](Millis from, CallOutcome outcome, int calls) {
    int sent = 0;
    for (int i = 0; i < calls; ++i) {
      const Millis now = from + i * 1000 / calls;
      if (admission.admit(now, random) != TenantAdmission::Decision::kSend) continue;
      ++sent;
      admission.on_call_ended(now, outcome);
    }
    return sent;
  };
  Millis now = 0;
  for (int i = 0; i < 15; ++i, now += 1000) call_for_one_second(now, CallOutcome::kNotExecuted, 200);
  CHECK(admission.limit() < start / 4);
  const int during = call_for_one_second(now, CallOutcome::kNotExecuted, 200);
  CHECK(during < 120);
  CHECK(during > 0);
  for (int i = 0; i < 30; ++i, now += 1000) call_for_one_second(now, CallOutcome::kCompleted, 200);
  CHECK(call_for_one_second(now, CallOutcome::kCompleted, 200) == 200);
}

TEST_CASE("a flood far over a learned limit is denied whole") {
  TenantAdmission admission;
  quinceusher::Random random(2);
  for (int i = 0; i < 40; ++i) {
    for (int call = 0; call < 50; ++call) {
      if (admission.admit(i * 500 + call, random) == TenantAdmission::Decision::kSend)
        admission.on_call_ended(i * 500 + call, CallOutcome::kConnectionLost);
    }
  }
  bool denied = false;
  for (int call = 0; call < 3000; ++call)
    denied = denied || admission.admit(30000 + call / 10, random) == TenantAdmission::Decision::kDeny;
  CHECK(denied);
}

TEST_CASE("a server that has fallen silent is suspect long before its calls end, and until it answers") {
  ServerPool pool(5);
  pool.set_servers({server("i1", "a"), server("i2", "a")});
  pool.on_sent(0, "i1", false);
  pool.on_first_byte(40, "i1", 40, false);
  CHECK_FALSE(pool.is_suspect(40, "i1"));
  pool.on_sent(1000, "i1", false);
  CHECK_FALSE(pool.is_suspect(1090, "i1"));
  CHECK(pool.is_suspect(1110, "i1"));
  CHECK_FALSE(pool.is_suspect(1110, "i2"));
  pool.on_call_ended(1110, "i1", CallOutcome::kTimedOut, false, false);
  CHECK(pool.is_suspect(1111, "i1"));
  pool.on_sent(1200, "i1", false);
  pool.on_first_byte(1240, "i1", 40, false);
  CHECK_FALSE(pool.is_suspect(1240, "i1"));
}
