// What the soak's clients have sent and been told, and the promises that follow from it. Knows nothing of the
// tier's code: it compares what clients and servers have seen.
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
struct Outcome {
  int status = 0;           // 0: no whole head came
  bool complete = false;    // the answer was whole
  bool whole_sent = false;  // the last byte of the request was written
  Millis ended_at = 0;
};

struct LiveRequest {
  std::string id, target, body, tenant;
  bool repeatable = false;
  std::size_t node = 0;
  Millis sent_at = 0;
  Outcome outcome;
};

// A job as its client knows it.
struct SubmittedJob {
  std::string id, tenant;
  std::map<std::string, std::string> bodies;  // of the items, by id
  bool accepted = false, refused = false, end_asked = false;
  std::vector<std::string> listed;  // items by position, as read
};

class Ledger {
 public:
  void on_sent(const LiveRequest& request);
  void on_outcome(const std::string& id, const Outcome& outcome);
  // Unplanned trouble on a node: what it loses between the times is not owed.
  void on_unplanned(std::size_t node, Millis from, Millis until);
  // Servers that break off, also: nothing that is lost then is owed by the tier.
  void on_unplanned_everywhere(Millis from, Millis until);

  void on_job(const SubmittedJob& job);
  void on_job_answer(const std::string& job, bool accepted, bool refused);
  void on_job_end_asked(const std::string& job);
  // A page of results that was read from the start.
  void on_page(const std::string& job, const std::vector<std::string>& items,
               const std::vector<std::string>& texts);
  void on_job_missing(const std::string& job);
  // Accepted, not ended, and without all results.
  std::vector<SubmittedJob> open_jobs() const;
  std::vector<SubmittedJob> accepted_jobs() const;

  void fail(const std::string& what);
  // Compares all with what servers have run; `whole_text`: of an item that is completed.
  void check(const std::vector<standins::SeenRequest>& runs);
  void set_whole_text(std::string text) { whole_text_ = std::move(text); }

  std::vector<std::string> broken() const;
  struct Totals {
    std::size_t requests = 0, served = 0, refused = 0, denied = 0, unanswered = 0, jobs = 0, results = 0;
  };
  Totals totals() const;

 private:
  struct Trouble {
    Millis from = 0, until = 0;
  };
  void check_live(const std::vector<standins::SeenRequest>& runs);
  void check_lost(const LiveRequest& request, bool was_passed_on);
  void check_items(const std::vector<standins::SeenRequest>& runs);
  bool was_troubled(const LiveRequest& request) const;
  void fail_locked(const std::string& what);

  mutable std::mutex mutex_;
  std::map<std::string, LiveRequest> requests_;
  std::map<std::string, SubmittedJob> jobs_;
  std::map<std::size_t, std::vector<Trouble>> troubles_;
  std::vector<Trouble> everywhere_;
  std::vector<std::string> broken_;
  std::string whole_text_;
};

}  // namespace nettlestand::tier::soak
