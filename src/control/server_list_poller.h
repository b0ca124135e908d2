// Polls the cloud platform's API for the list of servers, page by page, at a fixed interval.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "control/server_list_source.h"

namespace nettlestand::tier {

// Polls over HTTP, with exponential backoff after failures.
class ServerListPoller : public ServerListSource {
 public:
  // Calls `callback` with each complete list until destroyed. `interval_ms` is the time from the start of one
  // poll to the start of the next.
  ServerListPoller(boost::asio::io_context& io, std::string platform_address, Millis interval_ms,
                   Callback callback);
  ~ServerListPoller() override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// Parses one page of the list and appends its servers. Returns false if the page is invalid. `next_token` is
// empty after the last page.
bool parse_server_list_page(std::string_view json, std::vector<ListedServer>& servers,
                            std::string& next_token);

}  // namespace nettlestand::tier
