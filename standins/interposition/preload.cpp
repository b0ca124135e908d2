// The preloaded library: replaces the C library's functions for the wall clock and for writing, and follows
// the shared settings. Does nothing without NETTLESTAND_SEAMS.
#include <dlfcn.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include <cerrno>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "standins/interposition/interposed_faults.h"

namespace {

using nettlestand::standins::InterposedFaultSettings;

InterposedFaultSettings* settings() {
  static InterposedFaultSettings* const shared = []() -> InterposedFaultSettings* {
    const char* path = std::getenv("NETTLESTAND_SEAMS");
    if (path == nullptr) return nullptr;
    const int fd = open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return nullptr;
    void* at = mmap(nullptr, sizeof(InterposedFaultSettings), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    return at == MAP_FAILED ? nullptr : static_cast<InterposedFaultSettings*>(at);
  }();
  return shared;
}

template <class F>
F next_symbol(const char* name) {
  return reinterpret_cast<F>(dlsym(RTLD_NEXT, name));
}

// Whether a descriptor refers to a file below the folder. Asks the kernel only if a disk fault is set.
bool is_affected(const InterposedFaultSettings* s, int fd) {
  if (s == nullptr || (s->disk_delay_us == 0 && s->disk_bytes_left < 0 && !s->torn_write)) return false;
  char link[64], path[1024];
  std::snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
  const ssize_t size = readlink(link, path, sizeof path - 1);
  if (size <= 0) return false;
  path[size] = 0;
  const size_t length = std::strlen(s->folder);
  return std::strncmp(path, s->folder, length) == 0 && path[length] == '/';
}

void delay_disk(const InterposedFaultSettings* s) {
  const std::int64_t us = s->disk_delay_us;
  if (us <= 0) return;
  const timespec time{us / 1000000, us % 1000000 * 1000};
  nanosleep(&time, nullptr);
}

// Writes with the configured faults: the number of bytes written, or below 0 with errno set.
template <class Write>
ssize_t write_with_faults(int fd, size_t size, Write&& real) {
  InterposedFaultSettings* s = settings();
  if (!is_affected(s, fd)) return real(size);
  delay_disk(s);
  if (s->torn_write && size > 1) {
    real(size / 2);
    kill(getpid(), SIGKILL);
  }
  std::int64_t left = s->disk_bytes_left;
  if (left < 0) return real(size);
  if (left == 0) {
    errno = ENOSPC;
    return -1;
  }
  const ssize_t done = real(static_cast<std::int64_t>(size) < left ? size : static_cast<size_t>(left));
  if (done > 0) s->disk_bytes_left = left - done;
  return done;
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* out) {
  static const auto real = next_symbol<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, out);
  const InterposedFaultSettings* s = settings();
  if (result != 0 || s == nullptr || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE))
    return result;
  const double offset = s->wall_clock_offset;
  const double whole = std::floor(offset);
  out->tv_sec += static_cast<time_t>(whole);
  out->tv_nsec += static_cast<long>((offset - whole) * 1e9);
  if (out->tv_nsec >= 1000000000) {
    out->tv_nsec -= 1000000000;
    ++out->tv_sec;
  }
  return result;
}

int gettimeofday(timeval* out, void*) {
  timespec time{};
  clock_gettime(CLOCK_REALTIME, &time);
  *out = {time.tv_sec, time.tv_nsec / 1000};
  return 0;
}

time_t time(time_t* out) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (out != nullptr) *out = now.tv_sec;
  return now.tv_sec;
}

ssize_t write(int fd, const void* from, size_t size) {
  static const auto real = next_symbol<ssize_t (*)(int, const void*, size_t)>("write");
  return write_with_faults(fd, size, [&](size_t n) { return real(fd, from, n); });
}

ssize_t pwrite(int fd, const void* from, size_t size, off_t at) {
  static const auto real = next_symbol<ssize_t (*)(int, const void*, size_t, off_t)>("pwrite");
  return write_with_faults(fd, size, [&](size_t n) { return real(fd, from, n, at); });
}

ssize_t pwrite64(int fd, const void* from, size_t size, off64_t at) {
  static const auto real = next_symbol<ssize_t (*)(int, const void*, size_t, off64_t)>("pwrite64");
  return write_with_faults(fd, size, [&](size_t n) { return real(fd, from, n, at); });
}

int fsync(int fd) {
  static const auto real = next_symbol<int (*)(int)>("fsync");
  if (const InterposedFaultSettings* s = settings(); is_affected(s, fd)) delay_disk(s);
  return real(fd);
}

int fdatasync(int fd) {
  static const auto real = next_symbol<int (*)(int)>("fdatasync");
  if (const InterposedFaultSettings* s = settings(); is_affected(s, fd)) delay_disk(s);
  return real(fd);
}

}  // extern "C"
