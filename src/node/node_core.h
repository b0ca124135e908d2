// All that a process decides with other nodes: membership, control state, batch jobs. Its messages, its time
// and its disk are handed in, so that the program and simulations run the same code.
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

class NodeCore {
 public:
  // What a machine with a disk has of it, by its role; empty on others.
  struct Disks {
    std::optional<ControlDisk> control;
    std::optional<StoreDisk> store;
  };
  struct Identity {
    bool is_store = false;
    std::uint64_t generation = 0;   // rises with each start of the process
    std::uint64_t random_seed = 0;  // drawn by chance at each start
  };
  struct Hooks {
    std::function<void()> on_server_list_changed;
    std::function<void()>
        on_position_updated;  // among the live nodes, which decides the subset of the servers
    std::function<void(JobReply)> on_job_reply;
  };

  // `listing` is used by core machines alone.
  NodeCore(Messenger& messenger, const Settings& settings, Identity identity, Disks disks,
           ServerListSourceFactory server_list_source_factory, Millis now);
  ~NodeCore();
  // To be called once, before anything else: starts the store, where this is one.
  void start(const JobRunnerFactory& job_runner_factory);
  void set_hooks(Hooks hooks) { hooks_ = std::move(hooks); }

  void on_message(Millis now, const std::string& from, std::string_view bytes);
  void tick(Millis now);
  // The process is to end: hands on what it leads.
  void begin_stop(Millis now);

  PartialView& view() { return view_; }
  ControlClient& control_client() { return control_client_; }
  const ControlClient& control_client() const { return control_client_; }
  OperatorRelay& operator_relay() { return operator_relay_; }
  // Null on machines that don't hold them.
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
  std::optional<StoreDisk> store_disk_;  // until the start
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
