// Cancellation, destruction and throwing completions at critical moments.
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <thread>

#include "tests/library/application.h"

namespace nettlestand::testing {
namespace {

namespace asio = boost::asio;

// An application's io_context with a thread that runs it.
struct Loop {
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(io);
  std::thread thread{[this] { io.run(); }};
  void end() {
    work.reset();
    if (thread.joinable()) thread.join();
  }
  ~Loop() { end(); }
};

TEST(Cancel, BeforeTheFirstByteNothingIsEverWritten) {
  TcpListener full(0);
  const TcpConnection queued_connection = TcpConnection::to(
      full.port());  // fills the accept queue of length one: further connections are never established
  Options long_connect_timeout = options({full.port()});
  long_connect_timeout.connect_timeout = std::chrono::seconds(60);
  const auto gateway = open(long_connect_timeout);
  ResponseCollector answers;
  const Ticket ticket = gateway->submit(request("close"), answers.completion());
  until([&] { return connecting_to(full.port()); });
  EXPECT_TRUE(gateway->cancel(ticket));
  EXPECT_EQ(answers.wait_one().outcome, Outcome::kCancelled);
  EXPECT_EQ(answers.wait_one().status(), 499);
  EXPECT_FALSE(gateway->cancel(ticket)) << "once";
  until([&] { return !connecting_to(full.port()); });
  const TcpConnection first = full.accept();
  EXPECT_TRUE(full.no_data(50)) << "no connection was attempted after the first";
  EXPECT_EQ(gateway->open_requests(), 0U);
}

TEST(Cancel, AfterTheLastByteTheAttemptIsAbandonedAndNotRepeated) {
  TcpListener a, b;
  const auto gateway = open(options({a.port(), b.port()}));
  ResponseCollector answers;
  const Ticket ticket = gateway->submit(request("close"), answers.completion());
  TcpConnection connection = TcpListener::accept_either(a, b);
  EXPECT_TRUE(contains(connection.message(), "question"));
  EXPECT_TRUE(gateway->cancel(ticket));
  EXPECT_EQ(answers.wait_one().outcome, Outcome::kCancelled);
  EXPECT_TRUE(connection.ended()) << "its connection is closed, as after a disconnect of the client";
  EXPECT_TRUE(a.no_data(50) && b.no_data(50));
  EXPECT_EQ(answers.count(), 1U);
}

TEST(Cancel, BeforeTheLoopHasSeenTheRequestNothingIsBegun) {
  TcpListener peer;
  asio::io_context io;
  auto gateway = open_on(io, options({peer.port()}));
  ResponseCollector answers;
  const Ticket ticket = gateway->submit(request("close"), answers.completion());
  EXPECT_TRUE(gateway->cancel(ticket));
  io.poll();
  EXPECT_EQ(answers.wait_one().outcome, Outcome::kCancelled);
  EXPECT_TRUE(peer.no_data(50));
  gateway.reset();
  io.restart();
  io.run();
}

// Both events are ready on the loop: the handler that cancels runs first, then that of the server's refusal.
// The task that cancel() posts runs only after both, and the request must not be retried in between.
TEST(Cancel, AFurtherAttemptDoesNotOvertakeACancelThatWaitsItsTurn) {
  TcpListener a, b;
  asio::io_context io;
  auto gateway = open_on(io, options({a.port(), b.port()}));
  ResponseCollector answers;
  const Ticket ticket = gateway->submit(request("close"), answers.completion());
  while (a.no_data() && b.no_data()) io.run_one();
  TcpConnection connection = TcpListener::accept_either(a, b);
  while (connection.no_data()) io.run_one();
  connection.message();
  io.poll();
  TcpListener trigger;
  asio::ip::tcp::socket trigger_socket(io);
  trigger_socket.connect({asio::ip::address_v4::loopback(), static_cast<unsigned short>(trigger.port())});
  const TcpConnection other = trigger.accept();
  trigger_socket.async_wait(asio::socket_base::wait_read,
                            [&](const boost::system::error_code&) { EXPECT_TRUE(gateway->cancel(ticket)); });
  io.poll();
  other.send("x");  // this event is ready first
  other.wait_until_delivered();
  connection.send("HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
  connection.wait_until_delivered();
  while (answers.count() == 0) io.run_one();
  io.poll();
  EXPECT_EQ(answers.wait_one().outcome, Outcome::kCancelled);
  EXPECT_TRUE(connection.no_data() && a.no_data(50) && b.no_data(50)) << "not sent again to either server";
  gateway.reset();
  io.restart();
  io.run();
}

// Ten connections carry ten requests; ten more wait for a connection. Cancelling the first ten lets the
// others be sent.
TEST(Cancel, TheQueueBehindMovesOnAtOnce) {
  TcpListener peer;
  Options limited = options({peer.port()});
  limited.sockets = 10;
  const auto gateway = open(limited);
  ResponseCollector cancelled, behind;
  std::vector<Ticket> tickets;
  std::vector<TcpConnection> connections;
  for (int i = 0; i < 10; ++i) {
    tickets.push_back(gateway->submit(request("close"), cancelled.completion(i)));
    connections.push_back(peer.accept());
    connections.back().message();
  }
  for (const Ticket ticket : tickets) EXPECT_TRUE(gateway->cancel(ticket));
  for (int i = 0; i < 10; ++i) gateway->submit(request("close"), behind.completion(i));
  cancelled.wait(10);
  for (int i = 0; i < 10; ++i) {
    TcpConnection next = peer.accept();
    next.message();
    next.send(ok());
    next.wait_until_read();
    connections.push_back(std::move(next));
  }
  for (const auto& [name, response] : behind.wait(10)) EXPECT_EQ(response.outcome, Outcome::kServed) << name;
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(connections[static_cast<std::size_t>(i)].ended());
}

TEST(Cancel, CrossingTheAnswerOnAnotherThreadTheOutcomeComesOnce) {
  TcpListener peer;
  const auto gateway = open(options({peer.port()}));
  std::map<Outcome, int> seen;
  TcpConnection connection;
  for (int i = 0; i < 400; ++i) {
    ResponseCollector answers;
    const Ticket ticket = gateway->submit(request("close"), answers.completion());
    if (!peer.no_data(connection.closed() ? kTimeoutMs : 0)) connection = peer.accept();
    if (connection.message().empty()) {
      connection = peer.accept();
      connection.message();
    }
    std::atomic<bool> go = false;
    std::thread canceller([&] {
      while (!go) std::this_thread::yield();
      for (int spin = 0; spin < (i % 40) * 50; ++spin) std::this_thread::yield();
      gateway->cancel(ticket);
    });
    go = true;
    connection.send(ok());
    canceller.join();
    const Outcome outcome = answers.wait_one().outcome;
    ++seen[outcome];
    EXPECT_TRUE(outcome == Outcome::kServed || outcome == Outcome::kCancelled);
    if (outcome == Outcome::kCancelled) connection.close();
    until([&] { return gateway->open_requests() == 0; });
    EXPECT_EQ(answers.count(), 1U);
  }
  EXPECT_EQ(seen[Outcome::kServed] + seen[Outcome::kCancelled], 400);
}

TEST(End, AGatewayThatIsDestroyedAnswersWhatIsOpen) {
  TcpListener peer;
  ResponseCollector answers;
  auto gateway = open(options({peer.port()}));
  std::vector<TcpConnection> connections;
  for (int i = 0; i < 5; ++i) {
    gateway->submit(request("close"), answers.completion(i));
    connections.push_back(peer.accept());
    connections.back().message();
  }
  gateway.reset();
  for (const auto& [name, response] : answers.wait(5))
    EXPECT_EQ(response.outcome, Outcome::kShutDown) << name;
  for (TcpConnection& connection : connections) EXPECT_TRUE(connection.ended());
  for (const auto& [name, count] : answers.counts()) EXPECT_EQ(count, 1) << name;
}

TEST(End, OnAnApplicationsLoopThatRuns) {
  TcpListener peer;
  Loop loop;
  ResponseCollector answers;
  auto gateway = open_on(loop.io, options({peer.port()}));
  gateway->submit(request("close"), answers.completion());
  TcpConnection connection = peer.accept();
  connection.message();
  gateway.reset();  // on another thread than the loop's
  EXPECT_EQ(answers.wait_one().outcome, Outcome::kShutDown);
  EXPECT_TRUE(connection.ended());
  loop.end();
}

// The loop has stopped with requests open: whichever is destroyed first, the gateway or the loop, completions
// run on the application's executor.
TEST(End, OnALoopThatHasStopped) {
  TcpListener peer;
  const auto executor = std::make_shared<ManualExecutor>();
  ResponseCollector answers;
  TcpConnection connection;
  {
    asio::io_context io;
    Options custom = options({peer.port()});
    custom.executor = executor;
    auto gateway = open_on(io, custom);
    gateway->submit(request("close"), answers.completion(1));
    while (peer.no_data()) io.run_one();
    connection = peer.accept();
    while (connection.no_data()) io.run_one();
    connection.message();
    gateway->submit(request("close"), answers.completion(2));  // never reaches the loop
    io.stop();
    gateway.reset();
    EXPECT_EQ(executor->pending_tasks(), 2U);
  }
  EXPECT_TRUE(connection.ended()) << "its connections are closed with the loop";
  executor->run();
  EXPECT_EQ(answers.counts(), (std::map<int, int>{{1, 1}, {2, 1}}));
  for (const auto& [name, response] : answers.wait(2))
    EXPECT_EQ(response.outcome, Outcome::kShutDown) << name;
}

TEST(End, FromWithinACompletion) {
  for (const bool own_thread : {true, false}) {
    TcpListener peer;
    Loop loop;
    ResponseCollector answers;
    auto gateway = own_thread ? open(options({peer.port()})) : open_on(loop.io, options({peer.port()}));
    std::promise<void> destroyed;
    gateway->submit(request("close"), [&](Response) {
      gateway.reset();
      destroyed.set_value();
    });
    TcpConnection connection = peer.accept();
    connection.message();
    gateway->submit(request("close"), answers.completion());
    TcpConnection second = peer.accept();
    second.message();
    connection.send(ok());
    destroyed.get_future().get();
    EXPECT_EQ(answers.wait_one().outcome, Outcome::kShutDown);
    EXPECT_TRUE(connection.ended());
    EXPECT_TRUE(second.ended());
  }
}

TEST(Completions, MaySubmitAgain) {
  TcpListener peer;
  const auto gateway = open(options({peer.port()}));
  std::promise<int> done;
  std::function<void(int)> again = [&](int left) {
    gateway->submit(request("close"), [&, left](Response response) {
      EXPECT_EQ(response.outcome, Outcome::kServed);
      if (left == 0) return done.set_value(1);
      again(left - 1);
    });
  };
  again(20);
  TcpConnection connection = peer.accept();
  for (int i = 0; i <= 20; ++i) {
    connection.message();
    connection.send(ok());
  }
  EXPECT_EQ(done.get_future().get(), 1);
}

TEST(Completions, ThatThrowHarmNobody) {
  TcpListener peer;
  std::mutex mutex;
  std::string log;
  Options custom = options({peer.port()});
  custom.logger = [&](std::string_view line) {
    const std::lock_guard lock(mutex);
    log.append(line).append("\n");
    throw std::runtime_error("and so does the log");
  };
  const auto gateway = open(custom);
  ResponseCollector answers;
  TcpConnection connection;
  for (int i = 0; i < 3; ++i) {
    gateway->submit(request("close"), [&, i](Response) {
      if (i == 0) throw std::runtime_error("first");
      if (i == 1) throw 2;
    });
    if (i == 0) connection = peer.accept();
    connection.message();
    connection.send(ok());
    until([&] { return gateway->open_requests() == 0; });
  }
  gateway->submit(request("close"), answers.completion());
  connection.message();
  connection.send(ok());
  EXPECT_EQ(answers.wait_one().outcome, Outcome::kServed);
  const std::lock_guard lock(mutex);
  EXPECT_TRUE(contains(log, "a completion threw: first\n")) << log;
  EXPECT_TRUE(contains(log, "a completion threw\n")) << log;
}

TEST(End, AThousandSubmitsFromEightThreadsWhileADrainBegins) {
  TcpListener peer(1024);
  std::atomic<int> arrived = 0;
  std::atomic<bool> finished = false;
  std::thread server([&] {
    std::vector<TcpConnection> connections;
    while (!finished) {
      while (!peer.no_data(1)) connections.push_back(peer.accept());
      for (TcpConnection& connection : connections) {
        if (connection.closed() || connection.no_data()) continue;
        if (connection.message().empty()) {
          connection.close();
          continue;
        }
        ++arrived;
        connection.send(ok());
      }
    }
  });
  const auto gateway = open(options({peer.port()}));
  until([&] { return gateway->ready(); });
  ResponseCollector answers;
  std::promise<void> stopped;
  std::vector<std::thread> threads;
  for (int t = 0; t < 8; ++t) {
    threads.emplace_back([&, t] {
      for (int i = 0; i < 125; ++i) {
        if (t == 0 && i == 60) gateway->stop([&] { stopped.set_value(); });
        gateway->submit(request("close"), answers.completion(t * 1000 + i));
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  const auto all = answers.wait(1000);
  stopped.get_future().get();
  finished = true;
  server.join();
  int served = 0, stopping = 0;
  for (const auto& [name, response] : all) {
    served += response.outcome == Outcome::kServed;
    stopping += response.error.code == Errc::kStopping;
    EXPECT_TRUE(response.outcome == Outcome::kServed || response.outcome == Outcome::kRefused)
        << static_cast<int>(response.outcome);
  }
  EXPECT_EQ(answers.counts().size(), 1000U) << "each exactly once";
  EXPECT_EQ(answers.count(), 1000U);
  EXPECT_GE(stopping, 65) << "every request that the stopping thread submitted after stop()";
  EXPECT_EQ(served, arrived) << "every request that ran is reported as served";
}

// The application blocks its loop: afterwards requests whose deadlines have passed are answered at once, none
// is lost, and none is sent.
TEST(Loop, ThatIsBlockedLosesNothing) {
  TcpListener peer;
  Loop loop;
  const auto gateway = open_on(loop.io, options({peer.port()}));
  until([&] { return gateway->ready(); });
  ResponseCollector before, during;
  Request short_request = request("close");
  short_request.timeout = std::chrono::milliseconds(100);
  gateway->submit(short_request, before.completion());
  TcpConnection connection = peer.accept();
  connection.message();
  std::promise<void> blocked, release;
  asio::post(loop.io, [&] {
    blocked.set_value();
    release.get_future().get();
  });
  blocked.get_future().get();
  for (int i = 0; i < 20; ++i) gateway->submit(short_request, during.completion(i));
  std::this_thread::sleep_for(
      std::chrono::milliseconds(300));  // simulates an application that blocks the loop
  EXPECT_EQ(during.count(), 0U);
  release.set_value();
  for (const auto& [name, response] : during.wait(20)) {
    EXPECT_EQ(response.outcome, Outcome::kRefused) << "it was never sent: " << name;
  }
  const int status = before.wait_one().status();
  EXPECT_TRUE(status == 504 || status == 502) << status;
  EXPECT_TRUE(peer.no_data(50)) << "no attempt for expired requests";
  EXPECT_TRUE(connection.ended());
}

// One of two gateways on a loop is at all its limits; the other is not affected.
TEST(Loop, TwoGatewaysDoNotDisturbEachOther) {
  TcpListener full(0), good;
  const TcpConnection queued_connection = TcpConnection::to(full.port());
  Loop loop;
  Options limited_options = options({full.port()});
  limited_options.tenants = {{"acme", 10}};
  limited_options.sockets = 2;
  limited_options.memory = 16 * 1024 * 1024;
  limited_options.max_open = 50;
  limited_options.connect_timeout = std::chrono::seconds(60);
  Options other_options = options({good.port()});
  other_options.tenants = {{"beta", 1000}};
  auto limited_gateway = open_on(loop.io, limited_options), other_gateway = open_on(loop.io, other_options);
  until([&] { return limited_gateway->ready() && other_gateway->ready(); });
  ResponseCollector limited_responses, served;
  for (int i = 0; i < 300; ++i) {
    Request large_request = request("close", std::string(60000, 'x'));
    large_request.tenant = "acme";
    limited_gateway->submit(std::move(large_request), limited_responses.completion(i));
  }
  TcpConnection connection;
  for (int i = 0; i < 50; ++i) {
    Request small_request = request("close");
    small_request.tenant = "beta";
    other_gateway->submit(std::move(small_request), served.completion(i));
    if (i == 0) connection = good.accept();
    connection.message();
    connection.send(ok());
    EXPECT_EQ(served.wait(static_cast<std::size_t>(i) + 1).back().second.outcome, Outcome::kServed);
  }
  Request other_tenant_request = request("close");
  other_tenant_request.tenant = "acme";
  ResponseCollector unknown;
  other_gateway->submit(std::move(other_tenant_request), unknown.completion());
  EXPECT_EQ(unknown.wait_one().error.code, Errc::kUnknownTenant) << "a tenant of the other gateway";
  limited_gateway.reset();
  for (const auto& [name, response] : limited_responses.wait(300))
    EXPECT_NE(response.outcome, Outcome::kServed) << name;
  EXPECT_EQ(limited_responses.counts().size(), 300U);
  Request after = request("close");
  after.tenant = "beta";
  other_gateway->submit(std::move(after), served.completion(50));
  connection.message();
  connection.send(ok());
  EXPECT_EQ(served.wait(51).back().second.outcome, Outcome::kServed)
      << "also after the other gateway is destroyed";
  other_gateway.reset();
  loop.end();
}

}  // namespace
}  // namespace nettlestand::testing
