// A reader of the platform's list of servers, as the owner of a service shard starts it.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "messaging/messages.h"

namespace nettlestand::tier {

// Reads the list for as long as it lives.
class ServerListing {
 public:
  // Is handed each whole list.
  using Done = std::function<void(Millis now, std::vector<ListedServer>)>;
  virtual ~ServerListing() = default;
};

// Starts to read; `interval` lies between the starts of two readings.
using ListingFactory = std::function<std::unique_ptr<ServerListing>(Millis interval, ServerListing::Done)>;

}  // namespace nettlestand::tier
