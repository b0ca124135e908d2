// The interface of what runs the items of the jobs that a store is the primary of, and reports their results.
#pragma once

#include <cstdint>
#include <functional>

#include "batch/job_table.h"

namespace nettlestand::tier {

// Identifies a store's tenure as the primary of a job's shard, for logs.
struct PrimaryTenure {
  std::uint64_t epoch = 0;   // of the shard's placement
  std::uint64_t number = 0;  // counts how often this process has become a primary
};

class JobRunner {
 public:
  struct Hooks {
    // Whether this store is certain to be the job's primary and the job is open.
    std::function<bool(Millis now, const JobKey&)> may_run;
    std::function<void(Millis now, const JobKey&, JobResult)> report_result;
    std::function<PrimaryTenure(const JobKey&)> tenure_of;
    // Whether there is memory for the results of further items; those that run go on.
    std::function<bool()> has_memory;
  };

  virtual ~JobRunner() = default;
  // Starts items while there is capacity: tenants in turn, each one's oldest job first.
  virtual void pump(Millis now) = 0;
  // The end of a job was requested: none of its items starts any more, and running ones are abandoned.
  virtual void stop(const JobKey& key) = 0;
  // Drops the state of a job that is over, or whose shard this store is no longer the primary of.
  virtual void forget(const JobKey& key) = 0;
};

using JobRunnerFactory = std::function<std::unique_ptr<JobRunner>(const JobTable&, JobRunner::Hooks)>;

}  // namespace nettlestand::tier
