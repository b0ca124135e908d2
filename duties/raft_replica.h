// One voter's part in the agreement on the lease table: libraft (Raft, Ongaro 2014) with storage, time and
// messages handed in. No sockets, no threads, no clock; what is stored is stored before anything is answered.
// What comes from others is checked before libraft sees it, as libraft trusts what it is given.
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
  std::string name;                      // of this voter
  unsigned election_timeout_ms = 1000;   // without word from a leader, until once or twice as long
  unsigned heartbeat_interval_ms = 100;  // between a leader's words
  unsigned snapshot_threshold = 4096;    // entries
  unsigned snapshot_trailing = 1024;     // entries that are kept behind a snapshot
  std::uint64_t seed = 1;
};

enum class VoterRole : std::uint8_t { kStandby, kVoter, kSpare };  // as libraft counts them

struct VoterInfo {
  std::uint64_t id = 0;
  std::string name;  // or "name=address"
  VoterRole role = VoterRole::kVoter;
  bool operator==(const VoterInfo&) const = default;
};

class RaftReplica {
 public:
  struct Event {
    enum class Kind : std::uint8_t {
      kSend,               // `bytes` to the voter `to`
      kApplied,            // `command` was applied, with `result`
      kBarrierDone,        // barrier `number` is through: all that was proposed before it has been applied
      kBecameLeader,       // this voter leads, and has applied all of former terms
      kLostLeadership,     // it does not any more
      kMembershipChanged,  // a change of the voters is done, or failed: `bytes` says why
      kFailed              // it can't go on: `bytes` says why; it has to be made anew from what is stored
    };
    Kind kind = Kind::kSend;
    std::uint64_t to = 0, number = 0;
    std::string name, bytes;
    Command command;
    CommandResult result;
  };

  // Goes on where the stored state ends. Throws StoreError; std::runtime_error where libraft can't start.
  RaftReplica(RaftSettings settings, Store& store, double now);
  ~RaftReplica();
  RaftReplica(const RaftReplica&) = delete;
  RaftReplica& operator=(const RaftReplica&) = delete;

  // The first voter of all, alone: its state has to be new. Others are added to it.
  static void bootstrap(Store& store, const std::string& name);

  // What has happened since, in order. To be asked for after each call below.
  std::vector<Event> take_events();

  void tick(double now);  // each tenth of an election's time or more often
  void receive(double now, std::uint64_t from, const std::string& name, std::string_view bytes);
  // Only whoever leads can; false: not now.
  bool propose(double now, const std::vector<Command>& commands);
  bool barrier(double now, std::uint64_t number);
  // A change of the voters; kChanged tells of its end. One at a time.
  bool add_voter(double now, std::uint64_t id, const std::string& name);
  // One that was added, and does not vote yet.
  bool promote_voter(double now, std::uint64_t id);
  bool remove_voter(double now, std::uint64_t id);
  // Has another voter lead, where there is one.
  void transfer_leadership(double now);

  bool is_leader() const;
  std::uint64_t id() const;
  std::uint64_t start_count() const;
  std::uint64_t start_id() const;
  std::uint64_t term() const;
  const char* state_name() const;  // follower, candidate, leader or unavailable
  std::uint64_t last_index() const;
  std::uint64_t leader_id(std::string* name = nullptr) const;  // 0: unknown
  std::vector<VoterInfo> voters() const;                       // as of the newest entry of the log
  const LeaseTable& table() const;

  struct Counters {
    std::uint64_t rejected_messages = 0;  // messages that can't be a voter's
    std::uint64_t writes = 0, entries_written = 0, snapshots = 0;
  };
  const Counters& counters() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace nettlestand::duties
