// The leases that one node holds or wants to acquire. Gets replies and the time, and returns requests and
// changes; no I/O, no clock. Times are those of the process's steady clock, whose rate is within `drift` of
// true time.
//
// A lease is held from the moment a renewal is confirmed until lease_seconds x (1 - drift) after that renewal
// was *sent*. No other node can be granted the duty before that, and the holder needs no message to stop in
// time.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "duties/messages.h"

namespace nettlestand::duties {

struct LeaseHolderSettings {
  Node self;
  double drift = 0.01;                       // bound on the error of the clock's rate, as at the voters
  double request_interval = 1;               // s between requests for a duty that another node holds
  double renew_fraction = 0.25;              // of the lease's duration, between renewals
  double reply_timeout = 0.5;                // s until an unanswered renewal or release is sent again
  double min_backoff = 1, max_backoff = 60;  // s without requests, after the duty failed here
};

class LeaseHolder {
 public:
  enum class LossReason : std::uint8_t {
    kNone,
    kExpired,   // no renewal was confirmed in time
    kRevoked,   // the voters say that another grant or a release took place
    kHandOver,  // an operator moves it to another node
    kReleased,  // this node released it
    kFailed,    // this node could not carry it out
    kRemoved    // the duty was deleted, or this node must not hold it
  };
  struct Change {
    std::string duty;
    Token token = 0;
    bool gained = false;
    LossReason loss_reason = LossReason::kNone;
  };
  struct Actions {
    std::vector<Request> requests;  // for the leader
    std::vector<Change> changes;    // in order
  };

  // Throws std::invalid_argument.
  explicit LeaseHolder(LeaseHolderSettings settings);

  // Starts to acquire a duty, and again whenever it is lost. `stops_slowly`: carrying out the duty takes time
  // to stop, so a lost lease is released only after confirm_stopped().
  void acquire(double now, const std::string& duty, Actions& out, bool stops_slowly = false);
  void confirm_stopped(double now, const std::string& duty, Actions& out);
  // Releases a duty if it is held, and no longer acquires it.
  void release(double now, const std::string& duty, Actions& out);
  // The duty could not be carried out here: releases it, and acquires it again after an exponential backoff.
  void report_failure(double now, const std::string& duty, Actions& out);
  // The node is about to exit: releases everything and acquires nothing more.
  void release_all(double now, Actions& out);
  void on_reply(double now, const Reply& reply, Actions& out);
  // There is a new leader or a new connection: sends again what is unanswered.
  void on_leader_changed(double now, Actions& out);
  void tick(double now, Actions& out);
  double next_deadline() const;

  // The fencing token if this node holds a duty now, else none. To be checked immediately before an effect,
  // with the current time; the token goes with the effect to the resource.
  std::optional<Token> held_token(double now, const std::string& duty) const;
  // Time until which a duty is held, or was before it was lost, as known now. For code that must stop other
  // work by then.
  double held_until(const std::string& duty) const;
  // Appends the full state, with times relative to `now`: two objects with the same description behave the
  // same from here on. For the model checker.
  void describe(double now, std::string& out) const;
  // Nothing is held, and the voters have answered all releases.
  bool idle() const;
  // The duty is requested and not granted.
  bool is_requesting(const std::string& duty) const;
  // Brings the next request forward, for when the cause of a refusal is being removed.
  void request_soon(double now, const std::string& duty);

 private:
  enum class State : std::uint8_t { kRequesting, kConfirming, kHeld, kStopping, kReleasing, kBackingOff };
  struct Acquisition {
    State state = State::kRequesting;
    bool wanted = true;
    bool failed_here = false;
    bool stops_slowly = false;
    bool reacquire_at_once = false;  // once released, it is requested without delay
    Token token = 0;
    Token last_lost_token = 0;                             // the last one that was held here and lost
    double held_until = -1e18;                             // s; end of the current lease
    double last_held_until = -1e18;                        // s; the last value of held_until
    double next_send_at = 0;                               // s; when the next request is due
    double lease_seconds = 0;                              // as in the last confirmed renewal
    double backoff = 0;                                    // s
    std::map<std::uint64_t, double> unconfirmed_renewals;  // time sent, by sequence number
  };

  void send_request(double now, const std::string& duty, Acquisition& entry, Actions& out);
  void end_lease(const std::string& duty, Acquisition& entry, LossReason why, Actions& out);
  void start_release(double now, const std::string& duty, Acquisition& entry, LossReason why, Actions& out);

  LeaseHolderSettings s_;
  std::map<std::string, Acquisition> duties_;
  std::uint64_t seq_ = 0;
  bool leaving_ = false;
};
const char* name_of(LeaseHolder::LossReason why);

}  // namespace nettlestand::duties
