// A node's part in the fleet report. Periodically publishes the node's own counts to the voters' leader.
// While the node holds the report's duty, it also collects the counts of all nodes and writes the report's
// periods, on a separate thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <memory>
#include <string>

#include "duties/client_service.h"
#include "report/answer_counter.h"
#include "report/report_store.h"
#include "util/log.h"

namespace nettlestand::report {

// Settings of a Reporter.
struct ReporterOptions {
  std::string store_path;       // empty: this node publishes its counts and never holds the duty
  double period = 60;           // s
  double publish_interval = 2;  // s
  duties::Duty duty;            // its lease and placement
};

// Used on the event loop's thread.
class Reporter {
 public:
  // `loop` must allow posts from other threads. The caller updates `counter` on the loop's thread.
  Reporter(boost::asio::io_context& loop, ReporterOptions options, duties::ClientService& duties,
           const AnswerCounter& counter, Log log);
  // Waits until a write in progress has finished.
  ~Reporter();
  Reporter(const Reporter&) = delete;
  Reporter& operator=(const Reporter&) = delete;

  // Starts to publish, and to acquire the duty if there is a report file.
  void start();
  // Publishes the node's counts now; also called last before the node exits.
  void publish_counts();

 private:
  void on_lease_change(const duties::LeaseHolder::Change& change);
  void schedule_publish();
  void schedule_collection(double in);
  void collect();
  void give_up_duty(const std::string& why);
  void write_period(const std::vector<duties::Reply>& replies);

  boost::asio::io_context& loop_;
  const ReporterOptions options_;
  duties::ClientService& duties_;
  const AnswerCounter& counter_;
  const Log log_;
  boost::asio::steady_timer publish_timer_, period_timer_;
  boost::asio::thread_pool writer_thread_{1};
  std::unique_ptr<ReportStore> store_;  // used on the writer thread only
  duties::Token token_ = 0;             // the duty's fencing token while it is held, else 0
  bool writing_ = false;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace nettlestand::report
