// An event loop on epoll: descriptors, timers, and functions posted from other threads. All the stand-ins run
// on such loops, many of them on one.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace nettlestand::standins {

// The steady clock in seconds: the time of all records, and the one that the node speaks.
double now();

// Owns a descriptor.
class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept;
  ~Fd() { close(); }
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void close();

 private:
  int fd_;
};

// An address on this machine's loopback, 127.0.0.0/8.
struct Address {
  std::string ip = "127.0.0.1";
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
  auto operator<=>(const Address&) const = default;
};

// As below, at any loopback address.
Fd listen_on(const Address& at, int backlog = 4096, bool shared = false);
// From an address of this machine, where one is named: the far side sees it.
Fd connect_to(const Address& to, const std::string& from_ip = "");
// A bound, non-blocking UDP socket. Throws std::runtime_error.
Fd bind_udp(const Address& at);
Address address_of(int fd);

// A non-blocking listener on 127.0.0.1. Port 0: the kernel gives one. `shared`: several may listen on the
// same port (SO_REUSEPORT). A backlog below 0 takes the port and does not listen: connections to it are
// refused, and nobody else is given it. Throws std::runtime_error.
Fd listen_on(int port, int backlog = 4096, bool shared = false);
int port_of(int fd);
// A connection under way to 127.0.0.1, or an empty Fd where it failed at once.
Fd connect_to(int port);
// When the last data on a connection came to this machine (to some ms): earlier than it is read where a loop
// is late, or does not read at all.
double last_data_received_at(int fd);
// Ends a connection with RST instead of FIN.
void set_reset_on_close(int fd);

// What a loop tells about a descriptor. Everything runs on the loop's thread.
class Watcher {
 public:
  virtual ~Watcher() = default;
  virtual void ready(std::uint32_t events) = 0;  // EPOLLIN and the like
};

// One thread runs it; post() and call() and stop() are for any thread, the rest for that one, or for any
// thread while the loop does not run.
class Loop {
 public:
  using Function = std::function<void()>;
  using Timer = std::pair<double, std::uint64_t>;  // {0, 0}: none

  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // Runs until stop().
  void run();
  void stop();
  void post(Function f);
  // Runs `f` on the loop and returns once it is done. At once where the loop does not run or this is its
  // thread. What `f` throws comes out here.
  void call(const Function& f);

  void add(int fd, std::uint32_t events, Watcher* watcher);
  void modify(int fd, std::uint32_t events, Watcher* watcher);
  void remove(int fd);
  // Destroys `watcher` after the events at hand, of which some may still be for it.
  void destroy_later(std::unique_ptr<Watcher> watcher);

  Timer at(double when, Function f);  // on now()'s clock
  Timer after(double seconds, Function f) { return at(now() + seconds, std::move(f)); }
  void cancel(Timer& timer);  // and sets it to none; one that has fired is no mistake

 private:
  void run_timers();
  void run_posted();
  bool on_loop() const;

  Fd epoll_, wake_;
  std::map<Timer, Function> timers_;
  std::uint64_t last_timer_ = 0;
  std::vector<std::unique_ptr<Watcher>> destroy_later_;
  mutable std::mutex mutex_;
  std::vector<Function> posted_;
  std::thread::id thread_;
  bool running_ = false, stopping_ = false;
};

// A loop with a thread of its own; ends both.
class LoopThread {
 public:
  LoopThread();
  ~LoopThread() {
    loop_.stop();
    thread_.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;
  Loop& loop() { return loop_; }

 private:
  Loop loop_;
  std::thread thread_;
};

}  // namespace nettlestand::standins
