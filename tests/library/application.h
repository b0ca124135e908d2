// Helpers for an application that embeds a gateway: options, requests, a collector of responses, and an
// executor that runs its tasks only on request.
#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "nettlestand/asio.h"
#include "nettlestand/gateway.h"
#include "tests/tcp_peer.h"

namespace nettlestand::testing {

inline ServerOptions server(const std::string& name, int port) {
  ServerOptions out;
  out.name = name;
  out.address = "127.0.0.1:" + std::to_string(port);
  return out;
}

inline ClassOptions request_class(const std::string& name, Effect effect, int deadline_ms = 5000) {
  ClassOptions out;
  out.name = name;
  out.effect = effect;
  out.aim = std::chrono::milliseconds(deadline_ms < 2000 ? deadline_ms : 2000);
  out.deadline = std::chrono::milliseconds(deadline_ms);
  if (effect == Effect::kKeyed) out.dedup_window = std::chrono::seconds(4);
  return out;
}

// Options with three classes and the servers at `ports`. The tier is above 0, so that each request is
// forwarded.
inline Options options(const std::vector<int>& ports, int deadline_ms = 5000) {
  Options out;
  out.classes = {request_class("look", Effect::kSafe, deadline_ms),
                 request_class("mark", Effect::kKeyed, deadline_ms),
                 request_class("close", Effect::kUnsafe, deadline_ms)};
  out.tier = 1;
  for (std::size_t i = 0; i < ports.size(); ++i)
    out.servers.push_back(server("s" + std::to_string(i), ports[i]));
  return out;
}

inline Request request(const std::string& request_class, const std::string& body = "question") {
  Request out;
  out.request_class = request_class;
  if (request_class != "look") out.body = body;
  if (request_class == "mark") out.idempotency_key = "k1";
  return out;
}

// Collects the responses of completions in order of arrival. Thread-safe.
class ResponseCollector {
 public:
  // Returns a completion that records its response under `name`.
  Completion completion(int name = 0) {
    return [this, name](Response response) {
      const std::lock_guard lock(mutex_);
      ++counts_[name];
      all_.emplace_back(name, std::move(response));
      changed_.notify_all();
    };
  }
  // Waits for `count` responses and returns all. Throws after a timeout.
  std::vector<std::pair<int, Response>> wait(std::size_t count) {
    std::unique_lock lock(mutex_);
    if (!changed_.wait_for(lock, std::chrono::milliseconds(kTimeoutMs),
                           [&] { return all_.size() >= count; })) {
      throw std::runtime_error("only " + std::to_string(all_.size()) + " of " + std::to_string(count) +
                               " responses arrived");
    }
    return all_;
  }
  Response wait_one() { return wait(1).front().second; }
  std::size_t count() {
    const std::lock_guard lock(mutex_);
    return all_.size();
  }
  // The number of responses by name.
  std::map<int, int> counts() {
    const std::lock_guard lock(mutex_);
    return counts_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::pair<int, Response>> all_;
  std::map<int, int> counts_;
};

// An executor that runs its tasks only in run().
class ManualExecutor final : public Executor {
 public:
  void post(UniqueFunction<void()> task) override {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
  }
  std::size_t pending_tasks() {
    const std::lock_guard lock(mutex_);
    return tasks_.size();
  }
  void run() {
    while (true) {
      UniqueFunction<void()> next;
      {
        const std::lock_guard lock(mutex_);
        if (tasks_.empty()) return;
        next = std::move(tasks_.front());
        tasks_.pop_front();
      }
      next();
    }
  }

 private:
  std::mutex mutex_;
  std::deque<UniqueFunction<void()>> tasks_;
};

// Opens a gateway. Throws if the options are invalid.
inline std::unique_ptr<Gateway> open(Options options) {
  Error error;
  auto out = Gateway::open(std::move(options), error);
  if (!out) throw std::runtime_error(error.text);
  return out;
}
inline std::unique_ptr<Gateway> open_on(boost::asio::io_context& loop, Options options) {
  Error error;
  auto out = nettlestand::open_on(loop, std::move(options), error);
  if (!out) throw std::runtime_error(error.text);
  return out;
}

inline bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}
inline std::string ok(const std::string& body = "answer") {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace nettlestand::testing
