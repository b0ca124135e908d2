// A storage machine: keeps the jobs of its shards, serves calls on them where it is their primary, and has
// their items run. No I/O of its own.
//
// What the disk is to hold is written in order, and what rests on it (an answer, a place in the table, an
// acknowledgement to another copy) waits for that. The table holds what the disk holds.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>

#include "batch/job_journal.h"
#include "batch/job_runner.h"
#include "batch/job_table.h"
#include "batch/shard_primary.h"
#include "control/follower.h"
#include "messaging/messenger.h"
#include "node/settings.h"
#include "storage/disk_queue.h"

namespace nettlestand::tier {

// A storage machine's disk: its journal, what it held at the start, and the queue of writes to it.
struct StoreDisk {
  std::unique_ptr<JobTable> table;
  std::unique_ptr<JobJournal> journal;
  std::unique_ptr<storage::DiskQueue> queue;
};

class StoreService {
 public:
  StoreService(Messenger& messenger, ControlFollower& follower, const Settings& settings, StoreDisk disk,
               const JobRunnerFactory& runner);
  ~StoreService();

  void tick(Millis now);
  void on_placement(Millis now);
  void on_job_call(Millis now, const std::string& from, const JobCall& call);
  void on_replicate(const std::string& from, const Replicate& message);
  void on_replicate_reply(Millis now, const ReplicateReply& reply);
  std::vector<InSync> in_sync();
  storage::DiskQueue* disk_queue() { return disk_.queue.get(); }
  StoreId disk_id() const { return disk_.journal->disk_id(); }

 private:
  // This store's time as the primary of a shard.
  struct Tenure {
    Tenure(std::uint64_t number, ShardPrimary primary) : number(number), primary(std::move(primary)) {}
    std::uint64_t number;
    ShardPrimary primary;
    std::vector<JobChange> refused;  // a batch that the disk has not taken; it is tried again
    std::size_t refused_queued = 0;  // how many of its changes the journal has queued all the same
    bool retrying = false;
  };
  struct Waiting {
    std::string from;
    JobCall call{};
    JobKey key;
    Millis until = 0;
  };
  ShardPrimary* primary_of(const JobKey& key);
  PrimaryTerm term_of(const JobKey& key) const;
  // Whether this store may answer for a job: it is the shard's primary by a lease, and has all copies in
  // line.
  bool is_certain(Millis now, const JobKey& key);
  const ShardPlacement* row_of(std::uint32_t shard) const;
  void lead(const ShardPlacement& row);
  void begin_tenure(std::uint32_t shard);
  void drive(Millis now);
  void write_batches();
  void write_batch(std::uint32_t shard, Tenure& tenure, std::vector<JobChange> batch);
  void on_batch_written(Millis now, std::uint32_t shard, std::uint64_t tenure,
                        const std::vector<JobChange>& batch, const absl::Status& status, std::size_t queued);
  bool take_committed(Millis now);
  bool is_from_primary(const std::string& from, const Replicate& message) const;
  bool is_late(const Replicate& message);
  std::uint64_t first_number_of(std::uint64_t tenure) const;
  void acknowledge(const std::string& from, const Replicate& message);
  void submit_write(storage::DiskQueue::Write write, storage::DiskQueue::Done done);
  // Appends changes to the journal, and tells how many of them it has queued, also where that fails.
  using ChangesDone = std::function<void(Millis now, const absl::Status& status, std::size_t queued)>;
  void write_changes(std::shared_ptr<const std::vector<JobChange>> changes, ChangesDone done);
  void apply_first(Millis now, const std::vector<JobChange>& changes, std::size_t count);
  std::vector<JobChange> uncommitted() const;
  void reclaim();
  void note_disk(const absl::Status& status);
  void send_outgoing(Millis now);
  void commit(Millis now, const std::vector<JobChange>& batch);
  void demote(Millis now, std::uint32_t shard);
  void add_result(Millis now, const JobKey& key, JobResult result);
  void expire_jobs(Millis now);

  void answer(const std::string& to, std::uint64_t call, std::uint32_t status, std::string body);
  // True where the call is answered, false where it has to wait.
  bool try_answer(Millis now, const Waiting& waiting);
  void submit(Millis now, Waiting waiting);
  void end_job(Millis now, Waiting waiting);
  void wait(Waiting waiting) { waiting_.push_back(std::move(waiting)); }
  void answer_waiting(Millis now, const JobKey* key);

  Messenger& messenger_;
  ControlFollower& follower_;
  const Settings& settings_;
  StoreDisk disk_;
  std::unique_ptr<JobRunner> runner_;
  std::map<std::uint32_t, Tenure> tenures_;
  std::uint64_t tenure_numbers_ = 0;
  // The last message of a shard's primary that was taken: older ones, which come late, change nothing.
  struct LastMessage {
    std::uint64_t epoch = 0, number = 0;
  };
  std::map<std::uint32_t, LastMessage> last_messages_;
  std::size_t writes_under_way_ = 0;
  std::map<JobKey, std::int64_t> submitted_;   // tokens of jobs on their way to all copies, by job
  std::map<JobKey, std::uint32_t> positions_;  // results given out, with those on their way
  std::list<Waiting> waiting_;
  Millis next_expiry_ = 0;
  bool driving_ = false, disk_refuses_ = false;
};

}  // namespace nettlestand::tier
