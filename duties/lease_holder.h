// The duties that one node has, or would have: decided. Replies and time in, requests and changes out; no
// I/O, no clock. Times are this process' steady clock, whose rate is within `drift` of true time.
//
// A duty is held from the moment on that a renewal was confirmed, until length x (1 - drift) after that
// renewal was *sent*. Nobody else can be granted it before that, and no word from anywhere is needed to stop.
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
  double drift = 0.01;                       // as the voters have it
  double request_interval = 1;               // s between asks for what somebody else has
  double renew_fraction = 0.25;              // of a lease's length, between renewals
  double reply_timeout = 0.5;                // s until a renewal, or what was given back, is said again
  double min_backoff = 1, max_backoff = 60;  // s without asking, for who has failed at a duty
};

class LeaseHolder {
 public:
  enum class LossReason : std::uint8_t {
    kNone,
    kExpired,   // it was not confirmed in time
    kRevoked,   // the voters say so
    kHandOver,  // an operator wants it elsewhere
    kReleased,  // this node wants it no more
    kFailed,    // this node could not do it
    kRemoved    // there is no such duty any more, or this node may not have it
  };
  struct Change {
    std::string duty;
    Token token = 0;
    bool gained = false;
    LossReason loss_reason = LossReason::kNone;
  };
  struct Actions {
    std::vector<Request> requests;  // to whoever leads, as far as is known
    std::vector<Change> changes;    // in order
  };

  // Throws std::invalid_argument.
  explicit LeaseHolder(LeaseHolderSettings settings);

  // `slowly`: what carries it out takes time to stop. Once lost, it is given back after stopped() alone.
  void acquire(double now, const std::string& duty, Actions& out, bool stops_slowly = false);
  void confirm_stopped(double now, const std::string& duty, Actions& out);
  // Stops, if it is held, and gives it back.
  void release(double now, const std::string& duty, Actions& out);
  // It could not be done here: stops, gives it back, and asks for it again after a growing pause.
  void report_failure(double now, const std::string& duty, Actions& out);
  // The node is about to go: gives everything back, and asks for nothing more.
  void release_all(double now, Actions& out);
  void on_reply(double now, const Reply& reply, Actions& out);
  // There is another leader, or another way to it: what is unanswered is said again.
  void on_leader_changed(double now, Actions& out);
  void tick(double now, Actions& out);
  double next_deadline() const;

  // The guard: the token by which this node has a duty now; none where it does not. To be asked at the last
  // moment before an effect, with the time of that moment, and to go with the effect to where it takes place.
  std::optional<Token> held_token(double now, const std::string& duty) const;
  // Until when it is held, or was when it was lost, as far as is known now; for whoever has to stop something
  // else by then.
  double held_until(const std::string& duty) const;
  // All that it decides by, with times from `now` on: two that say the same go on alike. For a model checker.
  void describe(double now, std::string& out) const;
  // Everything given back has been heard of.
  bool idle() const;
  // It is asking for it, and does not have it.
  bool is_requesting(const std::string& duty) const;
  // What kept it from having it is being mended: it asks again shortly.
  void request_soon(double now, const std::string& duty);

 private:
  enum class State : std::uint8_t { kRequesting, kConfirming, kHeld, kStopping, kReleasing, kBackingOff };
  struct Acquisition {
    State state = State::kRequesting;
    bool wanted = true;
    bool failed_here = false;
    bool stops_slowly = false;
    bool reacquire_at_once = false;  // once it is given back, it is asked for at once
    Token token = 0;
    Token last_lost_token = 0;       // the last one that was held here, and lost
    double held_until = -1e18;       // s; it is held so long
    double last_held_until = -1e18;  // s; the last one of these
    double next_send_at = 0;         // s; something is to be said then
    double lease_seconds = 0;        // s, as last told
    double backoff = 0;              // s
    std::map<std::uint64_t, double>
        unconfirmed_renewals;  // renewals that are not confirmed: when they were sent, by seq
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
