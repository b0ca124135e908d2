// A voter without its sockets: agreement and keeper put together, and whom it answers. Frames and time in,
// frames out; what is stored goes through a Store.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "duties/agreement.h"
#include "duties/keeper.h"
#include "duties/messages.h"

namespace nettlestand::duties {

struct VoterSettings {
  std::string cluster = "nettlestand";
  Node self;
  AgreementSettings agreement;  // `name` is `self`'s
  KeeperSettings keeper;
};

class Voter {
 public:
  struct Out {
    bool to_voter = false;
    std::uint64_t to = 0;  // a voter's id, or a client's number
    std::string name;      // of the voter, as the agreement has it
    Frame frame;
  };
  using Outs = std::vector<Out>;
  struct Note {  // what an operator may want to know
    const char* event;
    std::string text;
  };

  // Throws as Agreement does.
  Voter(VoterSettings settings, Store& store, double now);

  Frame hello(const std::string& nonce) const;
  // Another voter says hello; false: nothing is to be taken from it (its state is one of former days).
  bool meets(double now, const Frame& hello, Outs& out);
  // The connection to the voter of this name has ended: who comes back may be another one.
  void lost(const std::string& name) { known_.erase(name); }
  void from_voter(double now, std::uint64_t id, const std::string& name, const Frame& frame, Outs& out);
  // `client`: the host's number of a connection, from 1 and below 2^32.
  void from_client(double now, std::uint64_t client, const Frame& frame, Outs& out);
  // A frame to a voter could not go: whose requests were in it are to come again.
  void unsent(double now, const Frame& frame, Outs& out);
  void client_gone(double now, std::uint64_t client, Outs& out);
  void tick(double now, Outs& out);
  double next() const;
  // This process is about to end: another one is to lead.
  void leave(double now, Outs& out);

  // Whom it wants to be connected to: voters by "name" or "name=address".
  std::vector<std::string> wanted() const;
  bool failed() const { return !failed_.empty(); }
  const std::string& why() const { return failed_; }
  std::vector<Note> notes();
  const Agreement& agreement() const { return agreement_; }
  const Keeper& keeper() const { return keeper_; }

 private:
  struct Adding {
    std::uint64_t client = 0, seq = 0;
    std::string label;  // name, or name=address
    double until = 0;
    bool remove = false, begun = false;
    std::uint64_t id = 0;
  };
  struct Kept {
    std::uint64_t life = 0;
    std::string text;
    double at = 0;
  };

  void pump(double now, Outs& out);
  void act(Keeper::Actions& actions, Outs& out);
  void propose(double now);
  void reply(std::uint64_t client, Reply reply, Outs& out);
  void flush(Outs& out);
  void request(double now, std::uint64_t client, const Request& r, Outs& out);
  void change_voters(double now, Outs& out);
  void end_change(Reply::Kind kind, const std::string& text, Outs& out);
  std::string shown() const;
  std::string shown_voters() const;
  std::string leader_name() const;

  VoterSettings s_;
  Store& store_;
  Agreement agreement_;
  Keeper keeper_;
  std::vector<Command> proposals_;       // of all that one frame or one turn has led to: one write
  std::vector<std::uint64_t> barriers_;  // behind them
  std::map<std::uint64_t, std::vector<Reply>> waiting_;                      // to go out, by client
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint64_t> relays_;  // (voter, its client): ours
  std::map<std::uint64_t, std::pair<std::uint64_t, std::uint64_t>> relayed_;
  std::uint64_t last_relay_ = std::uint64_t{1} << 32;
  std::map<std::uint64_t, std::uint64_t> told_;  // whose client was told which leader
  std::vector<Adding> changes_;                  // of the voters, the first one is under way
  std::map<std::string, Frame> known_;           // the newest hellos of voters, by name
  std::map<std::string, Kept> kept_;             // what nodes had kept, by name
  std::set<std::uint64_t> refused_;
  double next_tick_ = 0;
  std::string failed_;
  std::vector<Note> notes_;
};

// The name in "name" or "name=address", and the address, or nothing.
std::string voter_name(const std::string& label);
std::string voter_address(const std::string& label);

}  // namespace nettlestand::duties
