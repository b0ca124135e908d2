#include "control/journal.h"

#include <algorithm>

#include "base/codec.h"
#include "node/log.h"

namespace nettlestand::tier {
namespace {

constexpr std::size_t kMinSegments = 4;
constexpr std::size_t kMaxSegments = 6;
// Segments that only a checkpoint may use. Each start of the process takes a segment, and a machine whose
// disk has none left could never start again.
constexpr std::size_t reserved_segments_of(std::size_t segments) { return segments / 3; }
constexpr std::size_t checkpoint_threshold(std::size_t segments) { return segments / 2; }

enum class RecordKind : std::uint8_t { kIdentity, kHardState, kSnapshot, kEntry, kBootstrap };

struct Identity {
  BOOST_HANA_DEFINE_STRUCT(Identity, (std::uint64_t, disk_id));
};
struct RecordHeader {
  BOOST_HANA_DEFINE_STRUCT(RecordHeader, (RecordKind, kind), (GroupId, group));
};

template <class T>
std::string encode_record(RecordKind kind, GroupId group, const T& body) {
  RecordHeader header{};
  header.kind = kind;
  header.group = group;
  Encoder encoder;
  encoder.put(header);
  encoder.put(body);
  return encoder.take();
}

}  // namespace

absl::StatusOr<std::unique_ptr<ControlJournal>> ControlJournal::load(const storage::RingOptions& options) {
  std::unique_ptr<ControlJournal> journal(new ControlJournal());
  auto ring = storage::SegmentRing::open(
      options, [&](std::string_view record, storage::Generation) { journal->load_record(record); });
  if (!ring.ok()) return ring.status();
  journal->ring_ = *std::move(ring);
  return journal;
}

absl::StatusOr<std::unique_ptr<ControlJournal>> ControlJournal::open(const Options& options,
                                                                     std::uint64_t new_disk_id) {
  storage::RingOptions ring;
  ring.directory = options.directory;
  ring.files = options.files;
  ring.segment_bytes = options.segment_bytes;
  const auto fitting = static_cast<std::size_t>((options.disk_mb << 20) / options.segment_bytes);
  ring.max_segments = std::clamp(fitting, kMinSegments, kMaxSegments);
  ring.reserved_segments = reserved_segments_of(ring.max_segments);
  auto journal = load(ring);
  const bool is_corrupt = absl::IsDataLoss(journal.status());
  if (is_corrupt) {
    NETTLESTAND_WARNING(
        "control journal is corrupt; starting with an empty one error=" << journal.status().message());
    if (absl::Status status = storage::SegmentRing::erase(ring); !status.ok()) return status;
    journal = load(ring);
  }
  if (!journal.ok()) return journal;
  if ((*journal)->disk_id_ != 0) {
    const absl::Status status = (*journal)->rewrite_at_open();
    if (!status.ok()) return status;
    return journal;
  }
  if (!is_corrupt) {
    (*journal)->bootstrap_.takes_part = !options.first_start_seeds.empty();
    (*journal)->bootstrap_.seeds = options.first_start_seeds;
  }
  if (absl::Status status = (*journal)->initialize(new_disk_id); !status.ok()) return status;
  return journal;
}

absl::Status ControlJournal::initialize(std::uint64_t disk_id) {
  disk_id_ = disk_id;
  if (absl::Status status = append_identity(); !status.ok()) return status;
  return sync();
}

void ControlJournal::load_record(std::string_view record) {
  Decoder decoder(record);
  RecordHeader header{};
  decoder.get(header);
  consensus::StoredState& state = stored_[header.group];
  switch (header.kind) {
    case RecordKind::kIdentity:
      decoder.get(disk_id_);
      return;
    case RecordKind::kBootstrap:
      decoder.get(bootstrap_);
      return;
    case RecordKind::kHardState:
      decoder.get(state.hard);
      return;
    case RecordKind::kSnapshot: {
      consensus::Snapshot snapshot{};
      decoder.get(snapshot);
      if (decoder.complete()) state.add(std::move(snapshot));
      return;
    }
    case RecordKind::kEntry: {
      consensus::LogEntry entry{};
      decoder.get(entry);
      if (decoder.complete()) state.add(std::move(entry));
      return;
    }
  }
}

consensus::StoredState ControlJournal::take_stored_state(GroupId group) {
  const auto found = stored_.find(group);
  if (found == stored_.end()) return {};
  consensus::StoredState out = std::move(found->second);
  stored_.erase(found);
  return out;
}

absl::Status ControlJournal::append_identity() {
  Identity identity{};
  identity.disk_id = disk_id_;
  absl::Status status = ring_->append(encode_record(RecordKind::kIdentity, 0, identity)).status();
  if (!status.ok() || !bootstrap_.takes_part) return status;
  return ring_->append(encode_record(RecordKind::kBootstrap, 0, bootstrap_)).status();
}

absl::Status ControlJournal::append_bootstrap(BootstrapState state) {
  bootstrap_ = std::move(state);
  return ring_->append(encode_record(RecordKind::kBootstrap, 0, bootstrap_)).status();
}

absl::Status ControlJournal::append(GroupId group, const consensus::Ready& ready) {
  absl::Status status = absl::OkStatus();
  const auto add = [&](RecordKind kind, const auto& body) {
    if (status.ok()) status = ring_->append(encode_record(kind, group, body)).status();
  };
  if (ready.hard) add(RecordKind::kHardState, *ready.hard);
  if (ready.snapshot) add(RecordKind::kSnapshot, *ready.snapshot);
  for (const consensus::LogEntry& entry : ready.entries) add(RecordKind::kEntry, entry);
  return status;
}

bool ControlJournal::needs_checkpoint() const {
  return ring_->free_segments() <= checkpoint_threshold(ring_->max_segments());
}

absl::Status ControlJournal::checkpoint(const std::map<GroupId, consensus::StoredState>& groups) {
  if (absl::Status status = ring_->roll(); !status.ok()) return status;
  return write_with_reserve(groups);
}

// Opening the journal has started a new, empty segment; the checkpoint goes there.
absl::Status ControlJournal::rewrite_at_open() {
  if (ring_->free_segments() > reserved_segments_of(ring_->max_segments())) return absl::OkStatus();
  return write_with_reserve(stored_);
}

absl::Status ControlJournal::write_with_reserve(const std::map<GroupId, consensus::StoredState>& groups) {
  ring_->allow_reserved_segments(true);
  absl::Status status = write_groups(groups);
  ring_->allow_reserved_segments(false);
  return status;
}

// Once this has returned ok, everything needed is in the current and later segments, and the others are free.
absl::Status ControlJournal::write_groups(const std::map<GroupId, consensus::StoredState>& groups) {
  const storage::Generation first = ring_->current();
  if (absl::Status status = append_identity(); !status.ok()) return status;
  for (const auto& [group, state] : groups) {
    consensus::Ready whole;
    whole.hard = state.hard;
    whole.snapshot = state.snapshot;
    whole.entries = state.entries;
    if (absl::Status status = append(group, whole); !status.ok()) return status;
  }
  if (absl::Status status = ring_->sync(); !status.ok()) return status;
  ring_->release_before(first);
  return absl::OkStatus();
}

}  // namespace nettlestand::tier
