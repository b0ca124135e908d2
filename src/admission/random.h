// Random numbers and hashes, the same on every platform.
#pragma once

#include <cstdint>
#include <string>

namespace quinceusher {

// splitmix64. It maps to ranges itself, as the standard distributions differ between platforms.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() {
    std::uint64_t z = (state_ += 0x9E3779B97F4A7C15ULL);
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31);
  }
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(unit() * static_cast<double>(n)); }

 private:
  std::uint64_t state_;
};

// FNV-1a with a final mix: gives servers the same order at every balancer, whatever their addresses.
inline std::uint64_t hash_of(const std::string& text) {
  std::uint64_t h = 0xCBF29CE484222325ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001B3ULL;
  return Random(h).next();
}

}  // namespace quinceusher
