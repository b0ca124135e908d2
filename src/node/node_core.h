// The part of a node that works with other nodes: membership, control state and batch jobs. The messenger,
// the clock and the disk are passed in, so that the program and the simulations run the same code.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "batch/store_service.h"
#include "control/operator_relay.h"
#include "control/service.h"
#include "node/settings.h"

namespace nettlestand::tier {

// Creates these components, drives them by `tick` and routes each message to the one that handles it.
class NodeCore {
 public:
  // The opened storage of a node with a disk: `control` on an edge node, `store` on a store. Both are empty
  // on a node without a disk.
  struct Disks {
    std::optional<ControlDisk> control;
    std::optional<StoreDisk> store;
  };
  // The role of this process, and what tells its runs apart.
  struct Identity {
    bool is_store = false;
    std::uint64_t generation = 0;   // higher at each start of the process
    std::uint64_t random_seed = 0;  // drawn anew at each start
  };
  struct Hooks {
    std::function<void()> on_server_list_changed;
    // This node's index among the live nodes, which decides its subset of the servers, may have changed.
    std::function<void()> on_position_updated;
    std::function<void(JobReply)> on_job_reply;
  };

  // `server_list_source_factory` is used only by nodes that hold control state.
  NodeCore(Messenger& messenger, const Settings& settings, Identity identity, Disks disks,
           ServerListSourceFactory server_list_source_factory, Millis now);
  ~NodeCore();
  // Has to be called once, before any other function. Starts the store if this node is one.
  void start(const JobRunnerFactory& job_runner_factory);
  void set_hooks(Hooks hooks) { hooks_ = std::move(hooks); }

  void on_message(Millis now, const std::string& from, std::string_view bytes);
  void tick(Millis now);
  // Begins the shutdown: marks the node as leaving and hands over the leadership that it has.
  void begin_stop(Millis now);

  PartialView& view() { return view_; }
  ControlClient& control_client() { return control_client_; }
  const ControlClient& control_client() const { return control_client_; }
  OperatorRelay& operator_relay() { return operator_relay_; }
  // Null on nodes that have no control state, or no store.
  ControlService* control() { return control_.get(); }
  StoreService* store() { return store_.get(); }

 private:
  static NodeInfo make_node_info(const Settings& settings, const Identity& identity, const Disks& disks);
  static ControlClientSettings control_client_settings(const Settings& settings, bool is_store);
  void dispatch_common(Millis now, const std::string& from, MessageType type, std::string_view body);
  void dispatch_control(Millis now, const std::string& from, MessageType type, std::string_view body);
  void dispatch_store(Millis now, const std::string& from, MessageType type, std::string_view body);
  void on_poll_reply(Millis now, const std::string& from, const PollReply& reply);
  void on_operator_call(Millis now, const std::string& from, const OperatorCall& call);
  void send_config_texts(Millis now);
  void shuffle(Millis now);

  Messenger& messenger_;
  const Settings& settings_;
  std::optional<StoreDisk> store_disk_;  // until `start` moves it into the store
  Hooks hooks_;
  PartialView view_;
  ConfigTextProvider config_texts_;
  ControlClient control_client_;
  OperatorRelay operator_relay_;
  BootstrapVoter bootstrap_voter_;
  std::unique_ptr<ControlService> control_;
  std::unique_ptr<StoreService> store_;
  Millis started_at_, next_shuffle_ = 0;
};

}  // namespace nettlestand::tier
