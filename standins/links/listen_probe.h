// Queries whether a socket listens at an address and whether its accept queue is full. It asks the kernel
// (sock_diag, as ss does), which the listener doesn't notice.
#pragma once

#include "standins/common/loop.h"

namespace nettlestand::standins {

// kQueueFull: a socket listens, but its accept queue is full.
enum class ListenState { kNotListening, kListening, kQueueFull };

// Not thread-safe.
class ListenProbe {
 public:
  ListenProbe();
  // Returns kListening if the kernel gives no information.
  ListenState query(const Address& at);

 private:
  Fd netlink_;
};

}  // namespace nettlestand::standins
