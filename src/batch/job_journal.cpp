#include "batch/job_journal.h"

#include <algorithm>

namespace nettlestand::tier {
namespace {

constexpr std::uint64_t kSegmentBytes = 12U << 20;  // the largest job with its results fits
constexpr std::size_t kLeastSegments = 6;
constexpr double kUsedShare = 0.85;    // of the disk that the ring may take
constexpr double kCopyBelow = 0.25;    // of the segments free: the oldest is emptied
constexpr double kRefuseBelow = 0.15;  // of the segments free: no new jobs

enum class RecordKind : std::uint8_t { kIdentity, kChange };

struct Identity {
  BOOST_HANA_DEFINE_STRUCT(Identity, (RecordKind, kind), (StoreId, disk_id));
};

}  // namespace

absl::StatusOr<std::unique_ptr<JobJournal>> JobJournal::open(const std::string& directory,
                                                             std::uint64_t disk_mb,
                                                             std::uint64_t new_identity, JobTable& table,
                                                             Millis now) {
  std::unique_ptr<JobJournal> journal(new JobJournal());
  storage::RingOptions options;
  options.directory = directory;
  options.segment_bytes = kSegmentBytes;
  const double fitting = kUsedShare * static_cast<double>(disk_mb << 20) / static_cast<double>(kSegmentBytes);
  journal->segments_ = options.max_segments = std::max(kLeastSegments, static_cast<std::size_t>(fitting));
  auto ring = storage::SegmentRing::open(options, [&](std::string_view record, storage::Generation segment) {
    journal->load(record, segment, table, now);
  });
  if (!ring.ok()) return ring.status();
  journal->ring_ = *std::move(ring);
  if (journal->disk_id_ == 0) {
    journal->disk_id_ = new_identity;
    if (absl::Status status = journal->append_identity(); !status.ok()) return status;
    if (absl::Status status = journal->sync(); !status.ok()) return status;
  }
  return journal;
}

void JobJournal::load(std::string_view record, storage::Generation segment, JobTable& table, Millis now) {
  Decoder decoder(record);
  RecordKind kind = RecordKind::kChange;
  decoder.get(kind);
  if (kind == RecordKind::kIdentity) {
    decoder.get(disk_id_);
    identity_in_ = segment;
    return;
  }
  JobChange change{};
  decoder.get(change);
  if (!decoder.complete()) return;
  table.apply(now, change);
  note(change, segment);
}

void JobJournal::note(const JobChange& change, storage::Generation segment) {
  const JobKey key = key_of(change);
  auto& here = jobs_in_[segment];
  if (!change.removed) {
    here.insert(key);
    return;
  }
  for (auto& [generation, jobs] : jobs_in_) jobs.erase(key);
}

absl::Status JobJournal::append_identity() {
  Identity identity{};
  identity.kind = RecordKind::kIdentity;
  identity.disk_id = disk_id_;
  const auto segment = ring_->append(encode(identity));
  if (segment.ok()) identity_in_ = *segment;
  return segment.status();
}

absl::Status JobJournal::append(const JobChange& change) {
  Encoder encoder;
  encoder.put(RecordKind::kChange);
  encoder.put(change);
  const auto segment = ring_->append(encoder.take());
  if (!segment.ok()) return segment.status();
  note(change, *segment);
  return absl::OkStatus();
}

bool JobJournal::accepts_jobs() const {
  return static_cast<double>(ring_->free_segments()) > kRefuseBelow * static_cast<double>(segments_);
}

void JobJournal::reclaim(const JobTable& table) {
  // In order of age: the record that removes a job is never given up before the job's own.
  while (!jobs_in_.empty() && jobs_in_.begin()->first != ring_->current()) {
    auto& [segment, jobs] = *jobs_in_.begin();
    const bool scarce =
        static_cast<double>(ring_->free_segments()) < kCopyBelow * static_cast<double>(segments_);
    if (!jobs.empty() && !scarce) return;
    const std::set<JobKey> moving = jobs;
    for (const JobKey& key : moving) {
      if (!append(table.copy_of(key)).ok()) return;
    }
    if (identity_in_ <= segment && !append_identity().ok()) return;
    if (!ring_->sync().ok() || !ring_->release(segment).ok()) return;
    jobs_in_.erase(jobs_in_.begin());
  }
}

}  // namespace nettlestand::tier
