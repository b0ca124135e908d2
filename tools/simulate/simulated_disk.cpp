#include "simulate/simulated_disk.h"

#include <algorithm>
#include <cstring>
#include <string_view>

#include "storage/segment_format.h"

namespace nettlestand::tier::simulate {
namespace {

constexpr double kAllLostProbability = 0.2;     // a power loss drops everything that was not synced
constexpr double kWriteKeptProbability = 0.45;  // per unsynced write, if not all are dropped
constexpr double kWriteTornProbability = 0.25;
constexpr double kNameKeptProbability = 0.5;

}  // namespace

class SimulatedDisk::OpenFile : public storage::File {
 public:
  OpenFile(SimulatedDisk& disk, std::shared_ptr<Content> content)
      : disk_(disk), content_(std::move(content)) {}

  absl::StatusOr<std::string> read(std::uint64_t offset, std::size_t size) override {
    const std::uint64_t end = std::max<std::uint64_t>(content_->reserved, content_->cached.size());
    if (offset >= end) return std::string();
    std::string out(std::min<std::uint64_t>(size, end - offset), '\0');
    if (offset < content_->cached.size()) content_->cached.copy(out.data(), out.size(), offset);
    return out;
  }
  absl::Status write(std::uint64_t offset, std::string_view bytes) override {
    if (disk_.full_) return absl::ResourceExhaustedError("write: no space");
    overwrite(content_->cached, offset, bytes);
    content_->unsynced.push_back({offset, std::string(bytes)});
    return absl::OkStatus();
  }
  absl::Status sync() override {
    if (disk_.syncs_ignored_) return absl::OkStatus();
    content_->durable = content_->cached;
    content_->unsynced.clear();
    content_->name_is_durable = true;
    return absl::OkStatus();
  }
  absl::Status reserve(std::uint64_t size) override {
    if (disk_.full_) return absl::ResourceExhaustedError("reserve: no space");
    content_->reserved = std::max(content_->reserved, size);
    return absl::OkStatus();
  }

 private:
  SimulatedDisk& disk_;
  std::shared_ptr<Content> content_;
};

void SimulatedDisk::overwrite(std::string& into, std::uint64_t offset, std::string_view bytes) {
  if (into.size() < offset + bytes.size()) into.resize(offset + bytes.size(), '\0');
  into.replace(offset, bytes.size(), bytes);
}

absl::StatusOr<std::unique_ptr<storage::File>> SimulatedDisk::open(const std::string& path, bool create) {
  auto found = files_.find(path);
  if (found == files_.end()) {
    if (!create) return absl::NotFoundError("open: no such file");
    if (full_) return absl::ResourceExhaustedError("open: no space");
    found = files_.emplace(path, std::make_shared<Content>()).first;
  }
  return std::make_unique<OpenFile>(*this, found->second);
}

absl::Status SimulatedDisk::make_directory(const std::string&) { return absl::OkStatus(); }

absl::Status SimulatedDisk::remove(const std::string& path) {
  const auto found = files_.find(path);
  if (found == files_.end()) return absl::OkStatus();
  if (found->second->name_is_durable) unsynced_removals_[path] = found->second;
  files_.erase(found);
  return absl::OkStatus();
}

absl::Status SimulatedDisk::sync_directory(const std::string&) {
  if (syncs_ignored_) return absl::OkStatus();
  for (auto& [path, content] : files_) content->name_is_durable = true;
  unsynced_removals_.clear();
  return absl::OkStatus();
}

void SimulatedDisk::lose_power() {
  const bool all_lost = chance(kAllLostProbability);
  for (auto& [path, content] : unsynced_removals_) {
    if (!files_.contains(path) && chance(kNameKeptProbability)) files_[path] = content;
  }
  unsynced_removals_.clear();
  for (auto at = files_.begin(); at != files_.end();) {
    Content& content = *at->second;
    if (!content.name_is_durable && (all_lost || !chance(kNameKeptProbability))) {
      at = files_.erase(at);
      continue;
    }
    for (const Write& write : content.unsynced) {
      if (all_lost) continue;
      const bool torn = chance(kWriteTornProbability);
      if (!torn && !chance(kWriteKeptProbability)) continue;
      const std::size_t size = torn ? random_() % (write.bytes.size() + 1) : write.bytes.size();
      overwrite(content.durable, write.offset, std::string_view(write.bytes).substr(0, size));
    }
    content.unsynced.clear();
    content.cached = content.durable;
    content.name_is_durable = true;
    ++at;
  }
}

void SimulatedDisk::wipe() {
  files_.clear();
  unsynced_removals_.clear();
}

// Damage behind the proven prefix is not considered: it can't be told from the torn end of a write, which is
// a known limit of the design.
std::size_t SimulatedDisk::proven_synced_bytes(const std::string& file) {
  constexpr std::string_view kRecordMagic = "2REC", kSealMagic = "SEAL";
  constexpr std::size_t kSyncedSizeOffset = 8;
  const std::size_t last = file.rfind(kRecordMagic);
  if (last == std::string::npos || last + storage::kRecordHeaderBytes > file.size()) return 0;
  const std::size_t seal = file.rfind(kSealMagic);
  if (seal != std::string::npos && seal > last) return seal;
  std::uint64_t synced = 0;
  std::memcpy(&synced, file.data() + last + kSyncedSizeOffset, sizeof(synced));
  return static_cast<std::size_t>(std::min<std::uint64_t>(synced, last));
}

bool SimulatedDisk::corrupt_synced_byte() {
  std::vector<Content*> candidates;
  for (auto& [path, content] : files_) {
    if (proven_synced_bytes(content->durable) > 0) candidates.push_back(content.get());
  }
  if (candidates.empty()) return false;
  Content& content = *candidates[random_() % candidates.size()];
  const std::size_t at = random_() % proven_synced_bytes(content.durable);
  content.durable[at] = static_cast<char>(content.durable[at] ^ 0x40);
  if (at < content.cached.size()) content.cached[at] = content.durable[at];
  return true;
}

}  // namespace nettlestand::tier::simulate
