// Digests of byte strings, to detect accidental corruption. They don't protect against deliberate changes.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace nettlestand::tier {

// Returns the XXH64 digest of the bytes. With an earlier digest as `seed` the result also depends on the
// bytes of that digest, so that digests can be chained.
inline std::uint64_t digest_of(std::string_view bytes, std::uint64_t seed = 0) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

}  // namespace nettlestand::tier
