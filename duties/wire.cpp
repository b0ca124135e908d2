#include "duties/wire.h"

#include <sodium.h>

#include <cstring>
#include <stdexcept>
#include <utility>

#include "duties/msgpack_codec.h"

namespace nettlestand::duties {
namespace {

constexpr std::size_t kTagBytes = crypto_generichash_BYTES_MIN;
constexpr std::size_t kLengthBytes = 4;
constexpr std::uint32_t kRequestFields = 9, kReplyFields = 7, kFrameFields = 5, kHelloFields = 6;

void pack(Packer& out, const Request& r) {
  out.pack_array(kRequestFields);
  out.pack(static_cast<std::uint8_t>(r.kind));
  out.pack(r.seq);
  pack(out, r.node);
  out.pack(r.duty);
  out.pack(r.token);
  out.pack(r.failed);
  out.pack(r.target);
  pack_bytes(out, r.text);
  if (r.kind == Request::Kind::kDefine) {
    pack(out, r.settings);
  } else {
    out.pack_nil();
  }
}

Request request_from(const msgpack::object& o) {
  Request r;
  r.kind = enum_element(o, 0, kRequestFields, kLastRequestKind);
  r.seq = element_as<std::uint64_t>(o, 1, kRequestFields);
  r.node = node_from(element(o, 2, kRequestFields));
  r.duty = string_value(element(o, 3, kRequestFields), kMaxNameBytes);
  r.token = element_as<Token>(o, 4, kRequestFields);
  r.failed = element_as<bool>(o, 5, kRequestFields);
  r.target = string_value(element(o, 6, kRequestFields), kMaxNameBytes);
  r.text = string_value(element(o, 7, kRequestFields), kMaxTextBytes);
  if (const msgpack::object& d = element(o, 8, kRequestFields); !d.is_nil()) r.settings = duty_from(d);
  return r;
}

void pack(Packer& out, const Reply& r) {
  out.pack_array(kReplyFields);
  out.pack(static_cast<std::uint8_t>(r.kind));
  out.pack(r.seq);
  out.pack(r.duty);
  out.pack(r.token);
  out.pack(r.lease_seconds);
  out.pack(static_cast<std::uint8_t>(r.refusal));
  pack_bytes(out, r.text);
}

Reply reply_from(const msgpack::object& o) {
  Reply r;
  r.kind = enum_element(o, 0, kReplyFields, kLastReplyKind);
  r.seq = element_as<std::uint64_t>(o, 1, kReplyFields);
  r.duty = string_value(element(o, 2, kReplyFields), kMaxNameBytes);
  r.token = element_as<Token>(o, 3, kReplyFields);
  r.lease_seconds = element_as<double>(o, 4, kReplyFields);
  r.refusal = enum_element(o, 5, kReplyFields, Refusal::kTooManyDuties);
  r.text = string_value(element(o, 6, kReplyFields), kMaxClientFrameBytes);
  return r;
}

void put_length(std::string& out, std::size_t n) {
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>((n >> shift) & 0xFF));
}

std::size_t length_at(std::string_view bytes) {
  std::size_t out = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) out = out << 8 | static_cast<unsigned char>(bytes[i]);
  return out;
}

}  // namespace

std::string encode(const Frame& f) {
  msgpack::sbuffer buffer;
  Packer out(buffer);
  out.pack_array(kFrameFields);
  out.pack(kWireVersion);
  out.pack(static_cast<std::uint8_t>(f.kind));
  out.pack(f.number);
  if (f.kind == Frame::Kind::kHello) {
    out.pack_array(kHelloFields);
    out.pack(f.cluster);
    pack_bytes(out, f.nonce);
    pack(out, f.sender);
    out.pack(f.voter_id);
    out.pack(f.start_count);
    out.pack(f.start_id);
  } else if (!f.replies.empty()) {
    out.pack_array(static_cast<std::uint32_t>(f.replies.size()));
    for (const Reply& r : f.replies) pack(out, r);
  } else {
    out.pack_array(static_cast<std::uint32_t>(f.requests.size()));
    for (const Request& r : f.requests) pack(out, r);
  }
  pack_bytes(out, f.bytes);
  return {buffer.data(), buffer.size()};
}

Frame decode_frame(std::string_view bytes) {
  return decode_msgpack(bytes, [](const msgpack::object& o) {
    if (element_as<std::uint8_t>(o, 0, kFrameFields) != kWireVersion)
      throw DecodeError("frame: unsupported protocol version");
    Frame f;
    f.kind = enum_element(o, 1, kFrameFields, kLastFrameKind);
    f.number = element_as<std::uint64_t>(o, 2, kFrameFields);
    const msgpack::object& list = element(o, 3, kFrameFields);
    if (f.kind == Frame::Kind::kHello) {
      f.cluster = string_value(element(list, 0, kHelloFields), 128);
      f.nonce = string_value(element(list, 1, kHelloFields), kNonceBytes);
      f.sender = node_from(element(list, 2, kHelloFields));
      f.voter_id = element_as<std::uint64_t>(list, 3, kHelloFields);
      f.start_count = element_as<std::uint64_t>(list, 4, kHelloFields);
      f.start_id = element_as<std::uint64_t>(list, 5, kHelloFields);
      if (f.nonce.size() != kNonceBytes || f.sender.name.empty())
        throw DecodeError("hello without a name or with a nonce of the wrong length");
    } else if (f.kind == Frame::Kind::kReplies || f.kind == Frame::Kind::kForwardReplies) {
      for (const msgpack::object* x : array_elements(list, kMaxMessagesPerFrame))
        f.replies.push_back(reply_from(*x));
    } else {
      for (const msgpack::object* x : array_elements(list, kMaxMessagesPerFrame))
        f.requests.push_back(request_from(*x));
    }
    f.bytes = string_value(element(o, 4, kFrameFields), kMaxFrameBytes);
    return f;
  });
}

Channel::Channel(const Keys& keys, std::string nonce, std::size_t most)
    : keys_(keys.keys), nonce_(std::move(nonce)), max_frame_bytes_(most) {
  if (sodium_init() < 0) throw std::runtime_error("libsodium can't be initialized");
  if (nonce_.size() != kNonceBytes) throw std::runtime_error("nonce is not 16 bytes long");
  for (const std::string& key : keys_) {
    if (key.size() != crypto_generichash_KEYBYTES) throw std::runtime_error("key is not 32 bytes long");
  }
  if (keys_.empty()) keys_.emplace_back(crypto_generichash_KEYBYTES, '\0');
}

std::string Channel::digest(std::string_view body, const std::string& key, const std::string& nonce,
                            std::uint64_t number) const {
  std::string out(kTagBytes, '\0');
  crypto_generichash_state state;
  const auto bytes = [](const auto* p) { return reinterpret_cast<const unsigned char*>(p); };
  crypto_generichash_init(&state, bytes(key.data()), key.size(), kTagBytes);
  crypto_generichash_update(&state, bytes(nonce.data()), nonce.size());
  crypto_generichash_update(&state, bytes(&number), sizeof number);
  crypto_generichash_update(&state, bytes(body.data()), body.size());
  crypto_generichash_final(&state, reinterpret_cast<unsigned char*>(out.data()), kTagBytes);
  return out;
}

std::string Channel::seal(const Frame& frame) {
  const bool hello = frame.kind == Frame::Kind::kHello;
  if (!hello && !handshake_done()) throw std::logic_error("frame sent before the other side's hello");
  const std::string body = encode(frame);
  if (body.size() > kMaxFrameBytes)
    throw std::length_error("frame too large: " + std::to_string(body.size()) + " bytes");
  std::string out;
  out.reserve(kLengthBytes + body.size() + kTagBytes);
  put_length(out, body.size() + kTagBytes);
  out += body;
  out += digest(body, keys_.front(), hello ? std::string() : other_nonce_, hello ? 0 : ++frames_sent_);
  return out;
}

std::optional<Frame> Channel::next_frame() {
  const std::string_view all(received_.data() + consumed_, received_.size() - consumed_);
  if (all.size() < kLengthBytes) return std::nullopt;
  const std::size_t size = length_at(all);
  // Bounds the memory for peers that are not authenticated: before the hello only a short frame is accepted.
  if (size <= kTagBytes || size > (handshake_done() ? max_frame_bytes_ + kTagBytes : std::size_t{1024}))
    throw DecodeError("frame length out of range");
  if (all.size() < kLengthBytes + size) return std::nullopt;
  const std::string_view body = all.substr(kLengthBytes, size - kTagBytes),
                         told = all.substr(kLengthBytes + body.size(), kTagBytes);
  const bool first = !handshake_done();
  const std::uint64_t number = first ? 0 : ++frames_received_;
  bool good = false;
  for (const std::string& key : keys_) {
    good = good || sodium_memcmp(digest(body, key, first ? std::string() : nonce_, number).data(),
                                 told.data(), kTagBytes) == 0;
  }
  if (!good) throw DecodeError("frame authentication failed");
  Frame out = decode_frame(body);
  if ((out.kind == Frame::Kind::kHello) != first) throw DecodeError("unexpected or missing hello");
  if (first) other_nonce_ = out.nonce;
  consumed_ += kLengthBytes + size;
  if (consumed_ == received_.size() || consumed_ > 1 << 16) {
    received_.erase(0, consumed_);
    consumed_ = 0;
  }
  return out;
}

}  // namespace nettlestand::duties
