// The adapter as a program: a conversation, malformed lines, and one process compared with three.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace {

struct ProgramResult {
  std::vector<std::string> lines;
  std::string errors;
  int code = 0;
};

std::string read_file(const std::string& path) {
  std::ifstream in(path);
  std::stringstream out;
  out << in.rdbuf();
  return out.str();
}

ProgramResult run(const std::vector<std::string>& lines) {
  const std::string base = testing::TempDir() + "/drill_" + std::to_string(getpid());
  {
    std::ofstream in(base + ".in");
    for (const std::string& line : lines) in << line << '\n';
  }
  const std::string command = std::string(DRILL) + " <" + base + ".in >" + base + ".out 2>" + base + ".err";
  ProgramResult out;
  out.code = WEXITSTATUS(std::system(command.c_str()));
  std::istringstream answers(read_file(base + ".out"));
  for (std::string line; std::getline(answers, line);) out.lines.push_back(line);
  out.errors = read_file(base + ".err");
  for (const char* end : {".in", ".out", ".err"}) std::remove((base + end).c_str());
  return out;
}

std::string config_text() {
  return R"({"peersTotal":1,"position":0,"stage":0,"zone":0,"granularity":0.005,"registryMode":"subscribe",)"
         R"("bounds":{"cancel":true,"maxAttempts":3,"maxRetryAfter":2.0,)"
         R"("retryAfter":true,"secondCopies":false},)"
         R"("categories":[{"aim":1.0,"effect":"unsafe","giveUp":2.0,"name":"x","new":1}],)"
         R"("rules":{"askWithin":10.0,"startCapacity":0.2,"rampTime":9.0}})";
}

std::string batch(int turn, double clock, const std::string& nodes) {
  return R"({"clock":)" + std::to_string(clock) + R"(,"turn":)" + std::to_string(turn) + R"(,"nodes":[)" +
         nodes + "]}";
}

std::string open_node(int who, const std::string& more = "", const std::string& config = config_text()) {
  return R"({"who":)" + std::to_string(who) + R"(,"news":[{"kind":"OPEN_INSTANCE","initSeed":)" +
         std::to_string(who + 5) + R"(,"config":)" + config + R"(},)" +
         R"({"kind":"TABLE","sheet":3,"nodesList":[{"server":"10.0.0.1:80","mode":"Ready"},)"
         R"({"server":"10.0.0.2:80","mode":"Ready","pack":1,"units":2}]},)"
         R"({"kind":"DIRECTORY_UPDATE","rev":1,"sheet":3,"form":"C"})" +
         more + "]}";
}

bool has(const std::string& line, const std::string& part) { return line.find(part) != std::string::npos; }

TEST(Adapter, HoldsAConversation) {
  const ProgramResult r = run({
      batch(1, 1, ""),
      batch(2, 1.5, open_node(4)),
      batch(3, 2, R"({"who":4,"news":[{"kind":"QUERY","txn":"a","profile":0,"timeLeft":2,"later":[1]}]})"),
      batch(4, 2.1,
            R"({"who":4,"news":[{"kind":"DONE","txn":"a","server":"10.0.0.1:80",)"
            R"("outcome":"app_error","lag":0.1}]})"),
      batch(5, 2.2,
            R"({"who":4,"news":[{"kind":"GONE","txn":"a"},{"kind":"FIRED","keyBack":77},{"kind":"NEW"}]})"),
  });
  EXPECT_EQ(r.code, 0) << r.errors;
  ASSERT_EQ(r.lines.size(), 5U);
  EXPECT_EQ(r.lines[0], R"({"turn":1,"nodes":[]})");
  EXPECT_EQ(r.lines[1], R"({"turn":2,"nodes":[{"who":4,"steps":[{"kind":"TAIL","want":true}]}]})");
  EXPECT_TRUE(has(r.lines[2], R"("kind":"CALL_OUT","txn":"a","server":"10.0.0.)"));
  EXPECT_EQ(r.lines[3], R"({"turn":4,"nodes":[{"who":4,"steps":[{"kind":"ERROR","txn":"a"}]}]})");
  EXPECT_EQ(r.lines[4], R"({"turn":5,"nodes":[]})");
}

TEST(Adapter, StopsAndStartsWithinABatch) {
  const std::string query = R"(,{"kind":"QUERY","txn":"a","profile":0,"timeLeft":2})";
  std::string node = open_node(1, query);
  node.insert(node.find("{\"kind\":\"OPEN"),
              R"({"kind":"QUERY","txn":"old","timeLeft":2},{"kind":"POWER_OFF"},)");
  const ProgramResult r = run({batch(1, 1, open_node(1)), batch(2, 2, node)});
  EXPECT_EQ(r.code, 0) << r.errors;
  ASSERT_EQ(r.lines.size(), 2U);
  EXPECT_FALSE(has(r.lines[1], "\"old\"")) << "what the stopped instance held is void";
  EXPECT_TRUE(has(r.lines[1], R"("txn":"a")"));
}

TEST(Adapter, ListNumbersAreReusedWithinABatch) {
  const ProgramResult r = run(
      {batch(1, 1, open_node(1)),
       batch(
           2, 2,
           R"({"who":1,"news":[{"kind":"TABLE","sheet":3,"nodesList":[{"server":"b:1","mode":"Ready"}]},)"
           R"({"kind":"DIRECTORY_UPDATE","sheet":3,"form":"F"},)"
           R"({"kind":"TABLE","sheet":3,"nodesList":[{"server":"c:1","mode":"Ready"}]},)"
           R"({"kind":"DIRECTORY_UPDATE","sheet":3,"form":"F"},{"kind":"QUERY","txn":"a","timeLeft":2}]})")});
  ASSERT_EQ(r.lines.size(), 2U) << r.errors;
  EXPECT_TRUE(has(r.lines[1], R"("server":"c:1")"));
}

TEST(Adapter, SaysWhatIsWrongWithALine) {
  const auto fails = [](const std::string& line, const std::string& turn, const std::string& part) {
    const ProgramResult r = run({line});
    EXPECT_NE(r.code, 0);
    EXPECT_TRUE(r.lines.empty());
    EXPECT_TRUE(has(r.errors, "turn " + turn)) << r.errors;
    EXPECT_TRUE(has(r.errors, part)) << r.errors;
  };
  fails("{\"turn\":", "unknown", "not valid JSON");
  fails("[1]", "unknown", "not an object");
  fails(R"({"turn":7,"nodes":[]})", "7", "'clock'");
  fails(R"({"turn":7,"clock":1})", "7", "'nodes'");
  fails(batch(7, 1, R"({"news":[]})"), "7", "'who'");
  fails(batch(7, 1, R"({"who":1,"news":[{"txn":"a"}]})"), "7", "'kind'");
  fails(batch(7, 1, R"({"who":1,"news":[{"kind":"OPEN_INSTANCE","initSeed":1}]})"), "7", "'config'");
  fails(batch(7, 1, open_node(1, R"(,{"kind":"QUERY","timeLeft":1})")), "7", "'txn'");
  fails(batch(7, 1, open_node(1, R"(,{"kind":"QUERY","txn":"a"})")), "7", "'timeLeft'");
  fails(batch(7, 1, open_node(1, R"(,{"kind":"QUERY","txn":"a","timeLeft":1,"account":-1})")), "7",
        "'account'");
  fails(batch(7, 1, open_node(1, R"(,{"kind":"DONE","txn":"a","try":"x","outcome":"delivered"})")), "7",
        "'try'");
  fails(batch(7, 1, open_node(1, R"(,{"kind":"DIRECTORY_UPDATE","form":"F","sheet":9})")), "7", "'sheet'");
}

TEST(Adapter, PanicsOnSettingsItCannotUse) {
  const auto panics = [](const std::string& from, const std::string& to, const std::string& part) {
    std::string config = config_text();
    config.replace(config.find(from), from.size(), to);
    const ProgramResult r = run({batch(1, 1, open_node(2, "", config))});
    EXPECT_EQ(r.code, 0);
    ASSERT_EQ(r.lines.size(), 1U);
    EXPECT_TRUE(has(r.lines[0], R"("kind":"PANIC")")) << r.lines[0];
    EXPECT_TRUE(has(r.lines[0], part)) << r.lines[0];
  };
  panics(R"("peersTotal":1)", R"("peersTotal":0)", "copy_count");
  panics(R"("position":0)", R"("position":1)", "copy_index");
  panics(R"("aim":1.0)", R"("aim":-1.0)", "aim");
  panics(R"("effect":"unsafe")", R"("effect":"odd")", "effect");
}

// Odd but legal input: unknown outcomes and report values, empty lists, no time left, many restarts.
TEST(Adapter, TakesOddButLegalLines) {
  const std::string restart = open_node(4).substr(open_node(4).find("{\"kind\":\"OPEN"));
  std::string restarts;
  for (int i = 0; i < 20; ++i) restarts += restart.substr(0, restart.size() - 2) + ",";
  const ProgramResult r = run({
      batch(1, 1, R"({"who":4,"news":[)" + restarts + R"({"kind":"POWER_OFF"}]})"),
      batch(2, 2, open_node(4)),
      batch(3, 3,
            R"({"who":4,"news":[{"kind":"QUERY","txn":"a","timeLeft":2,"profile":99,"account":77},)"
            R"({"kind":"QUERY","txn":"b","timeLeft":0},{"kind":"QUERY","txn":"c","timeLeft":-1}]})"),
      batch(
          4, 4,
          R"({"who":4,"news":[{"kind":"DONE","txn":"a","outcome":"melted","serverStats":[1,null,"x"]},)"
          R"({"kind":"DONE","txn":"a","outcome":"delivered"},{"kind":"DONE","txn":"z","outcome":"expired"},)"
          R"({"kind":"STATUS_BACK","server":"x","outcome":"delivered"},{"kind":"MEMO","src":1,"body":""}]})"),
      batch(5, 5,
            R"({"who":4,"news":[{"kind":"TABLE","sheet":1,"nodesList":[]},)"
            R"({"kind":"DIRECTORY_UPDATE","sheet":1,"form":"F"},{"kind":"QUERY","txn":"d","timeLeft":2}]})"),
  });
  EXPECT_EQ(r.code, 0) << r.errors;
  ASSERT_EQ(r.lines.size(), 5U);
  EXPECT_EQ(r.lines[0], R"({"turn":1,"nodes":[]})");
  EXPECT_TRUE(has(r.lines[2], R"({"kind":"CALL_OUT","txn":"a")"));
  EXPECT_TRUE(has(r.lines[2], R"({"kind":"SAY_NO","txn":"b")"));
  EXPECT_TRUE(has(r.lines[2], R"({"kind":"SAY_NO","txn":"c")"));
  EXPECT_TRUE(has(r.lines[3], R"({"kind":"ERROR","txn":"a")")) << "an unknown end may have run";
  EXPECT_TRUE(has(r.lines[4], R"({"kind":"SAY_NO","txn":"d")"));
}

// The actions of an instance must not depend on the others in its process.
TEST(Adapter, OneProcessOrThreeMakesNoDifference) {
  const auto lines_for = [](const std::vector<int>& whos) {
    std::vector<std::string> lines;
    std::string nodes;
    for (const int who : whos) nodes.append(nodes.empty() ? "" : ",").append(open_node(who));
    lines.push_back(batch(1, 1, nodes));
    for (int turn = 2; turn < 60; ++turn) {
      nodes.clear();
      for (const int who : whos) {
        const std::string id = std::to_string(who) + "-" + std::to_string(turn);
        const std::string old = std::to_string(who) + "-" + std::to_string(turn - 2);
        nodes += (nodes.empty() ? "" : ",");
        nodes += R"({"who":)" + std::to_string(who) + R"(,"news":[{"kind":"QUERY","txn":")" + id +
                 R"(","timeLeft":2},{"kind":"DONE","txn":")" + old + R"(","outcome":")" +
                 (turn % 3 == 0 ? "shed" : "app_error") + R"(","lag":0.2}]})";
      }
      lines.push_back(batch(turn, 1 + turn * 0.1, nodes));
    }
    return lines;
  };
  const ProgramResult together = run(lines_for({0, 1, 2}));
  ASSERT_EQ(together.code, 0) << together.errors;
  std::vector<ProgramResult> apart;
  for (const int who : {0, 1, 2}) apart.push_back(run(lines_for({who})));
  for (std::size_t i = 0; i < together.lines.size(); ++i) {
    std::string joined;
    for (const ProgramResult& one : apart) {
      const std::string& line = one.lines.at(i);
      const std::size_t start = line.find('[') + 1;
      const std::string inner = line.substr(start, line.rfind(']') - start);
      if (!inner.empty()) joined += (joined.empty() ? "" : ",") + inner;
    }
    const std::string& line = together.lines[i];
    const std::size_t start = line.find('[') + 1;
    EXPECT_EQ(line.substr(start, line.rfind(']') - start), joined);
  }
}

}  // namespace
