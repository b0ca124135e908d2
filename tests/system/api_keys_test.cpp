// Which requests need a tenant's key: a configuration with `tenants` asks for keys, also when its list of
// tenants has become empty, and one without `tenants` does not.
#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <string>

#include "control/state.h"
#include "edge_node.h"

using namespace nettlestand::tier;

namespace {

constexpr int kOk = 200, kUnauthorized = 401, kUnavailable = 503, kServerFailure = 500;

// A configuration with a route that needs a key and one that doesn't. `more`: further members.
std::string configuration(std::uint64_t generation, const std::string& more) {
  const std::string route =
      "\"hostname\":\"h\",\"service\":\"s\",\"timeout_ms\":4000,\"max_attempts\":3,"
      "\"route_class\":\"idempotent\"";
  return "{\"generation\":" + std::to_string(generation) + ",\"services\":[{\"name\":\"s\"}],\"routes\":[" +
         "{\"name\":\"keyed\",\"path_prefix\":\"/keyed/\"," + route + "}," +
         "{\"name\":\"open\",\"path_prefix\":\"/open/\",\"public\":true," + route + "}]" + more + "}";
}

const std::string kTwoTenants =
    ",\"tenants\":[{\"name\":\"hall\",\"api_keys\":[\"k-hall\"]},{\"name\":\"desk\",\"api_keys\":[\"k-desk\"]"
    "}]";
const std::string kEmptyTenants = ",\"tenants\":[]";
const std::string kWithoutTenants;

ConfigChange replacement(std::uint64_t base, const std::string& text) {
  ConfigChange out{};
  out.kind = ConfigChangeKind::kReplace;
  out.base = base;
  out.body = text;
  return out;
}

ConfigChange update(std::uint64_t base, std::uint64_t generation, const std::string& lists) {
  ConfigChange out{};
  out.kind = ConfigChangeKind::kUpdate;
  out.base = base;
  out.body = "{\"generation\":" + std::to_string(generation) + "," + lists + "}";
  return out;
}

const char* const kRemoveHall = "\"remove\":{\"tenants\":[\"hall\"]}";
const char* const kRemoveDesk = "\"remove\":{\"tenants\":[\"desk\"]}";

// The state after both tenants were removed, one after the other.
ControlState state_without_tenants_left() {
  ControlState state;
  REQUIRE(state.apply(replacement(0, configuration(1, kTwoTenants))) == ChangeOutcome::kApplied);
  REQUIRE(state.apply(update(1, 2, kRemoveHall)) == ChangeOutcome::kApplied);
  REQUIRE(state.apply(update(2, 3, kRemoveDesk)) == ChangeOutcome::kApplied);
  return state;
}

bool answers_done(int fd, int, const std::string& request) {
  send_all(fd, http_response(request_id_of(request), "done", "X-Response-Signature: s\r\n"));
  return true;
}

int ask(EdgeNode& node, const std::string& route, const std::string& key) {
  static std::atomic<int> last_id{0};
  HeaderList headers = {{"X-Request-Id", "r" + std::to_string(++last_id)}};
  if (!key.empty()) headers.emplace_back("X-Api-Key", key);
  return node.send("POST", "/" + route + "/1", headers, "hello")->status;
}

// Checks that no key is good for anything but the public route.
void check_closed(EdgeNode& node, const ScriptedServer& server) {
  const int before = server.requests();
  for (const std::string key : {"k-hall", "k-desk", "k-never-held", ""}) {
    INFO("key '" << key << "'");
    CHECK(ask(node, "keyed", key) == kUnauthorized);
    CHECK(node.send("GET", "/nettlestand/lots/j", {{"X-Api-Key", key}}, "")->status == kUnauthorized);
  }
  CHECK(server.requests() == before);
  CHECK(ask(node, "open", "") == kOk);
}

}  // namespace

// Guards against: once the last tenant is removed, removed keys and keys that were never held are served.
TEST_CASE("when the last tenant has been removed no key is good, nor is a request without one") {
  const ScriptedServer server(answers_done);
  EdgeNode node({&server});
  node.configure(1, configuration(1, kTwoTenants));
  CHECK(ask(node, "keyed", "k-hall") == kOk);
  node.configure(3, state_without_tenants_left().text());
  check_closed(node, server);
}

TEST_CASE("a whole configuration with an empty list of tenants asks for keys that nobody has") {
  const ScriptedServer server(answers_done);
  EdgeNode node({&server});
  node.configure(1, configuration(1, kEmptyTenants));
  check_closed(node, server);
}

TEST_CASE("a configuration without tenants asks for no keys") {
  const ScriptedServer server(answers_done);
  EdgeNode node({&server});
  node.configure(1, configuration(1, kWithoutTenants));
  for (const std::string key : {"", "k-any"}) CHECK(ask(node, "keyed", key) == kOk);
}

// Guards against: that keys are asked for is forgotten on one of the ways on which a configuration comes.
TEST_CASE("that keys are asked for stays known through changes, snapshots and a restart") {
  const ControlState state = state_without_tenants_left();
  REQUIRE(state.configuration()->tenants().empty());
  CHECK(state.configuration()->requires_keys());

  ControlState restored;
  restored.restore(state.snapshot());
  CHECK(restored.configuration()->requires_keys());

  // As a node gets it that held the first version.
  const std::vector<SequencedChange> changes = {{2, update(1, 2, kRemoveHall)},
                                                {3, update(2, 3, kRemoveDesk)}};
  const std::string text = apply_changes(configuration(1, kTwoTenants), 1, changes, 3);
  CHECK(text == state.text());
  CHECK((*Configuration::parse(text))->requires_keys());

  // A further change of something else, and a tenant that comes back.
  ControlState later;
  later.restore(state.snapshot());
  REQUIRE(later.apply(update(3, 4, "\"remove\":{\"routes\":[\"open\"]}")) == ChangeOutcome::kApplied);
  CHECK(later.configuration()->requires_keys());
  const std::string back = "\"upsert\":{\"tenants\":[{\"name\":\"desk\",\"api_keys\":[\"k-desk\"]}]}";
  REQUIRE(later.apply(update(4, 5, back)) == ChangeOutcome::kApplied);
  CHECK(later.configuration()->tenant_by_key("k-desk") != nullptr);
}

// Guards against: an update that adds nothing locks all clients out.
TEST_CASE("an update that adds no tenant does not make a configuration ask for keys") {
  ControlState state;
  REQUIRE(state.apply(replacement(0, configuration(1, kWithoutTenants))) == ChangeOutcome::kApplied);
  REQUIRE(state.apply(update(1, 2, "\"upsert\":{\"tenants\":[]}")) == ChangeOutcome::kApplied);
  CHECK_FALSE(state.configuration()->requires_keys());
  REQUIRE(state.apply(update(2, 3, kRemoveDesk)) == ChangeOutcome::kApplied);
  CHECK_FALSE(state.configuration()->requires_keys());
}

// Guards against: a tenant with an empty key is taken for the tenant of all requests without a key.
TEST_CASE("a request without a key is nobody's, also where a tenant has an empty key") {
  const ScriptedServer server(answers_done);
  EdgeNode node({&server});
  node.configure(1, configuration(1, ",\"tenants\":[{\"name\":\"hall\",\"api_keys\":[\"\"]}]"));
  CHECK(ask(node, "keyed", "") == kUnauthorized);
  CHECK(server.requests() == 0);
}

// Guards against: a request that was let in is sent once more under a configuration that no longer lets it
// in.
TEST_CASE("a request is not sent again once the configuration asks for a key that it does not have") {
  struct Change {
    const char* name;
    std::string before, after;
    const char* route;
    const char* key;
  };
  const auto change = GENERATE(Change{"the last tenant goes", kTwoTenants, kEmptyTenants, "keyed", "k-desk"},
                               Change{"tenants come", kWithoutTenants, kTwoTenants, "keyed", ""});
  INFO(change.name);
  EdgeNode* changed = nullptr;
  std::atomic<int> runs{0};
  const auto script = [&](int fd, int, const std::string& request) {
    if (++runs == 1) changed->configure_from_other_thread(2, configuration(2, change.after));
    send_all(fd, "HTTP/1.1 500 Error\r\nX-Request-Id: " + request_id_of(request) +
                     "\r\nContent-Length: 0\r\n\r\n");
    return true;
  };
  const ScriptedServer a(script), b(script), c(script);
  EdgeNode node({&a, &b, &c});
  changed = &node;
  node.configure(1, configuration(1, change.before));
  const int status = ask(node, change.route, change.key);
  CHECK(runs == 1);
  CHECK(status >= kServerFailure);
  CHECK(status != kUnavailable);  // it ran
}
