// Collects the records of the test doubles.
#pragma once

#include <functional>
#include <mutex>
#include <vector>

#include "standins/common/records.h"

namespace nettlestand::standins {

// Thread-safe. Must outlive the test doubles that write to it. Records are numbered from 0 in the order in
// which they are opened and are never removed; a server may change its own until it ends.
class Recorder {
 public:
  std::size_t open(ConnectionRecord record) { return append(connections_, std::move(record)); }
  std::size_t open(AttemptRecord record) { return append(attempts_, std::move(record)); }
  std::size_t open(ListChangeRecord record) { return append(list_changes_, std::move(record)); }
  std::size_t open(CallRecord record) { return append(calls_, std::move(record)); }
  void add(OverloadRecord record) { append(overloads_, std::move(record)); }

  void connection(std::size_t i, const std::function<void(ConnectionRecord&)>& change) {
    const std::lock_guard lock(mutex_);
    change(connections_[i]);
  }
  void attempt(std::size_t i, const std::function<void(AttemptRecord&)>& change) {
    const std::lock_guard lock(mutex_);
    change(attempts_[i]);
  }
  void list_change(std::size_t i, const std::function<void(ListChangeRecord&)>& change) {
    const std::lock_guard lock(mutex_);
    change(list_changes_[i]);
  }
  void call(std::size_t i, const std::function<void(CallRecord&)>& change) {
    const std::lock_guard lock(mutex_);
    change(calls_[i]);
  }

  std::vector<ConnectionRecord> connections() const { return copy(connections_); }
  std::vector<AttemptRecord> attempts() const { return copy(attempts_); }
  std::vector<OverloadRecord> overloads() const { return copy(overloads_); }
  std::vector<ListChangeRecord> list_changes() const { return copy(list_changes_); }
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
  std::vector<OverloadRecord> overloads_;
  std::vector<ListChangeRecord> list_changes_;
  std::vector<CallRecord> calls_;
};

}  // namespace nettlestand::standins
