// The file operations that durable state needs. The program uses POSIX calls; simulations use test doubles
// that lose what was not synced.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace nettlestand::tier::storage {

// An open file, accessed by offset.
class File {
 public:
  virtual ~File() = default;
  // Up to `size` bytes from `offset`; fewer at the end of the file.
  virtual absl::StatusOr<std::string> read(std::uint64_t offset, std::size_t size) = 0;
  // Writes all bytes, or fails; after a failure any part may have been written.
  virtual absl::Status write(std::uint64_t offset, std::string_view bytes) = 0;
  // All earlier writes are durable on return.
  virtual absl::Status sync() = 0;
  // Extends the file to `size` and allocates its space, so that writes within it don't find the disk full.
  virtual absl::Status reserve(std::uint64_t size) = 0;
};

class FileSystem {
 public:
  virtual ~FileSystem() = default;
  // Returns a NotFoundError if the file does not exist and `create` is false.
  virtual absl::StatusOr<std::unique_ptr<File>> open(const std::string& path, bool create) = 0;
  virtual absl::Status make_directory(const std::string& path) = 0;
  // Succeeds also if the file does not exist.
  virtual absl::Status remove(const std::string& path) = 0;
  // Names that were created or removed in the directory are durable on return.
  virtual absl::Status sync_directory(const std::string& path) = 0;
};

// The file system of the operating system.
FileSystem& posix_file_system();

}  // namespace nettlestand::tier::storage
