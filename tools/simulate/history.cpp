#include "simulate/history.h"

#include <algorithm>

namespace nettlestand::tier::simulate {
namespace {

// After the end of a job is acknowledged, no item may be sent later than this.
constexpr Millis kEndGraceMs = 3000;

}  // namespace

void History::report_violation(const std::string& what) {
  if (violation_.empty()) violation_ = what;
}

// ---------------------------------------------------------------- the configuration

void History::on_change_sent(ChangeId id, Version base, Version version, const std::string& body) {
  ConfigChange change;
  change.base = base;
  change.version = version;
  change.body = body;
  changes_.emplace(id, std::move(change));
  change_by_body_.emplace(body, id);
}

void History::on_change_acknowledged(Millis now, ChangeId id) {
  ConfigChange& change = changes_.at(id);
  if (change.rejected) report_violation("a rejected change was acknowledged");
  const auto [winner, first] = acknowledged_by_base_.emplace(change.base, id);
  if (!first && winner->second != id)
    report_violation("two changes of the same base version were acknowledged");
  if (change.acknowledged) return;
  change.acknowledged = true;
  acknowledged_changes_.insert(id);
  acknowledged_versions_.push_back({now, std::max(change.version, newest_acknowledged())});
}

void History::on_change_rejected(ChangeId id) {
  ConfigChange& change = changes_.at(id);
  if (change.acknowledged) report_violation("an acknowledged change was rejected");
  change.rejected = true;
}

const History::ConfigChange* History::find_change(const std::string& text) const {
  const auto found = change_by_body_.find(text);
  return found == change_by_body_.end() ? nullptr : &changes_.at(found->second);
}

void History::on_version_applied(const std::string& text) {
  if (find_change(text) == nullptr) report_violation("a node applied a configuration that no operator sent");
}

void History::on_read(Millis started, Millis now, const std::string& text) {
  const ConfigChange* change = find_change(text);
  if (change == nullptr) return report_violation("a read returned a configuration that no operator sent");
  if (change->rejected) report_violation("a read returned a rejected change");
  if (change->version < newest_acknowledged_at(started))
    report_violation("a read returned an older version than one acknowledged before it");
  for (const TimedVersion& earlier : completed_reads_) {
    if (earlier.time < started && earlier.version > change->version)
      return report_violation("a read returned an older version than an earlier read");
  }
  completed_reads_.push_back({now, change->version});
}

void History::check_final(const std::string& text) {
  const ConfigChange* change = find_change(text);
  if (change == nullptr)
    return report_violation("the final read returned a configuration that no operator sent");
  std::set<Version> predecessors;
  while (change != nullptr) {
    predecessors.insert(change->version);
    const ConfigChange* predecessor = nullptr;
    for (const auto& [id, candidate] : changes_) {
      const bool fits = candidate.version == change->base && !candidate.rejected;
      if (fits && (predecessor == nullptr || candidate.acknowledged)) predecessor = &candidate;
    }
    change = predecessor;
  }
  for (const ChangeId id : acknowledged_changes_) {
    if (!predecessors.contains(changes_.at(id).version)) report_violation("an acknowledged change is lost");
  }
}

Version History::newest_acknowledged_at(Millis time) const {
  Version out = 0;
  for (const TimedVersion& entry : acknowledged_versions_) {
    if (entry.time <= time) out = entry.version;
  }
  return out;
}

// ---------------------------------------------------------------- batch jobs

void History::on_job_sent(const std::string& job, std::map<std::string, std::string> item_bodies) {
  jobs_[job].item_bodies = std::move(item_bodies);
}

void History::on_job_accepted(const std::string& job) {
  jobs_[job].accepted = true;
  if (jobs_[job].rejected)
    report_violation("a job was accepted after all attempts to submit it were rejected");
}

void History::on_job_rejected(const std::string& job) {
  jobs_[job].rejected = true;
  if (jobs_[job].started)
    report_violation("items of a job ran although all attempts to submit it were rejected");
}

void History::on_item_sent(Millis now, const std::string& job, const std::string& item,
                           const std::string& body) {
  JobState& record = jobs_[job];
  record.started = true;
  if (record.rejected)
    report_violation("an item of a job ran although all attempts to submit it were rejected");
  const auto sent = record.item_bodies.find(item);
  if (sent == record.item_bodies.end() || sent->second != body)
    report_violation("an item was sent with the wrong body: " + item);
  const bool is_ended = record.end_acknowledged > 0 && now > record.end_acknowledged + kEndGraceMs;
  if (is_ended) report_violation("an item was sent long after the end of its job: " + item);
}

void History::on_body_read(const std::string& job, const std::string& item, const std::string& body) {
  if (jobs_[job].item_bodies[item] != body)
    report_violation("a read returned the wrong body of an item: " + item);
}

void History::on_job_end_requested(const std::string& job) { jobs_[job].end_requested = true; }

void History::on_job_end_acknowledged(Millis now, const std::string& job) {
  if (jobs_[job].end_acknowledged == 0) jobs_[job].end_acknowledged = now;
}

void History::on_results(const std::string& job, std::size_t known_results,
                         const std::vector<std::string>& items,
                         const std::vector<std::string>& result_texts) {
  JobState& record = jobs_[job];
  if (items.size() < known_results)
    return report_violation("a result that was read before is missing: " + job);
  for (std::size_t position = 0; position < items.size(); ++position) {
    if (position < record.result_items.size()) {
      const bool same = record.result_items[position] == items[position] &&
                        record.result_texts[position] == result_texts[position];
      if (!same) return report_violation("the result at a position changed: " + job);
      continue;
    }
    if (has_result(job, items[position]))
      return report_violation("an item is listed at two positions: " + job);
    record.result_items.push_back(items[position]);
    record.result_texts.push_back(result_texts[position]);
  }
}

void History::on_job_missing(const std::string& job, const std::string& what) {
  if (jobs_[job].accepted) report_violation(what + " is missing: " + job);
}

std::size_t History::result_count(const std::string& job) const {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? 0 : found->second.result_items.size();
}

bool History::has_result(const std::string& job, const std::string& item) const {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return false;
  return std::find(found->second.result_items.begin(), found->second.result_items.end(), item) !=
         found->second.result_items.end();
}

std::vector<std::string> History::accepted_jobs() const {
  std::vector<std::string> out;
  for (const auto& [job, record] : jobs_) {
    if (record.accepted) out.push_back(job);
  }
  return out;
}

std::vector<std::string> History::unfinished_jobs() const {
  std::vector<std::string> out;
  for (const auto& [job, record] : jobs_) {
    if (record.accepted && !record.end_requested && record.result_items.size() < record.item_bodies.size())
      out.push_back(job);
  }
  return out;
}

std::size_t History::results() const {
  std::size_t sum = 0;
  for (const auto& [job, record] : jobs_) sum += record.result_items.size();
  return sum;
}

}  // namespace nettlestand::tier::simulate
