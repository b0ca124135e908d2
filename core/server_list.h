// Server lists, as the core and its transports take them.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <vector>

#include "quinceusher/balancer.h"

namespace nettlestand {

// A server and where to connect to it.
struct ListedServer {
  quinceusher::Server info;  // its address is a name that is the same at every node
  boost::asio::ip::tcp::endpoint endpoint;
};

// A numbered list: all servers, or the changes since the list before.
struct ServerList {
  std::uint64_t seq = 0;
  bool is_full = false;
  std::vector<ListedServer> servers;
};

}  // namespace nettlestand
