// Plays one variant with one seed, in the emulator or on processes.
#pragma once

#include <stdexcept>
#include <string>

#include "emulator/fleet.h"
#include "lab/experiment.h"
#include "lab/result.h"

namespace nettlestand::lab {

// What a side can't play, with the reason.
struct UnsupportedSetup : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The fleet that a setup describes. Throws CantPlay.
fleet::Spec emulator_spec(const Setup& setup, std::uint64_t seed);
Run run_emulated(const Setup& setup, std::uint64_t seed);

// `node`: the program's file. Plays a void run again, three times at most. Throws CantPlay.
Run run_on_processes(const Setup& setup, std::uint64_t seed, const std::string& node);

// For either, before the first run.
void check_emulator_support(const Setup& setup);
void check_process_support(const Setup& setup);

}  // namespace nettlestand::lab
