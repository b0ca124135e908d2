// One voter's replica of the lease table: libraft (Raft, Ongaro 2014) with storage, time and messages passed
// in. No sockets, threads or clock. State is persisted before any message that depends on it is sent.
// Messages of other voters are validated before libraft sees them, as libraft trusts its input.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "duties/lease_table.h"
#include "duties/store.h"

namespace nettlestand::duties {

struct RaftSettings {
  std::string name;                      // name of this voter
  unsigned election_timeout_ms = 1000;   // without a leader's message; randomized up to twice this
  unsigned heartbeat_interval_ms = 100;  // between a leader's messages
  unsigned snapshot_threshold = 4096;    // log entries between snapshots
  unsigned snapshot_trailing = 1024;     // log entries kept before a snapshot's index
  std::uint64_t seed = 1;
};

enum class VoterRole : std::uint8_t { kStandby, kVoter, kSpare };  // values as in libraft

struct VoterInfo {
  std::uint64_t id = 0;
  std::string name;  // "name" or "name=address"
  VoterRole role = VoterRole::kVoter;
  bool operator==(const VoterInfo&) const = default;
};

class RaftReplica {
 public:
  struct Event {
    enum class Kind : std::uint8_t {
      kSend,               // send `bytes` to the voter `to`
      kApplied,            // `command` was applied with `result`
      kBarrierDone,        // barrier `number` is committed: everything proposed before it has been applied
      kBecameLeader,       // this voter is the leader, and has applied all entries of earlier terms
      kLostLeadership,     // this voter is no longer the leader
      kMembershipChanged,  // a membership change has ended; `bytes` has the error if it failed
      kFailed  // unrecoverable: `bytes` has the reason; a new object has to be created from the stored state
    };
    Kind kind = Kind::kSend;
    std::uint64_t to = 0, number = 0;
    std::string name, bytes;
    Command command;
    CommandResult result;
  };

  // Resumes from the stored state. Throws StoreError, or std::runtime_error if libraft can't start.
  RaftReplica(RaftSettings settings, Store& store, double now);
  ~RaftReplica();
  RaftReplica(const RaftReplica&) = delete;
  RaftReplica& operator=(const RaftReplica&) = delete;

  // Makes `store` the state of a cluster's first and only voter, to which others can be added. It must be
  // newly created.
  static void bootstrap(Store& store, const std::string& name);

  // Events since the last call, in order. To be called after each call below.
  std::vector<Event> take_events();

  void tick(double now);  // at least every tenth of the election timeout
  void receive(double now, std::uint64_t from, const std::string& name, std::string_view bytes);
  // The next two only work on the leader; they return false if it is not possible now.
  bool propose(double now, const std::vector<Command>& commands);
  bool barrier(double now, std::uint64_t number);
  // Membership changes, one at a time; kMembershipChanged reports the end.
  bool add_voter(double now, std::uint64_t id, const std::string& name);
  // Gives the vote to a member that was added and does not vote yet.
  bool promote_voter(double now, std::uint64_t id);
  bool remove_voter(double now, std::uint64_t id);
  // Transfers the leadership to another voter, if there is one.
  void transfer_leadership(double now);

  bool is_leader() const;
  std::uint64_t id() const;
  std::uint64_t start_count() const;
  std::uint64_t start_id() const;
  std::uint64_t term() const;
  const char* state_name() const;  // follower, candidate, leader or unavailable
  std::uint64_t last_index() const;
  std::uint64_t leader_id(std::string* name = nullptr) const;  // 0: unknown
  std::vector<VoterInfo> voters() const;                       // as in the newest log entry, committed or not
  const LeaseTable& table() const;

  struct Counters {
    std::uint64_t rejected_messages = 0;  // invalid messages
    std::uint64_t writes = 0, entries_written = 0, snapshots = 0;
  };
  const Counters& counters() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace nettlestand::duties
