// The configuration changes: the batch route becomes public. Jobs that are taken from then on can't be read.
#include "harness.h"

using namespace review;

int main() {
  Tier tier({});
  tier.start_all();
  const std::string tenant =
      "{\"name\":\"desk\",\"api_keys\":[\"key-desk\"],\"priority\":1,\"rate_per_s\":100,"
      "\"burst\":100}";
  if (tier.order("/nettlestand/config/replace", 0, configuration(2, tenant), 20000) != 200 ||
      !tier.wait_ready(20000))
    cannot_run("no first configuration");
  // The same change twice over: with the disruption, `public` of the batch route is set.
  std::string changed = configuration(4, tenant);
  const std::size_t at = changed.find("\"public\":false", changed.find("\"name\":\"sweep\""));
  if (trouble()) changed.replace(at, 14, "\"public\":true");
  const int status = tier.order("/nettlestand/config/replace", 2, changed, 10000);
  note("change of the configuration: " + std::to_string(status));
  if (status != 200) cannot_run("the change isn't taken");
  sleep_ms(3000);  // over config_apply_ms
  int taken = 0, unreadable = 0;
  for (int n = 0; n < 4; ++n) {
    const std::string id = "job-" + std::to_string(n);
    const Headers headers = {{"Host", "a.example"}, {"X-Api-Key", "key-desk"}, {"X-Request-Id", id}};
    std::string body = "{\"requests\":[";
    for (int i = 0; i < 5; ++i) {
      body +=
          std::string(i > 0 ? "," : "") + "{\"id\":\"" + id + "-" + std::to_string(i) +
          "\",\"path\":\"/sweep/1\",\"headers\":{\"X-Model\":\"m\"},\"body\":\"aGVsbG8=\",\"tokens\":100}";
    }
    const Answer submitted = call(tier.front(n), "POST", "/sweep/x", headers, body + "]}", 4000);
    note("submit " + id + " at " + tier.name(n) + ": " + std::to_string(submitted.status));
    if (submitted.status != 202) continue;
    ++taken;
    sleep_ms(2000);  // over settle_ms
    bool found = false;
    for (int i = 0; i < 20 && !found; ++i) {
      const int node = i % tier.edges();
      const Answer read =
          call(tier.front(node), "GET", "/nettlestand/lots/" + id + "?start_after=0", headers, "", 3000);
      note("read " + id + " at " + tier.name(node) + ": " + std::to_string(read.status) + " " + read.body);
      found = read.status == 200;
      if (!found) sleep_ms(250);
    }
    if (!found) ++unreadable;
  }
  if (taken == 0) cannot_run("no job is taken");
  return verdict(unreadable > 0, std::to_string(unreadable) + " of " + std::to_string(taken) +
                                     " accepted jobs are answered with no result and no 200");
}
