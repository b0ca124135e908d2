// One replica of a consensus group: Raft (Ongaro's dissertation) with pre-vote, check-quorum, leader leases
// and membership changes by joint consensus. It does no I/O and is deterministic: time is passed in,
// randomness comes from a seed, and the host writes to disk and sends messages.
//
// The host calls step(), tick() or propose(), and then, while has_ready(): take_ready(), write and sync the
// durable part, send the messages, apply the committed entries, and call persisted().
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "consensus/quorum.h"
#include "consensus/replica_log.h"

namespace nettlestand::tier::consensus {

enum class Role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

// Time settings, in ms.
struct Timing {
  Millis heartbeat_interval = 100;
  Millis min_election_timeout = 400;  // also how long a follower grants no vote after hearing from a leader
  Millis max_election_timeout = 750;
  // A leader whose messages a majority has acknowledged within this time knows that no other was elected.
  Millis lease_duration = 300;
};

// Work for the host. The order of the fields is the order in which it has to be done.
struct Ready {
  std::optional<HardState> hard;
  std::optional<Snapshot> snapshot;  // to install: replaces the state machine and the log up to its index
  std::vector<LogEntry> entries;     // to append; an entry replaces the one at its index and all later ones
  std::vector<Message> messages;     // to send once all of the above is durable
  std::vector<LogEntry> committed;   // to apply, in order
};

// The Raft state machine of one replica.
class Replica {
 public:
  Replica(ReplicaId id, StoredState stored, Timing timing, std::uint64_t seed, Millis now);

  // Starts a new group. The host must guarantee that only one replica does this.
  void bootstrap(std::vector<Member> members);

  // Lets time pass: elections, heartbeats and check-quorum.
  void tick(Millis now);
  // Handles a message from another replica.
  void step(Millis now, const Message& message);
  // Appends a command to the log. Returns the entry's index, or nothing if this replica is not the leader.
  std::optional<LogIndex> propose(Millis now, std::string command);
  // Replaces the members by joint consensus: until the change is committed, decisions need a majority of both
  // the old and the new members. Refused while another change is in progress or before an entry of this term
  // is committed.
  bool propose_members(Millis now, std::vector<Member> members);
  // Sets the non-voting replicas that receive the log so that they can join later.
  void set_learners(std::vector<Member> learners);

  // Transfers leadership to a member that has the whole log. Returns false if that isn't possible now.
  bool transfer_leadership(Millis now, ReplicaId to);

  bool has_ready() const;
  Ready take_ready();
  // Reports that the last Ready is durable. Entries proposed since then are not.
  void persisted(Millis now);
  // Compacts the log up to the last applied entry; `state` is the state machine's state at that entry.
  void compact(std::string state);

  Role role() const { return role_; }
  Term term() const { return hard_state_.term; }
  ReplicaId id() const { return id_; }
  ReplicaId leader() const { return leader_; }
  bool is_member() const;
  LogIndex applied() const { return applied_index_; }
  Millis leader_since() const { return leader_since_; }
  LogIndex commit_index() const { return commit_index_; }
  std::size_t log_size() const { return log_.size(); }
  std::size_t log_bytes() const { return log_.bytes(); }
  // Whether the log holds entries that are not yet applied.
  bool has_unapplied_entries() const { return log_.last_index() > applied_index_; }
  // The members; during a change, the new ones.
  const std::vector<Member>& members() const { return log_.members().members; }
  const MemberList& member_list() const { return log_.members(); }
  // Whether no membership change is in progress.
  bool members_are_committed() const {
    return !is_joint(log_.members()) && log_.members_index() <= commit_index_;
  }
  const Member* member(ReplicaId id) const;
  // Whether this replica leads, has applied all entries of earlier terms, and has been acknowledged by a
  // majority within the lease, so that it may serve reads without another round trip.
  bool has_lease(Millis now) const;
  // The leader's view of a follower or learner.
  struct Progress {
    LogIndex match = 0, next = 1;   // highest index replicated there, and the next one to send
    Millis last_reply_at = 0;       // when the last reply arrived
    Millis last_acked_sent_at = 0;  // when the newest acknowledged message was sent
    LogIndex snapshot_index = 0;    // of the snapshot in transit; 0: none
    Millis snapshot_sent_at = 0;
  };
  const Progress* progress(ReplicaId id) const;
  StoredState stored() const;

 private:
  bool is_log_up_to_date(const Message& request) const;
  LogIndex conflict_hint(const Message& m) const;
  bool is_voter(ReplicaId id) const { return consensus::is_voter(log_.members(), id); }

  void become_follower(Millis now, Term term, ReplicaId leader);
  void campaign(Millis now, bool pre_vote, bool is_transfer = false);
  void become_leader(Millis now);
  void reset_election_timeout(Millis now);
  LogIndex append(EntryKind kind, std::string data);
  void append_from_leader(const LogEntry& entry);
  void leave_joint(Millis now);
  void broadcast(Millis now, bool heartbeat);
  void send_append(Millis now, ReplicaId to, bool heartbeat);
  void send_snapshot(Millis now, ReplicaId to, Progress& progress);
  bool advance_commit();
  void send(Message message, ReplicaId to);

  void on_vote_request(Millis now, const Message& m);
  void on_vote_reply(Millis now, const Message& m);
  void on_append(Millis now, const Message& m);
  void on_append_reply(Millis now, const Message& m);
  void on_snapshot(Millis now, const Message& m);

  ReplicaId id_;
  Timing timing_;
  std::mt19937_64 random_;

  HardState hard_state_{};
  ReplicaLog log_;

  Role role_ = Role::kFollower;
  ReplicaId leader_ = 0;
  LogIndex commit_index_ = 0, applied_index_ = 0;
  LogIndex durable_index_ = 0;     // last own log entry that is durable
  LogIndex taken_index_ = 0;       // the end of the log when take_ready() was last called
  LogIndex term_start_index_ = 0;  // index of the no-op entry that started this leader's term
  Millis election_deadline_ = 0, leader_heard_at_ = 0, next_heartbeat_at_ = 0, leader_since_ = 0;
  std::set<ReplicaId> votes_;
  std::map<ReplicaId, Progress> progress_;
  std::vector<Member> learners_;

  // Output for the next take_ready().
  bool hard_state_changed_ = false;
  std::optional<Snapshot> pending_snapshot_;
  LogIndex unpersisted_from_ = 0;  // first entry not handed out to be persisted; 0: none
  std::vector<Message> outbox_;
};

}  // namespace nettlestand::tier::consensus
