// Interface for sending messages to other nodes. Implemented by `TcpMessenger` in the node program and by
// test doubles in simulations.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace nettlestand::tier {

// Priority of a message. Queued control messages are sent before bulk messages to the same peer, because a
// group's leases and elections depend on them.
enum class Lane : std::uint8_t { kControl, kBulk };

// Delivery is best effort, and in order within a lane while a connection lasts. The sender retries messages
// that must arrive.
class Messenger {
 public:
  virtual ~Messenger() = default;
  virtual void send(const std::string& address, std::string_view message, Lane lane) = 0;
  void send(const std::string& address, std::string_view message) { send(address, message, Lane::kBulk); }
  // The address at which other nodes reach this one, as "ip:port".
  virtual const std::string& own_address() const = 0;
};

}  // namespace nettlestand::tier
