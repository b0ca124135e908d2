// The nodes that poll a group's leader: who is live, and what each has been told. No I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "messaging/messages.h"

namespace nettlestand::tier {

class NodeRegistry {
 public:
  struct Subscriber {
    NodeInfo node{};
    std::string address;
    Millis last_poll_at = 0;
    bool leaving = false;
    std::uint64_t placement_sequence = 0, list_term = 0, list_sequence = 0;
  };

  Subscriber& on_poll(Millis now, const std::string& from, const Poll& poll);
  void clear() { subscribers_.clear(); }

  // Nodes that are told of changes unasked.
  std::vector<Subscriber*> push_targets(Millis now);
  std::size_t live_edges(Millis now, Millis within) const;
  std::size_t registered_edges(Millis now) const;
  // Core machines that may join a group.
  std::vector<consensus::Member> live_core(Millis now) const;
  // The node's place among the live ones of its class, and among those of its zone, for its subset of the
  // servers.
  void fill_position(Millis now, const Poll& poll, PollReply& reply) const;

 private:
  std::map<std::string, Subscriber> subscribers_;  // by name
};

}  // namespace nettlestand::tier
