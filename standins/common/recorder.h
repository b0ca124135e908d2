// Gathers what the stand-ins see.
#pragma once

#include <functional>
#include <mutex>
#include <vector>

#include "standins/common/records.h"

namespace nettlestand::standins {

// For any thread. Must outlive the stand-ins that write to it. Records are numbered from 0 as they are opened
// and never go away; a server may change its own until it ends.
class Recorder {
 public:
  std::size_t open(ConnectionRecord record) { return append(connections_, std::move(record)); }
  std::size_t open(AttemptRecord record) { return append(attempts_, std::move(record)); }
  std::size_t open(ToldRecord record) { return append(told_, std::move(record)); }
  std::size_t open(CallRecord record) { return append(calls_, std::move(record)); }
  void add(FellOver record) { append(fallen_, std::move(record)); }

  void connection(std::size_t i, const std::function<void(ConnectionRecord&)>& change) {
    const std::lock_guard lock(mutex_);
    change(connections_[i]);
  }
  void attempt(std::size_t i, const std::function<void(AttemptRecord&)>& change) {
    const std::lock_guard lock(mutex_);
    change(attempts_[i]);
  }
  void told(std::size_t i, const std::function<void(ToldRecord&)>& change) {
    const std::lock_guard lock(mutex_);
    change(told_[i]);
  }
  void call(std::size_t i, const std::function<void(CallRecord&)>& change) {
    const std::lock_guard lock(mutex_);
    change(calls_[i]);
  }

  std::vector<ConnectionRecord> connections() const { return copy(connections_); }
  std::vector<AttemptRecord> attempts() const { return copy(attempts_); }
  std::vector<FellOver> fallen() const { return copy(fallen_); }
  std::vector<ToldRecord> told() const { return copy(told_); }
  std::vector<CallRecord> calls() const { return copy(calls_); }

 private:
  template <class Record>
  std::size_t append(std::vector<Record>& to, Record record) {
    const std::lock_guard lock(mutex_);
    to.push_back(std::move(record));
    return to.size() - 1;
  }
  template <class Record>
  std::vector<Record> copy(const std::vector<Record>& from) const {
    const std::lock_guard lock(mutex_);
    return from;
  }

  mutable std::mutex mutex_;
  std::vector<ConnectionRecord> connections_;
  std::vector<AttemptRecord> attempts_;
  std::vector<FellOver> fallen_;
  std::vector<ToldRecord> told_;
  std::vector<CallRecord> calls_;
};

}  // namespace nettlestand::standins
