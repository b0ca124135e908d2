// Records what operators and clients of a simulated tier observe, and checks it against the guarantees of the
// tier. Independent of the code under test.
//
// The configuration is modelled as one register with compare-and-set by version: a change names the version
// that it is based on and the higher version that it creates.
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

// Oracle of the simulation; keeps the first violation that it finds.
class History {
 public:
  // The first violation; empty while there is none.
  const std::string& violation() const { return violation_; }
  // Records a violation unless there was one before.
  void report_violation(const std::string& what);

  // ---- the configuration
  void on_change_sent(ChangeId change, Version base, Version version, const std::string& body);
  void on_change_acknowledged(Millis now, ChangeId change);
  void on_change_rejected(ChangeId change);
  // A node has applied a configuration. It has to be one that an operator sent.
  void on_version_applied(const std::string& text);
  void on_read(Millis started, Millis now, const std::string& text);
  // Checks the configuration that is read at the end, after all faults: it has to descend from every
  // acknowledged change.
  void check_final(const std::string& text);
  // The newest version that was acknowledged by `time`; 0 if there is none.
  Version newest_acknowledged_at(Millis time) const;
  Version newest_acknowledged() const {
    return acknowledged_versions_.empty() ? 0 : acknowledged_versions_.back().version;
  }
  std::size_t acknowledged_change_count() const { return acknowledged_changes_.size(); }

  // ---- batch jobs
  // `item_bodies`: the bodies by item id.
  void on_job_sent(const std::string& job, std::map<std::string, std::string> item_bodies);
  void on_job_accepted(const std::string& job);
  // All attempts to submit the job were rejected, which guarantees that none of its items runs.
  void on_job_rejected(const std::string& job);
  // An item is sent to a server.
  void on_item_sent(Millis now, const std::string& job, const std::string& item, const std::string& body);
  // A store returned the body of an item that has no listed result.
  void on_body_read(const std::string& job, const std::string& item, const std::string& body);
  void on_job_end_requested(const std::string& job);
  void on_job_end_acknowledged(Millis now, const std::string& job);
  // A read of all results from the start. `known_results`: number of results that were known when the read
  // was sent. Concurrent reads may end in any order.
  void on_results(const std::string& job, std::size_t known_results, const std::vector<std::string>& items,
                  const std::vector<std::string>& result_texts);
  // A store that is authoritative reported the job, or the body of one of its items, as missing.
  void on_job_missing(const std::string& job, const std::string& what);
  std::size_t result_count(const std::string& job) const;
  bool has_result(const std::string& job, const std::string& item) const;
  std::vector<std::string> accepted_jobs() const;
  // Jobs that were accepted, not ended, and lack results.
  std::vector<std::string> unfinished_jobs() const;
  std::size_t results() const;

 private:
  // A change of the whole configuration.
  struct ConfigChange {
    Version base = 0, version = 0;
    std::string body;
    bool acknowledged = false, rejected = false;
  };
  // A version and when it was acknowledged or read.
  struct TimedVersion {
    Millis time = 0;
    Version version = 0;
  };
  struct JobState {
    std::map<std::string, std::string> item_bodies;
    bool accepted = false, rejected = false, started = false, end_requested = false;
    Millis end_acknowledged = 0;  // 0: not acknowledged
    std::vector<std::string> result_items, result_texts;
  };
  const ConfigChange* find_change(const std::string& text) const;

  std::string violation_;
  std::map<ChangeId, ConfigChange> changes_;
  std::map<std::string, ChangeId> change_by_body_;
  std::map<Version, ChangeId> acknowledged_by_base_;  // the acknowledged change of each base version
  std::vector<TimedVersion> acknowledged_versions_;
  std::set<ChangeId> acknowledged_changes_;
  std::vector<TimedVersion> completed_reads_;
  std::map<std::string, JobState> jobs_;
};

}  // namespace nettlestand::tier::simulate
