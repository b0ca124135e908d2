// Voters and nodes in the emulator: the shipped deciding halves and libraft, with simulated clocks that run
// wrong, a simulated network, and disks that fail on command.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "duties/client.h"
#include "duties/fencing_checker.h"
#include "duties/voter.h"
#include "duties/wire.h"
#include "emulator/simulation.h"

namespace nettlestand::duties::testing {

// A disk: what was written is there, and the next writes fail on command.
class MemoryStore final : public Store {
 public:
  explicit MemoryStore(std::uint64_t id) : id_(id) {}
  StoredState load() override {
    may_fail();
    StoredState out;
    out.id = id_;
    out.start_count = ++starts_;
    out.start_id = id_ * 1000 + starts_ * 7 + salt;
    out.term = term_;
    out.vote = vote_;
    out.snapshot = snapshot_;
    out.first_index = first_;
    out.entries = entries_;
    return out;
  }
  void set_term(std::uint64_t term) override {
    may_fail();
    term_ = term;
    vote_ = 0;
  }
  void set_vote(std::uint64_t id) override {
    may_fail();
    vote_ = id;
  }
  void append(std::uint64_t first, const std::vector<StoredEntry>& entries) override {
    may_fail();
    if (first != first_ + entries_.size()) throw std::logic_error("a gap in the log");
    entries_.insert(entries_.end(), entries.begin(), entries.end());
  }
  void truncate(std::uint64_t from) override {
    may_fail();
    entries_.resize(from < first_ ? 0 : std::min<std::size_t>(entries_.size(), from - first_));
  }
  void put_snapshot(const StoredSnapshot& s, std::uint64_t trailing) override {
    may_fail();
    snapshot_ = s;
    if (trailing == 0) {
      entries_.clear();
      first_ = s.index + 1;
    } else if (s.index > trailing && s.index - trailing >= first_) {
      const std::uint64_t drop = s.index - trailing - first_ + 1;
      entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(drop));
      first_ += drop;
    }
  }
  std::optional<StoredSnapshot> load_snapshot() override { return snapshot_; }
  bool record_peer_start(std::uint64_t voter, std::uint64_t starts, std::uint64_t run) override {
    auto& [s, r] = met_[voter];
    if (s == starts) return r == run;
    if (s > starts) return false;
    s = starts;
    r = run;
    return true;
  }

  int fail_in = -1;  // the write after so many more fails, and all after it; below 0: none
  std::uint64_t salt = 0;

 private:
  void may_fail() {
    if (fail_in < 0) return;
    if (fail_in == 0) throw StoreError(StoreError::Kind::kFull, "no space left");
    --fail_in;
  }
  std::uint64_t id_, starts_ = 0, term_ = 0, vote_ = 0, first_ = 1;
  std::vector<StoredEntry> entries_;
  std::optional<StoredSnapshot> snapshot_;
  std::map<std::uint64_t, std::pair<std::uint64_t, std::uint64_t>> met_;
};

struct ClusterSettings {
  std::size_t voters = 3, nodes = 4;
  std::vector<Duty> duties;
  double drift = 0.01;
  double effect_every = 0.1, effect_takes = 0.05;  // s
  unsigned snapshot_after = 64, snapshot_keeps = 16;
  bool no_fence = false;  // planted
  bool shipped = false;   // times as shipped, else short ones
};

struct Cluster {
  // A datagram is the sender's hello and a frame, so that no handshake has to be played.
  static std::string joined(const Frame& hello, const Frame& frame) {
    const std::string h = encode(hello);
    return std::string(1, static_cast<char>(h.size() / 256)) + static_cast<char>(h.size() % 256) + h +
           encode(frame);
  }
  static std::pair<Frame, Frame> parted(const std::string& bytes) {
    const auto size = static_cast<std::size_t>(static_cast<unsigned char>(bytes[0])) * 256 +
                      static_cast<unsigned char>(bytes[1]);
    return {decode_frame(std::string_view(bytes).substr(2, size)),
            decode_frame(std::string_view(bytes).substr(2 + size))};
  }

  struct VoterActor final : emulator::Actor {
    VoterActor(Cluster& c, std::size_t i, std::uint64_t life) : c(c), i(i), life(life) {}
    double local(emulator::Context& x) const {
      return 100 + x.now() * (i % 2 == 0 ? 1 + c.s.drift : 1 - c.s.drift);
    }
    void open(emulator::Context& x) {
      VoterSettings v;
      v.self = {"v" + std::to_string(i), life + 1, "", ""};
      if (!c.s.shipped) {
        v.raft.election_timeout_ms = 300;
        v.raft.heartbeat_interval_ms = 50;
        v.lease_manager.first_renewal_timeout = 0.5;
        v.lease_manager.propose_timeout = 1;
      }
      v.raft.snapshot_threshold = c.s.snapshot_after;
      v.raft.snapshot_trailing = c.s.snapshot_keeps;
      v.raft.seed = i * 7919 + life + c.seed;
      v.lease_manager.drift = c.s.drift;
      try {
        voter = std::make_unique<Voter>(v, *c.stores[i], local(x));
      } catch (const std::exception&) {
        voter.reset();
      }
    }
    void start(emulator::Context& x) override {
      open(x);
      done(x);
    }
    void message(emulator::Context& x, emulator::ActorId from, const std::string& bytes) override {
      if (!voter) return;
      const auto [hello, frame] = parted(bytes);
      if (hello.voter_id != 0) {
        if (!voter->on_voter_hello(local(x), hello, out)) return;
        if (c.listen && frame.kind == Frame::Kind::kRaft) c.listen(frame.bytes);
        voter->on_voter_frame(local(x), hello.voter_id, hello.sender.name, frame, out);
      } else {
        voter->on_client_frame(local(x), from + 1, frame, out);
      }
      done(x);
    }
    void timer(emulator::Context& x, std::uint64_t token) override {
      if (token != timers) return;
      if (!voter || voter->failed()) {
        voter.reset();
        open(x);
      }
      if (voter) voter->tick(local(x), out);
      done(x);
    }
    void done(emulator::Context& x) {
      if (voter) {
        for (Voter::Outgoing& o : out) {
          const Frame hello = voter->hello(std::string(kNonceBytes, 'n'));
          if (o.to_voter) {
            x.send(static_cast<emulator::ActorId>(std::stoul(voter_name(o.name).substr(1))),
                   joined(hello, o.frame));
          } else {
            x.send(static_cast<emulator::ActorId>(o.to - 1), joined(hello, o.frame));
          }
        }
      }
      out.clear();
      // Messages must not put the next tick off.
      if (armed_for > x.now()) return;
      armed_for = x.now() + (voter ? 0.025 : 0.5);
      x.set_timer(armed_for, ++timers);
    }
    Cluster& c;
    const std::size_t i;
    const std::uint64_t life;
    std::unique_ptr<Voter> voter;
    Voter::OutgoingFrames out;
    double armed_for = -1;
    std::uint64_t timers = 0;
  };

  struct NodeActor final : emulator::Actor {
    NodeActor(Cluster& c, std::size_t i, std::uint64_t life) : c(c), i(i), life(life), client(settings()) {}
    ClientSettings settings() const {
      ClientSettings out;
      out.lease_holder.self = {"n" + std::to_string(i), life + 1, i % 2 == 0 ? "a" : "b", ""};
      out.lease_holder.drift = c.s.drift;
      if (!c.s.shipped) {
        out.lease_holder.reply_timeout = 0.2;
        out.lease_holder.request_interval = 0.5;
        out.voter_selector.reply_timeout = 0.5;
      }
      for (std::size_t v = 0; v < c.s.voters; ++v) out.voters.push_back("v" + std::to_string(v));
      out.seed = i + life * 31 + c.seed;
      return out;
    }
    double local(double now) const { return 50 + now * (i % 2 == 0 ? 1 - c.s.drift : 1 + c.s.drift); }
    void start(emulator::Context& x) override {
      client.on_connected(local(x.now()), out);
      for (const Duty& d : c.s.duties) client.acquire(local(x.now()), d, out);
      done(x);
    }
    void message(emulator::Context& x, emulator::ActorId from, const std::string& bytes) override {
      if (from != client.voter_selector().target()) return;  // of a connection that is closed
      client.on_frame(local(x.now()), parted(bytes).second, out);
      done(x);
    }
    void timer(emulator::Context& x, std::uint64_t token) override {
      if (token == kEffect) {  // it takes place now, whatever has become of the lease since it was checked
        const auto [duty, t] = effect;
        effect.second = 0;
        c.land(x.now(), duty, t);
        return;
      }
      if (token != timers) return;
      client.tick(local(x.now()), out);
      if (effect.second == 0 && x.now() >= next_effect) {
        for (std::size_t n = 0; n < c.s.duties.size(); ++n) {
          const Duty& d = c.s.duties[(n + static_cast<std::size_t>(x.now() * 10)) % c.s.duties.size()];
          const auto held = client.held_token(local(x.now()), d.name);
          if (!held) continue;
          effect = {d.name, *held};
          next_effect = x.now() + c.s.effect_every;
          x.set_timer(x.now() + c.s.effect_takes, kEffect);
          break;
        }
      }
      done(x);
    }
    void done(emulator::Context& x) {
      if (out.reconnect) {
        // A connection that is refused or comes up at once: the way there takes what it takes.
        Client::Actions again;
        client.on_connected(local(x.now()), again);
        std::swap(out.frames, again.frames);
        out.changes.insert(out.changes.end(), again.changes.begin(), again.changes.end());
      }
      Frame hello;
      hello.kind = Frame::Kind::kHello;
      hello.nonce = std::string(kNonceBytes, 'n');
      hello.sender = {"n" + std::to_string(i), life + 1, "", ""};
      for (const Frame& f : out.frames)
        x.send(static_cast<emulator::ActorId>(client.voter_selector().target()), joined(hello, f));
      for (const LeaseHolder::Change& change : out.changes) c.changed(x.now(), i, life, change);
      out = {};
      if (armed_for > x.now()) return;
      armed_for = x.now() + 0.02;
      x.set_timer(armed_for, ++timers);
    }
    static constexpr std::uint64_t kEffect = ~std::uint64_t{0};
    Cluster& c;
    const std::size_t i;
    const std::uint64_t life;
    Client client;
    Client::Actions out;
    std::pair<std::string, Token> effect{"", 0};
    double next_effect = 0, armed_for = -1;
    std::uint64_t timers = 0;
  };

  Cluster(ClusterSettings settings, std::uint64_t seed) : s(std::move(settings)), seed(seed), sim(seed) {
    sim.set_network({});
    for (std::size_t v = 0; v < s.voters; ++v) {
      stores.push_back(std::make_unique<MemoryStore>((v + 1) * 0x1000000000000000ULL - 1 - v));
      sim.add([this, v](emulator::ActorId, std::uint64_t life) {
        return std::make_unique<VoterActor>(*this, v, life);
      });
    }
    for (std::size_t n = 0; n < s.nodes; ++n) {
      sim.add([this, n](emulator::ActorId, std::uint64_t life) {
        return std::make_unique<NodeActor>(*this, n, life);
      });
    }
    RaftReplica::bootstrap(*stores[0], "v0");
  }
  // All started, all voters added. False where that took over 20 s.
  bool start() {
    for (emulator::ActorId i = 0; i < sim.size(); ++i) sim.start(i);
    for (std::size_t v = 1; v < s.voters; ++v) {
      bool in = false;
      for (int tries = 0; tries < 200 && !in; ++tries) {
        run(0.1);
        VoterActor* lead = leader();
        if (lead == nullptr) continue;
        const auto voters = lead->voter->raft().voters();
        in = std::any_of(voters.begin(), voters.end(), [&](const VoterInfo& x) {
          return x.name == "v" + std::to_string(v) && x.role == VoterRole::kVoter;
        });
        if (in || tries % 20 != 0) continue;
        // A hello of the new one, as if it had connected, and an operator's word.
        Voter::OutgoingFrames outs;
        VoterActor* fresh = voter(v);
        const double at = 100 + sim.now();
        lead->voter->on_voter_hello(at, fresh->voter->hello(std::string(kNonceBytes, 'n')), outs);
        Frame f;
        f.kind = Frame::Kind::kRequests;
        f.requests.emplace_back();
        f.requests[0].kind = Request::Kind::kAddVoter;
        f.requests[0].target = "v" + std::to_string(v);
        lead->voter->on_client_frame(at, 4000, f, outs);
      }
      if (!in) return false;
    }
    return true;
  }
  void run(double seconds) {
    for (const double until = sim.now() + seconds; sim.now() < until - 1e-9;) {
      sim.run_until(std::min(until, sim.now() + 0.01));
      check();
    }
  }

  VoterActor* voter(std::size_t i) {
    return static_cast<VoterActor*>(sim.actor(static_cast<emulator::ActorId>(i)));
  }
  NodeActor* node(std::size_t i) {
    return static_cast<NodeActor*>(sim.actor(static_cast<emulator::ActorId>(s.voters + i)));
  }
  VoterActor* leader() {
    for (std::size_t i = 0; i < s.voters; ++i) {
      if (VoterActor* v = voter(i); v != nullptr && v->voter && v->voter->raft().is_leader()) return v;
    }
    return nullptr;
  }
  std::optional<std::size_t> holder(const std::string& duty) {
    for (std::size_t i = 0; i < s.nodes; ++i) {
      NodeActor* n = node(i);
      if (n != nullptr && !sim.paused(static_cast<emulator::ActorId>(s.voters + i)) &&
          n->client.held_token(n->local(sim.now()), duty))
        return i;
    }
    return std::nullopt;
  }
  bool all_held() {
    return std::all_of(s.duties.begin(), s.duties.end(),
                       [&](const Duty& d) { return holder(d.name).has_value(); });
  }

  void check() {
    for (const Duty& d : s.duties) {
      int holders = 0;
      for (std::size_t i = 0; i < s.nodes; ++i) {
        NodeActor* n = node(i);
        if (n != nullptr && n->client.held_token(n->local(sim.now()), d.name)) ++holders;
      }
      if (holders > 1 && broken.empty()) broken = d.name + " is held by two at " + std::to_string(sim.now());
    }
  }
  void changed(double at, std::size_t node, std::uint64_t life, const LeaseHolder::Change& change) {
    if (!change.gained) return;
    ++gained;
    const auto [it, fresh] = owners.try_emplace(change.token, std::pair(node, life));
    if (!fresh && it->second != std::pair(node, life) && broken.empty())
      broken = "token " + std::to_string(change.token) + " has two holders at " + std::to_string(at);
  }
  void land(double at, const std::string& duty, Token token) {
    if (!fence.admit(duty, token) && !s.no_fence) {
      ++turned_away;
      return;
    }
    ++effects;
    Token& last = last_effect[duty];
    if (token < last && broken.empty())
      broken = "an effect of " + duty + " crossed another's at " + std::to_string(at);
    last = std::max(last, token);
  }

  ClusterSettings s;
  const std::uint64_t seed;
  emulator::Simulation sim;
  std::vector<std::unique_ptr<MemoryStore>> stores;
  FencingChecker fence;
  std::map<std::string, Token> last_effect;
  std::map<Token, std::pair<std::size_t, std::uint64_t>> owners;
  std::size_t effects = 0, turned_away = 0, gained = 0;
  std::string broken;
  std::function<void(const std::string&)> listen;  // to what voters say to each other
};

}  // namespace nettlestand::duties::testing
