// A simulated clock, network and processes round any deciding half that speaks in messages: what a node would
// do with sockets and timers, an actor does with a Context. Nothing here decides, and nothing waits: one
// seed, one course, to the byte, on any machine. Built for 10,000 actors.
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

// What an actor may do while it handles an event.
class Context {
 public:
  virtual ~Context() = default;
  virtual ActorId self() const = 0;
  // s on this actor's steady clock, which runs on while it stands, as a machine's does.
  virtual double now() const = 0;
  // s since 1970 as this actor's wall clock has it: wrong by what Simulation::set_wall_clock() says.
  virtual double wall_clock() const = 0;
  // A datagram. What becomes of it is the way's to say.
  virtual void send(ActorId to, std::string bytes) = 0;
  // timer(token) at `at`, or at once where that is past.
  virtual void set_timer(double at, std::uint64_t token) = 0;
  virtual pcg64& random() = 0;
};

// A deciding half with its host: a generation of a process.
class Actor {
 public:
  virtual ~Actor() = default;
  virtual void start(Context& context) = 0;
  virtual void message(Context& context, ActorId from, const std::string& bytes) = 0;
  virtual void timer(Context& context, std::uint64_t token) = 0;
};

struct Traffic {
  std::uint64_t sent = 0, received = 0, bytes_sent = 0, bytes_received = 0;
};

class Simulation {
 public:
  // Makes an actor's next generation; `generation` counts from 0.
  using Factory = std::function<std::unique_ptr<Actor>(ActorId self, std::uint64_t generation)>;

  explicit Simulation(std::uint64_t seed) : seed_(seed), random_(seed), stateless_link_(seed) {}

  // A further process, not started. Numbered from 0. `zone` for faults between groups.
  ActorId add(Factory factory, std::uint32_t zone = 0);
  void start(ActorId who);
  // It dies; what is under way to it is lost.
  void kill(ActorId who);
  // It stands until resume(): messages (as many as a socket holds) and timers wait.
  void pause(ActorId who);
  void resume(ActorId who);
  void set_wall_clock(ActorId who, double offset) { processes_[who].wall_offset = offset; }
  bool alive(ActorId who) const { return processes_[who].actor != nullptr; }
  bool paused(ActorId who) const { return processes_[who].paused; }
  Actor* actor(ActorId who) { return processes_[who].actor.get(); }
  std::size_t size() const { return processes_.size(); }
  std::uint32_t zone(ActorId who) const { return processes_[who].zone; }

  // Of all ways, and more of single ones or of those between two zones: they go together.
  void set_network(const standins::LinkFaults& all) { network_ = all; }
  void set_link(ActorId from, ActorId to, const standins::LinkFaults& faults);
  void set_zones(std::uint32_t from, std::uint32_t to, const standins::LinkFaults& faults);
  void heal();

  // Runs something at a time: a script's next line.
  void at(double when, std::function<void()> f);
  // Handles all that is due up to then.
  void run_until(double when);
  double now() const { return now_; }
  const Traffic& traffic(ActorId who) const { return processes_[who].traffic; }
  std::uint64_t handled() const { return handled_; }

  static constexpr std::size_t kMaxQueuedDatagrams = 512;  // datagrams that wait for a process that stands

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
    std::vector<std::uint64_t> timers;  // that came due while it stood
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
      stateful_links_;  // those with bursts or bands, which have a state
  standins::LinkModel stateless_link_;
  std::unordered_map<std::uint64_t, std::string> messages_in_flight_;
  std::unordered_map<std::uint64_t, std::function<void()>> callbacks_;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> event_queue_;
};

}  // namespace nettlestand::emulator
