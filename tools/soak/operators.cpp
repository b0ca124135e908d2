#include "soak/operators.h"

#include <chrono>
#include <thread>

#include "soak/clients.h"

namespace nettlestand::tier::soak {
namespace {

constexpr Millis kInitialTimeoutMs = 20000;
constexpr Millis kFinalTimeoutMs = 20000;   // after all faults have ended
constexpr Millis kChangeTimeoutMs = 60000;  // during faults, with the core lost and restored
constexpr std::uint64_t kMaxChangeIntervalMs = 2500;
constexpr Millis kRetryDelayMs = 50;
constexpr int kOk = 200, kBadRequest = 400, kUnauthorized = 401, kPreconditionFailed = 412;

std::string route_json(const std::string& name, const std::string& extra_fields) {
  return "{\"name\":\"" + name + "\",\"hostname\":\"" + kHost + "\",\"path_prefix\":\"/" + name +
         "/\",\"service\":\"models\",\"timeout_ms\":4000,\"target_latency_ms\":300," + extra_fields + "}";
}

}  // namespace

std::string Operator::configuration_json() const {
  const std::string temporary_key = has_temporary_key_ ? std::string(",\"") + kTemporaryKey + "\"" : "";
  return "{\"generation\":" + std::to_string(version_) + ",\"routes\":[" +
         route_json("once", "\"route_class\":\"streaming\",\"max_attempts\":1") + "," +
         route_json(
             "resume",
             "\"route_class\":\"streaming\",\"max_attempts\":2,\"resumable\":true,\"gap_aim_ms\":150") +
         "," + route_json("again", "\"route_class\":\"idempotent\",\"max_attempts\":2") + "," +
         route_json(
             "jobs",
             std::string("\"route_class\":\"batch\",\"max_attempts\":1000,\"max_wait_s\":600,\"public\":") +
                 (has_public_jobs_ ? "true" : "false")) +
         "],\"services\":[{\"name\":\"models\"}],\"tenants\":[{\"name\":\"" + kTenant +
         "\",\"api_keys\":[\"" + kPermanentKey + "\"" + temporary_key + "]}]}";
}

int Operator::send_change(const std::string& action, std::uint64_t base, const std::string& body,
                          Millis deadline, bool abort_when_stopping) {
  const HeaderList headers = {{"Host", "x"}, {"X-Base-Version", std::to_string(base)}};
  int status = 0;
  while (steady_now() < deadline && !(abort_when_stopping && stopping_)) {
    status = world_.control(random_edge(), "POST", "/nettlestand/config/" + action, headers, body).status;
    if (status == kOk || status == kPreconditionFailed || status == kBadRequest) return status;
    std::this_thread::sleep_for(std::chrono::milliseconds(kRetryDelayMs));
  }
  return status;
}

// There is no other operator, so a change must never be rejected.
bool Operator::submit_change(Millis timeout, bool abort_when_stopping) {
  const std::uint64_t base = version_;
  version_ += version_ == 0 ? 2 : 1 + random_() % 3;
  const int status =
      send_change("replace", base, configuration_json(), steady_now() + timeout, abort_when_stopping);
  if (status == kOk) {
    ++changes_;
    return true;
  }
  if (status == kPreconditionFailed || status == kBadRequest) {
    oracle_.report_violation("CONFIG: a valid change of the only operator was rejected with status " +
                             std::to_string(status));
    return false;
  }
  // The outcome is unknown: the following changes are based on the current version, which may be either one.
  version_ = base;
  return false;
}

bool Operator::submit_initial_configuration() { return submit_change(kInitialTimeoutMs, false); }

void Operator::run() {
  while (!stopping_) {
    const std::uint64_t before = version_;
    has_temporary_key_ = !has_temporary_key_;
    has_public_jobs_ = random_() % 2 == 0;
    if (!submit_change(kChangeTimeoutMs, true) && version_ == before)
      return;  // stopped with an unknown outcome
    std::this_thread::sleep_for(std::chrono::milliseconds(random_() % kMaxChangeIntervalMs));
  }
}

void Operator::check_final_configuration() {
  const Millis deadline = steady_now() + kFinalTimeoutMs;
  while (steady_now() < deadline) {
    const standins::HttpResult read =
        world_.control(random_edge(), "GET", "/nettlestand/config/read", {{"Host", "x"}}, "");
    if (read.status != kOk) continue;
    const std::string name = "\"generation\":";
    const std::size_t at = read.body.find(name);
    const std::uint64_t found = at == std::string::npos ? 0 : std::stoull(read.body.substr(at + name.size()));
    if (found < version_)
      return oracle_.report_violation("LOST: an acknowledged change is missing after the faults have ended");
    version_ = found;
    if (!submit_change(kFinalTimeoutMs, false))
      oracle_.report_violation("CONFIG: a change is not accepted after the faults have ended");
    return;
  }
  oracle_.report_violation("CONFIG: the configuration can't be read after the faults have ended");
}

bool Operator::is_rejected_everywhere(const std::string& key) const {
  for (std::size_t edge = 0; edge < world_.edges(); ++edge) {
    const HeaderList headers = {{"Host", kHost},
                                {"X-Api-Key", key},
                                {"X-Request-Id", "after-the-last-tenant"},
                                {"X-Deadline-Ms", "1000"}};
    if (world_.client(edge, "POST", "/again/x", headers, "").status != kUnauthorized) return false;
  }
  return true;
}

void Operator::check_without_tenants() {
  const std::string body =
      "{\"generation\":" + std::to_string(version_ + 1) + ",\"remove\":{\"tenants\":[\"" + kTenant + "\"]}}";
  const Millis deadline = steady_now() + kFinalTimeoutMs;
  if (send_change("update", version_, body, deadline, false) != kOk)
    return oracle_.report_violation("CONFIG: the removal of the last tenant is not accepted");
  for (const char* const key : {kPermanentKey, kTemporaryKey, "k-never-held"}) {
    bool rejected = false;
    while (!rejected && steady_now() < deadline) rejected = is_rejected_everywhere(key);
    if (!rejected) oracle_.report_violation(std::string("CONFIG: a key is good without a tenant: ") + key);
  }
}

}  // namespace nettlestand::tier::soak
