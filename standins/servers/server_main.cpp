// nettlestand-standin-server: a ScriptedServer as a standalone program.
#include <csignal>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iterator>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "standins/common/options.h"
#include "standins/servers/server.h"

namespace {

namespace si = nettlestand::standins;

constexpr const char* kUsage =
    R"(nettlestand-standin-server: an HTTP/1.1 server on 127.0.0.1 that does as its script says

  --port N           port; 0: the kernel gives one (0)
  --name TEXT        its name (s0)
  --cores N          requests that it works on at a time; 0: any number (0)
  --service-ms X     work for a request on one core (0)
  --class-ms C=X     the same for class C; may come several times
  --distribution D   fixed or exponential (fixed)
  --queue N          requests that may wait; beyond them 503 with Not-Started: 1 (100000)
  --answer-bytes N   length of an answer's body, at least (0)
  --idle-close S     connections idle for so long are closed; 0: never (0)
  --script FILE      faults, see SCRIPT.md; its times count from the start
  --threads N        threads, each with all of the above to itself (1)
  --seed N           (1)

Says "listening on 127.0.0.1:PORT" once it does. Ends on SIGTERM or SIGINT, with a line of counts.
)";

int serve(const si::Options& options) {
  si::ServerSettings settings;
  settings.name = options.text("name", "s0");
  settings.port = options.integer("port", 0);
  settings.cores = options.integer("cores", 0);
  settings.service_time = options.number("service-ms", 0) / 1000;
  for (const std::string& one : options.all("class-ms")) {
    const std::vector<std::string> parts = si::Options::split(one, '=');
    if (parts.size() != 2) throw std::invalid_argument("--class-ms needs NAME=MS");
    settings.class_service_times[parts[0]] = si::Options::to_number(parts[1], "--class-ms") / 1000;
  }
  const std::string distribution = options.text("distribution", "fixed");
  if (distribution != "fixed" && distribution != "exponential") {
    throw std::invalid_argument("--distribution is fixed or exponential");
  }
  settings.exponential = distribution == "exponential";
  settings.queue_limit = static_cast<std::size_t>(options.number("queue", 100000));
  settings.answer_bytes = static_cast<std::size_t>(options.number("answer-bytes", 0));
  settings.idle_timeout = options.number("idle-close", 0);
  settings.seed = static_cast<std::uint64_t>(options.number("seed", 1));
  std::string script;
  if (options.has("script")) {
    std::ifstream in(options.text("script", ""));
    if (!in) throw std::invalid_argument("can't read " + options.text("script", ""));
    script.assign(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
    si::parse_script(script);
  }
  const int threads = options.integer("threads", 1);
  settings.shared_port = threads > 1;

  sigset_t ends;
  sigemptyset(&ends);
  sigaddset(&ends, SIGTERM);
  sigaddset(&ends, SIGINT);
  pthread_sigmask(SIG_BLOCK, &ends, nullptr);
  std::vector<std::unique_ptr<si::LoopThread>> loops;
  std::vector<std::unique_ptr<si::ScriptedServer>> servers;
  for (int i = 0; i < threads; ++i) {
    loops.push_back(std::make_unique<si::LoopThread>());
    servers.push_back(std::make_unique<si::ScriptedServer>(loops.back()->loop(), settings));
    settings.port = servers.front()->port();
    ++settings.seed;
  }
  for (const auto& server : servers) server->run(script);
  std::printf("listening on 127.0.0.1:%d\n", settings.port);
  std::fflush(stdout);
  int which = 0;
  sigwait(&ends, &which);
  si::ScriptedServer::Counts sum;
  for (const auto& server : servers) {
    const auto counts = server->counts();
    sum.connections += counts.connections;
    sum.requests += counts.requests;
    sum.executed += counts.executed;
    sum.rejected += counts.rejected;
  }
  std::printf("connections %llu requests %llu executed %llu turned away %llu\n",
              static_cast<unsigned long long>(sum.connections), static_cast<unsigned long long>(sum.requests),
              static_cast<unsigned long long>(sum.executed), static_cast<unsigned long long>(sum.rejected));
  servers.clear();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc == 2 && std::string(argv[1]) == "--help") return std::fputs(kUsage, stdout) < 0 ? 1 : 0;
  try {
    return serve(si::Options(argc, argv,
                             {"port", "name", "cores", "service-ms", "class-ms", "distribution", "queue",
                              "answer-bytes", "idle-close", "script", "threads", "seed"}));
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "nettlestand-standin-server: %s\n", problem.what());
    return 2;
  }
}
