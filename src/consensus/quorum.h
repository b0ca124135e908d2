// Quorum computations over a group's members, including joint consensus.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

#include "consensus/messages.h"

namespace nettlestand::tier::consensus {

inline bool contains(const std::vector<Member>& members, ReplicaId id) {
  return std::any_of(members.begin(), members.end(), [id](const Member& m) { return m.id == id; });
}

// Whether a membership change is in progress.
inline bool is_joint(const MemberList& list) { return !list.outgoing.empty(); }

// Whether the replica is a voter in either list.
inline bool is_voter(const MemberList& list, ReplicaId id) {
  return contains(list.members, id) || contains(list.outgoing, id);
}

// The voters of both lists, without duplicates.
inline std::vector<Member> voters(const MemberList& list) {
  std::vector<Member> out = list.members;
  for (const Member& member : list.outgoing) {
    if (!contains(list.members, member.id)) out.push_back(member);
  }
  return out;
}

// Whether `holds` is true for a majority of the members and, in joint consensus, of the outgoing members too.
template <class Predicate>
bool has_quorum(const MemberList& list, Predicate holds) {
  const auto majority = [&holds](const std::vector<Member>& members) {
    const auto count =
        std::count_if(members.begin(), members.end(), [&](const Member& m) { return holds(m.id); });
    return static_cast<std::size_t>(count) >= members.size() / 2 + 1;
  };
  return majority(list.members) && (list.outgoing.empty() || majority(list.outgoing));
}

// The highest log index that a quorum has reached. `reached` returns the index of one voter.
template <class Reached>
LogIndex quorum_index(const MemberList& list, Reached reached) {
  const auto majority_index = [&reached](const std::vector<Member>& members) {
    std::vector<LogIndex> indexes;
    indexes.reserve(members.size());
    for (const Member& member : members) indexes.push_back(reached(member.id));
    std::sort(indexes.begin(), indexes.end(), std::greater<>());
    return indexes.empty() ? LogIndex{0} : indexes[members.size() / 2];
  };
  const LogIndex current = majority_index(list.members);
  return list.outgoing.empty() ? current : std::min(current, majority_index(list.outgoing));
}

}  // namespace nettlestand::tier::consensus
