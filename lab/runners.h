// Runs one variant with one seed, in the emulator or on real processes.
#pragma once

#include <stdexcept>
#include <string>

#include "emulator/fleet.h"
#include "lab/experiment.h"
#include "lab/result.h"

namespace nettlestand::lab {

// A setup that the emulator or the process runner does not support, with the reason.
struct UnsupportedSetup : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Translates a setup for the emulator. Throws UnsupportedSetup.
fleet::Spec emulator_spec(const Setup& setup, std::uint64_t seed);
Run run_emulated(const Setup& setup, std::uint64_t seed);

// `node` is the path of the node's binary. A void run (the machine was too busy) is repeated, with three runs
// at most. Throws UnsupportedSetup.
Run run_on_processes(const Setup& setup, std::uint64_t seed, const std::string& node);

// Throw UnsupportedSetup before the first run, so that a long experiment does not fail halfway.
void check_emulator_support(const Setup& setup);
void check_process_support(const Setup& setup);

}  // namespace nettlestand::lab
