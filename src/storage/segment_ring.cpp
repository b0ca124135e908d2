#include "storage/segment_ring.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace nettlestand::tier::storage {
namespace {

constexpr std::uint64_t kSegmentMagic = 0x314753474E4C544EULL;  // "NTLNGSG1"
constexpr std::uint32_t kRecordMagic = 0x43455231;
constexpr std::size_t kSegmentHeaderBytes = 24;  // magic, generation, checksum
constexpr std::size_t kRecordHeaderBytes = 16;   // magic, length, checksum
constexpr std::size_t kReadChunk = 1U << 20;

template <class T>
void put(std::string& out, T value) {
  char bytes[sizeof(T)];
  std::memcpy(bytes, &value, sizeof(T));
  out.append(bytes, sizeof(T));
}

template <class T>
T get(std::string_view bytes, std::size_t at) {
  T value;
  std::memcpy(&value, bytes.data() + at, sizeof(T));
  return value;
}

absl::Status error_of(const char* what) {
  return absl::UnavailableError(std::string(what) + ": " + std::strerror(errno));
}

std::uint64_t checksum(std::string_view bytes, Generation generation) {
  return XXH64(bytes.data(), bytes.size(), generation);
}

std::string segment_header(Generation generation) {
  std::string out;
  put(out, kSegmentMagic);
  put(out, generation);
  put(out, checksum(out, generation));
  return out;
}

// The generation that a segment's header names, or 0 where it is unused or torn.
Generation generation_of(std::string_view header) {
  if (header.size() < kSegmentHeaderBytes || get<std::uint64_t>(header, 0) != kSegmentMagic) return 0;
  const auto generation = get<Generation>(header, 8);
  return get<std::uint64_t>(header, 16) == checksum(header.substr(0, 16), generation) ? generation : 0;
}

absl::Status write_all(int fd, std::string_view bytes, std::uint64_t offset) {
  while (!bytes.empty()) {
    const ssize_t written = ::pwrite(fd, bytes.data(), bytes.size(), static_cast<off_t>(offset));
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return error_of("write");
    bytes.remove_prefix(static_cast<std::size_t>(written));
    offset += static_cast<std::uint64_t>(written);
  }
  return absl::OkStatus();
}

// Up to `size` bytes from `offset`; fewer at the end of the file.
absl::StatusOr<std::string> read_some(int fd, std::uint64_t offset, std::size_t size) {
  std::string out(size, '\0');
  std::size_t done = 0;
  while (done < size) {
    const ssize_t got = ::pread(fd, out.data() + done, size - done, static_cast<off_t>(offset + done));
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) return error_of("read");
    if (got == 0) break;
    done += static_cast<std::size_t>(got);
  }
  out.resize(done);
  return out;
}

absl::Status sync_directory(const std::string& path) {
  const int fd = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return error_of("open directory");
  const int result = ::fsync(fd);
  ::close(fd);
  return result == 0 ? absl::OkStatus() : error_of("sync directory");
}

// Shows the records of one segment, up to the first that is not whole.
absl::Status read_records(int fd, Generation generation, std::uint64_t segment_bytes,
                          const SegmentRing::Visitor& visit) {
  std::string buffer;
  std::uint64_t read_at = kSegmentHeaderBytes;
  std::size_t position = 0;
  const auto need = [&](std::size_t size) -> absl::StatusOr<bool> {
    while (buffer.size() - position < size) {
      if (position > 0) {
        buffer.erase(0, position);
        position = 0;
      }
      const auto chunk = read_some(fd, read_at, std::max(kReadChunk, size - buffer.size()));
      if (!chunk.ok()) return chunk.status();
      if (chunk->empty()) return false;
      read_at += chunk->size();
      buffer += *chunk;
    }
    return true;
  };
  for (;;) {
    const auto header = need(kRecordHeaderBytes);
    if (!header.ok()) return header.status();
    if (!*header) return absl::OkStatus();
    const std::string_view head = std::string_view(buffer).substr(position, kRecordHeaderBytes);
    const auto length = get<std::uint32_t>(head, 4);
    if (get<std::uint32_t>(head, 0) != kRecordMagic || length > segment_bytes) return absl::OkStatus();
    const auto expected = get<std::uint64_t>(head, 8);
    const auto body = need(kRecordHeaderBytes + length);
    if (!body.ok()) return body.status();
    if (!*body) return absl::OkStatus();
    const std::string_view record = std::string_view(buffer).substr(position + kRecordHeaderBytes, length);
    if (checksum(record, generation) != expected) return absl::OkStatus();
    visit(record, generation);
    position += kRecordHeaderBytes + length;
  }
}

}  // namespace

absl::StatusOr<std::unique_ptr<SegmentRing>> SegmentRing::open(RingOptions options, const Visitor& visit) {
  std::unique_ptr<SegmentRing> ring(new SegmentRing(std::move(options)));
  if (const absl::Status status = ring->load(visit); !status.ok()) return status;
  if (const absl::Status status = ring->roll(); !status.ok()) return status;
  return ring;
}

SegmentRing::~SegmentRing() {
  if (fd_ >= 0) ::close(fd_);
}

std::string SegmentRing::path_of(std::size_t file) const {
  return options_.directory + "/segment-" + std::to_string(file);
}

std::uint64_t SegmentRing::largest_record() const {
  return options_.segment_bytes - kSegmentHeaderBytes - kRecordHeaderBytes;
}

absl::Status SegmentRing::load(const Visitor& visit) {
  ::mkdir(options_.directory.c_str(), 0755);
  file_exists_.assign(options_.max_segments, false);
  for (std::size_t file = 0; file < options_.max_segments; ++file) {
    const int fd = ::open(path_of(file).c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) continue;
    file_exists_[file] = true;
    const auto header = read_some(fd, 0, kSegmentHeaderBytes);
    ::close(fd);
    if (!header.ok()) return header.status();
    if (const Generation generation = generation_of(*header); generation != 0) used_[generation] = file;
  }
  for (const auto& [generation, file] : used_) {
    const int fd = ::open(path_of(file).c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) return error_of("open segment");
    const absl::Status status = read_records(fd, generation, options_.segment_bytes, visit);
    ::close(fd);
    if (!status.ok()) return status;
    current_ = generation;
  }
  return absl::OkStatus();
}

absl::Status SegmentRing::roll() {
  if (fd_ >= 0) {
    if (const absl::Status status = sync(); !status.ok()) return status;
  }
  std::vector<bool> taken(options_.max_segments, false);
  for (const auto& [generation, file] : used_) taken[file] = true;
  const auto free = std::find(taken.begin(), taken.end(), false);
  if (free == taken.end()) return absl::ResourceExhaustedError("no free segment");
  const auto file = static_cast<std::size_t>(free - taken.begin());
  const int fd = ::open(path_of(file).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (fd < 0) return error_of("open segment");
  const Generation generation = current_ + 1;
  absl::Status status = absl::OkStatus();
  if (!file_exists_[file] && ::ftruncate(fd, static_cast<off_t>(options_.segment_bytes)) != 0) {
    status = error_of("preallocate");
  }
  if (status.ok()) status = write_all(fd, segment_header(generation), 0);
  if (status.ok() && ::fsync(fd) != 0) status = error_of("sync");
  if (status.ok() && !file_exists_[file]) status = sync_directory(options_.directory);
  if (!status.ok()) {
    ::close(fd);
    return status;
  }
  file_exists_[file] = true;
  if (fd_ >= 0) ::close(fd_);
  fd_ = fd;
  current_ = generation;
  used_[generation] = file;
  offset_ = kSegmentHeaderBytes;
  return absl::OkStatus();
}

absl::StatusOr<Generation> SegmentRing::append(std::string_view record) {
  if (record.size() > largest_record()) return absl::InvalidArgumentError("record larger than a segment");
  if (offset_ + pending_.size() + kRecordHeaderBytes + record.size() > options_.segment_bytes) {
    if (const absl::Status status = roll(); !status.ok()) return status;
  }
  put(pending_, kRecordMagic);
  put(pending_, static_cast<std::uint32_t>(record.size()));
  put(pending_, checksum(record, current_));
  pending_.append(record);
  return current_;
}

absl::Status SegmentRing::sync() {
  if (pending_.empty()) return absl::OkStatus();
  if (const absl::Status status = write_all(fd_, pending_, offset_); !status.ok()) return status;
  if (::fdatasync(fd_) != 0) return error_of("sync");
  offset_ += pending_.size();
  pending_.clear();
  return absl::OkStatus();
}

absl::Status SegmentRing::release(Generation segment) {
  const auto found = used_.find(segment);
  if (found == used_.end() || segment == current_) return absl::OkStatus();
  const int fd = ::open(path_of(found->second).c_str(), O_RDWR | O_CLOEXEC);
  if (fd < 0) return error_of("open segment");
  absl::Status status = write_all(fd, std::string(kSegmentHeaderBytes, '\0'), 0);
  if (status.ok() && ::fdatasync(fd) != 0) status = error_of("sync");
  ::close(fd);
  if (status.ok()) used_.erase(found);
  return status;
}

void SegmentRing::release_before(Generation segment) {
  while (!used_.empty() && used_.begin()->first < segment) {
    if (!release(used_.begin()->first).ok()) return;
  }
}

}  // namespace nettlestand::tier::storage
