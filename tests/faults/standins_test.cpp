// Tests of the test doubles themselves: callers and records must show the faults that a script describes.
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <utility>

#include "standins/common/http.h"
#include "tests/faults/world.h"

namespace nettlestand::standins::testing {
namespace {

// Calls sent directly to one scripted server, without a node in between.
struct DirectCalls {
  LoopThread thread;
  Recorder recorder;
  std::unique_ptr<ScriptedServer> server;

  explicit DirectCalls(ServerSettings settings = {}) {
    settings.recorder = &recorder;
    server = std::make_unique<ScriptedServer>(thread.loop(), settings);
  }
  // Makes `count` calls one after another.
  LoadResult call(std::uint64_t count = 1, double timeout = 0.3) {
    LoadSettings settings;
    settings.targets = {{"s0", server->port()}};
    settings.classes = {{"unsafe", CallEffect::kUnsafe, 1, timeout, 0, 100}};
    settings.callers = 1;
    settings.calls = count;
    settings.seconds = 60;
    settings.seed = ++seed;
    settings.recorder = &recorder;
    LoadClient client(thread.loop(), settings);
    client.start();
    client.wait();
    return client.result();
  }
  AttemptRecord last_attempt() const { return recorder.attempts().back(); }
  CallRecord last_call() const { return recorder.calls().back(); }
  std::uint64_t seed = 0;
};

std::string error_of(const std::string& script) {
  try {
    parse_script(script);
  } catch (const ScriptError& problem) {
    return problem.what();
  }
  return {};
}

TEST(Script, ReadsWhatItWrites) {
  const std::string script =
      "refuse\nat 0.5 reject for 2\nat 1 every 3 chance 0.5 hang\nno-accept for 1\ncrash for "
      "0.1\nclose-idle\n"
      "idle 3\nsilent\nnot-started\ndrain\nerror 0.5 503\nearly head\nearly "
      "accept\nreset-after-request\ndedup 4\n"
      "slower 5\nsize 390000\ncold 0.3 9 4\nlate 0.1\ntwice 0.02\ncut 5\ncut\ntrickle 20000\npause 1\npause "
      "1 100\n"
      "garble head\ngarble chunks\ngarble long\ngarble short\ntrailers Not-Started:1 A:b\nreset-answer 10\n";
  const std::vector<Fault> faults = parse_script(script);
  EXPECT_EQ(faults.size(), 31U);
  std::string again;
  for (const Fault& fault : faults) again += to_text(fault) + "\n";
  std::string second;
  for (const Fault& fault : parse_script(again)) second += to_text(fault) + "\n";
  EXPECT_EQ(again, second);
  EXPECT_EQ(faults[2].every, 3);
  EXPECT_EQ(faults[2].chance, 0.5);
  EXPECT_EQ(faults[1].duration, 2);
  EXPECT_EQ(faults[0].duration, kForever);
  EXPECT_EQ(parse_script("error").front().arg2, 500);
}

TEST(Script, NamesTheLineThatIsWrong) {
  EXPECT_EQ(error_of("# fine\n\nrefuse # too\nfly"), "line 4: 'fly' is no command");
  EXPECT_EQ(error_of("at x refuse"), "line 1: 'at' needs seconds, a number from 0");
  EXPECT_EQ(error_of("at 1"), "line 1: no command");
  EXPECT_EQ(error_of("every 0 refuse"), "line 1: 'every' needs 1 or more");
  EXPECT_EQ(error_of("chance 2 refuse"), "line 1: 'chance' needs 0 to 1");
  EXPECT_EQ(error_of("refuse 3"), "line 1: '3' is too much");
  EXPECT_EQ(error_of("refuse for"), "line 1: 'for' needs seconds, a number from 0");
  EXPECT_EQ(error_of("late"), "line 1: 'late' needs its figure 1, a number from 0");
  EXPECT_EQ(error_of("late -1"), "line 1: 'late' needs its figure 1, a number from 0");
  EXPECT_EQ(error_of("slower 0"), "line 1: 'slower' needs a number above 0");
  EXPECT_EQ(error_of("error 1.5"),
            "line 1: 'error' needs a probability, 0 to 1, and a status from 200 to 599");
  EXPECT_EQ(error_of("garble"), "line 1: 'garble' needs one of: head chunks long short");
  EXPECT_EQ(error_of("garble all"), "line 1: 'garble' needs one of: head chunks long short");
  EXPECT_EQ(error_of("trailers x"), "line 1: 'x' is not NAME:VALUE");
  EXPECT_EQ(error_of("trailers"), "line 1: 'trailers' needs NAME:VALUE");
  EXPECT_EQ(error_of("cold 0 1 1"),
            "line 1: 'cold' needs a share above 0 and to 1, seconds, and a multiple above 0");
}

TEST(Digest, IsTheSameHoweverTheBytesAreCut) {
  const std::string text = "one two three four five six seven eight";
  for (std::size_t size = 0; size <= text.size(); ++size) {
    const std::string_view all = std::string_view(text).substr(0, size);
    for (std::size_t cut = 0; cut <= size; ++cut) {
      Digest digest;
      digest.add(all.substr(0, cut));
      digest.add(all.substr(cut));
      EXPECT_EQ(digest.value(), digest_of(all)) << size << " " << cut;
    }
    EXPECT_NE(digest_of(all), digest_of(text + "x"));
  }
  EXPECT_NE(digest_of(std::string(1, '\0')), digest_of(std::string(2, '\0')));
}

TEST(BodyReader, TakesChunksApartHoweverTheyAreCut) {
  const std::string body = chunk_of("hello ") + chunk_of("world") + "0\r\nA: b\r\nC: d\r\n\r\n";
  for (std::size_t step = 1; step <= body.size(); ++step) {
    BodyReader reader(BodyReader::Kind::kChunked);
    std::string held;
    for (std::size_t at = 0; at < body.size(); at += step) {
      held += body.substr(at, step);
      held.erase(0, reader.take(held));
    }
    EXPECT_TRUE(reader.done() && held.empty()) << step;
    EXPECT_EQ(reader.start(), "hello world");
    EXPECT_EQ(reader.digest(), digest_of("hello world"));
    EXPECT_EQ(reader.trailers(), "A: b\nC: d\n");
  }
  for (const char* bad : {"zz\r\n", "2\r\nabc\r\n", "-1\r\n", "\r\n"}) {
    BodyReader reader(BodyReader::Kind::kChunked);
    EXPECT_THROW(reader.take(bad), MessageError) << bad;
  }
}

TEST(ScriptedServer, AnswersEachRequestWithItsOwnBody) {
  DirectCalls p;
  EXPECT_EQ(p.call(20).all.served, 20U);
  EXPECT_EQ(p.recorder.attempts().size(), 20U);
  EXPECT_EQ(p.recorder.connections().size(), 1U);
  for (const CallRecord& call : p.recorder.calls()) {
    const auto attempts = p.recorder.attempts();
    const auto it = std::find_if(attempts.begin(), attempts.end(),
                                 [&](const AttemptRecord& a) { return a.id == call.id; });
    ASSERT_NE(it, attempts.end());
    EXPECT_EQ(it->answer_digest, call.answer_digest);
    EXPECT_TRUE(it->executed);
    EXPECT_LE(it->first_byte_at, it->last_byte_at);
    EXPECT_LE(it->last_byte_at, it->finished_at);
    EXPECT_LE(it->finished_at, it->answered_at);
  }
  EXPECT_NE(answer_body("a", 1, 0), answer_body("a", 2, 0));
  EXPECT_EQ(answer_body("a", 1, 500).size(), 500U);
}

// For each fault: what the caller sees, whether the request reached the server, and whether it may have run.
TEST(ScriptedServer, DoesWhatItsScriptSays) {
  struct Case {
    const char* script;
    CallEnd end;
    int status;
    bool came, may_have_run;
  };
  const std::vector<Case> cases = {
      {"refuse", CallEnd::kNoConnect, 0, false, false},
      {"hang", CallEnd::kNoConnect, 0, false, false},
      {"no-accept", CallEnd::kTimedOut, 0, false, false},
      {"crash", CallEnd::kNoConnect, 0, false, false},
      {"silent", CallEnd::kTimedOut, 0, true, true},
      {"not-started", CallEnd::kAnswered, 503, true, false},
      {"drain", CallEnd::kAnswered, 503, true, false},
      {"error", CallEnd::kAnswered, 500, true, true},
      {"error 1 503", CallEnd::kAnswered, 503, true, true},
      {"early head", CallEnd::kAnswered, 200, true, true},
      {"reset-after-request", CallEnd::kClosed, 0, true, true},
      {"late 0.1", CallEnd::kAnswered, 200, true, true},
      {"late 5", CallEnd::kTimedOut, 0, true, true},
      {"cut 5", CallEnd::kCut, 200, true, true},
      {"reset-answer 10", CallEnd::kCut, 0, true, true},
      {"reset-answer 0", CallEnd::kClosed, 0, true, true},
      {"trickle 20", CallEnd::kTimedOut, 0, true, true},
      {"trickle 2000", CallEnd::kAnswered, 200, true, true},
      {"pause 0.05", CallEnd::kAnswered, 200, true, true},
      {"pause 5", CallEnd::kTimedOut, 0, true, true},
      {"garble head", CallEnd::kCut, 0, true, true},
      {"garble chunks", CallEnd::kCut, 0, true, true},
      {"garble long", CallEnd::kCut, 200, true, true},
      {"garble short", CallEnd::kAnswered, 200, true, true},
      {"size 300000", CallEnd::kAnswered, 200, true, true},
      {"trailers A:b", CallEnd::kAnswered, 200, true, true},
      {"slower 1000", CallEnd::kTimedOut, 0, true, true},
  };
  for (const Case& c : cases) {
    ServerSettings settings;
    settings.service_time = 0.001;
    DirectCalls p(settings);
    p.server->run(c.script);
    p.call();
    EXPECT_EQ(p.last_call().end, c.end) << c.script;
    EXPECT_EQ(p.last_call().status, c.status) << c.script;
    ASSERT_EQ(!p.recorder.attempts().empty(), c.came) << c.script;
    if (c.came) {
      EXPECT_EQ(p.last_attempt().may_have_run(), c.may_have_run) << c.script;
    }
    if (c.status == 200 && c.end == CallEnd::kAnswered) {
      EXPECT_EQ(p.last_attempt().answer_digest, p.last_call().answer_digest) << c.script;
    }
    p.server->clear_faults();
    EXPECT_EQ(p.call().all.served, 1U) << "must serve again after the end of " << c.script;
  }
}

TEST(ScriptedServer, HitsEachNthAndKeepsItsTimes) {
  DirectCalls p;
  p.server->run("every 3 error\nat 30 refuse\nreset-after-request for 0");
  EXPECT_TRUE(until([&] { return p.call().all.failed == 0; })) << "the reset fault must end";
  const LoadResult result = p.call(30);
  EXPECT_EQ(result.all.failed, 10U);
  EXPECT_EQ(result.all.served, 20U);
}

TEST(ScriptedServer, SaysThingsTwice) {
  DirectCalls p;
  p.server->run("twice");
  EXPECT_EQ(p.call().all.served, 1U);
  EXPECT_TRUE(p.last_call().has_extra_bytes);
  p.server->clear_faults();
  p.server->run("twice 0.01\nlate 0.03");  // the duplicate arrives while the next request is in flight
  const LoadResult result = p.call(2);
  EXPECT_EQ(result.all.served, 1U);
  EXPECT_EQ(result.all.failed, 1U) << "gets the duplicate of the previous response";
}

TEST(ScriptedServer, RejectsWhatItAccepts) {
  DirectCalls p;
  p.server->run("reject");
  EXPECT_EQ(p.call().all.served, 0U);
  ASSERT_FALSE(p.recorder.connections().empty());
  EXPECT_TRUE(p.recorder.connections().front().reset);
  EXPECT_EQ(p.recorder.connections().front().closed_by, Closer::kServer);
  EXPECT_TRUE(p.recorder.attempts().empty());
}

TEST(ScriptedServer, SpeaksBeforeItIsAsked) {
  DirectCalls p;
  p.server->run("early accept");
  const LoadResult result = p.call();
  EXPECT_EQ(result.all.failed, 1U) << "the early response must not count for this call";
}

TEST(ScriptedServer, DropsRepeatsOfAKeyInItsGroup) {
  LoopThread thread;
  Recorder recorder;
  const auto memory = std::make_shared<DedupStore>();
  ServerSettings settings;
  settings.recorder = &recorder;
  settings.dedup_store = memory;
  ScriptedServer a(thread.loop(), settings), b(thread.loop(), settings);
  a.run("dedup 100");
  b.run("dedup 100");
  for (const int port : {a.port(), b.port()}) {
    const Fd fd = connect_to(port);
    const std::string request =
        "POST /api HTTP/1.1\r\nRequest-Id: r\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n";
    EXPECT_TRUE(until([&] {
      return send(fd.get(), request.data(), request.size(), MSG_NOSIGNAL) ==
             static_cast<ssize_t>(request.size());
    }));
    std::array<char, 1024> answer{};
    EXPECT_TRUE(until([&] { return recv(fd.get(), answer.data(), answer.size(), 0) > 0; }));
  }
  const std::vector<AttemptRecord> attempts = recorder.attempts();
  ASSERT_EQ(attempts.size(), 2U);
  EXPECT_TRUE(attempts[0].executed && !attempts[0].repeat);
  EXPECT_TRUE(!attempts[1].executed && attempts[1].repeat);
  EXPECT_EQ(attempts[1].status, 200);
}

TEST(ScriptedServer, WorksOnAsManyAsItHasCoresAndTurnsAwayWhatWaitsTooLong) {
  ServerSettings settings;
  settings.cores = 1;
  settings.service_time = 0.05;
  settings.queue_limit = 1;
  Recorder recorder;
  settings.recorder = &recorder;
  LoopThread thread;
  ScriptedServer server(thread.loop(), settings);
  LoadSettings load;
  load.targets = {{"s0", server.port()}};
  load.callers = 5;
  load.calls = 5;
  load.seconds = 60;
  load.recorder = &recorder;
  LoadClient client(thread.loop(), load);
  client.start();
  client.wait();
  EXPECT_EQ(client.result().all.served, 2U) << "one in service, one in the queue";
  EXPECT_EQ(client.result().all.refused, 3U);
  double first = 0;
  for (const AttemptRecord& a : recorder.attempts()) {
    EXPECT_NE(a.not_started, a.executed);
    if (a.finished_at == 0) continue;
    if (first > 0) {
      EXPECT_GE(a.finished_at - first, 0.049);
    }
    first = a.finished_at;
  }
}

TEST(ScriptedServer, FallsOverWhenItIsPushedWhileCold) {
  ServerSettings settings;
  settings.cores = 1;
  settings.service_time = 0.1;
  DirectCalls p(settings);
  p.server->run("cold 0.5 60 1");  // crashes beyond 0.5 s of work within one second
  LoadSettings load;
  load.targets = {{"s0", p.server->port()}};
  load.callers = 8;
  load.calls = 8;
  load.seconds = 60;
  LoadClient client(p.thread.loop(), load);
  client.start();
  client.wait();
  EXPECT_TRUE(p.server->crashed_from_overload());
  ASSERT_EQ(p.recorder.overloads().size(), 1U);
  EXPECT_GT(p.recorder.overloads()[0].requested_work, p.recorder.overloads()[0].available_work);
  EXPECT_EQ(p.call().all.unsent, 1U) << "must stay down until the faults are cleared";
  p.server->clear_faults();
  EXPECT_EQ(p.call().all.served, 1U);
}

TEST(ScriptedServer, ClosesWhatIsIdle) {
  DirectCalls p;
  EXPECT_EQ(p.call().all.served, 1U);
  const Fd idle = connect_to(p.server->port());
  EXPECT_TRUE(until([&] { return p.server->counts().open == 1; }));
  p.server->run("close-idle");
  EXPECT_EQ(p.server->counts().open, 0U);
  const auto connections = p.recorder.connections();
  EXPECT_EQ(connections.back().closed_by, Closer::kServer);
  const Fd second = connect_to(p.server->port());
  p.server->run("idle 0.1");
  EXPECT_TRUE(until([&] { return p.server->counts().open == 0 && p.server->counts().connections == 3; }));
}

// A connection of a node to discovery, with the response read as text.
struct DiscoveryClient {
  Fd fd;
  std::string text;
  DiscoveryClient(int port, const std::string& target) : fd(connect_to(port)) {
    const std::string request = "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n";
    until([&] {
      return send(fd.get(), request.data(), request.size(), MSG_NOSIGNAL) > 0 ||
             (errno != EAGAIN && errno != ENOTCONN);
    });
  }
  bool receives(const std::string& part) {
    return until([&] {
      std::array<char, 4096> bytes{};
      const ssize_t got = recv(fd.get(), bytes.data(), bytes.size(), 0);
      if (got > 0) text.append(bytes.data(), static_cast<std::size_t>(got));
      return text.find(part) != std::string::npos;
    });
  }
  bool ended() {
    return until([&] {
      std::array<char, 4096> bytes{};
      const ssize_t got = recv(fd.get(), bytes.data(), bytes.size(), 0);
      return got == 0 || (got < 0 && errno != EAGAIN);
    });
  }
};

TEST(ScriptedDiscovery, TellsWatchesAndKnowsWhen) {
  LoopThread thread;
  Recorder recorder;
  ScriptedDiscovery discovery(thread.loop(), &recorder, 0.05);
  const int port = discovery.endpoint("n1");
  EXPECT_EQ(discovery.endpoint("n1"), port);
  ServerEntry a, b;
  a.host = "s0";
  a.port = 1;
  b.host = "s1";
  b.port = 2;
  discovery.update({a, b});
  DiscoveryClient whole(port, "/v1/servers");
  EXPECT_TRUE(whole.receives("\"whole\":true"));
  EXPECT_TRUE(whole.receives("127.0.0.1:2"));
  DiscoveryClient watch(port, "/v1/servers?stream=1");
  EXPECT_TRUE(watch.receives("\"seq\":2,\"whole\":true"));
  EXPECT_TRUE(watch.receives("\r\n1\r\n\n\r\n")) << "heartbeat: an empty line";
  discovery.set_health("s0", "leaving");
  EXPECT_TRUE(watch.receives("\"seq\":3,\"whole\":false"));
  EXPECT_TRUE(watch.receives("\"health\":\"leaving\""));
  discovery.set_health("s0", "left");
  EXPECT_TRUE(watch.receives("\"health\":\"left\""));
  DiscoveryClient second(port, "/v1/servers?stream=1&index=3");
  EXPECT_TRUE(second.receives("\"seq\":4,\"whole\":false"));
  EXPECT_EQ(discovery.list().size(), 1U);
  const std::vector<ListChangeRecord> told = recorder.list_changes();
  const auto leaving =
      std::find_if(told.begin(), told.end(), [](const ListChangeRecord& r) { return r.state == "leaving"; });
  ASSERT_NE(leaving, told.end());
  EXPECT_EQ(leaving->node, "n1");
  EXPECT_EQ(leaving->server, "s0");
  EXPECT_GE(leaving->delivered_at, leaving->changed_at);
}

TEST(ScriptedDiscovery, GoesDownAndLags) {
  LoopThread thread;
  Recorder recorder;
  ScriptedDiscovery discovery(thread.loop(), &recorder, 0.05);
  const int port = discovery.endpoint("n1");
  ServerEntry a;
  a.host = "s0";
  a.port = 1;
  discovery.update(a);
  DiscoveryClient watch(port, "/v1/servers?stream=1");
  EXPECT_TRUE(watch.receives("s0"));
  EXPECT_EQ(discovery.open_watches(), 1U);
  discovery.set_mode(ScriptedDiscovery::Mode::kUnavailable);
  EXPECT_TRUE(watch.ended());
  EXPECT_TRUE(DiscoveryClient(port, "/v1/servers").receives("HTTP/1.1 503"));
  discovery.set_mode(ScriptedDiscovery::Mode::kRefuse);
  EXPECT_TRUE(DiscoveryClient(port, "/v1/servers").ended());
  discovery.set_mode(ScriptedDiscovery::Mode::kUp);
  discovery.set_delay(0.1);
  DiscoveryClient late(port, "/v1/servers?stream=1&index=2");
  EXPECT_TRUE(until([&] { return discovery.open_watches() == 1; }));
  discovery.set_health("s0", "leaving");
  EXPECT_TRUE(late.receives("leaving"));
  EXPECT_GE(recorder.list_changes().back().delivered_at - recorder.list_changes().back().changed_at, 0.1);
  discovery.set_delay(0);
  discovery.set_mode(ScriptedDiscovery::Mode::kSilent);
  discovery.set_health("s0", "active");
  DiscoveryClient silent(port, "/v1/servers");
  EXPECT_EQ(recorder.list_changes().back().delivered_at, 0) << "nothing has been written yet";
  discovery.set_mode(ScriptedDiscovery::Mode::kUp);
  EXPECT_TRUE(until([&] { return recorder.list_changes().back().delivered_at > 0; }));
}

TEST(LoadClient, CallsAtItsRateWithFloodsAndShares) {
  LoopThread thread;
  Recorder recorder;
  ServerSettings settings;
  ScriptedServer server(thread.loop(), settings);
  LoadSettings load;
  load.targets = {{"s0", server.port()}};
  load.classes = {{"a", CallEffect::kSafe, 3, 2, 0, 0}, {"b", CallEffect::kUnsafe, 1, 2, 0, 10}};
  load.tenants = {{"x", 1}, {"y", 1}};
  load.floods = {{"y", 3, 0, 10}};
  load.rate = 2000;
  load.seconds = 0.5;
  LoadClient client(thread.loop(), load);
  client.start();
  client.wait();
  const LoadResult result = client.result();
  EXPECT_EQ(result.all.served, result.all.calls);
  EXPECT_NEAR(static_cast<double>(result.all.calls), 2000, 300)
      << "twice the rate, as y calls three times as often";
  EXPECT_NEAR(
      static_cast<double>(result.tenants.at("y").calls) / static_cast<double>(result.tenants.at("x").calls),
      3, 0.8);
  EXPECT_NEAR(
      static_cast<double>(result.classes.at("a").calls) / static_cast<double>(result.classes.at("b").calls),
      3, 0.8);
  EXPECT_NE(result.json().find("\"p99_ms\":"), std::string::npos);
  EXPECT_THROW(LoadClient(thread.loop(), LoadSettings{}), std::invalid_argument);
}

TEST(LoadClient, WritesOnceMoreWhatCrossesAClose) {
  DirectCalls p;
  // Not a close of an idle connection: the request was read.
  p.server->run("at 0 every 2 reset-after-request");
  const LoadResult result = p.call(4);
  EXPECT_EQ(result.all.served + result.all.failed, 4U);
  for (const CallRecord& call : p.recorder.calls()) {
    const auto attempts = p.recorder.attempts();
    const auto seen = std::count_if(attempts.begin(), attempts.end(),
                                    [&](const AttemptRecord& a) { return a.id == call.id; });
    EXPECT_EQ(seen, call.resent_at > 0 ? 2 : 1);
  }
}

// A program run by a shell, which prints its process id first.
struct Program {
  FILE* out;
  pid_t pid = 0;
  explicit Program(const std::string& command) : out(popen(("echo $$; exec " + command).c_str(), "r")) {
    pid = std::atoi(line().c_str());
  }
  ~Program() { end(); }
  std::string line() const {
    std::array<char, 4096> text{};
    return fgets(text.data(), static_cast<int>(text.size()), out) == nullptr ? "" : text.data();
  }
  int port() const {
    const std::string text = line();
    const std::size_t colon = text.rfind(':');
    return colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1);
  }
  // Waits for its end and returns the exit code.
  int end() {
    if (out == nullptr) return 0;
    const int status = pclose(std::exchange(out, nullptr));
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
};

TEST(Programs, ServeAndCall) {
  Program server(std::string(STANDINS) + "/nettlestand-standin-server --threads 2 --answer-bytes 300");
  const std::string port = std::to_string(server.port());
  Program load(std::string(STANDINS) + "/nettlestand-load --target " + port +
               " --callers 2 --calls 50 --seconds 30 --class a,safe,share=1 --class b,keyed,share=2,body=50"
               " --tenant x,share=3 --tenant y --flood y,2,0,1");
  const std::string result = load.line();
  EXPECT_NE(result.find("\"all\":{\"calls\":50,\"served\":50,"), std::string::npos) << result;
  for (const char* name : {"\"a\":{", "\"b\":{", "\"x\":{", "\"y\":{"}) {
    EXPECT_NE(result.find(name), std::string::npos) << result;
  }
  EXPECT_EQ(load.end(), 0);
  kill(server.pid, SIGTERM);
  EXPECT_NE(server.line().find("requests 50 executed 50"), std::string::npos);
  EXPECT_EQ(server.end(), 0);
}

TEST(Programs, TellOfServers) {
  const std::string commands = ::testing::TempDir() + "/standins_commands_" + std::to_string(getpid());
  std::ofstream(commands) << "leaving s0\nnonsense\nserver s1=4,site=b,block=2\nlist\n";
  Program discovery(std::string(STANDINS) + "/nettlestand-standin-discovery --server s0=3 2>/dev/null < " +
                    commands);
  const int port = discovery.port();
  EXPECT_EQ(discovery.line(), "s0 127.0.0.1:3 leaving\n");
  EXPECT_EQ(discovery.line(), "s1 127.0.0.1:4 active\n");
  DiscoveryClient whole(port, "/v1/servers");
  EXPECT_TRUE(whole.receives("\"host\":\"s1\",\"dial\":\"127.0.0.1:4\",\"site\":\"b\"")) << whole.text;
  kill(discovery.pid, SIGTERM);
  EXPECT_EQ(discovery.end(), 0);
  std::remove(commands.c_str());
}

TEST(Programs, SayWhatIsWrongWithTheirOptions) {
  const std::string dir = STANDINS;
  for (const char* command :
       {"/nettlestand-load", "/nettlestand-load --target x", "/nettlestand-load --what 1",
        "/nettlestand-load --target 1 --class a,odd", "/nettlestand-standin-server --port",
        "/nettlestand-standin-server --script /nowhere", "/nettlestand-standin-discovery --server s0"}) {
    Program wrong(dir + command + " 2>&1");
    EXPECT_NE(wrong.line().find("nettlestand-"), std::string::npos) << command;
    EXPECT_EQ(wrong.end(), 2) << command;
  }
}

TEST(NodeProcess, ServesThroughANode) {
  World w;
  w.add();
  w.add();
  w.start();
  LoadSettings load = w.calls();
  load.callers = 4;
  load.calls = 300;
  load.seconds = 30;
  const LoadResult result = w.load(load);
  EXPECT_EQ(result.all.calls, 300U);
  EXPECT_EQ(result.all.served, 300U) << result.json();
  EXPECT_EQ(w.complaints(), "");
  w.node->signal(SIGTERM);
  EXPECT_EQ(w.node->exit_code(), 0);
  EXPECT_NE(w.node->log().find("drained"), std::string::npos);
}

TEST(NodeProcess, SaysWhyANodeDoesNotStart) {
  NodeConfig config;
  config.peers = 0;
  NodeProcess node(node_binary(), config);
  EXPECT_THROW(node.port(), std::runtime_error);
  EXPECT_EQ(node.exit_code(), 2);
}

}  // namespace
}  // namespace nettlestand::standins::testing
