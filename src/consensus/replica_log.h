// The log of one replica: a snapshot, the entries after it, and the group membership they define.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "consensus/messages.h"

namespace nettlestand::tier::consensus {

// The state that was read from disk when the process started.
struct StoredState {
  HardState hard{};
  std::optional<Snapshot> snapshot;
  std::vector<LogEntry> entries;

  // Adds an entry in place of the one at its index and all later ones. An entry after a gap is ignored.
  void add(LogEntry entry);
  // Replaces the log up to the snapshot's index, or the whole log if the remaining entries don't follow from
  // it.
  void add(Snapshot snapshot);
};

// The in-memory log. Indexes start after the snapshot.
class ReplicaLog {
 public:
  ReplicaLog() = default;
  explicit ReplicaLog(StoredState stored);

  LogIndex last_index() const { return snapshot_.index + entries_.size(); }
  // 0 if the index is beyond the end of the log or was compacted.
  Term term_at(LogIndex index) const;
  Term last_term() const { return term_at(last_index()); }
  // Requires an index after the snapshot.
  const LogEntry& at(LogIndex index) const {
    return entries_[static_cast<std::size_t>(index - snapshot_.index - 1)];
  }
  std::size_t size() const { return entries_.size(); }
  // Total size of the data in the entries.
  std::size_t bytes() const { return bytes_; }
  const Snapshot& snapshot() const { return snapshot_; }
  const std::vector<LogEntry>& entries() const { return entries_; }

  // The latest membership in the log, committed or not (section 4.1 of the Raft dissertation).
  const MemberList& members() const { return members_; }
  LogIndex members_index() const { return members_index_; }

  void append(LogEntry entry);
  // Removes the entry at the index and all later ones.
  void truncate_from(LogIndex index);
  // Installs a snapshot from the leader. Returns whether the log contained it, so that later entries are
  // kept.
  bool install(Snapshot snapshot);
  // Replaces the entries up to `applied` by a snapshot with this state.
  void compact(LogIndex applied, std::string state);

 private:
  void reload_members();

  Snapshot snapshot_{};
  void count_bytes();

  std::vector<LogEntry> entries_;
  std::size_t bytes_ = 0;
  MemberList members_{};
  LogIndex members_index_ = 0;
};

}  // namespace nettlestand::tier::consensus
