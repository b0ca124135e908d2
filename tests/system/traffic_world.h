// Random test scenario: the request handlers, forwarder, item runner and store of one node, with fake servers
// and clients whose behaviour is derived from a seed. The fake servers compare each request that they receive
// with what a client sent.
#pragma once

#include <absl/strings/escaping.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "batch/item_runner.h"
#include "batch/store_service.h"
#include "control/placement.h"
#include "forwarding/forwarder.h"
#include "node/batch_request_handler.h"
#include "node/client_request_handler.h"
#include "recording_messenger.h"
#include "scripted_leader.h"
#include "simulate/simulated_disk.h"

namespace nettlestand::tier::traffic {

namespace asio = boost::asio;

inline constexpr int kMaxAttempts = 3;
inline constexpr std::size_t kEventsPerStream = 4;
inline const std::string kTenant = "t", kKey = "k", kHost = "h.example";

// A request as its client sent it, and what became of it.
struct SentRequest {
  std::string method = "POST", target, body;
  std::map<std::string, std::string> headers;  // that have to be forwarded
  bool repeatable = false, is_item = false;
  int max_runs = 1;
  int runs = 0;
  bool refused = false;                   // with the guarantee that it did not run
  bool client_gone = false;               // its client has disconnected
  std::set<std::string> response_bodies;  // complete bodies sent by servers
};

// The scenario of one seed.
class World {
 public:
  explicit World(std::uint64_t seed);
  ~World();
  // Runs requests and jobs with faults, then without faults until all are done. Returns the first violation
  // found, or an empty string.
  std::string run();
  std::size_t live_answered() const { return live_answered_; }
  std::size_t items_done() const { return items_done_; }
  std::size_t arrivals() const { return arrivals_; }

  // ---- for the fake clients, connections and servers
  std::uint64_t random_below(std::uint64_t bound) { return random_() % bound; }
  bool chance(std::uint64_t percent) { return random_below(100) < percent; }
  void fail(const std::string& what) {
    if (failure_.empty()) failure_ = what;
  }
  bool is_fault_free() const { return fault_free_; }
  SentRequest& sent_request(const std::string& id) { return sent_[id]; }
  bool is_known(const std::string& id) const { return sent_.contains(id); }
  // A request reaches a server, which runs it or rejects it.
  void on_arrival(const std::string& id, const std::string& service, const OutgoingRequest& request,
                  bool runs);
  void on_answered() { ++live_answered_; }
  // Lets other coroutines run a few times.
  asio::awaitable<void> yield_randomly();

 private:
  class LoopbackMessenger;
  void configure();
  void set_placement(const std::vector<StoreId>& members);
  void open_store();
  void refresh_server_list();
  void send_live_request();
  void send_job();
  void end_job();
  void move_jobs_route();
  void move_shard();
  void step();
  void answer_as_replica();
  std::string check_jobs();
  asio::awaitable<void> serve(std::shared_ptr<HttpExchange> exchange);
  std::shared_ptr<HttpExchange> exchange_for(const std::string& id, const std::string& path,
                                             const std::string& body);

  std::mt19937_64 random_;
  asio::io_context io_;
  simulate::SimulatedDisk disk_;
  std::unique_ptr<LoopbackMessenger> messenger_;
  PartialView view_;
  ConfigTextProvider config_texts_;
  ControlClient control_client_;
  ScriptedLeader leader_{control_client_};
  Forwarder forwarder_;
  Settings settings_{};
  JobTable* jobs_ = nullptr;
  std::optional<StoreService> store_;
  BatchRequestHandler batch_front_;
  ClientRequestHandler live_front_;
  std::map<std::string, SentRequest> sent_;
  std::map<std::string, std::vector<std::string>> job_items_;  // items of the submitted jobs
  std::set<std::string> ended_jobs_;
  std::string failure_;
  std::uint64_t last_id_ = 0;
  std::size_t live_answered_ = 0, items_done_ = 0, arrivals_ = 0;
  std::uint64_t generation_ = 1;  // of the configuration
  bool fault_free_ = false, shard_moved_ = false, jobs_moved_ = false;
};

}  // namespace nettlestand::tier::traffic
