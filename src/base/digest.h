// Digests of byte strings, to notice bytes that have changed on their way. No protection against intent.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace nettlestand::tier {

// XXH64 of the bytes. A digest given as `seed` chains the bytes behind those that it was taken of.
inline std::uint64_t digest_of(std::string_view bytes, std::uint64_t seed = 0) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

}  // namespace nettlestand::tier
