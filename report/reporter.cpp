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
  // The reply does not matter: a lost report is made up for by the next one, since the counts only grow.
  duties_.send_operator_request(std::move(r), [](const std::vector<duties::Reply>&, const std::string&) {});
}

void Reporter::on_lease_change(const duties::LeaseHolder::Change& c) {
  token_ = c.gained ? c.token : 0;
  if (!c.gained) {
    period_timer_.cancel();
    return;
  }
  // The period continues from the end of the last one in the file. The remaining time is clamped to one
  // period, so that clocks that differ by much cost one period at most.
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

// Reports the failure, upon which another node takes the duty over.
void Reporter::give_up_duty(const std::string& why) {
  log_({LogLevel::kError, "report", "book_failed", "cannot write the report: " + why, {{"why", why}}});
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
                "cannot collect the report counts; trying again next period: " + error,
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
            "the report counts of node " + r.duty + " cannot be decoded",
            {{"node", r.duty}}});
    }
  }
  // Checks the lease one last time. The fencing token goes along with the write, where a stale one is
  // refused.
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
              "a later lease holder has already written to the report; nothing was written",
              {{"token", static_cast<std::int64_t>(token)}}});
      } else {
        log_({LogLevel::kInfo,
              "report",
              "written",
              "wrote a report period with the counts of " + std::to_string(n) + " nodes",
              {{"token", static_cast<std::int64_t>(token)}, {"nodes", static_cast<std::int64_t>(n)}}});
      }
    });
  });
}

}  // namespace nettlestand::report
