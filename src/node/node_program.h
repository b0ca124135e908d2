// The process: wires the parts of an edge or a storage machine together, and runs until it is told to stop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "batch/store_service.h"
#include "control/service.h"
#include "node/batch_front.h"
#include "node/http_server.h"
#include "node/live_front.h"
#include "node/operator_front.h"
#include "node/settings.h"

namespace nettlestand::tier {

enum class NodeRole : std::uint8_t { kEdge, kStore };

class NodeProgram {
 public:
  NodeProgram(NodeRole role, Settings settings, std::string settings_path);
  // Returns the exit code.
  int run();

 private:
  absl::Status open_disk();
  void start_fronts();
  void wire_follower();
  void on_message(const std::string& from, std::string_view bytes);
  void on_formation_request(const std::string& from, const FormationRequest& request);
  void update_pool();
  void tick();
  void shuffle(Millis now);
  void on_signal();
  void reload();
  void begin_stop();
  bool may_exit(Millis now) const;
  bool is_ready(Millis now) const;

  NodeRole role_;
  Settings settings_;
  std::string settings_path_;
  boost::asio::io_context io_;
  boost::asio::steady_timer timer_;
  boost::asio::signal_set signals_;
  std::uint64_t seed_;
  std::unique_ptr<ControlJournal> control_journal_;
  std::unique_ptr<JobTable> job_table_;
  std::unique_ptr<JobJournal> job_journal_;
  std::unique_ptr<PartialView> view_;
  std::unique_ptr<Network> network_;
  std::unique_ptr<ControlFollower> follower_;
  std::unique_ptr<Forwarder> forwarder_;
  std::unique_ptr<ControlService> control_;
  std::unique_ptr<StoreService> store_;
  std::unique_ptr<BatchFront> batch_front_;
  std::unique_ptr<OperatorFront> operator_front_;
  std::unique_ptr<LiveFront> live_front_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::optional<std::uint64_t> voted_for_;  // of those who asked to form the groups
  Millis started_ = 0, next_shuffle_ = 0, next_idle_close_ = 0;
  Millis stopping_since_ = 0;
};

}  // namespace nettlestand::tier
