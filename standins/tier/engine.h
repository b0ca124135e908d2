// Test doubles for the surroundings of the serving tier: the platform's list of servers, and model servers
// (engines) that answer with event streams and fail on command. They serve on the thread of an IoThread.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "node/http_server.h"

namespace nettlestand::tier::standins {

// An Asio event loop on a thread of its own.
class IoThread {
 public:
  IoThread();
  ~IoThread();
  boost::asio::io_context& io() { return io_; }
  // Runs a function on the loop and waits until it has returned.
  void run(const std::function<void()>& function);

 private:
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{io_.get_executor()};
  std::thread thread_;
};

// How an engine answers the next requests.
enum class EngineMode {
  kStream,          // sends all events
  kCutInEvent,      // aborts the connection within the second event, once; then kStream
  kFull,            // 503 with X-Not-Executed
  kFullAtTimes,     // half of the requests as kFull, the others as kStream
  kError,           // 500
  kUnprocessable,   // 422
  kRefuseAfterRun,  // runs the request, then 503 without X-Not-Executed
  kLoseAnswer       // runs the request, then aborts the connection without an answer
};

// A request as an engine received it.
struct ReceivedRequest {
  std::string id, target, tenant, body, last_event_id, api_key;
  Millis received_at = 0;
};

// A model server that answers with an event stream.
class Engine {
 public:
  static constexpr int kDefaultEvents = 4;
  // `id` is its instance id; requests for other instances are rejected with 421.
  Engine(IoThread& loop, std::string id, std::string address, int events = kDefaultEvents);
  void set_mode(EngineMode mode) { mode_ = mode; }
  void set_instance(std::string id);
  std::string instance() const;
  // Pause between events, for tests that act in the middle of a stream.
  void set_pause_ms(int pause) { pause_ms_ = pause; }
  // Bytes by which the data of each event is longer than it has to be.
  void set_event_padding(std::size_t bytes) { event_padding_ = bytes; }
  // Whether each complete answer is sent a second time, some milliseconds after the first.
  void set_answers_twice(bool twice) { answers_twice_ = twice; }
  std::vector<ReceivedRequest> received() const;
  std::size_t runs() const { return received().size(); }
  // The complete answer body of an engine with the default number of events.
  static std::string whole_stream();
  const std::string& address() const { return address_; }

 private:
  boost::asio::awaitable<void> handle(std::shared_ptr<HttpExchange> exchange);
  boost::asio::awaitable<void> respond(std::shared_ptr<HttpExchange> exchange, int status, HeaderList headers,
                                       std::string body);
  boost::asio::awaitable<void> stream(std::shared_ptr<HttpExchange> exchange, HeaderList headers);
  // False if the events stopped before the last one.
  boost::asio::awaitable<bool> send_events(std::shared_ptr<HttpExchange> exchange, HeaderList headers);
  boost::asio::awaitable<void> wait_before_second_answer();
  void record(const HttpRequest& request);

  IoThread& loop_;
  std::string address_;
  int events_;
  std::mt19937 random_{1};  // used on the loop only
  std::atomic<EngineMode> mode_{EngineMode::kStream};
  std::atomic<int> pause_ms_{0};
  std::atomic<std::size_t> event_padding_{0};
  std::atomic<bool> answers_twice_{false};
  mutable std::mutex mutex_;
  std::string id_;
  std::vector<ReceivedRequest> received_;
  std::unique_ptr<HttpServer> server_;
};

// The platform's server list.
class Platform {
 public:
  struct Entry {
    std::string id, service, address, zone, state = "ready";
  };
  Platform(IoThread& loop, std::string address);
  void set_servers(std::vector<Entry> servers);
  // How often the list was read.
  std::size_t calls() const { return calls_; }
  const std::string& address() const { return address_; }

 private:
  boost::asio::awaitable<void> handle(std::shared_ptr<HttpExchange> exchange);
  std::string address_;
  mutable std::mutex mutex_;
  std::vector<Entry> servers_;
  std::atomic<std::size_t> calls_{0};
  std::unique_ptr<HttpServer> server_;
};

}  // namespace nettlestand::tier::standins
