// Test application that embeds a gateway: a RESTinio server that passes /api to the gateway and serves
// /healthz and /own itself. Configuration, signals and tests are those of the daemon.
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <utility>

#include "nettlestand/middleware/restinio.h"
#include "tests/forms/service.h"

namespace {

namespace asio = boost::asio;
namespace ns = nettlestand;
namespace nt = nettlestand::testing;
using nt::log_line;

struct Traits : restinio::default_single_thread_traits_t {
  using stream_socket_t = ns::restinio::Socket;
  using request_handler_t = restinio::sync_chain::fixed_size_chain_t<2>;
};

class Service {
 public:
  explicit Service(const ns::Config& config)
      : plan_(nt::plan_of(config)), gateway_(open(config)), drain_timer_(loop_) {
    binding_ = std::make_shared<ns::restinio::GatewayBinding>(*gateway_);
    // Accepts no more connections than the daemon, so that descriptors remain for servers.
    server_ = std::make_unique<restinio::http_server_t<Traits>>(
        restinio::external_io_context(loop_),
        restinio::server_settings_t<Traits>{}
            .address(config.listen.address().to_string())
            .port(config.listen.port())
            .gateway_binding(binding_)
            .acceptor_options_setter(
                [](auto& options) { options.set_option(asio::ip::tcp::acceptor::reuse_address(true)); })
            .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) {
              address_ = nt::text_of(acceptor.local_endpoint());
            })
            .max_pipelined_requests(2)
            .read_next_http_message_timelimit(std::chrono::seconds(20))
            .handle_request_timeout(std::chrono::seconds(700))
            .request_handler(ns::restinio::handler(binding_),
                             [this](const restinio::request_handle_t& request) { return own(request); }));
  }

  void run() {
    asio::post(loop_, [this] {
      server_->open_sync();
      log_line("listening on " + address_);
    });
    signals_.async_wait([this](const auto& error, int) {
      if (error) return;
      log_line("draining");
      draining_ = true;
      drain_started_ = ns::now();
      check_drain();
    });
    await_reload_signal();
    loop_.run();
  }

 private:
  std::unique_ptr<ns::Gateway> open(const ns::Config& config) {
    ns::Options options = nt::options_of(config);
    options.logger = log_line;
    ns::Error error;
    auto out = ns::open_on(loop_, std::move(options), error);
    if (!out) throw std::invalid_argument(error.text);
    return out;
  }

  // The application's own routes.
  restinio::request_handling_status_t own(const restinio::request_handle_t& request) {
    const auto path = request->header().path();
    if (path == "/healthz") {
      const bool get = request->header().method() == restinio::http_method_get();
      const bool well = gateway_->ready() && !draining_;
      return request
          ->create_response(!get   ? restinio::status_method_not_allowed()
                            : well ? restinio::status_ok()
                                   : restinio::status_service_unavailable())
          .done();
    }
    if (path == "/own") return request->create_response().set_body(request->body()).done();
    return request->create_response(restinio::status_not_found()).done();
  }

  void await_reload_signal() {
    reload_.async_wait([this](const auto& error, int) {
      if (error) return;
      await_reload_signal();
      nt::reload(*gateway_);
    });
  }

  void check_drain() {
    const double since = ns::now() - drain_started_;
    if (!plan_.accepts_connections(since) && std::exchange(accepting_, false)) server_->close_sync();
    if (plan_.closes_connections(since)) binding_->drain();
    if (plan_.expires_open_requests(since)) gateway_->expire_all();
    if (plan_.is_finished(since, binding_->connections() > 0)) {
      log_line("drained");
      return loop_.stop();
    }
    drain_timer_.expires_after(std::chrono::milliseconds(20));
    drain_timer_.async_wait([this](const auto& error) {
      if (!error) check_drain();
    });
  }

  asio::io_context loop_{1};
  const ns::DrainPlan plan_;
  std::unique_ptr<ns::Gateway> gateway_;
  std::shared_ptr<ns::restinio::GatewayBinding> binding_;
  std::unique_ptr<restinio::http_server_t<Traits>> server_;
  asio::signal_set signals_{loop_, SIGTERM, SIGINT}, reload_{loop_, SIGHUP};
  asio::steady_timer drain_timer_;
  std::string address_;
  bool draining_ = false, accepting_ = true;
  double drain_started_ = 0;
};

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Service service(nt::load());
    service.run();
    std::_Exit(0);
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "service: %s\n", problem.what());
  }
  return 1;
}
