// Durable records in a ring of preallocated segment files.
//
// Every record carries its length, the generation of its segment and a checksum over all of that, so a torn
// or missing write ends a segment and what an earlier use of the file left behind is never taken for a
// record. After a start nothing is appended to an old segment: writes go to a fresh one, of the next
// generation. Format: docs/design/system.md, "Files".
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace nettlestand::tier::storage {

// Numbers the uses of segment files, rising for ever.
using Generation = std::uint64_t;

struct RingOptions {
  std::string directory;
  std::uint64_t segment_bytes = 8U << 20;
  std::size_t max_segments = 8;
};

class SegmentRing {
 public:
  using Visitor = std::function<void(std::string_view record, Generation segment)>;

  // Opens the ring, or makes an empty one, and shows all its records to `visit` in the order of their
  // writing.
  static absl::StatusOr<std::unique_ptr<SegmentRing>> open(RingOptions options, const Visitor& visit);
  ~SegmentRing();
  SegmentRing(const SegmentRing&) = delete;
  SegmentRing& operator=(const SegmentRing&) = delete;

  // Queues a record; it is durable once sync() has returned ok. Fails where the ring is full.
  absl::StatusOr<Generation> append(std::string_view record);
  absl::Status sync();
  // Appends go to a fresh segment from now on.
  absl::Status roll();
  // Gives a segment's space back: none of its records is needed any more. Not the one that is written to.
  absl::Status release(Generation segment);
  void release_before(Generation segment);

  Generation current() const { return current_; }
  std::size_t used_segments() const { return used_.size(); }
  std::size_t free_segments() const { return options_.max_segments - used_.size(); }
  std::uint64_t largest_record() const;

 private:
  explicit SegmentRing(RingOptions options) : options_(std::move(options)) {}
  absl::Status load(const Visitor& visit);
  std::string path_of(std::size_t file) const;

  RingOptions options_;
  std::map<Generation, std::size_t> used_;  // generation to number of the file
  std::vector<bool> file_exists_;
  Generation current_ = 0;
  int fd_ = -1;
  std::uint64_t offset_ = 0;  // behind what has been written
  std::string pending_;
};

}  // namespace nettlestand::tier::storage
