// The watch on the discovery service: one long-lived HTTP request that streams server lists, reopened after a
// failure. When the service's address changes, a second watch on the new address takes over as soon as it has
// delivered a list.
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

// Settings of the watch.
struct DiscoveryOptions {
  boost::asio::ip::tcp::endpoint address;
  std::vector<std::string> zones;    // zone names, in the order of the settings
  std::uint64_t seed = 0;            // of the backoff's jitter
  std::optional<std::uint64_t> seq;  // version of the list that is already known
  bool auto_retry = true;            // reopen a failed watch here; otherwise the owner calls watch()
  std::size_t max_servers = 8192;    // bounds the buffer for one list
};

// Client of the discovery service. Runs on the thread of the one event loop.
class Discovery {
 public:
  struct Callbacks {
    // Throws if the list can't be applied.
    std::function<void(const ServerList&)> on_list;
    std::function<void()> on_failure;
  };

  Discovery(boost::asio::io_context& io, DiscoveryOptions options, Callbacks callbacks, Log log);
  ~Discovery();

  // Opens a watch unless there is one. If the decision module requests watches, it also chooses when to
  // retry; otherwise retries happen here (auto_retry).
  void watch();

  // Closes the watches; no callback is called afterwards.
  void shut_down();

  // Switches to another address. The old watch stays in use until the new address has delivered a list.
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
  std::optional<std::uint64_t> last_seq_;  // from this address; without it the full list is requested
  std::shared_ptr<Watch> current_, next_;  // next_: on a new address without a list yet
  bool address_pending_ = false;           // no list from the current address yet
  bool is_healthy_ = true, is_shut_down_ = false;
  double backoff_seconds_ = 0;
  std::minstd_rand random_;
  boost::asio::steady_timer retry_timer_;
};

}  // namespace nettlestand
