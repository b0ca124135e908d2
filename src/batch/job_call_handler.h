// Handles the clients' calls on batch jobs that edge nodes forward to a store: submitting a job, reading its
// results, fetching an item's body, ending a job. A call whose answer depends on uncommitted changes, or on
// results to come, waits here.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>

#include "base/body_integrity.h"
#include "batch/job_table.h"
#include "control/configuration.h"
#include "messaging/messenger.h"

namespace nettlestand::tier {

// What the call handler needs from its store.
class JobCallHost {
 public:
  virtual ~JobCallHost() = default;
  // Whether the store may answer for a job: it is certain to be the primary of the job's shard, and ready.
  virtual bool may_serve(Millis now, const JobKey& key) = 0;
  // Whether a new job can be stored: enough replicas take part, the journal has space, and so has the memory
  // for `memory_bytes`: those of the job and of the submissions that have not committed yet.
  virtual bool accepts_job(const JobKey& key, std::size_t memory_bytes) = 0;
  // The job's route, if the current configuration leads all of its items to it; null otherwise.
  virtual const Route* route_of(const JobSpec& job) = 0;
  // Queues a change at the shard's primary and starts its replication.
  virtual void change(Millis now, JobChange change) = 0;
  // Starts no more items of a job and abandons those that run.
  virtual void stop(const JobKey& key) = 0;
};

class JobCallHandler {
 public:
  JobCallHandler(Messenger& messenger, const JobTable& table, JobCallHost& host,
                 BodyIntegrityCounters& body_check)
      : messenger_(messenger), table_(table), host_(host), body_check_(body_check) {}

  void on_call(Millis now, const std::string& from, JobCall call);
  // Answers the waiting calls whose deadline has passed or whose shard this store may no longer serve.
  void tick(Millis now);
  // A change of a job has committed: answers the calls that have waited for it.
  void on_committed(Millis now, const JobChange& change);
  // This store is no longer a shard's primary: the shard's waiting calls are answered so that their callers
  // turn to the next primary.
  void drop_shard(std::uint32_t shard);
  // Whether a job's submission has not committed yet, so that none of its items may run.
  bool is_submission_pending(const JobKey& key) const { return pending_submissions_.contains(key); }

 private:
  struct WaitingCall {
    std::string from;
    JobCall call{};
    JobKey key;
    Millis deadline = 0;
  };
  void answer(const std::string& to, std::uint64_t call, std::uint32_t status, std::string body);
  void answer(const WaitingCall& waiting, std::uint32_t status, std::string body);
  void submit(Millis now, WaitingCall waiting);
  bool fits_queue_limit(const JobKey& key, const JobSpec& spec, const Route& route) const;
  void end_job(Millis now, WaitingCall waiting);
  void add_waiting(WaitingCall waiting) { waiting_calls_.push_back(std::move(waiting)); }
  // Returns true if the call was answered, false if it has to wait.
  bool try_answer(Millis now, const WaitingCall& waiting);
  bool try_answer_read(const WaitingCall& waiting, const Job* job, bool timed_out);
  void answer_body(const WaitingCall& waiting, const Job* job);

  Messenger& messenger_;
  const JobTable& table_;
  JobCallHost& host_;
  BodyIntegrityCounters& body_check_;
  // What a job takes whose submission has not committed yet.
  struct PendingSubmission {
    std::int64_t tokens = 0;
    std::size_t memory_bytes = 0;
  };
  // Memory for the submissions that have not committed yet and for one more, with all their copies.
  std::size_t memory_in_transit(const JobSpec& one_more) const;

  std::map<JobKey, PendingSubmission> pending_submissions_;
  std::list<WaitingCall> waiting_calls_;
};

}  // namespace nettlestand::tier
