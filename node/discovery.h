// The watch on discovery: one at a time, asked for again when it has failed. While discovery moves to another
// address, a second one at the new address takes over as soon as it has spoken.
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

  // Discovery is at another address from now on. Until that has spoken, what the old watch says still counts.
  void move(const boost::asio::ip::tcp::endpoint& address);

 private:
  class Watch;

  void came(Watch* which, ServerList&& list);
  void failed(const Watch* which, const std::string& why);
  void reach();
  void retry(std::function<void()> what);

  boost::asio::io_context& io_;
  const Config& config_;
  Listeners listeners_;
  boost::asio::ip::tcp::endpoint address_;
  std::optional<std::uint64_t> seq_;  // of what this address told; without it the whole list is asked for
  std::shared_ptr<Watch> current_, next_;  // next: at an address that has not spoken yet
  bool moving_ = false;                    // the address has not spoken yet
  bool well_ = true;
  double backoff_ = 0;
  std::minstd_rand random_;
  boost::asio::steady_timer again_;
};

}  // namespace nettlestand
