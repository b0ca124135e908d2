// The operator of a soak: changes the configuration all day, and sends each change until it is clear whether
// it was taken.
#pragma once

#include <atomic>
#include <cstdint>
#include <random>
#include <string>

#include "soak/ledger.h"
#include "standins/tier/tier_world.h"

namespace nettlestand::tier::soak {

class Operator {
 public:
  Operator(const standins::TierWorld& world, Ledger& ledger, const std::atomic<bool>& stopping,
           std::uint64_t seed)
      : world_(world), ledger_(ledger), stopping_(stopping), random_(seed) {}

  // Sends the first configuration; false where it was not taken in time.
  bool begin();
  // Changes it until the soak stops.
  void run();
  // One more change and a read, once all is calm.
  void finish();
  std::size_t changes() const { return changes_; }

 private:
  bool change(Millis patience, bool until_stopped);
  std::string configuration() const;
  std::size_t any_edge() { return random_() % world_.edges(); }

  const standins::TierWorld& world_;
  Ledger& ledger_;
  const std::atomic<bool>& stopping_;
  std::mt19937_64 random_;
  std::uint64_t version_ = 0;
  bool has_passing_key_ = true;
  std::size_t changes_ = 0;
};

}  // namespace nettlestand::tier::soak
