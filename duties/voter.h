// A voter without sockets: combines the Raft replica with the lease manager, and routes replies to clients.
// Gets frames and the time, and returns frames to send; persistent state goes through a Store.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "duties/lease_manager.h"
#include "duties/messages.h"
#include "duties/raft_replica.h"

namespace nettlestand::duties {

struct VoterSettings {
  std::string cluster = "nettlestand";
  Node self;
  RaftSettings raft;  // `name` is taken from `self`
  LeaseManagerSettings lease_manager;
};

class Voter {
 public:
  struct Outgoing {
    bool to_voter = false;
    std::uint64_t to = 0;  // a voter's id or a client's number
    std::string name;      // the voter's label in the Raft configuration
    Frame frame;
  };
  using OutgoingFrames = std::vector<Outgoing>;
  struct Notice {  // an event to be logged
    const char* event;
    std::string text;
  };

  // Throws as RaftReplica does.
  Voter(VoterSettings settings, Store& store, double now);

  Frame hello(const std::string& nonce) const;
  // Another voter's hello was received. Returns false if its frames must be ignored: it runs on an old copy
  // of its state.
  bool on_voter_hello(double now, const Frame& hello, OutgoingFrames& out);
  // The connection to the voter of this name has ended. The next one of that name may have another identity.
  void on_voter_disconnected(const std::string& name) { voter_hellos_.erase(name); }
  void on_voter_frame(double now, std::uint64_t id, const std::string& name, const Frame& frame,
                      OutgoingFrames& out);
  // `client`: the caller's number of a connection, from 1 and below 2^32.
  void on_client_frame(double now, std::uint64_t client, const Frame& frame, OutgoingFrames& out);
  // A frame to a voter could not be sent: clients whose requests it contained are told to try again.
  void on_send_failed(double now, const Frame& frame, OutgoingFrames& out);
  void on_client_gone(double now, std::uint64_t client, OutgoingFrames& out);
  void tick(double now, OutgoingFrames& out);
  double next_deadline() const;
  // This process is about to exit: makes another voter the leader.
  void transfer_leadership(double now, OutgoingFrames& out);

  // The voters to keep connections to, as "name" or "name=address".
  std::vector<std::string> voters_to_connect() const;
  bool failed() const { return !failure_.empty(); }
  const std::string& failure() const { return failure_; }
  std::vector<Notice> take_notices();
  const RaftReplica& raft() const { return raft_; }
  const LeaseManager& lease_manager() const { return lease_manager_; }

 private:
  struct MembershipChange {
    std::uint64_t client = 0, seq = 0;
    std::string label;  // name or name=address
    double deadline = 0;
    bool remove = false, started = false;
    std::uint64_t id = 0;
  };
  struct NodeReport {
    std::uint64_t generation = 0;
    std::string text;
    double published_at = 0;
  };

  void process_events(double now, OutgoingFrames& out);
  void apply_actions(LeaseManager::Actions& actions, OutgoingFrames& out);
  void submit_proposals(double now);
  void reply(std::uint64_t client, Reply reply, OutgoingFrames& out);
  void send_queued_replies(OutgoingFrames& out);
  void on_request(double now, std::uint64_t client, const Request& r, OutgoingFrames& out);
  void start_next_change(double now, OutgoingFrames& out);
  void finish_change(Reply::Kind kind, const std::string& text, OutgoingFrames& out);
  std::string duties_json() const;
  std::string voters_json() const;
  std::string leader_name() const;

  VoterSettings s_;
  Store& store_;
  RaftReplica raft_;
  LeaseManager lease_manager_;
  std::vector<Command> proposals_;       // collected over one frame or tick, for a single write
  std::vector<std::uint64_t> barriers_;  // to be placed behind the proposals
  std::map<std::uint64_t, std::vector<Reply>> queued_replies_;  // by client
  // (voter, that voter's client number) to our client number, and back.
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint64_t> forward_ids_;
  std::map<std::uint64_t, std::pair<std::uint64_t, std::uint64_t>> forwarded_clients_;
  std::uint64_t last_forward_id_ = std::uint64_t{1} << 32;
  std::map<std::uint64_t, std::uint64_t> hinted_leaders_;  // by client: the leader it was last told of
  std::vector<MembershipChange> changes_;           // membership changes; only the first is in progress
  std::map<std::string, Frame> voter_hellos_;       // latest hello of each voter, by name
  std::map<std::string, NodeReport> node_reports_;  // latest report of each node, by name
  std::set<std::uint64_t> rejected_voters_;
  double next_tick_ = 0;
  std::string failure_;
  std::vector<Notice> notices_;
};

// The name and the address of a label "name" or "name=address"; the address may be empty.
std::string voter_name(const std::string& label);
std::string voter_address(const std::string& label);

}  // namespace nettlestand::duties
