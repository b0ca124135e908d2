#include "standins/world/host_load.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <string>
#include <utility>

namespace nettlestand::standins {
namespace {

constexpr double kSampleIntervalSeconds = 0.02;
constexpr auto kWriteInterval = std::chrono::milliseconds(50);

// Total stall time of a line such as "some avg10=0.00 ... total=3180563", in s.
double stalled_seconds(const char* path) {
  std::ifstream in(path);
  std::string line;
  std::getline(in, line);
  const std::size_t at = line.find("total=");
  return at == std::string::npos ? 0 : std::stod(line.substr(at + 6)) * 1e-6;
}

// Each write makes the file longer, so that the file system's journal is written as well.
std::function<void()> durable_write_in(const std::string& folder) {
  const std::string path = folder + "/disk_delay";
  const auto file =
      std::make_shared<Fd>(::open(path.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600));
  if (file->get() < 0) throw std::runtime_error("cannot create " + path);
  return [file] {
    const char byte = 0;
    if (::write(file->get(), &byte, 1) == 1) ::fsync(file->get());
  };
}

}  // namespace

LoopDelayMonitor::LoopDelayMonitor(Loop& loop) : loop_(loop) {
  loop_.call([this] { schedule_sample(loop_, state_); });
}

LoopDelayMonitor::~LoopDelayMonitor() {
  loop_.call([this] {
    state_->stopped = true;
    loop_.cancel(state_->timer);
  });
}

void LoopDelayMonitor::schedule_sample(Loop& loop, const std::shared_ptr<State>& state) {
  const double due = now() + kSampleIntervalSeconds;
  state->timer = loop.at(due, [&loop, state, due] {
    if (state->stopped) return;
    const double late = now() - due;
    if (late > state->max_delay) state->max_delay = late;
    schedule_sample(loop, state);
  });
}

DiskDelayMonitor::DiskDelayMonitor(const std::string& folder) : DiskDelayMonitor(durable_write_in(folder)) {}

DiskDelayMonitor::DiskDelayMonitor(std::function<void()> write)
    : write_(std::move(write)), thread_([this] { run(); }) {}

DiskDelayMonitor::~DiskDelayMonitor() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

double DiskDelayMonitor::max_delay() const {
  const std::lock_guard lock(mutex_);
  return started_at_ == 0 ? max_delay_ : std::max(max_delay_, now() - started_at_);
}

void DiskDelayMonitor::run() {
  std::unique_lock lock(mutex_);
  while (!stopped_) {
    started_at_ = now();
    lock.unlock();
    write_();
    lock.lock();
    max_delay_ = std::max(max_delay_, now() - started_at_);
    started_at_ = 0;
    changed_.wait_for(lock, kWriteInterval, [this] { return stopped_; });
  }
}

HostStalls HostStalls::now() {
  HostStalls out;
  out.cpu = stalled_seconds("/proc/pressure/cpu");
  out.io = stalled_seconds("/proc/pressure/io");
  out.memory = stalled_seconds("/proc/pressure/memory");
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) == 0) out.major_faults = static_cast<double>(usage.ru_majflt);
  return out;
}

HostStalls HostStalls::since(const HostStalls& before) const {
  return {cpu - before.cpu, io - before.io, memory - before.memory, major_faults - before.major_faults};
}

std::string HostStalls::text() const {
  char out[160];
  std::snprintf(
      out, sizeof out,
      "some process waited %.2f s for a core, %.2f s for a disk, %.2f s for memory; %.0f pages read", cpu, io,
      memory, major_faults);
  return out;
}

}  // namespace nettlestand::standins
