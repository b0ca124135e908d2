// Binary encoding of plain structs, using the reflection of Boost.Hana structs.
//
// Integers, booleans and enumerators are LEB128 varints, signed integers with zigzag encoding. A double is
// its 8 bytes in memory order. Strings and lists are preceded by their length, an optional by 0 or 1. A
// struct is its members in order. A decoder never reads past its input: after the first error `ok()` is false
// and nothing more is read.
#pragma once

#include <boost/hana.hpp>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace nettlestand::tier {

namespace codec_detail {
template <class T>
struct IsVector : std::false_type {};
template <class T>
struct IsVector<std::vector<T>> : std::true_type {};
template <class T>
struct IsOptional : std::false_type {};
template <class T>
struct IsOptional<std::optional<T>> : std::true_type {};
}  // namespace codec_detail

// Appends values to a byte string.
class Encoder {
 public:
  template <class T>
  void put(const T& value) {
    // NOLINTNEXTLINE(bugprone-branch-clone): only one branch is compiled for each type.
    if constexpr (std::is_enum_v<T>) {
      put_varint(static_cast<std::uint64_t>(value));
    } else if constexpr (std::is_same_v<T, double>) {
      char bytes[sizeof(double)];
      std::memcpy(bytes, &value, sizeof(double));
      bytes_.append(bytes, sizeof(double));
    } else if constexpr (std::is_integral_v<T> && std::is_signed_v<T>) {
      const auto wide = static_cast<std::int64_t>(value);
      put_varint((static_cast<std::uint64_t>(wide) << 1) ^ static_cast<std::uint64_t>(wide >> 63));
    } else if constexpr (std::is_integral_v<T>) {
      put_varint(static_cast<std::uint64_t>(value));
    } else if constexpr (std::is_same_v<T, std::string>) {
      put_varint(value.size());
      bytes_.append(value);
    } else if constexpr (codec_detail::IsVector<T>::value) {
      put_varint(value.size());
      for (const auto& element : value) put(element);
    } else if constexpr (codec_detail::IsOptional<T>::value) {
      put_varint(value.has_value() ? 1 : 0);
      if (value) put(*value);
    } else {
      boost::hana::for_each(boost::hana::accessors<T>(),
                            [&](auto member) { put(boost::hana::second(member)(value)); });
    }
  }
  // Returns the encoded bytes.
  std::string take() { return std::move(bytes_); }

 private:
  void put_varint(std::uint64_t value) {
    while (value >= 0x80) {
      bytes_.push_back(static_cast<char>(value | 0x80));
      value >>= 7;
    }
    bytes_.push_back(static_cast<char>(value));
  }
  std::string bytes_;
};

// Reads values from untrusted bytes.
class Decoder {
 public:
  explicit Decoder(std::string_view bytes) : rest_(bytes) {}

  template <class T>
  void get(T& value) {
    if constexpr (std::is_same_v<T, bool>) {
      value = varint() != 0;
    } else if constexpr (std::is_enum_v<T>) {  // NOLINT(bugprone-branch-clone): as above
      value = static_cast<T>(varint());
    } else if constexpr (std::is_same_v<T, double>) {
      const std::string_view bytes = take(sizeof(double));
      if (ok_) std::memcpy(&value, bytes.data(), sizeof(double));
    } else if constexpr (std::is_integral_v<T> && std::is_signed_v<T>) {
      const std::uint64_t raw = varint();
      value = static_cast<T>(static_cast<std::int64_t>(raw >> 1) ^ -static_cast<std::int64_t>(raw & 1));
    } else if constexpr (std::is_integral_v<T>) {
      value = static_cast<T>(varint());
    } else if constexpr (std::is_same_v<T, std::string>) {
      value = std::string(take(varint()));
    } else if constexpr (codec_detail::IsVector<T>::value) {
      const std::uint64_t count = varint();
      if (count > rest_.size()) ok_ = false;  // each element takes at least one byte
      value.clear();
      for (std::uint64_t i = 0; ok_ && i < count; ++i) get(value.emplace_back());
    } else if constexpr (codec_detail::IsOptional<T>::value) {
      value.reset();
      if (varint() != 0) get(value.emplace());
    } else {
      boost::hana::for_each(boost::hana::accessors<T>(),
                            [&](auto member) { get(boost::hana::second(member)(value)); });
    }
  }

  // Whether all values so far were decoded without error.
  bool ok() const { return ok_; }
  // Whether there was no error and all bytes were read.
  bool complete() const { return ok_ && rest_.empty(); }

 private:
  std::string_view take(std::uint64_t size) {
    if (!ok_ || size > rest_.size()) {
      ok_ = false;
      return {};
    }
    const std::string_view out = rest_.substr(0, size);
    rest_.remove_prefix(size);
    return out;
  }
  std::uint64_t varint() {
    std::uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      const std::string_view byte = take(1);
      if (!ok_) return 0;
      value |= static_cast<std::uint64_t>(byte[0] & 0x7F) << shift;
      if ((byte[0] & 0x80) == 0) return value;
    }
    ok_ = false;
    return 0;
  }
  std::string_view rest_;
  bool ok_ = true;
};

// Returns the encoding of one value.
template <class T>
std::string encode(const T& value) {
  Encoder encoder;
  encoder.put(value);
  return encoder.take();
}

// Returns the decoded value, or nullopt unless the bytes are the encoding of exactly one value.
template <class T>
std::optional<T> decode(std::string_view bytes) {
  T value{};
  Decoder decoder(bytes);
  decoder.get(value);
  if (!decoder.complete()) return std::nullopt;
  return value;
}

}  // namespace nettlestand::tier
