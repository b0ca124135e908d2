// The fleet report: a SQLite file with one row per period, written by the node that holds the report's duty.
// A period counts what was answered since the previous one. The counts of each node that are already included
// are stored in the same transaction, so that nothing is counted twice or lost when the duty moves.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "duties/lease_table.h"
#include "report/answer_counter.h"

namespace nettlestand::report {

// Name of the duty whose holder writes the report.
inline constexpr const char* kReportDuty = "fleet-report";

// The cumulative counts that a node last reported.
struct NodeCounts {
  std::string node;
  std::uint64_t generation = 0;
  std::map<CountKey, AnswerCounts> counts;
};

// One period of the report.
struct Period {
  std::uint64_t number = 0;     // from 1, without gaps
  double began = 0, ended = 0;  // Unix time in s, by the writers' clocks
  duties::Token token = 0;      // fencing token of the writer
  std::string writer;
  std::uint64_t nodes = 0;  // number of node reports that were read
  std::map<CountKey, AnswerCounts> counts;
};

// Access to the report's file.
class ReportStore {
 public:
  // Creates the file if it does not exist. Throws duties::StoreError.
  explicit ReportStore(const std::string& path);
  ~ReportStore();
  ReportStore(const ReportStore&) = delete;
  ReportStore& operator=(const ReportStore&) = delete;

  // kStale: a later holder has already written; nothing was changed.
  enum class CloseResult { kWritten, kStale };
  // Writes the period that ends at `at` (Unix time in s). Throws duties::StoreError, and changes nothing
  // then.
  CloseResult close_period(duties::Token token, const std::string& writer, double at,
                           const std::vector<NodeCounts>& node_counts);
  // End of the last period, Unix time in s; 0 if there is none.
  double last_ended();
  std::vector<Period> periods(std::uint64_t last);  // the last ones, oldest first

  // For tests: called within the transaction, before the commit.
  std::function<void()> before_commit;

 private:
  struct Database;
  std::unique_ptr<Database> database_;
};

// A text table, and CSV, with one row per period, tier, zone and tenant.
std::string to_table(const std::vector<Period>& periods);
std::string to_csv(const std::vector<Period>& periods);
// Draws an SVG chart with gnuplot: served, refused and failed answers per second, p50 and p99, by period.
// Throws std::runtime_error if gnuplot is missing or fails.
void write_plot(const std::vector<Period>& periods, const std::string& file);

}  // namespace nettlestand::report
