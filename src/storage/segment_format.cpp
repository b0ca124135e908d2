#include "storage/segment_format.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <iterator>
#include <optional>

namespace nettlestand::tier::storage {
namespace {

constexpr std::uint64_t kSegmentMagic = 0x334753474E4C544EULL;          // "NTLNGSG3"
constexpr std::uint64_t kOldSegmentMagics[] = {0x324753474E4C544EULL,   // "NTLNGSG2"
                                               0x314753474E4C544EULL};  // "NTLNGSG1"
constexpr std::uint32_t kRecordMagic = 0x43455232;
constexpr std::uint32_t kSealMagic = 0x4C414553;
constexpr std::size_t kReadChunkBytes = 1U << 20;

template <class T>
void put(std::string& out, T value) {
  char bytes[sizeof(T)];
  std::memcpy(bytes, &value, sizeof(T));
  out.append(bytes, sizeof(T));
}

template <class T>
T get(std::string_view bytes, std::size_t at) {
  T value;
  std::memcpy(&value, bytes.data() + at, sizeof(T));
  return value;
}

std::uint64_t checksum(std::string_view head, std::string_view body, std::uint64_t generation) {
  const std::uint64_t seed = XXH64(head.data(), head.size(), generation);
  return XXH64(body.data(), body.size(), seed);
}

std::string encode(std::uint32_t magic, std::string_view body, std::uint64_t generation,
                   std::uint64_t synced) {
  std::string out;
  out.reserve(kRecordHeaderBytes + body.size());
  put(out, magic);
  put(out, static_cast<std::uint32_t>(body.size()));
  put(out, synced);
  put(out, checksum(out, body, generation));
  out.append(body);
  return out;
}

struct Record {
  std::string_view body;
  std::uint64_t synced = 0;
  bool is_seal = false;
};

// Reads the records of a segment file through a buffer.
class SegmentReader {
 public:
  SegmentReader(File& file, std::uint64_t generation, std::uint64_t limit)
      : file_(file), generation_(generation), limit_(limit) {}

  // The record at an offset, or nothing if there is no whole one.
  absl::StatusOr<std::optional<Record>> record_at(std::uint64_t offset) {
    const auto head = bytes_at(offset, kRecordHeaderBytes);
    if (!head.ok()) return head.status();
    if (head->size() < kRecordHeaderBytes) return std::nullopt;
    const auto magic = get<std::uint32_t>(*head, 0);
    const auto length = get<std::uint32_t>(*head, 4);
    const bool plausible = (magic == kRecordMagic || magic == kSealMagic) && length <= limit_;
    if (!plausible) return std::nullopt;
    const auto whole = bytes_at(offset, kRecordHeaderBytes + length);
    if (!whole.ok()) return whole.status();
    if (whole->size() < kRecordHeaderBytes + length) return std::nullopt;
    Record out;
    out.body = whole->substr(kRecordHeaderBytes);
    out.synced = get<std::uint64_t>(*whole, 8);
    out.is_seal = magic == kSealMagic;
    const bool good = checksum(whole->substr(0, 16), out.body, generation_) == get<std::uint64_t>(*whole, 16);
    if (!good) return std::nullopt;
    return out;
  }

  // Whether a record after `offset` proves that the bytes at `offset` had been synced. It is searched for
  // where the record at `offset` claims to end, and anywhere in the next kReadChunkBytes: scanning whole
  // segments would make a start too slow.
  absl::StatusOr<bool> was_synced(std::uint64_t offset) {
    const auto head = bytes_at(offset, kRecordHeaderBytes);
    if (!head.ok()) return head.status();
    if (head->size() < kRecordHeaderBytes) return false;
    const std::uint64_t claimed = offset + kRecordHeaderBytes + get<std::uint32_t>(*head, 4);
    auto behind = proves_synced(claimed, offset);
    if (!behind.ok() || *behind) return behind;
    const auto window = bytes_at(offset + 1, kReadChunkBytes);
    if (!window.ok()) return window.status();
    const std::string nearby(*window);
    for (const std::uint32_t magic : {kRecordMagic, kSealMagic}) {
      std::string pattern;
      put(pattern, magic);
      for (std::size_t at = nearby.find(pattern); at != std::string::npos;
           at = nearby.find(pattern, at + 1)) {
        auto found = proves_synced(offset + 1 + at, offset);
        if (!found.ok() || *found) return found;
      }
    }
    return false;
  }

 private:
  absl::StatusOr<bool> proves_synced(std::uint64_t at, std::uint64_t offset) {
    const auto record = record_at(at);
    if (!record.ok()) return record.status();
    return record->has_value() && (*record)->synced > offset;
  }

  // Valid until the next call; fewer bytes than requested at the end of the file.
  absl::StatusOr<std::string_view> bytes_at(std::uint64_t offset, std::size_t size) {
    const bool held = offset >= start_ && offset + size <= start_ + window_.size();
    if (!held) {
      auto bytes = file_.read(offset, std::max(kReadChunkBytes, size));
      if (!bytes.ok()) return bytes.status();
      window_ = *std::move(bytes);
      start_ = offset;
    }
    const auto from = static_cast<std::size_t>(offset - start_);
    return std::string_view(window_).substr(std::min(from, window_.size()), size);
  }

  File& file_;
  std::uint64_t generation_, limit_;
  std::string window_;
  std::uint64_t start_ = 0;
};

}  // namespace

std::string segment_header(std::uint64_t generation) {
  std::string out;
  put(out, kSegmentMagic);
  put(out, generation);
  put(out, checksum(out, {}, generation));
  return out;
}

std::string encode_record(std::string_view body, std::uint64_t generation, std::uint64_t synced) {
  return encode(kRecordMagic, body, generation, synced);
}

std::string encode_seal(std::uint64_t generation, std::uint64_t synced) {
  return encode(kSealMagic, {}, generation, synced);
}

SegmentHeader parse_segment_header(std::string_view bytes) {
  SegmentHeader out;
  if (bytes.size() < kSegmentHeaderBytes) return out;
  const auto magic = get<std::uint64_t>(bytes, 0);
  out.is_old_format = std::find(std::begin(kOldSegmentMagics), std::end(kOldSegmentMagics), magic) !=
                      std::end(kOldSegmentMagics);
  const auto generation = get<std::uint64_t>(bytes, 8);
  const bool good = magic == kSegmentMagic &&
                    get<std::uint64_t>(bytes, 16) == checksum(bytes.substr(0, 16), {}, generation);
  if (good) out.generation = generation;
  return out;
}

absl::StatusOr<SegmentEnd> read_segment(File& file, std::uint64_t generation, std::uint64_t segment_bytes,
                                        const std::function<void(std::string_view)>& visit) {
  SegmentReader reader(file, generation, segment_bytes);
  SegmentEnd end;
  end.offset = kSegmentHeaderBytes;
  for (;;) {
    const auto record = reader.record_at(end.offset);
    if (!record.ok()) return record.status();
    if (!*record) break;
    if ((*record)->is_seal) {
      end.sealed = true;
      return end;
    }
    visit((*record)->body);
    end.offset += kRecordHeaderBytes + (*record)->body.size();
  }
  const auto damaged = reader.was_synced(end.offset);
  if (!damaged.ok()) return damaged.status();
  end.damaged = *damaged;
  return end;
}

}  // namespace nettlestand::tier::storage
