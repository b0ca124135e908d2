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
using OrderId = std::uint64_t;

class History {
 public:
  // The first broken promise; empty while there is none.
  const std::string& broken() const { return broken_; }
  void fail(const std::string& what);

  // ---- the configuration
  void on_order_sent(OrderId order, Version base, Version version, const std::string& body);
  void on_order_acknowledged(Millis now, OrderId order);
  void on_order_refused(OrderId order);
  // A node has taken over a version: only what an operator sent.
  void on_version_held(const std::string& text);
  void on_read(Millis started, Millis now, const std::string& text);
  // The configuration that is read once all is calm: holds all that was acknowledged, one on top of the
  // other.
  void check_final(const std::string& text);
  // The newest version that was acknowledged up to a time; 0: none.
  Version acknowledged_at(Millis time) const;
  Version acknowledged() const { return acknowledged_.empty() ? 0 : acknowledged_.back().version; }
  std::size_t acknowledged_orders() const { return acknowledged_orders_.size(); }

  // ---- batch jobs
  // `bodies`: of the items, by their ids.
  void on_job_sent(const std::string& job, std::map<std::string, std::string> bodies);
  void on_job_accepted(const std::string& job);
  // All tries were refused with a promise that none of it runs.
  void on_job_refused(const std::string& job);
  // An item reaches a server.
  void on_item_sent(Millis now, const std::string& job, const std::string& item, const std::string& body);
  // A store gives the body of an item that is not listed.
  void on_body(const std::string& job, const std::string& item, const std::string& body);
  void on_job_end_asked(const std::string& job);
  void on_job_end_acknowledged(Millis now, const std::string& job);
  // A read from the start; `listed_before`: results that were known when it was sent. Reads under way at the
  // same time may end in any order.
  void on_results(const std::string& job, std::size_t listed_before, const std::vector<std::string>& items,
                  const std::vector<std::string>& texts);
  // The job or the body of an item of it is not there, says a store that is sure.
  void on_job_missing(const std::string& job, const std::string& what);
  std::size_t listed(const std::string& job) const;
  bool is_listed(const std::string& job, const std::string& item) const;
  std::vector<std::string> accepted_jobs() const;
  // Accepted, not ended, and without all their results.
  std::vector<std::string> open_jobs() const;
  std::size_t results() const;

 private:
  struct Order {
    Version base = 0, version = 0;
    std::string body;
    bool acknowledged = false, refused = false;
  };
  struct Acknowledged {
    Millis time = 0;
    Version version = 0;
  };
  struct JobRecord {
    std::map<std::string, std::string> bodies;
    bool accepted = false, refused = false, started = false, end_asked = false;
    Millis end_acknowledged = 0;  // 0: it was not
    std::vector<std::string> listed, texts;
  };
  const Order* order_with(const std::string& text) const;

  std::string broken_;
  std::map<OrderId, Order> orders_;
  std::map<std::string, OrderId> by_body_;
  std::map<Version, OrderId> winners_;  // of each base
  std::vector<Acknowledged> acknowledged_;
  std::set<OrderId> acknowledged_orders_;
  std::vector<Acknowledged> reads_;
  std::map<std::string, JobRecord> jobs_;
};

}  // namespace nettlestand::tier::simulate
