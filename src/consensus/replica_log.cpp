#include "consensus/replica_log.h"

#include <utility>

#include "base/codec.h"

namespace nettlestand::tier::consensus {

void StoredState::add(LogEntry entry) {
  const LogIndex first = snapshot ? snapshot->index + 1 : 1;
  if (entry.index < first) return;
  const auto at = static_cast<std::size_t>(entry.index - first);
  if (at > entries.size()) return;
  entries.resize(at);
  entries.push_back(std::move(entry));
}

void StoredState::add(Snapshot next) {
  const LogIndex first = snapshot ? snapshot->index + 1 : 1;
  if (next.index >= first) {
    const auto covered = static_cast<std::size_t>(next.index - first + 1);
    if (covered <= entries.size() && entries[covered - 1].term == next.term) {
      entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(covered));
    } else {
      entries.clear();
    }
  }
  snapshot = std::move(next);
}

ReplicaLog::ReplicaLog(StoredState stored) : entries_(std::move(stored.entries)) {
  if (stored.snapshot) snapshot_ = std::move(*stored.snapshot);
  count_bytes();
  reload_members();
}

Term ReplicaLog::term_at(LogIndex index) const {
  if (index == snapshot_.index) return snapshot_.term;
  if (index < snapshot_.index || index > last_index()) return 0;
  return at(index).term;
}

void ReplicaLog::append(LogEntry entry) {
  const bool changes_members = entry.kind == EntryKind::kMembers;
  bytes_ += entry.data.size();
  entries_.push_back(std::move(entry));
  if (changes_members) reload_members();
}

void ReplicaLog::truncate_from(LogIndex index) {
  entries_.resize(static_cast<std::size_t>(index - snapshot_.index - 1));
  count_bytes();
  reload_members();
}

bool ReplicaLog::install(Snapshot snapshot) {
  const bool continues = snapshot.index <= last_index() && term_at(snapshot.index) == snapshot.term;
  if (continues) {
    const auto covered = static_cast<std::ptrdiff_t>(snapshot.index - snapshot_.index);
    entries_.erase(entries_.begin(), entries_.begin() + covered);
  } else {
    entries_.clear();
  }
  snapshot_ = std::move(snapshot);
  count_bytes();
  reload_members();
  return continues;
}

void ReplicaLog::compact(LogIndex applied, std::string state) {
  if (applied <= snapshot_.index) return;
  Snapshot next{};
  next.index = applied;
  next.term = term_at(applied);
  next.state = std::move(state);
  next.members = snapshot_.members;
  for (LogIndex i = snapshot_.index + 1; i <= applied; ++i) {
    if (at(i).kind != EntryKind::kMembers) continue;
    if (auto list = decode<MemberList>(at(i).data)) next.members = *std::move(list);
  }
  entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(applied - snapshot_.index));
  snapshot_ = std::move(next);
  count_bytes();
}

void ReplicaLog::count_bytes() {
  bytes_ = 0;
  for (const LogEntry& entry : entries_) bytes_ += entry.data.size();
}

void ReplicaLog::reload_members() {
  members_ = snapshot_.members;
  members_index_ = snapshot_.index;
  for (const LogEntry& entry : entries_) {
    if (entry.kind != EntryKind::kMembers) continue;
    if (auto list = decode<MemberList>(entry.data)) {
      members_ = *std::move(list);
      members_index_ = entry.index;
    }
  }
}

}  // namespace nettlestand::tier::consensus
