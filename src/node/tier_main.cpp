#include "node/tier_main.h"

#include <popt.h>
#include <signal.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>

#include "node/log.h"
#include "node/node_program.h"

namespace nettlestand::tier {
namespace {

constexpr int kExitOk = 0, kExitUsageError = 2;

const char* const kUsage =
    "Usage: nettlestand edge | store | check FILE\n"
    "\n"
    "  edge        runs an edge machine: carries traffic, takes the operator's calls; with a disk, holds "
    "the\n"
    "              control state too\n"
    "  store       runs a storage machine: keeps batch jobs and runs their items\n"
    "  check FILE  says all that is wrong with a settings file, with lines\n"
    "\n"
    "The settings file (TOML) is named by NETTLESTAND_CONFIG, or by --config.\n";

int check_settings(const std::string& path) {
  const auto settings = read_settings(path);
  if (settings.ok()) {
    std::cout << path << ": ok\n";
    return kExitOk;
  }
  std::cerr << path << ":\n" << settings.status().message() << "\n";
  return kExitUsageError;
}

// Told from the operator's file of a single node by a setting that only these files have.
bool is_tier_settings(const std::string& path) {
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("node_name")) return true;
  }
  return false;
}

// Holds back the signals that a node heeds until it can: at their default a SIGHUP that comes early would end
// it.
class BlockedSignals {
 public:
  BlockedSignals() {
    sigemptyset(&blocked_);
    for (const int signal : {SIGHUP, SIGTERM, SIGINT}) sigaddset(&blocked_, signal);
    pthread_sigmask(SIG_BLOCK, &blocked_, nullptr);
  }
  void unblock() { pthread_sigmask(SIG_UNBLOCK, &blocked_, nullptr); }

 private:
  sigset_t blocked_{};
};

int run_role(NodeRole role, const std::string& path) {
  BlockedSignals signals;
  if (path.empty()) {
    std::cerr << "NETTLESTAND_CONFIG names no settings file\n";
    return kExitUsageError;
  }
  auto settings = read_settings(path);
  if (!settings.ok()) {
    std::cerr << path << ":\n" << settings.status().message() << "\n";
    return kExitUsageError;
  }
  start_logging(settings->log.level);
  NodeProgram program(role, *std::move(settings), path);  // from here on they have handlers
  signals.unblock();
  return program.run();
}

}  // namespace

bool is_tier_command(int argc, char** argv) {
  if (argc < 2) return false;
  const std::string command = argv[1];
  return command == "edge" || command == "store" ||
         (command == "check" && argc == 3 && is_tier_settings(argv[2]));
}

int tier_main(int argc, char** argv) {
  char* config = nullptr;
  int help = 0;
  const poptOption options[] = {
      {"config", 'c', POPT_ARG_STRING, &config, 0, "the settings file", "FILE"},
      {"help", 'h', POPT_ARG_NONE, &help, 0, "this text", nullptr},
      {nullptr, 0, 0, nullptr, 0, nullptr, nullptr},
  };
  poptContext context = poptGetContext("nettlestand", argc, const_cast<const char**>(argv), options, 0);
  const int result = poptGetNextOpt(context);
  if (result < -1) {
    std::cerr << poptBadOption(context, POPT_BADOPTION_NOALIAS) << ": " << poptStrerror(result) << "\n"
              << kUsage;
    poptFreeContext(context);
    return kExitUsageError;
  }
  const auto next_argument = [context] {
    const char* text = poptGetArg(context);
    return std::string(text != nullptr ? text : "");
  };
  const std::string command = next_argument(), argument = next_argument();
  poptFreeContext(context);
  const char* from_environment = std::getenv("NETTLESTAND_CONFIG");
  const std::string path = config != nullptr ? config : from_environment != nullptr ? from_environment : "";
  std::free(config);
  if (help != 0) {
    std::cout << kUsage;
    return kExitOk;
  }
  if (command == "check" && !argument.empty()) return check_settings(argument);
  if (command == "edge") return run_role(NodeRole::kEdge, path);
  if (command == "store") return run_role(NodeRole::kStore, path);
  std::cerr << kUsage;
  return kExitUsageError;
}

}  // namespace nettlestand::tier
