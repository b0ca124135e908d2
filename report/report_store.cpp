#include "report/report_store.h"

#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "duties/sqlite_fencing_checker.h"
#include "util/columns.h"

namespace nettlestand::report {
namespace {

using duties::Sqlite;
using duties::SqliteFencingChecker;

constexpr int kBusyTimeoutMs = 2000;  // wait for another process's transaction
constexpr std::uint64_t kBaselineRetentionPeriods =
    100000;  // baselines of node generations that sent nothing new for so long

std::string format_utc(double at) {
  const auto t = static_cast<std::time_t>(at);
  std::tm parts{};
  gmtime_r(&t, &parts);
  char out[32];
  std::strftime(out, sizeof out, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return out;
}

std::string format_fixed(double value, int digits) {
  char out[32];
  std::snprintf(out, sizeof out, "%.*f", digits, value);
  return out;
}

}  // namespace

struct ReportStore::Database {
  explicit Database(const std::string& path) : sql(path, true, kBusyTimeoutMs) {
    // Write-ahead log: readers do not block the writer.
    sql.run("PRAGMA journal_mode=WAL");
    sql.run("PRAGMA synchronous=FULL");
    sql.transaction([&] {
      sql.run(
          "CREATE TABLE IF NOT EXISTS period(number INTEGER PRIMARY KEY, began REAL, ended REAL, token "
          "INTEGER,"
          " writer TEXT, nodes INTEGER);"
          "CREATE TABLE IF NOT EXISTS entry(number INTEGER, tier INTEGER, zone TEXT, tenant TEXT, counts "
          "BLOB,"
          " PRIMARY KEY(number, tier, zone, tenant)) WITHOUT ROWID;"
          "CREATE TABLE IF NOT EXISTS taken(node TEXT, life INTEGER, tier INTEGER, zone TEXT, tenant TEXT,"
          " counts BLOB, number INTEGER, PRIMARY KEY(node, life, tier, zone, tenant)) WITHOUT ROWID");
    });
    fencing_checker = std::make_unique<SqliteFencingChecker>(sql);
  }
  Sqlite sql;
  std::unique_ptr<SqliteFencingChecker> fencing_checker;
};

ReportStore::ReportStore(const std::string& path) : database_(std::make_unique<Database>(path)) {}
ReportStore::~ReportStore() = default;

ReportStore::CloseResult ReportStore::close_period(duties::Token token, const std::string& writer, double at,
                                                   const std::vector<NodeCounts>& node_counts) {
  CloseResult out = CloseResult::kWritten;
  Sqlite& sql = database_->sql;
  sql.transaction([&] {
    if (!database_->fencing_checker->admit(kReportDuty, token)) {
      out = CloseResult::kStale;
      return;
    }
    std::uint64_t number = 1;
    double began = at;
    {
      Sqlite::Statement last(sql, "SELECT number, ended FROM period ORDER BY number DESC LIMIT 1");
      if (last.step()) {
        number = last.column_uint64(0) + 1;
        began = last.column_double(1);
      }
    }
    std::map<CountKey, AnswerCounts> all;
    for (const NodeCounts& reported : node_counts) {
      for (const auto& [key, counts] : reported.counts) {
        AnswerCounts before;
        {
          Sqlite::Statement find(
              sql,
              "SELECT counts FROM taken WHERE node = ?1 AND life = ?2 AND tier = ?3 AND zone = ?4"
              " AND tenant = ?5");
          find.bind(1, reported.node)
              .bind(2, reported.generation)
              .bind(3, static_cast<std::uint64_t>(key.tier));
          find.bind(4, key.zone).bind(5, key.tenant);
          if (find.step()) before = decode_counts(find.column_bytes(0));
        }
        const AnswerCounts more = counts.increase_since(before);
        if (more.empty()) continue;
        all[key] += more;
        Sqlite::Statement put(sql, "INSERT OR REPLACE INTO taken VALUES(?1, ?2, ?3, ?4, ?5, ?6, ?7)");
        put.bind(1, reported.node).bind(2, reported.generation).bind(3, static_cast<std::uint64_t>(key.tier));
        put.bind(4, key.zone).bind(5, key.tenant).bind_bytes(6, encode(counts)).bind(7, number).run();
      }
    }
    Sqlite::Statement period(sql, "INSERT INTO period VALUES(?1, ?2, ?3, ?4, ?5, ?6)");
    period.bind(1, number).bind(2, began).bind(3, at).bind(4, token).bind(5, writer);
    period.bind(6, static_cast<std::uint64_t>(node_counts.size())).run();
    for (const auto& [key, counts] : all) {
      Sqlite::Statement put(sql, "INSERT INTO entry VALUES(?1, ?2, ?3, ?4, ?5)");
      put.bind(1, number).bind(2, static_cast<std::uint64_t>(key.tier)).bind(3, key.zone).bind(4, key.tenant);
      put.bind_bytes(5, encode(counts)).run();
    }
    if (number > kBaselineRetentionPeriods)
      Sqlite::Statement(sql, "DELETE FROM taken WHERE number < ?1")
          .bind(1, number - kBaselineRetentionPeriods)
          .run();
    if (before_commit) before_commit();
  });
  return out;
}

double ReportStore::last_ended() {
  Sqlite::Statement last(database_->sql, "SELECT ended FROM period ORDER BY number DESC LIMIT 1");
  return last.step() ? last.column_double(0) : 0;
}

std::vector<Period> ReportStore::periods(std::uint64_t last) {
  std::vector<Period> out;
  Sqlite::Statement all(
      database_->sql,
      "SELECT number, began, ended, token, writer, nodes FROM period ORDER BY number DESC LIMIT ?1");
  all.bind(1, last);
  while (all.step()) {
    Period p;
    p.number = all.column_uint64(0);
    p.began = all.column_double(1);
    p.ended = all.column_double(2);
    p.token = all.column_uint64(3);
    p.writer = all.column_bytes(4);
    p.nodes = all.column_uint64(5);
    Sqlite::Statement entries(database_->sql,
                              "SELECT tier, zone, tenant, counts FROM entry WHERE number = ?1");
    entries.bind(1, p.number);
    while (entries.step()) {
      p.counts[{static_cast<int>(entries.column_uint64(0)), entries.column_bytes(1),
                entries.column_bytes(2)}] = decode_counts(entries.column_bytes(3));
    }
    out.push_back(std::move(p));
  }
  std::reverse(out.begin(), out.end());
  return out;
}

std::string to_csv(const std::vector<Period>& periods) {
  std::string out =
      "period,began,ended,writer,token,nodes,tier,zone,tenant,served,refused,failed,p50_ms,p99_ms\n";
  for (const Period& p : periods) {
    const std::string head = std::to_string(p.number) + "," + format_utc(p.began) + "," +
                             format_utc(p.ended) + "," + p.writer + "," + std::to_string(p.token) + "," +
                             std::to_string(p.nodes) + ",";
    if (p.counts.empty()) out += head + ",,,0,0,0,,\n";
    for (const auto& [key, c] : p.counts) {
      out += head + std::to_string(key.tier) + "," + key.zone + "," + key.tenant + "," +
             std::to_string(c.served) + "," + std::to_string(c.refused) + "," + std::to_string(c.failed) +
             "," + format_fixed(quantile(c, 0.5) * 1000, 1) + "," +
             format_fixed(quantile(c, 0.99) * 1000, 1) + "\n";
    }
  }
  return out;
}

std::string to_table(const std::vector<Period>& periods) {
  std::vector<std::vector<std::string>> rows = {{"period", "ended", "by", "nodes", "tier", "zone", "tenant",
                                                 "served", "refused", "failed", "p50 ms", "p99 ms"}};
  for (const Period& p : periods) {
    const std::vector<std::string> head = {std::to_string(p.number), format_utc(p.ended), p.writer,
                                           std::to_string(p.nodes)};
    const auto row = [&](const std::vector<std::string>& rest) {
      rows.push_back(head);
      rows.back().insert(rows.back().end(), rest.begin(), rest.end());
    };
    if (p.counts.empty()) row({"-", "-", "-", "0", "0", "0", "-", "-"});
    for (const auto& [key, c] : p.counts) {
      row({std::to_string(key.tier), key.zone.empty() ? "-" : key.zone, key.tenant.empty() ? "-" : key.tenant,
           std::to_string(c.served), std::to_string(c.refused), std::to_string(c.failed),
           format_fixed(quantile(c, 0.5) * 1000, 1), format_fixed(quantile(c, 0.99) * 1000, 1)});
    }
  }
  return align_columns(rows);
}

void write_plot(const std::vector<Period>& periods, const std::string& file) {
  // The name is put between quotes in the gnuplot script and in the shell command.
  if (file.find_first_of("'\"\\$`\n") != std::string::npos)
    throw std::runtime_error(file + ": cannot plot to a file name with quotes, backslashes or $");
  const std::filesystem::path data = file + ".data", script = file + ".gnuplot";
  {
    std::ofstream out(data);
    for (const Period& p : periods) {
      AnswerCounts all;
      for (const auto& [key, c] : p.counts) all += c;
      const double seconds = std::max(p.ended - p.began, 1e-3);
      out << p.number << " " << static_cast<double>(all.served) / seconds << " "
          << static_cast<double>(all.refused) / seconds << " " << static_cast<double>(all.failed) / seconds
          << " " << quantile(all, 0.5) * 1000 << " " << quantile(all, 0.99) * 1000 << "\n";
    }
    std::ofstream plan(script);
    plan << "set terminal svg size 900,560 dynamic background '#ffffff' font 'sans,12'\nset output '" << file
         << "'\nset multiplot layout 2,1\nset grid\nset key outside right\nset xlabel 'period'\nset yrange "
            "[0:*]\n"
         << "set ylabel 'answers/s'\nplot '" << data.string()
         << "' using 1:2 with lines lw 2 title 'served', '' using "
         << "1:3 with lines lw 2 title 'refused', '' using 1:4 with lines lw 2 title 'failed'\n"
         << "set ylabel 'ms'\nplot '" << data.string()
         << "' using 1:5 with lines lw 2 title 'p50', '' using 1:6 with "
         << "lines lw 2 title 'p99'\n";
  }
  const int status = std::system(("gnuplot '" + script.string() + "' 2>/dev/null").c_str());
  std::error_code ignored;
  std::filesystem::remove(data, ignored);
  std::filesystem::remove(script, ignored);
  if (status != 0) throw std::runtime_error("gnuplot (gnuplot-nox) is missing, or failed to plot");
}

}  // namespace nettlestand::report
