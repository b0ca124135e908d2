// The implementation of Gateway: the core and its HTTP transport on one event loop, and the table of open
// requests with their completions.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>

#include "core/engine.h"
#include "discovery/discovery.h"
#include "duties/client_service.h"
#include "gateway/convert.h"
#include "http/request_validator.h"
#include "http/upstream.h"
#include "nettlestand/gateway.h"
#include "nettlestand/http.h"
#include "peers/service.h"
#include "util/byte_budget.h"
#include "util/endpoint.h"
#include "util/poller.h"

namespace nettlestand {

// The application's loggers. Shared, as a completion may log after the gateway is gone.
struct GatewayLoggers {
  std::function<void(std::string_view)> on_line;
  std::function<void(const LogEvent&)> on_event;
};

struct HttpCall::Impl {
  Call call;
};

// The table of open requests is guarded by a mutex and used from any thread. Whoever removes a request from
// it posts its completion, so each completion is called exactly once. Everything else is used on the loop's
// thread only.
class Gateway::Impl : public std::enable_shared_from_this<Impl> {
 public:
  // Runs on `loop`, or, if it is null, on a loop and a thread of its own.
  Impl(Options options, ValidatedOptions validated, boost::asio::io_context* loop);

  void start();
  // Posts kShutDown to the completions of all open requests, and the rest of the shutdown to the loop.
  void close();

  Ticket submit(Request&& request, Completion&& done);
  Ticket submit(HttpCall&& call, Completion&& done);
  bool cancel(Ticket ticket);
  void stop(UniqueFunction<void()> done);
  void expire_all();
  bool ready() const { return engine_.ready(); }
  std::size_t open_requests() const;
  Error set_servers(const std::vector<ServerOptions>& servers);
  Error set_discovery_address(const std::string& address);
  std::uint64_t duty_token(const std::string& duty) const;
  void report_duty_failure(const std::string& duty);

  const RequestValidator& request_validator() const { return request_validator_; }
  ByteBudget& budget() { return budget_; }
  const Engine& engine() const { return engine_; }

 private:
  // A submitted request. It is in the table until its completion is posted.
  struct Pending final : Caller {
    void answered(Reply&& reply) override { owner->answered(*this, std::move(reply)); }
    // True if the request was cancelled on another thread and the loop has not processed that yet.
    bool left() const override { return !owner->is_pending(ticket); }
    Impl* owner = nullptr;  // outlives this object, as it owns the engine that holds this object
    Ticket ticket = 0;
    Call call;                         // moved to the engine on submission
    std::uint64_t engine_request = 0;  // the engine's number of the request; loop's thread only
    Completion done;                   // used only by whoever removes the request from the table
  };

  // Adds a request to the table. Returns null and posts a refusal if the gateway is stopping or full.
  std::shared_ptr<Pending> register_request(Completion& done, Ticket& ticket);
  // Posts the request to the loop, where it is submitted to the engine.
  Ticket submit_to_engine(const std::shared_ptr<Pending>& pending);
  void answered(Pending& pending, Reply&& reply);
  // Removes a request from the table. Returns false if it is no longer there.
  bool remove_pending(Ticket ticket, std::shared_ptr<Pending>* out = nullptr);
  bool is_pending(Ticket ticket) const;
  // Removes a request from the table and posts its completion. Returns false if it is no longer there.
  bool finish(Ticket ticket, Response&& response);
  // Posts a completion, which logs what `done` throws.
  void complete(Completion done, Response&& response);
  // Posts to the application's executor, or else to the loop.
  void post_task(UniqueFunction<void()> task);
  template <class F>
  void on_loop(F f);
  // A refusal with the engine's current retry advice.
  Response refusal(Errc code, const char* text) const;
  // Shuts down if no request is open.
  void end_if_drained();
  void shut_down();
  // Keeps held_duties_ up to date for other threads.
  void track_duties();
  void log(const LogEvent& event) const noexcept;

  const Options options_;
  const std::shared_ptr<const GatewayLoggers> loggers_;
  const ValidatedOptions validated_;
  std::unique_ptr<boost::asio::io_context> own_loop_;
  boost::asio::io_context& loop_;
  std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> work_guard_;
  std::thread thread_;
  const RequestValidator request_validator_;
  ByteBudget budget_;
  Poller poller_;
  std::optional<Discovery> discovery_;
  Upstream upstream_;
  Engine engine_;
  std::optional<peers::Service> peers_;
  std::optional<duties::ClientService> duties_;
  boost::asio::steady_timer drain_timer_;
  bool is_shut_down_ = false, draining_ = false;  // loop's thread only
  UniqueFunction<void()> on_stopped_;             // loop's thread only
  const std::uint64_t request_id_seed_;
  std::atomic<std::uint64_t> server_list_sequence_{0};

  mutable std::mutex mutex_;  // guards the members below
  std::unordered_map<Ticket, std::shared_ptr<Pending>> pending_;
  Ticket last_ticket_ = 0;
  bool stopping_ = false;
  struct HeldDuty {
    std::uint64_t token = 0;
    double until = 0;  // s on now()'s clock
  };
  std::unordered_map<std::string, HeldDuty>
      held_duties_;  // by duty name, as last reported on the loop's thread
};

}  // namespace nettlestand
