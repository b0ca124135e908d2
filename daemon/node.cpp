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

constexpr std::size_t kOtherSockets = 40;  // the event loop's, standard ones, discovery, and headroom
constexpr std::size_t kBodyPart = 3;       // of the memory, the part that bodies may take up: a third

constexpr auto kDrainLook = std::chrono::milliseconds(20);

double longest_deadline(const quinceusher::Settings& settings) {
  double longest = 0;
  for (const quinceusher::RequestClass& c : settings.classes) longest = std::max(longest, c.give_up);
  return longest;
}

constexpr auto kLastWords = std::chrono::milliseconds(30);  // for what is said to the voters at the end

// One thread runs the loop and whatever it serves: nothing on it needs a lock, unless a voter or a report's
// writer beside it has something to tell.
int locks(const Config& config) {
  return config.duties ? BOOST_ASIO_CONCURRENCY_HINT_SAFE : BOOST_ASIO_CONCURRENCY_HINT_UNSAFE;
}

}  // namespace

Node::Node(const Config& config, std::function<Config()> reload, Log log)
    : io_(locks(config)),
      reload_config_(std::move(reload)),
      log_(std::move(log)),
      config_(config),
      sockets_(config.sockets - kOtherSockets),
      plan_(config.settings.copy_count == 1, longest_deadline(config.settings)),
      budget_(config.memory_mb * 1024 * 1024 / kBodyPart),
      poller_(io_),
      upstream_(io_, poller_, {config.connect_timeout, config.idle_close, sockets_ * 9 / 20}, budget_, log_),
      engine_(io_, {config.settings, config.seed, config.max_servers(), config.known, counted(config)},
              upstream_, log_,
              [this] {
                if (discovery_) discovery_->watch();
              }),
      listener_(io_, poller_, config.listen,
                RequestValidator(config.settings, config.classes, config.tenants, config.duties.has_value()),
                engine_, budget_, sockets_ * 11 / 20, config.listener, log_),
      signals_(io_, SIGTERM, SIGINT),
      reload_(io_, SIGHUP),
      look_(io_) {
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
  if (!config.control.empty()) {
    control_.emplace(io_, config.control,
                     Control::Commands{{"peers",
                                        [this] {
                                          if (!peers_)
                                            throw std::runtime_error("membership is off in this node");
                                          return peers_->report();
                                        }}},
                     commands(), log_);
  }
  if (!config.discovery) return;
  discovery_.emplace(io_,
                     DiscoveryOptions{*config.discovery, config.zones, config.seed,
                                      config.known ? std::optional(config.known->seq) : std::nullopt,
                                      !config.settings.must_watch, config.max_servers()},
                     Discovery::Callbacks{[this](const ServerList& list) { engine_.on_server_list(list); },
                                          [this] { engine_.on_watch_failed(); }},
                     log_);
}

// What the fleet report counts; nothing where there is none.
std::function<void(const Call&, Reply::Kind)> Node::counted(const Config& config) {
#ifdef NETTLESTAND_WITH_DUTIES
  if (config.duties && config.duties->report) {
    return [this](const Call& call, Reply::Kind kind) {
      if (duties_) duties_->answered(call, kind);
    };
  }
#endif
  static_cast<void>(config);
  return {};
}

Control::Later Node::commands() {
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
  if (!discovery_ && config_.servers) engine_.on_server_list(*config_.servers);
  signals_.async_wait([this](const boost::system::error_code& error, int) {
    if (!error) drain();
  });
  await_reload();
  while (!io_.stopped()) {
    try {
      io_.run();
    } catch (const std::exception& surprise) {  // one connection's trouble must not end the others
      log_(nettlestand::surprise("node", surprise.what()));
    }
  }
}

// Guards the running node against its next configuration: what can't be read or used changes nothing. Only
// discovery's address, or the list of servers where there is none, and the peers' addresses and keys are
// taken over; the rest holds until the next start.
void Node::await_reload() {
  reload_.async_wait([this](const boost::system::error_code& error, int) {
    if (error) return;
    await_reload();
    try {
      take_over(reload_config_());
    } catch (const std::exception& problem) {
      log_({LogLevel::kError,
            "node",
            "configuration_kept",
            std::string("the configuration stays as it was: ") + problem.what(),
            {{"why", std::string(problem.what())}}});
    }
  });
}

void Node::take_over(const Config& next) {
  if (discovery_.has_value() != next.discovery.has_value() || (!discovery_ && !next.servers)) {
    throw std::runtime_error("it has another source of servers");
  }
  if (peers_ && next.peers) peers_->reload(*next.peers);  // throws before anything is changed
  if (discovery_) {
    discovery_->set_address(*next.discovery);
  } else {
    engine_.on_server_list(*next.servers);
  }
}

void Node::drain() {
  log_({LogLevel::kInfo, "node", "draining", "draining", {}});
  drain_began_ = now();
  if (peers_) peers_->announce_leaving();
#ifdef NETTLESTAND_WITH_DUTIES
  if (duties_) duties_->leave();
#endif
  listener_.drain();
  look();
}

void Node::look() {
  const double since = now() - drain_began_;
  if (!plan_.accepts_connections(since)) {
    if (accepting_) listener_.stop_accepting();
    accepting_ = false;
  }
  if (plan_.closes_connections(since)) listener_.close_idle_connections();
  if (plan_.expires_open_requests(since)) {
    listener_.stop_reading();
    engine_.expire_all();
  }
  if (plan_.is_finished(since, listener_.connections() > 0)) {
    if (peers_) peers_->leave();
    control_.reset();
    log_({LogLevel::kInfo, "node", "drained", "drained", {{"after_ms", std::int64_t(since * 1000)}}});
    return end();
  }
  look_.expires_after(kDrainLook);
  look_.async_wait([this](const boost::system::error_code& error) {
    if (!error) look();
  });
}

void Node::end() {
#ifdef NETTLESTAND_WITH_DUTIES
  if (duties_) {
    duties_->close();
    look_.expires_after(kLastWords);
    return look_.async_wait([this](const boost::system::error_code&) { io_.stop(); });
  }
#endif
  io_.stop();
}

}  // namespace nettlestand
