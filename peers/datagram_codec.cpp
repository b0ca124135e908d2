#include "peers/datagram_codec.h"

#define MSGPACK_NO_BOOST
#include <sodium.h>

#include <msgpack.hpp>
#include <stdexcept>

namespace nettlestand::peers {
namespace {

constexpr std::size_t kBlake2bBytes = kMacBytes;  // BLAKE2b
static_assert(kBlake2bBytes == crypto_generichash_BYTES_MIN);
constexpr std::size_t kKeyBytes = crypto_generichash_KEYBYTES;  // 32 bytes
// Elements of an array; bounds the memory that a datagram makes the parser use.
constexpr std::uint32_t kMaxArrayElements = 16;

std::string mac_of(std::string_view bytes, const std::string& key) {
  std::string out(kBlake2bBytes, '\0');
  crypto_generichash(reinterpret_cast<unsigned char*>(out.data()), kBlake2bBytes,
                     reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
                     reinterpret_cast<const unsigned char*>(key.data()), key.size());
  return out;
}

struct Malformed {};

const msgpack::object& element(const msgpack::object& array, std::uint32_t i) {
  if (array.type != msgpack::type::ARRAY || i >= array.via.array.size) throw Malformed{};
  return array.via.array.ptr[i];
}
std::uint64_t read_unsigned(const msgpack::object& o, std::uint64_t most) {
  if (o.type != msgpack::type::POSITIVE_INTEGER || o.via.u64 > most) throw Malformed{};
  return o.via.u64;
}
std::string read_text(const msgpack::object& o, std::size_t least, std::size_t most) {
  if (o.type != msgpack::type::STR || o.via.str.size < least || o.via.str.size > most) throw Malformed{};
  return {o.via.str.ptr, o.via.str.size};
}

constexpr std::uint64_t kNoLimit = ~std::uint64_t{0};

}  // namespace

const char* name_of(DecodeError refusal) {
  switch (refusal) {
    case DecodeError::kNone:
      return "none";
    case DecodeError::kMalformed:
      return "malformed";
    case DecodeError::kVersion:
      return "version";
    case DecodeError::kOtherCluster:
      return "other cluster";
    case DecodeError::kBadMac:
      return "seal";
    default:
      return "replay";
  }
}

DatagramCodec::DatagramCodec(Cluster cluster)
    : cluster_(std::move(cluster)), cluster_id_(static_cast<std::uint32_t>(member_key(cluster_.name))) {
  if (sodium_init() < 0) throw std::runtime_error("libsodium initialization failed");
  set_keys(std::move(cluster_.keys));
}

void DatagramCodec::set_keys(std::vector<std::string> keys) {
  for (const std::string& key : keys) {
    if (key.size() != kKeyBytes) throw std::invalid_argument("a cluster key must be 32 bytes");
  }
  authenticated_ = !keys.empty();
  if (!authenticated_) keys.emplace_back(kKeyBytes, '\0');  // the MAC is then only a checksum
  cluster_.keys = std::move(keys);
}

std::string DatagramCodec::encode(const Message& m) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> out(buffer);
  out.pack_array(11);
  out.pack(kWireVersion);
  out.pack(cluster_id_);
  out.pack(++last_number_);
  out.pack(static_cast<std::uint8_t>(m.kind));
  out.pack(m.seq);
  out.pack(m.from);
  out.pack(m.generation);
  out.pack(m.target);
  out.pack(m.target_generation);
  out.pack(static_cast<std::uint8_t>(m.direct_ack));
  out.pack_array(static_cast<std::uint32_t>(m.updates.size()));
  for (const Update& u : m.updates) {
    out.pack_array(u.identity ? 12 : 6);
    out.pack(u.key);
    out.pack(u.generation);
    out.pack(u.incarnation);
    out.pack(static_cast<std::uint8_t>(u.state));
    out.pack(u.address);
    out.pack(u.reporter);
    if (!u.identity) continue;
    out.pack(u.identity->name);
    out.pack(u.identity->zone);
    out.pack(u.identity->region);
    out.pack(u.identity->version);
    out.pack(u.identity->tier);
    out.pack(u.identity->number);
  }
  std::string bytes(buffer.data(), buffer.size());
  bytes += mac_of(bytes, cluster_.keys.front());
  if (bytes.size() > kMaxDatagramBytes)
    throw std::length_error("datagram too long: " + std::to_string(bytes.size()) + " bytes");
  return bytes;
}

bool DatagramCodec::accept_number(MemberKey from, std::uint64_t generation, std::uint64_t number) {
  auto it = recent_.find({from, generation});
  if (it == recent_.end()) {
    // Bounds the memory against endless keys and generations: windows that are not used for long are dropped.
    if (recent_.size() >= kMaxReplayWindows) {
      older_ = std::move(recent_);
      recent_.clear();
    }
    const auto old = older_.find({from, generation});
    it = recent_.emplace(std::pair(from, generation), old == older_.end() ? ReplayWindow{} : old->second)
             .first;
  }
  ReplayWindow& h = it->second;
  if (number > h.highest) {
    const std::uint64_t step = number - h.highest;
    h.below = step >= 64 ? 0 : h.below << step;
    if (step <= 64 && h.highest > 0) h.below |= std::uint64_t{1} << (step - 1);
    h.highest = number;
    return true;
  }
  const std::uint64_t back = h.highest - number;
  if (back == 0 || back > 64) return false;
  const std::uint64_t bit = std::uint64_t{1} << (back - 1);
  if ((h.below & bit) != 0) return false;
  h.below |= bit;
  return true;
}

std::optional<Message> DatagramCodec::decode(std::string_view bytes, DecodeError& error) {
  error = DecodeError::kMalformed;
  if (bytes.empty() || bytes.size() > kMaxDatagramBytes) return std::nullopt;
  if (bytes.size() <= kBlake2bBytes) return std::nullopt;
  const std::string_view body = bytes.substr(0, bytes.size() - kBlake2bBytes),
                         tag = bytes.substr(body.size());
  bool verified = false;
  for (const std::string& key : cluster_.keys) {
    verified = verified || sodium_memcmp(mac_of(body, key).data(), tag.data(), kBlake2bBytes) == 0;
  }
  if (!verified) {
    error = DecodeError::kBadMac;
    return std::nullopt;
  }
  std::uint64_t number = 0;
  auto out = decode_body(body, number, error);
  if (out && !accept_number(out->from, out->generation, number)) {
    error = DecodeError::kReplay;
    return std::nullopt;
  }
  return out;
}

std::optional<Message> DatagramCodec::decode_body(std::string_view body, std::uint64_t& sent,
                                                  DecodeError& error) const {
  error = DecodeError::kMalformed;
  Message m;
  try {
    std::size_t at = 0;
    const msgpack::unpack_limit limit(kMaxArrayElements, 0, kMaxNameBytes, 0, 0, 4);
    const msgpack::object_handle handle =
        msgpack::unpack(body.data(), body.size(), at, nullptr, nullptr, limit);
    if (at != body.size()) return std::nullopt;
    const msgpack::object& o = handle.get();
    if (read_unsigned(element(o, 0), 255) != kWireVersion) {
      error = DecodeError::kVersion;
      return std::nullopt;
    }
    if (read_unsigned(element(o, 1), 0xFFFFFFFF) != cluster_id_) {
      error = DecodeError::kOtherCluster;
      return std::nullopt;
    }
    sent = read_unsigned(element(o, 2), kNoLimit);
    m.kind =
        static_cast<MessageKind>(read_unsigned(element(o, 3), static_cast<std::uint64_t>(kLastMessageKind)));
    m.seq = static_cast<std::uint32_t>(read_unsigned(element(o, 4), 0xFFFFFFFF));
    m.from = read_unsigned(element(o, 5), kNoLimit);
    m.generation = read_unsigned(element(o, 6), kNoLimit);
    m.target = read_unsigned(element(o, 7), kNoLimit);
    m.target_generation = read_unsigned(element(o, 8), kNoLimit);
    m.direct_ack = read_unsigned(element(o, 9), 1) == 1;
    if (o.via.array.size != 11 || m.from == 0 || m.generation == 0) throw Malformed{};
    const msgpack::object& updates = element(o, 10);
    if (updates.type != msgpack::type::ARRAY || updates.via.array.size > kMaxUpdates) throw Malformed{};
    for (std::uint32_t i = 0; i < updates.via.array.size; ++i) {
      const msgpack::object& x = element(updates, i);
      if (x.type != msgpack::type::ARRAY || (x.via.array.size != 6 && x.via.array.size != 12))
        throw Malformed{};
      Update u;
      u.key = read_unsigned(element(x, 0), kNoLimit);
      u.generation = read_unsigned(element(x, 1), kNoLimit);
      u.incarnation = static_cast<std::uint32_t>(read_unsigned(element(x, 2), 0xFFFFFFFF));
      u.state = static_cast<MemberState>(
          read_unsigned(element(x, 3), static_cast<std::uint64_t>(MemberState::kLeft)));
      u.address = read_unsigned(element(x, 4), kNoLimit);
      u.reporter = read_unsigned(element(x, 5), kNoLimit);
      if (u.key == 0 || u.generation == 0) throw Malformed{};
      if (x.via.array.size == 12) {
        Identity id;
        id.name = read_text(element(x, 6), 1, kMaxNameBytes);
        id.zone = read_text(element(x, 7), 0, kMaxLabelBytes);
        id.region = read_text(element(x, 8), 0, kMaxLabelBytes);
        id.version = read_text(element(x, 9), 0, kMaxLabelBytes);
        id.tier = static_cast<std::uint8_t>(read_unsigned(element(x, 10), 255));
        id.number = static_cast<std::uint32_t>(read_unsigned(element(x, 11), 0xFFFFFFFF));
        if (member_key(id.name) != u.key) throw Malformed{};  // the name does not belong to the key
        u.identity = std::make_shared<const Identity>(std::move(id));
      }
      m.updates.push_back(std::move(u));
    }
  } catch (const Malformed&) {
    return std::nullopt;
  } catch (const std::exception&) {  // not MessagePack, truncated or nested too deep
    return std::nullopt;
  }
  error = DecodeError::kNone;
  return m;
}

}  // namespace nettlestand::peers
