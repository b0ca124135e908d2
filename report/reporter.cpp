#include "report/reporter.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "util/clock.h"

namespace nettlestand::report {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

double wall_clock() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace

Reporter::Reporter(asio::io_context& loop, ReporterOptions options, duties::ClientService& duties,
                   const AnswerCounter& counter, Log log)
    : loop_(loop),
      options_(std::move(options)),
      duties_(duties),
      counter_(counter),
      log_(std::move(log)),
      publish_timer_(loop),
      period_timer_(loop) {}

Reporter::~Reporter() {
  *alive_ = false;
  writer_thread_.join();
}

void Reporter::start() {
  if (!options_.store_path.empty())
    duties_.acquire(options_.duty, [this](const duties::LeaseHolder::Change& c) { on_lease_change(c); });
  schedule_publish();
}

void Reporter::schedule_publish() {
  publish_timer_.expires_after(to_duration(options_.publish_interval));
  publish_timer_.async_wait([this, alive = alive_](const error_code& error) {
    if (error || !*alive) return;
    publish_counts();
    schedule_publish();
  });
}

void Reporter::publish_counts() {
  duties::Request r;
  r.kind = duties::Request::Kind::kPublishReport;
  r.text = encode(counter_.counts());
  // Lost ones are made up for by the next: the counts only grow.
  duties_.send_operator_request(std::move(r), [](const std::vector<duties::Reply>&, const std::string&) {});
}

void Reporter::on_lease_change(const duties::LeaseHolder::Change& c) {
  token_ = c.gained ? c.token : 0;
  if (!c.gained) {
    period_timer_.cancel();
    return;
  }
  // How much of the period is over already, by the last entry. Clocks that are wrong by much cost a period at
  // the most: what is not between nothing and a whole one is taken as either.
  asio::post(writer_thread_, [this, token = c.token, alive = alive_] {
    double in = options_.period;
    std::string problem;
    try {
      if (!store_) store_ = std::make_unique<ReportStore>(options_.store_path);
      const double last = store_->last_ended();
      if (last > 0) in = std::clamp(last + options_.period - wall_clock(), 0.0, options_.period);
    } catch (const std::exception& e) {
      problem = e.what();
    }
    asio::post(loop_, [this, token, in, problem, alive] {
      if (!*alive || token != token_) return;
      if (problem.empty()) return schedule_collection(in);
      give_up_duty(problem);
    });
  });
}

// Somebody else is to try.
void Reporter::give_up_duty(const std::string& why) {
  log_({LogLevel::kError, "report", "book_failed", "the report can't be written: " + why, {{"why", why}}});
  duties_.report_failure(kReportDuty);
}

void Reporter::schedule_collection(double in) {
  period_timer_.expires_after(to_duration(in));
  period_timer_.async_wait([this, alive = alive_](const error_code& error) {
    if (!error && *alive) collect();
  });
}

void Reporter::collect() {
  if (token_ == 0 || writing_) return;
  schedule_collection(options_.period);
  writing_ = true;
  duties::Request r;
  r.kind = duties::Request::Kind::kCollectReports;
  duties_.send_operator_request(
      std::move(r), [this, alive = alive_](std::vector<duties::Reply> replies, const std::string& error) {
        if (!*alive) return;
        if (!error.empty()) {
          writing_ = false;
          log_({LogLevel::kWarning,
                "report",
                "not_gathered",
                "a period is written later: " + error,
                {{"why", error}}});
          return;
        }
        write_period(replies);
      });
}

void Reporter::write_period(const std::vector<duties::Reply>& replies) {
  std::vector<NodeCounts> node_counts;
  for (const duties::Reply& r : replies) {
    if (r.kind != duties::Reply::Kind::kText) continue;
    try {
      node_counts.push_back({r.duty, r.token, decode(r.text)});
    } catch (const std::exception&) {
      log_({LogLevel::kWarning,
            "report",
            "word_dropped",
            "what " + r.duty + " has told can't be read",
            {{"node", r.duty}}});
    }
  }
  // The guard: the last look at the lease, and the token that goes to where the effect takes place.
  const auto token = duties_.held_token(kReportDuty);
  if (!token) {
    writing_ = false;
    return;
  }
  asio::post(writer_thread_, [this, token = *token, node_counts = std::move(node_counts),
                              name = duties_.self().name, alive = alive_] {
    std::string problem;
    ReportStore::CloseResult written = ReportStore::CloseResult::kWritten;
    try {
      written = store_->close_period(token, name, wall_clock(), node_counts);
    } catch (const std::exception& e) {
      problem = e.what();
    }
    asio::post(loop_, [this, token, written, problem, n = node_counts.size(), alive] {
      if (!*alive) return;
      writing_ = false;
      if (!problem.empty()) {
        give_up_duty(problem);
      } else if (written == ReportStore::CloseResult::kStale) {
        log_({LogLevel::kWarning,
              "report",
              "turned_away",
              "a later holder has written: nothing was",
              {{"token", static_cast<std::int64_t>(token)}}});
      } else {
        log_({LogLevel::kInfo,
              "report",
              "written",
              "a period is written, of " + std::to_string(n) + " nodes",
              {{"token", static_cast<std::int64_t>(token)}, {"nodes", static_cast<std::int64_t>(n)}}});
      }
    });
  });
}

}  // namespace nettlestand::report
