// A store of batch jobs: the primary of some shards and a replica of others. Connects the clients' calls, the
// runs of items, replication in both directions and the disk. No I/O of its own.
//
// Changes are written to the disk in order, and everything that depends on one (a reply, its entry in the
// table, an acknowledgement to another store) waits until it is durable. So the table holds what the disk
// holds.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/body_integrity.h"
#include "batch/change_writer.h"
#include "batch/job_call_handler.h"
#include "batch/job_journal.h"
#include "batch/job_runner.h"
#include "batch/job_table.h"
#include "batch/replication_receiver.h"
#include "batch/shard_primary.h"
#include "control/control_client.h"
#include "messaging/messenger.h"
#include "node/settings.h"
#include "storage/disk_queue.h"

namespace nettlestand::tier {

// A store's disk: its journal, the table replayed from it at start, and the queue of writes to it.
struct StoreDisk {
  std::unique_ptr<JobTable> table;
  std::unique_ptr<JobJournal> journal;
  std::unique_ptr<storage::DiskQueue> queue;
};

class StoreService : private JobCallHost {
 public:
  StoreService(Messenger& messenger, ControlClient& control_client, const Settings& settings, StoreDisk disk,
               const JobRunnerFactory& runner);
  ~StoreService() override;

  void tick(Millis now);
  void on_placement(Millis now);
  void on_job_call(Millis now, const std::string& from, JobCall call) {
    call_handler_.on_call(now, from, std::move(call));
  }
  void on_replicate(const std::string& from, const Replicate& message) {
    replication_receiver_.on_replicate(from, message);
  }
  void on_replicate_reply(Millis now, const ReplicateReply& reply);
  std::vector<InSyncReport> in_sync_reports();
  storage::DiskQueue* disk_queue() { return disk_.queue.get(); }
  StoreId disk_id() const { return disk_.journal->disk_id(); }
  // Counts the item bodies that were found corrupted on their way through this store.
  const BodyIntegrityCounters& body_check() const { return body_check_; }

 private:
  // This store's tenure as the primary of a shard.
  struct Tenure {
    Tenure(std::uint64_t number, ShardPrimary primary) : number(number), primary(std::move(primary)) {}
    std::uint64_t number;
    ShardPrimary primary;
    std::vector<JobChange> failed_batch;  // a batch whose write failed; it is retried
    std::size_t failed_batch_queued = 0;  // how many of its changes the journal has queued nevertheless
    bool retrying = false;
  };

  // JobCallHost
  bool may_serve(Millis now, const JobKey& key) override;
  bool accepts_job(const JobKey& key, std::size_t memory_bytes) override;
  const Route* route_of(const JobSpec& job) override;
  void change(Millis now, JobChange change) override;
  void stop(const JobKey& key) override { runner_->stop(key); }

  // Whether the jobs and this many bytes more keep within a share of the process's memory.
  bool fits_memory(std::size_t more_bytes, double share) const;
  ShardPrimary* primary_of(const JobKey& key);
  PrimaryTenure tenure_of(const JobKey& key) const;
  bool is_placed_here(const ShardPlacement* row) const;
  void become_primary(const ShardPlacement& row);
  void begin_tenure(std::uint32_t shard);
  void step_down(Millis now, std::uint32_t shard);
  // Drives replication as far as it can go: applies committed batches, writes new ones, sends messages to
  // replicas.
  void advance(Millis now);
  bool take_committed(Millis now);
  void commit(Millis now, const std::vector<JobChange>& batch);
  void write_batches();
  void write_batch(std::uint32_t shard, Tenure& tenure, std::vector<JobChange> batch);
  void on_batch_written(Millis now, std::uint32_t shard, std::uint64_t tenure,
                        const std::vector<JobChange>& batch, const absl::Status& status, std::size_t queued);
  void retry_failed_batches();
  void send_outgoing(Millis now);
  void apply_prefix(Millis now, const std::vector<JobChange>& changes, std::size_t count);
  void add_result(Millis now, const JobKey& key, JobResult result);
  void expire_jobs(Millis now);
  std::vector<JobChange> uncommitted() const;
  void reclaim_segment();

  Messenger& messenger_;
  ControlClient& control_client_;
  const Settings& settings_;
  StoreDisk disk_;
  BodyIntegrityCounters body_check_;
  ChangeWriter writer_;
  ReplicationReceiver replication_receiver_;
  JobCallHandler call_handler_;
  std::unique_ptr<JobRunner> runner_;
  std::map<std::uint32_t, Tenure> tenures_;
  std::uint64_t last_tenure_number_ = 0;
  // The next result position of each job, after those that are not committed yet.
  std::map<JobKey, std::uint32_t> next_positions_;
  Millis next_expiry_check_ = 0;
  bool advancing_ = false;
};

}  // namespace nettlestand::tier
