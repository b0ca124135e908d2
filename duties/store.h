// A voter's persistent state. Each write is durable when it returns; if it throws, nothing has changed.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace nettlestand::duties {

struct StoreError : std::runtime_error {
  enum class Kind {
    kFull,
    kIo,
    kCorrupt,
    kNotInitialized,
    kLocked
  };  // kNotInitialized: no voter's state there; kLocked: in use by another process, or already initialized
  StoreError(Kind k, const std::string& what) : std::runtime_error(what), kind(k) {}
  Kind kind;
};

struct StoredEntry {
  std::uint64_t term = 0;
  std::uint16_t type = 0;  // as in libraft
  std::string data;
};

struct StoredServer {
  std::uint64_t id = 0;
  std::string name;
  int role = 0;  // as in libraft
  bool operator==(const StoredServer&) const = default;
};

struct StoredSnapshot {
  std::uint64_t index = 0, term = 0;
  std::vector<StoredServer> servers;
  std::uint64_t configuration_index = 0;
  std::string data;
};

struct StoredState {
  std::uint64_t id = 0;           // of this voter, random, drawn when its state was created
  std::uint64_t start_count = 0;  // how often the state was opened, this time included
  std::uint64_t start_id = 0;     // random, drawn for this start
  std::uint64_t term = 0, vote = 0;
  std::optional<StoredSnapshot> snapshot;
  std::uint64_t first_index = 1;  // index of entries[0]
  std::vector<StoredEntry> entries;
};

class Store {
 public:
  virtual ~Store() = default;
  // Loads the state, and counts a start.
  virtual StoredState load() = 0;
  virtual void set_term(std::uint64_t term) = 0;  // also clears the vote
  virtual void set_vote(std::uint64_t id) = 0;
  virtual void append(std::uint64_t first, const std::vector<StoredEntry>& entries) = 0;
  // Removes the entries from index `from` on.
  virtual void truncate(std::uint64_t from) = 0;
  // Replaces the snapshot and keeps the last `trailing` entries up to its index. 0: removes all entries, also
  // those after it.
  virtual void put_snapshot(const StoredSnapshot& snapshot, std::uint64_t trailing) = 0;
  virtual std::optional<StoredSnapshot> load_snapshot() = 0;
  // Records another voter's start. Returns false if a later start of that voter, or the same start_count with
  // another start_id, was recorded before: it then runs on an old copy of its state, and must not vote, as it
  // may have forgotten a vote.
  virtual bool record_peer_start(std::uint64_t voter, std::uint64_t starts, std::uint64_t run) = 0;
};

// Stores the state in the file voter.db of a directory: SQLite with a write-ahead log, each write synced.
// Locked by one process.
class SqliteStore final : public Store {
 public:
  // Creates the state of a new voter and returns its new id. Throws StoreError, also if there is a state
  // already.
  static std::uint64_t create(const std::string& folder);

  // Throws StoreError: kNotInitialized if there is no state, kLocked if another process uses it.
  explicit SqliteStore(const std::string& folder);
  ~SqliteStore() override;
  SqliteStore(const SqliteStore&) = delete;
  SqliteStore& operator=(const SqliteStore&) = delete;

  StoredState load() override;
  void set_term(std::uint64_t term) override;
  void set_vote(std::uint64_t id) override;
  void append(std::uint64_t first, const std::vector<StoredEntry>& entries) override;
  void truncate(std::uint64_t from) override;
  void put_snapshot(const StoredSnapshot& snapshot, std::uint64_t trailing) override;
  std::optional<StoredSnapshot> load_snapshot() override;
  bool record_peer_start(std::uint64_t voter, std::uint64_t starts, std::uint64_t run) override;

 private:
  struct Db;
  std::unique_ptr<Db> db_;
};

}  // namespace nettlestand::duties
