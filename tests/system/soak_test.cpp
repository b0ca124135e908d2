// A short soak test with fixed seeds, and tests of its oracle. Long soak tests are run by hand with
// nettlestand-soak.
#include "soak/soak.h"

#include <signal.h>
#include <sys/mman.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <new>

#include "standins/tier/tier_world.h"

using namespace nettlestand::tier;
using namespace nettlestand::tier::soak;

namespace {

constexpr int kSoakSeconds = 20;
constexpr Millis kSentAt = 1000, kRunAt = 1500, kEndedAt = 2000;
constexpr std::uint64_t kPlannedSeed = 2, kUnplannedSeed = 3;

LiveRequest live_request(const std::string& id, bool idempotent, int status) {
  LiveRequest out;
  out.id = id;
  out.target = "/x";
  out.body = "body";
  out.tenant = "t";
  out.idempotent = idempotent;
  out.sent_at = kSentAt;
  out.outcome.status = status;
  out.outcome.response_complete = status != 0;
  out.outcome.request_sent = true;
  out.outcome.ended_at = kEndedAt;
  return out;
}

// A run of that request, as the server recorded it.
standins::ReceivedRequest seen_request(const std::string& id) {
  standins::ReceivedRequest out;
  out.id = id;
  out.target = "/x";
  out.body = "body";
  out.tenant = "t";
  out.received_at = kRunAt;
  return out;
}

// The violations that the oracle reports for one request and its runs.
std::vector<std::string> violations_of(const LiveRequest& sent,
                                       const std::vector<standins::ReceivedRequest>& runs) {
  Oracle oracle;
  oracle.on_sent(sent);
  oracle.check(runs);
  return oracle.violations();
}

}  // namespace

namespace {

// A counter in memory that is shared with child processes.
std::atomic<int>* shared_counter() {
  void* memory =
      ::mmap(nullptr, sizeof(std::atomic<int>), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
  REQUIRE(memory != MAP_FAILED);
  return new (memory) std::atomic<int>(0);
}
std::atomic<int>* handler_calls = nullptr;
void count_call(int) { ++*handler_calls; }

}  // namespace

// Catch2 installs a SIGTERM handler that allocates and prints. A child process that received SIGTERM between
// fork and exec ran this handler, and deadlocked on locks that other threads of the parent had held at the
// fork.
TEST_CASE("a process that is told to end before it is executed runs none of its parent's handlers") {
  constexpr int kStarts = 100, kEndedBySignal = -1;
  handler_calls = shared_counter();
  struct sigaction counting {
  }, before{};
  counting.sa_handler = count_call;
  REQUIRE(::sigaction(SIGTERM, &counting, &before) == 0);
  standins::TierOptions options;
  options.program = PROGRAM;
  {
    standins::TierWorld world(options);
    world.kill(0);  // it was started by the constructor
    for (int i = 0; i < kStarts; ++i) {
      world.start(0, false);
      world.terminate(0);
      const int code = world.exit_code(0);
      CHECK((code == 0 || code == kEndedBySignal));
    }
  }
  REQUIRE(::sigaction(SIGTERM, &before, nullptr) == 0);
  CHECK(*handler_calls == 0);
}

TEST_CASE("signals, restarts and changes that overlap break no promise to clients with open connections") {
  SoakOptions options;
  options.program = PROGRAM;
  options.seconds = kSoakSeconds;
  options.seed = GENERATE(kPlannedSeed, kUnplannedSeed);
  const SoakReport report = run_soak(options);
  std::string broken;
  for (const std::string& line : report.violations) broken += line + "\n";
  INFO("seed " << options.seed << "\n" << broken);
  CHECK(report.violations.empty());
  // It did a minimum of work.
  CHECK(report.totals.served > 500);
  CHECK(report.totals.results > 50);
  CHECK(report.signals > 5);
}

TEST_CASE("the oracle of the soak sees each broken promise, and none that was kept") {
  const LiveRequest kept = live_request("a", false, 200);
  CHECK(violations_of(kept, {seen_request("a")}).empty());
  CHECK(violations_of(live_request("a", true, 200), {seen_request("a"), seen_request("a")}).empty());
  CHECK(violations_of(kept, {seen_request("a"), seen_request("a")}).size() == 1);         // TWICE
  CHECK(violations_of(kept, {seen_request("a"), seen_request("nobody's")}).size() == 1);  // UNASKED
  CHECK(violations_of(live_request("a", false, 503), {seen_request("a")}).size() == 1);   // REFUSED
  CHECK(violations_of(live_request("a", false, 0), {seen_request("a")}).size() == 1);     // LOST
  CHECK(violations_of(live_request("a", false, 0), {}).size() == 1);  // LOST, read and not forwarded
  standins::ReceivedRequest changed = seen_request("a");
  changed.body = "";
  CHECK(violations_of(kept, {changed}).size() == 1);
  changed = seen_request("a");
  changed.api_key = "key";
  CHECK(violations_of(kept, {changed}).size() == 1);
}

TEST_CASE("a run belongs to the attempt before it, and a refusal to the attempt that it answers") {
  const auto violations_with_runs = [](bool idempotent, const std::vector<Millis>& runs, bool from_server) {
    Oracle oracle;
    oracle.on_sent(live_request("a", idempotent, 0));
    RequestOutcome refusal;
    refusal.status = 503;
    refusal.response_complete = refusal.request_sent = true;
    refusal.from_server = from_server;
    refusal.ended_at = kEndedAt;
    oracle.on_outcome("a", refusal);
    oracle.on_retry("a", 1, kEndedAt);
    RequestOutcome served = refusal;
    served.status = 200;
    oracle.on_outcome("a", served);
    std::vector<standins::ReceivedRequest> seen(runs.size(), seen_request("a"));
    for (std::size_t i = 0; i < runs.size(); ++i) seen[i].received_at = runs[i];
    oracle.check(seen);
    return oracle.violations().size();
  };
  CHECK(violations_with_runs(false, {kEndedAt + 1}, false) == 0);
  CHECK(violations_with_runs(false, {kRunAt}, false) == 1);                // REFUSED
  CHECK(violations_with_runs(false, {kRunAt}, true) == 1);                 // REFUSED, by whomever
  CHECK(violations_with_runs(false, {kRunAt, kEndedAt + 1}, false) == 2);  // and TWICE
  CHECK(violations_with_runs(false, {kEndedAt + 1, kEndedAt + 2}, false) == 1);
  CHECK(violations_with_runs(true, {kRunAt, kEndedAt + 1}, false) == 1);
  CHECK(violations_with_runs(true, {kRunAt, kEndedAt + 1}, true) == 0);  // the server's own word
}

TEST_CASE("a loss beside unplanned trouble, or at the close of a connection, is not owed") {
  const auto violations_beside_fault = [](const LiveRequest& sent, Millis from, Millis until) {
    Oracle oracle;
    oracle.on_sent(sent);
    oracle.on_node_fault(sent.node, from, until);
    oracle.check({seen_request(sent.id)});
    return oracle.violations().size();
  };
  const LiveRequest lost = live_request("a", false, 0);
  CHECK(violations_beside_fault(lost, 1500, 1600) == 0);
  CHECK(violations_beside_fault(lost, 2100, 2200) == 1);
  LiveRequest crossed = lost;
  crossed.outcome.ended_at = crossed.sent_at + 100;
  CHECK(violations_of(crossed, {}).empty());
  CHECK(violations_of(crossed, {seen_request("a")}).size() == 1);
}

TEST_CASE("results of jobs are compared with what was submitted and with what was read before") {
  Oracle oracle;
  oracle.set_expected_result("whole");
  SubmittedJob job;
  job.id = "j";
  job.tenant = "t";
  job.bodies = {{"j-0", "body"}, {"j-1", "body"}};
  oracle.on_job(job);
  oracle.on_job_submitted("j", true, false);
  oracle.on_result_page("j", {"j-0"}, {"whole"});
  oracle.on_result_page("j", {"j-0", "j-1"}, {"whole", "whole"});
  CHECK(oracle.violations().empty());
  CHECK(oracle.unfinished_jobs().empty());
  SECTION("another result at a position") { oracle.on_result_page("j", {"j-1"}, {"whole"}); }
  SECTION("an item twice") { oracle.on_result_page("j", {"j-0", "j-1", "j-0"}, {"whole", "whole", "whole"}); }
  SECTION("a text that is not whole") { oracle.on_result_page("j", {"j-0"}, {"whol"}); }
  SECTION("a job that is gone") { oracle.on_job_missing("j"); }
  SECTION("an item of which the body has changed") {
    standins::ReceivedRequest run = seen_request("j-0");
    run.body = "";
    oracle.check({run});
  }
  CHECK(oracle.violations().size() == 1);
}
