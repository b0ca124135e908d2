// nettlestand-standin-discovery: ScriptedDiscovery as a standalone program.
#include <csignal>
#include <cstdio>
#include <exception>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "standins/common/options.h"
#include "standins/discovery/discovery.h"

namespace {

namespace si = nettlestand::standins;

constexpr const char* kUsage =
    R"(nettlestand-standin-discovery: the list of servers, on 127.0.0.1

  --port N       port; 0: the kernel gives one (0)
  --server S     HOST=PORT[,site=a][,block=0][,share=1][,kind=m][,born=0]; one for each server
  --period S     between the empty lines of a watch (2)

Says "listening on 127.0.0.1:PORT" once it does. Commands on standard input, one a line:
  server S                          adds or changes a server
  active|leaving|left HOST          its state
  forget HOST                       off the list with no word to the watches
  up|refuse|unavailable|silent      how discovery is
  lag S                             changes are written so late
  list                              prints the list
It goes on when its input ends, until SIGTERM or SIGINT.
)";

si::ServerEntry read_server(const std::string& text) {
  si::ServerEntry out;
  const std::vector<std::string> parts = si::Options::split(text, ',');
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const std::vector<std::string> pair = si::Options::split(parts[i], '=');
    if (pair.size() != 2) throw std::invalid_argument("'" + parts[i] + "' is not NAME=VALUE");
    const auto number = [&] { return si::Options::to_number(pair[1], pair[0]); };
    if (i == 0) {
      out.host = pair[0];
      out.port = static_cast<int>(number());
    } else if (pair[0] == "site") {
      out.site = pair[1];
    } else if (pair[0] == "kind") {
      out.kind = pair[1];
    } else if (pair[0] == "block") {
      out.block = static_cast<int>(number());
    } else if (pair[0] == "share") {
      out.share = number();
    } else if (pair[0] == "born") {
      out.born_ms = static_cast<std::uint64_t>(number());
    } else {
      throw std::invalid_argument("a server has no '" + pair[0] + "'");
    }
  }
  return out;
}

void run_command(si::ScriptedDiscovery& discovery, const std::string& line) {
  std::istringstream in(line);
  std::string command, argument;
  in >> command >> argument;
  using Mode = si::ScriptedDiscovery::Mode;
  if (command.empty()) return;
  if (command == "server") {
    discovery.update(read_server(argument));
  } else if (command == "active" || command == "leaving" || command == "left") {
    discovery.set_health(argument, command);
  } else if (command == "forget") {
    discovery.remove_silently(argument);
  } else if (command == "up") {
    discovery.set_mode(Mode::kUp);
  } else if (command == "refuse") {
    discovery.set_mode(Mode::kRefuse);
  } else if (command == "unavailable") {
    discovery.set_mode(Mode::kUnavailable);
  } else if (command == "silent") {
    discovery.set_mode(Mode::kSilent);
  } else if (command == "lag") {
    discovery.set_delay(si::Options::to_number(argument, "lag"));
  } else if (command == "list") {
    for (const si::ServerEntry& s : discovery.list()) {
      std::printf("%s 127.0.0.1:%d %s\n", s.host.c_str(), s.port, s.health.c_str());
    }
  } else {
    throw std::invalid_argument("'" + command + "' is no command");
  }
  std::fflush(stdout);
}

int serve(const si::Options& options) {
  sigset_t ends;
  sigemptyset(&ends);
  sigaddset(&ends, SIGTERM);
  sigaddset(&ends, SIGINT);
  pthread_sigmask(SIG_BLOCK, &ends, nullptr);
  si::LoopThread loop;
  si::ScriptedDiscovery discovery(loop.loop(), nullptr, options.number("period", 2));
  std::vector<si::ServerEntry> servers;
  for (const std::string& one : options.all("server")) servers.push_back(read_server(one));
  if (!servers.empty()) discovery.update(servers);
  std::printf("listening on 127.0.0.1:%d\n", discovery.endpoint("any", options.integer("port", 0)));
  std::fflush(stdout);
  // Reads commands on a thread of its own, so that a blocking read doesn't delay the handling of signals.
  std::thread([&discovery] {
    for (std::string line; std::getline(std::cin, line);) {
      try {
        run_command(discovery, line);
      } catch (const std::exception& problem) {
        std::fprintf(stderr, "%s\n", problem.what());
      }
    }
  }).detach();
  int which = 0;
  sigwait(&ends, &which);
  std::_Exit(0);  // without destructors: the reader thread may still use `discovery`
}

}  // namespace

int main(int argc, char** argv) {
  if (argc == 2 && std::string(argv[1]) == "--help") return std::fputs(kUsage, stdout) < 0 ? 1 : 0;
  try {
    return serve(si::Options(argc, argv, {"port", "server", "period"}));
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "nettlestand-standin-discovery: %s\n", problem.what());
    return 2;
  }
}
