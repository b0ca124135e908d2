// What operators and clients of a simulated tier have seen, and whether the promises were kept. Knows nothing
// of the code that is tested.
//
// The configuration is one register with compare-and-set by version: an order names the version that it
// builds on and the higher one that it makes.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"

namespace nettlestand::tier::simulate {

using Version = std::uint64_t;
using ChangeId = std::uint64_t;

class History {
 public:
  // The first broken promise; empty while there is none.
  const std::string& violation() const { return violation_; }
  void report_violation(const std::string& what);

  // ---- the configuration
  void on_change_sent(ChangeId change, Version base, Version version, const std::string& body);
  void on_change_acknowledged(Millis now, ChangeId change);
  void on_change_rejected(ChangeId change);
  // A node has taken over a version: only what an operator sent.
  void on_version_applied(const std::string& text);
  void on_read(Millis started, Millis now, const std::string& text);
  // The configuration that is read once all is calm: holds all that was acknowledged, one on top of the
  // other.
  void check_final(const std::string& text);
  // The newest version that was acknowledged up to a time; 0: none.
  Version newest_acknowledged_at(Millis time) const;
  Version newest_acknowledged() const {
    return acknowledged_versions_.empty() ? 0 : acknowledged_versions_.back().version;
  }
  std::size_t acknowledged_change_count() const { return acknowledged_changes_.size(); }

  // ---- batch jobs
  // `bodies`: of the items, by their ids.
  void on_job_sent(const std::string& job, std::map<std::string, std::string> item_bodies);
  void on_job_accepted(const std::string& job);
  // All tries were refused with a promise that none of it runs.
  void on_job_rejected(const std::string& job);
  // An item reaches a server.
  void on_item_sent(Millis now, const std::string& job, const std::string& item, const std::string& body);
  // A store gives the body of an item that is not listed.
  void on_body_read(const std::string& job, const std::string& item, const std::string& body);
  void on_job_end_requested(const std::string& job);
  void on_job_end_acknowledged(Millis now, const std::string& job);
  // A read from the start; `listed_before`: results that were known when it was sent. Reads under way at the
  // same time may end in any order.
  void on_results(const std::string& job, std::size_t known_results, const std::vector<std::string>& items,
                  const std::vector<std::string>& result_texts);
  // The job or the body of an item of it is not there, says a store that is sure.
  void on_job_missing(const std::string& job, const std::string& what);
  std::size_t result_count(const std::string& job) const;
  bool has_result(const std::string& job, const std::string& item) const;
  std::vector<std::string> accepted_jobs() const;
  // Accepted, not ended, and without all their results.
  std::vector<std::string> unfinished_jobs() const;
  std::size_t results() const;

 private:
  struct ConfigChange {
    Version base = 0, version = 0;
    std::string body;
    bool acknowledged = false, rejected = false;
  };
  struct TimedVersion {
    Millis time = 0;
    Version version = 0;
  };
  struct JobState {
    std::map<std::string, std::string> item_bodies;
    bool accepted = false, rejected = false, started = false, end_requested = false;
    Millis end_acknowledged = 0;  // 0: it was not
    std::vector<std::string> result_items, result_texts;
  };
  const ConfigChange* find_change(const std::string& text) const;

  std::string violation_;
  std::map<ChangeId, ConfigChange> changes_;
  std::map<std::string, ChangeId> change_by_body_;
  std::map<Version, ChangeId> acknowledged_by_base_;  // of each base
  std::vector<TimedVersion> acknowledged_versions_;
  std::set<ChangeId> acknowledged_changes_;
  std::vector<TimedVersion> completed_reads_;
  std::map<std::string, JobState> jobs_;
};

}  // namespace nettlestand::tier::simulate
