// Edge-triggered epoll on an Asio event loop. Each descriptor is registered once, which saves the epoll_ctl
// call that Asio makes for each wait. Not thread-safe: used on the event loop's thread only.
#pragma once

#include <sys/epoll.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstdint>
#include <memory>
#include <vector>

namespace nettlestand {

// Reports the readiness of many descriptors to their watchers.
class Poller {
 public:
  // Receives the events of one descriptor.
  class Watcher {
   public:
    // `events` holds the flags (EPOLLIN and others) that became set since the last call. Events are
    // edge-triggered: data left unread, or buffer space left unused, is not reported again. Must not throw;
    // may add and remove watchers, including itself.
    virtual void ready(std::uint32_t events) = 0;

   protected:
    ~Watcher() = default;
  };
  using Key = std::uint64_t;  // 0: not registered

  // Throws boost::system::system_error if epoll is not available.
  explicit Poller(boost::asio::io_context& io);
  ~Poller() { shut_down(); }
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  // Watches a descriptor for reading, writing and hangup. It must be removed before it is closed. Returns 0
  // if epoll refuses the descriptor.
  Key add(int descriptor, Watcher& watcher);
  void remove(Key key, int descriptor);

  // Stops all dispatching and closes the epoll descriptor; no watcher is called any more.
  void shut_down();

 private:
  struct Slot {
    Watcher* watcher = nullptr;
    std::uint32_t generation = 1;
  };

  void await_events();
  void dispatch();

  boost::asio::posix::stream_descriptor epoll_;
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_slots_;
  std::array<epoll_event, 128> events_{};
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace nettlestand
