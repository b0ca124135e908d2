// The replication protocol of one shard's primary: orders the shard's changes, replicates them, and brings
// replicas up to date. Has no I/O: its host writes and sends what it returns.
//
// One batch of changes is in flight at a time. It commits once it is durable here and at every member,
// provided that the placement records as many members as replicas are required. Before a peer gets any batch,
// the primary requests digests of its jobs and repairs those that differ.
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
  // `required_replicas`: disks that have to hold a change before it commits. Messages are numbered after
  // `last_number`, above those of this store's earlier tenures, so that late ones can be told apart: what a
  // peer is first sent under a number follows all that it was sent under lower ones.
  ShardPrimary(std::uint32_t shard, StoreId self, std::size_t required_replicas, const JobTable& table,
               MessageNumber last_number = {})
      : shard_(shard),
        self_(self),
        required_replicas_(required_replicas),
        table_(table),
        last_number_(last_number) {}

  // Takes a new row of the placement in which this store is the primary. Requests the digests of all peers
  // again.
  void set_placement(const ShardPlacement& row);
  std::uint64_t epoch() const { return row_.epoch; }

  // Whether this store may serve reads and changes: all members are in sync with it, and all that it holds
  // has been on enough disks at some time. A store that was just promoted may hold changes that no other has.
  bool ready() const { return history_replicated_ && members_in_sync(); }
  // Whether enough disks take part for new changes, counting joining ones that are not in sync yet.
  bool has_enough_replicas() const { return 1 + peers_.size() >= required_replicas_; }

  // Queues a change; the next batch takes the queued ones, up to its size limit.
  void add(JobChange change) { queued_.push_back(std::move(change)); }
  bool busy() const { return !in_flight_batch_.empty() || !queued_.empty(); }

  // The next batch, which the host writes, syncs and then confirms by on_batch_durable(); empty if none is
  // due.
  std::vector<JobChange> next_batch();
  void on_batch_durable();
  // The messages to send now, among them repeats of those that were not answered in time.
  std::vector<Replicate> outgoing(Millis now);
  void on_reply(const ReplicateReply& reply);
  // Returns the batch that has just committed, once; empty if none has. The host applies it to the table
  // before any other call.
  std::vector<JobChange> take_committed();
  // The batch in flight if it is durable on this disk and not committed, else nothing. The second one also
  // takes it out.
  std::vector<JobChange> durable_uncommitted() const;
  std::vector<JobChange> take_durable_uncommitted();
  // Reports the joining stores that are in sync. Commits wait for them from then on.
  std::vector<InSyncReport> in_sync_reports();

 private:
  struct Peer {
    // Commits wait for it: it is a member, or a joining one that was reported as in sync.
    bool required_for_commit = false;
    bool joining = false;
    bool digest_received = false;
    std::optional<MessageNumber> digest_request;  // number of the digest request in flight
    std::set<JobKey> outdated_jobs;               // jobs that it does not hold as the primary does
    std::set<JobKey> jobs_in_repair;              // of these, in the repair in flight and unchanged since
    std::optional<MessageNumber> repair_number;   // of the repair in flight
    std::vector<JobChange> repair_changes;
    std::optional<MessageNumber> batch_number;  // of the batch in flight, once it was sent
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
