// Whether something listens at an address, and whether its accept queue is full: asked of the kernel
// (sock_diag, as ss does), so that the listener notices nothing of it.
#pragma once

#include "standins/common/loop.h"

namespace nettlestand::standins {

enum class ListenState { kNotListening, kListening, kQueueFull };

// Not for two threads at once.
class ListenProbe {
 public:
  ListenProbe();
  // kListening where the kernel does not tell.
  ListenState query(const Address& at);

 private:
  Fd netlink_;
};

}  // namespace nettlestand::standins
