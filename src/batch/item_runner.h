// Runs the items of batch jobs at the model servers, in the room that live requests leave.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "batch/job_runner.h"
#include "control/follower.h"
#include "forwarding/forwarder.h"

namespace nettlestand::tier {

class ItemRunner : public JobRunner {
 public:
  ItemRunner(boost::asio::io_context& io, Forwarder& forwarder, ControlFollower& follower,
             const JobTable& table, Hooks hooks);

  void pump(Millis now) override;
  void forget(const JobKey& key) override;
  std::size_t running() const { return running_; }

 private:
  struct ItemState {
    bool running = false, finished = false;
    int failures = 0;
    std::uint32_t starts = 0;
    Millis retry_at = 0;
    std::uint64_t last_event = 0;
    bool has_event = false;
    std::string text;  // of the events so far
  };
  struct JobState {
    std::map<std::uint32_t, ItemState> items;
    std::uint32_t next = 0;  // items before it are finished or running
    std::set<std::uint32_t> again;
  };
  class TextSink;

  bool start_one(Millis now, const JobKey& key, const Job& job);
  void start(Millis now, const JobKey& key, const Job& job, const Route& route, std::uint32_t item);
  boost::asio::awaitable<void> run(JobKey key, std::uint32_t item, ForwardRequest request);
  void finished(const JobKey& key, std::uint32_t item, const ForwardResult& result, int max_attempts,
                const std::shared_ptr<TextSink>& sink);
  void finish(const JobKey& key, std::uint32_t item, ResultState state, std::string text);
  void give_up_overdue(Millis now, const JobKey& key, const Job& job, const Route* route);

  boost::asio::io_context& io_;
  Forwarder& forwarder_;
  ControlFollower& follower_;
  const JobTable& table_;
  Hooks hooks_;
  std::map<JobKey, JobState> states_;
  std::map<JobKey, std::set<std::shared_ptr<TextSink>>> sinks_;
  std::size_t running_ = 0;
};

}  // namespace nettlestand::tier
