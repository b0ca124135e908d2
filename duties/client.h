// A node's side of duties, without sockets: its leases (lease_holder.h), the choice of a voter
// (voter_selector.h), and requests of operators. Gets frames and the time, and returns frames to send.
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
  std::vector<std::string> voters;  // names, in the order of VoterSelector's indices
  std::uint64_t seed = 1;
  double operator_timeout = 12;  // s until an operator's request fails
};

class Client {
 public:
  struct Actions {
    std::vector<Frame> frames;                 // to the connected voter
    std::vector<LeaseHolder::Change> changes;  // in order
    bool reconnect = false;                    // the current connection, if any, has to be closed
  };
  // Result of an operator's request: several replies for kCollectReports; `error` is empty on success.
  using RequestCallback = std::function<void(std::vector<Reply> replies, const std::string& error)>;

  // Throws std::invalid_argument.
  explicit Client(ClientSettings settings);

  // Starts to acquire a duty, and defines it if the voters don't know it. See LeaseHolder for this and the
  // next four.
  void acquire(double now, const Duty& duty, Actions& out, bool stops_slowly = false);
  void confirm_stopped(double now, const std::string& duty, Actions& out);
  void release(double now, const std::string& duty, Actions& out);
  void report_failure(double now, const std::string& duty, Actions& out);
  void release_all(double now, Actions& out);
  // Sends a request of an operator again until it is answered, so the voters may receive it twice. `done` is
  // always called, with an error if no answer came.
  void send_operator_request(double now, Request request, RequestCallback done, Actions& out);

  void on_connected(double now, Actions& out);
  // The connection to the target failed or was closed.
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
    double deadline = 0, resend_at = 1e18;  // s
    std::vector<Reply> replies;
  };
  void forward_actions(double now, LeaseHolder::Actions& from, Actions& out);
  void send(double now, std::vector<Request> requests, Actions& out);

  ClientSettings s_;
  LeaseHolder lease_holder_;
  VoterSelector voter_selector_;
  std::map<std::string, Duty> duty_settings_;  // as configured at this node
  std::map<std::string, double> defined_at_;   // s, when a duty was last sent to the voters as kDefine
  std::map<std::uint64_t, PendingRequest> pending_requests_;
  std::uint64_t seq_;
  bool leaving_ = false;
  Counters counters_;
};

}  // namespace nettlestand::duties
