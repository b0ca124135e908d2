// The process of an edge node or a store: creates the components, connects them, and runs them on one event
// loop until a signal stops it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "forwarding/forwarder.h"
#include "messaging/tcp_messenger.h"
#include "node/batch_request_handler.h"
#include "node/client_request_handler.h"
#include "node/http_server.h"
#include "node/node_core.h"
#include "node/operator_request_handler.h"
#include "node/settings.h"
#include "storage/directory_lock.h"

namespace nettlestand::tier {

// kEdge serves clients and operators; kStore keeps batch jobs and runs their items.
enum class NodeRole : std::uint8_t { kEdge, kStore };

class NodeProgram {
 public:
  NodeProgram(NodeRole role, Settings settings, std::string settings_path);
  ~NodeProgram();
  // Runs until SIGTERM or SIGINT has been handled; SIGHUP reloads the settings file. Returns the exit code.
  int run();

 private:
  // Waits for an earlier process of this node that has not ended yet. A CancelledError if a signal ends this
  // one meanwhile.
  absl::Status lock_data_directory();
  absl::Status open_disk(NodeCore::Disks& disks);
  absl::Status open_control_disk(NodeCore::Disks& disks);
  absl::Status open_store_disk(NodeCore::Disks& disks);
  void create_core(NodeCore::Disks disks);
  void start_http_servers();
  void add_http_server(const std::string& address, std::function<HttpLimits()> limits,
                       HttpServer::Handler handler);
  void update_position();
  void tick();
  void wait_for_signal();
  void reload();
  void begin_stop();
  void continue_stop(Millis now);
  Millis stop_deadline() const;
  bool may_exit(Millis now) const;
  bool is_ready(Millis now) const;

  NodeRole role_;
  Settings settings_;
  std::string settings_path_;
  boost::asio::io_context io_;
  boost::asio::steady_timer timer_;
  boost::asio::signal_set signals_;
  std::uint64_t random_seed_;
  std::shared_ptr<ByteBudget> client_memory_;        // of the connections to all listeners together
  std::optional<storage::DirectoryLock> data_lock_;  // released after core_ has stopped writing
  std::unique_ptr<TcpMessenger> messenger_;
  std::unique_ptr<Forwarder> forwarder_;
  std::unique_ptr<NodeCore> core_;
  std::unique_ptr<BatchRequestHandler> batch_handler_;
  std::unique_ptr<OperatorRequestHandler> operator_handler_;
  std::unique_ptr<ClientRequestHandler> client_handler_;
  std::vector<std::unique_ptr<HttpServer>> http_servers_;
  Millis next_idle_close_ = 0;
  Millis stopping_since_ = 0;
  bool rejecting_requests_ = false;
};

}  // namespace nettlestand::tier
