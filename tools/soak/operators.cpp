#include "soak/operators.h"

#include <chrono>
#include <thread>

#include "soak/clients.h"

namespace nettlestand::tier::soak {
namespace {

constexpr Millis kBeginMs = 20000;
constexpr Millis kCalmMs = 20000;   // for a change once all is calm
constexpr Millis kOrderMs = 60000;  // for one amid trouble, with the core lost and back
constexpr std::uint64_t kMostPauseMs = 2500;
constexpr Millis kAgainMs = 50;
constexpr int kOk = 200, kBadRequest = 400, kConflict = 412;

std::string route(const std::string& name, const std::string& more) {
  return "{\"name\":\"" + name + "\",\"hostname\":\"" + kHost + "\",\"path_prefix\":\"/" + name +
         "/\",\"service\":\"models\",\"timeout_ms\":4000,\"target_latency_ms\":300," + more + "}";
}

}  // namespace

std::string Operator::configuration() const {
  const std::string passing = has_passing_key_ ? std::string(",\"") + kPassingKey + "\"" : "";
  return "{\"generation\":" + std::to_string(version_) + ",\"routes\":[" +
         route("once", "\"route_class\":\"streaming\",\"max_attempts\":1") + "," +
         route("resume",
               "\"route_class\":\"streaming\",\"max_attempts\":2,\"resumable\":true,\"gap_aim_ms\":150") +
         "," + route("again", "\"route_class\":\"idempotent\",\"max_attempts\":2") + "," +
         route("jobs", "\"route_class\":\"batch\",\"max_attempts\":1000,\"max_wait_s\":600") +
         "],\"services\":[{\"name\":\"models\"}],\"tenants\":[{\"name\":\"" + kTenant +
         "\",\"api_keys\":[\"" + kLastingKey + "\"" + passing + "]}]}";
}

// The same order goes to one node after the other until it is taken. There is no other operator, so that it
// may never be refused.
bool Operator::change(Millis patience, bool until_stopped) {
  const std::uint64_t base = version_;
  version_ += version_ == 0 ? 2 : 1 + random_() % 3;
  const std::string body = configuration();
  const HeaderList headers = {{"Host", "x"}, {"X-Base-Version", std::to_string(base)}};
  const Millis until = steady_now() + patience;
  while (steady_now() < until && !(until_stopped && stopping_)) {
    const int status =
        world_.control(any_edge(), "POST", "/nettlestand/config/replace", headers, body).status;
    if (status == kOk) {
      ++changes_;
      return true;
    }
    if (status == kConflict || status == kBadRequest) {
      ledger_.fail("CONFIG: the only operator's valid change got " + std::to_string(status));
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kAgainMs));
  }
  // Left open: what follows builds on the version that stands, which may be either.
  version_ = base;
  return false;
}

bool Operator::begin() { return change(kBeginMs, false); }

void Operator::run() {
  while (!stopping_) {
    const std::uint64_t before = version_;
    has_passing_key_ = !has_passing_key_;
    if (!change(kOrderMs, true) && version_ == before) return;  // stopped, with its outcome open
    std::this_thread::sleep_for(std::chrono::milliseconds(random_() % kMostPauseMs));
  }
}

void Operator::finish() {
  const Millis until = steady_now() + kCalmMs;
  while (steady_now() < until) {
    const standins::HttpResult read =
        world_.control(any_edge(), "GET", "/nettlestand/config/read", {{"Host", "x"}}, "");
    if (read.status != kOk) continue;
    const std::string name = "\"generation\":";
    const std::size_t at = read.body.find(name);
    const std::uint64_t found = at == std::string::npos ? 0 : std::stoull(read.body.substr(at + name.size()));
    if (found < version_) return ledger_.fail("LOST: an acknowledged change is not there once all is calm");
    version_ = found;
    if (!change(kCalmMs, false)) ledger_.fail("CONFIG: a change is not taken once all is calm");
    return;
  }
  ledger_.fail("CONFIG: the configuration can't be read once all is calm");
}

}  // namespace nettlestand::tier::soak
