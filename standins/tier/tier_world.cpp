#include "standins/tier/tier_world.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace nettlestand::tier::standins {
namespace {

constexpr int kFrontPort = 18405, kReadyPort = 18406, kControlPort = 18407, kInternalPort = 17660;
constexpr int kPlatformPort = 18408, kEnginePort = 19000;
// Last byte of the addresses: nodes from 1 on, then the platform and the engines.
constexpr std::size_t kFirstEngineIp = 230, kPlatformIp = 229;
constexpr std::size_t kMaxNodes = kPlatformIp - 1;
constexpr int kSignalBase = 128;

// Called in a child between fork and exec: the parent's handlers may allocate or print, which needs locks
// that other threads of the parent held at the fork.
void drop_signal_handlers() {
  for (int number = 1; number < NSIG; ++number) ::signal(number, SIG_DFL);
}

// The exit code of a child process; -1 if a signal ended it.
int wait_for_exit(int pid) {
  int status = 0;
  ::waitpid(pid, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}  // namespace

TierWorld::TierWorld(const TierOptions& options) : options_(options) {
  if (options_.core + options_.plain_edges + options_.stores > kMaxNodes)
    throw std::runtime_error("too many nodes for one network");
  std::string pattern = (std::filesystem::temp_directory_path() / "nettlestand-tier-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("can't create a temporary folder");
  folder_ = pattern;
  // Loopback addresses derived from the process id, so that several worlds can run side by side.
  network_ = static_cast<unsigned>(::getpid()) % 50000;
  platform_ = std::make_unique<Platform>(loop_, ip(kPlatformIp) + ":" + std::to_string(kPlatformPort));
  for (std::size_t i = 0; i < options_.engines; ++i) {
    engines_.push_back(std::make_unique<Engine>(loop_, "i-" + std::to_string(i),
                                                ip(kFirstEngineIp + i) + ":" + std::to_string(kEnginePort)));
  }
  platform_->set_servers(full_server_list());
  for (std::size_t i = 0; i < options_.core + options_.plain_edges + options_.stores; ++i) {
    Node node;
    const bool store = i >= edges();
    node.role = store ? "store" : "edge";
    node.name = node.role + "-" + std::to_string(i);
    node.ip = ip(i + 1);
    node.has_disk = store || i < options_.core;
    node.folder = folder_ + "/" + node.name;
    if (node.has_disk) std::filesystem::create_directory(node.folder);
    nodes_.push_back(node);
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) start(i, true);
}

TierWorld::~TierWorld() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    kill(i);
    kill(i);  // a process beside it
  }
  std::error_code ignored;
  if (!keep_logs_) std::filesystem::remove_all(folder_, ignored);
}

std::string TierWorld::ip(std::size_t i) const {
  return "127." + std::to_string(10 + network_ / 250) + "." + std::to_string(network_ % 250) + "." +
         std::to_string(i);
}

std::vector<Platform::Entry> TierWorld::full_server_list() const {
  std::vector<Platform::Entry> out;
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    Platform::Entry entry;
    entry.id = engines_[i]->instance();
    entry.service = "models";
    entry.address = engines_[i]->address();
    entry.zone = std::string("zone-") + static_cast<char>('a' + i % 3);
    out.push_back(entry);
  }
  return out;
}

void TierWorld::write_settings(const Node& node, bool bootstrap) const {
  std::ofstream file(folder_ + "/" + node.name + ".toml");
  const auto text = [&](const char* key, const std::string& value) {
    file << key << " = \"" << value << "\"\n";
  };
  const auto address = [&](int port) { return node.ip + ":" + std::to_string(port); };
  text("node_name", node.name);
  text("machine_class", node.role == "store" ? "storage" : "edge");
  text("ip", node.ip);
  text("zone", std::string("zone-") + static_cast<char>('a' + (node.name.back() - '0') % 3));
  file << "internal_port_range = [" << kInternalPort << ", " << kInternalPort + 15 << "]\nseeds = [";
  for (std::size_t i = 1; i <= 3; ++i)
    file << (i > 1 ? ", " : "") << '"' << ip(i) << ':' << kControlPort << '"';
  file << "]\nbootstrap = " << (bootstrap ? "true" : "false") << "\n";
  if (node.has_disk) text("data_dir", node.folder);
  if (node.role == "edge") {
    file << "[listen]\n";
    text("front", address(kFrontPort));
    text("ready", address(kReadyPort));
    text("control", address(kControlPort));
  }
  file << "[limits]\ndisk_mb = 128\n";
  const NodeLimits& limits = node.role == "store" ? options_.store_limits : options_.edge_limits;
  if (limits.memory_mb) file << "memory_mb = " << *limits.memory_mb << "\n";
  if (limits.max_fds) file << "max_fds = " << *limits.max_fds << "\n";
  file << "[fault_tolerance]\nmachines = 1\n[cloud_api]\nrate_per_s = 40.0\n";
  text("address", platform_->address());
  file << options_.more_settings;
}

void TierWorld::start(std::size_t i, bool bootstrap) {
  Node& node = nodes_.at(i);
  node.log_start = log(i).size();
  write_settings(node, bootstrap);
  node.pid = spawn(node);
}

void TierWorld::start_beside(std::size_t i) {
  Node& node = nodes_.at(i);
  if (node.beside_pid > 0) return;
  node.log_start = log(i).size();
  node.beside_pid = spawn(node);
}

int TierWorld::spawn(const Node& node) const {
  const std::string settings = folder_ + "/" + node.name + ".toml", log = folder_ + "/" + node.name + ".log";
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  // Prepares everything before the fork: between fork and exec, a child of a process with threads may call
  // little.
  const std::string variable = "NETTLESTAND_CONFIG=" + settings;
  std::vector<char*> environment = {const_cast<char*>(variable.c_str()), nullptr};
  const char* program = options_.program.c_str();
  const char* role = node.role.c_str();
  // Blocks signals until the child has dropped this process's handlers.
  sigset_t all, before;
  sigfillset(&all);
  pthread_sigmask(SIG_BLOCK, &all, &before);
  const int pid = ::fork();
  if (pid != 0) {
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    ::close(out);
    return pid;
  }
  drop_signal_handlers();
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
  ::dup2(out, STDOUT_FILENO);
  ::dup2(out, STDERR_FILENO);
  ::execle(program, program, role, nullptr, environment.data());
  ::_exit(127);
}

void TierWorld::kill(std::size_t i) {
  Node& node = nodes_.at(i);
  if (node.pid <= 0) return;
  ::kill(node.pid, SIGKILL);
  ::waitpid(node.pid, nullptr, 0);
  node.pid = std::exchange(node.beside_pid, 0);
}

void TierWorld::signal(std::size_t i, int number) { ::kill(nodes_.at(i).pid, number); }

void TierWorld::terminate(std::size_t i) { signal(i, SIGTERM); }

bool TierWorld::has_started(std::size_t i) const {
  return log(i).find("started node=", nodes_.at(i).log_start) != std::string::npos;
}

std::optional<int> TierWorld::ended(std::size_t i) {
  Node& node = nodes_.at(i);
  int status = 0;
  if (node.pid <= 0 || ::waitpid(node.pid, &status, WNOHANG) != node.pid) return std::nullopt;
  node.pid = std::exchange(node.beside_pid, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
}

int TierWorld::exit_code(std::size_t i) {
  Node& node = nodes_.at(i);
  return wait_for_exit(std::exchange(node.pid, std::exchange(node.beside_pid, 0)));
}

int TierWorld::exit_code_beside(std::size_t i) {
  return wait_for_exit(std::exchange(nodes_.at(i).beside_pid, 0));
}

int TierWorld::terminate_beside(std::size_t i) {
  ::kill(nodes_.at(i).beside_pid, SIGTERM);
  return exit_code_beside(i);
}

void TierWorld::wipe(std::size_t i) {
  std::filesystem::remove_all(nodes_.at(i).folder);
  std::filesystem::create_directory(nodes_.at(i).folder);
}

std::string TierWorld::log(std::size_t i) const {
  std::ifstream file(folder_ + "/" + nodes_.at(i).name + ".log");
  std::ostringstream out;
  out << file.rdbuf();
  return out.str();
}

ProcessUsage TierWorld::usage(std::size_t i) const {
  ProcessUsage out;
  const int pid = nodes_.at(i).pid;
  if (pid <= 0) return out;
  const std::string folder = "/proc/" + std::to_string(pid);
  std::ifstream status(folder + "/status");
  for (std::string line; std::getline(status, line);) {
    const auto value_of = [&line](const char* key) -> std::size_t {
      const std::string_view name = key;
      return line.starts_with(name) ? std::strtoul(line.c_str() + name.size(), nullptr, 10) : 0;
    };
    if (const std::size_t kb = value_of("VmRSS:")) out.resident_kb = kb;
    if (const std::size_t kb = value_of("VmHWM:")) out.peak_resident_kb = kb;
  }
  std::error_code ignored;
  for (std::filesystem::directory_iterator at(folder + "/fd", ignored), end; at != end; at.increment(ignored))
    ++out.descriptors;
  return out;
}

std::string TierWorld::keep_logs() {
  keep_logs_ = true;
  return folder_;
}

HttpResult TierWorld::call(const std::string& address, const std::string& method, const std::string& target,
                           const HeaderList& headers, const std::string& body, int timeout_ms) const {
  std::string request =
      method + " " + target + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  for (const auto& [name, value] : headers) request += name + ": " + value + "\r\n";
  request += "\r\n" + body;
  const Millis until = steady_now() + timeout_ms;
  PersistentConnection connection;
  if (!connection.open(address, timeout_ms)) return {};
  return connection.exchange(request, std::max<Millis>(until - steady_now(), 1));
}

std::string TierWorld::front_address(std::size_t node) const {
  return nodes_.at(node).ip + ":" + std::to_string(kFrontPort);
}

std::string TierWorld::ready_address(std::size_t node) const {
  return nodes_.at(node).ip + ":" + std::to_string(kReadyPort);
}

std::string TierWorld::control_address(std::size_t node) const {
  return nodes_.at(node).ip + ":" + std::to_string(kControlPort);
}

std::string TierWorld::internal_address(std::size_t node) const {
  return nodes_.at(node).ip + ":" + std::to_string(kInternalPort);
}

HttpResult TierWorld::client(std::size_t node, const std::string& method, const std::string& target,
                             const HeaderList& headers, const std::string& body, int timeout_ms) const {
  return call(front_address(node), method, target, headers, body, timeout_ms);
}

HttpResult TierWorld::control(std::size_t node, const std::string& method, const std::string& target,
                              const HeaderList& headers, const std::string& body) const {
  return call(control_address(node), method, target, headers, body);
}

bool TierWorld::ready(std::size_t node) const {
  return call(ready_address(node), "GET", "/nettlestand/readiness", {{"Host", "x"}}, "").status == 200;
}

HttpResult TierWorld::change_configuration(const std::string& verb, std::uint64_t base,
                                           const std::string& body) const {
  HttpResult out;
  until(15000, [&] {
    for (std::size_t node = 0; node < edges(); ++node) {
      if (nodes_[node].pid == 0) continue;
      out = control(node, "POST", "/nettlestand/config/" + verb,
                    {{"Host", "x"}, {"X-Base-Version", std::to_string(base)}}, body);
      if (out.status == 200 || (out.status >= 400 && out.status < 500)) return true;
    }
    return false;
  });
  return out;
}

}  // namespace nettlestand::tier::standins
