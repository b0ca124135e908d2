#include "consensus/replica.h"

#include <algorithm>

#include "base/codec.h"

namespace nettlestand::tier::consensus {
namespace {

// Limit of the entry data in one message; the first entry may exceed it.
constexpr std::size_t kMaxAppendBytes = 512U << 10;
constexpr Millis kSnapshotRetryMs = 1500;  // an unacknowledged snapshot is sent again after this time

}  // namespace

Replica::Replica(ReplicaId id, StoredState stored, Timing timing, std::uint64_t seed, Millis now)
    : id_(id), timing_(timing), random_(seed), hard_state_(stored.hard), log_(std::move(stored)) {
  commit_index_ = applied_index_ = log_.snapshot().index;
  durable_index_ = taken_index_ = log_.last_index();
  // Before a restart this replica may have acknowledged a leader whose lease relies on it granting no vote.
  leader_heard_at_ = now;
  reset_election_timeout(now);
}

void Replica::bootstrap(std::vector<Member> members) {
  Snapshot first{};
  first.index = 1;
  first.term = 1;
  first.members.members = std::move(members);
  log_.install(first);
  hard_state_.term = std::max<Term>(hard_state_.term, 1);
  hard_state_changed_ = true;
  // The first Ready makes it durable before anything is sent.
  commit_index_ = applied_index_ = durable_index_ = 1;
  pending_snapshot_ = std::move(first);
  election_deadline_ = leader_heard_at_ = 0;
}

// ---------------------------------------------------------------- state

bool Replica::is_member() const { return is_voter(id_); }

const Member* Replica::member(ReplicaId id) const {
  for (const auto* list : {&log_.members().members, &log_.members().outgoing, &learners_}) {
    for (const Member& m : *list) {
      if (m.id == id) return &m;
    }
  }
  return nullptr;
}

const Replica::Progress* Replica::progress(ReplicaId id) const {
  const auto found = progress_.find(id);
  return found == progress_.end() ? nullptr : &found->second;
}

bool Replica::has_lease(Millis now) const {
  if (role_ != Role::kLeader || applied_index_ < term_start_index_) return false;
  return has_quorum(log_.members(), [&](ReplicaId id) {
    if (id == id_) return true;
    const Progress* p = progress(id);
    return p != nullptr && p->last_acked_sent_at + timing_.lease_duration > now;
  });
}

StoredState Replica::stored() const {
  StoredState out;
  out.hard = hard_state_;
  if (log_.snapshot().index > 0) out.snapshot = log_.snapshot();
  out.entries = log_.entries();
  return out;
}

LogIndex Replica::append(EntryKind kind, std::string data) {
  LogEntry entry{};
  entry.term = hard_state_.term;
  entry.index = log_.last_index() + 1;
  entry.kind = kind;
  entry.data = std::move(data);
  const LogIndex index = entry.index;
  log_.append(std::move(entry));
  if (unpersisted_from_ == 0) unpersisted_from_ = index;
  return index;
}

void Replica::append_from_leader(const LogEntry& entry) {
  if (entry.index <= log_.snapshot().index) return;
  if (entry.index <= log_.last_index()) {
    if (log_.term_at(entry.index) == entry.term) return;
    log_.truncate_from(entry.index);
    durable_index_ = std::min(durable_index_, entry.index - 1);
    if (unpersisted_from_ >= entry.index) unpersisted_from_ = 0;
  }
  log_.append(entry);
  if (unpersisted_from_ == 0) unpersisted_from_ = entry.index;
}

void Replica::compact(std::string state) { log_.compact(applied_index_, std::move(state)); }

// ---------------------------------------------------------------- roles

void Replica::reset_election_timeout(Millis now) {
  std::uniform_int_distribution<Millis> timeout(timing_.min_election_timeout, timing_.max_election_timeout);
  election_deadline_ = now + timeout(random_);
}

void Replica::become_follower(Millis now, Term term, ReplicaId leader) {
  if (term > hard_state_.term) {
    hard_state_.term = term;
    hard_state_.vote = 0;
    hard_state_changed_ = true;
  }
  role_ = Role::kFollower;
  leader_ = leader;
  votes_.clear();
  reset_election_timeout(now);
}

void Replica::campaign(Millis now, bool pre_vote, bool is_transfer) {
  role_ = pre_vote ? Role::kPreCandidate : Role::kCandidate;
  leader_ = 0;
  votes_ = {id_};
  reset_election_timeout(now);
  if (!pre_vote) {
    ++hard_state_.term;
    hard_state_.vote = id_;
    hard_state_changed_ = true;
  }
  const bool is_sole_voter = has_quorum(log_.members(), [this](ReplicaId id) { return id == id_; });
  if (is_sole_voter) return pre_vote ? campaign(now, false) : become_leader(now);
  Message request{};
  request.kind = pre_vote ? MessageKind::kPreVote : MessageKind::kVote;
  request.term = pre_vote ? hard_state_.term + 1 : hard_state_.term;
  request.index = log_.last_index();
  request.log_term = log_.last_term();
  request.accepted = is_transfer;
  for (const Member& m : voters(log_.members())) {
    if (m.id != id_) send(request, m.id);
  }
}

void Replica::become_leader(Millis now) {
  role_ = Role::kLeader;
  leader_ = id_;
  leader_since_ = now;
  progress_.clear();
  for (const Member& m : voters(log_.members())) {
    progress_[m.id].next = log_.last_index() + 1;
    progress_[m.id].last_reply_at = now;
  }
  learners_.clear();
  term_start_index_ = append(EntryKind::kNoop, "");
  broadcast(now, true);
}

void Replica::set_learners(std::vector<Member> learners) {
  learners_ = std::move(learners);
  std::erase_if(learners_, [this](const Member& m) { return is_voter(m.id); });
  for (const Member& m : learners_) {
    if (!progress_.contains(m.id)) progress_[m.id].next = log_.last_index() + 1;
  }
}

void Replica::tick(Millis now) {
  if (role_ == Role::kLeader) {
    const bool has_quorum_contact = has_quorum(log_.members(), [&](ReplicaId id) {
      return id == id_ || progress_[id].last_reply_at + timing_.max_election_timeout > now;
    });
    // Check-quorum: the others may have elected another leader.
    if (!has_quorum_contact) return become_follower(now, hard_state_.term, 0);
    if (now >= next_heartbeat_at_) broadcast(now, true);
    return;
  }
  if (now < election_deadline_) return;
  if (!is_member()) return reset_election_timeout(now);
  campaign(now, true);
}

// ---------------------------------------------------------------- proposals

std::optional<LogIndex> Replica::propose(Millis now, std::string command) {
  if (role_ != Role::kLeader) return std::nullopt;
  const LogIndex index = append(EntryKind::kCommand, std::move(command));
  broadcast(now, false);
  return index;
}

bool Replica::propose_members(Millis now, std::vector<Member> members) {
  const bool may_change =
      role_ == Role::kLeader && commit_index_ >= term_start_index_ && log_.members_index() <= commit_index_;
  if (!may_change || is_joint(log_.members()) || members.empty()) return false;
  MemberList list{};
  list.outgoing = log_.members().members;
  list.members = std::move(members);
  append(EntryKind::kMembers, encode(list));
  for (const Member& m : log_.members().members) {
    if (!progress_.contains(m.id)) progress_[m.id].next = log_.last_index() + 1;
    if (progress_[m.id].last_reply_at == 0) progress_[m.id].last_reply_at = now;
  }
  broadcast(now, false);
  return true;
}

// Ends joint consensus once the old and new members have committed the change.
void Replica::leave_joint(Millis now) {
  const bool agreed =
      role_ == Role::kLeader && commit_index_ >= term_start_index_ && log_.members_index() <= commit_index_;
  if (!agreed || !is_joint(log_.members())) return;
  MemberList list{};
  list.members = log_.members().members;
  append(EntryKind::kMembers, encode(list));
  broadcast(now, false);
}

bool Replica::transfer_leadership(Millis now, ReplicaId to) {
  const Progress* p = progress(to);
  if (role_ != Role::kLeader || to == id_ || !contains(log_.members().members, to) || p == nullptr)
    return false;
  if (p->match != log_.last_index() || commit_index_ != log_.last_index()) return false;
  become_follower(now, hard_state_.term, 0);
  Message m{};
  m.kind = MessageKind::kTimeoutNow;
  m.term = hard_state_.term;
  send(std::move(m), to);
  return true;
}

// ---------------------------------------------------------------- messages

void Replica::send(Message message, ReplicaId to) {
  message.from = id_;
  message.to = to;
  outbox_.push_back(std::move(message));
}

void Replica::broadcast(Millis now, bool heartbeat) {
  if (heartbeat) next_heartbeat_at_ = now + timing_.heartbeat_interval;
  for (const Member& m : voters(log_.members())) {
    if (m.id != id_) send_append(now, m.id, heartbeat);
  }
  for (const Member& m : learners_) send_append(now, m.id, heartbeat);
  advance_commit();
}

void Replica::send_append(Millis now, ReplicaId to, bool heartbeat) {
  Progress& p = progress_[to];
  if (p.next <= log_.snapshot().index) return send_snapshot(now, to, p);
  Message m{};
  m.kind = MessageKind::kAppend;
  m.term = hard_state_.term;
  m.index = p.next - 1;
  m.log_term = log_.term_at(m.index);
  m.commit = commit_index_;
  m.sent_at = now;
  std::size_t bytes = 0;
  for (LogIndex i = p.next; i <= log_.last_index() && (bytes == 0 || bytes < kMaxAppendBytes); ++i) {
    m.entries.push_back(log_.at(i));
    bytes += log_.at(i).data.size() + 1;
  }
  if (m.entries.empty() && !heartbeat) return;
  p.next += m.entries.size();
  send(std::move(m), to);
}

void Replica::send_snapshot(Millis now, ReplicaId to, Progress& p) {
  Message m{};
  m.term = hard_state_.term;
  m.sent_at = now;
  if (p.snapshot_index != 0 && now < p.snapshot_sent_at + kSnapshotRetryMs) {
    m.kind = MessageKind::kAppend;  // only a heartbeat while the snapshot is in transit
    m.index = log_.snapshot().index;
    m.log_term = log_.snapshot().term;
    return send(std::move(m), to);
  }
  m.kind = MessageKind::kInstallSnapshot;
  m.snapshot.push_back(log_.snapshot());
  p.snapshot_index = log_.snapshot().index;
  p.snapshot_sent_at = now;
  send(std::move(m), to);
}

void Replica::step(Millis now, const Message& m) {
  if (m.to != id_) return;  // for this machine's previous replica, whose disk was lost
  switch (m.kind) {
    case MessageKind::kPreVote:
    case MessageKind::kVote:
      return on_vote_request(now, m);
    case MessageKind::kPreVoteReply:
    case MessageKind::kVoteReply:
      return on_vote_reply(now, m);
    case MessageKind::kAppend:
      return on_append(now, m);
    case MessageKind::kAppendReply:
      return on_append_reply(now, m);
    case MessageKind::kInstallSnapshot:
      return on_snapshot(now, m);
    case MessageKind::kTimeoutNow:
      if (m.term == hard_state_.term && role_ == Role::kFollower && is_member()) campaign(now, false, true);
      return;
  }
}

bool Replica::is_log_up_to_date(const Message& request) const {
  const Term last_term = log_.last_term();
  if (request.log_term != last_term) return request.log_term > last_term;
  return request.index >= log_.last_index();
}

void Replica::on_vote_request(Millis now, const Message& m) {
  const bool pre_vote = m.kind == MessageKind::kPreVote;
  // A replica that hears from a leader grants no vote against it. Leader leases rely on this.
  const bool hears_leader = now < leader_heard_at_ + timing_.min_election_timeout;
  Message reply{};
  reply.kind = pre_vote ? MessageKind::kPreVoteReply : MessageKind::kVoteReply;
  const bool is_transfer = !pre_vote && m.accepted;  // the old leader has given up its lease
  if (role_ == Role::kLeader || (hears_leader && !is_transfer) || m.term < hard_state_.term) {
    reply.term = hard_state_.term;
    return send(std::move(reply), m.from);
  }
  if (!pre_vote && m.term > hard_state_.term) become_follower(now, m.term, 0);
  const bool can_vote =
      pre_vote ? m.term > hard_state_.term : (hard_state_.vote == 0 || hard_state_.vote == m.from);
  reply.accepted = can_vote && is_log_up_to_date(m);
  // A rejection carries this replica's own term. If it echoed the requested term, a candidate with an
  // outdated log would raise its term with every attempt and keep an up-to-date replica from being elected.
  reply.term = pre_vote && reply.accepted ? m.term : hard_state_.term;
  if (reply.accepted && !pre_vote) {
    hard_state_.vote = m.from;
    hard_state_changed_ = true;
    reset_election_timeout(now);
  }
  send(std::move(reply), m.from);
}

void Replica::on_vote_reply(Millis now, const Message& m) {
  const bool pre_vote = m.kind == MessageKind::kPreVoteReply;
  if (!m.accepted) {
    if (m.term > hard_state_.term) become_follower(now, m.term, 0);
    return;
  }
  if (role_ != (pre_vote ? Role::kPreCandidate : Role::kCandidate)) return;
  if (m.term != (pre_vote ? hard_state_.term + 1 : hard_state_.term) || !is_voter(m.from)) return;
  votes_.insert(m.from);
  if (!has_quorum(log_.members(), [this](ReplicaId id) { return votes_.contains(id); })) return;
  pre_vote ? campaign(now, false) : become_leader(now);
}

void Replica::on_append(Millis now, const Message& m) {
  Message reply{};
  reply.kind = MessageKind::kAppendReply;
  reply.sent_at = m.sent_at;
  if (m.term < hard_state_.term) {
    reply.term = hard_state_.term;
    reply.index = 0;
    return send(std::move(reply), m.from);
  }
  become_follower(now, m.term, m.from);
  leader_heard_at_ = now;
  reply.term = hard_state_.term;
  const bool conflicts = m.index >= log_.snapshot().index && log_.term_at(m.index) != m.log_term;
  if (m.index > log_.last_index() || conflicts) {
    reply.index = conflict_hint(m);
    return send(std::move(reply), m.from);
  }
  LogIndex match = m.index;
  for (const LogEntry& entry : m.entries) {
    match = entry.index;
    append_from_leader(entry);
  }
  match = std::max(match, std::min(commit_index_, log_.last_index()));
  commit_index_ = std::max(commit_index_, std::min(m.commit, match));
  reply.accepted = true;
  reply.index = match;
  send(std::move(reply), m.from);
}

// The index up to which the logs may still match: the end of the own log, or just before the conflicting
// term.
LogIndex Replica::conflict_hint(const Message& m) const {
  LogIndex hint = std::min(log_.last_index(), m.index > 0 ? m.index - 1 : 0);
  const Term differing = log_.term_at(hint);
  while (hint > commit_index_ && log_.term_at(hint) == differing && differing != m.log_term) --hint;
  return std::max(hint, std::min(commit_index_, log_.last_index()));
}

void Replica::on_snapshot(Millis now, const Message& m) {
  if (m.term < hard_state_.term || m.snapshot.empty()) return;
  become_follower(now, m.term, m.from);
  leader_heard_at_ = now;
  const Snapshot& s = m.snapshot.front();
  if (s.index > commit_index_) {
    const bool kept = log_.install(s);
    if (!kept) unpersisted_from_ = 0;
    if (unpersisted_from_ != 0) unpersisted_from_ = std::max(unpersisted_from_, s.index + 1);
    if (unpersisted_from_ > log_.last_index()) unpersisted_from_ = 0;
    commit_index_ = applied_index_ = s.index;
    durable_index_ = std::max(durable_index_, s.index);
    pending_snapshot_ = s;
  }
  Message reply{};
  reply.kind = MessageKind::kAppendReply;
  reply.term = hard_state_.term;
  reply.accepted = true;
  reply.index = std::max(s.index, commit_index_);
  reply.sent_at = m.sent_at;
  send(std::move(reply), m.from);
}

void Replica::on_append_reply(Millis now, const Message& m) {
  if (m.term > hard_state_.term) return become_follower(now, m.term, 0);
  if (role_ != Role::kLeader || m.term < hard_state_.term) return;
  const auto found = progress_.find(m.from);
  if (found == progress_.end()) return;
  Progress& p = found->second;
  p.last_reply_at = now;
  p.last_acked_sent_at = std::max(p.last_acked_sent_at, m.sent_at);
  if (m.accepted) {
    p.match = std::max(p.match, m.index);
    p.next = std::max(p.next, p.match + 1);
    if (p.match >= p.snapshot_index) p.snapshot_index = 0;
    if (advance_commit()) leave_joint(now);
    if (p.next <= log_.last_index()) send_append(now, m.from, false);
  } else if (m.index < p.next) {
    p.next = std::max(p.match, m.index) + 1;
    send_append(now, m.from, true);
  }
}

// Returns whether the commit index has advanced.
bool Replica::advance_commit() {
  if (role_ != Role::kLeader) return false;
  const LogIndex agreed = quorum_index(log_.members(), [this](ReplicaId id) {
    const Progress* p = progress(id);
    return id == id_ ? durable_index_ : p != nullptr ? p->match : 0;
  });
  // Section 5.4.2 of the Raft paper: entries of earlier terms are committed only through one of the own term.
  if (agreed <= commit_index_ || log_.term_at(agreed) != hard_state_.term) return false;
  commit_index_ = agreed;
  return true;
}

// ---------------------------------------------------------------- ready

bool Replica::has_ready() const {
  return hard_state_changed_ || pending_snapshot_ || unpersisted_from_ != 0 || !outbox_.empty() ||
         applied_index_ < commit_index_;
}

Ready Replica::take_ready() {
  Ready out;
  if (hard_state_changed_) out.hard = hard_state_;
  hard_state_changed_ = false;
  out.snapshot = std::move(pending_snapshot_);
  pending_snapshot_.reset();
  if (unpersisted_from_ != 0) {
    for (LogIndex i = unpersisted_from_; i <= log_.last_index(); ++i) out.entries.push_back(log_.at(i));
  }
  unpersisted_from_ = 0;
  taken_index_ = log_.last_index();
  out.messages.swap(outbox_);
  for (LogIndex i = applied_index_ + 1; i <= commit_index_; ++i) out.committed.push_back(log_.at(i));
  applied_index_ = commit_index_;
  return out;
}

void Replica::persisted(Millis now) {
  durable_index_ = std::min(taken_index_, log_.last_index());
  // Followers learn the commit index with the next message; broadcasting now saves them that delay.
  if (advance_commit()) broadcast(now, true);
  leave_joint(now);
  const bool removed = role_ == Role::kLeader && !is_member() && log_.members_index() <= commit_index_;
  if (removed) become_follower(now, hard_state_.term, 0);
}

}  // namespace nettlestand::tier::consensus
