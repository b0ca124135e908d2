// The primary of one shard: orders its changes, has them kept by all copies, and brings copies up to date.
// Decides only: what it returns is sent and written by the host.
//
// One batch of changes is under way at a time. It is committed once it is durable here and at every member,
// and while the recorded members are as many as the copies that are wanted. A peer is told first of all what
// differs from the primary's own jobs, found by digests.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "batch/job_table.h"

namespace nettlestand::tier {

class ShardPrimary {
 public:
  // `copies`: disks that have to hold a change before it counts. Messages are numbered from behind
  // `last_number`, above those of this store's earlier times as a primary, so that late ones are told apart:
  // what a peer is sent first under a number comes behind all that it was sent under lower ones.
  ShardPrimary(std::uint32_t shard, StoreId self, std::size_t required_replicas, const JobTable& table,
               MessageNumber last_number = {})
      : shard_(shard),
        self_(self),
        required_replicas_(required_replicas),
        table_(table),
        last_number_(last_number) {}

  // A new row of the placement in which this store is the primary. All peers are asked anew what they hold.
  void set_placement(const ShardPlacement& row);
  std::uint64_t epoch() const { return row_.epoch; }

  // Whether this store may be read and changed: all members hold what it holds, and all that it holds has
  // once stood on enough disks. A store that was just promoted may hold changes that nobody else has.
  bool ready() const { return history_replicated_ && members_in_sync(); }
  // Whether enough disks take part for new changes, now or once those that join hold all.
  bool has_enough_replicas() const { return 1 + peers_.size() >= required_replicas_; }

  // Queues changes; the next batch takes all that are queued.
  void add(JobChange change) { queued_.push_back(std::move(change)); }
  bool busy() const { return !in_flight_batch_.empty() || !queued_.empty(); }

  // The next batch, to be written and synced here and then told by local_durable(); empty where none is due.
  std::vector<JobChange> next_batch();
  void on_batch_durable();
  // What has to be sent now; repeats what was not answered for a while.
  std::vector<Replicate> outgoing(Millis now);
  void on_reply(const ReplicateReply& reply);
  // The batch that has just been committed, once; empty where none was. The host applies it to the table
  // before it asks for anything else.
  std::vector<JobChange> take_committed();
  // What was handed out as a batch, is not committed, and stands on this disk.
  std::vector<JobChange> durable_uncommitted() const;
  std::vector<JobChange> take_durable_uncommitted();
  // Joining stores that hold everything.
  std::vector<InSyncReport> in_sync_reports();

 private:
  struct Peer {
    bool required_for_commit =
        false;  // commits wait for it: a member, or a joining one that was reported as in sync
    bool joining = false;
    bool digest_received = false;
    std::optional<MessageNumber> digest_request;  // of the question for its digests that is out
    std::set<JobKey> outdated_jobs;               // jobs that it does not hold as they are here
    std::set<JobKey> jobs_in_repair;              // of these, in the repair that is out, and unchanged since
    std::optional<MessageNumber> repair_number;   // of the repair that is out
    std::vector<JobChange> repair_changes;
    std::optional<MessageNumber> batch_number;  // of the batch that is under way, once it was sent
    bool batch_acked = false;
    Millis digest_requested_at = 0, repair_sent_at = 0, batch_sent_at = 0;

    bool is_in_sync() const { return digest_received && outdated_jobs.empty(); }
  };
  MessageNumber next_number();
  bool members_in_sync() const;
  bool may_commit() const { return row_.members.size() >= required_replicas_; }
  void update_history_replicated();
  Replicate new_message(StoreId to) const;
  void send_repair(Millis now, StoreId id, Peer& peer, std::vector<Replicate>& out);
  void try_commit();

  std::uint32_t shard_;
  StoreId self_;
  std::size_t required_replicas_;
  const JobTable& table_;
  ShardPlacement row_{};
  std::map<StoreId, Peer> peers_;
  std::vector<JobChange> queued_, in_flight_batch_, committed_;
  MessageNumber last_number_;
  bool batch_durable_ = false;
  bool history_replicated_ = false;
};

}  // namespace nettlestand::tier
