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

// The program is killed this long before the lease ends, since SIGKILL takes time to act.
constexpr double kKillMarginSeconds = 0.02;

}  // namespace

DutyPrograms::DutyPrograms(boost::asio::io_context& io, std::vector<DutyProgram> programs,
                           duties::ClientService& duties, Log log)
    : io_(io), duties_(duties), log_(std::move(log)), child_signals_(io, SIGCHLD), update_timer_(io) {
  for (DutyProgram& p : programs) {
    programs_.push_back(std::make_unique<ProgramState>());
    programs_.back()->program = std::move(p);
  }
}

DutyPrograms::~DutyPrograms() {
  for (auto& state : programs_) {
    if (state->pipe >= 0) close(state->pipe);  // the watchdog then kills its program and exits
  }
}

void DutyPrograms::start() {
  if (programs_.empty()) return;
  await_child_exit();
  schedule_deadline_updates();
  for (auto& state : programs_) {
    duties_.acquire(
        state->program.duty,
        [this, it = state.get()](const duties::LeaseHolder::Change& change) { on_lease_change(*it, change); },
        true);
  }
}

bool DutyPrograms::any_running() const {
  return std::any_of(programs_.begin(), programs_.end(),
                     [](const auto& state) { return state->watchdog > 0; });
}

void DutyPrograms::on_lease_change(ProgramState& state, const duties::LeaseHolder::Change& change) {
  if (change.gained) {
    state.wanted_token = change.token;
    if (state.watchdog <= 0) start_program(state);
    return;
  }
  state.wanted_token = 0;
  if (state.watchdog <= 0) {
    duties_.confirm_stopped(change.duty);
    return;
  }
  stop_program(state);
}

void DutyPrograms::start_program(ProgramState& state) {
  const std::string& duty = state.program.duty.name;
  state.running_token = state.wanted_token;
  state.stopping = false;
  int ends[2] = {-1, -1};
  const auto fail = [&](int error) {
    for (const int end : ends) {
      if (end >= 0) close(end);
    }
    log_({LogLevel::kError,
          "duties",
          "program_failed",
          "cannot start the program of duty " + duty + ": " + std::strerror(error),
          {{"duty", duty}}});
    state.wanted_token = state.running_token = 0;
    duties_.report_failure(duty);
    duties_.confirm_stopped(duty);
  };
  if (pipe2(ends, O_CLOEXEC) != 0) return fail(errno);
  std::vector<std::string> command_line = {"nettlestand", "duty-guard",
                                           std::to_string(state.program.stop_timeout)};
  command_line.insert(command_line.end(), state.program.command.begin(), state.program.command.end());
  std::vector<char*> arguments;
  for (std::string& w : command_line) arguments.push_back(w.data());
  arguments.push_back(nullptr);
  std::vector<std::string> owned_strings = {"NETTLESTAND_DUTY=" + duty,
                                            "NETTLESTAND_TOKEN=" + std::to_string(state.running_token)};
  for (char** e = environ; *e != nullptr; ++e) owned_strings.emplace_back(*e);
  std::vector<char*> environment;
  for (std::string& e : owned_strings) environment.push_back(e.data());
  environment.push_back(nullptr);
  posix_spawn_file_actions_t file_actions;
  posix_spawn_file_actions_init(&file_actions);
  posix_spawn_file_actions_adddup2(&file_actions, ends[0], 0);
  // Connections of clients and servers are open without close-on-exec. If the program inherited them, their
  // peers would never see them close.
  posix_spawn_file_actions_addclosefrom_np(&file_actions, 3);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t no_signals, default_signals;
  sigemptyset(&no_signals);
  sigemptyset(&default_signals);
  sigaddset(&default_signals, SIGPIPE);
  sigaddset(&default_signals, SIGCHLD);
  posix_spawnattr_setsigmask(&attributes, &no_signals);
  posix_spawnattr_setsigdefault(&attributes, &default_signals);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
  const int error = posix_spawn(&state.watchdog, "/proc/self/exe", &file_actions, &attributes,
                                arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&file_actions);
  posix_spawnattr_destroy(&attributes);
  if (error != 0) {
    state.watchdog = -1;
    return fail(error);
  }
  close(ends[0]);
  state.pipe = ends[1];
  fcntl(state.pipe, F_SETFL, O_NONBLOCK);
  send_deadline(state);
  log_({LogLevel::kInfo,
        "duties",
        "program_started",
        "the program of duty " + duty + " has started",
        {{"duty", duty},
         {"token", static_cast<std::int64_t>(state.running_token)},
         {"pid", std::int64_t{state.watchdog}}}});
}

void DutyPrograms::send_deadline(ProgramState& state) {
  char line[64];
  const int size = std::snprintf(line, sizeof line, "u %.6f\n", duties_.held_until(state.program.duty.name));
  // A write that finds the pipe full is made up for by the next update.
  if (state.pipe >= 0) static_cast<void>(!write(state.pipe, line, static_cast<std::size_t>(size)));
}

void DutyPrograms::stop_program(ProgramState& state) {
  if (std::exchange(state.stopping, true)) return;
  if (state.pipe >= 0) static_cast<void>(!write(state.pipe, "s\n", 2));
}

void DutyPrograms::schedule_deadline_updates() {
  double interval = 0.5;
  for (const auto& state : programs_) interval = std::min(interval, state->program.duty.lease_seconds / 10);
  update_timer_.expires_after(to_duration(interval));
  update_timer_.async_wait([this](const error_code& error) {
    if (error) return;
    for (auto& state : programs_) {
      if (state->watchdog > 0 && !state->stopping) send_deadline(*state);
    }
    schedule_deadline_updates();
  });
}

void DutyPrograms::await_child_exit() {
  child_signals_.async_wait([this](const error_code& error, int) {
    if (error) return;
    await_child_exit();
    for (auto& state : programs_) {
      int status = 0;
      if (state->watchdog <= 0 || waitpid(state->watchdog, &status, WNOHANG) != state->watchdog) continue;
      state->watchdog = -1;
      close(std::exchange(state->pipe, -1));
      const std::string& duty = state->program.duty.name;
      const int code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
      log_({state->stopping ? LogLevel::kInfo : LogLevel::kWarning,
            "duties",
            "program_ended",
            "the program of duty " + duty + " exited with " + std::to_string(code),
            {{"duty", duty},
             {"token", static_cast<std::int64_t>(state->running_token)},
             {"code", std::int64_t{code}}}});
      if (!state->stopping && state->wanted_token == state->running_token) {
        // The program exited by itself while the duty is held: another node is to take the duty.
        state->wanted_token = 0;
        duties_.report_failure(duty);
      }
      duties_.confirm_stopped(duty);
      if (state->wanted_token != 0) start_program(*state);  // the duty was regained meanwhile
    }
  });
}

int run_watchdog(double stop_timeout, const std::vector<std::string>& command) {
  sigset_t child;
  sigemptyset(&child);
  sigaddset(&child, SIGCHLD);
  sigprocmask(SIG_BLOCK, &child, nullptr);
  const int ends = signalfd(-1, &child, SFD_CLOEXEC | SFD_NONBLOCK);
  std::vector<std::string> owned_strings = command;
  std::vector<char*> arguments;
  for (std::string& w : owned_strings) arguments.push_back(w.data());
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
  const auto signal_program = [&](int signal) {
    kill(-program, signal);
    kill(program, signal);
  };
  fcntl(0, F_SETFL, O_NONBLOCK);
  double deadline = now() + 5;  // until the first deadline, which the node sends at once
  bool stopping = false;
  std::string in;
  for (;;) {
    int status = 0;
    if (waitpid(program, &status, WNOHANG) == program) {
      kill(-program, SIGKILL);  // processes that it left behind
      return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    const double remaining = deadline - kKillMarginSeconds - now();
    if (remaining <= 0) {
      signal_program(SIGKILL);
      waitpid(program, &status, 0);
      return 128 + SIGKILL;
    }
    pollfd descriptors[2] = {{0, POLLIN, 0}, {ends, POLLIN, 0}};
    poll(descriptors, 2, static_cast<int>(std::min(remaining * 1000 + 1, 60000.0)));
    signalfd_siginfo ignored;
    while (read(ends, &ignored, sizeof ignored) == sizeof ignored) {
    }
    if ((descriptors[0].revents & (POLLIN | POLLHUP)) == 0) continue;
    char buffer[512];
    const ssize_t count = read(0, buffer, sizeof buffer);
    if (count == 0) {  // the node has exited, or closed the pipe to stop the program
      deadline = std::min(deadline, now());
      continue;
    }
    if (count < 0) continue;
    in.append(buffer, static_cast<std::size_t>(count));
    for (std::size_t end = in.find('\n'); end != std::string::npos; end = in.find('\n')) {
      const std::string line = in.substr(0, end);
      in.erase(0, end + 1);
      if (line[0] == 'u' && !stopping) deadline = std::strtod(line.c_str() + 1, nullptr);
      if (line[0] == 's' && !std::exchange(stopping, true)) {
        signal_program(SIGTERM);
        deadline = std::min(deadline, now() + stop_timeout);
      }
    }
  }
}

}  // namespace nettlestand
