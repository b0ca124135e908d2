// Records what the clients of a soak test sent and received, and checks it against the guarantees of the
// tier. Independent of the tier's code: it compares what clients and servers observed.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/time.h"
#include "standins/tier/engine.h"

namespace nettlestand::tier::soak {

// How a request of a client ended.
struct RequestOutcome {
  int status = 0;                  // 0: no complete response head was received
  bool response_complete = false;  // the response was complete
  bool request_sent = false;       // the last byte of the request was written
  bool from_server = false;        // the response has a server's signature
  Millis ended_at = 0;
};

// A request that was sent to a node.
struct RequestAttempt {
  std::size_t node = 0;
  Millis sent_at = 0;
  RequestOutcome outcome;
};

// A live (interactive) request with its last attempt. `refused`: the attempts under the same id before it.
struct LiveRequest : RequestAttempt {
  std::string id, target, body, tenant;
  bool idempotent = false;
  std::vector<RequestAttempt> refused;
};

// Whether the status guarantees to a client that its request has not run and will not run.
bool guarantees_no_run(int status);

// A job as its client knows it. `rejected`: all attempts to submit it were rejected.
struct SubmittedJob {
  std::string id, tenant;
  std::map<std::string, std::string> bodies;  // by item id
  bool accepted = false, rejected = false, end_requested = false;
  std::vector<std::string> results;  // item ids by position, as read
};

// Thread-safe. Most violations start with a kind: MIXED, TWICE, UNASKED, REFUSED, LOST, ORDER, CONFIG or
// RECOVER.
class Oracle {
 public:
  void on_sent(const LiveRequest& request);
  // The request is sent again, under the same id, after it was refused.
  void on_retry(const std::string& id, std::size_t node, Millis sent_at);
  void on_outcome(const std::string& id, const RequestOutcome& outcome);
  // An unplanned fault of a node: responses that the node loses in this interval are excused.
  void on_node_fault(std::size_t node, Millis from, Millis until);
  // A fault of the servers: all responses that are lost in this interval are excused.
  void on_global_fault(Millis from, Millis until);

  void on_job(const SubmittedJob& job);
  void on_job_submitted(const std::string& job, bool accepted, bool rejected);
  void on_job_end_requested(const std::string& job);
  // A page of results that was read from the start.
  void on_result_page(const std::string& job, const std::vector<std::string>& items,
                      const std::vector<std::string>& texts);
  void on_job_missing(const std::string& job);
  // Jobs that were accepted, not ended, and lack results.
  std::vector<SubmittedJob> unfinished_jobs() const;
  std::vector<SubmittedJob> accepted_jobs() const;

  void report_violation(const std::string& what);
  // Compares all records with the requests that the servers received. The expected result is the text of a
  // completed item.
  void check(const std::vector<standins::ReceivedRequest>& runs);
  void set_expected_result(std::string text) { expected_result_ = std::move(text); }

  std::vector<std::string> violations() const;
  // All violations, by what precedes the colon; violations() holds the first ones only.
  std::map<std::string, std::size_t> violation_counts() const;
  struct Totals {
    std::size_t requests = 0, served = 0, rejected = 0, unauthorized = 0, unanswered = 0, jobs = 0,
                results = 0;
  };
  Totals totals() const;

 private:
  struct FaultInterval {
    Millis from = 0, until = 0;
  };
  void check_live(const std::vector<standins::ReceivedRequest>& runs);
  // Reports a refusal of a request that ran in this attempt; `runs` are the times of all its runs.
  void check_refusals(const LiveRequest& request, const std::vector<Millis>& runs);
  // Reports a request that ended without a complete response although no fault excuses it.
  void check_response_owed(const LiveRequest& request, bool was_forwarded);
  void check_items(const std::vector<standins::ReceivedRequest>& runs);
  // Whether an unplanned fault may have affected the request.
  bool overlaps_fault(const LiveRequest& request) const;
  // Like report_violation(), for callers that hold the lock.
  void add_violation(const std::string& what);

  mutable std::mutex mutex_;
  std::map<std::string, LiveRequest> requests_;
  std::map<std::string, SubmittedJob> jobs_;
  std::map<std::size_t, std::vector<FaultInterval>> fault_intervals_;
  std::vector<FaultInterval> global_fault_intervals_;
  std::vector<std::string> violations_;
  std::map<std::string, std::size_t> violation_counts_;
  std::string expected_result_;
};

}  // namespace nettlestand::tier::soak
