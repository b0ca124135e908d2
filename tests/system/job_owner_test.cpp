// Whose is a batch job: each accepted job can be read with a key of the tenant that submitted it, whatever
// becomes of its route, and with no other tenant's key.
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>

#include "edge_node.h"

using namespace nettlestand::tier;

namespace {

constexpr int kOk = 200, kAccepted = 202, kUnauthorized = 401, kNotFound = 404;
const std::string kTenants =
    ",\"tenants\":[{\"name\":\"desk\",\"api_keys\":[\"k-desk\",\"k-desk-2\"]},"
    "{\"name\":\"hall\",\"api_keys\":[\"k-hall\"]}]";
const std::string kNoTenants, kEmptyTenants = ",\"tenants\":[]";
const std::string kAnonymous;  // the owner of a job that came without a key

enum class Access : bool { kKeyed, kPublic };

// A configuration with a batch route and a live route.
std::string configuration(std::uint64_t generation, Access access, const std::string& tenants) {
  const std::string route = std::string("\"hostname\":\"h\",\"service\":\"s\",\"timeout_ms\":4000,") +
                            "\"public\":" + (access == Access::kPublic ? "true" : "false");
  return "{\"generation\":" + std::to_string(generation) + ",\"services\":[{\"name\":\"s\"}],\"routes\":[" +
         "{\"name\":\"jobs\",\"path_prefix\":\"/jobs/\",\"route_class\":\"batch\"," + route + "}," +
         "{\"name\":\"live\",\"path_prefix\":\"/live/\",\"route_class\":\"idempotent\"," + route + "}]" +
         tenants + "}";
}

HeaderList headers_of(const std::string& key, const std::string& id) {
  HeaderList out = {{"X-Request-Id", id}};
  if (!key.empty()) out.emplace_back("X-Api-Key", key);
  return out;
}

int submit(EdgeNode& node, const std::string& key, const std::string& id) {
  const std::string body =
      "{\"requests\":[{\"id\":\"i\",\"path\":\"/jobs/"
      "1\",\"headers\":{},\"body\":\"aGVsbG8=\",\"tokens\":1}]}";
  return node.send("POST", "/jobs/x", headers_of(key, id), body)->status;
}

int read(EdgeNode& node, const std::string& key, const std::string& id) {
  return node.send("GET", "/nettlestand/lots/" + id + "?start_after=0", headers_of(key, id), "")->status;
}

std::pair<std::string, std::string> job(const std::string& owner, const std::string& id) {
  return {owner, id};
}

}  // namespace

// Guards against: jobs on a batch route that a change has made public are accepted and run, and can't be
// read.
TEST_CASE("a job on a public batch route belongs to the tenant whose key it came with") {
  EdgeNode node({});
  node.configure(1, configuration(1, Access::kPublic, kTenants));
  REQUIRE(submit(node, "k-desk", "j") == kAccepted);
  CHECK(node.jobs().contains(job("desk", "j")));
  CHECK(read(node, "k-desk", "j") == kOk);
  CHECK(read(node, "k-desk-2", "j") == kOk);
  CHECK(read(node, "k-hall", "j") == kNotFound);
  CHECK(read(node, "k-unknown", "j") == kUnauthorized);
  CHECK(read(node, "", "j") == kUnauthorized);
}

// Guards against: a job changes hands, or is taken twice, when its route turns public or back.
TEST_CASE("a job keeps its owner while its route becomes public and stops being so") {
  EdgeNode node({});
  node.configure(1, configuration(1, Access::kKeyed, kTenants));
  REQUIRE(submit(node, "k-desk", "before") == kAccepted);
  node.configure(2, configuration(2, Access::kPublic, kTenants));
  CHECK(read(node, "k-desk", "before") == kOk);
  REQUIRE(submit(node, "k-desk", "before") == kAccepted);  // sent again
  REQUIRE(submit(node, "k-desk", "meanwhile") == kAccepted);
  node.configure(3, configuration(3, Access::kKeyed, kTenants));
  CHECK(read(node, "k-desk", "meanwhile") == kOk);
  CHECK(node.jobs().size() == 2);
}

// Guards against: a job that is accepted without a key can be read by nobody.
TEST_CASE("a job that came to a public batch route without a key can be read without one") {
  EdgeNode node({});
  node.configure(1, configuration(1, Access::kPublic, kTenants));
  REQUIRE(submit(node, "", "j") == kAccepted);
  CHECK(node.jobs().contains(job(kAnonymous, "j")));
  for (const std::string key : {"", "k-desk", "k-hall"}) {
    INFO("key '" << key << "'");
    CHECK(read(node, key, "j") == kOk);
    CHECK(node.send("GET", "/nettlestand/items/j?id=i", headers_of(key, "j"), "")->status == kOk);
    CHECK(node.send("DELETE", "/nettlestand/lots/j", headers_of(key, "j"), "")->status == kOk);
  }
  CHECK(read(node, "", "no-job") == kUnauthorized);
  CHECK(read(node, "k-desk", "no-job") == kNotFound);
}

// Guards against: a job is accepted with a key that can never read it, or is taken a second time once the key
// is known everywhere.
TEST_CASE("a job with a key that no tenant holds is not accepted on a public batch route") {
  EdgeNode node({});
  node.configure(1, configuration(1, Access::kPublic, kTenants));
  CHECK(submit(node, "k-unknown", "j") == kUnauthorized);
  CHECK(node.jobs().empty());
}

// Guards against: jobs of a time without tenants are lost when tenants are introduced.
TEST_CASE("a job from before there were tenants can still be read") {
  EdgeNode node({});
  node.configure(1, configuration(1, Access::kKeyed, kNoTenants));
  REQUIRE(submit(node, "", "j") == kAccepted);
  node.configure(2, configuration(2, Access::kKeyed, kTenants));
  CHECK(read(node, "k-desk", "j") == kOk);
  CHECK(read(node, "", "j") == kOk);
}

// Guards against: a tenant's job is shown to a caller without a key.
TEST_CASE("a tenant's job stays its own when no tenants are configured any more, and is there again after") {
  const bool last_was_removed = GENERATE(false, true);  // false: the configuration has no `tenants`
  INFO("last tenant removed " << last_was_removed);
  EdgeNode node({});
  node.configure(1, configuration(1, Access::kKeyed, kTenants));
  REQUIRE(submit(node, "k-desk", "j") == kAccepted);
  node.configure(2, configuration(2, Access::kKeyed, last_was_removed ? kEmptyTenants : kNoTenants));
  const int refused = last_was_removed ? kUnauthorized : kNotFound;
  CHECK(read(node, "", "j") == refused);
  CHECK(read(node, "k-desk", "j") == refused);
  node.configure(3, configuration(3, Access::kKeyed, kTenants));
  CHECK(read(node, "k-desk", "j") == kOk);
  CHECK(read(node, "k-hall", "j") == kNotFound);
}

// Guards against: a server is not told the tenant of a request because the route asks for no key.
TEST_CASE("a request to a public route is its tenant's if it has a key") {
  std::string tenant_header;
  const ScriptedServer server([&](int fd, int, const std::string& request) {
    const std::string name = "X-Tenant: ";
    const std::size_t at = request.find(name);
    tenant_header = at == std::string::npos
                        ? "none"
                        : request.substr(at + name.size(), request.find("\r\n", at) - at - name.size());
    send_all(fd, http_response(request_id_of(request), "done", "X-Response-Signature: s\r\n"));
    return true;
  });
  EdgeNode node({&server});
  node.configure(1, configuration(1, Access::kPublic, kTenants));
  const auto ask = [&](const std::string& key, const std::string& id) {
    return node.send("POST", "/live/x", headers_of(key, id), "hello")->status;
  };
  CHECK(ask("k-desk", "r1") == kOk);
  CHECK(tenant_header == "desk");
  CHECK(ask("", "r2") == kOk);
  CHECK(tenant_header == "none");
  CHECK(ask("k-unknown", "r3") == kOk);
  CHECK(tenant_header == "none");
}
