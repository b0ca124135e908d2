// What a voter must not forget. Everything that writes is durable when it returns, or throws and has changed
// nothing.
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
  };  // kNone: no voter's state; kTaken: another process has it
  StoreError(Kind k, const std::string& what) : std::runtime_error(what), kind(k) {}
  Kind kind;
};

struct StoredEntry {
  std::uint64_t term = 0;
  std::uint16_t type = 0;  // as libraft has it
  std::string data;
};

struct StoredServer {
  std::uint64_t id = 0;
  std::string name;
  int role = 0;  // as libraft has it
  bool operator==(const StoredServer&) const = default;
};

struct StoredSnapshot {
  std::uint64_t index = 0, term = 0;
  std::vector<StoredServer> servers;
  std::uint64_t configuration_index = 0;
  std::string data;
};

struct StoredState {
  std::uint64_t id = 0;           // of this voter, drawn when its state was made
  std::uint64_t start_count = 0;  // how often the state was started on, this time included
  std::uint64_t start_id = 0;     // drawn for this start
  std::uint64_t term = 0, vote = 0;
  std::optional<StoredSnapshot> snapshot;
  std::uint64_t first_index = 1;  // index of the first of `entries`
  std::vector<StoredEntry> entries;
};

class Store {
 public:
  virtual ~Store() = default;
  // Counts a start.
  virtual StoredState load() = 0;
  virtual void set_term(std::uint64_t term) = 0;  // and forgets the vote
  virtual void set_vote(std::uint64_t id) = 0;
  virtual void append(std::uint64_t first, const std::vector<StoredEntry>& entries) = 0;
  // Forgets the entries from an index on.
  virtual void truncate(std::uint64_t from) = 0;
  // Keeps `trailing` entries up to the snapshot's, and none at all for 0: what follows it then is gone, too.
  virtual void put_snapshot(const StoredSnapshot& snapshot, std::uint64_t trailing) = 0;
  virtual std::optional<StoredSnapshot> load_snapshot() = 0;
  // A voter is here as (starts, run). False where a later start of it was met, or another one that called
  // itself the same: then its state is one of former days, and it may not vote.
  virtual bool record_peer_start(std::uint64_t voter, std::uint64_t starts, std::uint64_t run) = 0;
};

// In a folder's file voter.db: SQLite with a write-ahead log, each write synced. Not for two processes.
class SqliteStore final : public Store {
 public:
  // Makes the state of a new voter, with a new id, where there is none. Returns the id; throws StoreError,
  // also where there is one.
  static std::uint64_t create(const std::string& folder);

  // Throws StoreError: kNone where no state was made there, kTaken where another process has it.
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
