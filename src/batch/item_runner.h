// Sends the items of batch jobs to the model servers, in the capacity that live requests leave. ItemSchedule
// decides which items are sent and what follows from the outcome.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <string>

#include "batch/item_schedule.h"
#include "batch/job_runner.h"
#include "control/control_client.h"
#include "forwarding/forwarder.h"

namespace nettlestand::tier {

class ItemRunner : public JobRunner, private ItemHost {
 public:
  ItemRunner(boost::asio::io_context& io, Forwarder& forwarder, ControlClient& control_client,
             const JobTable& table, Hooks hooks);

  // Requests a scheduling round in the next iteration of the event loop; requests from several events share
  // one round.
  void pump(Millis now) override;
  void stop(const JobKey& key) override { schedule_.stop(key); }
  void forget(const JobKey& key) override { schedule_.forget(key); }

 private:
  class TextSink;

  bool may_run(Millis now, const JobKey& key) override { return hooks_.may_run(now, key); }
  ItemLimits limits_for(Millis now, const std::string& route) override;
  bool is_routed(const Job& job, std::uint32_t item) const override;
  bool can_start() const override;
  bool has_capacity(Millis now, const std::string& route) override;
  void start(Millis now, const ItemRun& run) override;
  void on_corrupted_item(const JobKey& key, std::uint32_t item, StartReason reason) override;
  void on_result(Millis now, const JobKey& key, JobResult result) override;
  void abandon(RunId run) override;

  // The route of that name in the current configuration, or null.
  const Route* route_named(const std::string& name) const;
  ForwardRequest request_for(Millis now, const ItemRun& run, const Job& job) const;
  bool may_send(RunId run, const JobKey& key, std::uint32_t item, const std::string& service);
  boost::asio::awaitable<void> send(ItemRun run, ForwardRequest request, std::shared_ptr<TextSink> sink);

  boost::asio::io_context& io_;
  Forwarder& forwarder_;
  ControlClient& control_client_;
  const JobTable& table_;
  Hooks hooks_;
  ItemSchedule schedule_;
  std::map<RunId, std::shared_ptr<TextSink>> sinks_;  // of the runs in progress
  // Items started but not yet handed to the forwarder, by service.
  std::map<std::string, std::size_t> not_forwarded_;
  bool pump_requested_ = false;
  // Expires with the runner; posted handlers check it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace nettlestand::tier
