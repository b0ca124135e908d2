// Messages between the replicas of a consensus group, and the state that they persist.
#pragma once

#include <boost/hana.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace nettlestand::tier::consensus {

// Identifies a replica by its disk. A machine that returns with an empty disk gets a new id: it has cast no
// votes and belongs to no group until the members add it.
using ReplicaId = std::uint64_t;
using Term = std::uint64_t;
using LogIndex = std::uint64_t;

// A replica of a group, and where it runs.
struct Member {
  BOOST_HANA_DEFINE_STRUCT(Member, (ReplicaId, id), (std::string, address), (std::string, node));
};

enum class EntryKind : std::uint8_t { kNoop, kCommand, kMembers };

// An entry of the replicated log.
struct LogEntry {
  BOOST_HANA_DEFINE_STRUCT(LogEntry, (Term, term), (LogIndex, index), (EntryKind, kind), (std::string, data));
};

// Raft state that must be durable before a vote is sent or a new term is used.
struct HardState {
  BOOST_HANA_DEFINE_STRUCT(HardState, (Term, term), (ReplicaId, vote));
};

// The voters of a group. During a membership change (joint consensus, section 4.3 of the Raft dissertation)
// `outgoing` holds the previous members, and decisions need a majority of both lists.
struct MemberList {
  BOOST_HANA_DEFINE_STRUCT(MemberList, (std::vector<Member>, members), (std::vector<Member>, outgoing));
};

// The state machine and membership after the entry at `index`; replaces the log up to there.
struct Snapshot {
  BOOST_HANA_DEFINE_STRUCT(Snapshot, (LogIndex, index), (Term, term), (MemberList, members),
                           (std::string, state));
};

enum class MessageKind : std::uint8_t {
  kPreVote,
  kPreVoteReply,
  kVote,
  kVoteReply,
  kAppend,
  kAppendReply,
  kInstallSnapshot,
  kTimeoutNow  // leadership transfer: the leader has stepped down, the receiver should campaign now
};

// A message between replicas. Which fields are used depends on `kind`.
struct Message {
  BOOST_HANA_DEFINE_STRUCT(
      Message, (MessageKind, kind), (ReplicaId, from), (ReplicaId, to), (Term, term),
      // Vote: last index; append: previous index; append reply: match, or hint if rejected.
      (LogIndex, index), (Term, log_term),  // vote: term of the last entry; append: of the previous entry
      (LogIndex, commit),                   // append: the leader's commit index
      (bool, accepted),                     // replies: the outcome; vote: a leadership transfer
      (Millis, sent_at),                    // append: the leader's clock; echoed in the reply
      (std::vector<LogEntry>, entries), (std::vector<Snapshot>, snapshot));
};

}  // namespace nettlestand::tier::consensus
