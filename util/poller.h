// Readiness of many descriptors on one Asio loop, edge-triggered: each is registered once, and no wait is
// armed again (Asio makes an epoll_ctl of each). One thread, the loop's.
#pragma once

#include <sys/epoll.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstdint>
#include <memory>
#include <vector>

namespace nettlestand {

class Poller {
 public:
  class Watcher {
   public:
    // EPOLLIN and the like: what has become so since the last time. What is left unread or unwritten is not
    // told of again. Must not throw; may add and remove watchers, itself too.
    virtual void ready(std::uint32_t events) = 0;

   protected:
    ~Watcher() = default;
  };
  using Key = std::uint64_t;  // 0: none

  // Throws boost::system::system_error.
  explicit Poller(boost::asio::io_context& io);
  ~Poller() { shut_down(); }
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  // Watches a descriptor for reading, writing and its end, until remove(), which comes before it is closed. 0
  // where the system has no room for it.
  Key add(int descriptor, Watcher& watcher);
  void remove(Key key, int descriptor);

  // The end: nobody is told of anything from here on, and the loop is left alone.
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
