// The command line of nettlestand: the node it starts, its output and its exit codes.
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>

#include <sstream>

#include "tests/forms/world.h"

namespace nettlestand::testing {
namespace {

// How a run of the program ended.
struct RunResult {
  int code = 0;
  std::string out;  // standard output and standard error
};

RunResult run(const std::string& arguments) {
  RunResult result;
  FILE* pipe = popen(("env -u GW_CONFIG " + std::string(NODE) + " " + arguments + " 2>&1").c_str(), "r");
  for (char bytes[1024]; fgets(bytes, sizeof bytes, pipe) != nullptr;) result.out += bytes;
  const int status = pclose(pipe);
  result.code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return result;
}

// An operator's file that is removed with the object.
struct TemporaryFile {
  explicit TemporaryFile(const std::string& text) {
    static int count = 0;
    path = ::testing::TempDir() + "/operator_" + std::to_string(getpid()) + "_" + std::to_string(++count) +
           ".toml";
    std::ofstream(path) << text;
  }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  ~TemporaryFile() { std::remove(path.c_str()); }
  std::string path;
};

int free_udp_port() {
  const int fd = ::socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  EXPECT_EQ(::bind(fd, reinterpret_cast<const sockaddr*>(&at), size), 0);
  EXPECT_EQ(::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size), 0);
  ::close(fd);
  return ntohs(at.sin_port);
}

std::string file_for(int server_port) {
  return "[node]\nlisten = \"127.0.0.1:0\"\ntier = 1\n[[class]]\nname = \"close\"\neffect = "
         "\"unsafe\"\ndeadline_ms = 5000\n"
         "[[tenant]]\nname = \"acme\"\n[[server]]\nname = \"s0\"\naddress = \"127.0.0.1:" +
         std::to_string(server_port) + "\"\n";
}

TEST(CommandLine, TellsItsVersionAndItsUse) {
  const RunResult version = run("--version");
  EXPECT_EQ(version.code, 0);
  EXPECT_EQ(version.out.rfind("nettlestand 0.", 0), 0U) << version.out;
  const RunResult help = run("--help");
  EXPECT_EQ(help.code, 0);
  for (const char* word : {"run", "check", "demo", "--version"}) EXPECT_TRUE(has(help.out, word)) << help.out;
  EXPECT_TRUE(has(run("demo --help").out, "--seconds"));
}

TEST(CommandLine, NamesWhatItDoesNotKnow) {
  for (const auto& [arguments, word] :
       std::vector<std::pair<std::string, std::string>>{{"frobnicate", "frobnicate"},
                                                        {"--colour", "--colour"},
                                                        {"run --confg x", "--confg"},
                                                        {"check", "file"},
                                                        {"run extra", "extra"},
                                                        {"demo --seconds much", "much"},
                                                        {"demo --seconds 1", "1"}}) {
    const RunResult result = run(arguments);
    EXPECT_EQ(result.code, 2) << arguments;
    EXPECT_TRUE(has(result.out, word)) << result.out;
  }
  const RunResult bare = run("");
  EXPECT_EQ(bare.code, 2);
  EXPECT_EQ(bare.out, "nettlestand: GW_CONFIG is not set\n");
}

TEST(CommandLine, ChecksAFile) {
  const TemporaryFile good(file_for(9001)), bad("[node]\nlisten = 1\nlistne = 2\n");
  RunResult result = run("check " + good.path);
  EXPECT_EQ(result.code, 0);
  EXPECT_EQ(result.out, good.path + ": good\n");
  result = run("check " + bad.path);
  EXPECT_EQ(result.code, 2);
  EXPECT_TRUE(
      has(result.out, bad.path + ":2:10: node.listen: is a whole number where a string is expected\n"))
      << result.out;
  EXPECT_TRUE(has(result.out, bad.path + ":3:1: unknown key 'listne' in node; did you mean 'listen'?\n"))
      << result.out;
  result = run("check /nowhere/at/all.toml");
  EXPECT_EQ(result.code, 2);
  EXPECT_EQ(result.out, "can't read /nowhere/at/all.toml\n");
  EXPECT_EQ(run("check /tmp").code, 2) << "a directory is not a file";
  EXPECT_EQ(run("run --config " + bad.path).code, 2) << "run refuses it as well";
}

TEST(CommandLine, RunsANodeOnAFileAlone) {
  const TcpListener server, other;
  const TemporaryFile file(file_for(server.port()));
  NodeUnderTest node("", 1024, {"run", "--config", file.path}, false);
  TcpConnection caller = TcpConnection::to(node.port());
  until([&] {
    caller.send("GET /healthz HTTP/1.1\r\n\r\n");
    return has(caller.message(), " 200 ");
  });
  const auto served_by = [&](const TcpListener& peer) {
    caller.send(request("close"));
    TcpConnection wire = peer.accept();
    EXPECT_TRUE(has(wire.message(), "question"));
    wire.send(with_length("HTTP/1.1 200 OK\r\nConnection: close\r\n", "answer"));
    EXPECT_TRUE(has(caller.message(), "\r\n\r\nanswer"));
  };
  served_by(server);
  // SIGHUP applies the file's new list of servers; an invalid file changes nothing.
  std::ofstream(file.path) << "[node]\nlisten = 7\n";
  node.signal(SIGHUP);
  EXPECT_TRUE(has(node.log("stays as it was: "), "node.listen: is a whole number"));
  served_by(server);
  std::ofstream(file.path) << file_for(other.port());
  node.signal(SIGHUP);
  until([&] {
    caller.send(request("close"));
    TcpConnection wire = TcpListener::accept_either(server, other);
    while (wire.message().empty()) wire = TcpListener::accept_either(server, other);
    wire.send(with_length("HTTP/1.1 200 OK\r\nConnection: close\r\n", "answer"));
    caller.message();
    return wire.local_port() == other.port();
  });
  node.signal(SIGTERM);
  EXPECT_EQ(node.exit_code(), 0);
}

// Queries a node with membership on its control socket.
TEST(CommandLine, ShowsTheMembersThatANodeKnows) {
  const TcpListener server;
  const std::string socket = ::testing::TempDir() + "/control_" + std::to_string(getpid());
  const auto file = [&](const std::string& more) {
    return file_for(server.port()) + more + "[control]\nsocket = \"" + socket + "\"\n";
  };
  const TemporaryFile good(file("[peers]\nlisten = \"127.0.0.1:" + std::to_string(free_udp_port()) +
                                "\"\njoin = [\"127.0.0.1:9\"]\n"));
  RunResult result = run("peers show --socket " + socket);
  EXPECT_EQ(result.code, 1);
  EXPECT_TRUE(has(result.out, socket + ": no node answers there")) << result.out;
  EXPECT_EQ(run("peers show").code, 2) << "--socket is missing";
  {
    NodeUnderTest node("", 1024, {"run", "--config", good.path}, false);
    node.port();
    struct stat is {};
    ASSERT_EQ(::stat(socket.c_str(), &is), 0);
    EXPECT_EQ(is.st_mode & 0777, 0600U) << "only the owner may connect";
    result = run("peers show --socket " + socket);
    EXPECT_EQ(result.code, 0) << result.out;
    EXPECT_TRUE(has(result.out, "nettlestand of nettlestand at 127.0.0.1:")) << result.out;
    EXPECT_TRUE(has(result.out, ": 1 living, copy 0 of 1, not sealed, health 0\n")) << result.out;
    EXPECT_TRUE(has(result.out, "\nnettlestand  alive")) << result.out;
    result = run("peers show --json --socket " + socket);
    EXPECT_EQ(result.out.rfind("{\"name\":\"nettlestand\"", 0), 0U) << result.out;
    // The path is in use: a second node does not start, and the first one goes on answering.
    NodeUnderTest second("", 1024, {"run", "--config", good.path}, false);
    EXPECT_EQ(second.exit_code(), 1);
    EXPECT_EQ(run("peers show --socket " + socket).code, 0);
    node.signal(SIGKILL);
    node.exit_code();
  }
  EXPECT_EQ(::access(socket.c_str(), F_OK), 0) << "a crash leaves the file behind";
  const TemporaryFile without(file(""));
  NodeUnderTest node("", 1024, {"run", "--config", without.path}, false);  // replaces the file
  node.port();
  result = run("peers show --socket " + socket);
  EXPECT_EQ(result.code, 1);
  EXPECT_TRUE(has(result.out, "membership is off in this node")) << result.out;
  node.signal(SIGTERM);
  EXPECT_EQ(node.exit_code(), 0);
  EXPECT_NE(::access(socket.c_str(), F_OK), 0) << "a clean exit removes the file";
}

// The platform's configuration takes precedence; the file adds the listener's time limits.
TEST(CommandLine, AddsAFileToThePlatforms) {
  World w;
  const TemporaryFile file("[node]\nlisten = \"127.0.0.1:1\"\n[listener]\nread_ms = 300\n");
  w.node = std::make_unique<NodeUnderTest>(w.config(), 1024,
                                           std::vector<std::string>{"run", "--config", file.path});
  w.take_watch();
  w.tell(list(7, true, w.both()));
  w.await_ready();
  const double from = seconds();
  TcpConnection slow = w.client();
  slow.send("POST /api HTTP/1.1\r\nRequest-Id:");
  EXPECT_TRUE(has(slow.message(), "HTTP/1.1 408 "));
  EXPECT_LT(seconds() - from, 2) << "earlier than the default of 2.2 s";
}

TEST(CommandLine, PlaysTheDemo) {
  const RunResult result = run("demo --seconds 5");
  EXPECT_EQ(result.code, 0) << result.out;
  for (const char* words :
       {"s0 is killed", "s1 drains", "s1 is back, cold", " served, ",
        "kept: no request lost, no effect twice, drains obeyed, no cold server pushed over\n"}) {
    EXPECT_TRUE(has(result.out, words)) << result.out;
  }
}

}  // namespace
}  // namespace nettlestand::testing
