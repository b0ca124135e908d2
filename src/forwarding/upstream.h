// HTTP/1.1 connections to servers: reused between calls, with one call at a time on each.
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
#include "forwarding/call_counters.h"

namespace nettlestand::tier {

// Status line and headers of a server's response.
struct ResponseHead {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;  // without hop-by-hop headers
  bool is_event_stream = false;
  bool has_length = false;
  std::uint64_t length = 0;
  bool not_executed = false;  // X-Not-Executed: the server did not run the request
  int load_running = -1, load_waiting = 0, load_slots = 0;  // X-Server-Load; running is -1 if absent
};

// A serialized request, with what is needed to verify it and to recognise its response.
struct OutgoingRequest {
  std::string bytes;              // head and body
  std::string id;                 // the response has to carry the same X-Request-Id
  bool head_only = false;         // HEAD: the response has no body
  std::size_t body_size = 0;      // the body is the last `body_size` bytes
  std::uint64_t body_digest = 0;  // digest that the body has to match
};

// One connection to a server, and the call in progress on it.
class UpstreamConnection {
 public:
  // How a read ended. A body without a length and without chunks ends with its connection, as a body does
  // that the server has cut: after kClosed, whether the body is whole is for the caller to decide.
  enum class Read {
    kOk,
    kComplete,  // no more bytes: by its length or its last chunk, the body is whole
    kClosed,    // no more bytes: the server has closed the connection of a body of unknown length
    kBroken,    // the connection failed, or what came is no response
    kTimedOut
  };

  virtual ~UpstreamConnection() = default;
  // Sends a request. False if sending failed or the body does not match its digest. Sets `sent` if any byte
  // may have reached the server.
  virtual boost::asio::awaitable<bool> send(OutgoingRequest request, Millis deadline, bool& sent) = 0;
  // Reads the head of the response. Responses that carry the id of another request are skipped.
  virtual boost::asio::awaitable<Read> read_head(ResponseHead& head, Millis deadline) = 0;
  // Reads more of the body. kComplete or kClosed after its last byte.
  virtual boost::asio::awaitable<Read> read_some(std::string& bytes, Millis deadline) = 0;
  // Closes the connection, so that pending operations on it fail.
  virtual void cancel() = 0;
  // Whether the response was complete and the connection can carry another call.
  virtual bool is_reusable() const = 0;
};

using UpstreamConnectionPtr = std::shared_ptr<UpstreamConnection>;

// Source of connections to servers. The program uses sockets; tests substitute their own.
class Upstream {
 public:
  virtual ~Upstream() = default;
  // Returns an idle connection that looks alive and has carried no request with this id, or a new one; always
  // a new one if `force_new`. Null if none could be established in time.
  //
  // A surplus response to an earlier request can't be told from the response to a later one with the same id,
  // so a connection carries each id once.
  virtual boost::asio::awaitable<UpstreamConnectionPtr> open(std::string address, std::string request_id,
                                                             Millis deadline, bool force_new) = 0;
  // Returns a connection whose call has ended: it is kept for the next call, or closed.
  virtual void release(const std::string& address, UpstreamConnectionPtr connection) = 0;
  // Closes the connections whose idle timeout has expired.
  virtual void close_idle(Millis now) = 0;
  CallCounters& call_counters() { return *call_counters_; }

 protected:
  std::shared_ptr<CallCounters> call_counters_ = std::make_shared<CallCounters>();  // shared with connections
};

// Pool of TCP connections, with the idle ones kept by server address.
class UpstreamConnectionPool : public Upstream {
 public:
  explicit UpstreamConnectionPool(boost::asio::io_context& io);
  ~UpstreamConnectionPool() override;
  boost::asio::awaitable<UpstreamConnectionPtr> open(std::string address, std::string request_id,
                                                     Millis deadline, bool force_new) override;
  void release(const std::string& address, UpstreamConnectionPtr connection) override;
  void close_idle(Millis now) override;
  // Counts request bodies that did not match their digest before or after they were sent.
  const BodyIntegrityCounters& body_check() const { return *body_check_; }

 private:
  class Connection;
  // Takes the idle connection that was used last and may carry the request; null if there is none.
  std::shared_ptr<Connection> take_idle(const std::string& address, const std::string& request_id);
  boost::asio::io_context& io_;
  std::shared_ptr<BodyIntegrityCounters> body_check_ =
      std::make_shared<BodyIntegrityCounters>();  // shared with the connections
  std::unordered_map<std::string, std::deque<std::shared_ptr<Connection>>> idle_;
};

}  // namespace nettlestand::tier
