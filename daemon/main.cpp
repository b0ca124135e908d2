// nettlestand: one node of the load balancer. See README.md for its configuration.
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <stdexcept>
#include <string>

#include "daemon/node.h"
#include "util/clock.h"

namespace {

namespace ns = nettlestand;

constexpr std::size_t kLongestConfig = 4 * 1024 * 1024;  // bytes; known servers of 192 MB fit
constexpr int kBadConfig = 2, kCannotStart = 1;

void log_line(const std::string& text) { std::fprintf(stderr, "%.3f %s\n", ns::now(), text.c_str()); }

ns::Config load() {
  const char* path = std::getenv("GW_CONFIG");
  if (path == nullptr) throw std::runtime_error("GW_CONFIG is not set");
  std::ifstream in(path);
  if (!in) throw std::runtime_error(std::string("can't read ") + path);
  // Guards the memory of a node that runs: a file is read again after each SIGHUP.
  std::string text;
  for (std::array<char, 4096> part; in.read(part.data(), part.size()), in.gcount() > 0;) {
    text.append(part.data(), static_cast<std::size_t>(in.gcount()));
    if (text.size() > kLongestConfig) throw std::runtime_error(std::string(path) + " is longer than 4 MiB");
  }
  return ns::read_config(text);
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  int failure = kBadConfig;
  try {
    const ns::Config config = load();
    failure = kCannotStart;
    ns::Node node(config, load, log_line);
    node.run();
    std::_Exit(0);                                  // what is still open ends with the process
  } catch (const std::invalid_argument& problem) {  // settings that the module can't use
    failure = kBadConfig;
    std::fprintf(stderr, "nettlestand: %s\n", problem.what());
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "nettlestand: %s\n", problem.what());
  }
  return failure;
}
