#include "daemon/duty_program.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/signalfd.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "util/clock.h"

extern char** environ;

namespace nettlestand {
namespace {

using boost::system::error_code;

// The last moment of a lease is not used: SIGKILL takes its time, too.
constexpr double kBefore = 0.02;  // s

}  // namespace

DutyPrograms::DutyPrograms(boost::asio::io_context& io, std::vector<DutyProgram> programs,
                           duties::ClientService& duties, Log log)
    : io_(io), duties_(duties), log_(std::move(log)), children_(io, SIGCHLD), turn_(io) {
  for (DutyProgram& p : programs) {
    all_.push_back(std::make_unique<One>());
    all_.back()->program = std::move(p);
  }
}

DutyPrograms::~DutyPrograms() {
  for (auto& one : all_) {
    if (one->pipe >= 0) close(one->pipe);  // the guardian ends with its program
  }
}

void DutyPrograms::start() {
  if (all_.empty()) return;
  await_child();
  await_turn();
  for (auto& one : all_) {
    duties_.acquire(
        one->program.duty,
        [this, it = one.get()](const duties::LeaseHolder::Change& change) { changed(*it, change); }, true);
  }
}

bool DutyPrograms::any_runs() const {
  return std::any_of(all_.begin(), all_.end(), [](const auto& one) { return one->guardian > 0; });
}

void DutyPrograms::changed(One& one, const duties::LeaseHolder::Change& change) {
  if (change.gained) {
    one.wanted = change.token;
    if (one.guardian <= 0) begin(one);
    return;
  }
  one.wanted = 0;
  if (one.guardian <= 0) {
    duties_.confirm_stopped(change.duty);
    return;
  }
  stop(one);
}

void DutyPrograms::begin(One& one) {
  const std::string& duty = one.program.duty.name;
  one.token = one.wanted;
  one.stopping = false;
  int ends[2] = {-1, -1};
  const auto fail = [&](int error) {
    for (const int end : ends) {
      if (end >= 0) close(end);
    }
    log_({LogLevel::kError,
          "duties",
          "program_failed",
          "the program of the duty " + duty + " can't be started: " + std::strerror(error),
          {{"duty", duty}}});
    one.wanted = one.token = 0;
    duties_.report_failure(duty);
    duties_.confirm_stopped(duty);
  };
  if (pipe2(ends, O_CLOEXEC) != 0) return fail(errno);
  std::vector<std::string> words = {"nettlestand", "duty-guard", std::to_string(one.program.stop)};
  words.insert(words.end(), one.program.command.begin(), one.program.command.end());
  std::vector<char*> arguments;
  for (std::string& w : words) arguments.push_back(w.data());
  arguments.push_back(nullptr);
  std::vector<std::string> kept = {"NETTLESTAND_DUTY=" + duty,
                                   "NETTLESTAND_TOKEN=" + std::to_string(one.token)};
  for (char** e = environ; *e != nullptr; ++e) kept.emplace_back(*e);
  std::vector<char*> environment;
  for (std::string& e : kept) environment.push_back(e.data());
  environment.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_adddup2(&files, ends[0], 0);
  // Danger: callers' and servers' connections are open without close-on-exec; a program that held them would
  // keep their other ends from ever seeing their end.
  posix_spawn_file_actions_addclosefrom_np(&files, 3);
  posix_spawnattr_t how;
  posix_spawnattr_init(&how);
  sigset_t none, usual;
  sigemptyset(&none);
  sigemptyset(&usual);
  sigaddset(&usual, SIGPIPE);
  sigaddset(&usual, SIGCHLD);
  posix_spawnattr_setsigmask(&how, &none);
  posix_spawnattr_setsigdefault(&how, &usual);
  posix_spawnattr_setflags(&how, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
  const int error =
      posix_spawn(&one.guardian, "/proc/self/exe", &files, &how, arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&files);
  posix_spawnattr_destroy(&how);
  if (error != 0) {
    one.guardian = -1;
    return fail(error);
  }
  close(ends[0]);
  one.pipe = ends[1];
  fcntl(one.pipe, F_SETFL, O_NONBLOCK);
  tell(one);
  log_({LogLevel::kInfo,
        "duties",
        "program_started",
        "the program of the duty " + duty + " runs",
        {{"duty", duty},
         {"token", static_cast<std::int64_t>(one.token)},
         {"pid", std::int64_t{one.guardian}}}});
}

void DutyPrograms::tell(One& one) {
  char line[64];
  const int size = std::snprintf(line, sizeof line, "u %.6f\n", duties_.held_until(one.program.duty.name));
  // What does not fit is said again with the next turn.
  if (one.pipe >= 0) static_cast<void>(!write(one.pipe, line, static_cast<std::size_t>(size)));
}

void DutyPrograms::stop(One& one) {
  if (std::exchange(one.stopping, true)) return;
  if (one.pipe >= 0) static_cast<void>(!write(one.pipe, "s\n", 2));
}

void DutyPrograms::await_turn() {
  double every = 0.5;
  for (const auto& one : all_) every = std::min(every, one->program.duty.lease_seconds / 10);
  turn_.expires_after(duration(every));
  turn_.async_wait([this](const error_code& error) {
    if (error) return;
    for (auto& one : all_) {
      if (one->guardian > 0 && !one->stopping) tell(*one);
    }
    await_turn();
  });
}

void DutyPrograms::await_child() {
  children_.async_wait([this](const error_code& error, int) {
    if (error) return;
    await_child();
    for (auto& one : all_) {
      int status = 0;
      if (one->guardian <= 0 || waitpid(one->guardian, &status, WNOHANG) != one->guardian) continue;
      one->guardian = -1;
      close(std::exchange(one->pipe, -1));
      const std::string& duty = one->program.duty.name;
      const int code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
      log_(
          {one->stopping ? LogLevel::kInfo : LogLevel::kWarning,
           "duties",
           "program_ended",
           "the program of the duty " + duty + " has ended with " + std::to_string(code),
           {{"duty", duty}, {"token", static_cast<std::int64_t>(one->token)}, {"code", std::int64_t{code}}}});
      if (!one->stopping && one->wanted == one->token) {
        // By itself, while the duty is held: somebody else is to try.
        one->wanted = 0;
        duties_.report_failure(duty);
      }
      duties_.confirm_stopped(duty);
      if (one->wanted != 0) begin(*one);  // it has come back meanwhile
    }
  });
}

int run_guardian(double stop, const std::vector<std::string>& command) {
  sigset_t child;
  sigemptyset(&child);
  sigaddset(&child, SIGCHLD);
  sigprocmask(SIG_BLOCK, &child, nullptr);
  const int ends = signalfd(-1, &child, SFD_CLOEXEC | SFD_NONBLOCK);
  std::vector<std::string> kept = command;
  std::vector<char*> arguments;
  for (std::string& w : kept) arguments.push_back(w.data());
  arguments.push_back(nullptr);
  const pid_t parent = getpid();
  const pid_t program = fork();
  if (program < 0) return 126;
  if (program == 0) {
    setpgid(0, 0);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    sigprocmask(SIG_UNBLOCK, &child, nullptr);
    const int null = open("/dev/null", O_RDONLY);
    dup2(null, 0);
    execv(arguments[0], arguments.data());
    std::fprintf(stderr, "nettlestand: %s: %s\n", arguments[0], std::strerror(errno));
    _exit(127);
  }
  setpgid(program, program);
  const auto end_all = [&](int signal) {
    kill(-program, signal);
    kill(program, signal);
  };
  fcntl(0, F_SETFL, O_NONBLOCK);
  double until = now() + 5;  // the first word comes at once
  bool stopping = false;
  std::string in;
  for (;;) {
    int status = 0;
    if (waitpid(program, &status, WNOHANG) == program) {
      kill(-program, SIGKILL);  // what it has left behind
      return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    const double left = until - kBefore - now();
    if (left <= 0) {
      end_all(SIGKILL);
      waitpid(program, &status, 0);
      return 128 + SIGKILL;
    }
    pollfd both[2] = {{0, POLLIN, 0}, {ends, POLLIN, 0}};
    poll(both, 2, static_cast<int>(std::min(left * 1000 + 1, 60000.0)));
    signalfd_siginfo ignored;
    while (read(ends, &ignored, sizeof ignored) == sizeof ignored) {
    }
    if ((both[0].revents & (POLLIN | POLLHUP)) == 0) continue;
    char part[512];
    const ssize_t got = read(0, part, sizeof part);
    if (got == 0) {  // the node is gone, or wants it so
      until = std::min(until, now());
      continue;
    }
    if (got < 0) continue;
    in.append(part, static_cast<std::size_t>(got));
    for (std::size_t end = in.find('\n'); end != std::string::npos; end = in.find('\n')) {
      const std::string line = in.substr(0, end);
      in.erase(0, end + 1);
      if (line[0] == 'u' && !stopping) until = std::strtod(line.c_str() + 1, nullptr);
      if (line[0] == 's' && !std::exchange(stopping, true)) {
        end_all(SIGTERM);
        until = std::min(until, now() + stop);
      }
    }
  }
}

}  // namespace nettlestand
