#include "duties/store.h"

#include <random>

#include "duties/msgpack_codec.h"
#include "duties/sqlite.h"

namespace nettlestand::duties {
namespace {

constexpr std::uint64_t kFormatVersion = 1;
constexpr int kLockWaitMs = 0;  // a voter's state belongs to one process

std::uint64_t random_id() {
  std::random_device random;
  // Fits SQLite's and libraft's signed 64-bit integers, and is never 0.
  return ((static_cast<std::uint64_t>(random()) << 31) ^ random()) % 0x7FFFFFFFFFFFFFFEULL + 1;
}

std::string pack_servers(const std::vector<StoredServer>& servers) {
  msgpack::sbuffer buffer;
  Packer out(buffer);
  out.pack_array(static_cast<std::uint32_t>(servers.size()));
  for (const StoredServer& s : servers) {
    out.pack_array(3);
    out.pack(s.id);
    out.pack(s.name);
    out.pack(s.role);
  }
  return {buffer.data(), buffer.size()};
}

std::vector<StoredServer> servers_of(const std::string& bytes) {
  return decode_msgpack(bytes, [](const msgpack::object& o) {
    std::vector<StoredServer> out;
    for (const msgpack::object* x : array_elements(o, 64)) {
      out.push_back({element_as<std::uint64_t>(*x, 0, 3), string_value(element(*x, 1, 3), 512),
                     element_as<int>(*x, 2, 3)});
    }
    return out;
  });
}

}  // namespace

struct SqliteStore::Db {
  Db(const std::string& folder, bool make) : sql(folder + "/voter.db", make, kLockWaitMs) {
    // The lock is held as long as the database is open: two processes with the same state would vote twice.
    sql.run("PRAGMA locking_mode=EXCLUSIVE");
    sql.run("PRAGMA journal_mode=WAL");
    sql.run("PRAGMA synchronous=FULL");
    sql.run("PRAGMA wal_autocheckpoint=256");
  }
  std::uint64_t get(const std::string& name, std::uint64_t otherwise) {
    Sqlite::Statement find(sql, "SELECT value FROM kept WHERE name = ?1");
    find.bind(1, name);
    return find.step() ? find.column_uint64(0) : otherwise;
  }
  void set(const std::string& name, std::uint64_t value) {
    Sqlite::Statement(sql, "INSERT INTO kept VALUES(?1, ?2) ON CONFLICT(name) DO UPDATE SET value = ?2")
        .bind(1, name)
        .bind(2, value)
        .run();
  }
  Sqlite sql;
};

std::uint64_t SqliteStore::create(const std::string& folder) {
  try {
    SqliteStore there(folder);
    throw StoreError(StoreError::Kind::kLocked, folder + ": already contains a voter's state");
  } catch (const StoreError& error) {
    if (error.kind != StoreError::Kind::kNotInitialized) throw;
  }
  Db db(folder, true);
  const std::uint64_t id = random_id();
  db.sql.transaction([&] {
    db.sql.run(
        "CREATE TABLE kept(name TEXT PRIMARY KEY, value INTEGER) WITHOUT ROWID;"
        "CREATE TABLE entries(at INTEGER PRIMARY KEY, term INTEGER, type INTEGER, data BLOB);"
        "CREATE TABLE snapshot(one INTEGER PRIMARY KEY, at INTEGER, term INTEGER, servers BLOB,"
        " servers_at INTEGER, data BLOB);"
        "CREATE TABLE met(voter INTEGER PRIMARY KEY, starts INTEGER, run INTEGER)");
    db.set("format", kFormatVersion);
    db.set("id", id);
  });
  return id;
}

SqliteStore::SqliteStore(const std::string& folder) : db_(std::make_unique<Db>(folder, false)) {
  std::uint64_t format = 0;
  try {
    format = db_->get("format", 0);
  } catch (const StoreError& error) {
    // A database without tables: creating the state was interrupted.
    if (error.kind != StoreError::Kind::kIo) throw;
    throw StoreError(StoreError::Kind::kNotInitialized, folder + ": no voter's state (not initialized)");
  }
  if (format != kFormatVersion)
    throw StoreError(StoreError::Kind::kCorrupt, folder + ": unsupported format version of a voter's state");
}

SqliteStore::~SqliteStore() = default;

StoredState SqliteStore::load() {
  StoredState out;
  db_->sql.transaction([&] {
    out.id = db_->get("id", 0);
    out.start_count = db_->get("starts", 0) + 1;
    out.start_id = random_id();
    db_->set("starts", out.start_count);
    out.term = db_->get("term", 0);
    out.vote = db_->get("vote", 0);
  });
  out.snapshot = load_snapshot();
  if (out.snapshot) out.first_index = out.snapshot->index + 1;
  Sqlite::Statement all(db_->sql, "SELECT at, term, type, data FROM entries ORDER BY at");
  while (all.step()) {
    const std::uint64_t at = all.column_uint64(0);
    if (out.entries.empty()) out.first_index = at;
    if (at != out.first_index + out.entries.size())
      throw StoreError(StoreError::Kind::kCorrupt, "gap in the stored log");
    out.entries.push_back(
        {all.column_uint64(1), static_cast<std::uint16_t>(all.column_uint64(2)), all.column_bytes(3)});
  }
  return out;
}

void SqliteStore::set_term(std::uint64_t term) {
  db_->sql.transaction([&] {
    db_->set("term", term);
    db_->set("vote", 0);
  });
}

void SqliteStore::set_vote(std::uint64_t id) {
  db_->sql.transaction([&] { db_->set("vote", id); });
}

void SqliteStore::append(std::uint64_t first, const std::vector<StoredEntry>& entries) {
  db_->sql.transaction([&] {
    Sqlite::Statement put(db_->sql, "INSERT INTO entries VALUES(?1, ?2, ?3, ?4)");
    for (const StoredEntry& e : entries) {
      put.bind(1, first++).bind(2, e.term).bind(3, std::uint64_t{e.type}).bind_bytes(4, e.data).run();
    }
  });
}

void SqliteStore::truncate(std::uint64_t from) {
  db_->sql.transaction(
      [&] { Sqlite::Statement(db_->sql, "DELETE FROM entries WHERE at >= ?1").bind(1, from).run(); });
}

void SqliteStore::put_snapshot(const StoredSnapshot& s, std::uint64_t trailing) {
  db_->sql.transaction([&] {
    Sqlite::Statement(db_->sql, "INSERT OR REPLACE INTO snapshot VALUES(1, ?1, ?2, ?3, ?4, ?5)")
        .bind(1, s.index)
        .bind(2, s.term)
        .bind_bytes(3, pack_servers(s.servers))
        .bind(4, s.configuration_index)
        .bind_bytes(5, s.data)
        .run();
    if (trailing == 0) {
      db_->sql.run("DELETE FROM entries");
    } else if (s.index > trailing) {
      Sqlite::Statement(db_->sql, "DELETE FROM entries WHERE at <= ?1").bind(1, s.index - trailing).run();
    }
  });
}

std::optional<StoredSnapshot> SqliteStore::load_snapshot() {
  Sqlite::Statement find(db_->sql, "SELECT at, term, servers, servers_at, data FROM snapshot");
  if (!find.step()) return std::nullopt;
  return StoredSnapshot{find.column_uint64(0), find.column_uint64(1), servers_of(find.column_bytes(2)),
                        find.column_uint64(3), find.column_bytes(4)};
}

bool SqliteStore::record_peer_start(std::uint64_t voter, std::uint64_t starts, std::uint64_t run) {
  {
    Sqlite::Statement find(db_->sql, "SELECT starts, run FROM met WHERE voter = ?1");
    if (find.bind(1, voter).step()) {
      if (find.column_uint64(0) == starts) return find.column_uint64(1) == run;
      if (find.column_uint64(0) > starts) return false;
    }
  }
  db_->sql.transaction([&] {
    Sqlite::Statement(db_->sql, "INSERT OR REPLACE INTO met VALUES(?1, ?2, ?3)")
        .bind(1, voter)
        .bind(2, starts)
        .bind(3, run)
        .run();
  });
  return true;
}

}  // namespace nettlestand::duties
