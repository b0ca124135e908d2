#include "util/poller.h"

#include <cerrno>

namespace nettlestand {

using boost::system::error_code;

Poller::Poller(boost::asio::io_context& io) : epoll_(io) {
  const int descriptor = ::epoll_create1(EPOLL_CLOEXEC);
  if (descriptor < 0)
    throw boost::system::system_error(errno, boost::system::system_category(), "epoll_create1");
  epoll_.assign(descriptor);
  await_events();
}

void Poller::shut_down() {
  *alive_ = false;
  error_code ignored;
  epoll_.close(ignored);
  slots_.clear();
  free_slots_.clear();
}

Poller::Key Poller::add(int descriptor, Watcher& watcher) {
  if (free_slots_.empty()) {
    free_slots_.push_back(static_cast<std::uint32_t>(slots_.size()));
    slots_.emplace_back();
  }
  const std::uint32_t slot = free_slots_.back();
  const Key key = (static_cast<Key>(slots_[slot].generation) << 32) | slot;
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = key;
  if (::epoll_ctl(epoll_.native_handle(), EPOLL_CTL_ADD, descriptor, &event) != 0) return 0;
  free_slots_.pop_back();
  slots_[slot].watcher = &watcher;
  return key;
}

void Poller::remove(Key key, int descriptor) {
  const auto slot = static_cast<std::uint32_t>(key);
  if (key == 0 || slot >= slots_.size() || slots_[slot].generation != key >> 32) return;
  epoll_event ignored{};
  ::epoll_ctl(epoll_.native_handle(), EPOLL_CTL_DEL, descriptor, &ignored);
  slots_[slot].watcher = nullptr;
  if (++slots_[slot].generation == 0) slots_[slot].generation = 1;  // 0 is reserved: no valid key is 0
  free_slots_.push_back(slot);
}

void Poller::await_events() {
  epoll_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                    [this, alive = alive_](const error_code& error) {
                      if (error || !*alive) return;
                      dispatch();
                      if (*alive) await_events();
                    });
}

// A watcher may be removed, and its slot reused, while a batch of events is dispatched. The generation in the
// key tells the remaining events of the removed watcher apart; they are dropped.
void Poller::dispatch() {
  const auto alive = alive_;
  const int count = ::epoll_wait(epoll_.native_handle(), events_.data(), static_cast<int>(events_.size()), 0);
  for (int i = 0; i < count && *alive; ++i) {
    const Key key = events_[static_cast<std::size_t>(i)].data.u64;
    const Slot& slot = slots_[static_cast<std::uint32_t>(key)];
    if (slot.generation == key >> 32 && slot.watcher != nullptr) {
      slot.watcher->ready(events_[static_cast<std::size_t>(i)].events);
    }
  }
}

}  // namespace nettlestand
