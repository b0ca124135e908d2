// Test application that embeds a gateway on a separate thread: a cpp-httplib server that passes /api to the
// gateway and serves /healthz and /own itself. Configuration, signals and tests are those of the daemon.
#include <csignal>
#include <thread>

#include "nettlestand/middleware/httplib.h"
#include "tests/forms/service.h"

namespace ns = nettlestand;
namespace nt = nettlestand::testing;

namespace {

int serve(const ns::Config& config, const sigset_t& signals) {
  ns::Options options = nt::options_of(config);
  options.logger = nt::log_line;
  ns::Error error;
  const auto gateway = ns::Gateway::open(std::move(options), error);
  if (!gateway) throw std::invalid_argument(error.text);
  const ns::DrainPlan plan = nt::plan_of(config);

  std::atomic<bool> draining = false;
  ns::httplib::Server server(*gateway);
  server.new_task_queue = [] { return new httplib::ThreadPool(300); };
  server.set_keep_alive_timeout(20);
  server.set_read_timeout(20);
  server.Get("/healthz", [&](const httplib::Request&, httplib::Response& response) {
    response.status = gateway->ready() && !draining ? 200 : 503;
  });
  server.Post("/own", [](const httplib::Request& request, httplib::Response& response) {
    response.set_content(request.body, "text/plain");
  });
  const std::string host = config.listen.address().to_string();
  const int port = config.listen.port() == 0
                       ? server.bind_to_any_port(host)
                       : (server.bind_to_port(host, config.listen.port()) ? config.listen.port() : -1);
  if (port < 0) throw std::runtime_error("can't listen");
  std::thread listening([&] { server.listen_after_bind(); });
  nt::log_line("listening on " + host + ":" + std::to_string(port));

  double drain_started = 0;
  bool accepting = true;
  while (true) {
    const timespec poll_interval{0, 20'000'000};
    const int signal = sigtimedwait(&signals, nullptr, &poll_interval);
    if (signal == SIGHUP) nt::reload(*gateway);
    if ((signal == SIGTERM || signal == SIGINT) && !draining) {
      draining = true;  // set before the log line, on which tests wait
      drain_started = ns::now();
      nt::log_line("draining");
    }
    if (!draining) continue;
    const double since = ns::now() - drain_started;
    if (!plan.accepts_connections(since) && std::exchange(accepting, false)) server.stop();
    if (plan.closes_connections(since)) server.drain();
    if (plan.expires_open_requests(since)) gateway->expire_all();
    if (plan.is_finished(since, server.connections() > 0)) break;
  }
  nt::log_line("drained");
  std::_Exit(0);  // connections that are still open end with the process
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  try {
    return serve(nt::load(), signals);
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "service: %s\n", problem.what());
  }
  return 1;
}
