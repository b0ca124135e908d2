#include "standins/world/lateness.h"

#include <sys/resource.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace nettlestand::standins {
namespace {

constexpr double kBeat = 0.02;  // s

// The time in which some process waited, of a line such as "some avg10=0.00 ... total=3180563".
double total_of(const char* path) {
  std::ifstream in(path);
  std::string line;
  std::getline(in, line);
  const std::size_t at = line.find("total=");
  return at == std::string::npos ? 0 : std::stod(line.substr(at + 6)) * 1e-6;
}

}  // namespace

LoopBeat::LoopBeat(Loop& loop) : loop_(loop) {
  loop_.call([this] { await_beat(loop_, state_); });
}

LoopBeat::~LoopBeat() {
  loop_.call([this] {
    state_->over = true;
    loop_.cancel(state_->timer);
  });
}

void LoopBeat::await_beat(Loop& loop, const std::shared_ptr<State>& state) {
  const double due = now() + kBeat;
  state->timer = loop.at(due, [&loop, state, due] {
    if (state->over) return;
    const double late = now() - due;
    if (late > state->most_late) state->most_late = late;
    await_beat(loop, state);
  });
}

MachineWaits MachineWaits::now() {
  MachineWaits out;
  out.cpu = total_of("/proc/pressure/cpu");
  out.io = total_of("/proc/pressure/io");
  out.memory = total_of("/proc/pressure/memory");
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) == 0) out.major_faults = static_cast<double>(usage.ru_majflt);
  return out;
}

MachineWaits MachineWaits::since(const MachineWaits& before) const {
  return {cpu - before.cpu, io - before.io, memory - before.memory, major_faults - before.major_faults};
}

std::string MachineWaits::text() const {
  char out[160];
  std::snprintf(
      out, sizeof out,
      "some process waited %.2f s for a core, %.2f s for a disk, %.2f s for memory; %.0f pages read", cpu, io,
      memory, major_faults);
  return out;
}

}  // namespace nettlestand::standins
