#include "batch/item_digest.h"

#include <string>
#include <string_view>
#include <vector>

#include "base/digest.h"

namespace nettlestand::tier {
namespace {

// Covers the length too, so that bytes that move from one field to the next change the digest.
std::uint64_t extend_digest(std::uint64_t digest, std::string_view field) {
  const std::uint64_t length = field.size();
  const auto* length_bytes = reinterpret_cast<const char*>(&length);
  return digest_of(field, digest_of({length_bytes, sizeof(length)}, digest));
}

std::uint64_t extend_digest(std::uint64_t digest, const std::vector<std::string>& fields) {
  for (const std::string& field : fields) digest = extend_digest(digest, field);
  return digest;
}

}  // namespace

std::uint64_t content_digest(const JobItem& item) {
  std::uint64_t digest = extend_digest(0, item.id);
  digest = extend_digest(digest, item.path);
  digest = extend_digest(digest, item.header_names);
  digest = extend_digest(digest, item.header_values);
  return extend_digest(digest, item.body);
}

void set_digest(JobItem& item) { item.digest = content_digest(item); }

bool is_intact(const JobItem& item) { return item.digest == content_digest(item); }

std::size_t count_corrupted_items(const JobChange& change) {
  std::size_t corrupted = 0;
  for (const JobSpec& spec : change.spec) {
    std::vector<bool> has_result(spec.items.size(), false);
    for (const JobResult& result : change.results) {
      if (result.item < has_result.size()) has_result[result.item] = true;
    }
    for (std::size_t i = 0; i < spec.items.size(); ++i) {
      if (!has_result[i] && !is_intact(spec.items[i])) ++corrupted;
    }
  }
  return corrupted;
}

}  // namespace nettlestand::tier
