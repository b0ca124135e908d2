// One simulated scenario, determined by its seed: a tier under overlapping faults, then a period without
// faults, then checks that it has recovered.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "simulate/cluster.h"

namespace nettlestand::tier::simulate {

// Faults that a scenario injects.
enum class Fault : std::uint8_t {
  kKill,
  kLosePower,
  kWipe,
  kFreeze,
  kCutOff,
  kCutOneWay,
  kCutHalves,
  kCutFromCore,
  kKillCore,
  kPowerCore,
  kPowerAll,
  kPowerAllAndWipe,
  kLeaderKilled,
  kLeaderPower,
  kLeaderWiped,
  kLeaderCut,
  kReplace,
  kReplaceOldest,
  kRetire,
  kRetireAndWipe,
  kAddStore,
  kAddCore,
  kDiskStall,
  kDiskSlow,
  kDiskFull,
  kDiskRot,
  kLossy,
  kManyChanges,
  kRace,
  kStoresInTurn,  // first only one store is reachable, then all but that one
  kLate,          // messages are delivered after newer ones
  kCount
};
// Name of a fault as printed in logs and in the coverage.
const char* fault_name(Fault fault);

// `overlapping_faults`: pairs of faults that were injected within a short time of each other.
struct ScenarioResult {
  std::string violation;  // empty if no guarantee was violated
  std::size_t acknowledged_changes = 0, results_read = 0;
  Millis longest_change_ms = 0;
  std::array<std::size_t, static_cast<std::size_t>(Fault::kCount)> fault_counts{};
  std::vector<std::pair<Fault, Fault>> overlapping_faults;
  std::vector<std::string> fault_log;  // the injected faults with their times
};

// Runs a scenario. `injected_fault` is a bug that the checks are expected to find.
ScenarioResult run_scenario(std::uint64_t seed, InjectedFault injected_fault = InjectedFault::kNone);

}  // namespace nettlestand::tier::simulate
