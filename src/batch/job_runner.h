// Runs the items of the jobs that a store is the primary of, and reports their results.
#pragma once

#include <cstdint>
#include <functional>

#include "batch/job_table.h"

namespace nettlestand::tier {

// A store's time as the primary of a job's shard, for logs.
struct PrimaryTenure {
  std::uint64_t epoch = 0;   // of the shard's placement
  std::uint64_t number = 0;  // how often this process has become a primary
};

class JobRunner {
 public:
  struct Hooks {
    // Whether this store is the job's primary, for certain, and the job is open.
    std::function<bool(Millis now, const JobKey&)> may_run;
    std::function<void(Millis now, const JobKey&, JobResult)> report_result;
    std::function<PrimaryTenure(const JobKey&)> tenure_of;
  };

  virtual ~JobRunner() = default;
  // Starts what there is room for, oldest jobs first, tenants in turn.
  virtual void pump(Millis now) = 0;
  // A job's end was asked for: no item of it starts any more, and what runs stops.
  virtual void stop(const JobKey& key) = 0;
  // A job is no longer this store's, or is over.
  virtual void forget(const JobKey& key) = 0;
};

using JobRunnerFactory = std::function<std::unique_ptr<JobRunner>(const JobTable&, JobRunner::Hooks)>;

}  // namespace nettlestand::tier
