// The file operations that durable state needs. The program's are POSIX calls; simulations have doubles that
// lose what was not synced.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace nettlestand::tier::storage {

class File {
 public:
  virtual ~File() = default;
  // Up to `size` bytes from `offset`; fewer at the end of the file.
  virtual absl::StatusOr<std::string> read(std::uint64_t offset, std::size_t size) = 0;
  // Writes all bytes, or fails; after a failure any part may have been written.
  virtual absl::Status write(std::uint64_t offset, std::string_view bytes) = 0;
  // What was written before is on the disk on return.
  virtual absl::Status sync() = 0;
  // Makes the file so long and takes the room for it, so that writes within don't find the disk full.
  virtual absl::Status reserve(std::uint64_t size) = 0;
};

class FileSystem {
 public:
  virtual ~FileSystem() = default;
  // A NotFoundError where there is no such file and `create` is false.
  virtual absl::StatusOr<std::unique_ptr<File>> open(const std::string& path, bool create) = 0;
  virtual absl::Status make_directory(const std::string& path) = 0;
  // Of a file that is there or not.
  virtual absl::Status remove(const std::string& path) = 0;
  // Names that came or went in the directory are on the disk on return.
  virtual absl::Status sync_directory(const std::string& path) = 0;
};

FileSystem& posix_file_system();

}  // namespace nettlestand::tier::storage
