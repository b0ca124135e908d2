// The real program as several processes on loopback, with test doubles of the platform, the servers
// (engines), the clients and the operator.
#include <catch2/catch.hpp>
#include <set>

#include "control/placement.h"
#include "tier_fixture.h"

using namespace nettlestand::tier;
using namespace nettlestand::tier::standins;

namespace {

constexpr Millis kCancelMs = 3000;  // bounds.cancel_ms of the deployments

const std::string kWholeStream =
    "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n";

// The store that, by its log, is the primary of the tenant's shard; kNoNode if there is none. `except` is not
// considered: the log of a killed store still says that it is the primary.
std::size_t primary_of(const TierWorld& world, const std::string& tenant, std::size_t except = kNoNode) {
  const std::string shard = std::to_string(batch_shard_of(tenant)) + " ";
  for (std::size_t node = world.edges(); node < world.nodes(); ++node) {
    if (node == except) continue;
    const std::string log = world.log(node) + " ";
    const std::size_t won = log.rfind(" primary of shard=" + shard);
    const std::size_t lost =
        log.rfind("no longer primary of shard=" + shard.substr(0, shard.size() - 1) + "\n");
    if (won != std::string::npos && (lost == std::string::npos || lost < won)) return node;
  }
  return kNoNode;
}

}  // namespace

// All steps use one cluster. Their order matters: the failures of a server in one step must not affect the
// next.
TEST_CASE("requests: routes, keys, quota, streams, repeats and what servers may see") {
  TierFixture tier;
  TierWorld& world = tier.world;
  const auto all_engines = [&](EngineMode mode) {
    for (std::size_t i = 0; i < 3; ++i) world.engine(i).set_mode(mode);
  };
  {
    INFO("answers are the server's, and the server sees the tenant in place of the key");
    all_engines(EngineMode::kStream);
    const HttpResult answer = tier.ask(3, "once", "r1");
    CHECK(answer.status == 200);
    CHECK(answer.complete);
    CHECK(answer.body == kWholeStream);
    CHECK(answer.headers.at("x-response-signature") == "signature of r1");
    std::set<std::string> tenants;
    for (std::size_t i = 0; i < 3; ++i) {
      for (const ReceivedRequest& seen : world.engine(i).received()) {
        CHECK(seen.target == "/once/x?y=1");
        CHECK(seen.body == "hello");
        CHECK(seen.api_key.empty());
        tenants.insert(seen.tenant);
      }
    }
    CHECK(tenants == std::set<std::string>{"t"});
  }
  {
    INFO("unknown routes and keys, and requests that are none");
    all_engines(EngineMode::kStream);
    CHECK(tier.ask(0, "nowhere", "r2").status == 404);
    CHECK(tier.ask(1, "once", "r3", "unknown").status == 401);
    CHECK(world.client(2, "POST", "/once/x", {{"Host", "h.example"}, {"X-Api-Key", "k1"}}, "").status == 400);
    CHECK(world.client(2, "P()ST", "/once/x", client_headers("k1", "r4"), "").status == 400);
    CHECK(
        world.client(2, "POST", "/once/x", {{"Host", "h.example"}, {"X-Filler", std::string(70000, 'x')}}, "")
            .status == 431);
    CHECK(tier.ask(2, "once", "r5").status == 200);
  }
  {
    INFO("a server's own failure comes back unchanged, after the repeats that are allowed");
    all_engines(EngineMode::kStream);
    all_engines(EngineMode::kError);
    const HttpResult once = tier.ask(0, "once", "err1"), again = tier.ask(0, "again", "err2");
    CHECK(once.status == 500);
    CHECK(once.body == "broken");
    CHECK(tier.runs_of("err1") == 1);
    CHECK(again.status == 500);
    CHECK(tier.runs_of("err2") == 2);
  }
  {
    INFO("a stream that a server cuts within an event is continued elsewhere, each piece once");
    all_engines(EngineMode::kStream);
    world.engine(0).set_mode(EngineMode::kCutInEvent);  // the server in the zone of edge node 3
    const HttpResult answer = tier.ask(3, "resume", "cut1");
    CHECK(answer.status == 200);
    CHECK(answer.complete);
    CHECK(answer.body == kWholeStream);
    CHECK(tier.runs_of("cut1") == 2);
  }
  {
    INFO("one that may not be repeated ends without looking complete, and runs once");
    all_engines(EngineMode::kStream);
    all_engines(EngineMode::kCutInEvent);
    const HttpResult answer = tier.ask(3, "once", "cut2");
    CHECK_FALSE(answer.complete);
    CHECK(tier.runs_of("cut2") == 1);
  }
  {
    INFO("beyond its quota a tenant gets 429 with a time to come back, and others do not notice");
    all_engines(EngineMode::kStream);
    int taken = 0, refused = 0;
    for (int i = 0; i < 60; ++i) {
      const HttpResult answer =
          tier.ask(static_cast<std::size_t>(i) % 4, "once", "q" + std::to_string(i), "ks");
      taken += answer.status == 200 ? 1 : 0;
      if (answer.status != 429) continue;
      ++refused;
      CHECK(answer.headers.count("retry-after") == 1);
    }
    CHECK(refused > 0);
    CHECK(taken <= static_cast<int>((2 * 5 + 2) * 1.1 + 20));
    CHECK(tier.ask(0, "once", "other").status == 200);
  }
  {
    INFO("what a server has not run goes to another; where none runs it, it is refused at once");
    all_engines(EngineMode::kStream);
    world.engine(0).set_mode(EngineMode::kFull);
    world.engine(1).set_mode(EngineMode::kFull);
    CHECK(tier.ask(0, "once", "full1").status == 200);
    world.engine(2).set_mode(EngineMode::kFull);
    const HttpResult refused = tier.ask(1, "once", "full2");
    CHECK(refused.status == 503);
    CHECK(refused.headers.count("retry-after") == 1);
    CHECK(tier.runs_of("full2") == 0);
  }
  {
    INFO("another server at a known address does not run what is meant for the one before");
    all_engines(EngineMode::kStream);
    for (std::size_t i = 0; i < 3; ++i) world.engine(i).set_instance("another");
    CHECK(tier.ask(0, "once", "moved").status == 503);
    CHECK(tier.runs_of("moved") == 0);
  }
}

TEST_CASE("a server that drains gets no more requests once the list shows it") {
  TierFixture tier;
  TierWorld& world = tier.world;

  std::vector<Platform::Entry> list = world.full_server_list();
  list[0].state = "draining";
  list[1].state = "draining";
  const std::size_t calls = world.platform().calls();
  world.platform().set_servers(list);
  REQUIRE(until(kTimeoutMs, [&] { return world.platform().calls() >= calls + 12 && world.ready(0); }));
  const std::size_t before = world.engine(0).runs() + world.engine(1).runs();
  for (int i = 0; i < 40; ++i)
    CHECK(tier.ask(static_cast<std::size_t>(i) % 4, "once", "d" + std::to_string(i)).status == 200);
  CHECK(world.engine(0).runs() + world.engine(1).runs() == before);
}

TEST_CASE("orders: refused, raced, recognised and read back at any node") {
  TierFixture tier("[log]\nlevel = \"debug\"\n");
  TierWorld& world = tier.world;
  CHECK(world.change_configuration("replace", 2, "{\"generation\":3").status == 400);
  CHECK(world.change_configuration("replace", 9, configuration(10)).status == 412);
  CHECK(world.change_configuration("replace", 2, configuration(2)).status == 400);
  const std::string next = configuration(7, "{\"name\":\"t\",\"api_keys\":[\"k2\"]}");
  CHECK(world.change_configuration("replace", 2, next).status == 200);
  for (std::size_t node = 0; node < world.edges(); ++node) {
    INFO("node " << node);
    const HeaderList headers = {{"Host", "x"}, {"X-Base-Version", "2"}};
    CHECK(world.control(node, "POST", "/nettlestand/config/replace", headers, next).status == 200);
    CHECK(world.control(node, "GET", "/nettlestand/config/read", {{"Host", "x"}}, "").body == next);
    // The removed key is refused at every node, the other one is accepted.
    CHECK(until(kTimeoutMs,
                [&] { return tier.ask(node, "once", "gone" + std::to_string(node)).status == 401; }));
    const std::string kept = "kept" + std::to_string(node);
    const HttpResult answer = tier.ask(node, "once", kept, "k2");
    INFO("the node's log: " << tier.log_of_request(node, kept));
    CHECK(answer.status == 200);
  }
  CHECK(world.control(0, "POST", "/nettlestand/elsewhere", {{"Host", "x"}}, "").status == 404);
}

TEST_CASE("what was acknowledged outlives its leader, all processes at once, and a lost disk") {
  TierFixture tier;
  TierWorld& world = tier.world;
  const std::string second = configuration(4), third = configuration(6), fourth = configuration(8);
  REQUIRE(world.change_configuration("replace", 2, second).status == 200);
  const std::size_t leader = tier.leader();
  REQUIRE(leader < 3);
  world.kill(leader);
  CHECK(world.change_configuration("replace", 2, second).status ==
        200);  // a repeat, as if the acknowledgement had been lost
  CHECK(world.change_configuration("replace", 4, third).status == 200);
  for (std::size_t i = 0; i < world.nodes(); ++i) world.kill(i);
  for (std::size_t i = 0; i < world.nodes(); ++i) world.start(i);
  REQUIRE(tier.all_ready());
  CHECK(world.control(3, "GET", "/nettlestand/config/read", {{"Host", "x"}}, "").body == third);
  // A node loses its disk, joins the group again, and then forms a majority while another node is down.
  const std::size_t wiped = (tier.leader() + 1) % 3;
  world.kill(wiped);
  world.wipe(wiped);
  world.start(wiped);
  REQUIRE(until(kTimeoutMs, [&] {
    std::string logs;
    for (std::size_t i = 0; i < 3; ++i) logs += world.log(i);
    return world.ready(wiped) && logs.find("members changed group=0 size=3") != std::string::npos;
  }));
  world.kill((wiped + 1) % 3);
  CHECK(world.change_configuration("replace", 6, fourth).status == 200);
  CHECK(world.control(wiped, "GET", "/nettlestand/config/read", {{"Host", "x"}}, "").body == fourth);
}

TEST_CASE("batch jobs: taken once, run, read alike everywhere, ended, and refused beyond their quota") {
  TierFixture tier;
  TierWorld& world = tier.world;
  CHECK(world.client(0, "POST", "/jobs/x", client_headers("k1", "bad"), "{\"requests\":[{\"id\":\"a\"}]}")
            .status == 400);
  CHECK(world.client(0, "POST", "/jobs/x", client_headers("k1", "big"), job_json(11, "b", 100)).status ==
        429);
  CHECK(world.client(0, "POST", "/jobs/x", client_headers("k1", "job"), job_json(20, "a")).status == 202);
  CHECK(world.client(2, "POST", "/jobs/x", client_headers("k2", "job"), job_json(20, "a")).status == 202);
  std::string pages;
  REQUIRE(tier.read_all("job", 20, pages));
  for (int i = 0; i < 20; ++i) {
    const std::string id = "\"id\":\"a" + std::to_string(i) + "\"";
    const std::size_t at = pages.find(id);
    REQUIRE(at != std::string::npos);
    CHECK(pages.find(id, at + 1) == std::string::npos);
    CHECK(tier.runs_of("a" + std::to_string(i)) == 1);
  }
  CHECK(pages.find("piece 1\\npiece 2\\npiece 3\\npiece 4") != std::string::npos);
  CHECK(pages.find("dead_letter") == std::string::npos);
  for (std::size_t node = 0; node < world.edges(); ++node) {
    CHECK(world.client(node, "GET", "/nettlestand/lots/job?start_after=0", client_headers("k1", "r"), "")
              .body == pages);
  }
  CHECK(world.client(1, "GET", "/nettlestand/lots/unknown", client_headers("k1", "r"), "").status == 404);
  SECTION("items that no server can do are given up, a body is there until its item is listed") {
    for (std::size_t i = 0; i < 3; ++i) world.engine(i).set_mode(EngineMode::kFull);
    REQUIRE(world.client(0, "POST", "/jobs/x", client_headers("k1", "sick"), job_json(3, "s")).status == 202);
    CHECK(world.client(3, "GET", "/nettlestand/items/sick?id=s1", client_headers("k1", "r"), "").body ==
          "hello");
    CHECK(world.client(3, "GET", "/nettlestand/items/sick?id=s9", client_headers("k1", "r"), "").status ==
          404);
    for (std::size_t i = 0; i < 3; ++i) world.engine(i).set_mode(EngineMode::kUnprocessable);
    REQUIRE(tier.read_all("sick", 3, pages));
    CHECK(pages.find("completed") == std::string::npos);
    CHECK(world.client(3, "GET", "/nettlestand/items/sick?id=s1", client_headers("k1", "r"), "").status ==
          404);
  }
  SECTION("an ended job is not run any more") {
    for (std::size_t i = 0; i < 3; ++i) world.engine(i).set_mode(EngineMode::kFull);
    REQUIRE(world.client(0, "POST", "/jobs/x", client_headers("k1", "end"), job_json(5, "e")).status == 202);
    CHECK(world.client(1, "DELETE", "/nettlestand/lots/end", client_headers("k1", "r"), "").status == 200);
    const HttpResult repeated =
        world.client(2, "DELETE", "/nettlestand/lots/end", client_headers("k1", "r"), "");
    CHECK(repeated.status == 200);
    // The rule allows items that were already on their way this time after the acknowledgement.
    const Millis cancelled = steady_now() + kCancelMs;
    CHECK(until(kTimeoutMs, [&] {
      world.client(1, "GET", "/nettlestand/lots/end?start_after=0", client_headers("k1", "r"), "");
      return steady_now() > cancelled;
    }));
    for (std::size_t i = 0; i < 3; ++i) world.engine(i).set_mode(EngineMode::kStream);
    REQUIRE(world.client(0, "POST", "/jobs/x", client_headers("k1", "after"), job_json(5, "f")).status ==
            202);
    REQUIRE(tier.read_all("after", 5, pages));
    for (int i = 0; i < 5; ++i) CHECK(tier.runs_of("e" + std::to_string(i)) == 0);
  }
}

TEST_CASE("a job goes on when its primary is killed, and when every store is killed at once") {
  TierFixture tier;
  TierWorld& world = tier.world;
  for (std::size_t i = 0; i < 3; ++i) world.engine(i).set_pause_ms(60);
  REQUIRE(world.client(0, "POST", "/jobs/x", client_headers("k1", "long"), job_json(60, "l")).status == 202);
  std::string page;
  REQUIRE(until(kTimeoutMs, [&] {
    HeaderList headers = client_headers("k1", "read");
    headers.emplace_back("X-Wait-Ms", "200");
    page = world.client(0, "GET", "/nettlestand/lots/long?start_after=0", headers, "").body;
    return page.find("\"id\"") != std::string::npos;
  }));
  const std::size_t first = page.find("\"id\":\"l");
  const std::string first_id = page.substr(first, page.find(',', first) - first);
  SECTION("its primary") {
    const std::size_t primary = primary_of(world, "t");
    REQUIRE(primary < world.nodes());
    world.kill(primary);
    const HeaderList headers = client_headers("k1", "read");
    REQUIRE(until(kTimeoutMs, [&] {
      return world.client(1, "GET", "/nettlestand/lots/long?start_after=0", headers, "").status == 200;
    }));
    CHECK(primary_of(world, "t", primary) < world.nodes());  // another store has become primary
    world.start(primary);
  }
  SECTION("every store") {
    for (std::size_t i = 0; i < 3; ++i) world.kill(world.store(i));
    for (std::size_t i = 0; i < 3; ++i) world.start(world.store(i));
  }
  std::string pages;
  REQUIRE(tier.read_all("long", 60, pages));
  CHECK(pages.find(first_id) == pages.find("\"id\":\"l"));  // the first result is still the same
  for (int i = 0; i < 60; ++i) {
    const std::string id = "\"id\":\"l" + std::to_string(i) + "\"";
    CHECK(pages.find(id, pages.find(id) + 1) == std::string::npos);
  }
}

// Guards against: a process that is started before the one before it has ended writes to the same disk, and
// what the first one writes then is gone or changed after the next start: results, and the configuration.
TEST_CASE("a process that is started while the one before it still runs does not touch its disk") {
  TierFixture tier;
  TierWorld& world = tier.world;
  const bool stores = GENERATE(true, false);
  std::vector<std::size_t> with_disk = {0, 1, 2};
  if (stores) with_disk = {world.store(0), world.store(1), world.store(2)};
  INFO((stores ? "stores" : "core"));
  for (std::size_t i = 0; i < 3; ++i) world.engine(i).set_mode(EngineMode::kFull);
  REQUIRE(world.client(0, "POST", "/jobs/x", client_headers("k1", "job"), job_json(40, "a")).status == 202);
  for (const std::size_t node : with_disk) world.start_beside(node);
  for (const std::size_t node : with_disk) {
    // Either it is held off the disk, or it has opened it and then found its addresses taken.
    REQUIRE(until(kTimeoutMs, [&] { return world.log(node).find("in use") != std::string::npos; }));
  }
  const std::string changed = configuration(4);
  REQUIRE(world.change_configuration("replace", 2, changed).status == 200);
  for (std::size_t i = 0; i < 3; ++i) world.engine(i).set_mode(EngineMode::kStream);
  std::string pages, pages_after;
  REQUIRE(tier.read_all("job", 40, pages));
  for (const std::size_t node : with_disk) {
    world.kill(node);
    world.kill(node);  // the second process
  }
  for (const std::size_t node : with_disk) world.start(node);
  REQUIRE(tier.all_ready());
  CHECK(world.control(0, "GET", "/nettlestand/config/read", {{"Host", "x"}}, "").body == changed);
  REQUIRE(tier.read_all("job", 40, pages_after));
  CHECK(pages_after == pages);
}

TEST_CASE("a process that is started too early takes over once the one before it has ended") {
  TierFixture tier;
  TierWorld& world = tier.world;
  for (const std::size_t node : {std::size_t{1}, world.store(0)}) {
    world.start_beside(node);
    REQUIRE(until(kTimeoutMs, [&] { return world.log(node).find("in use") != std::string::npos; }));
    CHECK_FALSE(world.has_started(node));
    world.kill(node);
    CHECK(until(kTimeoutMs, [&] { return world.has_started(node); }));
  }
  REQUIRE(tier.all_ready());
}

TEST_CASE("a process that is started too early ends with 0 when told to, with 1 when its time is up") {
  TierFixture tier("[bounds]\ngrace_s = 1\n");
  TierWorld& world = tier.world;
  const std::size_t node = world.store(1);
  world.start_beside(node);
  REQUIRE(until(kTimeoutMs, [&] { return world.log(node).find("in use") != std::string::npos; }));
  CHECK(world.terminate_beside(node) == 0);
  world.start_beside(node);
  CHECK(world.exit_code_beside(node) == 1);  // after the grace period and a margin
  CHECK(world.log(node).find("startup failed") != std::string::npos);
  CHECK_FALSE(world.ended(node));  // the first process has gone on
}

TEST_CASE(
    "an edge that is told to stop finishes what it has, turns new callers away in time, and exits with 0") {
  TierFixture tier("");
  TierWorld& world = tier.world;
  for (std::size_t i = 0; i < 3; ++i) world.engine(i).set_pause_ms(300);
  HttpResult answer;
  std::thread caller([&] { answer = tier.ask(3, "once", "slow"); });
  REQUIRE(until(kTimeoutMs, [&] { return tier.runs_of("slow") == 1; }));
  world.terminate(3);
  CHECK(until(kTimeoutMs, [&] { return !world.ready(3); }));
  CHECK(tier.ask(3, "once", "late").headers["connection"] == "close");
  caller.join();
  CHECK((answer.complete && answer.body == kWholeStream));
  CHECK(world.exit_code(3) == 0);
}
