// What replicas of one group say to each other, and what they keep on disk.
#pragma once

#include <boost/hana.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace nettlestand::tier::consensus {

// A replica's identity is its disk's: a machine that comes back with an empty disk is another replica, which
// has promised nothing and belongs to no group until the others take it in.
using ReplicaId = std::uint64_t;
using Term = std::uint64_t;
using LogIndex = std::uint64_t;

struct Member {
  BOOST_HANA_DEFINE_STRUCT(Member, (ReplicaId, id), (std::string, address), (std::string, node));
};

enum class EntryKind : std::uint8_t { kNoop, kCommand, kMembers };

struct LogEntry {
  BOOST_HANA_DEFINE_STRUCT(LogEntry, (Term, term), (LogIndex, index), (EntryKind, kind), (std::string, data));
};

// What must be durable before a vote is given or a term is used.
struct HardState {
  BOOST_HANA_DEFINE_STRUCT(HardState, (Term, term), (ReplicaId, vote));
};

// Who votes in a group. While members are being replaced (joint consensus, section 4.3 of the dissertation)
// `outgoing` holds the members before the change, and decisions need a majority of both lists.
struct MemberList {
  BOOST_HANA_DEFINE_STRUCT(MemberList, (std::vector<Member>, members), (std::vector<Member>, outgoing));
};

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
  kTimeoutNow  // the leader has stepped down so that the receiver may take over
};

// One message between replicas; which members count depends on its kind.
struct Message {
  BOOST_HANA_DEFINE_STRUCT(Message, (MessageKind, kind), (ReplicaId, from), (ReplicaId, to), (Term, term),
                           (LogIndex,
                            index),  // vote: last index; append: previous index; reply: match or hint
                           (Term, log_term),    // vote: last term; append: previous term
                           (LogIndex, commit),  // append: the leader's commit index
                           (bool, accepted),    // replies; vote: the leader itself has asked for the election
                           (Millis, sent_at),   // append: the leader's clock; echoed by the reply
                           (std::vector<LogEntry>, entries), (std::vector<Snapshot>, snapshot));
};

}  // namespace nettlestand::tier::consensus
