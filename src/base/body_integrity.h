// Where on its way from the client to a server the body of a request was found to have changed.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace nettlestand::tier {

// The steps at which a body is compared with the digest that was taken of the client's bytes.
enum class BodyCheckStep : std::uint8_t {
  kSubmission,  // a batch job's JSON, before it is parsed
  kStoreCall,   // a job as it reaches its store
  kCopy,        // a job as it reaches another store, as a change or by repair
  kRestart,     // a job as it is read from the disk
  kStart,       // an item as it is started
  kSend         // a request as it is written to a server, before the first byte and after the last
};
inline constexpr std::size_t kBodyCheckStepCount = 6;

inline const char* name_of(BodyCheckStep step) {
  constexpr std::array<const char*, kBodyCheckStepCount> kNames = {"submission", "store_call", "copy",
                                                                   "restart",    "start",      "send"};
  return kNames[static_cast<std::size_t>(step)];
}

// Counts, for each step, of the bodies that differed there.
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
