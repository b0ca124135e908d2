// One simulated world from a seed: a tier under faults that overlap, then calm, then what has to hold by
// then.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "simulate/cluster.h"

namespace nettlestand::tier::simulate {

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
  kStoresInTurn,  // one store alone for a while, then all but that one
  kLate,          // messages that come behind newer ones
  kCount
};
const char* fault_name(Fault fault);

struct ScenarioResult {
  std::string violation;  // empty: all promises were kept
  std::size_t acknowledged_changes = 0, results_read = 0;
  Millis longest_change_ms = 0;
  std::array<std::size_t, static_cast<std::size_t>(Fault::kCount)> fault_counts{};
  std::vector<std::pair<Fault, Fault>> overlapping_faults;
  std::vector<std::string> fault_log;  // the faults, with their times
};

ScenarioResult run_scenario(std::uint64_t seed, InjectedFault injected_fault = InjectedFault::kNone);

}  // namespace nettlestand::tier::simulate
