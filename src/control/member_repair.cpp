#include "control/member_repair.h"

#include <algorithm>

namespace nettlestand::tier {
namespace {

using consensus::contains;
using consensus::Member;

constexpr Millis kMemberTimeoutMs = 2000;  // after which a silent member is replaced

// Whether the machine has returned with another disk, so that the data of this member is lost for good.
bool is_wiped(const Member& member, const std::vector<Member>& live) {
  return std::any_of(live.begin(), live.end(),
                     [&](const Member& other) { return other.node == member.node && other.id != member.id; });
}

bool is_silent(const consensus::Replica& replica, const Member& member, Millis now) {
  const consensus::Replica::Progress* progress = replica.progress(member.id);
  return progress != nullptr && progress->last_reply_at + kMemberTimeoutMs < now;
}

// Returns a failed member, or null if there is none. Members whose disk is lost are replaced first.
const Member* find_failed_member(const consensus::Replica& replica, const std::vector<Member>& live,
                                 Millis now) {
  const Member* silent = nullptr;
  for (const Member& member : replica.members()) {
    if (member.id == replica.id()) continue;
    if (is_wiped(member, live)) return &member;
    if (silent == nullptr && is_silent(replica, member, now)) silent = &member;
  }
  return silent;
}

// Returns a live machine outside the group, preferably the failed member's own if it is back with an empty
// disk.
const Member* find_replacement(const consensus::Replica& replica, const std::vector<Member>& live,
                               const Member* failed) {
  const Member* found = nullptr;
  for (const Member& candidate : live) {
    if (contains(replica.members(), candidate.id)) continue;
    if (failed != nullptr && candidate.node == failed->node) return &candidate;
    if (found == nullptr) found = &candidate;
  }
  return found;
}

bool is_caught_up(const consensus::Replica& replica, const Member& learner) {
  const consensus::Replica::Progress* progress = replica.progress(learner.id);
  return progress != nullptr && progress->match > 0 && progress->match >= replica.commit_index();
}

}  // namespace

MemberRepair plan_member_repair(const consensus::Replica& replica, const std::vector<Member>& live,
                                std::size_t group_size, Millis now) {
  MemberRepair out;
  if (is_joint(replica.member_list())) return out;
  const Member* failed = find_failed_member(replica, live, now);
  if (failed == nullptr && replica.members().size() >= group_size) return out;
  const Member* replacement = find_replacement(replica, live, failed);
  if (replacement == nullptr) return out;
  out.learners.push_back(*replacement);
  if (!is_caught_up(replica, *replacement)) return out;
  std::vector<Member> members = replica.members();
  if (failed != nullptr) std::erase_if(members, [failed](const Member& m) { return m.id == failed->id; });
  members.push_back(*replacement);
  out.new_members = std::move(members);
  return out;
}

}  // namespace nettlestand::tier
