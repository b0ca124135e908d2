// Experiments: strict parsing, significance of differences, reproducibility for the same seeds, and the
// command line.
#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>

#include "lab/report.h"
#include "lab/runners.h"

namespace nettlestand::lab {
namespace {

const std::string kSmall = R"(name = "small"
seconds = 6
seeds = 3
faults = '''
at 2 s0: refuse for 1
at 3 n0: pause for 0.3
at 4 zone a <-> zone b: cut for 0.5
at 1 s3: gone for 1
'''
[fleet]
nodes = 3
servers = 6
zones = ["a", "b"]
between_zones_ms = 1
[traffic]
load = 0.5
tries = 2
[warm_up]
start_capacity = 0.4
ramp_ms = 2000
[[variant]]
name = "half"
[[variant]]
name = "more"
[variant.traffic]
load = 0.8
)";

std::string contents(const std::string& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

Result played(const Experiment& experiment) {
  Result out;
  out.experiment = experiment.name;
  out.on = "emulator";
  for (const Setup& setup : experiment.variants) {
    out.variants.push_back(setup.variant);
    out.fault_windows.push_back(setup.fault_window());
    out.seconds = setup.seconds;
    for (const std::uint64_t seed : experiment.seeds) out.runs.push_back(run_emulated(setup, seed));
  }
  return out;
}

TEST(Experiment, SaysFleetTrafficFaultsAndVariants) {
  const Experiment e = read_experiment(kSmall);
  ASSERT_EQ(e.variants.size(), 2U);
  EXPECT_EQ(e.seeds, (std::vector<std::uint64_t>{1, 2, 3}));
  EXPECT_EQ(e.variants[0].variant, "half");
  EXPECT_DOUBLE_EQ(e.variants[0].load, 0.5);
  EXPECT_DOUBLE_EQ(e.variants[1].load, 0.8) << "the variant overrides the experiment";
  EXPECT_EQ(e.variants[1].tries, 2) << "other keys are inherited";
  EXPECT_DOUBLE_EQ(e.variants[0].ramp_time, 2);
  EXPECT_EQ(e.variants[0].fault_window(), (std::pair<double, double>{1, 4.5}));
  EXPECT_DOUBLE_EQ(e.variants[0].capacity(), 1200);
}

TEST(Experiment, SaysWhatIsWrongAndWhere) {
  const std::vector<std::pair<std::string, std::string>> kBad = {
      {"name = ", "1:8: not valid TOML"},
      {"nodes = 3", "1:9: unknown key 'nodes'"},
      {"[fleet]\nnodes = 0", "2:9: fleet.nodes is not from 1"},
      {"[fleet]\nnodes = 2.5", "2:9: fleet.nodes is no whole number"},
      {"[fleet]\nnodes = \"x\"", "2:9: fleet.nodes is no number"},
      {"[fleet]\nwork = \"odd\"", "2:8: fleet.work: no 'odd'"},
      {"[fleet]\nzones = []", "2:9: fleet.zones is empty"},
      {"fleet = 3", "1:9: fleet is no table"},
      {"[traffic]\naim_ms = 500\ndeadline_ms = 100", "3:15: traffic.deadline_ms is under"},
      {"[traffic]\nstep = 3", "2:8: traffic.step is no list"},
      {"seeds = \"x\"", "1:9: seeds is a count"},
      {"[[variant]]\n", "1:1: variant.name is missing"},
      {"[[variant]]\nname = \"x\"\n[[variant]]\nname = \"x\"", "3:1: variant 'x' stands there twice"},
      {"[[variant]]\nname = \"x\"\nseeds = 3", "3:9: variant.seeds belongs"},
      {"faults = \"s9: refuse\"", "faults: line 1: nobody is called 's9'"}};
  for (const auto& [text, wanted] : kBad) {
    try {
      read_experiment(text);
      ADD_FAILURE() << text;
    } catch (const BadExperiment& problem) {
      EXPECT_EQ(std::string(problem.what()).substr(0, wanted.size()), wanted);
    }
  }
}

TEST(Experiment, EachSideSaysWhatItCantPlay) {
  const auto setup = [](const std::string& more) { return read_experiment(more).variants[0]; };
  EXPECT_THROW(check_emulator_support(setup("faults = \"n0 -> s0: delay 1\"")), UnsupportedSetup);
  EXPECT_THROW(check_emulator_support(setup("faults = \"s0: trickle 10\"")), UnsupportedSetup);
  EXPECT_THROW(check_emulator_support(setup("faults = \"n0: term\"")), UnsupportedSetup);
  EXPECT_THROW(check_emulator_support(setup("faults = \"discovery: refuse\"")), UnsupportedSetup);
  EXPECT_THROW(check_emulator_support(setup("faults = \"callers-a -> n0: cut\"")), UnsupportedSetup);
  EXPECT_THROW(check_process_support(setup("[fleet]\nnodes = 51")), UnsupportedSetup);
  EXPECT_THROW(check_process_support(setup("[traffic]\nuneven = 1")), UnsupportedSetup);
  EXPECT_THROW(check_process_support(setup("faults = \"n0: clock 5\"")), UnsupportedSetup);
  EXPECT_THROW(check_process_support(setup("faults = \"n0: disk-torn\"")), UnsupportedSetup);
  EXPECT_NO_THROW(check_emulator_support(setup("faults = \"zone a <-> rest: cut\"")));
}

TEST(Experiment, ThoseThatAreShippedCanBePlayed) {
  for (const char* name : {"calm", "busy", "flood", "refuse", "reset", "unsafe-error", "silent", "zone-slow",
                           "cold", "cut", "node-killed", "zone-lost", "thin-refusing", "cold-return"}) {
    const Experiment e = read_experiment(contents(std::string(EXPERIMENTS) + "/" + name + ".toml"));
    EXPECT_EQ(e.name, name);
    for (const auto& setup : e.variants) EXPECT_NO_THROW(check_emulator_support(setup)) << name;
  }
}

TEST(Experiment, TheSameSeedsGiveTheSameBytes) {
  const Experiment e = read_experiment(kSmall);
  const std::string one = to_json(played(e));
  EXPECT_EQ(one, to_json(played(e)));
  EXPECT_EQ(one, to_json(read_result(one))) << "a round trip changes nothing";
  for (const lab::Run& run : read_result(one).runs) {
    EXPECT_EQ(run.rules_broken, 0U);
    EXPECT_EQ(run.asked, run.served + run.refused + run.failed);
    EXPECT_GT(run.asked, 1000U);
  }
}

TEST(Experiment, BadResultsAreTurnedAway) {
  for (const char* text : {"", "[]", "{}", R"({"experiment":1})",
                           R"({"experiment":"x","about":"","on":"emulator","seconds":"x"})"}) {
    EXPECT_THROW(read_result(text), std::runtime_error) << text;
  }
}

// Guards against a fault: when budgets were derived from the load that the limits admit, returning servers
// were overloaded until they failed.
TEST(Experiment, ReturningServersAreNotPushedOverInAnOverload) {
  std::string text = "name = \"x\"\nseconds = 40\nfaults = '''\n";
  std::string gone;
  for (int i = 0; i < 220; ++i) {
    if (i % 10 < 3) gone += (gone.empty() ? "s" : ",s") + std::to_string(i);
  }
  text += "at 10 " + gone + ": crash for 5\nat 11 " + gone + ": gone for 4.5\n'''\n";
  text +=
      "[fleet]\nnodes = 50\nservers = 220\ncores = 1\nwork_ms = 200\n[traffic]\nload = 1.3\naim_ms = 2000\n"
      "deadline_ms = 4000\nretry_pause_ms = 500\nuneven = 0.7\ntenants = 5\ntries = 4\n"
      "[warm_up]\nstart_capacity = 0.32\nramp_ms = 9000\n";
  const auto setup = read_experiment(text).variants[0];
  for (const std::uint64_t seed : {1, 2, 3, 4}) EXPECT_EQ(run_emulated(setup, seed).rules_broken, 0U) << seed;
}

TEST(Statistics, MeansHaveStudentsIntervals) {
  const Estimate e = estimate({1, 2, 3, 4, 5});
  EXPECT_DOUBLE_EQ(e.mean, 3);
  EXPECT_NEAR(e.half_width, 2.776 * std::sqrt(2.5 / 5), 1e-9);
  EXPECT_TRUE(std::isinf(estimate({1}).half_width)) << "one run gives no variance";
  EXPECT_EQ(estimate({}).count, 0U);
}

TEST(Statistics, DifferencesArePairedBySeedAndMayBeTooSmallToTell) {
  std::vector<lab::Run> a(6), b(6);
  for (std::size_t i = 0; i < 6; ++i) {
    a[i].seed = b[i].seed = i;
    a[i].asked = b[i].asked = 1000;
    a[i].in_aim = 500 + 70 * i;              // differs widely between seeds,
    b[i].in_aim = a[i].in_aim + 10 + i % 2;  // but b is always slightly higher
  }
  const auto pointers = [](const std::vector<lab::Run>& runs) {
    std::vector<const lab::Run*> out;
    for (const lab::Run& run : runs) out.push_back(&run);
    return out;
  };
  const Difference clear = difference(pointers(a), pointers(b), "in time");
  EXPECT_TRUE(clear.is_significant);
  EXPECT_NEAR(clear.estimate.mean, 0.0105, 1e-9);
  for (std::size_t i = 0; i < 6; ++i) b[i].in_aim = a[i].in_aim + (i % 2 == 0 ? 20 : 0) - 10;
  EXPECT_FALSE(difference(pointers(a), pointers(b), "in time").is_significant);
  b.pop_back();
  EXPECT_EQ(difference(pointers(a), pointers(b), "in time").estimate.count, 5U);
}

TEST(Statistics, RecoveryIsTheFirstSecondThatHolds) {
  std::vector<Point> series;
  const double part[] = {1, 1, 1, 0.2, 0.3, 0.6, 0.96, 0.5, 0.97, 0.98, 1, 1};
  for (int s = 0; s < 12; ++s) {
    series.push_back({s, "a", 1000, static_cast<std::uint64_t>(1000 * part[s]), 0, 0, 0});
  }
  EXPECT_DOUBLE_EQ(recovery_time(series, 1, 3, 5, 12), 3)
      << "at second 8; second 6 was not followed by another";
  EXPECT_DOUBLE_EQ(recovery_time(series, 1, 3, 5, 9), -1) << "the run ends first";
  EXPECT_DOUBLE_EQ(recovery_time(series, 1, 0, 0, 12), -1) << "nothing to recover from";
}

// ------------------------------------------------------------ the command line

struct CommandResult {
  int code = 0;
  std::string out;
};

CommandResult run(const std::string& arguments) {
  CommandResult out;
  FILE* pipe = popen((std::string(LAB) + " " + arguments + " 2>&1").c_str(), "r");
  std::array<char, 512> part{};
  while (std::fgets(part.data(), static_cast<int>(part.size()), pipe) != nullptr) out.out += part.data();
  out.code = WEXITSTATUS(pclose(pipe));
  return out;
}

TEST(Lab, RunsComparesAndReports) {
  const std::string base = testing::TempDir() + "nettlestand_lab_" + std::to_string(getpid());
  std::ofstream(base + ".toml") << kSmall;
  const CommandResult one = run("run " + base + ".toml --quiet --jobs 1 --out " + base + ".1.json");
  EXPECT_EQ(one.code, 0) << one.out;
  EXPECT_NE(one.out.find("| half | 3 | 0 |"), std::string::npos) << one.out;
  EXPECT_NE(one.out.find("more less half, seed by seed"), std::string::npos) << one.out;
  const CommandResult two = run("run " + base + ".toml --quiet --jobs 4 --out " + base + ".2.json");
  EXPECT_EQ(contents(base + ".1.json"), contents(base + ".2.json")) << "the number of jobs does not matter";
  const CommandResult same = run("compare " + base + ".1.json " + base + ".2.json");
  EXPECT_EQ(same.code, 0);
  EXPECT_NE(same.out.find("| in time | 3 | 0 ± 0 | can't be told apart |"), std::string::npos) << same.out;
  const CommandResult page = run("report " + base + ".1.json --out " + base + ".html");
  EXPECT_EQ(page.code, 0) << page.out;
  const std::string html = contents(base + ".html");
  std::size_t plots = 0;
  for (std::size_t at = 0; (at = html.find("<svg", at)) != std::string::npos; ++at) ++plots;
  EXPECT_EQ(plots, 4U) << "two for each variant";
  EXPECT_NE(html.find("zone a"), std::string::npos);
  std::ofstream(base + ".toml") << "[fleet]\nnode = 3\n";
  const CommandResult bad = run("run " + base + ".toml");
  EXPECT_EQ(bad.code, 2);
  EXPECT_NE(bad.out.find(base + ".toml:2:8: unknown key 'fleet.node'"), std::string::npos) << bad.out;
  EXPECT_EQ(run("run").code, 2);
  EXPECT_EQ(run("report /nowhere --out /nowhere").code, 2);
  for (const char* end : {".toml", ".1.json", ".2.json", ".html"}) std::remove((base + end).c_str());
}

TEST(Lab, PlaysOnProcesses) {
  auto setup = read_experiment(
                   "seconds = 3\nfaults = \"at 1 s0: refuse for 0.5\"\n[fleet]\nnodes = 2\nservers = 3\n"
                   "[traffic]\nload = 0.2\ntries = 2\n")
                   .variants[0];
  const lab::Run run = run_on_processes(setup, 1, NODE);
  EXPECT_EQ(run.rules_broken, 0U);
  EXPECT_GT(run.asked, 100U);
  EXPECT_EQ(run.asked, run.served + run.refused + run.failed);
  EXPECT_GT(run.attempts, run.served * 9 / 10);
  EXPECT_EQ(run.series.size(), 3U);
}

}  // namespace
}  // namespace nettlestand::lab
