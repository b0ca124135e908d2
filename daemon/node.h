// One node: the engine, the HTTP/1.1 listener and upstream connections, discovery, membership and duties, on
// one event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

#include "core/engine.h"
#include "daemon/config.h"
#include "daemon/control_socket.h"
#ifdef NETTLESTAND_WITH_DUTIES
#include "daemon/duties.h"
#endif
#include "discovery/discovery.h"
#include "http/listener.h"
#include "http/upstream.h"
#include "nettlestand/drain.h"
#include "util/byte_budget.h"
#include "util/log.h"
#include "util/poller.h"

namespace nettlestand {

// Builds the components of a node and runs them until shutdown.
class Node {
 public:
  // `reload` returns the current configuration after SIGHUP, or throws. Throws std::exception if the node
  // cannot start; std::invalid_argument for invalid settings.
  Node(const Config& config, std::function<Config()> reload, Log log);

  // Serves until the drain after SIGTERM or SIGINT is over.
  void run();

 private:
  void await_reload();
  void drain();
  void check_drain();
  void stop();
  ControlSocket::AsyncCommands commands();
  std::function<void(const Call&, Reply::Kind)> answer_observer(const Config& config);
  void apply_reload(const Config& next);

  boost::asio::io_context io_;
  const std::function<Config()> reload_config_;
  const Log log_;
  const Config config_;
  const std::size_t sockets_;
  const DrainPlan drain_plan_;
  std::optional<Discovery> discovery_;
  ByteBudget budget_;
  Poller poller_;
  Upstream upstream_;
  Engine engine_;
  Listener listener_;
  std::optional<peers::Service> peers_;
#ifdef NETTLESTAND_WITH_DUTIES
  std::optional<NodeDuties> duties_;
#endif
  std::optional<ControlSocket> control_socket_;
  boost::asio::signal_set signals_, reload_signal_;
  boost::asio::steady_timer drain_timer_;
  double drain_began_ = 0;
  bool is_accepting_ = true;
};

}  // namespace nettlestand
