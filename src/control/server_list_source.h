// Interface to the platform's list of servers, which the leader of a service shard reads.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "messaging/messages.h"

namespace nettlestand::tier {

// Reads the list until it is destroyed.
class ServerListSource {
 public:
  // Called with each complete list.
  using Callback = std::function<void(Millis now, std::vector<ListedServer>)>;
  virtual ~ServerListSource() = default;
};

// Creates a source that reads the list every `interval` ms.
using ServerListSourceFactory =
    std::function<std::unique_ptr<ServerListSource>(Millis interval, ServerListSource::Callback)>;

}  // namespace nettlestand::tier
