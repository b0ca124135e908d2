// MessagePack encoding of the values of this module, shared by the log, snapshots and the wire format.
#pragma once

#define MSGPACK_NO_BOOST
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "duties/lease_table.h"

namespace nettlestand::duties {

using Packer = msgpack::packer<msgpack::sbuffer>;

void pack(Packer& out, const Node& node);
void pack(Packer& out, const Duty& duty);
void pack_bytes(Packer& out, std::string_view bytes);

// Decoding. All throw DecodeError, or msgpack's type errors, for values that don't fit. `i` and `size`: index
// and required length of an array.
const msgpack::object& element(const msgpack::object& o, std::uint32_t i, std::uint32_t size);
template <class Value>
Value element_as(const msgpack::object& o, std::uint32_t i, std::uint32_t size) {
  return element(o, i, size).as<Value>();
}
template <class Enum>
Enum enum_element(const msgpack::object& o, std::uint32_t i, std::uint32_t size, Enum last) {
  const auto value = element_as<std::uint8_t>(o, i, size);
  if (value > static_cast<std::uint8_t>(last)) throw DecodeError("enum value out of range");
  return static_cast<Enum>(value);
}
std::string string_value(const msgpack::object& o, std::size_t most);
Node node_from(const msgpack::object& o);
Duty duty_from(const msgpack::object& o);
std::vector<const msgpack::object*> array_elements(const msgpack::object& o, std::size_t most);

// Decodes the single object that `bytes` consists of, with limits on its size. Throws DecodeError.
template <class Read>
auto decode_msgpack(std::string_view bytes, Read read) {
  try {
    std::size_t at = 0;
    const msgpack::unpack_limit limit(1 << 20, 16, 1 << 26, 1 << 26, 0, 16);
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), at, nullptr, nullptr, limit);
    if (at != bytes.size()) throw DecodeError("trailing bytes after the object");
    return read(handle.get());
  } catch (const DecodeError&) {
    throw;
  } catch (const std::exception& problem) {
    throw DecodeError(problem.what());
  }
}

}  // namespace nettlestand::duties
