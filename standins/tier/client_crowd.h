// A test double of clients that keep to no limit: many connections, each of which sends raw bytes and reads
// nothing unless told to.
#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <string>
#include <vector>

#include "base/time.h"

namespace nettlestand::tier::standins {

// The connections are opened in the constructor and closed in the destructor.
class ClientCrowd {
 public:
  // Called between writes; sending ends once it returns false.
  using MayContinue = std::function<bool()>;

  // Opens `connections` to an address "ip:port". One that is refused counts as closed.
  ClientCrowd(const std::string& address, std::size_t connections);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  // On each connection, sends `opening` once and then `piece` again and again, until `bytes` have been sent
  // in all or the node has closed the connection. Ends early once no connection has taken a byte for
  // `stalled_ms`. All connections send side by side.
  void send(const std::string& opening, const std::string& piece, std::size_t bytes, Millis stalled_ms,
            const MayContinue& may_continue);
  // Sends the same bytes once on each connection.
  void send(const std::string& bytes, Millis stalled_ms, const MayContinue& may_continue) {
    send(bytes, {}, bytes.size(), stalled_ms, may_continue);
  }
  // Reads until each connection has received a whole head of a response or has been closed, `wanted` heads
  // have been received in all, or `limit_ms` have passed. Bodies are left unread.
  void read_heads(Millis limit_ms, const MayContinue& may_continue,
                  std::size_t wanted = std::numeric_limits<std::size_t>::max());
  // The status of each response head that has been read.
  const std::vector<int>& statuses() const { return statuses_; }
  // Connections that the node has neither refused nor closed, as far as has been noticed.
  std::size_t open_connections() const;

 private:
  struct Connection {
    int descriptor = -1;
    std::size_t sent = 0;
    std::string received;
    bool has_head = false;
  };
  void close(Connection& connection);
  // Sends what the connection takes now. Whether it took any.
  bool send_some(Connection& connection, const std::string& opening, const std::string& piece,
                 std::size_t bytes);
  bool receive_some(Connection& connection);
  // Waits until one of the connections that are `wanted` is ready for `events`, or for a short time.
  void wait_for(short events, const std::function<bool(const Connection&)>& wanted) const;

  std::vector<Connection> connections_;
  std::vector<int> statuses_;
};

}  // namespace nettlestand::tier::standins
