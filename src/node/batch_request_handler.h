// Calls on batch jobs at an edge node: checked, turned into messages, and passed to the primary of the
// tenant's shard.
#pragma once

#include <absl/status/statusor.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "base/body_integrity.h"
#include "control/control_client.h"
#include "messaging/messenger.h"
#include "node/http_server.h"
#include "node/pending_calls.h"

namespace nettlestand::tier {

// The items of a submission's body; an InvalidArgumentError says what is wrong.
absl::StatusOr<JobSpec> parse_job(std::string_view json);

class BatchRequestHandler {
 public:
  // A submission or an end is answered within this time.
  static constexpr Millis kMaxCallMs = 2600;

  BatchRequestHandler(boost::asio::io_context& io, Messenger& messenger, ControlClient& control_client,
                      std::uint64_t first_call)
      : io_(io), messenger_(messenger), control_client_(control_client), pending_calls_(io, first_call) {}

  boost::asio::awaitable<void> submit(std::shared_ptr<HttpExchange> exchange, const Route& route,
                                      std::string tenant);
  // GET and DELETE of /nettlestand/lots/ID, GET of /nettlestand/items/ID. `may_hold`: a read may wait for
  // news as long as its client allows.
  boost::asio::awaitable<void> handle_job_request(std::shared_ptr<HttpExchange> exchange, std::string tenant,
                                                  bool may_long_poll);
  void on_reply(JobReply reply) { pending_calls_.deliver(std::move(reply)); }

  // Submissions whose bytes had changed before they were parsed.
  const BodyIntegrityCounters& body_check() const { return body_check_; }

  static bool is_job_path(std::string_view path);

 private:
  struct PrimaryReply {
    std::uint32_t status = 0;  // 0: no store could answer
    std::string body;
    bool may_be_stored = false;  // a store was asked and its answer is not known
  };
  boost::asio::awaitable<PrimaryReply> call_primary(JobCall call, Millis deadline);

  boost::asio::io_context& io_;
  Messenger& messenger_;
  ControlClient& control_client_;
  PendingCalls<JobReply> pending_calls_;
  BodyIntegrityCounters body_check_;
};

}  // namespace nettlestand::tier
