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
                   const Tally& tally, Log log)
    : loop_(loop),
      options_(std::move(options)),
      duties_(duties),
      tally_(tally),
      log_(std::move(log)),
      tell_(loop),
      period_(loop) {}

Reporter::~Reporter() {
  *alive_ = false;
  writer_.join();
}

void Reporter::start() {
  if (!options_.book.empty())
    duties_.acquire(options_.duty, [this](const duties::LeaseHolder::Change& c) { changed(c); });
  await_tell();
}

void Reporter::await_tell() {
  tell_.expires_after(duration(options_.tell_every));
  tell_.async_wait([this, alive = alive_](const error_code& error) {
    if (error || !*alive) return;
    tell();
    await_tell();
  });
}

void Reporter::tell() {
  duties::Request r;
  r.kind = duties::Request::Kind::kPublishReport;
  r.text = encode(tally_.counts());
  // Lost ones are made up for by the next: the counts only grow.
  duties_.send_operator_request(std::move(r), [](const std::vector<duties::Reply>&, const std::string&) {});
}

void Reporter::changed(const duties::LeaseHolder::Change& c) {
  token_ = c.gained ? c.token : 0;
  if (!c.gained) {
    period_.cancel();
    return;
  }
  // How much of the period is over already, by the last entry. Clocks that are wrong by much cost a period at
  // the most: what is not between nothing and a whole one is taken as either.
  asio::post(writer_, [this, token = c.token, alive = alive_] {
    double in = options_.period;
    std::string problem;
    try {
      if (!book_) book_ = std::make_unique<Book>(options_.book);
      const double last = book_->last_ended();
      if (last > 0) in = std::clamp(last + options_.period - wall_clock(), 0.0, options_.period);
    } catch (const std::exception& e) {
      problem = e.what();
    }
    asio::post(loop_, [this, token, in, problem, alive] {
      if (!*alive || token != token_) return;
      if (problem.empty()) return await_period(in);
      give_up(problem);
    });
  });
}

// Somebody else is to try.
void Reporter::give_up(const std::string& why) {
  log_({LogLevel::kError, "report", "book_failed", "the report can't be written: " + why, {{"why", why}}});
  duties_.report_failure(kDuty);
}

void Reporter::await_period(double in) {
  period_.expires_after(duration(in));
  period_.async_wait([this, alive = alive_](const error_code& error) {
    if (!error && *alive) gather();
  });
}

void Reporter::gather() {
  if (token_ == 0 || writing_) return;
  await_period(options_.period);
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
        write(replies);
      });
}

void Reporter::write(const std::vector<duties::Reply>& replies) {
  std::vector<Word> words;
  for (const duties::Reply& r : replies) {
    if (r.kind != duties::Reply::Kind::kText) continue;
    try {
      words.push_back({r.duty, r.token, decode(r.text)});
    } catch (const std::exception&) {
      log_({LogLevel::kWarning,
            "report",
            "word_dropped",
            "what " + r.duty + " has told can't be read",
            {{"node", r.duty}}});
    }
  }
  // The guard: the last look at the lease, and the token that goes to where the effect takes place.
  const auto token = duties_.held_token(kDuty);
  if (!token) {
    writing_ = false;
    return;
  }
  asio::post(
      writer_, [this, token = *token, words = std::move(words), name = duties_.self().name, alive = alive_] {
        std::string problem;
        Book::Written written = Book::Written::kYes;
        try {
          written = book_->close(token, name, wall_clock(), words);
        } catch (const std::exception& e) {
          problem = e.what();
        }
        asio::post(loop_, [this, token, written, problem, n = words.size(), alive] {
          if (!*alive) return;
          writing_ = false;
          if (!problem.empty()) {
            give_up(problem);
          } else if (written == Book::Written::kStale) {
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
