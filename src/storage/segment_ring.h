// Durable records in a ring of preallocated segment files.
//
// Every record carries its length, the generation of its segment and a checksum over all of that, so what an
// earlier use of the file left behind is never taken for a record. It also carries how far its segment had
// been synced when it was queued, and a segment that is left for the next one is closed with a seal. So a
// start can tell a torn tail, which was never promised to anybody, from damage to what was synced. After a
// start nothing is appended to an old segment: writes go to a fresh one, of the next generation. Format:
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

// Numbers the uses of segment files, rising for ever.
using Generation = std::uint64_t;

struct RingOptions {
  std::string directory;
  std::uint64_t segment_bytes = 8U << 20;
  std::size_t max_segments = 8;
  std::size_t reserved_segments = 0;  // that appends leave free, but for those between use_reserve() calls
  FileSystem* files = &posix_file_system();
};

class SegmentRing {
 public:
  using Visitor = std::function<void(std::string_view record, Generation segment)>;

  // Opens the ring, or makes an empty one, and shows all its records to `visit` in the order of their
  // writing. All that was shown is on the disk on return, also what a killed process had written and not
  // synced. A DataLossError where records that had been synced are damaged or missing: what was shown until
  // then must not be used.
  static absl::StatusOr<std::unique_ptr<SegmentRing>> open(RingOptions options, const Visitor& visit);
  // Removes all segments, so that an empty ring can be opened.
  static absl::Status erase(const RingOptions& options);

  // Queues a record; it is durable once sync() has returned ok. Fails where the ring is full.
  absl::StatusOr<Generation> append(std::string_view record);
  absl::Status sync();
  // Whether the reserved segments may be used: for what gives others back.
  void allow_reserved_segments(bool used) { may_use_reserved_ = used; }
  // Appends go to a fresh segment from now on.
  absl::Status roll();
  // Gives a segment's space back: none of its records is needed any more. Not the one that is written to.
  absl::Status release(Generation segment);
  void release_before(Generation segment);

  Generation current() const { return current_; }
  // Of the segments in use, which follow on each other without a gap.
  Generation oldest() const { return segments_.begin()->first; }
  // May be asked on any thread.
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
  std::uint64_t offset_ = 0;  // behind what has been written and synced
  std::string pending_;
  bool may_use_reserved_ = false;
};

}  // namespace nettlestand::tier::storage
