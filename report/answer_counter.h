// Counts what one node has answered since it started, by tenant. The counts only grow: a reader that takes
// differences loses nothing and counts nothing twice, even if reports are late, repeated or lost. No I/O, no
// clock.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace nettlestand::report {

// Number of latency buckets. Their upper bounds grow by the square root of 2 from 0.5 ms on; the last bucket
// also holds everything slower.
constexpr std::size_t kLatencyBuckets = 36;
double bucket_upper_bound(std::size_t bucket);  // s

// Answers by outcome, and the latencies of the served ones.
struct AnswerCounts {
  std::uint64_t served = 0, refused = 0, failed = 0;
  std::array<std::uint64_t, kLatencyBuckets> latency_buckets{};
  AnswerCounts& operator+=(const AnswerCounts& more);
  // The increase since `before`; empty if `before` is larger in any count, i.e. newer.
  AnswerCounts increase_since(const AnswerCounts& before) const;
  bool empty() const { return served + refused + failed == 0; }
  bool operator==(const AnswerCounts&) const = default;
};
// The latency in s within which the given fraction of the served requests was answered, rounded up to a
// bucket's bound; 0 if none was served.
double quantile(const AnswerCounts& counts, double fraction);

// What answers are grouped by.
struct CountKey {
  int tier = 0;
  std::string zone, tenant;
  auto operator<=>(const CountKey&) const = default;
};

// How a call was answered.
enum class AnswerOutcome : std::uint8_t { kServed, kRefused, kFailed };

// The counts of one node.
class AnswerCounter {
 public:
  // `tenants` are names in the order of their indices; those beyond the first 400 are counted together.
  AnswerCounter(int tier, std::string zone, std::vector<std::string> tenants);
  // `seconds`: the latency, used for served calls only.
  void add(std::size_t tenant, AnswerOutcome outcome, double seconds);
  const std::map<CountKey, AnswerCounts>& counts() const { return counts_; }

 private:
  std::vector<CountKey> keys_;
  std::map<CountKey, AnswerCounts> counts_;
};

// MessagePack encoding. Decoding throws std::runtime_error for invalid bytes.
std::string encode(const std::map<CountKey, AnswerCounts>& counts);
std::map<CountKey, AnswerCounts> decode(std::string_view bytes);
std::string encode(const AnswerCounts& counts);
AnswerCounts decode_counts(std::string_view bytes);

}  // namespace nettlestand::report
