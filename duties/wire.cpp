#include "duties/wire.h"

#include <sodium.h>

#include <cstring>
#include <stdexcept>
#include <utility>

#include "duties/pack.h"

namespace nettlestand::duties {
namespace {

constexpr std::size_t kSeal = crypto_generichash_BYTES_MIN;  // 16 bytes
constexpr std::size_t kLength = 4;                           // bytes
constexpr std::uint32_t kRequestParts = 9, kReplyParts = 7, kFrameParts = 5, kHelloParts = 6;

void pack(Packer& out, const Request& r) {
  out.pack_array(kRequestParts);
  out.pack(static_cast<std::uint8_t>(r.kind));
  out.pack(r.seq);
  pack(out, r.node);
  out.pack(r.duty);
  out.pack(r.token);
  out.pack(r.failed);
  out.pack(r.to);
  pack_bytes(out, r.text);
  if (r.kind == Request::Kind::kDefine) {
    pack(out, r.settings);
  } else {
    out.pack_nil();
  }
}

Request request_of(const msgpack::object& o) {
  Request r;
  r.kind = word(o, 0, kRequestParts, kLastRequest);
  r.seq = as<std::uint64_t>(o, 1, kRequestParts);
  r.node = node_of(part(o, 2, kRequestParts));
  r.duty = text_of(part(o, 3, kRequestParts), kLongestName);
  r.token = as<Token>(o, 4, kRequestParts);
  r.failed = as<bool>(o, 5, kRequestParts);
  r.to = text_of(part(o, 6, kRequestParts), kLongestName);
  r.text = text_of(part(o, 7, kRequestParts), kLongestText);
  if (const msgpack::object& d = part(o, 8, kRequestParts); !d.is_nil()) r.settings = duty_of(d);
  return r;
}

void pack(Packer& out, const Reply& r) {
  out.pack_array(kReplyParts);
  out.pack(static_cast<std::uint8_t>(r.kind));
  out.pack(r.seq);
  out.pack(r.duty);
  out.pack(r.token);
  out.pack(r.length);
  out.pack(static_cast<std::uint8_t>(r.why));
  pack_bytes(out, r.text);
}

Reply reply_of(const msgpack::object& o) {
  Reply r;
  r.kind = word(o, 0, kReplyParts, kLastReply);
  r.seq = as<std::uint64_t>(o, 1, kReplyParts);
  r.duty = text_of(part(o, 2, kReplyParts), kLongestName);
  r.token = as<Token>(o, 3, kReplyParts);
  r.length = as<double>(o, 4, kReplyParts);
  r.why = word(o, 5, kReplyParts, Refusal::kTooMany);
  r.text = text_of(part(o, 6, kReplyParts), kMostClientFrame);
  return r;
}

void put_length(std::string& out, std::size_t n) {
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>((n >> shift) & 0xFF));
}

std::size_t length_at(std::string_view bytes) {
  std::size_t out = 0;
  for (std::size_t i = 0; i < kLength; ++i) out = out << 8 | static_cast<unsigned char>(bytes[i]);
  return out;
}

}  // namespace

std::string encode(const Frame& f) {
  msgpack::sbuffer buffer;
  Packer out(buffer);
  out.pack_array(kFrameParts);
  out.pack(kWireVersion);
  out.pack(static_cast<std::uint8_t>(f.kind));
  out.pack(f.number);
  if (f.kind == Frame::Kind::kHello) {
    out.pack_array(kHelloParts);
    out.pack(f.cluster);
    pack_bytes(out, f.nonce);
    pack(out, f.who);
    out.pack(f.voter);
    out.pack(f.starts);
    out.pack(f.run);
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
  return reading(bytes, [](const msgpack::object& o) {
    if (as<std::uint8_t>(o, 0, kFrameParts) != kWireVersion) throw BadBytes("a frame of another version");
    Frame f;
    f.kind = word(o, 1, kFrameParts, kLastFrame);
    f.number = as<std::uint64_t>(o, 2, kFrameParts);
    const msgpack::object& list = part(o, 3, kFrameParts);
    if (f.kind == Frame::Kind::kHello) {
      f.cluster = text_of(part(list, 0, kHelloParts), 128);
      f.nonce = text_of(part(list, 1, kHelloParts), kNonce);
      f.who = node_of(part(list, 2, kHelloParts));
      f.voter = as<std::uint64_t>(list, 3, kHelloParts);
      f.starts = as<std::uint64_t>(list, 4, kHelloParts);
      f.run = as<std::uint64_t>(list, 5, kHelloParts);
      if (f.nonce.size() != kNonce || f.who.name.empty()) throw BadBytes("a hello that says nothing");
    } else if (f.kind == Frame::Kind::kReplies || f.kind == Frame::Kind::kRelayed) {
      for (const msgpack::object* x : parts_of(list, kMostTogether)) f.replies.push_back(reply_of(*x));
    } else {
      for (const msgpack::object* x : parts_of(list, kMostTogether)) f.requests.push_back(request_of(*x));
    }
    f.bytes = text_of(part(o, 4, kFrameParts), kMostFrame);
    return f;
  });
}

Channel::Channel(const Keys& keys, std::string nonce, std::size_t most)
    : keys_(keys.keys), nonce_(std::move(nonce)), most_(most) {
  if (sodium_init() < 0) throw std::runtime_error("libsodium can't start");
  if (nonce_.size() != kNonce) throw std::runtime_error("a nonce is not 16 bytes");
  for (const std::string& key : keys_) {
    if (key.size() != crypto_generichash_KEYBYTES) throw std::runtime_error("a key is not 32 bytes");
  }
  if (keys_.empty()) keys_.emplace_back(crypto_generichash_KEYBYTES, '\0');
}

std::string Channel::digest(std::string_view body, const std::string& key, const std::string& nonce,
                            std::uint64_t number) const {
  std::string out(kSeal, '\0');
  crypto_generichash_state state;
  const auto bytes = [](const auto* p) { return reinterpret_cast<const unsigned char*>(p); };
  crypto_generichash_init(&state, bytes(key.data()), key.size(), kSeal);
  crypto_generichash_update(&state, bytes(nonce.data()), nonce.size());
  crypto_generichash_update(&state, bytes(&number), sizeof number);
  crypto_generichash_update(&state, bytes(body.data()), body.size());
  crypto_generichash_final(&state, reinterpret_cast<unsigned char*>(out.data()), kSeal);
  return out;
}

std::string Channel::seal(const Frame& frame) {
  const bool hello = frame.kind == Frame::Kind::kHello;
  if (!hello && !met()) throw std::logic_error("a frame before the other side's hello");
  const std::string body = encode(frame);
  if (body.size() > kMostFrame)
    throw std::length_error("a frame of " + std::to_string(body.size()) + " bytes");
  std::string out;
  out.reserve(kLength + body.size() + kSeal);
  put_length(out, body.size() + kSeal);
  out += body;
  out += digest(body, keys_.front(), hello ? std::string() : other_nonce_, hello ? 0 : ++sent_);
  return out;
}

std::optional<Frame> Channel::next() {
  const std::string_view all(in_.data() + read_, in_.size() - read_);
  if (all.size() < kLength) return std::nullopt;
  const std::size_t size = length_at(all);
  // Guards the memory: whoever has said nothing yet may say little.
  if (size <= kSeal || size > (met() ? most_ + kSeal : std::size_t{1024}))
    throw BadBytes("a frame of no sound length");
  if (all.size() < kLength + size) return std::nullopt;
  const std::string_view body = all.substr(kLength, size - kSeal),
                         told = all.substr(kLength + body.size(), kSeal);
  const bool first = !met();
  const std::uint64_t number = first ? 0 : ++taken_;
  bool good = false;
  for (const std::string& key : keys_) {
    good = good || sodium_memcmp(digest(body, key, first ? std::string() : nonce_, number).data(),
                                 told.data(), kSeal) == 0;
  }
  if (!good) throw BadBytes("a frame whose seal is not of this cluster");
  Frame out = decode_frame(body);
  if ((out.kind == Frame::Kind::kHello) != first) throw BadBytes("a hello where none belongs, or none");
  if (first) other_nonce_ = out.nonce;
  read_ += kLength + size;
  if (read_ == in_.size() || read_ > 1 << 16) {
    in_.erase(0, read_);
    read_ = 0;
  }
  return out;
}

}  // namespace nettlestand::duties
