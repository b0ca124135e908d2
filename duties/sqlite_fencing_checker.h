// A durable check of fencing tokens: the highest token of each duty is stored in the same SQLite file as the
// effects, and is checked and raised in the same transaction.
#pragma once

#include <string>

#include "duties/lease_table.h"
#include "duties/sqlite.h"

namespace nettlestand::duties {

class SqliteFencingChecker {
 public:
  // Throws StoreError.
  explicit SqliteFencingChecker(Sqlite& sql) : sql_(sql) {
    sql_.run("CREATE TABLE IF NOT EXISTS fence(duty TEXT PRIMARY KEY, token INTEGER) WITHOUT ROWID");
  }
  // To be called within the effect's transaction: whether an effect with this token may take place.
  bool admit(const std::string& duty, Token token) {
    if (token == 0) return false;
    {
      Sqlite::Statement find(sql_, "SELECT token FROM fence WHERE duty = ?1");
      find.bind(1, duty);
      if (find.step() && find.column_uint64(0) > token) return false;
    }
    Sqlite::Statement(sql_, "INSERT INTO fence VALUES(?1, ?2) ON CONFLICT(duty) DO UPDATE SET token = ?2")
        .bind(1, duty)
        .bind(2, token)
        .run();
    return true;
  }
  Token highest(const std::string& duty) {
    Sqlite::Statement find(sql_, "SELECT token FROM fence WHERE duty = ?1");
    return find.bind(1, duty).step() ? find.column_uint64(0) : 0;
  }

 private:
  Sqlite& sql_;
};

}  // namespace nettlestand::duties
