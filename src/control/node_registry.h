// The nodes that poll a group's leader: which are live, and what each has been sent. No I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "messaging/messages.h"

namespace nettlestand::tier {

// Kept by the leader of a group and cleared when leadership changes.
class NodeRegistry {
 public:
  // A polling node and the versions that it has.
  struct Subscriber {
    NodeInfo node{};
    std::string address;
    Millis last_poll_at = 0;
    bool leaving = false;
    std::uint64_t placement_sequence = 0, list_term = 0, list_sequence = 0;
  };

  // Records a poll and returns the node's entry.
  Subscriber& on_poll(Millis now, const std::string& from, const Poll& poll);
  void clear() { subscribers_.clear(); }

  // Nodes to which changes are pushed without waiting for their next poll.
  std::vector<Subscriber*> push_targets(Millis now);
  // Edge nodes that have polled within the given time.
  std::size_t live_edges(Millis now, Millis within) const;
  // Edge nodes that count as live.
  std::size_t registered_edges(Millis now) const;
  // Live core machines, as candidates for membership of a group.
  std::vector<consensus::Member> live_core(Millis now) const;
  // Fills in the node's position among the live nodes of its role, and among those in its zone, from which it
  // derives its subset of the servers.
  void fill_position(Millis now, const Poll& poll, PollReply& reply) const;

 private:
  std::map<std::string, Subscriber> subscribers_;  // by name
};

}  // namespace nettlestand::tier
