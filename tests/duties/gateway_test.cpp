// Duties held by gateways, as applications see them, with a voter in the test process.
#include "nettlestand/gateway.h"

#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include "cluster.h"
#include "duties/voter_service.h"
#include "standins/common/loop.h"
#include "standins/servers/server.h"

namespace nettlestand {
namespace {

// A single voter that listens on a port chosen by the kernel.
struct SingleVoter {
  SingleVoter() {
    duties::VoterOptions options;
    options.voter.self = {"v0", 1, "", ""};
    options.voter.raft.election_timeout_ms = 200;
    options.voter.raft.heartbeat_interval_ms = 40;
    options.listen = {boost::asio::ip::make_address("127.0.0.1"), 0};
    options.open_store = [] {
      auto store = std::make_unique<duties::testing::MemoryStore>(1000);
      duties::RaftReplica::bootstrap(*store, "v0");
      return store;
    };
    service.emplace(io, options, [](const LogEvent&) {});
    service->start();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(service->address().port()); }
  boost::asio::io_context io;
  std::optional<duties::VoterService> service;
};

// Records the changes that a gateway reports and lets the test wait for them.
struct ChangeRecorder {
  void add(const DutyChange& c) {
    const std::lock_guard lock(mutex);
    changes.push_back(c);
    changed.notify_all();
  }
  bool wait(const std::function<bool(const std::vector<DutyChange>&)>& predicate) {
    std::unique_lock lock(mutex);
    return changed.wait_for(lock, std::chrono::seconds(20), [&] { return predicate(changes); });
  }
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<DutyChange> changes;
};

// A gateway with one server and the duty "nightly", whose lease is 600 ms.
Options gateway_options(const SingleVoter& voter, const std::string& name, ChangeRecorder& change_recorder,
                        const std::string& server) {
  Options options;
  ClassOptions safe;
  safe.name = "safe";
  safe.effect = Effect::kSafe;
  options.classes = {safe};
  ServerOptions server_options;
  server_options.name = "s0";
  server_options.address = server;
  options.servers = {server_options};
  DutiesOptions duties_options;
  duties_options.name = name;
  duties_options.voters = {{"v0", voter.address()}};
  DutyOptions duty;
  duty.name = "nightly";
  duty.lease = std::chrono::milliseconds(600);
  duty.changed = [&change_recorder](const DutyChange& c) { change_recorder.add(c); };
  duties_options.duties = {duty};
  options.duties = duties_options;
  return options;
}

Response submit_and_wait(Gateway& gateway, const std::string& duty) {
  std::mutex mutex;
  std::condition_variable done;
  std::optional<Response> out;
  Request request;
  request.request_class = "safe";
  request.duty = duty;
  gateway.submit(std::move(request), [&](Response response) {
    const std::lock_guard lock(mutex);
    out = std::move(response);
    done.notify_all();
  });
  std::unique_lock lock(mutex);
  done.wait(lock, [&] { return out.has_value(); });
  return *out;
}

TEST(DutiesGateway, GainsIsGuardedSendsItsTokenAndHandsOnAtItsEnd) {
  SingleVoter voter;
  standins::LoopThread thread;
  standins::Recorder recorder;
  standins::ServerSettings settings;
  settings.recorder = &recorder;
  standins::ScriptedServer server(thread.loop(), settings);
  const std::string server_address = "127.0.0.1:" + std::to_string(server.port());
  ChangeRecorder first_changes, second_changes;
  Error error;
  auto first_gateway = Gateway::open(gateway_options(voter, "g0", first_changes, server_address), error);
  ASSERT_TRUE(first_gateway) << error.text;
  ASSERT_TRUE(first_changes.wait([](const auto& c) { return !c.empty() && c[0].gained; }));
  const std::uint64_t token = first_gateway->duty_token("nightly");
  EXPECT_EQ(token, first_changes.changes[0].token);
  auto second_gateway = Gateway::open(gateway_options(voter, "g1", second_changes, server_address), error);
  ASSERT_TRUE(second_gateway) << error.text;

  EXPECT_EQ(submit_and_wait(*first_gateway, "nightly").outcome, Outcome::kServed);
  const Response refused = submit_and_wait(*second_gateway, "nightly");
  EXPECT_EQ(refused.outcome, Outcome::kRefused);
  EXPECT_EQ(refused.error.code, make_error_code(Errc::kDutyNotHeld));
  EXPECT_EQ(second_gateway->duty_token("nightly"), 0U);
  std::size_t with_token = 0;
  for (const auto& attempt : recorder.attempts()) with_token += attempt.fencing_token == token ? 1 : 0;
  EXPECT_EQ(with_token, 1U)
      << "the server must see the token, and no request of the gateway that does not hold the duty";

  first_gateway->report_duty_failure("nightly");
  ASSERT_TRUE(second_changes.wait([](const auto& c) { return !c.empty() && c[0].gained; }));
  EXPECT_GT(second_changes.changes[0].token, token);
  EXPECT_EQ(first_gateway->duty_token("nightly"), 0U);
  ASSERT_TRUE(first_changes.wait([](const auto& c) { return c.size() > 1; }));
  EXPECT_EQ(first_changes.changes[1].why, "failed");

  // stop() releases the lease at once, long before it would expire, and the other gateway gains it again.
  second_gateway->stop();
  ASSERT_TRUE(second_changes.wait([](const auto& c) { return c.size() > 1; }));
  EXPECT_EQ(second_changes.changes[1].why, "given back");
  ASSERT_TRUE(first_changes.wait([](const auto& c) { return c.size() > 2 && c[2].gained; }));
}

TEST(DutiesGateway, AGuardEndsByItselfOnceTheVotersAreGone) {
  auto voter = std::make_unique<SingleVoter>();
  ChangeRecorder change_recorder;
  Error error;
  auto gateway = Gateway::open(gateway_options(*voter, "g0", change_recorder, "127.0.0.1:9"), error);
  ASSERT_TRUE(gateway) << error.text;
  ASSERT_TRUE(change_recorder.wait([](const auto& c) { return !c.empty(); }));
  voter.reset();
  ASSERT_TRUE(change_recorder.wait([](const auto& c) { return c.size() > 1; }));
  EXPECT_EQ(change_recorder.changes[1].why, "lapsed");
  EXPECT_EQ(gateway->duty_token("nightly"), 0U);
}

TEST(DutiesGateway, AThousandDutiesAreHeldAndHandedOn) {
  SingleVoter voter;
  ChangeRecorder first_changes, second_changes;
  const auto open_gateway = [&](const std::string& name, ChangeRecorder& change_recorder) {
    Options options = gateway_options(voter, name, change_recorder, "127.0.0.1:9");
    DutyOptions one = options.duties->duties[0];
    one.lease = std::chrono::seconds(10);
    options.duties->duties.clear();
    for (int i = 0; i < 1000; ++i) {
      one.name = "d" + std::to_string(i);
      options.duties->duties.push_back(one);
    }
    Error error;
    auto out = Gateway::open(options, error);
    EXPECT_TRUE(out) << error.text;
    return out;
  };
  auto first_gateway = open_gateway("g0", first_changes);
  ASSERT_TRUE(first_changes.wait([](const auto& c) { return c.size() == 1000; }));
  auto second_gateway = open_gateway("g1", second_changes);
  first_gateway->stop();
  ASSERT_TRUE(second_changes.wait([](const auto& c) { return c.size() == 1000; }));
  std::map<std::string, std::uint64_t> tokens;
  for (const DutyChange& c : first_changes.changes) {
    if (c.gained) tokens[c.duty] = c.token;
  }
  for (const DutyChange& c : second_changes.changes) EXPECT_GT(c.token, tokens[c.duty]);
}

TEST(DutiesGateway, OptionsThatCantBeUsedAreNamed) {
  SingleVoter voter;
  ChangeRecorder change_recorder;
  Error error;
  Options options = gateway_options(voter, "g0", change_recorder, "127.0.0.1:9");
  options.duties->voters[0].address = "nowhere";
  EXPECT_FALSE(Gateway::open(options, error));
  EXPECT_NE(error.text.find("duties.voters[0].address"), std::string::npos) << error.text;
  options = gateway_options(voter, "", change_recorder, "127.0.0.1:9");
  EXPECT_FALSE(Gateway::open(options, error));
  EXPECT_NE(error.text.find("duties.name"), std::string::npos) << error.text;
}

}  // namespace
}  // namespace nettlestand
