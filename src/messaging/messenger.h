// Sends messages to other nodes. The program's is `TcpMessenger`; simulations have their own.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace nettlestand::tier {

// What the group's leases and elections rest on goes before all else that waits for the same peer.
enum class Lane : std::uint8_t { kControl, kBulk };

// Delivery is best effort, and in order for each lane while a connection lasts: whoever sends repeats what
// matters.
class Messenger {
 public:
  virtual ~Messenger() = default;
  virtual void send(const std::string& address, std::string_view message, Lane lane) = 0;
  void send(const std::string& address, std::string_view message) { send(address, message, Lane::kBulk); }
  // Where other nodes reach this one, "ip:port".
  virtual const std::string& own_address() const = 0;
};

}  // namespace nettlestand::tier
