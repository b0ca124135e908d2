// The part of an edge node that serves clients, on an event loop of its own: with servers on real sockets, a
// scripted leader, and a store that keeps the jobs it is sent.
#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/digest.h"
#include "listed_servers.h"
#include "node/client_request_handler.h"
#include "recording_messenger.h"
#include "scripted_leader.h"
#include "scripted_server.h"

namespace nettlestand::tier {

// Records the response to a request.
class RecordingExchange : public HttpExchange {
 public:
  boost::asio::awaitable<void> respond(int code, HeaderList all, std::string text) override {
    status = code;
    headers = std::move(all);
    body = std::move(text);
    ended = true;
    co_return;
  }
  boost::asio::awaitable<bool> start(int code, const HeaderList& all, bool, std::uint64_t) override {
    status = code;
    headers = all;
    co_return true;
  }
  boost::asio::awaitable<bool> write(std::string_view bytes) override {
    body.append(bytes);
    co_return true;
  }
  boost::asio::awaitable<void> finish() override {
    ended = true;
    co_return;
  }
  void abort() override { ended = aborted = true; }
  bool has_signature() const {
    for (const auto& [name, value] : headers) {
      if (name == "X-Response-Signature") return true;
    }
    return false;
  }

  int status = 0;
  HeaderList headers;
  std::string body;
  bool ended = false;
  bool aborted = false;  // the connection was closed, so that the response is incomplete
};

class EdgeNode {
 public:
  explicit EdgeNode(const std::vector<const ScriptedServer*>& servers)
      : view_(NodeInfo{}, {}, 1),
        config_texts_(1e9),
        control_client_(messenger_, view_, config_texts_, {}),
        forwarder_(std::make_unique<UpstreamConnectionPool>(io_), 1),
        batch_(io_, messenger_, control_client_, 1),
        handler_(io_, control_client_, forwarder_, batch_, 1) {
    std::vector<std::string> addresses;
    for (const ScriptedServer* server : servers) addresses.push_back(server->address());
    list_servers(forwarder_.pool(), addresses);
    leader_.add_store(kStore, "10.0.0.8:7000");
    leader_.place_all({kStore});
  }

  void configure(std::uint64_t sequence, const std::string& text) { leader_.configure(sequence, text); }
  // As configure(), from another thread while a request is in progress; returns once it is in force.
  void configure_from_other_thread(std::uint64_t sequence, const std::string& text) {
    std::promise<void> done;
    boost::asio::post(io_, [&] {
      configure(sequence, text);
      done.set_value();
    });
    done.get_future().wait();
  }
  // Sends a client's request to host "h" and returns its response.
  std::shared_ptr<RecordingExchange> send(const std::string& method, const std::string& target,
                                          const HeaderList& more, const std::string& body) {
    auto exchange = std::make_shared<RecordingExchange>();
    HttpRequest& request = exchange->request;
    request.method = method;
    request.target = target;
    request.body = body;
    request.body_digest = digest_of(body);
    request.received_at = steady_now();
    request.headers = {{"Host", "h"}, {"X-Deadline-Ms", "3000"}};
    request.headers.insert(request.headers.end(), more.begin(), more.end());
    boost::asio::co_spawn(
        io_, [this, exchange]() -> boost::asio::awaitable<void> { co_await handler_.handle(exchange); },
        boost::asio::detached);
    io_.restart();
    while (!exchange->ended && io_.run_one_for(std::chrono::milliseconds(kTestTimeoutMs)) > 0) answer_calls();
    REQUIRE(exchange->ended);
    return exchange;
  }
  // The jobs that were accepted, each with the tenant that it belongs to.
  const std::set<std::pair<std::string, std::string>>& jobs() const { return jobs_; }

 private:
  static constexpr StoreId kStore = 8;

  // Answers as a store that has accepted each job it was sent.
  void answer_calls() {
    for (const auto& [to, call] : messenger_.take<JobCall>(MessageType::kJobCall)) {
      constexpr std::uint32_t kOk = 200, kAccepted = 202, kNotFound = 404;
      const std::pair<std::string, std::string> job(call.tenant, call.job);
      JobReply reply{};
      reply.call = call.call;
      reply.status = jobs_.contains(job) ? kOk : kNotFound;
      if (call.kind == JobCallKind::kSubmit) {
        jobs_.insert(job);
        reply.status = kAccepted;
      }
      batch_.on_reply(std::move(reply));
    }
  }

  boost::asio::io_context io_;
  RecordingMessenger messenger_;
  PartialView view_;
  ConfigTextProvider config_texts_;
  ControlClient control_client_;
  ScriptedLeader leader_{control_client_};
  Forwarder forwarder_;
  BatchRequestHandler batch_;
  ClientRequestHandler handler_;
  std::set<std::pair<std::string, std::string>> jobs_;
};

}  // namespace nettlestand::tier
