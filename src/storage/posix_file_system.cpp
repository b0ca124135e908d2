#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "storage/file_system.h"

namespace nettlestand::tier::storage {
namespace {

absl::Status status_from_errno(const char* what, int error) {
  const std::string text = std::string(what) + ": " + std::strerror(error);
  if (error == ENOENT) return absl::NotFoundError(text);
  if (error == ENOSPC) return absl::ResourceExhaustedError(text);
  return absl::UnavailableError(text);
}

class PosixFile : public File {
 public:
  explicit PosixFile(int descriptor) : descriptor_(descriptor) {}
  ~PosixFile() override { ::close(descriptor_); }
  PosixFile(const PosixFile&) = delete;
  PosixFile& operator=(const PosixFile&) = delete;

  absl::StatusOr<std::string> read(std::uint64_t offset, std::size_t size) override {
    std::string out(size, '\0');
    std::size_t done = 0;
    while (done < size) {
      const ssize_t got =
          ::pread(descriptor_, out.data() + done, size - done, static_cast<off_t>(offset + done));
      if (got < 0 && errno == EINTR) continue;
      if (got < 0) return status_from_errno("read", errno);
      if (got == 0) break;
      done += static_cast<std::size_t>(got);
    }
    out.resize(done);
    return out;
  }

  absl::Status write(std::uint64_t offset, std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t written = ::pwrite(descriptor_, bytes.data(), bytes.size(), static_cast<off_t>(offset));
      if (written < 0 && errno == EINTR) continue;
      if (written <= 0) return status_from_errno("write", written == 0 ? ENOSPC : errno);
      bytes.remove_prefix(static_cast<std::size_t>(written));
      offset += static_cast<std::uint64_t>(written);
    }
    return absl::OkStatus();
  }

  absl::Status sync() override {
    return ::fsync(descriptor_) == 0 ? absl::OkStatus() : status_from_errno("sync", errno);
  }

  absl::Status reserve(std::uint64_t size) override {
    const int error = ::posix_fallocate(descriptor_, 0, static_cast<off_t>(size));
    if (error == 0) return absl::OkStatus();
    if (error == ENOSPC) return status_from_errno("reserve", error);
    // Without preallocation a full disk fails a later write instead, which callers handle as well.
    const int result = ::ftruncate(descriptor_, static_cast<off_t>(size));
    return result == 0 ? absl::OkStatus() : status_from_errno("reserve", errno);
  }

 private:
  int descriptor_;
};

class PosixFileSystem : public FileSystem {
 public:
  absl::StatusOr<std::unique_ptr<File>> open(const std::string& path, bool create) override {
    const int descriptor = ::open(path.c_str(), O_RDWR | O_CLOEXEC | (create ? O_CREAT : 0), 0644);
    if (descriptor < 0) return status_from_errno("open", errno);
    return std::make_unique<PosixFile>(descriptor);
  }

  absl::Status make_directory(const std::string& path) override {
    const bool there = ::mkdir(path.c_str(), 0755) == 0 || errno == EEXIST;
    return there ? absl::OkStatus() : status_from_errno("make directory", errno);
  }

  absl::Status remove(const std::string& path) override {
    const bool gone = ::unlink(path.c_str()) == 0 || errno == ENOENT;
    return gone ? absl::OkStatus() : status_from_errno("remove", errno);
  }

  absl::Status sync_directory(const std::string& path) override {
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) return status_from_errno("open directory", errno);
    const int result = ::fsync(descriptor);
    const int error = errno;
    ::close(descriptor);
    return result == 0 ? absl::OkStatus() : status_from_errno("sync directory", error);
  }
};

}  // namespace

FileSystem& posix_file_system() {
  static PosixFileSystem instance;
  return instance;
}

}  // namespace nettlestand::tier::storage
