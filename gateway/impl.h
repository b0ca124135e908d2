// A gateway's inside: the core and its HTTP transport on one loop, and the table of what completions are
// owed.
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

struct GatewayLoggers {
  std::function<void(std::string_view)> on_line;
  std::function<void(const LogEvent&)> on_event;
};

struct HttpCall::Impl {
  Call call;
};

// The table is for any thread, under its lock, and says who is owed an answer: whoever takes a request out of
// it posts its completion. All else lives on the loop's thread.
class Gateway::Impl : public std::enable_shared_from_this<Impl> {
 public:
  // Without a loop it has one, and a thread, of its own.
  Impl(Options options, ValidatedOptions validated, boost::asio::io_context* loop);

  void start();
  // Posts what is owed as shut down, and the rest of the end to the loop.
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
  // One submitted request. In the table until its completion is posted.
  struct Pending final : Caller {
    void answered(Reply&& reply) override { owner->answered(*this, std::move(reply)); }
    // Cancelled on another thread, and the loop has not come to that yet.
    bool left() const override { return !owner->is_pending(ticket); }
    Impl* owner = nullptr;  // outlives it: the engine, which holds it, is the owner's
    Ticket ticket = 0;
    Call call;                 // until the engine has it
    std::uint64_t number = 0;  // the engine's; loop's thread only
    Completion done;           // whoever takes it out of the table may touch it
  };

  // Puts it into the table, or posts why not. 0: not.
  std::shared_ptr<Pending> register_request(Completion& done, Ticket& ticket);
  Ticket submit_to_engine(const std::shared_ptr<Pending>& pending);
  void answered(Pending& pending, Reply&& reply);
  // Takes it out of the table; false where somebody else has.
  bool remove_pending(Ticket ticket, std::shared_ptr<Pending>* out = nullptr);
  bool is_pending(Ticket ticket) const;
  bool finish(Ticket ticket, Response&& response);
  void complete(Completion done, Response&& response);
  void post_task(UniqueFunction<void()> task);
  template <class F>
  void on_loop(F f);
  Response refusal(Errc code, const char* text) const;
  void end_if_drained();
  void shut_down();
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

  mutable std::mutex mutex_;  // guards what follows
  std::unordered_map<Ticket, std::shared_ptr<Pending>> pending_;
  Ticket last_ticket_ = 0;
  bool stopping_ = false;
  struct HeldDuty {
    std::uint64_t token = 0;
    double until = 0;  // s on now()'s clock
  };
  std::unordered_map<std::string, HeldDuty> held_duties_;  // duties, as the loop last knew
};

}  // namespace nettlestand
