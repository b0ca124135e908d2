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

#include "duties/messages.h"
#include "duties/table.h"

namespace nettlestand::duties {

struct KeeperSettings {
  double drift = 0.01;          // bound on the error of clocks' rates, 0 to 0.2
  double ask_memory = 2.5;      // s for which an ask counts
  double prefer_wait = 0.5;     // s that a free duty waits for one that is preferred to ask
  double propose_patience = 3;  // s until a proposal that is not heard of may be made again
  double take_patience = 1;     // s for who was granted a duty to say so; nothing was confirmed to it before
  std::size_t most_askers = 4096;  // for one duty
};

class Keeper {
 public:
  using Client = std::uint64_t;  // the host's number of who is to be answered
  struct Answer {
    Client to = 0;
    Reply reply;
  };
  // What the host has to do, in this order of kinds.
  struct Actions {
    std::vector<Command> propose;
    std::vector<std::uint64_t> barriers;  // each a barrier behind all that was proposed so far
    std::vector<Answer> answers;
  };

  // `table`: as this voter has applied it; outlives the keeper. Throws std::invalid_argument.
  Keeper(const Table& table, KeeperSettings settings);

  // This voter leads, and has applied all of former terms.
  void lead(double now, Actions& out);
  // It does not lead any more.
  void follow(Actions& out);
  bool leads() const { return leads_; }

  void request(double now, Client from, const Request& request, Actions& out);
  // Nobody is there any more to be answered.
  void gone(Client client);
  // A command of this log was applied, whoever proposed it; the table has it already.
  void applied(double now, const Command& command, const Applied& result, Actions& out);
  // A barrier is through; all that was proposed before it has been applied. Not told of for one that failed.
  void barrier_done(double now, std::uint64_t barrier, Actions& out);
  void tick(double now, Actions& out);
  double next() const;

  // The table is elsewhere from now on: for a copy of a keeper beside a copy of its table.
  void watch(const Table& table) { table_ = &table; }
  // All that it decides by, with times from `now` on: two that say the same go on alike. For a model checker.
  void describe(double now, std::string& out) const;

  struct Counters {
    std::uint64_t granted = 0, lapsed = 0, renewed = 0, given_back = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  struct Asker {
    Node node;
    Client client = 0;
    double at = 0;  // s, its last ask
    bool operator==(const Asker&) const = default;
  };
  struct Watched {            // a duty, as seen from here
    double since = 0;         // s; the holder is known to have been well then; or when it became free
    double proposed = -1e18;  // s; a grant or a release is under way since
    bool ending = false;      // it is a release: nothing is confirmed any more
    // This leader granted it, and has confirmed nothing since: nobody believes that it holds it.
    bool untaken = false;
    Client holder = 0;                    // who renewed it last
    std::map<std::string, Asker> askers;  // by node's name
  };
  struct Renewal {
    Client client = 0;
    Request request;
    double at = 0;  // s, when it came
  };
  struct Operator {  // who waits for its word to be in the log
    Client client = 0;
    std::uint64_t seq = 0;
    Command command;
  };

  Watched& watched_of(const std::string& duty, double now);
  double lapses(const Lease& lease, const Watched& watched) const;
  void confirm(double now, Actions& out);
  void renew(double now, Client from, const Request& r, Actions& out);
  void order(Client from, std::uint64_t seq, Command command, Actions& out);
  void propose(double now, Watched& watched, Command command, Actions& out);
  void deal(double now, const Lease& lease, Watched& watched, Actions& out);
  const Asker* best(double now, const Lease& lease, const Watched& watched, bool& worth_waiting) const;

  const Table* table_;
  KeeperSettings s_;
  bool leads_ = false;
  std::map<std::string, Watched> watched_;
  std::map<std::uint64_t, std::vector<Renewal>> renewals_;  // by the barrier that confirms them
  std::vector<Renewal> waiting_;                            // for the next one
  std::deque<Operator> operators_;                          // in the order of their commands
  std::uint64_t last_barrier_ = 0;
  double barrier_at_ = -1e18;  // s; one is under way since
  Counters counters_;
};

}  // namespace nettlestand::duties
