// Clients' calls on the jobs of a store's shards, as edge nodes pass them on: submissions, reads, bodies,
// ends. A call whose answer depends on what is still on its way to disks waits here.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>

#include "base/body_check.h"
#include "batch/job_table.h"
#include "control/configuration.h"
#include "messaging/messenger.h"

namespace nettlestand::tier {

// What calls ask of the store that serves them.
class JobCallHost {
 public:
  virtual ~JobCallHost() = default;
  // Whether the store may answer for a job: it is the shard's primary, for certain.
  virtual bool may_serve(Millis now, const JobKey& key) = 0;
  // Whether a new job can be kept: enough copies take part, and the journal has room.
  virtual bool accepts_jobs(const JobKey& key) = 0;
  virtual const Route* route_named(const std::string& name) = 0;
  // Queues a change at the shard's primary and sets it on its way.
  virtual void change(Millis now, JobChange change) = 0;
  // No item of a job starts any more, and what runs stops.
  virtual void stop(const JobKey& key) = 0;
};

class JobCallHandler {
 public:
  JobCallHandler(Messenger& messenger, const JobTable& table, JobCallHost& host, BodyCheck& body_check)
      : messenger_(messenger), table_(table), host_(host), body_check_(body_check) {}

  void on_call(Millis now, const std::string& from, const JobCall& call);
  // Answers what may be answered by now, and what has waited long enough.
  void tick(Millis now);
  // A change of a job has been committed.
  void on_committed(Millis now, const JobChange& change);
  // A shard is no longer this store's: its calls are sent to the next primary.
  void drop_shard(std::uint32_t shard);
  // Whether a job is on its way to all copies, and nothing of it may run yet.
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
  // True where the call is answered, false where it has to wait.
  bool try_answer(Millis now, const WaitingCall& waiting);
  bool try_answer_read(const WaitingCall& waiting, const Job* job, bool timed_out);
  void answer_body(const WaitingCall& waiting, const Job* job);

  Messenger& messenger_;
  const JobTable& table_;
  JobCallHost& host_;
  BodyCheck& body_check_;
  std::map<JobKey, std::int64_t> pending_submissions_;  // tokens of jobs on their way to all copies
  std::list<WaitingCall> waiting_calls_;
};

}  // namespace nettlestand::tier
