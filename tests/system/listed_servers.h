// Lists servers for a ServerPool, as the platform does.
#pragma once

#include <string>
#include <vector>

#include "forwarding/server_pool.h"

namespace nettlestand::tier {

// The servers "i-0", "i-1" and so on of the service "s", one per address.
inline std::vector<ListedServer> listed_servers(const std::vector<std::string>& addresses,
                                                std::uint32_t slots) {
  std::vector<ListedServer> out;
  for (const std::string& address : addresses) {
    ListedServer server{};
    server.id = "i-" + std::to_string(out.size());
    server.service = "s";
    server.address = address;
    server.slots = slots;
    out.push_back(server);
  }
  return out;
}

// Adds a server of another service to a list.
inline void add_listed_server(std::vector<ListedServer>& servers, const std::string& service,
                              const std::string& address, std::uint32_t slots) {
  ListedServer server{};
  server.id = "i-" + service + "-" + address;
  server.service = service;
  server.address = address;
  server.slots = slots;
  servers.push_back(server);
}

// Makes these the servers of the only node.
inline void list_servers(ServerPool& pool, const std::vector<std::string>& addresses,
                         std::uint32_t slots = 8) {
  pool.set_servers(listed_servers(addresses, slots));
  pool.set_position({0, 1}, {0, 1});
}

}  // namespace nettlestand::tier
