// An event loop on epoll for descriptors, timers and functions posted from other threads. All test doubles
// run on such loops, many on the same one.
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

// The steady clock in seconds: the time base of all records, and of the node.
double now();

// Owns a file descriptor.
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

// An address in 127.0.0.0/8.
struct Address {
  std::string ip = "127.0.0.1";
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
  auto operator<=>(const Address&) const = default;
};

// Like listen_on(int) below, at any loopback address.
Fd listen_on(const Address& at, int backlog = 4096, bool shared = false);
// Connects from `from_ip` if it is given, so that the other side sees that address.
Fd connect_to(const Address& to, const std::string& from_ip = "");
// A bound, non-blocking UDP socket. Throws std::runtime_error.
Fd bind_udp(const Address& at);
Address address_of(int fd);

// A non-blocking listener on 127.0.0.1. Port 0: chosen by the kernel. `shared`: several sockets may listen on
// the same port (SO_REUSEPORT). A negative backlog reserves the port without listening: connections to it are
// refused, and the kernel gives it to nobody else. Throws std::runtime_error.
Fd listen_on(int port, int backlog = 4096, bool shared = false);
int port_of(int fd);
// A connection in progress to 127.0.0.1, or an empty Fd if it failed at once.
Fd connect_to(int port);
// When the last data on a connection arrived at this machine, accurate to a few ms. This is earlier than the
// read if a loop is late or does not read at all.
double last_data_received_at(int fd);
// Makes close() send RST instead of FIN.
void set_reset_on_close(int fd);

// Receives the events of a descriptor, on the loop's thread.
class Watcher {
 public:
  virtual ~Watcher() = default;
  virtual void ready(std::uint32_t events) = 0;  // EPOLLIN etc.
};

// Run by one thread. post(), call() and stop() are thread-safe; the rest is for the loop's thread, or for any
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
  // Runs `f` on the loop and returns once it is done; runs it directly if the loop does not run or this is
  // its thread. Rethrows what `f` throws.
  void call(const Function& f);

  void add(int fd, std::uint32_t events, Watcher* watcher);
  void modify(int fd, std::uint32_t events, Watcher* watcher);
  void remove(int fd);
  // Destroys `watcher` after the current batch of events, some of which may still refer to it.
  void destroy_later(std::unique_ptr<Watcher> watcher);

  Timer at(double when, Function f);  // on the clock of now()
  Timer after(double seconds, Function f) { return at(now() + seconds, std::move(f)); }
  void cancel(Timer& timer);  // sets it to none; a timer that has fired is allowed

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

// A loop with a thread of its own; the destructor stops and joins it.
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
