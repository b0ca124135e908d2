// The jobs that a store holds: the state machine to which every replica applies the same changes. No I/O.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "messaging/messages.h"

namespace nettlestand::tier {

// Identifies a job; ids are unique within a tenant.
struct JobKey {
  std::string tenant, id;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 of a defaulted comparison for a pointer.
  auto operator<=>(const JobKey&) const = default;
};

// A job with its results so far.
struct Job {
  JobSpec spec{};
  std::vector<JobResult> results;    // by position
  std::vector<bool> has_result;      // by item
  std::uint64_t results_digest = 0;  // chained over the results so far: equal digests mean equal results
  bool ended = false;                // by its client
  Millis accepted_at = 0;            // when this process first applied the job
  std::int64_t waiting_tokens = 0;   // of items without a result
  std::size_t memory_bytes = 0;      // approximate, of the specification and the results

  bool complete() const { return results.size() == spec.items.size(); }
  // Whether items may still run.
  bool open() const { return !complete() && !ended; }
  // Whether an item's content still matches its digest. Meaningless once the item has a result: its body is
  // dropped then.
  bool is_intact(std::uint32_t item) const;
};

// An open job of a tenant. Ordered by age, as a tenant's jobs are served.
struct OpenJob {
  Millis accepted_at = 0;
  std::string id;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 of a defaulted comparison for a pointer.
  auto operator<=>(const OpenJob&) const = default;
};

// Approximate memory that the parts of a job take, with what the allocator adds.
std::size_t memory_of(const JobSpec& spec);
std::size_t memory_of(const JobResult& result);

class JobTable {
 public:
  // Applies a change. Parts that are already applied, or that can't follow on the current state, have no
  // effect.
  void apply(Millis now, const JobChange& change);

  Job* find(const JobKey& key);
  const Job* find(const JobKey& key) const;
  // The jobs of one shard, in the order of their keys.
  std::vector<JobKey> keys_in_shard(std::uint32_t shard) const;
  const std::map<JobKey, Job>& jobs() const { return jobs_; }
  // Tenants that have open jobs.
  std::vector<std::string> open_tenants() const;
  // The oldest open job of a tenant after the given one, or its oldest of all. The table may change between
  // two calls.
  std::optional<OpenJob> next_open_job(const std::string& tenant, const std::optional<OpenJob>& after) const;

  // Approximate memory of all jobs.
  std::size_t memory_bytes() const { return memory_bytes_; }

  JobDigest digest(const JobKey& key) const;
  // A change that makes any replica's copy of the job equal to this one; one that removes it if it isn't
  // here.
  JobChange snapshot_of(const JobKey& key) const;
  // Tokens of a tenant's items on a route that have no result, except in jobs that were ended.
  std::int64_t waiting_tokens(const std::string& tenant, const std::string& route) const;

 private:
  void add_results(Job& job, std::uint32_t first, const std::vector<JobResult>& results);
  void update_open_jobs(const JobKey& key, const Job& job);

  // Adds a job, or replaces it.
  void insert(const JobKey& key, Job job);
  void erase(std::map<JobKey, Job>::iterator job);

  std::map<JobKey, Job> jobs_;
  std::size_t memory_bytes_ = 0;
  std::map<std::string, std::set<OpenJob>> open_jobs_;  // by tenant
};

JobKey key_of(const JobChange& change);

}  // namespace nettlestand::tier
