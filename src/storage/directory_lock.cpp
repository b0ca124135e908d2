#include "storage/directory_lock.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "storage/file_system.h"

namespace nettlestand::tier::storage {
namespace {

constexpr int kClosed = -1;

}  // namespace

absl::StatusOr<DirectoryLock> DirectoryLock::try_acquire(const std::string& path) {
  if (absl::Status status = posix_file_system().make_directory(path); !status.ok()) return status;
  const int descriptor = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) return absl::InternalError(path + ": " + std::strerror(errno));
  DirectoryLock lock(descriptor);
  if (::flock(descriptor, LOCK_EX | LOCK_NB) == 0) return lock;
  if (errno == EWOULDBLOCK) return absl::UnavailableError(path + " is in use by another process");
  return absl::InternalError(path + " can't be locked: " + std::strerror(errno));
}

DirectoryLock::DirectoryLock(DirectoryLock&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, kClosed)) {}

DirectoryLock& DirectoryLock::operator=(DirectoryLock&& other) noexcept {
  std::swap(descriptor_, other.descriptor_);
  return *this;
}

DirectoryLock::~DirectoryLock() {
  if (descriptor_ != kClosed) ::close(descriptor_);
}

}  // namespace nettlestand::tier::storage
