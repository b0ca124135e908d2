// Exclusive ownership of a data directory among the processes of one machine.
#pragma once

#include <absl/status/statusor.h>

#include <string>

namespace nettlestand::tier::storage {

// An advisory lock on a directory. The operating system releases it when the process has ended, not before
// the process's last write has returned.
class DirectoryLock {
 public:
  // Creates the directory if it does not exist. Returns an UnavailableError if another process holds the
  // lock.
  static absl::StatusOr<DirectoryLock> try_acquire(const std::string& path);
  DirectoryLock(DirectoryLock&& other) noexcept;
  DirectoryLock& operator=(DirectoryLock&& other) noexcept;
  DirectoryLock(const DirectoryLock&) = delete;
  DirectoryLock& operator=(const DirectoryLock&) = delete;
  ~DirectoryLock();

 private:
  explicit DirectoryLock(int descriptor) : descriptor_(descriptor) {}
  int descriptor_;
};

}  // namespace nettlestand::tier::storage
