#include "standins/common/http.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <cstring>

namespace nettlestand::standins {
namespace {

constexpr std::size_t kMaxHeadBytes = 64 * 1024;
constexpr std::size_t kKeptBodyBytes = 256;  // of the start of a body

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

bool same(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r')) {
    text.remove_suffix(1);
  }
  return text;
}

// Calls `visit(name, value)` for each header until it returns false.
template <class Visit>
void each_field(std::string_view lines, Visit&& visit) {
  while (!lines.empty()) {
    const std::size_t end = std::min(lines.find('\n'), lines.size());
    const std::string_view line = lines.substr(0, end);
    lines.remove_prefix(std::min(end + 1, lines.size()));
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) throw MessageError("header line without a colon");
    if (!visit(line.substr(0, colon), trimmed(line.substr(colon + 1)))) return;
  }
}

}  // namespace

std::string_view MessageHead::field(std::string_view name) const {
  std::string_view out;
  each_field(lines, [&](std::string_view key, std::string_view value) {
    if (!same(key, name)) return true;
    out = value;
    return false;
  });
  return out;
}

std::string_view MessageHead::word(int which) const {
  std::string_view rest = start;
  for (; which > 0; --which) {
    const std::size_t space = rest.find(' ');
    if (space == std::string_view::npos) return {};
    rest.remove_prefix(space + 1);
  }
  return rest.substr(0, rest.find(' '));
}

int MessageHead::status() const {
  int out = 0;
  const std::string_view text = word(1);
  std::from_chars(text.data(), text.data() + text.size(), out);
  return out;
}

std::optional<MessageHead> parse_head(std::string_view bytes) {
  const std::size_t end = bytes.find("\r\n\r\n");
  if (end == std::string_view::npos) {
    if (bytes.size() > kMaxHeadBytes) throw MessageError("message head too long");
    return std::nullopt;
  }
  MessageHead out;
  out.size = end + 4;
  const std::size_t line = bytes.find("\r\n");
  out.start = bytes.substr(0, line);
  if (out.start.find("HTTP/1.") == std::string_view::npos) throw MessageError("not an HTTP message");
  if (line < end) out.lines = bytes.substr(line + 2, end - line);
  each_field(out.lines, [&](std::string_view name, std::string_view value) {
    if (same(name, "content-length")) {
      std::uint64_t length = 0;
      const auto [stop, bad] = std::from_chars(value.data(), value.data() + value.size(), length);
      if (bad != std::errc() || stop != value.data() + value.size())
        throw MessageError("invalid Content-Length");
      out.length = length;
    } else if (same(name, "transfer-encoding")) {
      out.chunked = same(value, "chunked");
    } else if (same(name, "connection")) {
      out.close = same(value, "close");
    }
    return true;
  });
  return out;
}

void BodyReader::append_body(std::string_view piece) {
  digest_.add(piece);
  size_ += piece.size();
  if (start_.size() < kKeptBodyBytes) start_.append(piece.substr(0, kKeptBodyBytes - start_.size()));
}

std::size_t BodyReader::take(std::string_view bytes) {
  if (done_) return 0;
  if (kind_ == Kind::kUntilClose) {
    append_body(bytes);
    return bytes.size();
  }
  if (kind_ == Kind::kLength) {
    const std::size_t part = static_cast<std::size_t>(std::min<std::uint64_t>(left_, bytes.size()));
    append_body(bytes.substr(0, part));
    left_ -= part;
    done_ = left_ == 0;
    return part;
  }
  std::size_t from = 0;
  while (!done_ && from < bytes.size()) {
    const std::string_view rest = bytes.substr(from);
    if (part_ == Part::kData) {
      const std::size_t part = static_cast<std::size_t>(std::min<std::uint64_t>(left_, rest.size()));
      append_body(rest.substr(0, part));
      from += part;
      left_ -= part;
      if (left_ == 0) part_ = Part::kDataEnd;
      continue;
    }
    const std::size_t end = rest.find("\r\n");
    if (end == std::string_view::npos) break;
    const std::string_view line = rest.substr(0, end);
    from += end + 2;
    if (part_ == Part::kDataEnd) {
      if (!line.empty()) throw MessageError("chunk data longer than its size");
      part_ = Part::kSize;
    } else if (part_ == Part::kSize) {
      const auto [stop, bad] = std::from_chars(line.data(), line.data() + line.size(), left_, 16);
      if (bad != std::errc() || (stop != line.data() + line.size() && *stop != ';')) {
        throw MessageError("invalid chunk size");
      }
      part_ = left_ == 0 ? Part::kTrailers : Part::kData;
    } else if (line.empty()) {
      done_ = true;
    } else {
      trailers_.append(line).append("\n");
    }
  }
  return from;
}

std::uint64_t digest_of(std::string_view bytes) { return XXH64(bytes.data(), bytes.size(), 0); }

std::string hex(std::uint64_t value) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out(16, '0');
  for (std::size_t i = 16; i-- > 0; value >>= 4) out[i] = kDigits[value & 15];
  return out;
}

std::string chunk_of(std::string_view bytes) {
  std::array<char, 20> size{};
  const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string out(size.data(), static_cast<std::size_t>(length));
  return out.append(bytes).append("\r\n");
}

}  // namespace nettlestand::standins
