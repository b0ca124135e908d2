// Simulated disk that keeps the content of the page cache apart from the durable content. Killing a process
// leaves the page cache as it was; a power loss drops any subset of the writes that were not synced.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "storage/file_system.h"

namespace nettlestand::tier::simulate {

// Random decisions follow from the seed, so a run can be repeated.
class SimulatedDisk : public storage::FileSystem {
 public:
  explicit SimulatedDisk(std::uint64_t seed) : random_(seed) {}

  absl::StatusOr<std::unique_ptr<storage::File>> open(const std::string& path, bool create) override;
  absl::Status make_directory(const std::string& path) override;
  absl::Status remove(const std::string& path) override;
  absl::Status sync_directory(const std::string& path) override;

  // Simulates a power loss. Each unsynced write is kept, lost or torn at random; some power losses drop all
  // of them. A new file that was synced neither itself nor through its directory may be gone, and a removed
  // file may be back.
  void lose_power();
  // Replaces the disk by an empty one.
  void wipe();
  // Flips a bit in a byte that is provably synced. Returns false if there is no such byte.
  bool corrupt_synced_byte();

  // While the disk is full, writes, reservations and the creation of files fail.
  void set_full(bool full) { full_ = full; }
  // While set, syncs report success without effect. Models the last writes of a process that is killed before
  // it syncs them.
  void set_syncs_ignored(bool ignored) { syncs_ignored_ = ignored; }

 private:
  class OpenFile;
  struct Write {
    std::uint64_t offset = 0;
    std::string bytes;
  };
  // A file: `cached` is what reads return, `durable` is what survives a power loss.
  struct Content {
    std::string cached, durable;
    std::vector<Write> unsynced;
    std::uint64_t reserved = 0;
    bool name_is_durable = false;
  };
  // Length of the prefix that the newest record of a segment file proves to be synced; 0 if no record does.
  static std::size_t proven_synced_bytes(const std::string& file);
  static void overwrite(std::string& into, std::uint64_t offset, std::string_view bytes);
  // Returns true with probability `p`.
  bool chance(double p) { return static_cast<double>(random_() >> 11) * 0x1.0p-53 < p; }

  std::mt19937_64 random_;
  std::map<std::string, std::shared_ptr<Content>> files_;
  // Removed by name; may come back after a power loss.
  std::map<std::string, std::shared_ptr<Content>> unsynced_removals_;
  bool full_ = false, syncs_ignored_ = false;
};

}  // namespace nettlestand::tier::simulate
