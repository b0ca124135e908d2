// Which route an item of a batch job runs on, and which jobs an edge node takes.
#include "batch/item_route.h"

#include <catch2/catch.hpp>
#include <string>

#include "edge_node.h"

using namespace nettlestand::tier;

namespace {

constexpr int kAccepted = 202, kBadRequest = 400;

std::string route_json(const std::string& name, const std::string& prefix, const std::string& route_class) {
  return "{\"name\":\"" + name + "\",\"hostname\":\"h\",\"path_prefix\":\"" + prefix +
         "\",\"service\":\"s\",\"timeout_ms\":4000,\"route_class\":\"" + route_class + "\"}";
}

// A batch route with a live route and another batch route below it.
std::string configuration_json() {
  return "{\"generation\":1,\"services\":[{\"name\":\"s\"}],\"routes\":[" +
         route_json("jobs", "/jobs/", "batch") + "," + route_json("live", "/jobs/live/", "idempotent") + "," +
         route_json("night", "/jobs/night/", "batch") + "]}";
}

JobItem item_with(const std::string& path) {
  JobItem out{};
  out.path = path;
  return out;
}

int submit(EdgeNode& node, const std::string& path) {
  const std::string items =
      "{\"id\":\"a\",\"path\":\"/jobs/1\",\"headers\":{},\"body\":\"\",\"tokens\":1},"
      "{\"id\":\"b\",\"path\":\"" +
      path + "\",\"headers\":{},\"body\":\"\",\"tokens\":1}";
  return node.send("POST", "/jobs/x", {{"X-Request-Id", "j"}}, "{\"requests\":[" + items + "]}")->status;
}

}  // namespace

TEST_CASE("an item runs on the batch route to which its host and path lead, if it is that of its job") {
  const auto configuration = Configuration::parse(configuration_json());
  REQUIRE(configuration.ok());
  JobSpec job{};
  job.route = "jobs";
  job.host = "h";
  const auto leads_to_job = [&](const std::string& path) {
    return route_of_item(**configuration, job, item_with(path)) != nullptr;
  };
  CHECK(leads_to_job("/jobs/1"));
  CHECK(leads_to_job("/jobs/1?q=/jobs/live/"));
  CHECK(leads_to_job("/jobs/live"));
  CHECK_FALSE(leads_to_job("/jobs/live/1"));
  CHECK_FALSE(leads_to_job("/jobs/night/1"));
  CHECK_FALSE(leads_to_job("/else/1"));
  job.route = "live";
  CHECK_FALSE(leads_to_job("/jobs/live/1"));
  job.route = "night";
  CHECK(leads_to_job("/jobs/night/1"));
  job.host = "another-host";
  CHECK_FALSE(leads_to_job("/jobs/night/1"));
}

// Guards against: an item runs at its job's service although its path leads to no service or to another one.
TEST_CASE("a job with an item that is not under its route is refused as a whole") {
  EdgeNode node({});
  node.configure(1, configuration_json());
  CHECK(submit(node, "/else/1") == kBadRequest);
  CHECK(submit(node, "/jobs/live/1") == kBadRequest);
  CHECK(submit(node, "/jobs/night/1") == kBadRequest);
  CHECK(node.jobs().empty());
  CHECK(submit(node, "/jobs/2") == kAccepted);
}
