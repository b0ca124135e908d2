#include "standins/world/host_load.h"

#include <sys/resource.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace nettlestand::standins {
namespace {

constexpr double kSampleIntervalSeconds = 0.02;

// Total stall time of a line such as "some avg10=0.00 ... total=3180563", in s.
double stalled_seconds(const char* path) {
  std::ifstream in(path);
  std::string line;
  std::getline(in, line);
  const std::size_t at = line.find("total=");
  return at == std::string::npos ? 0 : std::stod(line.substr(at + 6)) * 1e-6;
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
