// The digest of a batch item's content: computed when a submission is parsed, carried with the item, and
// checked at each step on its way to a server.
#pragma once

#include <cstddef>
#include <cstdint>

#include "messaging/messages.h"

namespace nettlestand::tier {

// Covers id, path, headers and body.
std::uint64_t content_digest(const JobItem& item);
// Computes and stores the digest of an item that has just been parsed.
void set_digest(JobItem& item);
// Whether an item's content still matches its digest.
bool is_intact(const JobItem& item);
// Counts the items of a new job, or of a job's snapshot, whose content no longer matches their digest. Items
// with a result are skipped: their bodies have been dropped.
std::size_t count_corrupted_items(const JobChange& change);

}  // namespace nettlestand::tier
