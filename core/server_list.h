// Lists of servers, as the core and its transports take them.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <vector>

#include "quinceusher/balancer.h"

namespace nettlestand {

struct ListedServer {
  quinceusher::Server info;  // its address is the name that is the same at every node
  boost::asio::ip::tcp::endpoint endpoint;
};

struct ServerList {
  std::uint64_t seq = 0;
  bool is_full = false;
  std::vector<ListedServer> servers;
};

}  // namespace nettlestand
