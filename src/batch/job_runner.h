// Runs the items of the jobs that a store is the primary of, and reports their results.
#pragma once

#include <functional>

#include "batch/job_table.h"

namespace nettlestand::tier {

class JobRunner {
 public:
  struct Hooks {
    // Whether this store is the job's primary, for certain, and the job is open.
    std::function<bool(Millis now, const JobKey&)> may_run;
    std::function<void(Millis now, const JobKey&, JobResult)> done;
  };

  virtual ~JobRunner() = default;
  // Starts what there is room for, oldest jobs first, tenants in turn.
  virtual void pump(Millis now) = 0;
  // A job is no longer this store's, or was ended: its items stop.
  virtual void forget(const JobKey& key) = 0;
};

using JobRunnerFactory = std::function<std::unique_ptr<JobRunner>(const JobTable&, JobRunner::Hooks)>;

}  // namespace nettlestand::tier
