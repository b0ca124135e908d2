// The operator of a soak test. It changes the configuration throughout the test and retries each change until
// its outcome is known.
#pragma once

#include <atomic>
#include <cstdint>
#include <random>
#include <string>

#include "soak/oracle.h"
#include "standins/tier/tier_world.h"

namespace nettlestand::tier::soak {

// Runs on a thread of its own; `stopping` ends run().
class Operator {
 public:
  Operator(const standins::TierWorld& world, Oracle& oracle, const std::atomic<bool>& stopping,
           std::uint64_t seed)
      : world_(world), oracle_(oracle), stopping_(stopping), random_(seed) {}

  // Submits the first configuration. Returns false if it is not accepted in time.
  bool submit_initial_configuration();
  // Submits changes until the test stops.
  void run();
  // Reads the configuration and submits one more change, after all faults have ended.
  void check_final_configuration();
  // Removes the only tenant, as the last change of the test, and checks that from then on no key is good for
  // a request.
  void check_without_tenants();
  std::size_t changes() const { return changes_; }

 private:
  // Submits the next version. Returns false if its outcome is unknown, or if it was rejected, which is a
  // violation.
  bool submit_change(Millis timeout, bool abort_when_stopping);
  // Sends a change to one node after the other until it is accepted or rejected. Returns its last status.
  int send_change(const std::string& action, std::uint64_t base, const std::string& body, Millis deadline,
                  bool abort_when_stopping);
  // Whether every edge node rejects a request with this key as unauthorized.
  bool is_rejected_everywhere(const std::string& key) const;
  std::string configuration_json() const;
  std::size_t random_edge() { return random_() % world_.edges(); }

  const standins::TierWorld& world_;
  Oracle& oracle_;
  const std::atomic<bool>& stopping_;
  std::mt19937_64 random_;
  std::uint64_t version_ = 0;
  bool has_temporary_key_ = true;
  bool has_public_jobs_ = false;  // the route for batch jobs asks for no key
  std::size_t changes_ = 0;
};

}  // namespace nettlestand::tier::soak
