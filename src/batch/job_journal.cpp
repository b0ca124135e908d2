#include "batch/job_journal.h"

#include <algorithm>
#include <iterator>

#include "base/body_integrity.h"
#include "batch/item_digest.h"
#include "node/log.h"

namespace nettlestand::tier {
namespace {

constexpr std::size_t kMinSegments = 6;
// Of disk_mb, that the segments may take together.
constexpr double kMaxDiskShare = 0.85;
// Share of free segments below which the jobs of the oldest segment are rewritten to reclaim it.
constexpr double kReclaimBelowFreeShare = 0.25;
// Share of free segments at or below which new jobs are rejected.
constexpr double kRejectJobsBelowFreeShare = 0.15;

enum class RecordKind : std::uint8_t { kIdentity, kChange };

struct Identity {
  BOOST_HANA_DEFINE_STRUCT(Identity, (RecordKind, kind), (StoreId, disk_id));
};

}  // namespace

absl::StatusOr<std::unique_ptr<JobJournal>> JobJournal::load(const storage::RingOptions& options,
                                                             JobTable& table, Millis now) {
  std::unique_ptr<JobJournal> journal(new JobJournal());
  journal->max_segments_ = options.max_segments;
  auto ring = storage::SegmentRing::open(options, [&](std::string_view record, storage::Generation segment) {
    journal->load_record(record, segment, table, now);
  });
  if (!ring.ok()) return ring.status();
  journal->ring_ = *std::move(ring);
  journal->starts_ = journal->ring_->current();  // each start opens a new segment
  return journal;
}

absl::StatusOr<std::unique_ptr<JobJournal>> JobJournal::open(const Options& options,
                                                             std::uint64_t new_identity, JobTable& table,
                                                             Millis now) {
  storage::RingOptions ring;
  ring.directory = options.directory;
  ring.files = options.files;
  ring.segment_bytes = options.segment_bytes;
  const double fitting =
      kMaxDiskShare * static_cast<double>(options.disk_mb << 20) / static_cast<double>(options.segment_bytes);
  ring.max_segments = std::max(kMinSegments, static_cast<std::size_t>(fitting));
  auto journal = load(ring, table, now);
  if (absl::IsDataLoss(journal.status())) {
    NETTLESTAND_WARNING("journal is damaged, starting an empty one error=" << journal.status().message());
    if (absl::Status status = storage::SegmentRing::erase(ring); !status.ok()) return status;
    table = JobTable();
    journal = load(ring, table, now);
  }
  if (!journal.ok()) return journal;
  if (const std::size_t corrupted = (*journal)->corrupted_items_; corrupted > 0) {
    NETTLESTAND_WARNING("item content does not match its digest items=" << corrupted << " step="
                                                                        << name_of(BodyCheckStep::kRestart));
  }
  if ((*journal)->disk_id_ != 0) return journal;
  (*journal)->disk_id_ = new_identity;
  if (absl::Status status = (*journal)->append_identity(); !status.ok()) return status;
  if (absl::Status status = (*journal)->sync(); !status.ok()) return status;
  return journal;
}

void JobJournal::load_record(std::string_view record, storage::Generation segment, JobTable& table,
                             Millis now) {
  Decoder decoder(record);
  RecordKind kind = RecordKind::kChange;
  decoder.get(kind);
  if (kind == RecordKind::kIdentity) {
    decoder.get(disk_id_);
    identity_segment_ = segment;
    return;
  }
  JobChange change{};
  decoder.get(change);
  if (!decoder.complete()) return;
  corrupted_items_ += count_corrupted_items(change);
  table.apply(now, change);
  index_change(change, segment);
}

void JobJournal::index_change(const JobChange& change, storage::Generation segment) {
  const JobKey key = key_of(change);
  auto& here = jobs_by_segment_[segment];
  if (!change.removed) {
    here.insert(key);
    return;
  }
  for (auto& [generation, jobs] : jobs_by_segment_) jobs.erase(key);
}

absl::Status JobJournal::append_identity() {
  Identity identity{};
  identity.kind = RecordKind::kIdentity;
  identity.disk_id = disk_id_;
  const auto segment = ring_->append(encode(identity));
  if (segment.ok()) identity_segment_ = *segment;
  return segment.status();
}

absl::Status JobJournal::append(const JobChange& change) {
  Encoder encoder;
  encoder.put(RecordKind::kChange);
  encoder.put(change);
  const auto segment = ring_->append(encoder.take());
  if (!segment.ok()) return segment.status();
  index_change(change, *segment);
  return absl::OkStatus();
}

bool JobJournal::accepts_jobs() const {
  return static_cast<double>(ring_->free_segments()) >
         kRejectJobsBelowFreeShare * static_cast<double>(max_segments_);
}

// Reclaims the oldest segment first, so that the record that removes a job never disappears before the
// records of the job itself.
std::optional<JobJournal::ReclaimPlan> JobJournal::plan_reclaim(
    const JobTable& table, const std::vector<JobChange>& uncommitted) const {
  ReclaimPlan out;
  out.segment = ring_->oldest();
  if (out.segment == ring_->current()) return std::nullopt;
  const auto jobs = jobs_by_segment_.find(out.segment);
  if (jobs == jobs_by_segment_.end() || jobs->second.empty()) return out;
  const double free = static_cast<double>(ring_->free_segments());
  if (free >= kReclaimBelowFreeShare * static_cast<double>(max_segments_)) return std::nullopt;
  for (const JobKey& key : jobs->second) {
    // A job that stands only in uncommitted changes is kept as well.
    if (table.find(key) != nullptr) out.changes.push_back(table.snapshot_of(key));
    const auto of_job = [&key](const JobChange& change) { return key_of(change) == key; };
    std::copy_if(uncommitted.begin(), uncommitted.end(), std::back_inserter(out.changes), of_job);
  }
  return out;
}

absl::Status JobJournal::reclaim(const ReclaimPlan& plan) {
  absl::Status status = absl::OkStatus();
  for (const JobChange& change : plan.changes) {
    if (status.ok()) status = append(change);
  }
  if (status.ok() && identity_segment_ <= plan.segment) status = append_identity();
  if (status.ok()) status = ring_->sync();
  if (status.ok()) status = ring_->release(plan.segment);
  if (status.ok()) jobs_by_segment_.erase(plan.segment);
  return status;
}

}  // namespace nettlestand::tier
