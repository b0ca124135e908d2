// The bytes of a segment file: its header, its records, and what a reader makes of them.
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
// `synced`: the offset up to which the segment is on the disk when the record is queued.
std::string encode_record(std::string_view body, std::uint64_t generation, std::uint64_t synced);
// Closes a segment: nothing follows.
std::string encode_seal(std::uint64_t generation, std::uint64_t synced);

struct SegmentHeader {
  std::uint64_t generation = 0;  // 0: unused or torn
  bool is_old_format = false;
};
SegmentHeader parse_segment_header(std::string_view bytes);

// What a segment's records end with.
struct SegmentEnd {
  std::uint64_t offset = 0;  // behind the last whole record
  bool sealed = false;
  bool damaged = false;  // records that had been synced stand behind one that is not whole
};

// Shows the records of a segment in order, up to the first that is not whole.
absl::StatusOr<SegmentEnd> read_segment(File& file, std::uint64_t generation, std::uint64_t segment_bytes,
                                        const std::function<void(std::string_view)>& visit);

}  // namespace nettlestand::tier::storage
