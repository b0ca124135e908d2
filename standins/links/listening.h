// Whether something listens at an address, and whether its accept queue is full: asked of the kernel
// (sock_diag, as ss does), so that the listener notices nothing of it.
#pragma once

#include "standins/common/loop.h"

namespace nettlestand::standins {

enum class Listening { kNobody, kYes, kFull };

// Not for two threads at once.
class ListenProbe {
 public:
  ListenProbe();
  // kYes where the kernel does not tell.
  Listening look(const Address& at);

 private:
  Fd netlink_;
};

}  // namespace nettlestand::standins
