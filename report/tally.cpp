#include "report/tally.h"

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

constexpr double kFirst = 0.0005;  // s
constexpr std::size_t kMostTenants = 400;
constexpr std::size_t kMostKeys = 4096;
constexpr const char* kOthers = "(others)";

void pack(Packer& out, const Counts& c) {
  out.pack_array(4);
  out.pack(c.served);
  out.pack(c.refused);
  out.pack(c.failed);
  // Most buckets are empty: place and count of the others.
  std::uint32_t used = 0;
  for (const std::uint64_t n : c.times) used += n > 0 ? 2 : 0;
  out.pack_array(used);
  for (std::size_t i = 0; i < kBuckets; ++i) {
    if (c.times[i] == 0) continue;
    out.pack(i);
    out.pack(c.times[i]);
  }
}

Counts counts_of(const msgpack::object& o) {
  Counts out;
  out.served = element_as<std::uint64_t>(o, 0, 4);
  out.refused = element_as<std::uint64_t>(o, 1, 4);
  out.failed = element_as<std::uint64_t>(o, 2, 4);
  const auto times = array_elements(element(o, 3, 4), 2 * kBuckets);
  if (times.size() % 2 != 0) throw duties::DecodeError("a bucket without its count");
  for (std::size_t i = 0; i < times.size(); i += 2) {
    const auto at = times[i]->as<std::size_t>();
    if (at >= kBuckets) throw duties::DecodeError("no such bucket");
    out.times[at] = times[i + 1]->as<std::uint64_t>();
  }
  return out;
}

}  // namespace

double upper_bound(std::size_t bucket) { return kFirst * std::pow(2.0, static_cast<double>(bucket) / 2); }

Counts& Counts::operator+=(const Counts& more) {
  served += more.served;
  refused += more.refused;
  failed += more.failed;
  for (std::size_t i = 0; i < kBuckets; ++i) times[i] += more.times[i];
  return *this;
}

Counts Counts::since(const Counts& before) const {
  bool less = served < before.served || refused < before.refused || failed < before.failed;
  for (std::size_t i = 0; i < kBuckets; ++i) less = less || times[i] < before.times[i];
  // An older word than the one that was counted: there is nothing new in it.
  if (less) return {};
  Counts out = *this;
  out.served -= before.served;
  out.refused -= before.refused;
  out.failed -= before.failed;
  for (std::size_t i = 0; i < kBuckets; ++i) out.times[i] -= before.times[i];
  return out;
}

double quantile(const Counts& c, double part) {
  std::uint64_t all = 0;
  for (const std::uint64_t n : c.times) all += n;
  if (all == 0) return 0;
  const auto wanted = static_cast<std::uint64_t>(std::ceil(part * static_cast<double>(all)));
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    seen += c.times[i];
    if (seen >= std::max<std::uint64_t>(wanted, 1)) return upper_bound(i);
  }
  return upper_bound(kBuckets - 1);
}

Tally::Tally(int tier, std::string zone, std::vector<std::string> tenants) {
  if (tenants.empty()) tenants.emplace_back();
  for (std::size_t i = 0; i < tenants.size(); ++i)
    keys_.push_back({tier, zone, i < kMostTenants ? std::move(tenants[i]) : std::string(kOthers)});
}

void Tally::add(std::size_t tenant, Ending ending, double seconds) {
  Counts& c = counts_[keys_[std::min(tenant, keys_.size() - 1)]];
  switch (ending) {
    case Ending::kServed: {
      ++c.served;
      std::size_t i = 0;
      while (i + 1 < kBuckets && seconds > upper_bound(i)) ++i;
      ++c.times[i];
      break;
    }
    case Ending::kRefused:
      ++c.refused;
      break;
    case Ending::kFailed:
      ++c.failed;
      break;
  }
}

std::string encode(const Counts& counts) {
  msgpack::sbuffer buffer;
  Packer out(buffer);
  pack(out, counts);
  return {buffer.data(), buffer.size()};
}

Counts decode_counts(std::string_view bytes) { return decode_msgpack(bytes, counts_of); }

std::string encode(const std::map<Key, Counts>& counts) {
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

std::map<Key, Counts> decode(std::string_view bytes) {
  return decode_msgpack(bytes, [](const msgpack::object& o) {
    std::map<Key, Counts> out;
    for (const msgpack::object* x : array_elements(o, kMostKeys)) {
      Key key{element_as<int>(*x, 0, 4), duties::string_value(element(*x, 1, 4), 256),
              duties::string_value(element(*x, 2, 4), 256)};
      out[std::move(key)] += counts_of(element(*x, 3, 4));
    }
    return out;
  });
}

}  // namespace nettlestand::report
