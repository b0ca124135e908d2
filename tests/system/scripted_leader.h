// Test double of the leader of the control groups: tells a ControlClient which configuration and which
// placement of batch shards are in force.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control/control_client.h"

namespace nettlestand::tier {

class ScriptedLeader {
 public:
  explicit ScriptedLeader(ControlClient& client) : client_(client) {}

  static const std::string& address() {
    static const std::string address = "10.0.0.1:7000";
    return address;
  }
  // Puts a configuration in force.
  void configure(std::uint64_t generation, const std::string& text) {
    config_ = config_version_of(generation, text);
    answer_poll();
    ConfigTextReply content{};
    content.id = config_;
    content.total = text.size();
    content.bytes = text;
    client_.on_config_text(steady_now(), address(), content);
  }
  // Adds a store to the placement.
  void add_store(StoreId id, const std::string& store_address) {
    StoreRecord record{};
    record.id = id;
    record.name = "store-" + std::to_string(id);
    record.address = store_address;
    table_.stores.push_back(record);
  }
  // Sets the members of the only shard that is placed, first the primary, in a new epoch.
  void place(std::uint32_t shard, const std::vector<StoreId>& members) {
    ShardPlacement row{};
    row.shard = shard;
    row.epoch = ++table_.sequence;
    row.members = members;
    table_.shards = {row};
    answer_poll();
  }
  // Places all shards on the same members, in a new epoch.
  void place_all(const std::vector<StoreId>& members) {
    ++table_.sequence;
    table_.shards.clear();
    for (std::uint32_t shard = 0; shard < kBatchShards; ++shard) {
      ShardPlacement row{};
      row.shard = shard;
      row.epoch = table_.sequence;
      row.members = members;
      table_.shards.push_back(row);
    }
    answer_poll();
  }
  // Answers a poll that was sent `later` than now, which renews the client's leases.
  void answer_poll(Millis later = 0) {
    PollReply reply{};
    reply.from_leader = true;
    reply.sent_at = steady_now() + later;
    reply.config = config_;
    reply.placement_sequence = table_.sequence;
    reply.placement.push_back(table_);
    client_.on_reply(steady_now(), address(), reply);
  }
  std::uint64_t epoch() const { return table_.sequence; }

 private:
  ControlClient& client_;
  ConfigVersion config_{};
  PlacementTable table_{};
};

}  // namespace nettlestand::tier
