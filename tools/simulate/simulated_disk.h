// A disk in simulated time: keeps what the page cache shows apart from what the disk holds. A killed process
// leaves the page cache as it was; a loss of power drops any part of what was not synced.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "storage/file_system.h"

namespace nettlestand::tier::simulate {

class SimulatedDisk : public storage::FileSystem {
 public:
  explicit SimulatedDisk(std::uint64_t seed) : random_(seed) {}

  absl::StatusOr<std::unique_ptr<storage::File>> open(const std::string& path, bool create) override;
  absl::Status make_directory(const std::string& path) override;
  absl::Status remove(const std::string& path) override;
  absl::Status sync_directory(const std::string& path) override;

  // Each write that was not synced is kept, lost or torn, by chance; at some losses all of them are gone. A
  // new file that was neither synced itself nor by its folder may be gone, a removed one may be back.
  void lose_power();
  // The disk is replaced by an empty one.
  void wipe();
  // One byte that is provably synced turns bad; false where there is none.
  bool corrupt_synced_byte();

  // Writes fail while the disk is full.
  void set_full(bool full) { full_ = full; }
  // Syncs report success and do nothing: what a process does in the moments before it is killed.
  void set_syncs_ignored(bool ignored) { syncs_ignored_ = ignored; }

 private:
  class OpenFile;
  struct Write {
    std::uint64_t offset = 0;
    std::string bytes;
  };
  struct Content {
    std::string cached, durable;
    std::vector<Write> unsynced;
    std::uint64_t reserved = 0;
    bool name_is_durable = false;
  };
  static std::size_t proven_synced_bytes(const std::string& file);
  static void overwrite(std::string& into, std::uint64_t offset, std::string_view bytes);
  bool chance(double p) { return static_cast<double>(random_() >> 11) * 0x1.0p-53 < p; }

  std::mt19937_64 random_;
  std::map<std::string, std::shared_ptr<Content>> files_;
  std::map<std::string, std::shared_ptr<Content>> unsynced_removals_;  // and not yet gone from the disk
  bool full_ = false, syncs_ignored_ = false;
};

}  // namespace nettlestand::tier::simulate
