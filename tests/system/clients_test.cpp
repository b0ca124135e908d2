// Clients that keep to no limit, against the real processes of a small tier: no process ends, each stays
// within the memory and the descriptors of its settings, and ordinary requests are answered afterwards.
//
// Crowds and bounds are fixed: the limits in the settings are low, so that few connections are enough.
// Nothing here depends on how fast the machine is: while a process is beyond its bound, a crowd just ends
// early.
#include <absl/strings/escaping.h>

#include <catch2/catch.hpp>

#include "messaging/zmtp.h"
#include "standins/tier/client_crowd.h"
#include "tier_fixture.h"

using namespace nettlestand::tier;
using namespace nettlestand::tier::standins;

namespace {

constexpr int kEdgeMemoryMb = 128;
constexpr int kStoreMemoryMb = 128;
constexpr int kMaxDescriptors = 1024;
constexpr std::size_t kMaxBodyBytes = 4U << 20;  // of the configuration, by default
constexpr std::size_t kFloodBytes = 64U << 20;   // on each connection that sends without an end
constexpr Millis kStalledMs = 2000;
constexpr Millis kReadLimitMs = 5000;  // above the time that a request may take to arrive
constexpr std::size_t kKbPerMb = 1024;

// A tier whose processes are watched beside the limits of their settings.
class ClientsFixture {
 public:
  explicit ClientsFixture(NodeLimits edge_limits = {kEdgeMemoryMb, kMaxDescriptors},
                          NodeLimits store_limits = {kStoreMemoryMb, kMaxDescriptors})
      : edge_limits_(edge_limits), store_limits_(store_limits), tier(options()) {}

  // Whether no process is beyond its limits now or has been.
  bool within_limits() const {
    for (std::size_t node = 0; node < tier.world.nodes(); ++node) {
      const ProcessUsage usage = tier.world.usage(node);
      const NodeLimits& limits = limits_of(node);
      if (usage.peak_resident_kb > memory_bound_kb(limits)) return false;
      if (usage.descriptors > static_cast<std::size_t>(*limits.max_fds)) return false;
    }
    return true;
  }

  // What must hold while a crowd is there and after it.
  void check_processes() {
    for (std::size_t node = 0; node < tier.world.nodes(); ++node) {
      INFO(tier.world.name(node));
      const ProcessUsage usage = tier.world.usage(node);
      const NodeLimits& limits = limits_of(node);
      CHECK_FALSE(tier.world.ended(node));
      CHECK(usage.peak_resident_kb <= memory_bound_kb(limits));
      CHECK(usage.descriptors <= static_cast<std::size_t>(*limits.max_fds));
    }
  }
  // Whether an ordinary request and a readiness check are answered at each edge.
  void check_service() {
    for (std::size_t node = 0; node < tier.world.edges(); ++node) {
      INFO(tier.world.name(node));
      CHECK(until(kTimeoutMs, [&] {
        return tier.ask(node, "again", "ordinary" + std::to_string(++last_request_)).status == 200;
      }));
      CHECK(until(kTimeoutMs, [&] { return tier.world.ready(node); }));
    }
  }
  void check_all() {
    check_processes();
    check_service();
    check_processes();
  }

 private:
  TierOptions options() const {
    TierOptions out = TierFixture::options("");
    out.edge_limits = edge_limits_;
    out.store_limits = store_limits_;
    return out;
  }
  const NodeLimits& limits_of(std::size_t node) const {
    return node < tier.world.edges() ? edge_limits_ : store_limits_;
  }
  static std::size_t memory_bound_kb(const NodeLimits& limits) {
    return static_cast<std::size_t>(*limits.memory_mb) * kKbPerMb;
  }

  NodeLimits edge_limits_, store_limits_;
  int last_request_ = 0;

 public:
  TierFixture tier;
};

enum class Listener { kFront, kControl, kReady };

std::string address_of(const TierWorld& world, std::size_t node, Listener listener) {
  switch (listener) {
    case Listener::kFront:
      return world.front_address(node);
    case Listener::kControl:
      return world.control_address(node);
    case Listener::kReady:
      return world.ready_address(node);
  }
  return {};
}

std::string head(const std::string& method, const std::string& target, const std::string& more) {
  return method + " " + target +
         " HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: k1\r\nX-Request-Id: crowd\r\nX-Base-Version: 2\r\n" +
         more + "\r\n";
}

std::string length_header(std::size_t bytes) { return "Content-Length: " + std::to_string(bytes) + "\r\n"; }

const char* const kChunkedHeader = "Transfer-Encoding: chunked\r\n";

// A body of one chunk, with or without the end of the message.
std::string one_chunk(std::size_t bytes) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes);
  return size + std::string(bytes, 'x') + "\r\n";
}

// Repeats `value`, with commas between, up to about `bytes`.
std::string repeated(const std::string& value, std::size_t bytes) {
  std::string out = value;
  while (out.size() + value.size() + 1 < bytes) out += "," + value;
  return out;
}

std::string job_with_body(const std::string& id, std::size_t body_bytes, const std::string& tokens = "0") {
  const std::string body = absl::Base64Escape(std::string(body_bytes, 'b'));
  return "{\"requests\":[{\"id\":\"" + id + "\",\"path\":\"/jobs/1\",\"body\":\"" + body +
         "\",\"tokens\":" + tokens + "}]}";
}

void set_event_padding(TierWorld& world, std::size_t bytes) {
  for (std::size_t i = 0; i < world.engines(); ++i) world.engine(i).set_event_padding(bytes);
}

void set_engines(TierWorld& world, EngineMode mode) {
  for (std::size_t i = 0; i < world.engines(); ++i) world.engine(i).set_mode(mode);
}

}  // namespace

// ---------------------------------------------------------------- framing without an end

TEST_CASE("trailers without an end", "[trailers]") {
  const auto listener = GENERATE(Listener::kFront, Listener::kControl, Listener::kReady);
  const std::string piece = GENERATE(std::string(4096, 't'), "X-T: " + std::string(4000, 't') + "\r\n");
  ClientsFixture clients;
  {
    ClientCrowd crowd(address_of(clients.tier.world, 0, listener), 8);
    crowd.send(head("POST", "/again/x", kChunkedHeader) + "0\r\n", piece, kFloodBytes, kStalledMs,
               [&] { return clients.within_limits(); });
    crowd.read_heads(kReadLimitMs, [&] { return clients.within_limits(); });
    clients.check_processes();
  }
  clients.check_all();
}

TEST_CASE("a chunk extension without an end", "[chunk_extension]") {
  const auto listener = GENERATE(Listener::kFront, Listener::kControl, Listener::kReady);
  ClientsFixture clients;
  {
    ClientCrowd crowd(address_of(clients.tier.world, 0, listener), 8);
    crowd.send(head("POST", "/again/x", kChunkedHeader) + "1;", std::string(4096, 'e'), kFloodBytes,
               kStalledMs, [&] { return clients.within_limits(); });
    crowd.read_heads(kReadLimitMs, [&] { return clients.within_limits(); });
    clients.check_processes();
  }
  clients.check_all();
}

// ---------------------------------------------------------------- bytes of all connections together

TEST_CASE("bodies with a length, each inside the limits, whose last byte is held back", "[bodies]") {
  ClientsFixture clients;
  {
    ClientCrowd crowd(clients.tier.world.front_address(0), 60);
    crowd.send(head("POST", "/again/x", length_header(kMaxBodyBytes)) + std::string(kMaxBodyBytes - 1, 'x'),
               kStalledMs, [&] { return clients.within_limits(); });
    crowd.read_heads(kReadLimitMs, [&] { return clients.within_limits(); });
    clients.check_processes();
  }
  clients.check_all();
}

TEST_CASE("chunked bodies, each inside the limits, whose end is held back", "[chunked_bodies]") {
  ClientsFixture clients;
  {
    ClientCrowd crowd(clients.tier.world.front_address(0), 60);
    const std::string opening = head("POST", "/again/x", kChunkedHeader), chunk = one_chunk(16U << 10);
    const std::size_t chunks = kMaxBodyBytes / (16U << 10);
    crowd.send(opening, chunk, opening.size() + chunks * chunk.size(), kStalledMs,
               [&] { return clients.within_limits(); });
    crowd.read_heads(kReadLimitMs, [&] { return clients.within_limits(); });
    clients.check_processes();
  }
  clients.check_all();
}

TEST_CASE("ordinary requests beside a crowd that comes again and again with large bodies",
          "[beside_bodies]") {
  ClientsFixture clients;
  const std::string request =
      head("POST", "/again/x", length_header(kMaxBodyBytes)) + std::string(kMaxBodyBytes - 1, 'x');
  for (int round = 0; round < 3; ++round) {
    ClientCrowd crowd(clients.tier.world.front_address(0), 60);
    crowd.send(request, kStalledMs, [&] { return clients.within_limits(); });
    // The first refusal: from now on the others hold all that large requests may take.
    crowd.read_heads(
        kReadLimitMs, [&] { return clients.within_limits(); }, 1);
    clients.check_all();
  }
  clients.check_all();
}

TEST_CASE("bodies on the control listener whose last byte is held back", "[control_bodies]") {
  ClientsFixture clients;
  {
    ClientCrowd crowd(clients.tier.world.control_address(0), 60);
    crowd.send(head("POST", "/nettlestand/config/replace", length_header(kMaxBodyBytes)) +
                   std::string(kMaxBodyBytes - 1, 'x'),
               kStalledMs, [&] { return clients.within_limits(); });
    crowd.read_heads(kReadLimitMs, [&] { return clients.within_limits(); });
    clients.check_processes();
  }
  clients.check_all();
}

TEST_CASE("connections that rest after the answer to a request with a large body", "[resting]") {
  ClientsFixture clients;
  {
    ClientCrowd crowd(clients.tier.world.front_address(0), 60);
    crowd.send(head("POST", "/nowhere/x", length_header(kMaxBodyBytes)) + std::string(kMaxBodyBytes, 'x'),
               kStalledMs, [&] { return clients.within_limits(); });
    crowd.read_heads(kReadLimitMs, [&] { return clients.within_limits(); });
    clients.check_processes();
  }
  clients.check_all();
}

TEST_CASE("heads of very many short headers, before bodies whose last byte is held back", "[many_headers]") {
  ClientsFixture clients;
  {
    std::string headers = length_header(2);
    while (headers.size() < 15000) headers += "a:b\r\n";
    ClientCrowd crowd(clients.tier.world.front_address(0), 300);
    crowd.send(head("POST", "/again/x", headers) + "x", kStalledMs, [&] { return clients.within_limits(); });
    crowd.read_heads(kReadLimitMs, [&] { return clients.within_limits(); });
    clients.check_processes();
  }
  clients.check_all();
}

TEST_CASE("answers with large bodies that nobody reads", "[unread_answers]") {
  ClientsFixture clients;
  set_engines(clients.tier.world, EngineMode::kFull);
  REQUIRE(clients.tier.world
              .client(0, "POST", "/jobs/x", client_headers("k1", "large"), job_with_body("a", 3000000))
              .status == 202);
  {
    ClientCrowd crowd(clients.tier.world.front_address(0), 60);
    crowd.send(head("GET", "/nettlestand/items/large?id=a", ""), kStalledMs,
               [&] { return clients.within_limits(); });
    crowd.read_heads(kReadLimitMs, [&] { return clients.within_limits(); });
    clients.check_processes();
  }
  set_engines(clients.tier.world, EngineMode::kStream);
  clients.check_all();
}

TEST_CASE("long streams that nobody reads", "[unread_streams]") {
  constexpr int kSmallEdgeMemoryMb = 48;
  constexpr std::size_t kEventPadding = 600U << 10;
  ClientsFixture clients({kSmallEdgeMemoryMb, kMaxDescriptors}, {kStoreMemoryMb, kMaxDescriptors});
  set_event_padding(clients.tier.world, kEventPadding);
  {
    ClientCrowd crowd(clients.tier.world.front_address(0), 450);
    crowd.send(head("GET", "/once/x", ""), kStalledMs, [&] { return clients.within_limits(); });
    crowd.read_heads(kReadLimitMs, [&] { return clients.within_limits(); });
    clients.check_processes();
    CHECK(until(kTimeoutMs, [&] { return clients.tier.world.ready(0); }));
    clients.check_processes();
  }
  clients.check_all();
}

TEST_CASE("frames on the nodes' own port that are announced large and held back", "[frames]") {
  const bool store = GENERATE(false, true);
  ClientsFixture clients;
  const std::size_t node = store ? clients.tier.world.store(0) : 0;
  {
    const std::string greeting =
        std::string("\xFF\0\0\0\0\0\0\0\x01\x7F\x03\x01", 12) + "NULL" + std::string(16 + 1 + 31, '\0');
    const std::string frame("\x02\0\0\0\0\x01\0\0\0", 9);  // of 16 MiB
    ClientCrowd crowd(clients.tier.world.internal_address(node), 40);
    crowd.send(greeting + frame, std::string(64U << 10, 'f'), 8U << 20, kStalledMs,
               [&] { return clients.within_limits(); });
    clients.check_processes();
  }
  clients.check_all();
}

// ---------------------------------------------------------------- what a request becomes

TEST_CASE("submissions whose JSON takes much more memory than its bytes", "[job_values]") {
  const std::string values =
      GENERATE(repeated("0", kMaxBodyBytes - 100), std::string(kMaxBodyBytes - 100, '['));
  ClientsFixture clients;
  {
    const std::string body = "{\"requests\":[" + values + "]}";
    ClientCrowd crowd(clients.tier.world.front_address(0), 4);
    crowd.send(head("POST", "/jobs/x", length_header(body.size())) + body, kStalledMs,
               [&] { return clients.within_limits(); });
    crowd.read_heads(kReadLimitMs, [&] { return clients.within_limits(); });
    clients.check_processes();
  }
  clients.check_all();
}

TEST_CASE("configurations whose JSON takes much more memory than its bytes", "[configuration_values]") {
  const std::string values =
      GENERATE(repeated("0", kMaxBodyBytes - 100), std::string(kMaxBodyBytes - 100, '['));
  const std::string verb = GENERATE("replace", "update");
  ClientsFixture clients;
  {
    const std::string body = "{\"generation\":4,\"other\":[" + values + "]}";
    ClientCrowd crowd(clients.tier.world.control_address(0), 4);
    crowd.send(head("POST", "/nettlestand/config/" + verb, length_header(body.size())) + body, kStalledMs,
               [&] { return clients.within_limits(); });
    crowd.read_heads(kReadLimitMs, [&] { return clients.within_limits(); });
    clients.check_processes();
  }
  clients.check_all();
}

TEST_CASE("a change to the configuration that is nested deeply", "[configuration_nested]") {
  const bool in_list = GENERATE(true, false);
  ClientsFixture clients;
  const std::string nested = std::string(120000, '[') + std::string(120000, ']');
  const std::string body =
      in_list ? "{\"generation\":4,\"upsert\":{\"services\":[{\"name\":\"other\",\"extra\":" + nested + "}]}}"
              : "{\"generation\":4,\"upsert\":" + nested + "}";
  for (std::size_t node = 0; node < 3; ++node) {
    clients.tier.world.control(node, "POST", "/nettlestand/config/update",
                               {{"Host", "x"}, {"X-Base-Version", "2"}}, body);
  }
  clients.check_all();
}

// ---------------------------------------------------------------- work that grows faster than the bytes

TEST_CASE("changes with very many names", "[configuration_names]") {
  ClientsFixture clients;
  std::string services;
  for (int i = 0; services.size() < 3000000; ++i) services += ",{\"name\":\"s" + std::to_string(i) + "\"}";
  const std::string list = "\"services\":[" + services.substr(1) + "]";
  const std::string upsert = "{\"generation\":4,\"upsert\":{" + list + "}}";
  for (std::size_t node = 0; node < 3; ++node) {
    clients.tier.world.control(node, "POST", "/nettlestand/config/update",
                               {{"Host", "x"}, {"X-Base-Version", "2"}}, upsert);
  }
  clients.check_all();
}

TEST_CASE("requests whose Connection header names very many headers", "[connection_tokens]") {
  ClientsFixture clients;
  {
    std::string connection = "Connection: keep-alive", headers;
    while (connection.size() < 8000) connection += ",a";
    while (headers.size() < 7000) headers += "b:\r\n";
    const std::string request = head("GET", "/again/x", connection + "\r\n" + headers);
    ClientCrowd crowd(clients.tier.world.front_address(0), 300);
    // Each connection sends four requests, one behind the other.
    crowd.send("", request, 4 * request.size(), kStalledMs, [&] { return clients.within_limits(); });
    clients.check_all();
  }
  clients.check_all();
}

// ---------------------------------------------------------------- what stays of a request

TEST_CASE("jobs that wait, more than a store's memory holds", "[stored_jobs]") {
  constexpr int kSmallStoreMemoryMb = 64;
  ClientsFixture clients({kEdgeMemoryMb, kMaxDescriptors}, {kSmallStoreMemoryMb, kMaxDescriptors});
  TierWorld& world = clients.tier.world;
  set_engines(world, EngineMode::kFull);
  int accepted = 0;
  for (int i = 0; i < 40 && clients.within_limits(); ++i) {
    const std::string id = "job" + std::to_string(i);
    const HttpResult answer =
        world.client(0, "POST", "/jobs/x", client_headers("k1", id), job_with_body("a", 2500000));
    accepted += answer.status == 202 ? 1 : 0;
  }
  CHECK(accepted > 0);
  clients.check_processes();
  for (std::size_t i = 0; i < 3; ++i) world.kill(world.store(i));
  for (std::size_t i = 0; i < 3; ++i) world.start(world.store(i));
  CHECK(until(kTimeoutMs, [&] {
    return world.client(0, "GET", "/nettlestand/lots/job0", client_headers("k1", "read"), "").status == 200;
  }));
  clients.check_processes();
  set_engines(world, EngineMode::kStream);
  std::string pages;
  CHECK(clients.tier.read_all("job0", 1, pages));
  clients.check_all();
}

TEST_CASE("jobs with small items and large results, more than a store's memory holds", "[stored_results]") {
  constexpr int kSmallStoreMemoryMb = 64;
  constexpr std::size_t kEventPadding = 32U << 10;
  constexpr int kJobs = 40, kItems = 20;
  ClientsFixture clients({kEdgeMemoryMb, kMaxDescriptors}, {kSmallStoreMemoryMb, kMaxDescriptors});
  TierWorld& world = clients.tier.world;
  set_event_padding(world, kEventPadding);
  // Results that come before the last job is submitted would leave no memory for it.
  set_engines(world, EngineMode::kFull);
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = "job" + std::to_string(i);
    CHECK(until(kTimeoutMs, [&] {
      return world.client(0, "POST", "/jobs/x", client_headers("k1", id), job_json(kItems, "i", 0)).status ==
             202;
    }));
  }
  set_engines(world, EngineMode::kStream);
  // Until each job is done, or results have come up to what the memory holds.
  until(kTimeoutMs, [&] {
    HeaderList headers = client_headers("k1", "read");
    headers.emplace_back("X-Wait-Ms", "300");
    const std::string target =
        "/nettlestand/lots/job" + std::to_string(kJobs - 1) + "?start_after=" + std::to_string(kItems - 1);
    const std::string page = world.client(0, "GET", target, headers, "").body;
    return !clients.within_limits() ||
           page.find("\"next_token\":" + std::to_string(kItems)) != std::string::npos;
  });
  clients.check_all();
}

TEST_CASE("items whose tokens are beyond any count", "[tokens]") {
  ClientsFixture clients;
  TierWorld& world = clients.tier.world;
  set_engines(world, EngineMode::kFull);
  const std::string item = ",\"path\":\"/jobs/1\",\"tokens\":9e18}";
  const std::string body = "{\"requests\":[{\"id\":\"a\"" + item + ",{\"id\":\"b\"" + item + "]}";
  const int status = world.client(0, "POST", "/jobs/x", client_headers("k1", "huge"), body).status;
  CHECK((status == 400 || status == 429));
  CHECK(world.client(0, "POST", "/jobs/x", client_headers("k1", "over"), job_json(11, "o", 100)).status ==
        429);
  set_engines(world, EngineMode::kStream);
  clients.check_all();
}

// ---------------------------------------------------------------- descriptors

TEST_CASE("connections that send nothing, more than there are descriptors", "[descriptors]") {
  constexpr int kFewDescriptors = 400;
  const auto listener = GENERATE(Listener::kFront, Listener::kControl, Listener::kReady);
  ClientsFixture clients({kEdgeMemoryMb, kFewDescriptors});
  {
    ClientCrowd crowd(address_of(clients.tier.world, 0, listener), 500);
    clients.check_all();  // also while the crowd is there
  }
  clients.check_all();
}

TEST_CASE("long polls, more than there are descriptors", "[long_polls]") {
  constexpr int kFewDescriptors = 400;
  ClientsFixture clients({kEdgeMemoryMb, kFewDescriptors});
  TierWorld& world = clients.tier.world;
  const HeaderList headers = client_headers("k1", "waiting");
  set_engines(world, EngineMode::kFull);
  REQUIRE(world.client(0, "POST", "/jobs/x", headers, job_json(1, "w")).status == 202);
  {
    const std::string poll = head("GET", "/nettlestand/lots/waiting?start_after=0", "X-Wait-Ms: 10000\r\n");
    ClientCrowd crowd(world.front_address(0), 500);
    // Each connection asks four times, one request behind the other.
    crowd.send("", poll, 4 * poll.size(), kStalledMs, [&] { return clients.within_limits(); });
    CHECK(until(kTimeoutMs, [&] {
      return world.client(0, "GET", "/nettlestand/lots/waiting?start_after=0", headers, "").status == 200;
    }));
    clients.check_processes();
  }
  set_engines(world, EngineMode::kStream);
  clients.check_all();
}

TEST_CASE("connections to the nodes' own port, more than there are descriptors", "[own_port]") {
  constexpr int kFewDescriptors = 400;
  const bool store = GENERATE(false, true);
  ClientsFixture clients({kEdgeMemoryMb, kFewDescriptors}, {kStoreMemoryMb, kFewDescriptors});
  const std::size_t node = store ? clients.tier.world.store(0) : 0;
  {
    ClientCrowd crowd(clients.tier.world.internal_address(node), 500);
    clients.check_all();
  }
  clients.check_all();
}
