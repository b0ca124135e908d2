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
#include "report/book.h"
#include "report/tally.h"
#include "util/log.h"

namespace nettlestand::report {

struct ReporterOptions {
  std::string book;       // path; empty: this node tells its counts, and never holds the duty
  double period = 60;     // s
  double tell_every = 2;  // s between words on the own counts
  duties::Duty duty;      // its lease, and who is preferred
};

class Reporter {
 public:
  // `loop`: one that other threads may post to. `tally` is counted into by the caller, on the loop's thread.
  Reporter(boost::asio::io_context& loop, ReporterOptions options, duties::ClientService& duties,
           const Tally& tally, Log log);
  // Waits for what is being written.
  ~Reporter();
  Reporter(const Reporter&) = delete;
  Reporter& operator=(const Reporter&) = delete;

  void start();
  // One more word on the own counts: this node is about to end.
  void tell();

 private:
  void changed(const duties::LeaseHolder::Change& change);
  void await_tell();
  void await_period(double in);
  void gather();
  void give_up(const std::string& why);
  void write(const std::vector<duties::Reply>& replies);

  boost::asio::io_context& loop_;
  const ReporterOptions options_;
  duties::ClientService& duties_;
  const Tally& tally_;
  const Log log_;
  boost::asio::steady_timer tell_, period_;
  boost::asio::thread_pool writer_{1};
  std::unique_ptr<Book> book_;  // the writer's thread alone
  duties::Token token_ = 0;     // of the duty, while it is held
  bool writing_ = false;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace nettlestand::report
