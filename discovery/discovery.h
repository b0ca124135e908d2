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
  bool auto_retry = true;            // after a failure, by itself; else whoever watches asks
  std::size_t max_servers = 8192;    // bounds what it holds of a line
};

// Everything on the thread of the one event loop.
class Discovery {
 public:
  struct Callbacks {
    // Throws for a list that can't be taken over.
    std::function<void(const ServerList&)> on_list;
    std::function<void()> on_failure;
  };

  Discovery(boost::asio::io_context& io, DiscoveryOptions options, Callbacks callbacks, Log log);
  ~Discovery();

  // Starts a watch unless one is under way. Where the module asks for watches it also chooses when to ask
  // again; elsewhere that happens here.
  void watch();

  // The end: nobody is told of anything from here on.
  void shut_down();

  // Discovery is at another address from now on. Until that has spoken, what the old watch says still counts.
  void set_address(const boost::asio::ip::tcp::endpoint& address);

 private:
  class Watch;

  void on_list_received(Watch* which, ServerList&& list);
  void on_watch_failed(const Watch* which, const std::string& reason);
  void open_next_watch();
  void retry_after_backoff(std::function<void()> action);

  boost::asio::io_context& io_;
  const DiscoveryOptions options_;
  Callbacks callbacks_;
  const Log log_;
  boost::asio::ip::tcp::endpoint address_;
  std::optional<std::uint64_t>
      last_seq_;  // of what this address told; without it the whole list is asked for
  std::shared_ptr<Watch> current_, next_;  // next: at an address that has not spoken yet
  bool address_pending_ = false;           // the address has not spoken yet
  bool is_healthy_ = true, is_shut_down_ = false;
  double backoff_seconds_ = 0;
  std::minstd_rand random_;
  boost::asio::steady_timer retry_timer_;
};

}  // namespace nettlestand
