// A store process is killed for 2.8 s after batch jobs with long texts are done. The jobs' shards stay without
// a second copy for ever: what was read can't be read again, and new jobs are refused.
#include <algorithm>

#include "harness.h"

using namespace review;

namespace {

constexpr int kTenants = 6;
constexpr int kItems = 200;  // PROTOCOL.md: at most 200
constexpr int kEvents = 134, kEventBytes = 510;  // the largest of `recall-triage` in the site file
constexpr long kDownMs = 2800;                   // the largest of node_kill on stores in the site file
constexpr long kRecoverMs = 12000;

Headers headers_of(int tenant, const std::string& id) {
  return {{"Host", "a.example"}, {"X-Api-Key", "k" + std::to_string(tenant)}, {"X-Request-Id", id}};
}

std::string job_of(const std::string& id, int items) {
  std::string out = "{\"requests\":[";
  for (int i = 0; i < items; ++i) {
    out += std::string(i > 0 ? "," : "") + "{\"id\":\"" + id + "-" + std::to_string(i) + "\",\"path\":\"/sweep/" +
           id + "\",\"headers\":{\"X-Model\":\"m\"},\"body\":\"aGVsbG8=\",\"tokens\":3600}";
  }
  return out + "]}";
}

// As the pages' client: after a refusal, a failure or silence the same batch job goes to another node.
int submit(const Tier& tier, int tenant, const std::string& id, int items, long limit_ms) {
  int status = 0;
  const long until = now_ms() + limit_ms;
  for (int i = tenant; status != 202 && now_ms() < until; ++i) {
    status = call(tier.front(i % tier.edges()), "POST", "/sweep/x", headers_of(tenant, id), job_of(id, items),
                  3500)
                 .status;
    note("submit " + id + ": " + std::to_string(status));
    if (status != 202) sleep_ms(500);
  }
  return status;
}

// Reads from the start until all results are there; how many were.
int read_all(const Tier& tier, int tenant, const std::string& id, int items, long limit_ms) {
  int position = 0, last = 0;
  const long until = now_ms() + limit_ms;
  for (int i = tenant; position < items && now_ms() < until; ++i) {
    const Answer answer =
        call(tier.front(i % tier.edges()), "GET", "/nettlestand/lots/" + id + "?start_after=" +
             std::to_string(position), headers_of(tenant, "q"), "", 3000);
    last = answer.status;
    const std::size_t at = answer.body.find("\"next_token\":");
    if (answer.status == 200 && at != std::string::npos) position = std::atoi(answer.body.c_str() + at + 13);
    if (answer.status != 200) sleep_ms(300);
  }
  note("read " + id + ": " + std::to_string(position) + " of " + std::to_string(items) +
       " results, last answer " + std::to_string(last));
  return position;
}

}  // namespace

int main() {
  Tier tier({});
  tier.set_quiet(true);
  std::string text;
  for (int event = 1; event <= kEvents; ++event)
    text += "id: " + std::to_string(event) + "\ndata: " + std::string(kEventBytes, 'x') + "\n\n";
  tier.set_special([&text](const Request& request) -> std::string {
    if (!request.target.starts_with("/sweep/long")) return {};
    const std::string id = request.header("X-Request-Id"), last = request.header("Last-Event-Id");
    const std::size_t from =
        last.empty() ? 0 : text.find("id: " + std::to_string(std::atoi(last.c_str()) + 1) + "\n");
    return answer_bytes(200,
                        {{"X-Request-Id", id},
                         {"X-Response-Signature", "s." + id},
                         {"Content-Type", "text/event-stream"},
                         {"X-Server-Load", "1,0,96"}},
                        from == std::string::npos ? "" : text.substr(from));
  });
  tier.start_all();
  std::string tenants;
  for (int t = 0; t < kTenants; ++t) {
    const std::string n = std::to_string(t);
    tenants += std::string(t > 0 ? "," : "") + "{\"name\":\"t" + n + "\",\"api_keys\":[\"k" + n +
               "\"],\"priority\":1,\"rate_per_s\":100,\"burst\":100}";
  }
  if (tier.order("/nettlestand/config/replace", 0, configuration(2, tenants), 20000) != 200 ||
      !tier.wait_ready(20000))
    cannot_run("no first configuration");
  for (int t = 0; t < kTenants; ++t) {
    const std::string id = "long-" + std::to_string(t);
    if (submit(tier, t, id, kItems, 10000) != 202) cannot_run("a job isn't taken");
    if (read_all(tier, t, id, kItems, 10000) != kItems) cannot_run("a job isn't done");
  }
  if (trouble()) {
    const int store = tier.store(1);
    tier.kill(store);
    note("SIGKILL to " + tier.name(store));
    sleep_ms(kDownMs);
    tier.start(store, false);
    note(tier.name(store) + " is back, with its disk");
  }
  sleep_ms(kRecoverMs);
  std::vector<int> found(kTenants), taken(kTenants), done(kTenants);
  std::vector<std::thread> clients;
  for (int t = 0; t < kTenants; ++t) {
    clients.emplace_back([&, t] {
      const auto at = static_cast<std::size_t>(t);
      const std::string n = std::to_string(t);
      found[at] = read_all(tier, t, "long-" + n, kItems, 25000);
      taken[at] = submit(tier, t, "short-" + n, 3, 15000);
      if (taken[at] == 202) done[at] = read_all(tier, t, "short-" + n, 3, 10000);
    });
  }
  for (std::thread& client : clients) client.join();
  int lost = 0, refused = 0;
  for (std::size_t t = 0; t < kTenants; ++t) {
    if (found[t] < kItems) ++lost;
    if (taken[t] != 202 || done[t] < 3) ++refused;
  }
  return verdict(lost > 0, std::to_string(lost) + " of " + std::to_string(kTenants) +
                               " jobs whose results had been read can't be read any more; " +
                               std::to_string(refused) + " tenants get no new job taken and done");
}
