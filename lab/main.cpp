// nettlestand-lab: runs, compares and reports experiments in the emulator and on processes.
#include <CLI/CLI.hpp>
#include <atomic>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "lab/report.h"
#include "lab/runners.h"

namespace {

namespace lab = nettlestand::lab;

// Exit codes: a run broke a rule; the input or the arguments can't be used.
constexpr int kExitRuleBroken = 1, kExitBadInput = 2;

std::string contents(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw std::runtime_error("can't read " + path);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

void write(const std::string& path, const std::string& text) {
  if (!(std::ofstream(path) << text)) throw std::runtime_error("can't write " + path);
}

int run(const std::string& file, const std::string& on, const std::string& out_file, const std::string& node,
        int jobs, int seeds, bool quiet) {
  lab::Experiment experiment;
  try {
    experiment = lab::read_experiment(contents(file));
  } catch (const lab::BadExperiment& problem) {
    throw std::runtime_error(file + ":" + problem.what());
  }
  if (seeds > 0) {
    experiment.seeds.clear();
    for (int i = 1; i <= seeds; ++i) experiment.seeds.push_back(static_cast<std::uint64_t>(i));
  }
  const bool emulated = on == "emulator";
  lab::Result result;
  result.experiment = experiment.name;
  result.about = experiment.about;
  result.on = on;
  for (const lab::Setup& setup : experiment.variants) {
    emulated ? lab::check_emulator_support(setup) : lab::check_process_support(setup);
    result.variants.push_back(setup.variant);
    result.fault_windows.push_back(setup.fault_window());
    result.seconds = std::max(result.seconds, setup.seconds);
  }
  const std::size_t all = experiment.variants.size() * experiment.seeds.size();
  result.runs.resize(all);
  std::atomic<std::size_t> next = 0, done = 0;
  std::mutex mutex;
  std::string failed;
  const auto work = [&] {
    for (std::size_t i = next++; i < all; i = next++) {
      const lab::Setup& setup = experiment.variants[i / experiment.seeds.size()];
      const std::uint64_t seed = experiment.seeds[i % experiment.seeds.size()];
      try {
        result.runs[i] = emulated ? lab::run_emulated(setup, seed) : lab::run_on_processes(setup, seed, node);
      } catch (const std::exception& problem) {
        const std::lock_guard lock(mutex);
        failed = setup.variant + ", seed " + std::to_string(seed) + ": " + problem.what();
        next = all;
      }
      const std::size_t count = ++done;
      if (quiet) continue;
      const std::lock_guard lock(mutex);
      std::fprintf(stderr, "\r%zu of %zu runs", count, all);
      if (count == all) std::fprintf(stderr, "\n");
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < jobs; ++i) threads.emplace_back(work);
  for (std::thread& thread : threads) thread.join();
  if (!failed.empty()) throw std::runtime_error(failed);
  if (!out_file.empty()) write(out_file, lab::to_json(result));
  std::printf("%s\n%s", lab::table(result).c_str(), lab::compare_variants(result).c_str());
  for (const lab::Run& one : result.runs) {
    if (one.rules_broken > 0) return kExitRuleBroken;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "Experiments on fleets of nodes: in the emulator, or on processes connected by simulated links.",
      "nettlestand-lab");
  app.require_subcommand(1);
  std::string file, other, out, on = "emulator";
  std::string node =
      (std::filesystem::read_symlink("/proc/self/exe").parent_path().parent_path() / "nettlestand").string();
  int jobs = 0, seeds = 0;
  bool quiet = false;
  CLI::App* run_command =
      app.add_subcommand("run",
                         "Runs an experiment and prints means with 95% intervals; exit code 1 "
                         "if a rule was broken.");
  run_command->add_option("file", file, "the experiment (TOML)")->required();
  run_command->add_option("--on", on, "emulator or processes")
      ->check(CLI::IsMember({"emulator", "processes"}))
      ->capture_default_str();
  run_command->add_option("--out", out, "output file for the result (JSON)");
  run_command->add_option("--node", node, "path of the node's binary, for processes")->capture_default_str();
  run_command->add_option("--jobs", jobs, "concurrent runs; 0: one per core, or one on processes")
      ->check(CLI::Range(0, 256));
  run_command->add_option("--seeds", seeds, "number of seeds, replaces the file's")
      ->check(CLI::Range(1, 10000));
  run_command->add_flag("--quiet", quiet, "no progress line");
  CLI::App* compare_command = app.add_subcommand(
      "compare", "Compares two results of one experiment, such as of two builds, seed by seed.");
  compare_command->add_option("first", file, "a result (JSON)")->required();
  compare_command->add_option("second", other, "another result (JSON)")->required();
  CLI::App* report_command = app.add_subcommand("report", "Writes an HTML page with plots of a result.");
  report_command->add_option("result", file, "a result (JSON)")->required();
  report_command->add_option("--out", out, "output file for the page")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& problem) {
    return app.exit(problem) == 0 ? 0 : kExitBadInput;
  }
  try {
    if (*compare_command) {
      std::printf("%s",
                  lab::compare(lab::read_result(contents(file)), lab::read_result(contents(other))).c_str());
      return 0;
    }
    if (*report_command) {
      write(out, lab::report(lab::read_result(contents(file))));
      return 0;
    }
    if (jobs == 0)
      jobs = on == "processes" ? 1 : static_cast<int>(std::max(1U, std::thread::hardware_concurrency()));
    return run(file, on, out, node, jobs, seeds, quiet);
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "nettlestand-lab: %s\n", problem.what());
    return kExitBadInput;
  }
}
