// The watch on discovery: one at a time, asked for again when it has failed.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>

#include "node/config.h"

namespace nettlestand {

class Discovery {
 public:
  struct Listeners {
    std::function<void(const ServerList&)> list;
    std::function<void()> failed;
  };

  Discovery(boost::asio::io_context& io, const Config& config, Listeners listeners);
  ~Discovery();

  // Starts a watch unless one is under way. Where the module asks for watches it also chooses when to ask
  // again; elsewhere that happens here.
  void watch();

 private:
  class Watch;

  void came(ServerList&& list);
  void failed(const Watch* which, const std::string& why);

  boost::asio::io_context& io_;
  const Config& config_;
  Listeners listeners_;
  std::optional<std::uint64_t> seq_;  // of what is known; without it the whole list is asked for
  std::shared_ptr<Watch> current_;
  bool well_ = true;
  double backoff_ = 0;
  std::minstd_rand random_;
  boost::asio::steady_timer again_;
};

}  // namespace nettlestand
