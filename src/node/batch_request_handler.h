// Handles clients' requests about batch jobs at an edge node: validates them and sends them as messages to
// the store that is the primary of the tenant's shard.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include "base/body_integrity.h"
#include "control/control_client.h"
#include "messaging/messenger.h"
#include "node/http_server.h"
#include "node/pending_calls.h"

namespace nettlestand::tier {

// Requests are retried until a store answers or the time for them is over.
class BatchRequestHandler {
 public:
  // Time within which a submission, or a request to end a job, is answered.
  static constexpr Millis kMaxCallMs = 2600;

  BatchRequestHandler(boost::asio::io_context& io, Messenger& messenger, ControlClient& control_client,
                      std::uint64_t first_call)
      : io_(io), messenger_(messenger), control_client_(control_client), pending_calls_(io, first_call) {}

  // Submits the job in the request's body for `tenant`. Each item has to be under the job's `route`, as
  // `configuration` has it.
  boost::asio::awaitable<void> submit(std::shared_ptr<HttpExchange> exchange,
                                      const Configuration& configuration, const Route& route,
                                      std::string tenant);
  // Handles GET and DELETE of /nettlestand/lots/ID and GET of /nettlestand/items/ID. The job is looked up
  // under each of `owners`, the tenants whose jobs the client may use, until it is found. False, without a
  // response: none of them has it. `may_long_poll`: a read may wait for new results for as long as its client
  // allows.
  boost::asio::awaitable<bool> handle_job_request(std::shared_ptr<HttpExchange> exchange,
                                                  std::vector<std::string> owners, bool may_long_poll);
  static boost::asio::awaitable<void> respond_no_such_job(std::shared_ptr<HttpExchange> exchange);
  // With so many reads waiting for results, a further one is answered at once, so that those who wait leave
  // connections to others.
  void set_max_long_polls(std::size_t max_long_polls) { max_long_polls_ = max_long_polls; }
  void on_reply(JobReply reply) { pending_calls_.deliver(std::move(reply)); }

  // Counts the submissions whose body no longer matched its digest when it was to be parsed.
  const BodyIntegrityCounters& body_check() const { return body_check_; }

  // Whether a path belongs to `handle_job_request`.
  static bool is_job_path(std::string_view path);

 private:
  struct PrimaryReply {
    std::uint32_t status = 0;  // HTTP status; 0: no store has answered
    std::string body;
    bool may_be_stored = false;  // a store was called and its reply is unknown
  };
  // Refuses a call for which the process has no memory left; nothing of it has been done.
  static boost::asio::awaitable<void> refuse_for_memory(std::shared_ptr<HttpExchange> exchange);
  // Calls the primaries of the owners one after the other, until one of them has the job.
  boost::asio::awaitable<PrimaryReply> call_owners(JobCall call, std::vector<std::string> owners,
                                                   Millis deadline);
  // Sends a call to the current primary, again and again, until a store answers or the deadline has passed.
  boost::asio::awaitable<PrimaryReply> call_primary(JobCall call, Millis deadline);

  boost::asio::io_context& io_;
  Messenger& messenger_;
  ControlClient& control_client_;
  PendingCalls<JobReply> pending_calls_;
  BodyIntegrityCounters body_check_;
  std::size_t long_polls_ = 0, max_long_polls_ = std::numeric_limits<std::size_t>::max();
};

}  // namespace nettlestand::tier
