// Test doubles for what the serving tier meets: the platform's list of servers, and model servers that answer
// with event streams and fail on command. Each serves on a thread of its own.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "node/http_server.h"

namespace nettlestand::tier::standins {

// Runs an event loop on a thread.
class IoThread {
 public:
  IoThread();
  ~IoThread();
  boost::asio::io_context& io() { return io_; }
  // Runs a function on the loop and waits for it.
  void run(const std::function<void()>& function);

 private:
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{io_.get_executor()};
  std::thread thread_;
};

// What an engine does with the requests that come next.
enum class EngineMode {
  kStream,        // all events
  kCutInEvent,    // breaks the connection within the second event, once; then kStream
  kFull,          // 503 with X-Not-Executed
  kError,         // 500
  kUnprocessable  // 422
};

struct ReceivedRequest {
  std::string id, target, tenant, body, last_event_id, api_key;
};

class Engine {
 public:
  static constexpr int kDefaultEvents = 4;
  // `id` is its instance; it turns requests for other instances away with 421.
  Engine(IoThread& loop, std::string id, std::string address, int events = kDefaultEvents);
  void set_mode(EngineMode mode) { mode_ = mode; }
  void set_instance(std::string id);
  // Time between events; the stream of a test that wants to act in its middle.
  void set_pause_ms(int pause) { pause_ms_ = pause; }
  std::vector<ReceivedRequest> received() const;
  std::size_t runs() const { return received().size(); }
  // The body of a whole answer of an engine with the usual number of events.
  static std::string whole_stream();
  const std::string& address() const { return address_; }

 private:
  boost::asio::awaitable<void> handle(std::shared_ptr<HttpExchange> exchange);

  IoThread& loop_;
  std::string address_;
  int events_;
  std::atomic<EngineMode> mode_{EngineMode::kStream};
  std::atomic<int> pause_ms_{0};
  mutable std::mutex mutex_;
  std::string id_;
  std::vector<ReceivedRequest> received_;
  std::unique_ptr<HttpServer> server_;
};

// The platform's list.
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
