// A small tier of real processes with a configuration, and the requests and jobs that tests send to it.
#pragma once

#include <catch2/catch.hpp>
#include <sstream>
#include <string>

#include "standins/tier/tier_world.h"

namespace nettlestand::tier::standins {

inline constexpr int kTimeoutMs = 20000;
inline constexpr std::size_t kNoNode = 99;

inline std::string route(const std::string& name, const std::string& extra) {
  return "{\"name\":\"" + name + "\",\"hostname\":\"h.example\",\"path_prefix\":\"/" + name +
         "/\",\"service\":\"models\"," + "\"timeout_ms\":4000,\"target_latency_ms\":300," + extra + "}";
}

inline std::string configuration(
    int generation, const std::string& tenants =
                        "{\"name\":\"t\",\"api_keys\":[\"k1\",\"k2\"]},"
                        "{\"name\":\"small\",\"api_keys\":[\"ks\"],\"rate_per_s\":2,\"burst\":2}") {
  return "{\"generation\":" + std::to_string(generation) + ",\"routes\":[" +
         route("once", "\"route_class\":\"streaming\",\"max_attempts\":1") + "," +
         route("resume",
               "\"route_class\":\"streaming\",\"max_attempts\":2,\"resumable\":true,\"gap_aim_ms\":150") +
         "," + route("again", "\"route_class\":\"idempotent\",\"max_attempts\":2") + "," +
         route("jobs",
               "\"route_class\":\"batch\",\"max_attempts\":2,\"max_wait_s\":60,\"max_queued_tokens\":1000") +
         "],\"services\":[{\"name\":\"models\"}],\"tenants\":[" + tenants + "]}";
}

inline HeaderList client_headers(const std::string& key, const std::string& id) {
  return {{"Host", "h.example"}, {"X-Api-Key", key}, {"X-Request-Id", id}, {"X-Deadline-Ms", "4000"}};
}

inline std::string job_json(int items, const std::string& prefix, int tokens = 10) {
  std::string out = "{\"requests\":[";
  for (int i = 0; i < items; ++i) {
    out += std::string(i > 0 ? "," : "") + "{\"id\":\"" + prefix + std::to_string(i) +
           "\",\"path\":\"/jobs/" + std::to_string(i) +
           "\",\"headers\":{\"X-Model\":\"m\"},\"body\":\"aGVsbG8=\",\"tokens\":" + std::to_string(tokens) +
           "}";
  }
  return out + "]}";
}

// A cluster of the tier's processes that has a configuration and is ready.
struct TierFixture {
  TierWorld world;
  explicit TierFixture(const std::string& extra = "") : TierFixture(options(extra)) {}
  explicit TierFixture(const TierOptions& options) : world(options) {
    REQUIRE(world.change_configuration("replace", 0, configuration(2)).status == 200);
    REQUIRE(all_ready());
  }
  static TierOptions options(const std::string& extra) {
    TierOptions out;
    out.program = PROGRAM;
    out.more_settings = extra;
    return out;
  }
  bool all_ready() {
    return until(kTimeoutMs, [&] {
      for (std::size_t i = 0; i < world.edges(); ++i) {
        if (!world.ready(i)) return false;
      }
      return true;
    });
  }
  // The edge node that, by its log, leads the configuration group since it was last started; kNoNode if none
  // does.
  std::size_t leader() {
    std::size_t out = kNoNode;
    until(kTimeoutMs, [&] {
      for (std::size_t i = 0; i < 3; ++i) {
        const std::string log = world.log(i);
        const std::size_t started = log.rfind("started node");
        const std::size_t won = log.rfind("leadership won group=0"),
                          lost = log.rfind("leadership lost group=0");
        if (won == std::string::npos || won < started || (lost != std::string::npos && lost > won)) continue;
        out = i;
        return true;
      }
      return false;
    });
    return out;
  }
  // Sends a client's request to a node.
  HttpResult ask(std::size_t node, const std::string& route, const std::string& id,
                 const std::string& key = "k1") {
    return world.client(node, "POST", "/" + route + "/x?y=1", client_headers(key, id), "hello");
  }
  // How many times the servers have received a request.
  std::size_t runs_of(const std::string& id) {
    std::size_t out = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      for (const ReceivedRequest& seen : world.engine(i).received()) out += seen.id == id ? 1 : 0;
    }
    return out;
  }
  // The lines of a node's log that name a request; with the level debug they say why it was refused.
  std::string log_of_request(std::size_t node, const std::string& id) const {
    std::istringstream log(world.log(node));
    std::string out;
    for (std::string line; std::getline(log, line);) {
      if (line.find(" id=" + id + " ") != std::string::npos) out += line + "\n";
    }
    return out;
  }
  // Reads a job's results from the start until all `total` are there, from one node after the other.
  bool read_all(const std::string& job, std::size_t total, std::string& pages) {
    std::size_t node = 0;
    return until(kTimeoutMs, [&] {
      HeaderList headers = client_headers("k2", "read");
      headers.emplace_back("X-Wait-Ms", "300");
      do {
        node = (node + 1) % world.edges();
      } while (!world.ready(node));
      pages = world.client(node, "GET", "/nettlestand/lots/" + job + "?start_after=0", headers, "").body;
      return pages.find("\"next_token\":" + std::to_string(total)) != std::string::npos;
    });
  }
};

}  // namespace nettlestand::tier::standins
