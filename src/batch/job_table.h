// The jobs that a storage machine holds: what every copy applies, change by change. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "messaging/messages.h"

namespace nettlestand::tier {

struct JobKey {
  std::string tenant, id;
  auto operator<=>(const JobKey&) const = default;
};

struct Job {
  JobSpec spec{};
  std::vector<JobResult> results;           // by position
  std::vector<bool> listed;                 // items that have a result
  std::vector<std::uint64_t> body_digests;  // of the items' bodies as the job came here
  std::uint64_t chain = 0;                  // of the results so far: equal chains mean equal results
  bool ended = false;                       // by its client
  Millis accepted_at = 0;                   // in this life of the process
  std::int64_t waiting_tokens = 0;          // of items without a result

  bool complete() const { return results.size() == spec.items.size(); }
  // Whether an item's body is still the one that came with the job: it is given up once the item is listed.
  bool has_body(std::uint32_t item) const;
};

class JobTable {
 public:
  // Applies a change; what it has already done, or what can't follow on what is held, changes nothing.
  void apply(Millis now, const JobChange& change);

  Job* find(const JobKey& key);
  const Job* find(const JobKey& key) const;
  // The jobs of one shard, in the order of their keys.
  std::vector<JobKey> keys_of(std::uint32_t shard) const;
  const std::map<JobKey, Job>& jobs() const { return jobs_; }

  JobDigest digest(const JobKey& key) const;
  // A change that makes any copy equal to this one.
  JobChange copy_of(const JobKey& key) const;
  // Tokens of a tenant's items on a route that have no result, in jobs that were not ended.
  std::int64_t waiting_tokens(const std::string& tenant, const std::string& route) const;

 private:
  void add_results(Job& job, std::uint32_t first, const std::vector<JobResult>& results);
  std::map<JobKey, Job> jobs_;
};

JobKey key_of(const JobChange& change);

}  // namespace nettlestand::tier
