// Tests of Gateway against scripted servers.
#include <algorithm>
#include <array>
#include <boost/asio/use_future.hpp>
#include <functional>
#include <future>
#include <mutex>
#include <thread>

#include "tests/library/application.h"

namespace nettlestand::testing {
namespace {

namespace asio = boost::asio;

TEST(Gateway, ServesOnAThreadOfItsOwn) {
  TcpListener peer;
  const auto gateway = open(options({peer.port()}));
  until([&] { return gateway->ready(); });
  ResponseCollector answers;
  Request asked = request("mark");
  asked.target = "/api?x=1";
  asked.cookie = "user=u";
  asked.content_type = "text/odd";
  asked.timeout = std::chrono::milliseconds(900);
  EXPECT_NE(gateway->submit(std::move(asked), answers.completion()), 0U);
  TcpConnection connection = peer.accept();
  const std::string got = connection.message();
  EXPECT_EQ(got.rfind("POST /api?x=1 HTTP/1.1\r\n", 0), 0U) << got;
  for (const char* part : {"Host: service.internal\r\n", "Idempotency-Key: k1\r\n", "Cookie: user=u\r\n",
                           "Content-Type: text/odd\r\n", "Request-Class: mark\r\n", "\r\n\r\nquestion"}) {
    EXPECT_TRUE(contains(got, part)) << got;
  }
  const int passed_on = std::stoi(got.substr(got.find("Request-Timeout-Ms: ") + 20));
  EXPECT_LT(passed_on, 900);
  EXPECT_GT(passed_on, 300);
  connection.send(ok("the answer"));
  const Response response = answers.wait_one();
  EXPECT_EQ(response.outcome, Outcome::kServed);
  EXPECT_EQ(response.status(), 200);
  EXPECT_EQ(response.body, "the answer");
  EXPECT_EQ(response.content_type, "text/plain");
  EXPECT_EQ(gateway->open_requests(), 0U);
  gateway->submit(request("look"), answers.completion());
  EXPECT_EQ(connection.message().rfind("GET /api HTTP/1.1\r\n", 0), 0U) << "the connection is reused";
  connection.send(ok());
  EXPECT_EQ(answers.wait(2)[1].second.outcome, Outcome::kServed);
}

// Three gateways discover each other and detect that one has left.
TEST(Gateway, KnowsOfOthersWhereItIsToldTo) {
  TcpListener peer;
  struct EventRecorder {
    std::mutex mutex;
    std::vector<std::string> events;  // event name with the member and the count of balancers
    bool contains(const std::string& what) {
      const std::lock_guard lock(mutex);
      return std::find(events.begin(), events.end(), what) != events.end();
    }
    std::string address;
  };
  std::array<EventRecorder, 3> recorders;
  const auto opened = [&](std::size_t i, const std::string& join) {
    Options o = options({peer.port()});
    o.peers = 3;
    o.position = static_cast<int>(i);
    MembershipOptions& m = o.membership.emplace();
    m.name = "g" + std::to_string(i);
    m.listen = "127.0.0.1:0";
    m.keys = {std::string(64, 'c')};
    if (!join.empty()) m.join = {join};
    o.event_logger = [&to = recorders[i]](const LogEvent& event) {
      if (event.component != "peers") return;
      const std::lock_guard lock(to.mutex);
      std::string text(event.event);
      for (const LogField& field : event.fields) {
        if (field.name == "member") text += " " + std::get<std::string>(field.value);
        if (field.name == "count") text += " " + std::to_string(std::get<std::int64_t>(field.value));
        if (field.name == "address") to.address = std::get<std::string>(field.value);
      }
      to.events.push_back(text);
    };
    return open(o);
  };
  auto first = opened(0, "");
  until([&] { return recorders[0].contains("started"); });
  std::string at;
  {
    const std::lock_guard lock(recorders[0].mutex);
    at = recorders[0].address;
  }
  auto second = opened(1, at);
  auto third = opened(2, at);
  until([&] {
    return recorders[1].contains("member_alive g2") && recorders[2].contains("member_alive g1") &&
           recorders[0].contains("member_alive g2");
  });
  third.reset();
  until([&] { return recorders[0].contains("member_left g2") && recorders[1].contains("member_left g2"); });
  until([&] { return recorders[1].contains("copies 2"); });
}

TEST(Gateway, TurnsAwayMembershipThatCannotBe) {
  const auto text_of = [](const std::function<void(MembershipOptions&)>& change) {
    Options o = options({1});
    MembershipOptions& m = o.membership.emplace();
    m.name = "g";
    m.listen = "127.0.0.1:0";
    change(m);
    Error error;
    EXPECT_EQ(Gateway::open(o, error), nullptr);
    return error.text;
  };
  EXPECT_NE(text_of([](auto& m) { m.name = ""; }).find("membership.name"), std::string::npos);
  EXPECT_NE(text_of([](auto& m) { m.listen = "[::1]:1"; }).find("membership.listen"), std::string::npos);
  EXPECT_NE(text_of([](auto& m) { m.join = {"host:1"}; }).find("membership.join[0]"), std::string::npos);
  EXPECT_NE(text_of([](auto& m) {
              m.members = {"127.0.0.1:1", "127.0.0.1:2"};
            }).find("membership.members"),
            std::string::npos);
  EXPECT_NE(text_of([](auto& m) { m.keys = {"short"}; }).find("membership.keys"), std::string::npos);
  EXPECT_NE(text_of([](auto& m) { m.region = "far far away!"; }).find("membership.region"),
            std::string::npos);
}

TEST(Gateway, FailsRefusesAndTimesOutAsTheDaemonDoes) {
  TcpListener peer, gone;
  gone.close();
  const auto gateway = open(options({peer.port()}));
  ResponseCollector answers;
  gateway->submit(request("close"), answers.completion());
  TcpConnection connection = peer.accept();
  connection.message();
  connection.reset();
  Response got = answers.wait_one();
  EXPECT_EQ(got.outcome, Outcome::kFailed) << "the request may have run";
  EXPECT_EQ(got.status(), 502);
  Request short_request = request("close");
  short_request.timeout = std::chrono::milliseconds(300);
  gateway->submit(std::move(short_request), answers.completion());
  connection = peer.accept();
  connection.message();
  got = answers.wait(2)[1].second;
  EXPECT_TRUE(got.status() == 504 || got.status() == 502) << got.status();
  EXPECT_TRUE(connection.ended()) << "the attempt is abandoned";

  const auto elsewhere = open(options({gone.port()}));
  ResponseCollector refused;
  elsewhere->submit(request("close"), refused.completion());
  got = refused.wait_one();
  EXPECT_EQ(got.outcome, Outcome::kRefused) << "the request has not run";
  EXPECT_EQ(got.status(), 503);
  EXPECT_FALSE(got.error);
}

TEST(Gateway, TellsOfAnIdThatIsOpenAndOfAFullHouse) {
  TcpListener peer;
  Options limited = options({peer.port()});
  limited.max_open = 2;
  const auto gateway = open(limited);
  ResponseCollector first, second, third, fourth;
  Request one = request("close");
  one.id = "same";
  gateway->submit(one, first.completion());
  TcpConnection connection = peer.accept();
  connection.message();
  gateway->submit(one, second.completion());
  Response got = second.wait_one();
  EXPECT_EQ(got.error.code, Errc::kRequestIdInUse);
  EXPECT_EQ(got.status(), 409);
  gateway->submit(request("close"), third.completion());
  TcpConnection other = peer.accept();
  other.message();
  gateway->submit(request("close"), fourth.completion());
  got = fourth.wait_one();
  EXPECT_EQ(got.outcome, Outcome::kRefused);
  EXPECT_EQ(got.error.code, Errc::kFull);
  EXPECT_EQ(got.status(), 503);
  EXPECT_GT(got.retry_after.count(), 0);
  connection.send(ok());
  other.send(ok());
  EXPECT_EQ(first.wait_one().outcome, Outcome::kServed);
  EXPECT_EQ(third.wait_one().outcome, Outcome::kServed);
}

TEST(Gateway, CompletionsRunWhereTheApplicationSays) {
  TcpListener peer;
  const auto executor = std::make_shared<ManualExecutor>();
  Options custom = options({peer.port()});
  custom.executor = executor;
  const auto gateway = open(custom);
  ResponseCollector answers;
  gateway->submit(request("close"), answers.completion());
  TcpConnection connection = peer.accept();
  connection.message();
  connection.send(ok());
  until([&] { return executor->pending_tasks() == 1; });
  EXPECT_EQ(answers.count(), 0U);
  executor->run();
  EXPECT_EQ(answers.count(), 1U);
  EXPECT_EQ(gateway->submit(request("unknown"), answers.completion()), 2U);
  EXPECT_EQ(answers.count(), 1U) << "never inside submit()";
  EXPECT_EQ(executor->pending_tasks(), 1U);
  executor->run();
  EXPECT_EQ(answers.count(), 2U);
}

TEST(Gateway, RunsOnTheApplicationsLoopWithFuturesAndExecutors) {
  TcpListener peer;
  asio::io_context loop, other;
  auto keep = asio::make_work_guard(loop);
  std::thread thread([&] { loop.run(); });
  Options custom = options({peer.port()});
  custom.executor = make_executor(other.get_executor());
  auto gateway = open_on(loop, custom);
  std::future<Response> future = async_submit(*gateway, loop, request("close"), asio::use_future);
  TcpConnection connection = peer.accept();
  connection.message();
  connection.send(ok("by a future"));
  until([&] {
    other.restart();
    return other.run_one() > 0;
  });  // the completion runs on this loop and posts the future's result to its own
  EXPECT_EQ(future.get().body, "by a future");
  gateway.reset();
  keep.reset();
  thread.join();
  SUCCEED() << "the loop runs out of work once the gateway is destroyed";
}

TEST(Gateway, FollowsItsServers) {
  TcpListener a, b;
  const auto gateway = open(options({a.port()}));
  ResponseCollector answers;
  gateway->submit(request("close"), answers.completion());
  TcpConnection connection = a.accept();
  connection.message();
  connection.send(ok());
  answers.wait(1);
  EXPECT_FALSE(gateway->set_servers({server("s1", b.port())}));
  EXPECT_TRUE(connection.ended()) << "idle connections to a removed server are closed";
  gateway->submit(request("close"), answers.completion());
  TcpConnection next = b.accept();
  next.message();
  next.send(ok());
  EXPECT_EQ(answers.wait(2)[1].second.outcome, Outcome::kServed);
  EXPECT_FALSE(gateway->set_servers({}));
  until([&] { return !gateway->ready(); });
  gateway->submit(request("close"), answers.completion());
  EXPECT_EQ(answers.wait(3)[2].second.outcome, Outcome::kRefused);
}

TEST(Gateway, AsksDiscoveryAndMovesWithIt) {
  TcpListener discovery, elsewhere, a, b;
  Options custom = options({});
  custom.discovery = "127.0.0.1:" + std::to_string(discovery.port());
  const auto gateway = open(custom);
  const auto watch_at = [](const TcpListener& peer, const TcpListener& listed) {
    TcpConnection watch = peer.accept();
    EXPECT_EQ(watch.message().rfind("GET /v1/servers?stream=1 HTTP/1.1\r\n", 0), 0U);
    const std::string line = R"({"seq":1,"whole":true,"hosts":[{"host":"s)" + std::to_string(listed.port()) +
                             R"(","dial":"127.0.0.1:)" + std::to_string(listed.port()) +
                             R"(","health":"active"}]})" + "\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(size) + line + "\r\n");
    return watch;
  };
  EXPECT_FALSE(gateway->ready());
  TcpConnection watch = watch_at(discovery, a);
  until([&] { return gateway->ready(); });
  ResponseCollector answers;
  const auto serves = [&](const TcpListener& peer) {
    const std::size_t before = answers.count();
    gateway->submit(request("close"), answers.completion());
    TcpConnection connection = peer.accept();
    connection.message();
    connection.send(ok());
    EXPECT_EQ(answers.wait(before + 1).back().second.outcome, Outcome::kServed);
  };
  serves(a);
  EXPECT_FALSE(gateway->set_discovery_address("127.0.0.1:" + std::to_string(elsewhere.port())));
  TcpConnection moved = watch_at(elsewhere, b);
  EXPECT_TRUE(watch.ended());
  serves(b);
}

TEST(Gateway, StopsAsADrain) {
  TcpListener peer;
  const auto gateway = open(options({peer.port()}));
  ResponseCollector open_one, late;
  gateway->submit(request("close"), open_one.completion());
  TcpConnection connection = peer.accept();
  connection.message();
  std::promise<void> stopped;
  gateway->stop([&] { stopped.set_value(); });
  gateway->stop([] { ADD_FAILURE() << "only the first call has an effect"; });
  gateway->submit(request("close"), late.completion());
  const Response refused = late.wait_one();
  EXPECT_EQ(refused.outcome, Outcome::kRefused);
  EXPECT_EQ(refused.error.code, Errc::kStopping);
  EXPECT_EQ(open_one.count(), 0U) << "open requests continue";
  connection.send(ok("in the drain"));
  EXPECT_EQ(open_one.wait_one().body, "in the drain");
  stopped.get_future().get();
  EXPECT_TRUE(connection.ended());
}

TEST(Gateway, StopsWithinItsGrace) {
  TcpListener peer;
  const auto gateway = open(options({peer.port()}, 1000));
  ResponseCollector answers;
  Request long_request = request("close");
  long_request.timeout = std::chrono::seconds(60);
  gateway->submit(std::move(long_request), answers.completion());
  TcpConnection connection = peer.accept();
  connection.message();
  std::promise<void> stopped;
  gateway->stop([&] { stopped.set_value(); });
  stopped.get_future().get();
  const Response got = answers.wait_one();
  EXPECT_TRUE(got.status() == 504 || got.status() == 502)
      << "the request may have run, so it is not refused: " << got.status();
  EXPECT_TRUE(connection.ended());
}

}  // namespace
}  // namespace nettlestand::testing
