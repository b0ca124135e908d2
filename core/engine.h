// Host of the decision module: owns the Balancer and the open requests, turns reports of front ends and the
// transport into events, and actions into attempts and answers, and enforces each request's deadline. It
// knows no protocol.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/transport.h"
#include "quinceusher/balancer.h"
#include "util/log.h"

namespace nettlestand {

// The final answer to a request.
struct Reply {
  enum class Kind {
    kServed,    // `payload` is the answer
    kRefused,   // nothing has run: a retry is harmless
    kFailed,    // nothing is promised: it may have run
    kTimedOut,  // failed, as its deadline passed
    kShutDown   // failed, as the node shuts down
  };
  Kind kind = Kind::kFailed;
  double retry_after = 0;  // s, of a refusal; 0: no advice
  std::unique_ptr<Payload> payload;
};

// A front end's side of one request, which awaits the answer. The core holds it until it has answered.
class Caller {
 public:
  // Called exactly once, perhaps before submit() returns, unless on_client_gone() comes first. Must not
  // throw.
  virtual void answered(Reply&& reply) = 0;
  // Whether the client has left by now, even if the core was not told yet: asked before each attempt, as a
  // busy loop's timers can overtake a close that waits in its socket. Must not throw.
  virtual bool left() const { return false; }

 protected:
  ~Caller() = default;
};

// A caller's request, parsed and valid.
struct Call {
  quinceusher::Request request;  // the engine sets id and time_left
  std::shared_ptr<const Payload> payload;
  std::string client_id;   // the client's id for it
  double received_at = 0;  // on the steady clock
  double timeout = 0;      // s, from when the client sent it
};

struct EngineOptions {
  quinceusher::Settings settings;
  std::uint64_t seed = 0;
  std::size_t max_servers = 8192;                // listed, ready or draining
  std::optional<ServerList> last_known_servers;  // used until discovery delivers a list
  // Called before each final answer, with the request and how it ended. Must not throw.
  std::function<void(const Call&, Reply::Kind)> answered;
};

// Used on the event loop's thread only, except ready() and refusal(), which any thread may call.
class Engine final : private Transport::Sink {
 public:
  // `watch` asks discovery for its lists. Throws std::invalid_argument for settings that the decision module
  // can't use.
  Engine(boost::asio::io_context& io, EngineOptions options, Transport& transport, Log log,
         std::function<void()> watch);

  void start();

  // Starts a request and returns its number.
  std::uint64_t submit(Call call, std::shared_ptr<Caller> caller);

  // Whether a request with this client id is open or has attempts in flight.
  bool has_request(std::string_view client_id) const { return client_ids_.contains(client_id); }

  // The client has left: no answer is needed any more.
  void on_client_gone(std::uint64_t request);

  // Ends all open requests as if their deadlines had passed.
  void expire_all();
  // Answers all open requests as shut down, and handles nothing more.
  void shut_down();

  // For requests that a front end turns away itself, unsent.
  Reply refusal() const;

  // Throws std::length_error, and changes nothing, if the list would bring too many servers.
  void on_server_list(const ServerList& list);
  void on_watch_failed();
  // The number of balancers, and the index of this one, differ from the settings.
  void on_balancers_changed(int index, int count, double sharers);

  // Whether requests can be served: there is a server, and discovery has delivered a list or had its time.
  bool ready() const { return discovery_settled_ && servers_known_; }
  std::size_t open() const { return open_count_; }  // requests without an answer

 private:
  struct AttemptRecord {
    double sent_at = 0;
    bool open = true, may_have_run = true;
  };
  struct OpenRequest {
    OpenRequest(boost::asio::io_context& io, Call&& taken, std::shared_ptr<Caller>&& from)
        : call(std::move(taken)), caller(std::move(from)), deadline(io) {}
    Call call;
    std::shared_ptr<Caller> caller;  // null once the request has its final answer
    boost::asio::steady_timer deadline;
    std::vector<AttemptRecord> attempts;
  };
  using OpenRequestMap = std::unordered_map<std::uint64_t, OpenRequest>;

  void ended(const AttemptId& attempt, quinceusher::Outcome outcome,
             std::unique_ptr<Payload> answer) override;
  void arriving(const AttemptId& attempt, const Progress& progress) override;

  void apply_list(const ServerList& list);
  void check_server_limit(const ServerList& list);
  void post(quinceusher::Event event);
  void handle_events();
  void run(const quinceusher::Send& action);
  void run(const quinceusher::Refuse& action);
  void run(const quinceusher::Fail& action);
  void run(const quinceusher::Cancel& action);
  void run(const quinceusher::Extend& action);
  void run(const quinceusher::SetTimer& action);
  void run(const quinceusher::WatchMembers& action);
  void run(const quinceusher::LogLine& action);
  OpenRequest* find(std::uint64_t request);
  void expire(std::uint64_t request, Reply::Kind kind);
  std::shared_ptr<Caller> take_caller(OpenRequest& entry);
  void answer(std::uint64_t request, Reply&& reply);
  void withdraw_attempts(std::uint64_t request);
  void forget_if_done(std::uint64_t request);

  boost::asio::io_context& io_;
  const EngineOptions options_;
  quinceusher::Balancer balancer_;
  Transport& transport_;
  const Log log_;
  const std::function<void()> watch_;
  OpenRequestMap open_requests_;
  std::unordered_set<std::string_view> client_ids_;  // of all open_requests_, as views into them
  std::unordered_set<std::string> listed_;           // names of all servers, ready or draining
  std::deque<quinceusher::Event> events_;
  std::uint64_t last_timer_ = 0;
  std::unordered_map<std::uint64_t, boost::asio::steady_timer> timers_;
  bool running_ = false, shut_down_ = false;
  std::uint64_t last_id_ = 0;
  std::size_t open_count_ = 0;
  std::atomic<bool> discovery_settled_ = false, servers_known_ = false;
};

}  // namespace nettlestand
