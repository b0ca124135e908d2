// One replica of one group: Raft (Ongaro's dissertation) with pre-vote, check of quorum, leader leases and
// changes of membership by joint consensus. It decides only: time is a number, randomness comes from a seed,
// and whoever hosts it writes to disk and sends.
//
// The host's loop: step with a message, tick or proposal; then, while `has_ready()`: take_ready(), write and
// sync what must be durable, send the messages, apply the committed entries, and tell `persisted()`.
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

struct Timing {
  Millis heartbeat_interval = 100;
  Millis min_election_timeout = 400;  // also the span in which a follower that hears a leader gives no vote
  Millis max_election_timeout = 750;
  Millis lease_duration =
      300;  // a leader that a majority has heard within it knows that no other one is elected
};

struct Ready {
  std::optional<HardState> hard;
  std::optional<Snapshot> snapshot;  // install: replaces the state machine and the log up to its index
  std::vector<LogEntry> entries;     // append; an entry replaces what stands at its index and all behind it
  std::vector<Message> messages;     // send once the above is durable
  std::vector<LogEntry> committed;   // apply, in order
};

class Replica {
 public:
  Replica(ReplicaId id, StoredState stored, Timing timing, std::uint64_t seed, Millis now);

  // Starts a group of which nothing exists yet; the host must have made sure that only one replica does this.
  void bootstrap(std::vector<Member> members);

  void tick(Millis now);
  void step(Millis now, const Message& message);
  // The index of the entry, or nothing where this replica does not lead.
  std::optional<LogIndex> propose(Millis now, std::string command);
  // Replaces the members, by joint consensus: old and new ones decide together until the change is committed.
  // Refused while another change is under way or nothing of this term is committed.
  bool propose_members(Millis now, std::vector<Member> members);
  // Replicas outside the group that are brought up to date, so that they can join.
  void set_learners(std::vector<Member> learners);

  // Hands leadership to a member that has the whole log; false where that can't be done now.
  bool transfer_leadership(Millis now, ReplicaId to);

  bool has_ready() const;
  Ready take_ready();
  // All that the last ready held is durable. What was proposed since is not.
  void persisted(Millis now);
  // The state machine's state up to the last applied entry; the log before it is dropped.
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
  // Whether the log holds entries that are not applied yet.
  bool has_unapplied_entries() const { return log_.last_index() > applied_index_; }
  // Those that will be left once a change that is under way is over.
  const std::vector<Member>& members() const { return log_.members().members; }
  const MemberList& member_list() const { return log_.members(); }
  // Whether no change of them is under way.
  bool members_are_committed() const {
    return !is_joint(log_.members()) && log_.members_index() <= commit_index_;
  }
  const Member* member(ReplicaId id) const;
  // Leading, all of earlier terms applied, and a majority heard within the lease: reads need no further
  // round.
  bool has_lease(Millis now) const;
  // Of a follower or learner: how far it is known to have the log, and when it was last heard.
  struct Progress {
    LogIndex match = 0, next = 1;
    Millis last_reply_at = 0;       // of the reply
    Millis last_acked_sent_at = 0;  // when the message that it answers was sent
    LogIndex snapshot_index = 0;    // of the snapshot that is on its way; 0: none
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
  LogIndex durable_index_ = 0;     // of the own log
  LogIndex taken_index_ = 0;       // the end of the log when take_ready() was last called
  LogIndex term_start_index_ = 0;  // of the leader's first entry
  Millis election_deadline_ = 0, leader_heard_at_ = 0, next_heartbeat_at_ = 0, leader_since_ = 0;
  std::set<ReplicaId> votes_;
  std::map<ReplicaId, Progress> progress_;
  std::vector<Member> learners_;

  // What take_ready() hands out next.
  bool hard_state_changed_ = false;
  std::optional<Snapshot> pending_snapshot_;
  LogIndex unpersisted_from_ = 0;  // 0: none
  std::vector<Message> outbox_;
};

}  // namespace nettlestand::tier::consensus
