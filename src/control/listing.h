// Reads the platform's list of servers, page by page, at a steady pace.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "control/server_listing.h"

namespace nettlestand::tier {

class ListingReader : public ServerListing {
 public:
  // Calls `done` with each whole list until stopped. `interval_ms` lies between the starts of two readings.
  ListingReader(boost::asio::io_context& io, std::string platform_address, Millis interval_ms, Done done);
  ~ListingReader() override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// One page; false where it is none. `next` is empty after the last.
bool parse_listing_page(std::string_view json, std::vector<ListedServer>& servers, std::string& next);

}  // namespace nettlestand::tier
