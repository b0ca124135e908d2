#include "standins/world/node_process.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <utility>

#include "standins/common/loop.h"

namespace nettlestand::standins {
namespace {

constexpr double kStartTimeoutSeconds = 20;                   // only ends a test that would hang
constexpr auto kPollInterval = std::chrono::milliseconds(4);  // for conditions that have no notification
constexpr std::string_view kListeningText = "listening on ";  // log text that precedes the address

std::string temporary_path(const char* what) {
  static std::atomic<int> count = 0;
  const char* dir = std::getenv("TMPDIR");
  return std::string(dir != nullptr ? dir : "/tmp") + "/standins_" + std::to_string(getpid()) + "_" +
         std::to_string(++count) + "_" + what;
}

void write_file(const std::string& path, const std::string& text) {
  if (!(std::ofstream(path) << text)) throw std::runtime_error("can't write " + path);
}

}  // namespace

CheckedClass checked_class(const NodeRequestClass& c) {
  CheckedClass to;
  to.name = c.name;
  to.effect = c.effect == "safe"    ? CheckedClass::Effect::kSafe
              : c.effect == "keyed" ? CheckedClass::Effect::kKeyed
                                    : CheckedClass::Effect::kUnsafe;
  to.group = c.group == "all"    ? CheckedClass::Group::kAll
             : c.group == "zone" ? CheckedClass::Group::kZone
                                 : CheckedClass::Group::kCell;
  to.window = c.window;
  return to;
}

std::string NodeConfig::json() const {
  std::ostringstream out;
  out << R"({"name":")" << name << R"(","listen":")" << ip << ":" << listen << R"(","discovery":")"
      << discovery_ip << ":" << discovery << R"(","seed":")" << seed << R"(","limits":{"sockets":)" << sockets
      << R"(,"memory_mb":)" << memory_mb << "},"
      << (known_servers.empty() ? "" : "\"known\":" + known_servers + ",") << extra_members;
  if (!peer_listen.empty()) {
    out << R"("peer_listen":")" << peer_listen << R"(","peers":[)";
    for (std::size_t i = 0; i < peer_addresses.size(); ++i)
      out << (i > 0 ? "," : "") << '"' << peer_addresses[i] << '"';
    out << "],";
    if (!broadcast_address.empty()) out << R"("peers_all":")" << broadcast_address << R"(",)";
  }
  out << R"("settings":{"zone":)" << zone << R"(,"position":)" << position << R"(,"peersTotal":)" << peers
      << R"(,"stage":)" << stage << R"(,"registryMode":")" << (subscribe ? "subscribe" : "push")
      << R"(","azs":[)";
  for (std::size_t i = 0; i < zones.size(); ++i) out << (i > 0 ? "," : "") << '"' << zones[i] << '"';
  out << R"(],"bounds":{"cancel":)" << (cancel ? "true" : "false") << R"(,"peers":)"
      << (peer_listen.empty() ? "false" : "true") << R"(,"maxAttempts":)" << attempts << R"(,"secondCopies":)"
      << (second_copies ? "true" : "false") << R"(,"retryAfter":)" << (retry_after > 0 ? "true" : "false")
      << R"(,"maxRetryAfter":)" << retry_after << R"(,"dialTimeout":)" << connect_timeout
      << R"(,"idleClose":)" << idle_close << R"(},"overShareWorth":)" << over_share_worth << R"(,"realms":[)";
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    out << (i > 0 ? "," : "") << R"({"name":")" << tenants[i].name << R"(","allowancePerS":)"
        << tenants[i].allowance << "}";
  }
  out << R"(],"rules":{"askWithin":)" << ask_within << R"(,"startCapacity":)" << start_capacity
      << R"(,"rampTime":)" << ramp_time << R"(},"categories":[)";
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const NodeRequestClass& c = classes[i];
    out << (i > 0 ? "," : "") << R"({"name":")" << c.name << R"(","aim":)" << c.aim << R"(,"giveUp":)"
        << c.give_up << R"(,"lateWorth":)" << c.late_worth << R"(,"effect":")" << c.effect << '"';
    if (c.effect == "keyed") out << R"(,"group":")" << c.group << R"(","dedupWindow":)" << c.window;
    out << "}";
  }
  out << "]}}";
  return out.str();
}

namespace {

// Runs `f` on a thread that lives as long as this process: PR_SET_PDEATHSIG kills a child when the thread
// that forked it ends.
pid_t on_spawner(const std::function<pid_t()>& f) {
  static LoopThread* const spawner = new LoopThread;  // never destroyed
  pid_t out = -1;
  spawner->loop().call([&] { out = f(); });
  return out;
}

}  // namespace

NodeProcess::NodeProcess(std::string binary, const NodeConfig& config, ProcessOptions options)
    : binary_(std::move(binary)), config_path_(temporary_path("config")), log_path_(temporary_path("log")) {
  write_file(config_path_, config.json());
  if (!options.operator_file.empty()) {
    operator_file_path_ = temporary_path("file");
    write_file(operator_file_path_, options.operator_file);
    if (options.arguments.empty()) options.arguments.push_back("run");
    options.arguments.push_back("--config");
    options.arguments.push_back(operator_file_path_);
  }
  const Fd log(open(log_path_.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_APPEND | O_CLOEXEC, 0600));
  if (!log) throw std::runtime_error("can't write " + log_path_);
  // Allocates everything before the fork: other threads may hold allocator locks during it.
  std::vector<std::string> variables = options.environment;
  variables.push_back("GW_CONFIG=" + config_path_);
  for (char** e = environ; *e != nullptr; ++e) {
    if (std::string(*e).rfind("GW_CONFIG=", 0) != 0) variables.emplace_back(*e);
  }
  std::vector<char*> environment;
  for (std::string& e : variables) environment.push_back(e.data());
  environment.push_back(nullptr);
  std::vector<char*> arguments = {binary_.data()};
  for (std::string& a : options.arguments) arguments.push_back(a.data());
  arguments.push_back(nullptr);
  ip_ = config.ip;
  lifetime_.node = config.name;
  lifetime_.started_at = now();
  const pid_t parent = getpid();
  child_ = on_spawner([&] {
    const pid_t child = fork();
    if (child != 0) return child;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);  // the parent has died already
    dup2(log.get(), 1);
    dup2(log.get(), 2);
    const rlimit limit{options.max_descriptors, options.max_descriptors};
    setrlimit(RLIMIT_NOFILE, &limit);
    execve(binary_.c_str(), arguments.data(), environment.data());
    _exit(127);
  });
  if (child_ < 0) throw std::runtime_error("can't fork");
}

NodeProcess::~NodeProcess() {
  if (child_ > 0) {
    kill(child_, SIGKILL);
    reap(true);
  }
  std::remove(config_path_.c_str());
  if (!operator_file_path_.empty()) std::remove(operator_file_path_.c_str());
  std::remove(log_path_.c_str());
}

bool NodeProcess::reap(bool wait) {
  if (child_ <= 0) return true;
  if (waitpid(child_, &status_, wait ? 0 : WNOHANG) != child_) return false;
  child_ = -1;
  lifetime_.ended_at = now();
  lifetime_.listening_at = logged_listening_at();
  lifetime_.killed = WIFSIGNALED(status_) && WTERMSIG(status_) == SIGKILL;
  return true;
}

bool NodeProcess::running() { return !reap(false); }

std::string NodeProcess::log() const {
  std::ifstream in(log_path_);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

double NodeProcess::logged_listening_at() const {
  constexpr std::string_view kTime = "\"mono\":";
  std::istringstream lines(log());
  for (std::string line; std::getline(lines, line);) {
    if (line.find(kListeningText) == std::string::npos) continue;
    const std::size_t at = line.find(kTime);
    if (at != std::string::npos) return std::strtod(line.c_str() + at + kTime.size(), nullptr);
  }
  return 0;
}

int NodeProcess::port() {
  for (const double from = now(); port_ == 0;) {
    const std::string text = log();
    const std::string words = std::string(kListeningText) + ip_ + ":";
    const std::size_t at = text.find(words);
    if (at != std::string::npos && text.find('\n', at) != std::string::npos) {
      port_ = std::stoi(text.substr(at + words.size()));
    } else if (!running() || now() - from > kStartTimeoutSeconds) {
      throw std::runtime_error("the node did not report a listening port: " + text);
    } else {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return port_;
}

int NodeProcess::health() {
  const Fd fd = connect_to(Address{ip_, port()});
  if (!fd) return 0;
  pollfd p{fd.get(), POLLOUT, 0};
  poll(&p, 1, 1000);
  static constexpr std::string_view kRequest =
      "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  if (send(fd.get(), kRequest.data(), kRequest.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(kRequest.size()))
    return 0;
  p.events = POLLIN;
  poll(&p, 1, 1000);
  std::array<char, 256> answer{};
  const ssize_t got = recv(fd.get(), answer.data(), answer.size(), 0);
  return got < 12 ? 0 : std::atoi(answer.data() + 9);
}

void NodeProcess::await_ready() {
  for (const double from = now(); health() != 200;) {
    if (!running() || now() - from > kStartTimeoutSeconds)
      throw std::runtime_error("the node is not ready: " + log());
    std::this_thread::sleep_for(kPollInterval);
  }
}

void NodeProcess::signal(int which) {
  if (child_ <= 0) return;
  if (which == SIGTERM && lifetime_.sigterm_at == 0) lifetime_.sigterm_at = now();
  if (which == SIGKILL) lifetime_.killed_at = now();
  kill(child_, which);
  if (which == SIGKILL) reap(true);  // so that its end is noticed at once
}

void NodeProcess::pause() {
  if (child_ <= 0) return;
  kill(child_, SIGSTOP);
  siginfo_t told{};
  waitid(P_PID, static_cast<id_t>(child_), &told, WSTOPPED | WEXITED | WNOWAIT);
}

void NodeProcess::resume() {
  if (child_ > 0) kill(child_, SIGCONT);
}

ProcessTimes NodeProcess::times() const {
  ProcessTimes out;
  if (child_ <= 0) return out;
  std::ifstream in("/proc/" + std::to_string(child_) + "/schedstat");
  if (in >> out.run_seconds >> out.cpu_wait_seconds)
    return {out.run_seconds * 1e-9, out.cpu_wait_seconds * 1e-9};
  return {};
}

std::size_t NodeProcess::resident_kb() const {
  std::ifstream in("/proc/" + std::to_string(child_) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("VmRSS:", 0) == 0) return static_cast<std::size_t>(std::stoul(line.substr(6)));
  }
  return 0;
}

void NodeProcess::reload(const NodeConfig& config) {
  write_file(config_path_, config.json());
  signal(SIGHUP);
}

int NodeProcess::exit_code() {
  reap(true);
  return WIFEXITED(status_) ? WEXITSTATUS(status_) : -WTERMSIG(status_);
}

}  // namespace nettlestand::standins
