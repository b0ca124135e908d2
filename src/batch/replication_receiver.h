// The replica side of batch replication: receives changes from the primaries of other stores' shards, writes
// them to the journal, applies them to the table and acknowledges them.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/body_integrity.h"
#include "batch/change_writer.h"
#include "batch/job_table.h"
#include "control/control_client.h"
#include "messaging/messenger.h"

namespace nettlestand::tier {

class ReplicationReceiver {
 public:
  ReplicationReceiver(Messenger& messenger, const ControlClient& control_client, JobTable& table,
                      ChangeWriter& writer, BodyIntegrityCounters& body_check, StoreId self)
      : messenger_(messenger),
        control_client_(control_client),
        table_(table),
        writer_(writer),
        body_check_(body_check),
        self_(self) {}

  void on_replicate(const std::string& from, const Replicate& message);

 private:
  // The newest message accepted from a shard's primary. Messages of the same epoch with a lower number
  // arrived late and are ignored.
  struct LastMessage {
    std::uint64_t epoch = 0;
    MessageNumber number{};
  };
  bool is_from_primary(const std::string& from, const Replicate& message) const;
  bool is_stale(const Replicate& message);
  void check_bodies(const Replicate& message);
  void acknowledge(const std::string& from, const Replicate& message);

  Messenger& messenger_;
  const ControlClient& control_client_;
  JobTable& table_;
  ChangeWriter& writer_;
  BodyIntegrityCounters& body_check_;
  StoreId self_;
  std::map<std::uint32_t, LastMessage> last_messages_;
};

}  // namespace nettlestand::tier
