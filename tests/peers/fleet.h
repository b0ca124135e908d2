// A fleet of memberships in the emulator, with their datagrams as they go over the wire.
#pragma once

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "emulator/simulation.h"
#include "peers/decide.h"
#include "peers/wire.h"

namespace nettlestand::peers::testing {

// Everything that a member has said in its lives, for rules over all of it.
struct Said {
  double at = 0;
  emulator::ActorId by = 0;
  Change change;
};

struct Node final : emulator::Actor {
  Node(Settings settings, std::vector<Address> join, std::vector<Said>* said,
       const std::vector<Member>* known)
      : core(std::move(settings)), wire({}), join(std::move(join)), said(said), known(known) {}

  void start(emulator::Context& c) override {
    std::vector<Membership::Out> out;
    if (known != nullptr) core.adopt(c.now(), *known);
    core.start(c.now(), join, out);
    done(c, out);
  }
  void message(emulator::Context& c, emulator::ActorId from, const std::string& bytes) override {
    Refusal why;
    const auto m = wire.decode(bytes, why);
    if (!m) {
      ++refused;
      return;
    }
    std::vector<Membership::Out> out;
    core.message(c.now(), from + 1, *m, out);
    done(c, out);
  }
  void timer(emulator::Context& c, std::uint64_t token) override {
    if (token != timers) return;  // an earlier one
    std::vector<Membership::Out> out;
    if (leaves) core.leaving(c.now(), out);
    core.tick(c.now(), out);
    done(c, out);
  }

  void done(emulator::Context& c, std::vector<Membership::Out>& out) {
    for (Membership::Out& o : out) c.send(static_cast<emulator::ActorId>(o.to - 1), wire.encode(o.message));
    for (Change& change : core.changes()) {
      if (said != nullptr) said->push_back({c.now(), c.self(), std::move(change)});
    }
    if (core.next() < 1e17) c.set_timer(core.next(), ++timers);
  }

  Membership core;
  Wire wire;
  std::vector<Address> join;
  std::vector<Said>* said;
  const std::vector<Member>* known;
  std::uint64_t timers = 0, refused = 0;
  bool leaves = false;  // it says that it is about to go, at its next timer
};

struct Fleet {
  explicit Fleet(std::size_t count, std::uint64_t seed, Settings base = {}, std::size_t seeds = 3)
      : sim(seed), seed(seed), base(std::move(base)) {
    for (std::size_t i = 0; i < count; ++i) add(seeds);
  }

  static std::string name(emulator::ActorId i) { return "n" + std::to_string(i); }

  emulator::ActorId add(std::size_t seeds = 3) {
    const auto self = static_cast<emulator::ActorId>(sim.size());
    std::vector<Address> join;
    for (std::size_t i = 0; i < seeds; ++i) join.push_back(i + 1);
    return sim.add(
        [this, join](emulator::ActorId who, std::uint64_t life) {
          Settings s = base;
          s.self.name = name(who);
          s.self.zone = "z" + std::to_string(who % 3);
          s.address = who + 1;
          s.life = (life + 1) << 20;
          s.seed = (seed * 1000003 + who) * 7919 + life + 1;
          return std::make_unique<Node>(s, join, record ? &said : nullptr, known.empty() ? nullptr : &known);
        },
        self % 2);
  }
  void start_all() {
    for (emulator::ActorId i = 0; i < sim.size(); ++i) sim.start(i);
  }
  Node& at(emulator::ActorId i) { return *static_cast<Node*>(sim.actor(i)); }

  // How one node holds another.
  State view(emulator::ActorId of, emulator::ActorId whom) {
    const auto m = at(of).core.find(key_of(name(whom)));
    return m ? m->state : State::kLeft;
  }
  // Whether all that run hold exactly those for alive that run.
  bool converged() {
    for (emulator::ActorId i = 0; i < sim.size(); ++i) {
      if (!sim.alive(i)) continue;
      std::size_t living = 0;
      for (emulator::ActorId j = 0; j < sim.size(); ++j) {
        if (!sim.alive(j)) continue;
        ++living;
        if (j == i) continue;
        const auto m = at(i).core.find(key_of(name(j)));
        if (!m || m->state != State::kAlive || m->life != at(j).core.life()) return false;
      }
      if (at(i).core.living() != living) return false;
    }
    return true;
  }
  // Runs until all agree; false after `most` s.
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
      if (sim.alive(i)) out += at(i).core.counters().deaths_declared;
    }
    return out;
  }

  emulator::Simulation sim;
  const std::uint64_t seed;
  Settings base;
  bool record = true;
  std::vector<Member> known;  // by all, from their start
  std::vector<Said> said;
};

}  // namespace nettlestand::peers::testing
