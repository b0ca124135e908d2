// Connections to servers over HTTP/1.1: kept between calls, one call at a time on each.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/body_integrity.h"
#include "base/time.h"

namespace nettlestand::tier {

struct ResponseHead {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;  // without those that concern one connection
  bool is_event_stream = false;
  bool has_length = false;
  std::uint64_t length = 0;
  bool not_executed = false;                                // the server says that it has not run the request
  int load_running = -1, load_waiting = 0, load_slots = 0;  // running below 0: not told
};

// A request as it is written to a server.
struct OutgoingRequest {
  std::string bytes;  // head and body
  std::string id;     // that the answer has to name
  bool head_only = false;
  std::size_t body_size = 0;      // of the last bytes
  std::uint64_t body_digest = 0;  // that these have to have
};

// One connection to a server, and the call that is under way on it.
class UpstreamConnection {
 public:
  enum class Read { kOk, kEnd, kBroken, kTimedOut };

  virtual ~UpstreamConnection() = default;
  // Sends a request; false where that failed, or where its body is not the one that it should be. `sent`: any
  // of it may have reached the server.
  virtual boost::asio::awaitable<bool> send(OutgoingRequest request, Millis deadline, bool& sent) = 0;
  // The head of the answer. Answers to earlier requests, told by their id, are passed over.
  virtual boost::asio::awaitable<Read> read_head(ResponseHead& head, Millis deadline) = 0;
  // More of the body; kEnd once it was whole.
  virtual boost::asio::awaitable<Read> read_some(std::string& bytes, Millis deadline) = 0;
  // Breaks the connection, and with it whatever waits on it.
  virtual void cancel() = 0;
  // Whether the answer was whole and the connection may carry another call.
  virtual bool is_reusable() const = 0;
};

using UpstreamConnectionPtr = std::shared_ptr<UpstreamConnection>;

// Where connections to servers come from: the program's are sockets, simulations have their own.
class Upstream {
 public:
  virtual ~Upstream() = default;
  // A kept connection that looks alive, or a new one (always a new one where `force_new`); null where none
  // came about in time.
  virtual boost::asio::awaitable<UpstreamConnectionPtr> open(std::string address, Millis deadline,
                                                             bool force_new) = 0;
  // Keeps a connection whose call is over for the next one, or closes it.
  virtual void release(const std::string& address, UpstreamConnectionPtr connection) = 0;
  virtual void close_idle(Millis now) = 0;
};

class UpstreamConnectionPool : public Upstream {
 public:
  explicit UpstreamConnectionPool(boost::asio::io_context& io);
  ~UpstreamConnectionPool() override;
  boost::asio::awaitable<UpstreamConnectionPtr> open(std::string address, Millis deadline,
                                                     bool force_new) override;
  void release(const std::string& address, UpstreamConnectionPtr connection) override;
  void close_idle(Millis now) override;
  // Bodies that were not the client's when they were to be sent, or had been.
  const BodyIntegrityCounters& body_check() const { return *body_check_; }

 private:
  class Connection;
  boost::asio::io_context& io_;
  std::shared_ptr<BodyIntegrityCounters> body_check_ =
      std::make_shared<BodyIntegrityCounters>();  // shared with the connections
  std::unordered_map<std::string, std::deque<std::shared_ptr<Connection>>> idle_;
};

}  // namespace nettlestand::tier
