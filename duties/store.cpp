#include "duties/store.h"

#include <random>

#include "duties/pack.h"
#include "duties/sqlite.h"

namespace nettlestand::duties {
namespace {

constexpr std::uint64_t kFormat = 1;
constexpr int kWait = 0;  // ms: a voter's state is one process's

std::uint64_t drawn() {
  std::random_device random;
  // Positive as SQLite and libraft have it, and never 0.
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
  return reading(bytes, [](const msgpack::object& o) {
    std::vector<StoredServer> out;
    for (const msgpack::object* x : parts_of(o, 64)) {
      out.push_back({as<std::uint64_t>(*x, 0, 3), text_of(part(*x, 1, 3), 512), as<int>(*x, 2, 3)});
    }
    return out;
  });
}

}  // namespace

struct SqliteStore::Db {
  Db(const std::string& folder, bool make) : sql(folder + "/voter.db", make, kWait) {
    // The lock is held for the process's life: two processes would vote as one.
    sql.run("PRAGMA locking_mode=EXCLUSIVE");
    sql.run("PRAGMA journal_mode=WAL");
    sql.run("PRAGMA synchronous=FULL");
    sql.run("PRAGMA wal_autocheckpoint=256");
  }
  std::uint64_t kept(const std::string& name, std::uint64_t otherwise) {
    Sqlite::Statement find(sql, "SELECT value FROM kept WHERE name = ?1");
    find.bind(1, name);
    return find.row() ? find.number(0) : otherwise;
  }
  void keep(const std::string& name, std::uint64_t value) {
    Sqlite::Statement(sql, "INSERT INTO kept VALUES(?1, ?2) ON CONFLICT(name) DO UPDATE SET value = ?2")
        .bind(1, name)
        .bind(2, value)
        .run();
  }
  Sqlite sql;
};

std::uint64_t SqliteStore::make(const std::string& folder) {
  try {
    SqliteStore there(folder);
    throw StoreError(StoreError::Kind::kTaken, folder + ": a voter's state is there already");
  } catch (const StoreError& error) {
    if (error.kind != StoreError::Kind::kNone) throw;
  }
  Db db(folder, true);
  const std::uint64_t id = drawn();
  db.sql.transaction([&] {
    db.sql.run(
        "CREATE TABLE kept(name TEXT PRIMARY KEY, value INTEGER) WITHOUT ROWID;"
        "CREATE TABLE entries(at INTEGER PRIMARY KEY, term INTEGER, type INTEGER, data BLOB);"
        "CREATE TABLE snapshot(one INTEGER PRIMARY KEY, at INTEGER, term INTEGER, servers BLOB,"
        " servers_at INTEGER, data BLOB);"
        "CREATE TABLE met(voter INTEGER PRIMARY KEY, starts INTEGER, run INTEGER)");
    db.keep("format", kFormat);
    db.keep("id", id);
  });
  return id;
}

SqliteStore::SqliteStore(const std::string& folder) : db_(std::make_unique<Db>(folder, false)) {
  std::uint64_t format = 0;
  try {
    format = db_->kept("format", 0);
  } catch (const StoreError& error) {
    // A file that was begun and has nothing in it yet.
    if (error.kind != StoreError::Kind::kIo) throw;
    throw StoreError(StoreError::Kind::kNone, folder + ": no voter's state is there");
  }
  if (format != kFormat) throw StoreError(StoreError::Kind::kCorrupt, folder + ": a state of another format");
}

SqliteStore::~SqliteStore() = default;

Stored SqliteStore::load() {
  Stored out;
  db_->sql.transaction([&] {
    out.id = db_->kept("id", 0);
    out.starts = db_->kept("starts", 0) + 1;
    out.run = drawn();
    db_->keep("starts", out.starts);
    out.term = db_->kept("term", 0);
    out.vote = db_->kept("vote", 0);
  });
  out.snapshot = snapshot();
  if (out.snapshot) out.first = out.snapshot->index + 1;
  Sqlite::Statement all(db_->sql, "SELECT at, term, type, data FROM entries ORDER BY at");
  while (all.row()) {
    const std::uint64_t at = all.number(0);
    if (out.entries.empty()) out.first = at;
    if (at != out.first + out.entries.size())
      throw StoreError(StoreError::Kind::kCorrupt, "a gap in the log");
    out.entries.push_back({all.number(1), static_cast<std::uint16_t>(all.number(2)), all.bytes(3)});
  }
  return out;
}

void SqliteStore::set_term(std::uint64_t term) {
  db_->sql.transaction([&] {
    db_->keep("term", term);
    db_->keep("vote", 0);
  });
}

void SqliteStore::set_vote(std::uint64_t id) {
  db_->sql.transaction([&] { db_->keep("vote", id); });
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

void SqliteStore::put(const StoredSnapshot& s, std::uint64_t trailing) {
  db_->sql.transaction([&] {
    Sqlite::Statement(db_->sql, "INSERT OR REPLACE INTO snapshot VALUES(1, ?1, ?2, ?3, ?4, ?5)")
        .bind(1, s.index)
        .bind(2, s.term)
        .bind_bytes(3, pack_servers(s.servers))
        .bind(4, s.servers_index)
        .bind_bytes(5, s.data)
        .run();
    if (trailing == 0) {
      db_->sql.run("DELETE FROM entries");
    } else if (s.index > trailing) {
      Sqlite::Statement(db_->sql, "DELETE FROM entries WHERE at <= ?1").bind(1, s.index - trailing).run();
    }
  });
}

std::optional<StoredSnapshot> SqliteStore::snapshot() {
  Sqlite::Statement find(db_->sql, "SELECT at, term, servers, servers_at, data FROM snapshot");
  if (!find.row()) return std::nullopt;
  return StoredSnapshot{find.number(0), find.number(1), servers_of(find.bytes(2)), find.number(3),
                        find.bytes(4)};
}

bool SqliteStore::met(std::uint64_t voter, std::uint64_t starts, std::uint64_t run) {
  {
    Sqlite::Statement find(db_->sql, "SELECT starts, run FROM met WHERE voter = ?1");
    if (find.bind(1, voter).row()) {
      if (find.number(0) == starts) return find.number(1) == run;
      if (find.number(0) > starts) return false;
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
