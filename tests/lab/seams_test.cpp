// Clock, disk and state faults, injected into ordinary programs through an LD_PRELOAD library.
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "standins/world/world.h"

namespace nettlestand::standins {
namespace {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool kSanitized = true;  // the sanitizer's library must be loaded before ours
#else
constexpr bool kSanitized = false;
#endif

struct CommandResult {
  int status = 0;
  std::string out;
};

CommandResult run(const InterposedFaults& interposed, const std::string& command) {
  CommandResult out;
  FILE* pipe = popen(
      (interposed.environment() + " LD_PRELOAD=" + SEAMS + " sh -c '" + command + "' 2>&1").c_str(), "r");
  std::array<char, 256> part{};
  while (std::fgets(part.data(), static_cast<int>(part.size()), pipe) != nullptr) out.out += part.data();
  out.status = pclose(pipe);
  return out;
}

std::string contents(const std::string& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

struct SeamsTest : testing::Test {
  void SetUp() override {
    if (kSanitized) GTEST_SKIP() << "the sanitizer's library must be loaded first";
  }
  StateFolder folder;
  InterposedFaults interposed{folder.path()};
};

TEST_F(SeamsTest, TheWallClockIsOffAndSteps) {
  const auto reported_time = [&] { return std::stol(run(interposed, "date +%s").out); };
  EXPECT_LE(std::abs(reported_time() - std::time(nullptr)), 20);
  interposed.settings().wall_clock_offset = -7200.5;
  EXPECT_LE(std::abs(reported_time() - (std::time(nullptr) - 7200)), 20);
  interposed.settings().wall_clock_offset = 86400;
  EXPECT_LE(std::abs(reported_time() - (std::time(nullptr) + 86400)), 20);
}

TEST_F(SeamsTest, AFullDiskTakesAPartAndThenNothing) {
  interposed.settings().disk_bytes_left = 10;
  const CommandResult ran = run(interposed, "printf 0123456789abcdef > " + folder.path() + "/f");
  EXPECT_NE(ran.status, 0) << ran.out;
  EXPECT_EQ(contents(folder.path() + "/f"), "0123456789");
  EXPECT_EQ(run(interposed, "printf elsewhere > " + folder.path() + "_not").status, 0)
      << "files outside the folder are not affected";
  std::filesystem::remove(folder.path() + "_not");
  interposed.settings().disk_bytes_left = -1;
  EXPECT_EQ(run(interposed, "printf more >> " + folder.path() + "/f").status, 0);
  EXPECT_EQ(contents(folder.path() + "/f"), "0123456789more");
}

TEST_F(SeamsTest, ATornWriteStopsHalfWayAndItsProcessWithIt) {
  interposed.settings().torn_write = true;
  const CommandResult ran = run(interposed, "printf 0123456789 > " + folder.path() + "/f; echo after");
  EXPECT_EQ(ran.out.find("after"), std::string::npos) << "the process was terminated";
  EXPECT_EQ(contents(folder.path() + "/f"), "01234");
}

TEST_F(SeamsTest, ASlowDiskKeepsItsWriterWaiting) {
  interposed.settings().disk_delay_us = 200'000;
  const double from = now();
  EXPECT_EQ(run(interposed, "printf x > " + folder.path() + "/f").status, 0);
  EXPECT_GE(now() - from, 0.2);
}

TEST(State, IsSavedRolledBackAndLost) {
  StateFolder folder;
  std::ofstream(folder.path() + "/f") << "one";
  folder.save();
  std::ofstream(folder.path() + "/f") << "two";
  std::ofstream(folder.path() + "/g") << "new";
  folder.roll_back();
  EXPECT_EQ(contents(folder.path() + "/f"), "one");
  EXPECT_FALSE(std::filesystem::exists(folder.path() + "/g"));
  folder.clear();
  EXPECT_TRUE(std::filesystem::is_empty(folder.path()));
}

TEST(World, NodesServeWithWrongClocksAndStartAnewWithoutTheirState) {
  if (kSanitized) GTEST_SKIP() << "the sanitizer's library must be loaded first";
  WorldSettings s;
  s.binary = NODE;
  s.nodes = 2;
  s.interpose_environment = std::string("LD_PRELOAD=") + SEAMS;
  s.node.tenants = {{"acme", 1000}};
  s.load.rate = 100;
  ProcessWorld w(s);
  w.start();
  std::ofstream(w.state(0).path() + "/kept") << "x";
  std::ofstream(w.state(1).path() + "/kept") << "x";
  w.play(
      "n0: save\nat 0.2 n0: clock -36000 for 0.6\nat 0.4 n1: clock 3600\nat 0.9 n0: roll-back\nat 0.9 n1: "
      "forget",
      1.5);
  EXPECT_TRUE(std::filesystem::exists(w.state(0).path() + "/kept"));
  EXPECT_FALSE(std::filesystem::exists(w.state(1).path() + "/kept"));
  const Timeline t = w.finish();
  EXPECT_EQ(describe_violations(request_rules(w.checker_settings()), t), "") << t.text();
  EXPECT_EQ(std::count_if(t.evidence.lifetimes.begin(), t.evidence.lifetimes.end(),
                          [](const ProcessLifetime& lifetime) { return lifetime.killed; }),
            4)
      << "two lifetimes of each node";
  WorldSettings plain;
  plain.binary = NODE;
  ProcessWorld without(plain);
  EXPECT_THROW(without.play("n0: clock 5", 1), ScriptError);
}

}  // namespace
}  // namespace nettlestand::standins
