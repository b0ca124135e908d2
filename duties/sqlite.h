// A thin wrapper of SQLite's C interface: errors are thrown as StoreError, statements are finalized at the
// end of their scope.
#pragma once

#include <sqlite3.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "duties/store.h"

namespace nettlestand::duties {

class Sqlite {
 public:
  // `make`: creates the file if it does not exist. `wait_ms`: timeout for a lock held by another process.
  Sqlite(const std::string& path, bool make, int wait_ms) {
    const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_NOMUTEX | (make ? SQLITE_OPEN_CREATE : 0);
    const int code = sqlite3_open_v2(path.c_str(), &db_, flags, nullptr);
    if (code != SQLITE_OK) {
      const StoreError error(
          code == SQLITE_CANTOPEN && !make ? StoreError::Kind::kNotInitialized : kind_of(code),
          path + ": " + sqlite3_errmsg(db_));
      sqlite3_close(db_);
      throw error;
    }
    path_ = path;
    sqlite3_extended_result_codes(db_, 1);
    sqlite3_busy_timeout(db_, wait_ms);
  }
  ~Sqlite() { sqlite3_close(db_); }
  Sqlite(const Sqlite&) = delete;
  Sqlite& operator=(const Sqlite&) = delete;

  class Statement {
   public:
    Statement(Sqlite& owner, const char* text) : owner_(owner) {
      owner_.check(sqlite3_prepare_v2(owner_.db_, text, -1, &it_, nullptr));
    }
    ~Statement() { sqlite3_finalize(it_); }
    Statement(const Statement&) = delete;
    Statement& operator=(const Statement&) = delete;

    Statement& bind(int i, std::uint64_t value) {
      owner_.check(sqlite3_bind_int64(it_, i, static_cast<sqlite3_int64>(value)));
      return *this;
    }
    Statement& bind(int i, double value) {
      owner_.check(sqlite3_bind_double(it_, i, value));
      return *this;
    }
    Statement& bind(int i, const std::string& text) {
      owner_.check(sqlite3_bind_text(it_, i, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT));
      return *this;
    }
    Statement& bind_bytes(int i, std::string_view bytes) {
      owner_.check(
          sqlite3_bind_blob64(it_, i, bytes.empty() ? "" : bytes.data(), bytes.size(), SQLITE_TRANSIENT));
      return *this;
    }
    // Advances to the next row; false if there is none.
    bool step() {
      const int code = sqlite3_step(it_);
      if (code == SQLITE_ROW) return true;
      if (code != SQLITE_DONE) owner_.check(code);
      return false;
    }
    void run() {
      while (step()) {
      }
      sqlite3_reset(it_);
    }
    std::uint64_t column_uint64(int i) { return static_cast<std::uint64_t>(sqlite3_column_int64(it_, i)); }
    double column_double(int i) { return sqlite3_column_double(it_, i); }
    bool column_is_null(int i) { return sqlite3_column_type(it_, i) == SQLITE_NULL; }
    std::string column_bytes(int i) {
      const void* at = sqlite3_column_blob(it_, i);
      return {static_cast<const char*>(at), static_cast<std::size_t>(sqlite3_column_bytes(it_, i))};
    }

   private:
    Sqlite& owner_;
    sqlite3_stmt* it_ = nullptr;
  };

  void run(const char* text) { check(sqlite3_exec(db_, text, nullptr, nullptr, nullptr)); }
  // Runs `f` in a transaction, which is rolled back if `f` throws.
  void transaction(const std::function<void()>& f) {
    run("BEGIN IMMEDIATE");
    try {
      f();
      run("COMMIT");
    } catch (...) {
      // SQLite may have rolled it back already, for example on a full disk.
      if (sqlite3_get_autocommit(db_) == 0) sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
      throw;
    }
  }

 private:
  static StoreError::Kind kind_of(int code) {
    switch (code & 0xFF) {
      case SQLITE_FULL:
        return StoreError::Kind::kFull;
      case SQLITE_CORRUPT:
      case SQLITE_NOTADB:
        return StoreError::Kind::kCorrupt;
      case SQLITE_BUSY:
      case SQLITE_LOCKED:
        return StoreError::Kind::kLocked;
      default:
        return StoreError::Kind::kIo;
    }
  }
  void check(int code) {
    if (code != SQLITE_OK) throw StoreError(kind_of(code), path_ + ": " + sqlite3_errmsg(db_));
  }

  sqlite3* db_ = nullptr;
  std::string path_;
};

}  // namespace nettlestand::duties
