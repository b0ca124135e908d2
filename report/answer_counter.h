// What one node has answered since it started, by tenant: counts that only grow, so that whoever takes their
// differences loses nothing and counts nothing twice, however late, often or seldom it hears of them. No I/O,
// no clock.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace nettlestand::report {

// Times of served requests, in buckets that grow by the square root of 2 from 0.5 ms on; the last one holds
// all that is longer.
constexpr std::size_t kLatencyBuckets = 36;
double bucket_upper_bound(std::size_t bucket);  // s

struct AnswerCounts {
  std::uint64_t served = 0, refused = 0, failed = 0;
  std::array<std::uint64_t, kLatencyBuckets> latency_buckets{};
  AnswerCounts& operator+=(const AnswerCounts& more);
  // What has come since `before`; none of it where that has more of anything.
  AnswerCounts increase_since(const AnswerCounts& before) const;
  bool empty() const { return served + refused + failed == 0; }
  bool operator==(const AnswerCounts&) const = default;
};
// The time within which a part of the served were answered, s; 0: none was.
double quantile(const AnswerCounts& counts, double fraction);

struct CountKey {
  int tier = 0;
  std::string zone, tenant;
  auto operator<=>(const CountKey&) const = default;
};

enum class AnswerOutcome : std::uint8_t { kServed, kRefused, kFailed };

class AnswerCounter {
 public:
  // Tenants beyond the first 400 are counted together.
  AnswerCounter(int tier, std::string zone, std::vector<std::string> tenants);
  void add(std::size_t tenant, AnswerOutcome ending, double seconds);
  const std::map<CountKey, AnswerCounts>& counts() const { return counts_; }

 private:
  std::vector<CountKey> keys_;
  std::map<CountKey, AnswerCounts> counts_;
};

// As bytes, and back; throws std::runtime_error for what is none.
std::string encode(const std::map<CountKey, AnswerCounts>& counts);
std::map<CountKey, AnswerCounts> decode(std::string_view bytes);
std::string encode(const AnswerCounts& counts);
AnswerCounts decode_counts(std::string_view bytes);

}  // namespace nettlestand::report
