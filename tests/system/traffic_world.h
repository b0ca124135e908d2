// One process of the tier with its fronts, forwarder, item runner and store, among engines and clients that
// do what a seed says. The engines compare each request that reaches them with what a client has sent.
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
#include "simulate/simulated_disk.h"

namespace nettlestand::tier::traffic {

namespace asio = boost::asio;

inline constexpr int kMaxAttempts = 3;
inline constexpr std::size_t kEventsPerStream = 4;  // of each stream
inline const std::string kTenant = "t", kKey = "k", kHost = "h.example";

// A request as its client sent it, and what has become of it.
struct SentRequest {
  std::string method = "POST", target, body;
  std::map<std::string, std::string> headers;  // that have to go on
  bool repeatable = false, is_item = false;
  int max_runs = 1;
  int runs = 0;
  bool refused = false;                   // with a promise that it has not run
  bool client_gone = false;               // its client has left
  std::set<std::string> response_bodies;  // whole bodies that engines have given
};

class World {
 public:
  explicit World(std::uint64_t seed);
  ~World();
  // Plays requests and jobs under faults, then in calm until all is over; the first broken promise, or empty.
  std::string run();
  std::size_t live_answered() const { return live_answered_; }
  std::size_t items_done() const { return items_done_; }
  std::size_t arrivals() const { return arrivals_; }

  // ---- for clients, connections and engines
  std::uint64_t random_below(std::uint64_t bound) { return random_() % bound; }
  bool chance(std::uint64_t percent) { return random_below(100) < percent; }
  void fail(const std::string& what) {
    if (failure_.empty()) failure_ = what;
  }
  bool is_fault_free() const { return fault_free_; }
  SentRequest& sent_request(const std::string& id) { return sent_[id]; }
  bool is_known(const std::string& id) const { return sent_.contains(id); }
  // A request reaches an engine and runs there, or is turned away.
  void on_arrival(const std::string& id, const OutgoingRequest& request, bool runs);
  void on_answered() { ++live_answered_; }
  asio::awaitable<void> yield_randomly();

 private:
  class LoopbackMessenger;
  void configure();
  void set_placement(const std::vector<StoreId>& members);
  void receive_leader_reply();
  void open_store();
  void list_servers();
  void send_live_request();
  void send_job();
  void end_job();
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
  Forwarder forwarder_;
  Settings settings_{};
  PlacementTable table_{};
  JobTable* jobs_ = nullptr;
  std::optional<StoreService> store_;
  BatchRequestHandler batch_front_;
  ClientRequestHandler live_front_;
  std::map<std::string, SentRequest> sent_;
  std::map<std::string, std::vector<std::string>> job_items_;  // of the jobs that were sent
  std::set<std::string> ended_jobs_;
  std::string failure_;
  std::uint64_t last_id_ = 0;
  std::size_t live_answered_ = 0, items_done_ = 0, arrivals_ = 0;
  bool fault_free_ = false, shard_moved_ = false;
};

}  // namespace nettlestand::tier::traffic
