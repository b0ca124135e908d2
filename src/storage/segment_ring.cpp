#include "storage/segment_ring.h"

#include <algorithm>
#include <utility>

#include "storage/segment_format.h"

namespace nettlestand::tier::storage {
namespace {

std::string segment_path(const std::string& directory, std::size_t file) {
  return directory + "/segment-" + std::to_string(file);
}

absl::Status damaged_error(Generation generation) {
  return absl::DataLossError("segment of generation " + std::to_string(generation) + " is damaged");
}

}  // namespace

SegmentRing::SegmentRing(RingOptions options)
    : options_(std::move(options)),
      file_exists_(options_.max_segments, false),
      free_segments_(options_.max_segments) {}

absl::StatusOr<std::unique_ptr<SegmentRing>> SegmentRing::open(RingOptions options, const Visitor& visit) {
  std::unique_ptr<SegmentRing> ring(new SegmentRing(std::move(options)));
  if (absl::Status status = ring->load(visit); !status.ok()) return status;
  if (absl::Status status = ring->roll(); !status.ok()) return status;
  return ring;
}

absl::Status SegmentRing::erase(const RingOptions& options) {
  for (std::size_t file = 0; file < options.max_segments; ++file) {
    absl::Status status = options.files->remove(segment_path(options.directory, file));
    if (!status.ok()) return status;
  }
  return options.files->sync_directory(options.directory);
}

std::string SegmentRing::path_of(std::size_t file) const { return segment_path(options_.directory, file); }

std::uint64_t SegmentRing::max_record_bytes() const {
  return options_.segment_bytes - kSegmentHeaderBytes - 2 * kRecordHeaderBytes;  // its own and the seal's
}

// ---------------------------------------------------------------- start

absl::Status SegmentRing::load(const Visitor& visit) {
  absl::Status status = options_.files->make_directory(options_.directory);
  if (status.ok()) status = find_segments();
  // Names that a killed process has created have to be durable before anything depends on them.
  if (status.ok()) status = options_.files->sync_directory(options_.directory);
  if (!status.ok()) return status;
  if (status = check_headers(); !status.ok()) return status;
  for (const auto& [generation, file] : segments_) {
    if (status = load_segment(generation, file, visit); !status.ok()) return status;
    current_ = generation;
  }
  update_free_segments();
  return absl::OkStatus();
}

absl::Status SegmentRing::find_segments() {
  for (std::size_t number = 0; number < options_.max_segments; ++number) {
    const auto file = options_.files->open(path_of(number), false);
    if (absl::IsNotFound(file.status())) continue;
    if (!file.ok()) return file.status();
    file_exists_[number] = true;
    // The page cache shows what a killed process has written, whether it was synced or not.
    if (absl::Status status = (*file)->sync(); !status.ok()) return status;
    const auto bytes = (*file)->read(0, kSegmentHeaderBytes);
    if (!bytes.ok()) return bytes.status();
    const SegmentHeader header = parse_segment_header(*bytes);
    if (header.is_old_format) return absl::FailedPreconditionError("segments are of an older format");
    if (header.generation != 0) segments_[header.generation] = number;
  }
  return absl::OkStatus();
}

// Segments are released oldest first, so a gap between generations means that a header was lost. The header
// of the newest segment may be missing if it was being written: then no record of its generation follows it.
absl::Status SegmentRing::check_headers() {
  if (segments_.empty()) return absl::OkStatus();
  const Generation newest = segments_.rbegin()->first;
  if (newest - segments_.begin()->first + 1 != segments_.size()) return damaged_error(newest);
  std::vector<bool> readable(options_.max_segments, false);
  for (const auto& [generation, number] : segments_) readable[number] = true;
  for (std::size_t number = 0; number < options_.max_segments; ++number) {
    if (readable[number] || !file_exists_[number]) continue;
    const auto file = options_.files->open(path_of(number), false);
    if (!file.ok()) return file.status();
    const auto end = read_segment(**file, newest + 1, options_.segment_bytes, [](std::string_view) {});
    if (!end.ok()) return end.status();
    if (end->offset > kSegmentHeaderBytes) return damaged_error(newest + 1);
  }
  return absl::OkStatus();
}

absl::Status SegmentRing::load_segment(Generation generation, std::size_t number, const Visitor& visit) {
  const auto file = options_.files->open(path_of(number), false);
  if (!file.ok()) return file.status();
  const auto end = read_segment(**file, generation, options_.segment_bytes,
                                [&](std::string_view record) { visit(record, generation); });
  if (!end.ok()) return end.status();
  if (end->sealed) return absl::OkStatus();
  // A segment is sealed before the next one is started, so only the newest may lack its seal.
  const bool newest = generation == segments_.rbegin()->first;
  if (end->damaged || !newest) return damaged_error(generation);
  return seal(**file, generation, end->offset);
}

// ---------------------------------------------------------------- writing

absl::Status SegmentRing::seal(File& file, Generation generation, std::uint64_t offset) {
  if (absl::Status status = file.write(offset, encode_seal(generation, offset)); !status.ok()) return status;
  return file.sync();
}

absl::Status SegmentRing::roll() {
  if (file_) {
    if (absl::Status status = sync(); !status.ok()) return status;
    if (absl::Status status = seal(*file_, current_, offset_); !status.ok()) return status;
  }
  std::vector<bool> taken(options_.max_segments, false);
  for (const auto& [generation, file] : segments_) taken[file] = true;
  const auto free = std::find(taken.begin(), taken.end(), false);
  if (free == taken.end()) return absl::ResourceExhaustedError("no free segment");
  return start_segment(static_cast<std::size_t>(free - taken.begin()));
}

absl::Status SegmentRing::start_segment(std::size_t number) {
  auto file = options_.files->open(path_of(number), true);
  if (!file.ok()) return file.status();
  const Generation generation = current_ + 1;
  absl::Status status = (*file)->reserve(options_.segment_bytes);
  if (status.ok()) status = (*file)->write(0, segment_header(generation));
  if (status.ok()) status = (*file)->sync();
  if (status.ok() && !file_exists_[number]) status = options_.files->sync_directory(options_.directory);
  if (!status.ok()) return status;
  file_exists_[number] = true;
  file_ = *std::move(file);
  current_ = generation;
  segments_[generation] = number;
  offset_ = kSegmentHeaderBytes;
  update_free_segments();
  return absl::OkStatus();
}

absl::StatusOr<Generation> SegmentRing::append(std::string_view record) {
  if (record.size() > max_record_bytes()) return absl::InvalidArgumentError("record larger than a segment");
  const std::size_t needed = 2 * kRecordHeaderBytes + record.size();  // with space for the seal
  if (offset_ + pending_.size() + needed > options_.segment_bytes) {
    if (!may_use_reserved_ && free_segments_ <= options_.reserved_segments) {
      return absl::ResourceExhaustedError("no free segment but the reserved ones");
    }
    if (absl::Status status = roll(); !status.ok()) return status;
  }
  pending_ += encode_record(record, current_, offset_);
  return current_;
}

absl::Status SegmentRing::sync() {
  if (pending_.empty()) return absl::OkStatus();
  if (absl::Status status = file_->write(offset_, pending_); !status.ok()) return status;
  if (absl::Status status = file_->sync(); !status.ok()) return status;
  offset_ += pending_.size();
  pending_.clear();
  return absl::OkStatus();
}

absl::Status SegmentRing::release(Generation segment) {
  const auto found = segments_.find(segment);
  if (found == segments_.end() || segment == current_) return absl::OkStatus();
  const auto file = options_.files->open(path_of(found->second), false);
  if (!file.ok()) return file.status();
  absl::Status status = (*file)->write(0, std::string(kSegmentHeaderBytes, '\0'));
  if (status.ok()) status = (*file)->sync();
  if (!status.ok()) return status;
  segments_.erase(found);
  update_free_segments();
  return absl::OkStatus();
}

void SegmentRing::release_before(Generation segment) {
  while (!segments_.empty() && segments_.begin()->first < segment) {
    if (!release(segments_.begin()->first).ok()) return;
  }
}

}  // namespace nettlestand::tier::storage
