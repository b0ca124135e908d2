#include "report/answer_counter.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "duties/msgpack_codec.h"

namespace nettlestand::report {
namespace {

using duties::array_elements;
using duties::decode_msgpack;
using duties::element;
using duties::element_as;
using duties::Packer;

constexpr double kFirstBucketSeconds = 0.0005;  // s
constexpr std::size_t kMaxTenants = 400;
constexpr std::size_t kMaxKeys = 4096;
constexpr const char* kOtherTenants = "(others)";

void pack(Packer& out, const AnswerCounts& c) {
  out.pack_array(4);
  out.pack(c.served);
  out.pack(c.refused);
  out.pack(c.failed);
  // Most buckets are empty: only the index and count of the others are written.
  std::uint32_t used = 0;
  for (const std::uint64_t n : c.latency_buckets) used += n > 0 ? 2 : 0;
  out.pack_array(used);
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    if (c.latency_buckets[i] == 0) continue;
    out.pack(i);
    out.pack(c.latency_buckets[i]);
  }
}

AnswerCounts unpack_counts(const msgpack::object& o) {
  AnswerCounts out;
  out.served = element_as<std::uint64_t>(o, 0, 4);
  out.refused = element_as<std::uint64_t>(o, 1, 4);
  out.failed = element_as<std::uint64_t>(o, 2, 4);
  const auto latency_buckets = array_elements(element(o, 3, 4), 2 * kLatencyBuckets);
  if (latency_buckets.size() % 2 != 0) throw duties::DecodeError("a bucket without its count");
  for (std::size_t i = 0; i < latency_buckets.size(); i += 2) {
    const auto at = latency_buckets[i]->as<std::size_t>();
    if (at >= kLatencyBuckets) throw duties::DecodeError("no such bucket");
    out.latency_buckets[at] = latency_buckets[i + 1]->as<std::uint64_t>();
  }
  return out;
}

}  // namespace

double bucket_upper_bound(std::size_t bucket) {
  return kFirstBucketSeconds * std::pow(2.0, static_cast<double>(bucket) / 2);
}

AnswerCounts& AnswerCounts::operator+=(const AnswerCounts& more) {
  served += more.served;
  refused += more.refused;
  failed += more.failed;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) latency_buckets[i] += more.latency_buckets[i];
  return *this;
}

AnswerCounts AnswerCounts::increase_since(const AnswerCounts& before) const {
  bool less = served < before.served || refused < before.refused || failed < before.failed;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i)
    less = less || latency_buckets[i] < before.latency_buckets[i];
  // The counts are older than those already included: they hold nothing new.
  if (less) return {};
  AnswerCounts out = *this;
  out.served -= before.served;
  out.refused -= before.refused;
  out.failed -= before.failed;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) out.latency_buckets[i] -= before.latency_buckets[i];
  return out;
}

double quantile(const AnswerCounts& c, double fraction) {
  std::uint64_t all = 0;
  for (const std::uint64_t n : c.latency_buckets) all += n;
  if (all == 0) return 0;
  const auto wanted = static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(all)));
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    seen += c.latency_buckets[i];
    if (seen >= std::max<std::uint64_t>(wanted, 1)) return bucket_upper_bound(i);
  }
  return bucket_upper_bound(kLatencyBuckets - 1);
}

AnswerCounter::AnswerCounter(int tier, std::string zone, std::vector<std::string> tenants) {
  if (tenants.empty()) tenants.emplace_back();
  for (std::size_t i = 0; i < tenants.size(); ++i)
    keys_.push_back({tier, zone, i < kMaxTenants ? std::move(tenants[i]) : std::string(kOtherTenants)});
}

void AnswerCounter::add(std::size_t tenant, AnswerOutcome outcome, double seconds) {
  AnswerCounts& c = counts_[keys_[std::min(tenant, keys_.size() - 1)]];
  switch (outcome) {
    case AnswerOutcome::kServed: {
      ++c.served;
      std::size_t i = 0;
      while (i + 1 < kLatencyBuckets && seconds > bucket_upper_bound(i)) ++i;
      ++c.latency_buckets[i];
      break;
    }
    case AnswerOutcome::kRefused:
      ++c.refused;
      break;
    case AnswerOutcome::kFailed:
      ++c.failed;
      break;
  }
}

std::string encode(const AnswerCounts& counts) {
  msgpack::sbuffer buffer;
  Packer out(buffer);
  pack(out, counts);
  return {buffer.data(), buffer.size()};
}

AnswerCounts decode_counts(std::string_view bytes) { return decode_msgpack(bytes, unpack_counts); }

std::string encode(const std::map<CountKey, AnswerCounts>& counts) {
  msgpack::sbuffer buffer;
  Packer out(buffer);
  out.pack_array(static_cast<std::uint32_t>(counts.size()));
  for (const auto& [key, c] : counts) {
    out.pack_array(4);
    out.pack(key.tier);
    out.pack(key.zone);
    out.pack(key.tenant);
    pack(out, c);
  }
  return {buffer.data(), buffer.size()};
}

std::map<CountKey, AnswerCounts> decode(std::string_view bytes) {
  return decode_msgpack(bytes, [](const msgpack::object& o) {
    std::map<CountKey, AnswerCounts> out;
    for (const msgpack::object* x : array_elements(o, kMaxKeys)) {
      CountKey key{element_as<int>(*x, 0, 4), duties::string_value(element(*x, 1, 4), 256),
                   duties::string_value(element(*x, 2, 4), 256)};
      out[std::move(key)] += unpack_counts(element(*x, 3, 4));
    }
    return out;
  });
}

}  // namespace nettlestand::report
