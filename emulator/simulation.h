// A discrete-event simulation of a clock, a network and processes for message-driven decision modules: what a
// node does with sockets and timers, an actor does with a Context. It takes no decisions of its own and never
// waits in real time; a seed gives the same run, byte for byte, on any machine. Built for 10,000 actors.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "standins/links/link_model.h"

namespace nettlestand::emulator {

using ActorId = std::uint32_t;

// The interface through which an actor acts while it handles an event.
class Context {
 public:
  virtual ~Context() = default;
  virtual ActorId self() const = 0;
  // s on this actor's steady clock, which keeps running while the process is paused, as a real machine's
  // does.
  virtual double now() const = 0;
  // s since 1970 on this actor's wall clock, which is off by the offset of Simulation::set_wall_clock().
  virtual double wall_clock() const = 0;
  // Sends a datagram; the link's faults decide whether, when and how often it arrives.
  virtual void send(ActorId to, std::string bytes) = 0;
  // Calls timer(token) at `at`, or at once if that is past.
  virtual void set_timer(double at, std::uint64_t token) = 0;
  virtual pcg64& random() = 0;
};

// A decision module with the code that hosts it: one generation of a process.
class Actor {
 public:
  virtual ~Actor() = default;
  virtual void start(Context& context) = 0;
  virtual void message(Context& context, ActorId from, const std::string& bytes) = 0;
  virtual void timer(Context& context, std::uint64_t token) = 0;
};

// Datagrams and bytes of one process.
struct Traffic {
  std::uint64_t sent = 0, received = 0, bytes_sent = 0, bytes_received = 0;
};

// Runs actors against a simulated clock and network.
class Simulation {
 public:
  // Creates the actor for a process's next generation; `generation` counts from 0.
  using Factory = std::function<std::unique_ptr<Actor>(ActorId self, std::uint64_t generation)>;

  explicit Simulation(std::uint64_t seed) : seed_(seed), random_(seed), stateless_link_(seed) {}

  // Adds a process without starting it. Ids count from 0. `zone` groups processes for set_zones().
  ActorId add(Factory factory, std::uint32_t zone = 0);
  void start(ActorId who);
  // Kills the process; its timers and the messages that are queued for it are lost. Messages in flight
  // reach the next generation if it has started by then.
  void kill(ActorId who);
  // Suspends the process until resume(): messages (up to kMaxQueuedDatagrams) and timers are queued.
  void pause(ActorId who);
  void resume(ActorId who);
  void set_wall_clock(ActorId who, double offset) { processes_[who].wall_offset = offset; }
  bool alive(ActorId who) const { return processes_[who].actor != nullptr; }
  bool paused(ActorId who) const { return processes_[who].paused; }
  Actor* actor(ActorId who) { return processes_[who].actor.get(); }
  std::size_t size() const { return processes_.size(); }
  std::uint32_t zone(ActorId who) const { return processes_[who].zone; }

  // Faults of all links, of a single one-way link, and of the links between two zones; they are combined.
  void set_network(const standins::LinkFaults& all) { network_ = all; }
  void set_link(ActorId from, ActorId to, const standins::LinkFaults& faults);
  void set_zones(std::uint32_t from, std::uint32_t to, const standins::LinkFaults& faults);
  void heal();

  // Calls `f` at the given time: a step of a fault script.
  void at(double when, std::function<void()> f);
  // Handles all events that are due up to `when`.
  void run_until(double when);
  double now() const { return now_; }
  const Traffic& traffic(ActorId who) const { return processes_[who].traffic; }
  std::uint64_t handled() const { return handled_; }

  static constexpr std::size_t kMaxQueuedDatagrams =
      512;  // queued for a paused process, as in a socket buffer

 private:
  struct Process {
    Factory factory;
    std::unique_ptr<Actor> actor;
    std::uint64_t generation = 0;
    std::uint32_t zone = 0;
    bool paused = false;
    double wall_offset = 0;
    pcg64 random;
    Traffic traffic;
    std::vector<std::pair<ActorId, std::string>> waiting;
    std::vector<std::uint64_t> timers;  // tokens that became due while it was paused
  };
  enum class EventKind : std::uint8_t { kMessage, kTimer, kCall };
  struct ScheduledEvent {
    double at;
    std::uint64_t order;
    EventKind what;
    ActorId who, from;
    std::uint64_t generation, token;
    bool operator>(const ScheduledEvent& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  class ProcessContext;

  standins::LinkModel& link_model(ActorId from, ActorId to);
  void send(ActorId from, ActorId to, std::string bytes);
  void push(ScheduledEvent due) {
    due.order = ++order_;
    event_queue_.push(due);
  }

  const std::uint64_t seed_;
  pcg64 random_;
  double now_ = 0;
  std::uint64_t order_ = 0, handled_ = 0, last_token_ = 0;
  std::vector<Process> processes_;
  standins::LinkFaults network_;
  std::unordered_map<std::uint64_t, standins::LinkFaults> link_faults_, zone_faults_;
  std::unordered_map<std::uint64_t, standins::LinkModel>
      stateful_links_;  // links with loss bursts or limited bandwidth, which have state
  standins::LinkModel stateless_link_;
  std::unordered_map<std::uint64_t, std::string> messages_in_flight_;
  std::unordered_map<std::uint64_t, std::function<void()>> callbacks_;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> event_queue_;
};

}  // namespace nettlestand::emulator
