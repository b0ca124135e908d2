// Keys are taken away by removing tenants; at last none is left.
#include "harness.h"

using namespace review;

namespace {

std::string tenant(const std::string& name, const std::string& key) {
  return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + key +
         "\"],\"priority\":1,\"rate_per_s\":100,\"burst\":100}";
}

constexpr long kRevokeMs = 5000;

}  // namespace

int main() {
  Tier tier({});
  tier.start_all();
  const std::string first = configuration(2, tenant("hall", "key-hall") + "," + tenant("desk", "key-desk"));
  if (tier.order("/nettlestand/config/replace", 0, first, 20000) != 200 || !tier.wait_ready(20000))
    cannot_run("no first configuration");
  int sent = 0;
  const auto ask = [&](int edge, const std::string& key) {
    const std::string id = "r" + std::to_string(++sent);
    const Answer answer =
        call(tier.front(edge), "POST", "/ask/1",
             {{"Host", "a.example"}, {"X-Api-Key", key}, {"X-Request-Id", id}, {"X-Deadline-Ms", "2500"}},
             "question", 3000);
    const int runs = tier.runs_of(id);
    note("request " + id + " with " + key + " at " + tier.name(edge) + ": " + std::to_string(answer.status) +
         ", runs " + std::to_string(runs));
    return runs;
  };
  int broken = 0;
  for (int edge = 0; edge < tier.edges(); ++edge) {
    if (ask(edge, "key-hall") != 1 || ask(edge, "key-desk") != 1) cannot_run("a sound request isn't served");
    if (ask(edge, "key-never-held") != 0) ++broken;
  }
  std::uint64_t version = 2;
  const auto remove = [&](const std::string& name) {
    const std::string body =
        "{\"generation\":" + std::to_string(version + 1) + ",\"remove\":{\"tenants\":[\"" + name + "\"]}}";
    const int status = tier.order("/nettlestand/config/update", version, body, 10000);
    note("update that removes tenant " + name + ": " + std::to_string(status));
    if (status != 200) cannot_run("the update isn't taken");
    ++version;
    sleep_ms(kRevokeMs + 1000);
  };
  remove("hall");
  for (int edge = 0; edge < tier.edges(); ++edge) {
    if (ask(edge, "key-hall") != 0) ++broken;  // removed over revoke_ms ago
  }
  if (trouble()) {
    remove("desk");
    for (int edge = 0; edge < tier.edges(); ++edge) {
      if (ask(edge, "key-hall") != 0) ++broken;
      if (ask(edge, "key-desk") != 0) ++broken;
      if (ask(edge, "key-never-held") != 0) ++broken;
    }
  }
  return verdict(
      broken > 0,
      std::to_string(broken) + " requests ran with a key that was removed over revoke_ms ago or never held");
}
