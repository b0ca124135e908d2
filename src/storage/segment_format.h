// The on-disk format of a segment file: encoding and reading of its header and its records.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "storage/file_system.h"

namespace nettlestand::tier::storage {

constexpr std::size_t kSegmentHeaderBytes = 24;  // magic, generation, checksum
constexpr std::size_t kRecordHeaderBytes = 24;   // magic, length, synced, checksum

std::string segment_header(std::uint64_t generation);
// `synced`: the offset up to which the segment is durable when the record is queued.
std::string encode_record(std::string_view body, std::uint64_t generation, std::uint64_t synced);
// The record that closes a segment: nothing follows it.
std::string encode_seal(std::uint64_t generation, std::uint64_t synced);

struct SegmentHeader {
  std::uint64_t generation = 0;  // 0: unused or torn
  bool is_old_format = false;
};
SegmentHeader parse_segment_header(std::string_view bytes);

// How a segment's records end.
struct SegmentEnd {
  std::uint64_t offset = 0;  // after the last whole record
  bool sealed = false;
  bool damaged = false;  // the record at `offset` had been synced, as a later one shows
};

// Passes the records of a segment to `visit` in order, up to the first that is not whole.
absl::StatusOr<SegmentEnd> read_segment(File& file, std::uint64_t generation, std::uint64_t segment_bytes,
                                        const std::function<void(std::string_view)>& visit);

}  // namespace nettlestand::tier::storage
