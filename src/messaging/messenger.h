// Sends messages to other nodes. The program's is `Network`; simulations have their own.
#pragma once

#include <string>
#include <string_view>

namespace nettlestand::tier {

// Delivery is best effort and in order while a connection lasts: whoever sends repeats what matters.
class Messenger {
 public:
  virtual ~Messenger() = default;
  virtual void send(const std::string& address, std::string_view message) = 0;
  // Where other nodes reach this one, "ip:port".
  virtual const std::string& own_address() const = 0;
};

}  // namespace nettlestand::tier
