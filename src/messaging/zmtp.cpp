#include "messaging/zmtp.h"

namespace nettlestand::tier {
namespace {

constexpr std::size_t kGreetingBytes = 64;
constexpr unsigned kMoreFlag = 1;
constexpr unsigned kLongFlag = 2;
constexpr unsigned kCommandFlag = 4;
constexpr std::size_t kMaxShortFrameBytes = 255;

std::uint64_t big_endian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) value = value << 8 | static_cast<unsigned char>(byte);
  return value;
}

std::string encode_frame(unsigned flags, std::string_view body) {
  std::string out;
  out.reserve(body.size() + 9);
  if (body.size() <= kMaxShortFrameBytes) {
    out.push_back(static_cast<char>(flags));
    out.push_back(static_cast<char>(body.size()));
  } else {
    out.push_back(static_cast<char>(flags | kLongFlag));
    for (int shift = 56; shift >= 0; shift -= 8) out.push_back(static_cast<char>(body.size() >> shift));
  }
  out.append(body);
  return out;
}

// Appends a property of a READY command: name and value, each preceded by its length.
void append_property(std::string& out, std::string_view name, std::string_view value) {
  out.push_back(static_cast<char>(name.size()));
  out.append(name);
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(value.size() >> shift));
  out.append(value);
}

}  // namespace

std::string zmtp_greeting() {
  std::string out(kGreetingBytes, '\0');
  out[0] = static_cast<char>(0xFF);
  out[9] = 0x7F;
  out[10] = 3;  // version 3.1
  out[11] = 1;
  out.replace(12, 4, "NULL");
  return out;
}

std::string zmtp_ready(std::string_view socket_type, std::string_view address) {
  std::string body = "\x05READY";
  append_property(body, "Socket-Type", socket_type);
  if (!address.empty()) append_property(body, "X-Address", address);
  return encode_frame(kCommandFlag, body);
}

std::string zmtp_message(std::string_view body) { return encode_frame(0, body); }

std::optional<std::string> zmtp_ready_property(std::string_view body, std::string_view wanted) {
  constexpr std::string_view kReady = "\x05READY";
  if (!body.starts_with(kReady)) return std::nullopt;
  body.remove_prefix(kReady.size());
  while (!body.empty()) {
    const auto name_size = static_cast<unsigned char>(body[0]);
    if (body.size() < 1U + name_size + 4U) return std::nullopt;
    const std::string_view name = body.substr(1, name_size);
    const std::uint64_t value_size = big_endian(body.substr(1U + name_size, 4));
    body.remove_prefix(1U + name_size + 4U);
    if (value_size > body.size()) return std::nullopt;
    if (name == wanted) return std::string(body.substr(0, value_size));
    body.remove_prefix(value_size);
  }
  return std::nullopt;
}

void ZmtpDecoder::feed(std::string_view bytes) {
  if (consumed_ > 0 && consumed_ == buffer_.size()) {
    buffer_.clear();
    consumed_ = 0;
  }
  buffer_.append(bytes);
}

std::size_t ZmtpDecoder::memory_bytes() {
  constexpr std::size_t kMaxIdleBytes = 1U << 16;
  if (consumed_ == buffer_.size() && buffer_.capacity() > kMaxIdleBytes) {
    std::string().swap(buffer_);
    consumed_ = 0;
  }
  return buffer_.capacity();
}

ZmtpDecoder::Result ZmtpDecoder::next(ZmtpFrame& out) {
  std::string_view rest = std::string_view(buffer_).substr(consumed_);
  if (!greeting_seen_) {
    if (rest.size() < kGreetingBytes) return Result::kNeedMore;
    const bool signature = rest[0] == static_cast<char>(0xFF) && rest[9] == 0x7F;
    const bool mechanism =
        rest.substr(12, 20) == std::string_view("NULL\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0", 20);
    if (!signature || rest[10] < 3 || !mechanism) return Result::kError;
    greeting_seen_ = true;
    consumed_ += kGreetingBytes;
    rest.remove_prefix(kGreetingBytes);
  }
  if (rest.size() < 2) return Result::kNeedMore;
  const auto flags = static_cast<unsigned char>(rest[0]);
  if ((flags & ~(kMoreFlag | kLongFlag | kCommandFlag)) != 0) return Result::kError;
  const std::size_t header_size = (flags & kLongFlag) != 0 ? 9 : 2;
  if (rest.size() < header_size) return Result::kNeedMore;
  const std::uint64_t size = big_endian(rest.substr(1, header_size - 1));
  if (size > kMaxFrameBytes) return Result::kError;
  if (rest.size() - header_size < size) return Result::kNeedMore;
  out.is_command = (flags & kCommandFlag) != 0;
  out.has_more = (flags & kMoreFlag) != 0;
  out.body.assign(rest.substr(header_size, size));
  consumed_ += header_size + size;
  // Decoded bytes are erased in large pieces, as each erase moves the rest of the buffer.
  constexpr std::size_t kCompactThresholdBytes = 1U << 16;
  if (consumed_ >= kCompactThresholdBytes) {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
  }
  return Result::kFrame;
}

}  // namespace nettlestand::tier
