// Demonstrates a small serving tier on loopback: three core edges, one other edge, three stores and three
// engines. Sends requests and a batch job through it, kills the node that leads, and prints the results. Exit
// code 0 if everything was as promised.
#include <filesystem>
#include <iostream>

#include "standins/tier/tier_world.h"

namespace {

using namespace nettlestand::tier;
using namespace nettlestand::tier::standins;

const char* const kConfiguration = R"({"generation":2,"routes":[
  {"name":"ask","hostname":"demo.example","path_prefix":"/ask/","route_class":"streaming","timeout_ms":3000,
   "target_latency_ms":300,"service":"models","max_attempts":2,"resumable":true,"gap_aim_ms":150},
  {"name":"sweep","hostname":"demo.example","path_prefix":"/sweep/","route_class":"batch","timeout_ms":10000,
   "target_latency_ms":400,"completion_target_ms":12000,"max_wait_s":60,"max_attempts":3,"service":"models"}],
  "services":[{"name":"models","health_path":"/health","max_connections":100}],
  "tenants":[{"name":"desk","api_keys":["demo-key"],"rate_per_s":200,"burst":200}]})";

std::string make_job(int items) {
  std::string out = "{\"requests\":[";
  for (int i = 0; i < items; ++i) {
    out += std::string(i > 0 ? "," : "") + "{\"id\":\"item-" + std::to_string(i) + "\",\"path\":\"/sweep/" +
           std::to_string(i) + "\",\"body\":\"aGVsbG8=\",\"tokens\":20}";
  }
  return out + "]}";
}

HeaderList request_headers(const std::string& id) {
  return {
      {"Host", "demo.example"}, {"X-Api-Key", "demo-key"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "3000"}};
}

int count_served(TierWorld& world, int from, int count) {
  int out = 0;
  for (int i = from; i < from + count; ++i) {
    const auto node = static_cast<std::size_t>(i) % world.edges();
    if (world.client(node, "POST", "/ask/x", request_headers("request-" + std::to_string(i)), "hello")
            .status == 200)
      ++out;
  }
  return out;
}

std::size_t leader_of(const TierWorld& world) {
  for (std::size_t i = 0; i < 3; ++i) {
    const std::string log = world.log(i);
    const std::size_t won = log.rfind("leadership won group=0"), lost = log.rfind("leadership lost group=0");
    if (won != std::string::npos && (lost == std::string::npos || lost < won)) return i;
  }
  return 0;
}

bool report(bool ok, const std::string& what) {
  std::cout << (ok ? "ok    " : "WRONG ") << what << std::endl;
  return ok;
}

}  // namespace

int main(int, char** argv) {
  TierOptions options;
  options.program = (std::filesystem::absolute(argv[0]).parent_path() / "nettlestand").string();
  TierWorld world(options);
  std::cout << world.nodes() << " processes, " << options.engines << " engines\n";
  bool good = report(world.change_configuration("replace", 0, kConfiguration).status == 200,
                     "a configuration is accepted");
  good = report(until(15000,
                      [&] {
                        for (std::size_t i = 0; i < world.edges(); ++i) {
                          if (!world.ready(i)) return false;
                        }
                        return true;
                      }),
                "all edges are ready") &&
         good;
  const int first = count_served(world, 0, 40);
  good = report(first == 40, std::to_string(first) + " of 40 streams are served whole") && good;
  const HttpResult job = world.client(3, "POST", "/sweep/x", request_headers("job-1"), make_job(30));
  good = report(job.status == 202, "a batch job of 30 items is accepted") && good;
  const std::size_t leader = leader_of(world);
  world.kill(leader);
  std::cout << "      killed " << world.name(leader) << ", which led the configuration's group\n";
  std::string page;
  good = report(until(15000,
                      [&] {
                        HeaderList read = request_headers("read");
                        read.emplace_back("X-Wait-Ms", "500");
                        page = world.client(3, "GET", "/nettlestand/lots/job-1?start_after=0", read, "").body;
                        return page.find("\"next_token\":30") != std::string::npos;
                      }),
                "all 30 results can be read") &&
         good;
  const std::string change =
      R"({"generation":5,"upsert":{"tenants":[{"name":"desk","api_keys":["demo-key"]}]}})";
  good = report(world.change_configuration("update", 2, change).status == 200,
                "a change is accepted without it") &&
         good;
  world.start(leader);
  good =
      report(until(15000, [&] { return world.ready(leader); }), world.name(leader) + " is back and ready") &&
      good;
  const int second = count_served(world, 100, 40);
  good = report(second == 40, std::to_string(second) + " of 40 streams are served whole") && good;
  return good ? 0 : 1;
}
