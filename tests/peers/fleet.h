// A fleet of memberships in the emulator; their datagrams are encoded and decoded.
#pragma once

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "emulator/simulation.h"
#include "peers/datagram_codec.h"
#include "peers/membership.h"

namespace nettlestand::peers::testing {

// A change that a member has reported, kept for checks of the whole history.
struct RecordedChange {
  double at = 0;
  emulator::ActorId observer = 0;
  Change change;
};

struct SimulatedNode final : emulator::Actor {
  SimulatedNode(MembershipSettings settings, std::vector<Address> join, std::vector<RecordedChange>* changes,
                const std::vector<Member>* known)
      : membership(std::move(settings)), codec({}), join(std::move(join)), changes(changes), known(known) {}

  void start(emulator::Context& c) override {
    std::vector<Membership::Outgoing> out;
    if (known != nullptr) membership.add_known_members(c.now(), *known);
    membership.start(c.now(), join, out);
    flush(c, out);
  }
  void message(emulator::Context& c, emulator::ActorId from, const std::string& bytes) override {
    DecodeError error;
    const auto m = codec.decode(bytes, error);
    if (!m) {
      ++refused;
      return;
    }
    std::vector<Membership::Outgoing> out;
    membership.on_message(c.now(), from + 1, *m, out);
    flush(c, out);
  }
  void timer(emulator::Context& c, std::uint64_t token) override {
    if (token != timers) return;  // a superseded timer
    std::vector<Membership::Outgoing> out;
    if (announces_leaving) membership.announce_leaving(c.now(), out);
    membership.tick(c.now(), out);
    flush(c, out);
  }

  void flush(emulator::Context& c, std::vector<Membership::Outgoing>& out) {
    for (Membership::Outgoing& o : out)
      c.send(static_cast<emulator::ActorId>(o.to - 1), codec.encode(o.message));
    for (Change& change : membership.changes()) {
      if (changes != nullptr) changes->push_back({c.now(), c.self(), std::move(change)});
    }
    if (membership.next_tick() < 1e17) c.set_timer(membership.next_tick(), ++timers);
  }

  Membership membership;
  DatagramCodec codec;
  std::vector<Address> join;
  std::vector<RecordedChange>* changes;
  const std::vector<Member>* known;
  std::uint64_t timers = 0, refused = 0;
  bool announces_leaving = false;  // calls announce_leaving() at its next timer
};

struct Fleet {
  explicit Fleet(std::size_t count, std::uint64_t seed, MembershipSettings base = {}, std::size_t seeds = 3)
      : sim(seed), seed(seed), base(std::move(base)) {
    for (std::size_t i = 0; i < count; ++i) add(seeds);
  }

  static std::string name(emulator::ActorId i) { return "n" + std::to_string(i); }

  emulator::ActorId add(std::size_t seeds = 3) {
    const auto self = static_cast<emulator::ActorId>(sim.size());
    std::vector<Address> join;
    for (std::size_t i = 0; i < seeds; ++i) join.push_back(i + 1);
    return sim.add(
        [this, join](emulator::ActorId who, std::uint64_t generation) {
          MembershipSettings s = base;
          s.self.name = name(who);
          s.self.zone = "z" + std::to_string(who % 3);
          s.address = who + 1;
          s.generation = (generation + 1) << 20;
          s.seed = (seed * 1000003 + who) * 7919 + generation + 1;
          return std::make_unique<SimulatedNode>(s, join, record ? &changes : nullptr,
                                                 known.empty() ? nullptr : &known);
        },
        self % 2);
  }
  void start_all() {
    for (emulator::ActorId i = 0; i < sim.size(); ++i) sim.start(i);
  }
  SimulatedNode& at(emulator::ActorId i) { return *static_cast<SimulatedNode*>(sim.actor(i)); }

  // The state that one node holds another in.
  MemberState view(emulator::ActorId of, emulator::ActorId whom) {
    const auto m = at(of).membership.find(member_key(name(whom)));
    return m ? m->state : MemberState::kLeft;
  }
  // Whether each running node holds exactly the running nodes alive.
  bool converged() {
    for (emulator::ActorId i = 0; i < sim.size(); ++i) {
      if (!sim.alive(i)) continue;
      std::size_t living = 0;
      for (emulator::ActorId j = 0; j < sim.size(); ++j) {
        if (!sim.alive(j)) continue;
        ++living;
        if (j == i) continue;
        const auto m = at(i).membership.find(member_key(name(j)));
        if (!m || m->state != MemberState::kAlive || m->generation != at(j).membership.generation())
          return false;
      }
      if (at(i).membership.live_count() != living) return false;
    }
    return true;
  }
  // Runs until all nodes agree; false after `most` seconds.
  bool converge(double most) {
    const double until = sim.now() + most;
    while (sim.now() < until) {
      sim.run_until(sim.now() + 0.5);
      if (converged()) return true;
    }
    return false;
  }
  std::uint64_t deaths_declared() {
    std::uint64_t out = 0;
    for (emulator::ActorId i = 0; i < sim.size(); ++i) {
      if (sim.alive(i)) out += at(i).membership.counters().deaths_declared;
    }
    return out;
  }

  emulator::Simulation sim;
  const std::uint64_t seed;
  MembershipSettings base;
  bool record = true;
  std::vector<Member> known;  // members that all know from the start
  std::vector<RecordedChange> changes;
};

}  // namespace nettlestand::peers::testing
