#include "standins/tier/client_crowd.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <string_view>

#include "messaging/tcp_messenger.h"

namespace nettlestand::tier::standins {
namespace {

constexpr int kPollIntervalMs = 10;
constexpr std::size_t kStatusOffset = sizeof("HTTP/1.1 ") - 1;

int open_connection(const boost::asio::ip::tcp::endpoint& endpoint) {
  const int descriptor = ::socket(endpoint.protocol().family(), SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return -1;
  if (::connect(descriptor, endpoint.data(), static_cast<socklen_t>(endpoint.size())) != 0) {
    ::close(descriptor);
    return -1;
  }
  ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
  return descriptor;
}

// What of the opening and the repeated pieces follows after the first `sent` bytes.
std::string_view rest_of(const std::string& opening, const std::string& piece, std::size_t sent) {
  if (sent < opening.size()) return std::string_view(opening).substr(sent);
  if (piece.empty()) return {};
  return std::string_view(piece).substr((sent - opening.size()) % piece.size());
}

}  // namespace

ClientCrowd::ClientCrowd(const std::string& address, std::size_t connections) : connections_(connections) {
  const auto endpoint = parse_endpoint(address);
  for (Connection& connection : connections_) connection.descriptor = open_connection(endpoint);
}

ClientCrowd::~ClientCrowd() {
  for (Connection& connection : connections_) close(connection);
}

void ClientCrowd::close(Connection& connection) {
  if (connection.descriptor >= 0) ::close(connection.descriptor);
  connection.descriptor = -1;
}

bool ClientCrowd::send_some(Connection& connection, const std::string& opening, const std::string& piece,
                            std::size_t bytes) {
  const std::string_view rest = rest_of(opening, piece, connection.sent).substr(0, bytes - connection.sent);
  const ssize_t sent = ::send(connection.descriptor, rest.data(), rest.size(), MSG_NOSIGNAL);
  if (sent > 0) connection.sent += static_cast<std::size_t>(sent);
  if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) close(connection);
  return sent > 0;
}

void ClientCrowd::send(const std::string& opening, const std::string& piece, std::size_t bytes,
                       Millis stalled_ms, const MayContinue& may_continue) {
  for (Connection& connection : connections_) connection.sent = 0;
  Millis last_progress = steady_now();
  const auto unfinished = [bytes](const Connection& connection) {
    return connection.descriptor >= 0 && connection.sent < bytes;
  };
  while (may_continue() && std::any_of(connections_.begin(), connections_.end(), unfinished)) {
    bool any = false;
    for (Connection& connection : connections_) {
      if (unfinished(connection) && send_some(connection, opening, piece, bytes)) any = true;
    }
    if (any) last_progress = steady_now();
    if (steady_now() >= last_progress + stalled_ms) return;
    if (!any) wait_for(POLLOUT, unfinished);
  }
}

bool ClientCrowd::receive_some(Connection& connection) {
  std::array<char, 512> bytes;
  const ssize_t got = ::recv(connection.descriptor, bytes.data(), bytes.size(), 0);
  if (got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)) {
    close(connection);
    return false;
  }
  if (got < 0) return false;
  connection.received.append(bytes.data(), static_cast<std::size_t>(got));
  if (connection.received.find("\r\n\r\n") == std::string::npos) return true;
  connection.has_head = true;
  int status = 0;
  const char* begin = connection.received.data() + std::min(kStatusOffset, connection.received.size());
  std::from_chars(begin, connection.received.data() + connection.received.size(), status);
  statuses_.push_back(status);
  return true;
}

void ClientCrowd::read_heads(Millis limit_ms, const MayContinue& may_continue, std::size_t wanted) {
  const Millis until = steady_now() + limit_ms;
  const auto waiting = [](const Connection& connection) {
    return connection.descriptor >= 0 && !connection.has_head;
  };
  while (steady_now() < until && may_continue() && statuses_.size() < wanted &&
         std::any_of(connections_.begin(), connections_.end(), waiting)) {
    bool any = false;
    for (Connection& connection : connections_) {
      if (waiting(connection) && receive_some(connection)) any = true;
    }
    if (!any) wait_for(POLLIN, waiting);
  }
}

std::size_t ClientCrowd::open_connections() const {
  return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                [](const Connection& c) { return c.descriptor >= 0; }));
}

void ClientCrowd::wait_for(short events, const std::function<bool(const Connection&)>& wanted) const {
  std::vector<pollfd> descriptors;
  for (const Connection& connection : connections_) {
    if (wanted(connection)) descriptors.push_back({connection.descriptor, events, 0});
  }
  ::poll(descriptors.data(), descriptors.size(), kPollIntervalMs);
}

}  // namespace nettlestand::tier::standins
