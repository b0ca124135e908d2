// The leader's decisions about leases: who is granted a free duty, and when a lease has expired. Gets events
// and the time, and returns actions; no I/O, no clock. Its state is volatile: a new leader starts from the
// table alone, and gives every holder a whole lease.
//
// Times are those of the process's steady clock, whose rate is within `drift` of true time. So the time that
// a holder counts, lease_seconds x (1 - drift) from sending a renewal, ends in true time before the time
// counted here, lease_seconds x (1 + drift) from receiving that renewal.
//
// A renewal is confirmed only after a barrier that was proposed after the renewal was received. Only the
// current leader can commit a barrier, and a later leader counts all leases from the start of its own
// leadership, which comes after that (docs/design/duties.md).
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "duties/lease_table.h"
#include "duties/messages.h"

namespace nettlestand::duties {

struct LeaseManagerSettings {
  double drift = 0.01;               // bound on the error of clocks' rates, 0 to 0.2
  double request_ttl = 2.5;          // s for which a request counts
  double preferred_delay = 0.5;      // s for which a free duty waits for a request of a preferred node
  double propose_timeout = 3;        // s until a proposal or barrier without a result may be made again
  double first_renewal_timeout = 1;  // s in which a new holder must renew first. May be shorter than a lease,
                                     // as nothing was confirmed to it yet
  std::size_t max_requesters = 4096;  // per duty
};

class LeaseManager {
 public:
  using ClientId = std::uint64_t;  // the caller's number for the recipient of a reply
  struct ClientReply {
    ClientId to = 0;
    Reply reply;
  };
  // What the caller has to do, in this order.
  struct Actions {
    std::vector<Command> proposals;
    std::vector<std::uint64_t> barriers;  // each to be placed behind all proposals so far
    std::vector<ClientReply> replies;
  };

  // `table`: this voter's applied state; must outlive this object. Throws std::invalid_argument.
  LeaseManager(const LeaseTable& table, LeaseManagerSettings settings);

  // This voter has become the leader, and has applied all entries of earlier terms.
  void become_leader(double now, Actions& out);
  // This voter is no longer the leader.
  void become_follower(Actions& out);
  bool is_leader() const { return is_leader_; }

  void on_request(double now, ClientId from, const Request& request, Actions& out);
  // The client has disconnected: its requests are dropped.
  void on_client_gone(ClientId client);
  // A command of the log, proposed by any leader, was applied; the table already contains it.
  void on_applied(double now, const Command& command, const CommandResult& result, Actions& out);
  // A barrier was committed, and all that was proposed before it has been applied. Not called for a barrier
  // that failed.
  void on_barrier_done(double now, std::uint64_t barrier, Actions& out);
  void tick(double now, Actions& out);
  double next_deadline() const;

  // Uses another table from now on: for a copy of this object with a copy of its table.
  void use_table(const LeaseTable& table) { table_ = &table; }
  // Appends the full state, with times relative to `now`: two objects with the same description behave the
  // same from here on. For the model checker.
  void describe(double now, std::string& out) const;

  struct Counters {
    std::uint64_t granted = 0, expired = 0, renewed = 0, released = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  struct Requester {
    Node node;
    ClientId client = 0;
    double requested_at = 0;  // s, its last request
    bool operator==(const Requester&) const = default;
  };
  struct Tracked {                // the leader's state of a duty
    double lease_started_at = 0;  // s; start of the lease: when its last confirmed renewal was received, or
                                  // it was granted; or when the duty became free
    double proposed_at = -1e18;   // s; when the grant or release in progress was proposed
    bool releasing = false;       // a release is in progress: no renewal is confirmed any more
    // Granted by this leader with no renewal confirmed since, so no node counts itself as the holder.
    bool unconfirmed = false;
    ClientId holder = 0;                          // client of the last renewal
    std::map<std::string, Requester> requesters;  // by node name
  };
  struct Renewal {
    ClientId client = 0;
    Request request;
    double received_at = 0;  // s
  };
  struct OperatorCommand {  // a command whose sender waits for it to be applied
    ClientId client = 0;
    std::uint64_t seq = 0;
    Command command;
  };

  Tracked& tracked_for(const std::string& duty, double now);
  double expires_at(const Lease& lease, const Tracked& tracked) const;
  void start_barrier(double now, Actions& out);
  void on_renew(double now, ClientId from, const Request& r, Actions& out);
  void propose_operator_command(ClientId from, std::uint64_t seq, Command command, Actions& out);
  void propose(double now, Tracked& tracked, Command command, Actions& out);
  void grant_if_free(double now, const Lease& lease, Tracked& tracked, Actions& out);
  const Requester* best_requester(double now, const Lease& lease, const Tracked& tracked,
                                  bool& worth_waiting) const;

  const LeaseTable* table_;
  LeaseManagerSettings s_;
  bool is_leader_ = false;
  std::map<std::string, Tracked> tracked_;
  std::map<std::uint64_t, std::vector<Renewal>> renewals_;  // by the barrier that confirms them
  std::vector<Renewal> unconfirmed_;                        // for the next barrier
  std::deque<OperatorCommand> operator_commands_;           // in the order proposed
  std::uint64_t last_barrier_ = 0;
  double barrier_started_at_ = -1e18;  // s; when the barrier in progress was proposed
  Counters counters_;
};

}  // namespace nettlestand::duties
