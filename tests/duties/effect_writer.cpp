// A program that tests run under a duty. Records an effect every INTERVAL_MS in a database that all processes
// share, with the fencing token that it was started with. Exits with 1 once the token is rejected.
//     effect_writer DATABASE INTERVAL_MS [MODE]
// MODE: "slow": half of the interval passes before the token is checked and the effect recorded; "fail":
// exits with 3 at once.
#include <sys/prctl.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>

#include "duties/sqlite_fencing_checker.h"

int main(int argc, char** argv) {
  using namespace nettlestand::duties;
  const char *duty = std::getenv("NETTLESTAND_DUTY"), *token = std::getenv("NETTLESTAND_TOKEN");
  if (argc < 3 || duty == nullptr || token == nullptr) return 2;
  const std::string mode = argc > 3 ? argv[3] : "";
  if (mode == "fail") return 3;
  const Token own_token = std::strtoull(token, nullptr, 10);
  const auto every = std::chrono::milliseconds(std::atoi(argv[2]));
  const auto now = [] {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
  };
  try {
    Sqlite sql(argv[1], true, 10000);
    sql.run("PRAGMA journal_mode=WAL");
    sql.run("PRAGMA synchronous=OFF");
    sql.run(
        "CREATE TABLE IF NOT EXISTS effect(n INTEGER PRIMARY KEY, duty TEXT, token INTEGER, pid INTEGER, at "
        "REAL)");
    sql.run("CREATE TABLE IF NOT EXISTS away(n INTEGER PRIMARY KEY, duty TEXT, token INTEGER, at REAL)");
    SqliteFencingChecker fencing_checker(sql);
    for (;;) {
      if (mode == "slow") std::this_thread::sleep_for(every / 2);
      bool admitted = false;
      sql.transaction([&] {
        admitted = fencing_checker.admit(duty, own_token);
        if (admitted) {
          Sqlite::Statement(sql, "INSERT INTO effect(duty, token, pid, at) VALUES(?1, ?2, ?3, ?4)")
              .bind(1, std::string(duty))
              .bind(2, own_token)
              .bind(3, static_cast<std::uint64_t>(getpid()))
              .bind(4, now())
              .run();
        } else {
          Sqlite::Statement(sql, "INSERT INTO away(duty, token, at) VALUES(?1, ?2, ?3)")
              .bind(1, std::string(duty))
              .bind(2, own_token)
              .bind(3, now())
              .run();
        }
      });
      if (!admitted) return 1;
      std::this_thread::sleep_for(mode == "slow" ? every / 2 : every);
    }
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "effect_writer: %s\n", problem.what());
    return 4;
  }
}
