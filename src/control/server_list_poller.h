// Reads the platform's list of servers, page by page, at a steady pace.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "control/server_list_source.h"

namespace nettlestand::tier {

class ServerListPoller : public ServerListSource {
 public:
  // Calls `done` with each whole list until stopped. `interval_ms` lies between the starts of two readings.
  ServerListPoller(boost::asio::io_context& io, std::string platform_address, Millis interval_ms,
                   Callback callback);
  ~ServerListPoller() override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// One page; false where it is none. `next` is empty after the last.
bool parse_server_list_page(std::string_view json, std::vector<ListedServer>& servers,
                            std::string& next_token);

}  // namespace nettlestand::tier
