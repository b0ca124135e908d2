// The jobs that a storage machine holds: what every copy applies, change by change. No I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "messaging/messages.h"

namespace nettlestand::tier {

struct JobKey {
  std::string tenant, id;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 of a defaulted comparison for a pointer.
  auto operator<=>(const JobKey&) const = default;
};

struct Job {
  JobSpec spec{};
  std::vector<JobResult> results;    // by position
  std::vector<bool> has_result;      // items that have a result
  std::uint64_t results_digest = 0;  // of the results so far: equal chains mean equal results
  bool ended = false;                // by its client
  Millis accepted_at = 0;            // in this life of the process
  std::int64_t waiting_tokens = 0;   // of items without a result

  bool complete() const { return results.size() == spec.items.size(); }
  // Whether items of it may still run.
  bool open() const { return !complete() && !ended; }
  // Whether an item still is what its client sent: its body is given up once the item is listed.
  bool is_intact(std::uint32_t item) const;
};

// An open job of a tenant, in the order in which its jobs are served: by age.
struct OpenJob {
  Millis accepted_at = 0;
  std::string id;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 of a defaulted comparison for a pointer.
  auto operator<=>(const OpenJob&) const = default;
};

class JobTable {
 public:
  // Applies a change; what it has already done, or what can't follow on what is held, changes nothing.
  void apply(Millis now, const JobChange& change);

  Job* find(const JobKey& key);
  const Job* find(const JobKey& key) const;
  // The jobs of one shard, in the order of their keys.
  std::vector<JobKey> keys_in_shard(std::uint32_t shard) const;
  const std::map<JobKey, Job>& jobs() const { return jobs_; }
  // Tenants that have open jobs.
  std::vector<std::string> open_tenants() const;
  // The oldest open job of a tenant behind another one, or the oldest of all. The table may change between
  // two such questions.
  std::optional<OpenJob> next_open_job(const std::string& tenant, const std::optional<OpenJob>& after) const;

  JobDigest digest(const JobKey& key) const;
  // A change that makes any copy equal to this one.
  JobChange snapshot_of(const JobKey& key) const;
  // Tokens of a tenant's items on a route that have no result, in jobs that were not ended.
  std::int64_t waiting_tokens(const std::string& tenant, const std::string& route) const;

 private:
  void add_results(Job& job, std::uint32_t first, const std::vector<JobResult>& results);
  void update_open_jobs(const JobKey& key, const Job& job);

  std::map<JobKey, Job> jobs_;
  std::map<std::string, std::set<OpenJob>> open_jobs_;  // by tenant
};

JobKey key_of(const JobChange& change);

}  // namespace nettlestand::tier
