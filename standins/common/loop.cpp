#include "standins/common/loop.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <cstring>
#include <exception>
#include <future>
#include <stdexcept>

namespace nettlestand::standins {
namespace {

constexpr double kKernelClockSlackSeconds = 0.02;  // several ticks of the kernel clock

sockaddr_in to_sockaddr(const Address& address) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(address.port));
  if (inet_pton(AF_INET, address.ip.c_str(), &at.sin_addr) != 1 || (ntohl(at.sin_addr.s_addr) >> 24) != 127) {
    throw std::runtime_error(address.ip + " is not a loopback address");
  }
  return at;
}

[[noreturn]] void fail(const std::string& what) {
  throw std::runtime_error(what + ": " + std::strerror(errno));
}

}  // namespace

double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

Fd& Fd::operator=(Fd&& other) noexcept {
  close();
  fd_ = std::exchange(other.fd_, -1);
  return *this;
}

void Fd::close() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

Fd listen_on(int port, int backlog, bool shared) {
  return listen_on(Address{"127.0.0.1", port}, backlog, shared);
}

Fd listen_on(const Address& where, int backlog, bool shared) {
  Fd out(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (!out) fail("can't create a socket");
  const int on = 1;
  setsockopt(out.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (shared) setsockopt(out.get(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  const sockaddr_in at = to_sockaddr(where);
  if (bind(out.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
      (backlog >= 0 && listen(out.get(), backlog) != 0)) {
    fail("can't listen on " + where.text());
  }
  return out;
}

int port_of(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

Fd bind_udp(const Address& where) {
  Fd out(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (!out) fail("can't create a socket");
  const sockaddr_in at = to_sockaddr(where);
  if (bind(out.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    fail("can't bind " + where.text());
  }
  return out;
}

Address address_of(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &at.sin_addr, text.data(), text.size());
  return {text.data(), ntohs(at.sin_port)};
}

Fd connect_to(int port) { return connect_to(Address{"127.0.0.1", port}); }

Fd connect_to(const Address& to, const std::string& from_ip) {
  Fd out(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (!out) return out;
  const int on = 1;
  setsockopt(out.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (!from_ip.empty()) {
    setsockopt(out.get(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
    const sockaddr_in from = to_sockaddr({from_ip, 0});
    if (bind(out.get(), reinterpret_cast<const sockaddr*>(&from), sizeof from) != 0)
      fail("can't bind " + from_ip);
  }
  const sockaddr_in at = to_sockaddr(to);
  if (connect(out.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 && errno != EINPROGRESS) {
    out.close();
  }
  return out;
}

double last_data_received_at(int fd) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return now();
  // The kernel counts in clock ticks, so a recent arrival is taken as now.
  const double ago = info.tcpi_last_data_recv / 1000.0;
  return ago < kKernelClockSlackSeconds ? now() : now() - ago;
}

void set_reset_on_close(int fd) {
  const linger at_once{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

Loop::Loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)), wake_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (!epoll_ || !wake_) fail("can't create an event loop");
  add(wake_.get(), EPOLLIN, nullptr);
}

Loop::~Loop() = default;

bool Loop::on_loop() const { return !running_ || thread_ == std::this_thread::get_id(); }

void Loop::run() {
  {
    const std::lock_guard lock(mutex_);
    thread_ = std::this_thread::get_id();
    running_ = true;
  }
  std::array<epoll_event, 256> events{};
  while (true) {
    run_posted();
    run_timers();
    {
      const std::lock_guard lock(mutex_);
      if (stopping_ && posted_.empty()) break;
    }
    timespec wait{};
    if (!timers_.empty()) {
      const double left = std::max(0.0, timers_.begin()->first.first - now());
      wait.tv_sec = static_cast<time_t>(std::min(left, 1e6));
      wait.tv_nsec = static_cast<long>((left - std::floor(left)) * 1e9);
    }
    const int count = epoll_pwait2(epoll_.get(), events.data(), static_cast<int>(events.size()),
                                   timers_.empty() ? nullptr : &wait, nullptr);
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<std::size_t>(i)];
      if (event.data.ptr == nullptr) {
        std::uint64_t ignored = 0;
        if (read(wake_.get(), &ignored, sizeof ignored) < 0) continue;
      } else {
        static_cast<Watcher*>(event.data.ptr)->ready(event.events);
      }
    }
    const std::vector<std::unique_ptr<Watcher>> over = std::exchange(destroy_later_, {});
  }
  const std::lock_guard lock(mutex_);
  running_ = stopping_ = false;
}

void Loop::stop() {
  post([this] {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  });
}

void Loop::post(Function f) {
  {
    const std::lock_guard lock(mutex_);
    posted_.push_back(std::move(f));
    if (posted_.size() > 1) return;  // the loop has been woken already
  }
  const std::uint64_t one = 1;
  if (write(wake_.get(), &one, sizeof one) < 0) fail("can't wake the loop");
}

void Loop::call(const Function& f) {
  {
    std::unique_lock lock(mutex_);
    if (on_loop()) {
      lock.unlock();
      return f();
    }
  }
  std::mutex mutex;
  std::condition_variable changed;
  bool done = false;
  std::exception_ptr thrown;
  post([&] {
    try {
      f();
    } catch (...) {
      thrown = std::current_exception();
    }
    const std::lock_guard lock(mutex);
    done = true;
    changed.notify_one();
  });
  std::unique_lock lock(mutex);
  changed.wait(lock, [&] { return done; });
  if (thrown) std::rethrow_exception(thrown);
}

void Loop::run_posted() {
  std::vector<Function> all;
  {
    const std::lock_guard lock(mutex_);
    all.swap(posted_);
  }
  for (const Function& f : all) f();
}

void Loop::run_timers() {
  // Runs only the timers that are due now, not those that they set: a timer that is always due must not
  // starve the descriptors.
  const double until = now();
  std::vector<Timer> due;
  for (const auto& [timer, f] : timers_) {
    if (timer.first > until) break;
    due.push_back(timer);
  }
  for (const Timer& timer : due) {
    const auto it = timers_.find(timer);
    if (it == timers_.end()) continue;  // cancelled by an earlier timer
    const Function f = std::move(it->second);
    timers_.erase(it);
    f();
  }
}

void Loop::add(int fd, std::uint32_t events, Watcher* watcher) {
  epoll_event event{};
  event.events = events;
  event.data.ptr = watcher;
  if (epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) != 0) fail("can't register a descriptor with epoll");
}

void Loop::modify(int fd, std::uint32_t events, Watcher* watcher) {
  epoll_event event{};
  event.events = events;
  event.data.ptr = watcher;
  if (epoll_ctl(epoll_.get(), EPOLL_CTL_MOD, fd, &event) != 0) fail("can't register a descriptor with epoll");
}

void Loop::remove(int fd) { epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr); }

void Loop::destroy_later(std::unique_ptr<Watcher> watcher) { destroy_later_.push_back(std::move(watcher)); }

Loop::Timer Loop::at(double when, Function f) {
  const Timer out{when, ++last_timer_};
  timers_.emplace(out, std::move(f));
  return out;
}

void Loop::cancel(Timer& timer) {
  timers_.erase(timer);
  timer = {0, 0};
}

// Returns once the loop runs: before that, call() would run functions on the caller's thread.
LoopThread::LoopThread() : thread_([this] { loop_.run(); }) {
  std::promise<void> up;
  loop_.post([&] { up.set_value(); });
  up.get_future().wait();
}

}  // namespace nettlestand::standins
