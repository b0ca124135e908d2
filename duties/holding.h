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

struct HoldingSettings {
  Node self;
  double drift = 0.01;                             // as the voters have it
  double ask_period = 1;                           // s between asks for what somebody else has
  double renew_part = 0.25;                        // of a lease's length, between renewals
  double answer_patience = 0.5;                    // s until a renewal, or what was given back, is said again
  double first_backoff = 1, longest_backoff = 60;  // s without asking, for who has failed at a duty
};

class Holding {
 public:
  enum class Lost : std::uint8_t {
    kNotLost,
    kLapsed,     // it was not confirmed in time
    kTaken,      // the voters say so
    kHandOver,   // an operator wants it elsewhere
    kGivenBack,  // this node wants it no more
    kFailed,     // this node could not do it
    kRemoved     // there is no such duty any more, or this node may not have it
  };
  struct Change {
    std::string duty;
    Token token = 0;
    bool gained = false;
    Lost why = Lost::kNotLost;
  };
  struct Actions {
    std::vector<Request> requests;  // to whoever leads, as far as is known
    std::vector<Change> changes;    // in order
  };

  // Throws std::invalid_argument.
  explicit Holding(HoldingSettings settings);

  // `slowly`: what carries it out takes time to stop. Once lost, it is given back after stopped() alone.
  void want(double now, const std::string& duty, Actions& out, bool slowly = false);
  void stopped(double now, const std::string& duty, Actions& out);
  // Stops, if it is held, and gives it back.
  void unwant(double now, const std::string& duty, Actions& out);
  // It could not be done here: stops, gives it back, and asks for it again after a growing pause.
  void failed(double now, const std::string& duty, Actions& out);
  // The node is about to go: gives everything back, and asks for nothing more.
  void leave(double now, Actions& out);
  void reply(double now, const Reply& reply, Actions& out);
  // There is another leader, or another way to it: what is unanswered is said again.
  void leader_changed(double now, Actions& out);
  void tick(double now, Actions& out);
  double next() const;

  // The guard: the token by which this node has a duty now; none where it does not. To be asked at the last
  // moment before an effect, with the time of that moment, and to go with the effect to where it takes place.
  std::optional<Token> holds(double now, const std::string& duty) const;
  // Until when it is held, or was when it was lost, as far as is known now; for whoever has to stop something
  // else by then.
  double until(const std::string& duty) const;
  // All that it decides by, with times from `now` on: two that say the same go on alike. For a model checker.
  void describe(double now, std::string& out) const;
  // Everything given back has been heard of.
  bool idle() const;
  // It is asking for it, and does not have it.
  bool asks(const std::string& duty) const;
  // What kept it from having it is being mended: it asks again shortly.
  void ask_soon(double now, const std::string& duty);

 private:
  enum class State : std::uint8_t { kAsking, kTaking, kHeld, kStopping, kReturning, kResting };
  struct One {
    State state = State::kAsking;
    bool wanted = true;
    bool failed_here = false;
    bool slowly = false;
    bool soon = false;  // once it is given back, it is asked for at once
    Token token = 0;
    Token spent = 0;                       // the last one that was held here, and lost
    double until = -1e18;                  // s; it is held so long
    double was_until = -1e18;              // s; the last one of these
    double next = 0;                       // s; something is to be said then
    double length = 0;                     // s, as last told
    double backoff = 0;                    // s
    std::map<std::uint64_t, double> sent;  // renewals that are not confirmed: when they were sent, by seq
  };

  void say(double now, const std::string& duty, One& one, Actions& out);
  void stop(const std::string& duty, One& one, Lost why, Actions& out);
  void give_back(double now, const std::string& duty, One& one, Lost why, Actions& out);

  HoldingSettings s_;
  std::map<std::string, One> duties_;
  std::uint64_t seq_ = 0;
  bool leaving_ = false;
};
const char* name_of(Holding::Lost why);

}  // namespace nettlestand::duties
