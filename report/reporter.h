// The fleet report on a node's loop: its own counts are told to the voters' leader again and again; while
// this node holds the duty, it gathers what all have told and closes a period of the book, on a thread of its
// own.
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

struct ReporterOptions {
  std::string store_path;       // path; empty: this node tells its counts, and never holds the duty
  double period = 60;           // s
  double publish_interval = 2;  // s between words on the own counts
  duties::Duty duty;            // its lease, and who is preferred
};

class Reporter {
 public:
  // `loop`: one that other threads may post to. `tally` is counted into by the caller, on the loop's thread.
  Reporter(boost::asio::io_context& loop, ReporterOptions options, duties::ClientService& duties,
           const AnswerCounter& counter, Log log);
  // Waits for what is being written.
  ~Reporter();
  Reporter(const Reporter&) = delete;
  Reporter& operator=(const Reporter&) = delete;

  void start();
  // One more word on the own counts: this node is about to end.
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
  std::unique_ptr<ReportStore> store_;  // the writer's thread alone
  duties::Token token_ = 0;             // of the duty, while it is held
  bool writing_ = false;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace nettlestand::report
