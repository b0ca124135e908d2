// The fleet's report: a SQLite file with one entry a period, written by whoever holds the duty. An entry is
// what has been answered since the one before it; the file keeps how far each node's counts have been taken
// in, in the same transaction, so that nothing is counted twice or lost when the duty changes hands.
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

inline constexpr const char* kReportDuty = "fleet-report";

// What a node has counted, as it last said.
struct NodeCounts {
  std::string node;
  std::uint64_t generation = 0;
  std::map<CountKey, AnswerCounts> counts;
};

struct Period {
  std::uint64_t number = 0;     // from 1, without a gap
  double began = 0, ended = 0;  // s since 1970, by the writers' clocks
  duties::Token token = 0;      // by which it was written
  std::string writer;
  std::uint64_t nodes = 0;  // that had a word in it
  std::map<CountKey, AnswerCounts> counts;
};

class ReportStore {
 public:
  // Makes the file where there is none. Throws duties::StoreError.
  explicit ReportStore(const std::string& path);
  ~ReportStore();
  ReportStore(const ReportStore&) = delete;
  ReportStore& operator=(const ReportStore&) = delete;

  enum class CloseResult { kWritten, kStale };  // kStale: a later holder has written; nothing was changed
  // Closes a period. `at`: s since 1970. Throws duties::StoreError, and has changed nothing.
  CloseResult close_period(duties::Token token, const std::string& writer, double at,
                           const std::vector<NodeCounts>& node_counts);
  // s since 1970 of the last period's end; 0: there is none.
  double last_ended();
  std::vector<Period> periods(std::uint64_t last);  // so many, the oldest first

  // Called within the transaction, before it is committed: for tests.
  std::function<void()> before_commit;

 private:
  struct Database;
  std::unique_ptr<Database> database_;
};

// For people: a line a period, tier, zone and tenant.
std::string to_table(const std::vector<Period>& periods);
std::string to_csv(const std::vector<Period>& periods);
// One SVG picture by gnuplot: served, refused and failed a second, and p99, over the periods. Throws
// std::runtime_error where there is no gnuplot.
void write_plot(const std::vector<Period>& periods, const std::string& file);

}  // namespace nettlestand::report
