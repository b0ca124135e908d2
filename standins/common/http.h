// Reads and writes HTTP/1.1 messages for the test doubles: only what loopback tests need, and fast.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace nettlestand::standins {

// A malformed message, which can't be read further.
struct MessageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The head of a message. The views refer to the buffer that it was parsed from.
struct MessageHead {
  std::string_view start;  // request line or status line
  std::string_view lines;  // the header lines with their line ends
  std::size_t size = 0;    // bytes, including the empty line
  std::optional<std::uint64_t> length;
  bool chunked = false, close = false;

  std::string_view field(std::string_view name) const;  // empty: absent; names are case-insensitive
  std::string_view word(int which) const;               // word of the start line, from 0
  int status() const;                                   // of a response
};

// Parses the head at the start of `bytes`; empty until the head is complete. Throws MessageError.
std::optional<MessageHead> parse_head(std::string_view bytes);

// Digest (XXH64) of a byte stream, independent of how it is split.
class Digest {
 public:
  Digest() { XXH64_reset(&state_, 0); }
  void add(std::string_view bytes) { XXH64_update(&state_, bytes.data(), bytes.size()); }
  std::uint64_t value() const { return XXH64_digest(&state_); }

 private:
  XXH64_state_t state_;
};

// Reads a message body from a stream incrementally.
class BodyReader {
 public:
  enum class Kind { kNone, kLength, kChunked, kUntilClose };
  explicit BodyReader(Kind kind = Kind::kNone, std::uint64_t length = 0)
      : kind_(kind), left_(length), done_(kind == Kind::kNone || (kind == Kind::kLength && length == 0)) {}

  // Consumes the part of `bytes` that belongs to the body and returns its size. Throws MessageError.
  std::size_t take(std::string_view bytes);
  // The connection ended cleanly; this completes only a body without a length.
  void ended() { done_ = done_ || kind_ == Kind::kUntilClose; }
  bool done() const { return done_; }
  std::uint64_t digest() const { return digest_.value(); }
  std::uint64_t size() const { return size_; }
  const std::string& start() const { return start_; }        // the first bytes, at most 256
  const std::string& trailers() const { return trailers_; }  // lines after the last chunk

 private:
  void append_body(std::string_view piece);

  Kind kind_;
  std::uint64_t left_;
  bool done_;
  enum class Part { kSize, kData, kDataEnd, kTrailers } part_ = Part::kSize;
  Digest digest_;
  std::uint64_t size_ = 0;
  std::string start_, trailers_;
};

std::uint64_t digest_of(std::string_view bytes);
std::string hex(std::uint64_t value);  // 16 digits
std::string chunk_of(std::string_view bytes);

}  // namespace nettlestand::standins
