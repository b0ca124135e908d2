// Cancels, ends and throws at the worst moments.
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <thread>

#include "tests/library/application.h"

namespace nettlestand::testing {
namespace {

namespace asio = boost::asio;

// An io_context with a thread, as an application has it.
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
  const TcpConnection crowd =
      TcpConnection::to(full.port());  // its queue has room for one: further connections never come up
  Options patient = options({full.port()});
  patient.connect_timeout = std::chrono::seconds(60);
  const auto gateway = open(patient);
  Answers answers;
  const Ticket ticket = gateway->submit(request("close"), answers.next());
  until([&] { return connecting_to(full.port()); });
  EXPECT_TRUE(gateway->cancel(ticket));
  EXPECT_EQ(answers.one().outcome, Outcome::kCancelled);
  EXPECT_EQ(answers.one().status(), 499);
  EXPECT_FALSE(gateway->cancel(ticket)) << "once";
  until([&] { return !connecting_to(full.port()); });
  const TcpConnection first = full.accept();
  EXPECT_TRUE(full.no_data(50)) << "nobody came behind the crowd";
  EXPECT_EQ(gateway->open_requests(), 0U);
}

TEST(Cancel, AfterTheLastByteTheAttemptIsAbandonedAndNotRepeated) {
  TcpListener a, b;
  const auto gateway = open(options({a.port(), b.port()}));
  Answers answers;
  const Ticket ticket = gateway->submit(request("close"), answers.next());
  TcpConnection wire = TcpListener::accept_either(a, b);
  EXPECT_TRUE(has(wire.message(), "question"));
  EXPECT_TRUE(gateway->cancel(ticket));
  EXPECT_EQ(answers.one().outcome, Outcome::kCancelled);
  EXPECT_TRUE(wire.ended()) << "its connection is closed, as for a client that leaves";
  EXPECT_TRUE(a.no_data(50) && b.no_data(50));
  EXPECT_EQ(answers.count(), 1U);
}

TEST(Cancel, BeforeTheLoopHasSeenTheRequestNothingIsBegun) {
  TcpListener peer;
  asio::io_context io;
  auto gateway = open_on(io, options({peer.port()}));
  Answers answers;
  const Ticket ticket = gateway->submit(request("close"), answers.next());
  EXPECT_TRUE(gateway->cancel(ticket));
  io.poll();
  EXPECT_EQ(answers.one().outcome, Outcome::kCancelled);
  EXPECT_TRUE(peer.no_data(50));
  gateway.reset();
  io.restart();
  io.run();
}

// The loop has been told of both by the system: first it runs what cancels, then what the server has said.
// The cancel itself waits its turn behind that, and the request must not be sent again meanwhile.
TEST(Cancel, AFurtherAttemptDoesNotOvertakeACancelThatWaitsItsTurn) {
  TcpListener a, b;
  asio::io_context io;
  auto gateway = open_on(io, options({a.port(), b.port()}));
  Answers answers;
  const Ticket ticket = gateway->submit(request("close"), answers.next());
  while (a.no_data() && b.no_data()) io.run_one();
  TcpConnection wire = TcpListener::accept_either(a, b);
  while (wire.no_data()) io.run_one();
  wire.message();
  io.poll();
  TcpListener trigger;
  asio::ip::tcp::socket told(io);
  told.connect({asio::ip::address_v4::loopback(), static_cast<unsigned short>(trigger.port())});
  const TcpConnection other = trigger.accept();
  told.async_wait(asio::socket_base::wait_read,
                  [&](const boost::system::error_code&) { EXPECT_TRUE(gateway->cancel(ticket)); });
  io.poll();
  other.send("x");  // ready first
  other.wait_until_delivered();
  wire.send("HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
  wire.wait_until_delivered();
  while (answers.count() == 0) io.run_one();
  io.poll();
  EXPECT_EQ(answers.one().outcome, Outcome::kCancelled);
  EXPECT_TRUE(wire.no_data() && a.no_data(50) && b.no_data(50)) << "neither there again nor elsewhere";
  gateway.reset();
  io.restart();
  io.run();
}

// Ten connections carry ten requests; ten more wait for room. Cancelling the first ten lets the others go.
TEST(Cancel, TheQueueBehindMovesOnAtOnce) {
  TcpListener peer;
  Options narrow = options({peer.port()});
  narrow.sockets = 10;
  const auto gateway = open(narrow);
  Answers cancelled, behind;
  std::vector<Ticket> tickets;
  std::vector<TcpConnection> wires;
  for (int i = 0; i < 10; ++i) {
    tickets.push_back(gateway->submit(request("close"), cancelled.next(i)));
    wires.push_back(peer.accept());
    wires.back().message();
  }
  for (const Ticket ticket : tickets) EXPECT_TRUE(gateway->cancel(ticket));
  for (int i = 0; i < 10; ++i) gateway->submit(request("close"), behind.next(i));
  cancelled.wait(10);
  for (int i = 0; i < 10; ++i) {
    TcpConnection next = peer.accept();
    next.message();
    next.send(ok());
    next.wait_until_read();
    wires.push_back(std::move(next));
  }
  for (const auto& [name, response] : behind.wait(10)) EXPECT_EQ(response.outcome, Outcome::kServed) << name;
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(wires[static_cast<std::size_t>(i)].ended());
}

TEST(Cancel, CrossingTheAnswerOnAnotherThreadTheOutcomeComesOnce) {
  TcpListener peer;
  const auto gateway = open(options({peer.port()}));
  std::map<Outcome, int> seen;
  TcpConnection wire;
  for (int i = 0; i < 400; ++i) {
    Answers answers;
    const Ticket ticket = gateway->submit(request("close"), answers.next());
    if (!peer.no_data(wire.closed() ? kTimeoutMs : 0)) wire = peer.accept();
    if (wire.message().empty()) {
      wire = peer.accept();
      wire.message();
    }
    std::atomic<bool> go = false;
    std::thread canceller([&] {
      while (!go) std::this_thread::yield();
      for (int spin = 0; spin < (i % 40) * 50; ++spin) std::this_thread::yield();
      gateway->cancel(ticket);
    });
    go = true;
    wire.send(ok());
    canceller.join();
    const Outcome outcome = answers.one().outcome;
    ++seen[outcome];
    EXPECT_TRUE(outcome == Outcome::kServed || outcome == Outcome::kCancelled);
    if (outcome == Outcome::kCancelled) wire.close();
    until([&] { return gateway->open_requests() == 0; });
    EXPECT_EQ(answers.count(), 1U);
  }
  EXPECT_EQ(seen[Outcome::kServed] + seen[Outcome::kCancelled], 400);
}

TEST(End, AGatewayThatIsDestroyedAnswersWhatIsOpen) {
  TcpListener peer;
  Answers answers;
  auto gateway = open(options({peer.port()}));
  std::vector<TcpConnection> wires;
  for (int i = 0; i < 5; ++i) {
    gateway->submit(request("close"), answers.next(i));
    wires.push_back(peer.accept());
    wires.back().message();
  }
  gateway.reset();
  for (const auto& [name, response] : answers.wait(5))
    EXPECT_EQ(response.outcome, Outcome::kShutDown) << name;
  for (TcpConnection& wire : wires) EXPECT_TRUE(wire.ended());
  for (const auto& [name, count] : answers.counts()) EXPECT_EQ(count, 1) << name;
}

TEST(End, OnAnApplicationsLoopThatRuns) {
  TcpListener peer;
  Loop loop;
  Answers answers;
  auto gateway = open_on(loop.io, options({peer.port()}));
  gateway->submit(request("close"), answers.next());
  TcpConnection wire = peer.accept();
  wire.message();
  gateway.reset();  // from another thread than the loop's
  EXPECT_EQ(answers.one().outcome, Outcome::kShutDown);
  EXPECT_TRUE(wire.ended());
  loop.end();
}

// The loop has stopped with requests open: whatever comes first, the gateway or the loop's end, completions
// come on the executor that the application named.
TEST(End, OnALoopThatHasStopped) {
  TcpListener peer;
  const auto held = std::make_shared<HeldExecutor>();
  Answers answers;
  TcpConnection wire;
  {
    asio::io_context io;
    Options with = options({peer.port()});
    with.executor = held;
    auto gateway = open_on(io, with);
    gateway->submit(request("close"), answers.next(1));
    while (peer.no_data()) io.run_one();
    wire = peer.accept();
    while (wire.no_data()) io.run_one();
    wire.message();
    gateway->submit(request("close"), answers.next(2));  // never seen by the loop
    io.stop();
    gateway.reset();
    EXPECT_EQ(held->waiting(), 2U);
  }
  EXPECT_TRUE(wire.ended()) << "its connections go with the loop";
  held->run();
  EXPECT_EQ(answers.counts(), (std::map<int, int>{{1, 1}, {2, 1}}));
  for (const auto& [name, response] : answers.wait(2))
    EXPECT_EQ(response.outcome, Outcome::kShutDown) << name;
}

TEST(End, FromWithinACompletion) {
  for (const bool own_thread : {true, false}) {
    TcpListener peer;
    Loop loop;
    Answers answers;
    auto gateway = own_thread ? open(options({peer.port()})) : open_on(loop.io, options({peer.port()}));
    std::promise<void> destroyed;
    gateway->submit(request("close"), [&](Response) {
      gateway.reset();
      destroyed.set_value();
    });
    TcpConnection wire = peer.accept();
    wire.message();
    gateway->submit(request("close"), answers.next());
    TcpConnection second = peer.accept();
    second.message();
    wire.send(ok());
    destroyed.get_future().get();
    EXPECT_EQ(answers.one().outcome, Outcome::kShutDown);
    EXPECT_TRUE(wire.ended());
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
  TcpConnection wire = peer.accept();
  for (int i = 0; i <= 20; ++i) {
    wire.message();
    wire.send(ok());
  }
  EXPECT_EQ(done.get_future().get(), 1);
}

TEST(Completions, ThatThrowHarmNobody) {
  TcpListener peer;
  std::mutex mutex;
  std::string log;
  Options with = options({peer.port()});
  with.logger = [&](std::string_view line) {
    const std::lock_guard lock(mutex);
    log.append(line).append("\n");
    throw std::runtime_error("and so does the log");
  };
  const auto gateway = open(with);
  Answers answers;
  TcpConnection wire;
  for (int i = 0; i < 3; ++i) {
    gateway->submit(request("close"), [&, i](Response) {
      if (i == 0) throw std::runtime_error("first");
      if (i == 1) throw 2;
    });
    if (i == 0) wire = peer.accept();
    wire.message();
    wire.send(ok());
    until([&] { return gateway->open_requests() == 0; });
  }
  gateway->submit(request("close"), answers.next());
  wire.message();
  wire.send(ok());
  EXPECT_EQ(answers.one().outcome, Outcome::kServed);
  const std::lock_guard lock(mutex);
  EXPECT_TRUE(has(log, "a completion threw: first\n")) << log;
  EXPECT_TRUE(has(log, "a completion threw\n")) << log;
}

TEST(End, AThousandSubmitsFromEightThreadsWhileADrainBegins) {
  TcpListener peer(1024);
  std::atomic<int> arrived = 0;
  std::atomic<bool> over = false;
  std::thread server([&] {
    std::vector<TcpConnection> wires;
    while (!over) {
      while (!peer.no_data(1)) wires.push_back(peer.accept());
      for (TcpConnection& wire : wires) {
        if (wire.closed() || wire.no_data()) continue;
        if (wire.message().empty()) {
          wire.close();
          continue;
        }
        ++arrived;
        wire.send(ok());
      }
    }
  });
  const auto gateway = open(options({peer.port()}));
  until([&] { return gateway->ready(); });
  Answers answers;
  std::promise<void> stopped;
  std::vector<std::thread> threads;
  for (int t = 0; t < 8; ++t) {
    threads.emplace_back([&, t] {
      for (int i = 0; i < 125; ++i) {
        if (t == 0 && i == 60) gateway->stop([&] { stopped.set_value(); });
        gateway->submit(request("close"), answers.next(t * 1000 + i));
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  const auto all = answers.wait(1000);
  stopped.get_future().get();
  over = true;
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
  EXPECT_GE(stopping, 65) << "all that the thread which stopped it submitted after that";
  EXPECT_EQ(served, arrived) << "what ran was told so";
}

// The application holds its loop up: deadlines that have passed are answered at once, nothing is lost, and
// nothing is sent for them.
TEST(Loop, ThatIsBlockedLosesNothing) {
  TcpListener peer;
  Loop loop;
  const auto gateway = open_on(loop.io, options({peer.port()}));
  until([&] { return gateway->ready(); });
  Answers before, during;
  Request hurried = request("close");
  hurried.timeout = std::chrono::milliseconds(100);
  gateway->submit(hurried, before.next());
  TcpConnection wire = peer.accept();
  wire.message();
  std::promise<void> blocked, release;
  asio::post(loop.io, [&] {
    blocked.set_value();
    release.get_future().get();
  });
  blocked.get_future().get();
  for (int i = 0; i < 20; ++i) gateway->submit(hurried, during.next(i));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));  // it is the application that sleeps
  EXPECT_EQ(during.count(), 0U);
  release.set_value();
  for (const auto& [name, response] : during.wait(20)) {
    EXPECT_EQ(response.outcome, Outcome::kRefused) << "it was never begun: " << name;
  }
  const int status = before.one().status();
  EXPECT_TRUE(status == 504 || status == 502) << status;
  EXPECT_TRUE(peer.no_data(50)) << "no attempt for what was over";
  EXPECT_TRUE(wire.ended());
}

// One of two gateways on a loop is at all its limits; the other does not notice.
TEST(Loop, TwoGatewaysDoNotDisturbEachOther) {
  TcpListener full(0), good;
  const TcpConnection crowd = TcpConnection::to(full.port());
  Loop loop;
  Options small = options({full.port()});
  small.tenants = {{"acme", 10}};
  small.sockets = 2;
  small.memory = 16 * 1024 * 1024;
  small.max_open = 50;
  small.connect_timeout = std::chrono::seconds(60);
  Options usual = options({good.port()});
  usual.tenants = {{"beta", 1000}};
  auto one = open_on(loop.io, small), two = open_on(loop.io, usual);
  until([&] { return one->ready() && two->ready(); });
  Answers stuck, served;
  for (int i = 0; i < 300; ++i) {
    Request large = request("close", std::string(60000, 'x'));
    large.tenant = "acme";
    one->submit(std::move(large), stuck.next(i));
  }
  TcpConnection wire;
  for (int i = 0; i < 50; ++i) {
    Request usual_one = request("close");
    usual_one.tenant = "beta";
    two->submit(std::move(usual_one), served.next(i));
    if (i == 0) wire = good.accept();
    wire.message();
    wire.send(ok());
    EXPECT_EQ(served.wait(static_cast<std::size_t>(i) + 1).back().second.outcome, Outcome::kServed);
  }
  Request foreign = request("close");
  foreign.tenant = "acme";
  Answers unknown;
  two->submit(std::move(foreign), unknown.next());
  EXPECT_EQ(unknown.one().error.code, Errc::kUnknownTenant) << "a tenant of the other one";
  one.reset();
  for (const auto& [name, response] : stuck.wait(300)) EXPECT_NE(response.outcome, Outcome::kServed) << name;
  EXPECT_EQ(stuck.counts().size(), 300U);
  Request after = request("close");
  after.tenant = "beta";
  two->submit(std::move(after), served.next(50));
  wire.message();
  wire.send(ok());
  EXPECT_EQ(served.wait(51).back().second.outcome, Outcome::kServed) << "also when the other one is gone";
  two.reset();
  loop.end();
}

}  // namespace
}  // namespace nettlestand::testing
