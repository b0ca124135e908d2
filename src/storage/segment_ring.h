// Durable records in a ring of preallocated segment files.
//
// Every record carries its length and a checksum that also covers the generation of its segment, so that
// remains of an earlier use of the file are never taken for records. It also carries how far its segment had
// been synced when it was queued, and a segment is closed with a seal before the next one is started. So a
// start can tell a torn tail, which was never acknowledged, from damage to synced records. After a start
// nothing is appended to an old segment: writes go to a new one, of the next generation. Format:
// docs/design/system.md, "Files".
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "storage/file_system.h"

namespace nettlestand::tier::storage {

// Numbers the uses of segment files; never reused.
using Generation = std::uint64_t;

struct RingOptions {
  std::string directory;
  std::uint64_t segment_bytes = 8U << 20;
  std::size_t max_segments = 8;
  std::size_t reserved_segments = 0;  // left free by appends, unless allow_reserved_segments() is set
  FileSystem* files = &posix_file_system();
};

class SegmentRing {
 public:
  using Visitor = std::function<void(std::string_view record, Generation segment)>;

  // Opens the ring, or creates an empty one, and passes all its records to `visit` in the order in which they
  // were written. All of them are durable on return, also those that a killed process had written and not
  // synced. Returns a DataLossError if synced records are damaged or missing: the records visited until then
  // must not be used.
  static absl::StatusOr<std::unique_ptr<SegmentRing>> open(RingOptions options, const Visitor& visit);
  // Removes all segments, so that an empty ring can be opened.
  static absl::Status erase(const RingOptions& options);

  // Queues a record; it is durable once sync() has returned ok. Fails if the ring is full.
  absl::StatusOr<Generation> append(std::string_view record);
  absl::Status sync();
  // Lets appends use the reserved segments: for writes that free others.
  void allow_reserved_segments(bool used) { may_use_reserved_ = used; }
  // Seals the current segment and starts a new one for further appends.
  absl::Status roll();
  // Frees a segment whose records are no longer needed. The current segment is left alone.
  absl::Status release(Generation segment);
  void release_before(Generation segment);

  Generation current() const { return current_; }
  // The oldest segment in use. The generations in use have no gap.
  Generation oldest() const { return segments_.begin()->first; }
  // Safe to call on any thread.
  std::size_t free_segments() const { return free_segments_; }
  std::size_t max_segments() const { return options_.max_segments; }
  std::uint64_t max_record_bytes() const;

 private:
  explicit SegmentRing(RingOptions options);
  absl::Status load(const Visitor& visit);
  absl::Status load_segment(Generation generation, std::size_t file, const Visitor& visit);
  absl::Status find_segments();
  absl::Status check_headers();
  absl::Status seal(File& file, Generation generation, std::uint64_t offset);
  absl::Status start_segment(std::size_t number);
  std::string path_of(std::size_t file) const;
  void update_free_segments() { free_segments_ = options_.max_segments - segments_.size(); }

  RingOptions options_;
  std::map<Generation, std::size_t> segments_;  // generation to number of the file
  std::vector<bool> file_exists_;
  std::atomic<std::size_t> free_segments_;
  Generation current_ = 0;
  std::unique_ptr<File> file_;
  std::uint64_t offset_ = 0;  // after what has been written and synced
  std::string pending_;
  bool may_use_reserved_ = false;
};

}  // namespace nettlestand::tier::storage
