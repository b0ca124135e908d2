// Distribution of the configuration's text: from which nodes it is fetched, in what chunks, and how wrong
// data is handled.
#include <catch2/catch.hpp>
#include <set>

#include "control/config_text.h"
#include "control/control_client.h"
#include "recording_messenger.h"

using namespace nettlestand::tier;

namespace {

constexpr double kFast = 1e9;
const std::string kA = "10.0.0.1:7000", kB = "10.0.0.2:7000";

// The text of a configuration that is padded by this many bytes.
std::string text_of(std::uint64_t generation, std::size_t bytes = 0) {
  return "{\"generation\":" + std::to_string(generation) + ",\"note\":\"" + std::string(bytes, 'x') +
         "\",\"routes\":[],\"services\":[],\"tenants\":[]}";
}

ConfigText shared(std::string text) { return std::make_shared<const std::string>(std::move(text)); }

SequencedChange replacing(std::uint64_t sequence, std::string body) {
  SequencedChange out{};
  out.sequence = sequence;
  out.change.body = std::move(body);
  return out;
}

// Two providers and a fetcher, with immediate delivery of messages between them.
struct Exchange {
  ConfigTextProvider a{kFast}, b{kFast};
  std::vector<std::string> holders = {kA, kB};
  ConfigTextFetcher fetcher{[this] { return holders; }};
  std::vector<std::string> asked;
  std::uint64_t held_sequence = 0;
  ConfigText held = shared("");
  std::function<void(ConfigTextReply&)> spoil = [](ConfigTextReply&) {};
  bool a_is_silent = false;

  std::optional<ConfigTextFetcher::Fetched> step(Millis now) {
    if (const auto request = fetcher.next_request(now, held_sequence)) {
      asked.push_back(request->to);
      (request->to == kA ? a : b).on_request(now, "me", request->request);
    }
    std::optional<ConfigTextFetcher::Fetched> out;
    for (auto* server : {&a, &b}) {
      for (ConfigTextProvider::OutgoingReply& answer : server->take_due_replies(now)) {
        if (server == &a && a_is_silent) continue;
        spoil(answer.reply);
        const std::string& from = server == &a ? kA : kB;
        if (auto fetched = fetcher.on_reply(now, from, answer.reply, held_sequence, held)) out = fetched;
      }
    }
    return out;
  }
  std::optional<ConfigTextFetcher::Fetched> run(Millis from, Millis to) {
    for (Millis now = from; now < to; now += 20) {
      if (auto fetched = step(now)) return fetched;
    }
    return std::nullopt;
  }
};

}  // namespace

TEST_CASE("a version comes piece by piece from the nearest holder alone") {
  Exchange exchange;
  const std::string text = text_of(3, 3 * ConfigTextProvider::kChunkBytes);
  const ConfigVersion id = config_version_of(3, text);
  exchange.a.add_version(id, shared(text), {});
  exchange.b.add_version(id, shared(text), {});
  exchange.fetcher.fetch(id);
  const auto fetched = exchange.run(1000, 2000);
  REQUIRE(fetched);
  CHECK(*fetched->text == text);
  CHECK(exchange.asked == std::vector<std::string>(4, kA));
}

TEST_CASE("one request is under way at a time, however often the leader names the version") {
  Exchange exchange;
  const ConfigVersion id = config_version_of(1, text_of(1));
  for (Millis now = 0; now < 300; now += 10) {
    exchange.fetcher.fetch(id);
    const auto request = exchange.fetcher.next_request(now, 0);
    CHECK(request.has_value() == (now == 0));
  }
}

TEST_CASE("a silent holder is given up for the next one, which goes on where it stopped") {
  Exchange exchange;
  const std::string text = text_of(1, 2 * ConfigTextProvider::kChunkBytes);
  const ConfigVersion id = config_version_of(1, text);
  exchange.a.add_version(id, shared(text), {});
  exchange.b.add_version(id, shared(text), {});
  exchange.fetcher.fetch(id);
  REQUIRE_FALSE(exchange.step(0));  // the first chunk
  exchange.a_is_silent = true;
  const auto fetched = exchange.run(20, 2000);
  REQUIRE(fetched);
  CHECK(*fetched->text == text);
  CHECK(exchange.asked.back() == kB);
  CHECK(exchange.asked.size() <= 4);
}

TEST_CASE("wrong bytes are dropped and the version is asked for elsewhere") {
  Exchange exchange;
  const std::string text = text_of(1, 100);
  const ConfigVersion id = config_version_of(1, text);
  exchange.a.add_version(id, shared(text), {});
  exchange.b.add_version(id, shared(text), {});
  int spoiled = 0;
  exchange.spoil = [&](ConfigTextReply& reply) {
    if (reply.status != ConfigTextStatus::kChunk || spoiled++ > 0) return;
    reply.bytes[40] = 'y';
  };
  exchange.fetcher.fetch(id);
  const auto fetched = exchange.run(0, 1000);
  REQUIRE(fetched);
  CHECK(*fetched->text == text);
  CHECK(exchange.asked == std::vector<std::string>{kA, kB});
}

TEST_CASE("a holder that waits for the version itself keeps the request") {
  Exchange exchange;
  const std::string text = text_of(2);
  const ConfigVersion id = config_version_of(2, text);
  exchange.a.add_version(config_version_of(1, text_of(1)), shared(text_of(1)), {});
  exchange.fetcher.fetch(id);
  for (Millis now = 0; now < 500; now += 20) REQUIRE_FALSE(exchange.step(now));
  exchange.a.add_version(id, shared(text), {});
  const auto fetched = exchange.step(500);
  REQUIRE(fetched);
  CHECK(exchange.asked == std::vector<std::string>{kA});
}

TEST_CASE("a holder that the version doesn't reach in time is given up") {
  Exchange exchange;
  const std::string text = text_of(2);
  const ConfigVersion id = config_version_of(2, text);
  exchange.b.add_version(id, shared(text), {});
  exchange.fetcher.fetch(id);
  REQUIRE(exchange.run(0, 1000));
  CHECK(exchange.asked == std::vector<std::string>{kA, kB});
}

TEST_CASE("a version that is no longer handed out is passed over for the newest") {
  Exchange exchange;
  const std::string second = text_of(2), third = text_of(3);
  exchange.a.add_version(config_version_of(3, third), shared(third), {});
  exchange.fetcher.fetch(config_version_of(2, second));
  exchange.fetcher.fetch(config_version_of(3, third));
  const auto fetched = exchange.run(0, 2000);
  REQUIRE(fetched);
  CHECK(fetched->id.sequence == 3);
}

TEST_CASE("an older version stays while it is being asked for, and goes after that") {
  Exchange exchange;
  const std::string first = text_of(1, 2 * ConfigTextProvider::kChunkBytes), second = text_of(2);
  exchange.a.add_version(config_version_of(1, first), shared(first), {});
  exchange.fetcher.fetch(config_version_of(1, first));
  REQUIRE_FALSE(exchange.step(0));
  exchange.a.add_version(config_version_of(2, second), shared(second), {});
  REQUIRE(exchange.run(20, 200));
  CHECK(exchange.asked == std::vector<std::string>(3, kA));
  Exchange later;
  later.holders = {kA};
  later.a.add_version(config_version_of(1, first), shared(first), {});
  later.a.add_version(config_version_of(2, second), shared(second), {});
  REQUIRE(later.a.take_due_replies(10000).empty());
  later.fetcher.fetch(config_version_of(1, first));
  CHECK_FALSE(later.run(10000, 12000));
}

TEST_CASE("small changes come as the orders that made them, and are checked as well") {
  Exchange exchange;
  const std::string first = text_of(1, 5000);
  const std::string second = text_of(2, 5000);
  SequencedChange update{};
  update.sequence = 2;
  update.change.kind = ConfigChangeKind::kUpdate;
  update.change.body = "{\"generation\":2}";
  exchange.held_sequence = 1;
  exchange.held = shared(first);
  const std::string after = apply_changes(first, 1, {update}, 2);
  REQUIRE_FALSE(after.empty());
  const ConfigVersion id = config_version_of(2, after);
  exchange.a.add_version(config_version_of(1, first), shared(first), {});
  exchange.a.add_version(id, shared(after), {update});
  exchange.fetcher.fetch(id);
  SECTION("from the version that is held") {
    const auto fetched = exchange.step(0);
    REQUIRE(fetched);
    CHECK(fetched->changes.size() == 1);
    CHECK(*fetched->text == after);
  }
  SECTION("where they don't lead to the digest, the whole text is asked for") {
    exchange.held = shared(text_of(1, 4999));
    exchange.b.add_version(id, shared(after), {});
    const auto fetched = exchange.run(0, 1000);
    REQUIRE(fetched);
    CHECK(fetched->changes.empty());
    CHECK(*fetched->text == after);
  }
}

TEST_CASE("many that ask at once are served at a bounded rate, in turn") {
  constexpr double kRate = 1e6;
  ConfigTextProvider server(kRate);
  const std::string text = text_of(1, 3 * ConfigTextProvider::kChunkBytes);
  const ConfigVersion id = config_version_of(1, text);
  server.add_version(id, shared(text), {});
  ConfigTextRequest request{};
  request.id = id;
  for (int i = 0; i < 200; ++i) server.on_request(0, "node-" + std::to_string(i), request);
  std::size_t bytes = 0, answered = 0;
  std::set<std::string> nodes;
  for (Millis now = 0; now <= 1000; now += 40) {
    std::size_t at_once = 0;
    for (const auto& answer : server.take_due_replies(now)) {
      at_once += answer.reply.bytes.size();
      nodes.insert(answer.to);
      ++answered;
    }
    bytes += at_once;
    CHECK(at_once <= 4 * ConfigTextProvider::kChunkBytes);
  }
  CHECK(bytes <= static_cast<std::size_t>(kRate) + 4 * ConfigTextProvider::kChunkBytes);
  CHECK(bytes >= static_cast<std::size_t>(kRate) / 2);
  CHECK(nodes.size() == answered);
}

TEST_CASE("the feed keeps no more bytes of orders than it may") {
  ChangeFeed feed;
  for (std::uint64_t i = 1; i <= 20; ++i) feed.append(replacing(i, std::string(20000, 'x')));
  CHECK(feed.changes_between(19, 20));
  CHECK_FALSE(feed.changes_between(10, 20));
  feed.append(replacing(21, std::string(ChangeFeed::kMaxBytes + 1, 'x')));
  CHECK_FALSE(feed.changes_between(20, 21));
}

// ---------------------------------------------------------------- choice of sources

namespace {

NodeInfo node(const std::string& name, const std::string& zone, int number, bool is_core) {
  NodeInfo out{};
  out.name = name;
  out.zone = zone;
  out.address = "10.0.0." + std::to_string(number) + ":7000";
  out.is_core = is_core;
  out.generation = 1;
  return out;
}

// A control client whose membership view contains some nodes.
struct ClientWorld {
  RecordingMessenger messenger;
  PartialView view;
  ConfigTextProvider content{kFast};
  ControlClient control_client;
  ClientWorld(NodeInfo self, std::vector<NodeInfo> others)
      : view(std::move(self), {}, 1), control_client(messenger, view, content, ControlClientSettings{}) {
    Shuffle shuffle{};
    shuffle.nodes = std::move(others);
    view.on_shuffle_reply(0, shuffle);
  }
  void name(Millis now, const ConfigVersion& id) {
    PollReply reply{};
    reply.from_leader = true;
    reply.sent_at = now;
    reply.config = id;
    control_client.on_reply(now, "10.0.0.50:7000", reply);
  }
  std::vector<std::pair<std::string, ConfigTextRequest>> requests() {
    return messenger.take<ConfigTextRequest>(MessageType::kConfigTextRequest);
  }
};

}  // namespace

TEST_CASE("the bytes are asked for inside the zone, where it has a core machine") {
  ClientWorld world(
      node("edge-9", "z1", 9, false),
      {node("core-1", "z1", 1, true), node("core-2", "z2", 2, true), node("edge-3", "z1", 3, false)});
  world.name(1000, config_version_of(1, text_of(1)));
  const auto requests = world.requests();
  REQUIRE(requests.size() == 1);
  CHECK(requests.front().first == "10.0.0.1:7000");
}

TEST_CASE("a zone without a core machine asks beyond it once, and its other nodes ask that one") {
  const std::vector<NodeInfo> far = {node("core-2", "z2", 2, true)};
  ClientWorld first(node("edge-1", "z1", 1, false), {far[0], node("edge-3", "z1", 3, false)});
  first.name(1000, config_version_of(1, text_of(1)));
  REQUIRE(first.requests().front().first == "10.0.0.50:7000");  // the leader
  ClientWorld second(node("edge-3", "z1", 3, false), {far[0], node("edge-1", "z1", 1, false)});
  second.name(1000, config_version_of(1, text_of(1)));
  REQUIRE(second.requests().front().first == "10.0.0.1:7000");
}

TEST_CASE("a machine with a replica takes what that has applied, and asks nobody") {
  ClientWorld world(node("core-1", "z1", 1, true), {node("core-2", "z2", 2, true)});
  ControlState replica;
  ConfigChange order{};
  order.body = text_of(1);
  world.control_client.set_replica_source([&] { return &replica; });
  REQUIRE(replica.apply(order) == ChangeOutcome::kApplied);
  ConfigChange next{};
  next.base = 1;
  next.body = text_of(2);
  world.name(1000, config_version_of(2, next.body));
  CHECK(world.requests().empty());  // its replica is behind and gets some time to catch up
  CHECK(world.control_client.state().sequence() == 1);
  REQUIRE(replica.apply(next) == ChangeOutcome::kApplied);
  world.control_client.tick(1040);
  CHECK(world.requests().empty());
  CHECK(world.control_client.state().sequence() == 2);
  CHECK(world.control_client.configuration() == replica.configuration());
}

TEST_CASE("a text that is no configuration is not taken over, though its digest is right") {
  ClientWorld world(node("edge-9", "z1", 9, false), {});
  const std::string bad = "{\"generation\":1,\"routes\":7}";
  const ConfigVersion id = config_version_of(1, bad);
  world.name(1000, id);
  ConfigTextReply reply{};
  reply.id = id;
  reply.total = bad.size();
  reply.bytes = bad;
  world.control_client.on_config_text(1010, "10.0.0.50:7000", reply);
  CHECK(world.control_client.state().sequence() == 0);
  CHECK_FALSE(world.control_client.has_config_lease(1010));
}
