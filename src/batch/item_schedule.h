// Decides which items of a store's jobs are sent, in what order, and what follows from the outcome of each
// run. Has no I/O and no clock, so that the program and the simulation run the same code.
//
// The schedule alone owns the state of items. Whether an item may start is derived in one place, may_start(),
// from that state and from the job table, and nothing else starts one: an item that has a result has lost its
// body and must not be sent.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "batch/job_table.h"

namespace nettlestand::tier {

// Identifies one run of an item. Never reused, so that the end of an abandoned run can't be mistaken for that
// of another run.
using RunId = std::uint64_t;

// Why an item is started: for the first time, or again because of how its last run ended.
enum class StartReason : std::uint8_t { kFirst, kRejected, kServerError, kInterrupted };
const char* name_of(StartReason reason);

// The text of an item received so far: events up to and including `last_event`.
struct PartialText {
  std::string text;
  std::uint64_t last_event = 0;
  bool has_event = false;
};

// A run that the host is to start now.
struct ItemRun {
  RunId id = 0;
  JobKey key;
  std::uint32_t item = 0;
  std::uint32_t attempt = 0;  // counts the item's starts in this tenure, from 1
  StartReason reason = StartReason::kFirst;
  PartialText partial_text;
};

enum class RunEnd : std::uint8_t {
  kCompleted,      // the whole text was received
  kUnprocessable,  // the server reports that the item can never succeed
  kServerError,    // a failed attempt, see ItemLimits::max_attempts
  kRejected,       // the item was not executed
  kInterrupted     // it may have been executed; the next run resumes after the last whole event
};

// How a run ended, and the text that it has received.
struct RunOutcome {
  RunEnd end = RunEnd::kInterrupted;
  std::optional<PartialText> text;  // nothing if no events came: the text received before is kept
};

// What the current configuration says about the items of a route.
struct ItemLimits {
  enum class RouteState : std::uint8_t {
    kUnknown,  // the configuration may be out of date: nothing starts, nothing is dead-lettered
    kRemoved,  // the items are dead-lettered
    kPresent
  };
  RouteState state = RouteState::kUnknown;
  std::uint64_t generation = 0;  // of the configuration
  // How much later this store may get a configuration than those who have accepted a job under it: the route
  // of a younger job may be yet to come.
  Millis max_config_lag_ms = 0;
  double max_wait_s = 0;  // 0: no limit
  int max_attempts = 1;   // responses with status 500 after which an item is dead-lettered
};

// What the schedule queries from its host and reports to it.
class ItemHost {
 public:
  virtual ~ItemHost() = default;
  // Whether this store is certain to be the job's primary and the job is open.
  virtual bool may_run(Millis now, const JobKey& key) = 0;
  virtual ItemLimits limits_for(Millis now, const std::string& route) = 0;
  // Whether the current configuration leads the item to the route of its job. Asked only while that route is
  // present.
  virtual bool is_routed(const Job& job, std::uint32_t item) const = 0;
  // Whether the limit on concurrent runs allows one more.
  virtual bool can_start() const = 0;
  // Whether a server has capacity for one more item of a route, besides those already started.
  virtual bool has_capacity(Millis now, const std::string& route) = 0;
  // Starts a run; its end is reported to on_run_ended().
  virtual void start(Millis now, const ItemRun& run) = 0;
  // An item is not started since its content no longer matches its digest.
  virtual void on_corrupted_item(const JobKey& key, std::uint32_t item, StartReason reason) = 0;
  // The final result of an item; reported once.
  virtual void on_result(Millis now, const JobKey& key, JobResult result) = 0;
  // A run no longer counts; the host may stop it.
  virtual void abandon(RunId run) = 0;
};

class ItemSchedule {
 public:
  ItemSchedule(const JobTable& table, ItemHost& host) : table_(table), host_(host) {}

  // Dead-letters items that are overdue or that no route leads to any more, and starts those that may start:
  // one item of each tenant in turn, from its oldest job first. A call while a pump is in progress makes that
  // one do another round.
  void pump(Millis now);
  // Reports the end of a run; ignored if the run no longer counts.
  void on_run_ended(Millis now, RunId run, RunOutcome outcome);
  // Whether a run may still be sent to a server; checked right before each send.
  bool may_send(RunId run) const;
  // The end of a job was requested: none of its items starts any more, and running ones are abandoned.
  void stop(const JobKey& key);
  // Drops the state of a job that is over, or whose shard this store is no longer the primary of; its runs
  // are abandoned.
  void forget(const JobKey& key);

 private:
  enum class Phase : std::uint8_t {
    kWaiting,
    kRunning,
    kFinished,  // its result has been reported to the host
    kCorrupted  // its content does not match its digest
  };
  struct Item {
    Phase phase = Phase::kWaiting;
    StartReason reason = StartReason::kFirst;
    RunId run = 0;  // while it is running
    std::uint32_t attempts = 0;
    int failures = 0;
    Millis retry_at = 0;
    PartialText partial_text;
  };
  struct JobState {
    std::map<std::uint32_t, Item> items;
    std::uint32_t next_unstarted = 0;     // all items before it were started or can't be
    std::set<std::uint32_t> retry_items;  // items that ran before and wait for another run
    bool stopped = false;
    // Generation of the configuration whose routes all waiting items were checked against. 0: none.
    std::uint64_t checked_generation = 0;
  };
  struct RunRecord {
    JobKey key;
    std::uint32_t item = 0;
    ItemLimits limits;  // as configured when the run started
  };
  // What one round over the open jobs has learned from the host, kept by route to save further queries.
  struct SchedulingRound {
    Millis now = 0;
    std::map<std::string, ItemLimits> limits;  // by route
    std::set<std::string> full_routes;         // routes without capacity left
  };
  // How far a round has come in one tenant's jobs: those up to `last_checked` have no more items that may
  // start.
  struct TenantCursor {
    std::string tenant;
    std::optional<OpenJob> last_checked;
    bool exhausted = false;
  };

  void pump_once(Millis now);
  const ItemLimits& limits_for(SchedulingRound& round, const std::string& route);
  bool has_capacity(SchedulingRound& round, const std::string& route);
  bool may_start(Millis now, const Job& job, const JobState& state, std::uint32_t item) const;
  std::optional<std::uint32_t> next_item(SchedulingRound& round, const Job& job, JobState& state);
  enum class ItemRoute : std::uint8_t { kPresent, kUnknown, kLost };
  ItemRoute route_of(Millis now, const Job& job, const ItemLimits& limits, std::uint32_t item) const;
  void retry_later(Millis now, JobState& state, std::uint32_t item, Millis delay);
  void dead_letter_items(SchedulingRound& round);
  void dead_letter_items_of(SchedulingRound& round, const JobKey& key, const Job& job);
  void start_round_robin(SchedulingRound& round);
  bool start_item_of_tenant(SchedulingRound& round, TenantCursor& cursor);
  bool start_item_of_job(SchedulingRound& round, const JobKey& key);
  void start(Millis now, const JobKey& key, const Job& job, const ItemLimits& limits, JobState& state,
             std::uint32_t item);
  void finish(Millis now, const JobKey& key, std::uint32_t item, ResultState result, std::string text);
  void abandon_runs(JobState& state);

  const JobTable& table_;
  ItemHost& host_;
  std::map<JobKey, JobState> states_;
  std::map<RunId, RunRecord> runs_;
  RunId last_run_ = 0;
  Millis next_overdue_check_ = 0;
  bool pumping_ = false, pump_again_ = false;
};

}  // namespace nettlestand::tier
