// Counters of request bodies that were found to be corrupted on the way from the client to a server, by the
// step at which it was detected.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace nettlestand::tier {

// The steps at which a body is compared with the digest of the bytes that the client sent.
enum class BodyCheckStep : std::uint8_t {
  kSubmission,  // a batch job's JSON, before it is parsed
  kStoreCall,   // a job when its store receives it
  kCopy,        // a job when another store receives it, as a change or in a repair
  kRestart,     // a job when it is read from disk
  kStart,       // an item when it is started
  kSend         // a request when it is written to a server, before the first byte and after the last
};
inline constexpr std::size_t kBodyCheckStepCount = 6;

// The name of the step in logs.
inline const char* name_of(BodyCheckStep step) {
  constexpr std::array<const char*, kBodyCheckStepCount> kNames = {"submission", "store_call", "copy",
                                                                   "restart",    "start",      "send"};
  return kNames[static_cast<std::size_t>(step)];
}

// Counts, for each step, the bodies whose digest did not match.
class BodyIntegrityCounters {
 public:
  void record_mismatch(BodyCheckStep step, std::uint64_t count = 1) {
    mismatches_[static_cast<std::size_t>(step)] += count;
  }
  std::uint64_t mismatches(BodyCheckStep step) const { return mismatches_[static_cast<std::size_t>(step)]; }
  bool is_clean() const {
    return std::all_of(mismatches_.begin(), mismatches_.end(), [](std::uint64_t n) { return n == 0; });
  }

 private:
  std::array<std::uint64_t, kBodyCheckStepCount> mismatches_{};
};

}  // namespace nettlestand::tier
