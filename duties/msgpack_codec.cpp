#include "duties/msgpack_codec.h"

namespace nettlestand::duties {

void pack(Packer& out, const Node& n) {
  out.pack_array(4);
  out.pack(n.name);
  out.pack(n.generation);
  out.pack(n.zone);
  out.pack(n.region);
}

void pack(Packer& out, const Duty& d) {
  out.pack_array(5);
  out.pack(d.name);
  out.pack(d.lease_seconds);
  out.pack(d.preferred_locations);
  out.pack(d.anti_affinity);
  out.pack(d.excluded_nodes);
}

void pack_bytes(Packer& out, std::string_view bytes) {
  out.pack_bin(static_cast<std::uint32_t>(bytes.size()));
  out.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}

const msgpack::object& element(const msgpack::object& o, std::uint32_t i, std::uint32_t size) {
  if (o.type != msgpack::type::ARRAY || o.via.array.size != size)
    throw DecodeError("not an array of the expected length");
  return o.via.array.ptr[i];
}

std::string string_value(const msgpack::object& o, std::size_t most) {
  if (o.type == msgpack::type::BIN && o.via.bin.size <= most) return {o.via.bin.ptr, o.via.bin.size};
  if (o.type != msgpack::type::STR || o.via.str.size > most) throw DecodeError("not a string, or too long");
  return {o.via.str.ptr, o.via.str.size};
}

std::vector<const msgpack::object*> array_elements(const msgpack::object& o, std::size_t most) {
  if (o.type != msgpack::type::ARRAY || o.via.array.size > most)
    throw DecodeError("not an array, or too long");
  std::vector<const msgpack::object*> out;
  for (std::uint32_t i = 0; i < o.via.array.size; ++i) out.push_back(&o.via.array.ptr[i]);
  return out;
}

Node node_from(const msgpack::object& o) {
  return {string_value(element(o, 0, 4), kMaxNameBytes), element_as<std::uint64_t>(o, 1, 4),
          string_value(element(o, 2, 4), kMaxNameBytes), string_value(element(o, 3, 4), kMaxNameBytes)};
}

Duty duty_from(const msgpack::object& o) {
  const auto names = [&](std::uint32_t i) {
    std::vector<std::string> out;
    for (const msgpack::object* name : array_elements(element(o, i, 5), kMaxListEntries))
      out.push_back(string_value(*name, kMaxNameBytes));
    return out;
  };
  return {string_value(element(o, 0, 5), kMaxNameBytes), element_as<double>(o, 1, 5), names(2), names(3),
          names(4)};
}

}  // namespace nettlestand::duties
