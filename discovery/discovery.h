// The watch on discovery: one at a time, asked for again when it has failed. While discovery moves to another
// address, a second one at the new address takes over as soon as it has spoken.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/server_list.h"
#include "util/log.h"

namespace nettlestand {

struct DiscoveryOptions {
  boost::asio::ip::tcp::endpoint address;
  std::vector<std::string> zones;    // their names, in the order of the settings
  std::uint64_t seed = 0;            // for the jitter of what is asked again
  std::optional<std::uint64_t> seq;  // of the list that is known already
  bool ask_again = true;             // after a failure, by itself; else whoever watches asks
  std::size_t max_servers = 8192;    // bounds what it holds of a line
};

// Everything on the thread of the one event loop.
class Discovery {
 public:
  struct Listeners {
    // Throws for a list that can't be taken over.
    std::function<void(const ServerList&)> list;
    std::function<void()> failed;
  };

  Discovery(boost::asio::io_context& io, DiscoveryOptions options, Listeners listeners, Log log);
  ~Discovery();

  // Starts a watch unless one is under way. Where the module asks for watches it also chooses when to ask
  // again; elsewhere that happens here.
  void watch();

  // The end: nobody is told of anything from here on.
  void shut();

  // Discovery is at another address from now on. Until that has spoken, what the old watch says still counts.
  void move(const boost::asio::ip::tcp::endpoint& address);

 private:
  class Watch;

  void came(Watch* which, ServerList&& list);
  void failed(const Watch* which, const std::string& why);
  void reach();
  void retry(std::function<void()> what);

  boost::asio::io_context& io_;
  const DiscoveryOptions options_;
  Listeners listeners_;
  const Log log_;
  boost::asio::ip::tcp::endpoint address_;
  std::optional<std::uint64_t> seq_;  // of what this address told; without it the whole list is asked for
  std::shared_ptr<Watch> current_, next_;  // next: at an address that has not spoken yet
  bool moving_ = false;                    // the address has not spoken yet
  bool well_ = true, shut_ = false;
  double backoff_ = 0;
  std::minstd_rand random_;
  boost::asio::steady_timer again_;
};

}  // namespace nettlestand
