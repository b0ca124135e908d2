// A reader of the platform's list of servers, as the owner of a service shard starts it.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "messaging/messages.h"

namespace nettlestand::tier {

// Reads the list for as long as it lives.
class ServerListSource {
 public:
  // Is handed each whole list.
  using Callback = std::function<void(Millis now, std::vector<ListedServer>)>;
  virtual ~ServerListSource() = default;
};

// Starts to read; `interval` lies between the starts of two readings.
using ServerListSourceFactory =
    std::function<std::unique_ptr<ServerListSource>(Millis interval, ServerListSource::Callback)>;

}  // namespace nettlestand::tier
