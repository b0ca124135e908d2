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
const char* name_of(Fault fault);

struct Outcome {
  std::string broken;  // empty: all promises were kept
  std::size_t orders = 0, results = 0;
  Millis longest_order = 0;
  std::array<std::size_t, static_cast<std::size_t>(Fault::kCount)> struck{};
  std::vector<std::pair<Fault, Fault>> overlaps;
  std::vector<std::string> log;  // the faults, with their times
};

Outcome play(std::uint64_t seed, Planted planted = Planted::kNone);

}  // namespace nettlestand::tier::simulate
