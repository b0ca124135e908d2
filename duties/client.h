// A node's side of duties without its socket: what it holds (holding.h), whom it talks to (way.h), and what
// it asks for besides. Frames and time in, frames out.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "duties/lease_holder.h"
#include "duties/messages.h"
#include "duties/voter_selector.h"

namespace nettlestand::duties {

struct ClientSettings {
  LeaseHolderSettings lease_holder;
  VoterSelectorSettings voter_selector;
  std::vector<std::string> voters;  // names, in the order of Way's numbers
  std::uint64_t seed = 1;
  double operator_timeout = 12;  // s until an operator's request has failed
};

class Client {
 public:
  struct Actions {
    std::vector<Frame> frames;                 // to the voter that is connected
    std::vector<LeaseHolder::Change> changes;  // in order
    bool reconnect = false;                    // the connection, if there is one, is to be closed
  };
  // What came of an operator's request: several texts, where it was to gather; `error` where it failed.
  using RequestCallback = std::function<void(std::vector<Reply> replies, const std::string& error)>;

  // Throws std::invalid_argument.
  explicit Client(ClientSettings settings);

  // Wants a duty, and defines it where the voters don't know it.
  void acquire(double now, const Duty& duty, Actions& out, bool stops_slowly = false);
  void confirm_stopped(double now, const std::string& duty, Actions& out);
  void release(double now, const std::string& duty, Actions& out);
  void report_failure(double now, const std::string& duty, Actions& out);
  void release_all(double now, Actions& out);
  // Said until it is answered, so it may come twice; an answer, or the word that none came, follows in any
  // case.
  void send_operator_request(double now, Request request, RequestCallback done, Actions& out);

  void on_connected(double now, Actions& out);
  // The connection to the target could not be made, or is closed.
  void on_disconnected(double now, Actions& out);
  void on_frame(double now, const Frame& frame, Actions& out);
  void tick(double now, Actions& out);
  double next_deadline() const;

  const VoterSelector& voter_selector() const { return voter_selector_; }
  std::optional<Token> held_token(double now, const std::string& duty) const {
    return lease_holder_.held_token(now, duty);
  }
  double held_until(const std::string& duty) const { return lease_holder_.held_until(duty); }
  bool idle() const { return lease_holder_.idle(); }
  struct Counters {
    std::uint64_t gained = 0, lost = 0, connections = 0, timed_out = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  struct PendingRequest {
    Request request;
    RequestCallback callback;
    double deadline = 0, resend_at = 1e18;  // s; when it has failed, and when it is said once more
    std::vector<Reply> replies;
  };
  void forward_actions(double now, LeaseHolder::Actions& from, Actions& out);
  void send(double now, std::vector<Request> requests, Actions& out);

  ClientSettings s_;
  LeaseHolder lease_holder_;
  VoterSelector voter_selector_;
  std::map<std::string, Duty> duty_settings_;  // as this node's file has them
  std::map<std::string, double> defined_at_;   // s, when the voters were told of them last
  std::map<std::uint64_t, PendingRequest> pending_requests_;
  std::uint64_t seq_;
  bool leaving_ = false;
  Counters counters_;
};

}  // namespace nettlestand::duties
