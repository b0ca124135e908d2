// The digest of a batch item's content: taken where a submission is parsed, carried with the item, and
// compared at each step on its way to a server.
#pragma once

#include <cstddef>
#include <cstdint>

#include "messaging/messages.h"

namespace nettlestand::tier {

// Covers id, path, headers and body.
std::uint64_t content_digest(const JobItem& item);
// Takes the digest of an item that has just been parsed.
void set_digest(JobItem& item);
// Whether an item still is what was submitted.
bool is_intact(const JobItem& item);
// Items of a new job, or of a job's copy, that are not what was submitted. Listed items don't count: their
// bodies have been given up.
std::size_t count_corrupted_items(const JobChange& change);

}  // namespace nettlestand::tier
