#include "daemon/node.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <exception>
#include <stdexcept>
#include <string>
#include <utility>

#include "util/clock.h"

namespace nettlestand {
namespace {

namespace asio = boost::asio;

// Descriptors for the event loop, the standard streams and discovery, and headroom.
constexpr std::size_t kReservedSockets = 40;
// A third of the memory is the budget of request and response bodies.
constexpr std::size_t kBodyMemoryDivisor = 3;

constexpr auto kDrainCheckInterval = std::chrono::milliseconds(20);

double longest_deadline(const quinceusher::Settings& settings) {
  double longest = 0;
  for (const quinceusher::RequestClass& c : settings.classes) longest = std::max(longest, c.give_up);
  return longest;
}

// Lets the last messages reach the voters before the loop stops.
constexpr auto kFinalMessagesDelay = std::chrono::milliseconds(30);

// The loop runs on one thread and needs no locks, unless the threads of a voter or of the report's writer
// post to it.
int concurrency_hint(const Config& config) {
  return config.duties ? BOOST_ASIO_CONCURRENCY_HINT_SAFE : BOOST_ASIO_CONCURRENCY_HINT_UNSAFE;
}

}  // namespace

Node::Node(const Config& config, std::function<Config()> reload, Log log)
    : io_(concurrency_hint(config)),
      reload_config_(std::move(reload)),
      log_(std::move(log)),
      config_(config),
      sockets_(config.sockets - kReservedSockets),
      drain_plan_(config.settings.copy_count == 1, longest_deadline(config.settings)),
      budget_(config.memory_mb * 1024 * 1024 / kBodyMemoryDivisor),
      poller_(io_),
      upstream_(io_, poller_, {config.connect_timeout, config.server_idle_timeout, sockets_ * 9 / 20},
                budget_, log_),
      engine_(io_,
              {config.settings, config.seed, config.max_servers(), config.last_known_servers,
               answer_observer(config)},
              upstream_, log_,
              [this] {
                if (discovery_) discovery_->watch();
              }),
      listener_(io_, poller_, config.listen,
                RequestValidator(config.settings, config.classes, config.tenants, config.duties.has_value()),
                engine_, budget_, sockets_ * 11 / 20, config.listener, log_),
      signals_(io_, SIGTERM, SIGINT),
      reload_signal_(io_, SIGHUP),
      drain_timer_(io_) {
  if (config.peers) {
    peers_.emplace(io_, *config.peers,
                   peers::Service::Listeners{[this](const peers::BalancerAssignment& assignment) {
                                               engine_.on_balancers_changed(assignment.index,
                                                                            assignment.count,
                                                                            assignment.rate_limit_divisor);
                                             },
                                             {}},
                   log_);
  }
#ifdef NETTLESTAND_WITH_DUTIES
  if (config.duties) duties_.emplace(io_, config, log_);
#endif
  if (!config.control_socket.empty()) {
    control_socket_.emplace(
        io_, config.control_socket,
        ControlSocket::Commands{{"peers",
                                 [this] {
                                   if (!peers_) throw std::runtime_error("membership is off in this node");
                                   return peers_->report();
                                 }}},
        commands(), log_);
  }
  if (!config.discovery) return;
  discovery_.emplace(
      io_,
      DiscoveryOptions{
          *config.discovery, config.zones, config.seed,
          config.last_known_servers ? std::optional(config.last_known_servers->seq) : std::nullopt,
          !config.settings.must_watch, config.max_servers()},
      Discovery::Callbacks{[this](const ServerList& list) { engine_.on_server_list(list); },
                           [this] { engine_.on_watch_failed(); }},
      log_);
}

// The callback that counts answers for the fleet report; empty if there is no report.
std::function<void(const Call&, Reply::Kind)> Node::answer_observer(const Config& config) {
#ifdef NETTLESTAND_WITH_DUTIES
  if (config.duties && config.duties->report) {
    return [this](const Call& call, Reply::Kind kind) {
      if (duties_) duties_->count_answer(call, kind);
    };
  }
#endif
  static_cast<void>(config);
  return {};
}

ControlSocket::AsyncCommands Node::commands() {
#ifdef NETTLESTAND_WITH_DUTIES
  if (duties_) return duties_->commands();
#endif
  return {};
}

void Node::run() {
  const std::string at =
      listener_.address().address().to_string() + ":" + std::to_string(listener_.address().port());
  log_({LogLevel::kInfo, "node", "listening", "listening on " + at, {{"address", at}}});
  engine_.start();
  if (peers_) peers_->start();
#ifdef NETTLESTAND_WITH_DUTIES
  if (duties_) duties_->start();
#endif
  if (!discovery_ && config_.static_servers) engine_.on_server_list(*config_.static_servers);
  signals_.async_wait([this](const boost::system::error_code& error, int) {
    if (!error) drain();
  });
  await_reload();
  while (!io_.stopped()) {
    try {
      io_.run();
    } catch (const std::exception& error) {  // an error of one connection must not end the others
      log_(nettlestand::unexpected_error("node", error.what()));
    }
  }
}

// Applies a changed configuration after SIGHUP. An invalid one changes nothing. Only discovery's address (or
// the static list of servers) and the peers' addresses and keys are applied; the rest takes effect at the
// next start.
void Node::await_reload() {
  reload_signal_.async_wait([this](const boost::system::error_code& error, int) {
    if (error) return;
    await_reload();
    try {
      apply_reload(reload_config_());
    } catch (const std::exception& problem) {
      log_({LogLevel::kError,
            "node",
            "configuration_kept",
            std::string("the configuration stays as it was: ") + problem.what(),
            {{"why", std::string(problem.what())}}});
    }
  });
}

void Node::apply_reload(const Config& next) {
  if (discovery_.has_value() != next.discovery.has_value() || (!discovery_ && !next.static_servers)) {
    throw std::runtime_error("the source of servers (discovery or a static list) cannot change");
  }
  if (peers_ && next.peers) peers_->reload(*next.peers);  // throws before it changes anything
  if (discovery_) {
    discovery_->set_address(*next.discovery);
  } else {
    engine_.on_server_list(*next.static_servers);
  }
}

void Node::drain() {
  log_({LogLevel::kInfo, "node", "draining", "draining", {}});
  drain_began_ = now();
  if (peers_) peers_->announce_leaving();
#ifdef NETTLESTAND_WITH_DUTIES
  if (duties_) duties_->begin_drain();
#endif
  listener_.drain();
  check_drain();
}

void Node::check_drain() {
  const double since = now() - drain_began_;
  if (!drain_plan_.accepts_connections(since)) {
    if (is_accepting_) listener_.stop_accepting();
    is_accepting_ = false;
  }
  if (drain_plan_.closes_connections(since)) listener_.close_idle_connections();
  if (drain_plan_.expires_open_requests(since)) {
    listener_.stop_reading();
    engine_.expire_all();
  }
  if (drain_plan_.is_finished(since, listener_.connections() > 0)) {
    if (peers_) peers_->leave();
    control_socket_.reset();
    log_({LogLevel::kInfo, "node", "drained", "drained", {{"after_ms", std::int64_t(since * 1000)}}});
    return stop();
  }
  drain_timer_.expires_after(kDrainCheckInterval);
  drain_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) check_drain();
  });
}

void Node::stop() {
#ifdef NETTLESTAND_WITH_DUTIES
  if (duties_) {
    duties_->shut_down();
    drain_timer_.expires_after(kFinalMessagesDelay);
    return drain_timer_.async_wait([this](const boost::system::error_code&) { io_.stop(); });
  }
#endif
  io_.stop();
}

}  // namespace nettlestand
