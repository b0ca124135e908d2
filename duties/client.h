// A node's side of duties without its socket: what it holds (holding.h), whom it talks to (way.h), and what
// it asks for besides. Frames and time in, frames out.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "duties/holding.h"
#include "duties/messages.h"
#include "duties/way.h"

namespace nettlestand::duties {

struct ClientSettings {
  HoldingSettings holding;
  WaySettings way;
  std::vector<std::string> voters;  // names, in the order of Way's numbers
  std::uint64_t seed = 1;
  double operator_patience = 12;  // s until an operator's request has failed
};

class Client {
 public:
  struct Actions {
    std::vector<Frame> frames;             // to the voter that is connected
    std::vector<Holding::Change> changes;  // in order
    bool reconnect = false;                // the connection, if there is one, is to be closed
  };
  // What came of an operator's request: several texts, where it was to gather; `error` where it failed.
  using Done = std::function<void(std::vector<Reply> replies, const std::string& error)>;

  // Throws std::invalid_argument.
  explicit Client(ClientSettings settings);

  // Wants a duty, and defines it where the voters don't know it.
  void want(double now, const Duty& duty, Actions& out, bool slowly = false);
  void stopped(double now, const std::string& duty, Actions& out);
  void unwant(double now, const std::string& duty, Actions& out);
  void failed(double now, const std::string& duty, Actions& out);
  void leave(double now, Actions& out);
  // Said until it is answered, so it may come twice; an answer, or the word that none came, follows in any
  // case.
  void ask(double now, Request request, Done done, Actions& out);

  void came_up(double now, Actions& out);
  // The connection to the target could not be made, or is closed.
  void went_down(double now, Actions& out);
  void frame(double now, const Frame& frame, Actions& out);
  void tick(double now, Actions& out);
  double next() const;

  const Way& way() const { return way_; }
  std::optional<Token> holds(double now, const std::string& duty) const { return holding_.holds(now, duty); }
  double until(const std::string& duty) const { return holding_.until(duty); }
  bool idle() const { return holding_.idle(); }
  struct Counters {
    std::uint64_t gained = 0, lost = 0, connections = 0, silent = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  struct Asked {
    Request request;
    Done done;
    double until = 0, again = 1e18;  // s; when it has failed, and when it is said once more
    std::vector<Reply> replies;
  };
  void did(double now, Holding::Actions& from, Actions& out);
  void send(double now, std::vector<Request> requests, Actions& out);

  ClientSettings s_;
  Holding holding_;
  Way way_;
  std::map<std::string, Duty> defined_;    // as this node's file has them
  std::map<std::string, double> told_at_;  // s, when the voters were told of them last
  std::map<std::uint64_t, Asked> asked_;
  std::uint64_t seq_;
  bool leaving_ = false;
  Counters counters_;
};

}  // namespace nettlestand::duties
