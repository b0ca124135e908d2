// A voter without its sockets: agreement and keeper put together, and whom it answers. Frames and time in,
// frames out; what is stored goes through a Store.
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
  RaftSettings raft;  // `name` is `self`'s
  LeaseManagerSettings lease_manager;
};

class Voter {
 public:
  struct Outgoing {
    bool to_voter = false;
    std::uint64_t to = 0;  // a voter's id, or a client's number
    std::string name;      // of the voter, as the agreement has it
    Frame frame;
  };
  using OutgoingFrames = std::vector<Outgoing>;
  struct Notice {  // what an operator may want to know
    const char* event;
    std::string text;
  };

  // Throws as Agreement does.
  Voter(VoterSettings settings, Store& store, double now);

  Frame hello(const std::string& nonce) const;
  // Another voter says hello; false: nothing is to be taken from it (its state is one of former days).
  bool on_voter_hello(double now, const Frame& hello, OutgoingFrames& out);
  // The connection to the voter of this name has ended: who comes back may be another one.
  void on_voter_disconnected(const std::string& name) { voter_hellos_.erase(name); }
  void on_voter_frame(double now, std::uint64_t id, const std::string& name, const Frame& frame,
                      OutgoingFrames& out);
  // `client`: the host's number of a connection, from 1 and below 2^32.
  void on_client_frame(double now, std::uint64_t client, const Frame& frame, OutgoingFrames& out);
  // A frame to a voter could not go: whose requests were in it are to come again.
  void on_send_failed(double now, const Frame& frame, OutgoingFrames& out);
  void on_client_gone(double now, std::uint64_t client, OutgoingFrames& out);
  void tick(double now, OutgoingFrames& out);
  double next_deadline() const;
  // This process is about to end: another one is to lead.
  void transfer_leadership(double now, OutgoingFrames& out);

  // Whom it wants to be connected to: voters by "name" or "name=address".
  std::vector<std::string> voters_to_connect() const;
  bool failed() const { return !failure_.empty(); }
  const std::string& failure() const { return failure_; }
  std::vector<Notice> take_notices();
  const RaftReplica& raft() const { return raft_; }
  const LeaseManager& lease_manager() const { return lease_manager_; }

 private:
  struct MembershipChange {
    std::uint64_t client = 0, seq = 0;
    std::string label;  // name, or name=address
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
  std::vector<Command> proposals_;       // of all that one frame or one turn has led to: one write
  std::vector<std::uint64_t> barriers_;  // behind them
  std::map<std::uint64_t, std::vector<Reply>> queued_replies_;                    // to go out, by client
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint64_t> forward_ids_;  // (voter, its client): ours
  std::map<std::uint64_t, std::pair<std::uint64_t, std::uint64_t>> forwarded_clients_;
  std::uint64_t last_forward_id_ = std::uint64_t{1} << 32;
  std::map<std::uint64_t, std::uint64_t> hinted_leaders_;  // whose client was told which leader
  std::vector<MembershipChange> changes_;                  // of the voters, the first one is under way
  std::map<std::string, Frame> voter_hellos_;              // the newest hellos of voters, by name
  std::map<std::string, NodeReport> node_reports_;         // what nodes had kept, by name
  std::set<std::uint64_t> rejected_voters_;
  double next_tick_ = 0;
  std::string failure_;
  std::vector<Notice> notices_;
};

// The name in "name" or "name=address", and the address, or nothing.
std::string voter_name(const std::string& label);
std::string voter_address(const std::string& label);

}  // namespace nettlestand::duties
