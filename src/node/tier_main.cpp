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
    "  edge        runs an edge node: forwards client requests and serves operator calls; with a disk, also\n"
    "              holds control state\n"
    "  store       runs a store: keeps batch jobs and runs their items\n"
    "  check FILE  validates a settings file and lists its errors with line numbers\n"
    "\n"
    "The path of the settings file (TOML) is taken from --config, or else from NETTLESTAND_CONFIG.\n";

int check_settings(const std::string& path) {
  const auto settings = read_settings(path);
  if (settings.ok()) {
    std::cout << path << ": ok\n";
    return kExitOk;
  }
  std::cerr << path << ":\n" << settings.status().message() << "\n";
  return kExitUsageError;
}

// Whether a file has the serving tier's settings: only these files set `node_name`. The operator's file of a
// single node doesn't.
bool is_tier_settings(const std::string& path) {
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("node_name")) return true;
  }
  return false;
}

// Blocks the signals that a node handles until its handlers are installed: by default, an early SIGHUP would
// terminate the process.
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
    std::cerr << "no settings file: set NETTLESTAND_CONFIG or pass --config\n";
    return kExitUsageError;
  }
  auto settings = read_settings(path);
  if (!settings.ok()) {
    std::cerr << path << ":\n" << settings.status().message() << "\n";
    return kExitUsageError;
  }
  start_logging(settings->log.level);
  NodeProgram program(role, *std::move(settings), path);  // installs the signal handlers
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
      {"help", 'h', POPT_ARG_NONE, &help, 0, "show this help", nullptr},
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
