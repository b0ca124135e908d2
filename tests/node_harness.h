// Runs the node as a child process: the daemon, or an application that embeds the library with the same
// configuration.
#pragma once

#include <sys/resource.h>
#include <sys/wait.h>

#include <exception>
#include <string>
#include <vector>

#include "tests/tcp_peer.h"

namespace nettlestand::testing {

// The path of the program under test; tests may set it.
inline const char*& node_binary() {
  static const char* binary = NODE;
  return binary;
}

// A child process that runs the node with a configuration. Prints its log if the test has failed.
class NodeUnderTest {
 public:
  // `platform`: whether GW_CONFIG names the configuration file, as the platform does.
  explicit NodeUnderTest(const std::string& config, rlim_t descriptors = 1024,
                         const std::vector<std::string>& arguments = {}, bool platform = true,
                         const std::vector<std::string>& environment = {}) {
    static int count = 0;
    path_ = ::testing::TempDir() + "/node_" + std::to_string(getpid()) + "_" + std::to_string(++count);
    std::ofstream(path_) << config;
    int pipe_ends[2];
    if (pipe2(pipe_ends, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
    process_id_ = fork();
    if (process_id_ == 0) {
      dup2(pipe_ends[1], 2);
      const rlimit limit{descriptors, descriptors};
      setrlimit(RLIMIT_NOFILE, &limit);
      for (const std::string& line : environment) putenv(const_cast<char*>(line.c_str()));
      platform ? setenv("GW_CONFIG", path_.c_str(), 1) : unsetenv("GW_CONFIG");
      std::vector<char*> argv = {const_cast<char*>(node_binary())};
      for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
      argv.push_back(nullptr);
      execv(node_binary(), argv.data());
      _exit(127);
    }
    ::close(pipe_ends[1]);
    log_ = pipe_ends[0];
  }
  NodeUnderTest(const NodeUnderTest&) = delete;
  NodeUnderTest& operator=(const NodeUnderTest&) = delete;
  ~NodeUnderTest() {
    if (process_id_ > 0) {
      kill(process_id_, SIGKILL);
      waitpid(process_id_, nullptr, 0);
    }
    if (::testing::Test::HasFailure() || std::uncaught_exceptions() > 0) {
      std::fprintf(stderr, "the log of %s:\n%s", node_binary(), log("no such words: until it ends").c_str());
    }
    ::close(log_);
    std::remove(path_.c_str());
  }

  // The log so far, read until it contains `part` from position `from` on, or the program ends.
  const std::string& log(const std::string& part, std::size_t from = 0) {
    while (text_.find(part, from) == std::string::npos && readable(log_, kTimeoutMs)) {
      char bytes[1024];
      const ssize_t got = read(log_, bytes, sizeof bytes);
      if (got <= 0) break;
      text_.append(bytes, static_cast<std::size_t>(got));
    }
    return text_;
  }
  // The port it listens on; waits for the line in the log.
  int port() {
    static const std::string kListeningText = "listening on 127.0.0.1:";
    // Not always the first line: if a node runs on its own thread, a line of discovery may come before.
    const std::size_t at = (log(kListeningText), text_.find(kListeningText));
    if (at == std::string::npos) throw std::runtime_error("the node is not listening: " + text_);
    log("\n", at);
    return std::stoi(text_.substr(at + kListeningText.size()));
  }
  void signal(int which) const { kill(process_id_, which); }
  pid_t id() const { return process_id_; }
  // Suspends the process until it gets SIGCONT.
  void pause() const {
    signal(SIGSTOP);
    waitpid(process_id_, nullptr, WUNTRACED);
  }
  // Replaces the configuration file and sends SIGHUP.
  void reload(const std::string& config) const {
    std::ofstream(path_) << config;
    signal(SIGHUP);
  }
  void remove_config_and_reload() const {
    std::remove(path_.c_str());
    signal(SIGHUP);
  }
  // Waits until the program ends: its exit status, or the negative number of the signal that killed it.
  int exit_code() {
    log("no such words: until it ends");
    if (!readable(log_, 0)) signal(SIGKILL);  // it is still running
    int status = 0;
    waitpid(std::exchange(process_id_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }

 private:
  std::string path_, text_;
  pid_t process_id_ = -1;
  int log_ = -1;
};

}  // namespace nettlestand::testing
