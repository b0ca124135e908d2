#include "duties/pack.h"

namespace nettlestand::duties {

void pack(Packer& out, const Node& n) {
  out.pack_array(4);
  out.pack(n.name);
  out.pack(n.life);
  out.pack(n.zone);
  out.pack(n.region);
}

void pack(Packer& out, const Duty& d) {
  out.pack_array(5);
  out.pack(d.name);
  out.pack(d.length);
  out.pack(d.prefer);
  out.pack(d.apart);
  out.pack(d.never);
}

void pack_bytes(Packer& out, std::string_view bytes) {
  out.pack_bin(static_cast<std::uint32_t>(bytes.size()));
  out.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}

const msgpack::object& part(const msgpack::object& o, std::uint32_t i, std::uint32_t size) {
  if (o.type != msgpack::type::ARRAY || o.via.array.size != size)
    throw BadBytes("not as many parts as belong there");
  return o.via.array.ptr[i];
}

std::string text_of(const msgpack::object& o, std::size_t most) {
  if (o.type == msgpack::type::BIN && o.via.bin.size <= most) return {o.via.bin.ptr, o.via.bin.size};
  if (o.type != msgpack::type::STR || o.via.str.size > most) throw BadBytes("no text, or too long a one");
  return {o.via.str.ptr, o.via.str.size};
}

std::vector<const msgpack::object*> parts_of(const msgpack::object& o, std::size_t most) {
  if (o.type != msgpack::type::ARRAY || o.via.array.size > most) throw BadBytes("no list, or too long a one");
  std::vector<const msgpack::object*> out;
  for (std::uint32_t i = 0; i < o.via.array.size; ++i) out.push_back(&o.via.array.ptr[i]);
  return out;
}

Node node_of(const msgpack::object& o) {
  return {text_of(part(o, 0, 4), kLongestName), as<std::uint64_t>(o, 1, 4),
          text_of(part(o, 2, 4), kLongestName), text_of(part(o, 3, 4), kLongestName)};
}

Duty duty_of(const msgpack::object& o) {
  const auto names = [&](std::uint32_t i) {
    std::vector<std::string> out;
    for (const msgpack::object* name : parts_of(part(o, i, 5), kMostListed))
      out.push_back(text_of(*name, kLongestName));
    return out;
  };
  return {text_of(part(o, 0, 5), kLongestName), as<double>(o, 1, 5), names(2), names(3), names(4)};
}

}  // namespace nettlestand::duties
