// What the leader among the voters decides about leases: who is granted a free one, and when one has lapsed.
// Events and time in, actions out; no I/O, no clock. All of it is volatile: a new leader begins with the
// table alone, and with a whole lease's length for every holder.
//
// Times are this process' steady clock. A clock's rate is within `drift` of true time. So what a holder
// counts as length x (1 - drift) from when it sent a renewal is over, in true time, before what is counted
// here as length x (1 + drift) from when that renewal came.
//
// A renewal is confirmed only behind a barrier that was proposed after it came: who can still commit one is
// the leader, and a later leader, whose clock for all leases starts with its own leadership, starts it later
// than that (docs/design/duties.md).
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
  double drift = 0.01;           // bound on the error of clocks' rates, 0 to 0.2
  double request_ttl = 2.5;      // s for which an ask counts
  double preferred_delay = 0.5;  // s that a free duty waits for one that is preferred to ask
  double propose_timeout = 3;    // s until a proposal that is not heard of may be made again
  double first_renewal_timeout =
      1;  // s for who was granted a duty to say so; nothing was confirmed to it before
  std::size_t max_requesters = 4096;  // for one duty
};

class LeaseManager {
 public:
  using ClientId = std::uint64_t;  // the host's number of who is to be answered
  struct ClientReply {
    ClientId to = 0;
    Reply reply;
  };
  // What the host has to do, in this order of kinds.
  struct Actions {
    std::vector<Command> proposals;
    std::vector<std::uint64_t> barriers;  // each a barrier behind all that was proposed so far
    std::vector<ClientReply> replies;
  };

  // `table`: as this voter has applied it; outlives the keeper. Throws std::invalid_argument.
  LeaseManager(const LeaseTable& table, LeaseManagerSettings settings);

  // This voter leads, and has applied all of former terms.
  void become_leader(double now, Actions& out);
  // It does not lead any more.
  void become_follower(Actions& out);
  bool is_leader() const { return is_leader_; }

  void on_request(double now, ClientId from, const Request& request, Actions& out);
  // Nobody is there any more to be answered.
  void on_client_gone(ClientId client);
  // A command of this log was applied, whoever proposed it; the table has it already.
  void on_applied(double now, const Command& command, const CommandResult& result, Actions& out);
  // A barrier is through; all that was proposed before it has been applied. Not told of for one that failed.
  void on_barrier_done(double now, std::uint64_t barrier, Actions& out);
  void tick(double now, Actions& out);
  double next_deadline() const;

  // The table is elsewhere from now on: for a copy of a keeper beside a copy of its table.
  void use_table(const LeaseTable& table) { table_ = &table; }
  // All that it decides by, with times from `now` on: two that say the same go on alike. For a model checker.
  void describe(double now, std::string& out) const;

  struct Counters {
    std::uint64_t granted = 0, expired = 0, renewed = 0, released = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  struct Requester {
    Node node;
    ClientId client = 0;
    double requested_at = 0;  // s, its last ask
    bool operator==(const Requester&) const = default;
  };
  struct Tracked {                // a duty, as seen from here
    double lease_started_at = 0;  // s; the holder is known to have been well then; or when it became free
    double proposed_at = -1e18;   // s; a grant or a release is under way since
    bool releasing = false;       // it is a release: nothing is confirmed any more
    // This leader granted it, and has confirmed nothing since: nobody believes that it holds it.
    bool unconfirmed = false;
    ClientId holder = 0;                          // who renewed it last
    std::map<std::string, Requester> requesters;  // by node's name
  };
  struct Renewal {
    ClientId client = 0;
    Request request;
    double received_at = 0;  // s, when it came
  };
  struct OperatorCommand {  // who waits for its word to be in the log
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
  std::vector<Renewal> unconfirmed_;                        // for the next one
  std::deque<OperatorCommand> operator_commands_;           // in the order of their commands
  std::uint64_t last_barrier_ = 0;
  double barrier_started_at_ = -1e18;  // s; one is under way since
  Counters counters_;
};

}  // namespace nettlestand::duties
