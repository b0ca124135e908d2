// A cluster of voters and nodes in the deterministic simulator. The I/O-free production logic and libraft run
// on simulated clocks that drift, a simulated network, and in-memory stores that fail on demand.
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

// A voter's store in memory. It survives restarts of the voter; writes can be made to fail.
class MemoryStore final : public Store {
 public:
  explicit MemoryStore(std::uint64_t id) : id_(id) {}
  StoredState load() override {
    throw_if_failing();
    StoredState out;
    out.id = id_;
    out.start_count = ++starts_;
    out.start_id = id_ * 1000 + starts_ * 7 + start_id_salt;
    out.term = term_;
    out.vote = vote_;
    out.snapshot = snapshot_;
    out.first_index = first_;
    out.entries = entries_;
    return out;
  }
  void set_term(std::uint64_t term) override {
    throw_if_failing();
    term_ = term;
    vote_ = 0;
  }
  void set_vote(std::uint64_t id) override {
    throw_if_failing();
    vote_ = id;
  }
  void append(std::uint64_t first, const std::vector<StoredEntry>& entries) override {
    throw_if_failing();
    if (first != first_ + entries_.size()) throw std::logic_error("append leaves a gap in the log");
    entries_.insert(entries_.end(), entries.begin(), entries.end());
  }
  void truncate(std::uint64_t from) override {
    throw_if_failing();
    entries_.resize(from < first_ ? 0 : std::min<std::size_t>(entries_.size(), from - first_));
  }
  void put_snapshot(const StoredSnapshot& s, std::uint64_t trailing) override {
    throw_if_failing();
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
    auto& [known_starts, known_run] = peer_starts_[voter];
    if (known_starts == starts) return known_run == run;
    if (known_starts > starts) return false;
    known_starts = starts;
    known_run = run;
    return true;
  }

  int fail_after_writes = -1;       // operations that still succeed before all fail; negative: none fails
  std::uint64_t start_id_salt = 0;  // makes the start ids of a restored copy differ from the original's

 private:
  void throw_if_failing() {
    if (fail_after_writes < 0) return;
    if (fail_after_writes == 0) throw StoreError(StoreError::Kind::kFull, "no space left");
    --fail_after_writes;
  }
  std::uint64_t id_, starts_ = 0, term_ = 0, vote_ = 0, first_ = 1;
  std::vector<StoredEntry> entries_;
  std::optional<StoredSnapshot> snapshot_;
  std::map<std::uint64_t, std::pair<std::uint64_t, std::uint64_t>> peer_starts_;
};

// Sizes, timing and injected faults of a simulated cluster.
struct ClusterSettings {
  std::size_t voters = 3, nodes = 4;
  std::vector<Duty> duties;
  double clock_drift = 0.01;
  double effect_interval_seconds = 0.1, effect_duration_seconds = 0.05;
  unsigned snapshot_threshold = 64, snapshot_trailing = 16;
  bool fencing_disabled = false;  // injected fault: effects are applied whatever their token
  bool default_timeouts = false;  // the production defaults, else shorter timeouts
};

// The simulated voters and nodes, and the invariants that hold between them: a duty has at most one holder, a
// token has one owner, and the tokens of a duty's effects never decrease.
struct Cluster {
  // A datagram carries the sender's hello and one frame, so that the handshake need not be simulated.
  static std::string encode_datagram(const Frame& hello, const Frame& frame) {
    const std::string h = encode(hello);
    return std::string(1, static_cast<char>(h.size() / 256)) + static_cast<char>(h.size() % 256) + h +
           encode(frame);
  }
  static std::pair<Frame, Frame> decode_datagram(const std::string& bytes) {
    const auto size = static_cast<std::size_t>(static_cast<unsigned char>(bytes[0])) * 256 +
                      static_cast<unsigned char>(bytes[1]);
    return {decode_frame(std::string_view(bytes).substr(2, size)),
            decode_frame(std::string_view(bytes).substr(2 + size))};
  }

  // A voter whose clock runs fast if its index is even and slow if it is odd.
  struct VoterActor final : emulator::Actor {
    VoterActor(Cluster& cluster, std::size_t index, std::uint64_t generation)
        : cluster(cluster), index(index), generation(generation) {}
    double local_time(emulator::Context& context) const {
      return 100 + context.now() *
                       (index % 2 == 0 ? 1 + cluster.settings.clock_drift : 1 - cluster.settings.clock_drift);
    }
    void open_voter(emulator::Context& context) {
      VoterSettings v;
      v.self = {"v" + std::to_string(index), generation + 1, "", ""};
      if (!cluster.settings.default_timeouts) {
        v.raft.election_timeout_ms = 300;
        v.raft.heartbeat_interval_ms = 50;
        v.lease_manager.first_renewal_timeout = 0.5;
        v.lease_manager.propose_timeout = 1;
      }
      v.raft.snapshot_threshold = cluster.settings.snapshot_threshold;
      v.raft.snapshot_trailing = cluster.settings.snapshot_trailing;
      v.raft.seed = index * 7919 + generation + cluster.seed;
      v.lease_manager.drift = cluster.settings.clock_drift;
      try {
        voter = std::make_unique<Voter>(v, *cluster.stores[index], local_time(context));
      } catch (const std::exception&) {
        voter.reset();
      }
    }
    void start(emulator::Context& context) override {
      open_voter(context);
      flush(context);
    }
    void message(emulator::Context& context, emulator::ActorId from, const std::string& bytes) override {
      if (!voter) return;
      const auto [hello, frame] = decode_datagram(bytes);
      if (hello.voter_id != 0) {
        if (!voter->on_voter_hello(local_time(context), hello, outgoing)) return;
        if (cluster.on_raft_message && frame.kind == Frame::Kind::kRaft) cluster.on_raft_message(frame.bytes);
        voter->on_voter_frame(local_time(context), hello.voter_id, hello.sender.name, frame, outgoing);
      } else {
        voter->on_client_frame(local_time(context), from + 1, frame, outgoing);
      }
      flush(context);
    }
    void timer(emulator::Context& context, std::uint64_t token) override {
      if (token != timer_token) return;
      if (!voter || voter->failed()) {
        voter.reset();
        open_voter(context);
      }
      if (voter) voter->tick(local_time(context), outgoing);
      flush(context);
    }
    void flush(emulator::Context& context) {
      if (voter) {
        for (Voter::Outgoing& o : outgoing) {
          const Frame hello = voter->hello(std::string(kNonceBytes, 'n'));
          if (o.to_voter) {
            context.send(static_cast<emulator::ActorId>(std::stoul(voter_name(o.name).substr(1))),
                         encode_datagram(hello, o.frame));
          } else {
            context.send(static_cast<emulator::ActorId>(o.to - 1), encode_datagram(hello, o.frame));
          }
        }
      }
      outgoing.clear();
      // A message must not postpone the next tick.
      if (next_tick_at > context.now()) return;
      next_tick_at = context.now() + (voter ? 0.025 : 0.5);
      context.set_timer(next_tick_at, ++timer_token);
    }
    Cluster& cluster;
    const std::size_t index;
    const std::uint64_t generation;
    std::unique_ptr<Voter> voter;
    Voter::OutgoingFrames outgoing;
    double next_tick_at = -1;
    std::uint64_t timer_token = 0;
  };

  // A node that acquires all duties and applies effects for those it holds. Its clock runs slow if its index
  // is even and fast if it is odd.
  struct NodeActor final : emulator::Actor {
    NodeActor(Cluster& cluster, std::size_t index, std::uint64_t generation)
        : cluster(cluster), index(index), generation(generation), client(client_settings()) {}
    ClientSettings client_settings() const {
      ClientSettings result;
      result.lease_holder.self = {"n" + std::to_string(index), generation + 1, index % 2 == 0 ? "a" : "b",
                                  ""};
      result.lease_holder.drift = cluster.settings.clock_drift;
      if (!cluster.settings.default_timeouts) {
        result.lease_holder.reply_timeout = 0.2;
        result.lease_holder.request_interval = 0.5;
        result.voter_selector.reply_timeout = 0.5;
      }
      for (std::size_t v = 0; v < cluster.settings.voters; ++v)
        result.voters.push_back("v" + std::to_string(v));
      result.seed = index + generation * 31 + cluster.seed;
      return result;
    }
    double local_time(double now) const {
      return 50 +
             now * (index % 2 == 0 ? 1 - cluster.settings.clock_drift : 1 + cluster.settings.clock_drift);
    }
    void start(emulator::Context& context) override {
      client.on_connected(local_time(context.now()), actions);
      for (const Duty& d : cluster.settings.duties) client.acquire(local_time(context.now()), d, actions);
      flush(context);
    }
    void message(emulator::Context& context, emulator::ActorId from, const std::string& bytes) override {
      if (from != client.voter_selector().target()) return;  // from a connection that was closed
      client.on_frame(local_time(context.now()), decode_datagram(bytes).second, actions);
      flush(context);
    }
    void timer(emulator::Context& context, std::uint64_t token) override {
      if (token == kEffectTimer) {  // applied even if the lease was lost since the check
        const auto [duty, t] = pending_effect;
        pending_effect.second = 0;
        cluster.apply_effect(context.now(), duty, t);
        return;
      }
      if (token != timer_token) return;
      client.tick(local_time(context.now()), actions);
      if (pending_effect.second == 0 && context.now() >= next_effect) {
        for (std::size_t n = 0; n < cluster.settings.duties.size(); ++n) {
          const Duty& d = cluster.settings.duties[(n + static_cast<std::size_t>(context.now() * 10)) %
                                                  cluster.settings.duties.size()];
          const auto held = client.held_token(local_time(context.now()), d.name);
          if (!held) continue;
          pending_effect = {d.name, *held};
          next_effect = context.now() + cluster.settings.effect_interval_seconds;
          context.set_timer(context.now() + cluster.settings.effect_duration_seconds, kEffectTimer);
          break;
        }
      }
      flush(context);
    }
    void flush(emulator::Context& context) {
      if (actions.reconnect) {
        // Connections are established at once; the simulated network delays or loses the frames.
        Client::Actions again;
        client.on_connected(local_time(context.now()), again);
        std::swap(actions.frames, again.frames);
        actions.changes.insert(actions.changes.end(), again.changes.begin(), again.changes.end());
      }
      Frame hello;
      hello.kind = Frame::Kind::kHello;
      hello.nonce = std::string(kNonceBytes, 'n');
      hello.sender = {"n" + std::to_string(index), generation + 1, "", ""};
      for (const Frame& f : actions.frames)
        context.send(static_cast<emulator::ActorId>(client.voter_selector().target()),
                     encode_datagram(hello, f));
      for (const LeaseHolder::Change& change : actions.changes)
        cluster.on_lease_change(context.now(), index, generation, change);
      actions = {};
      if (next_tick_at > context.now()) return;
      next_tick_at = context.now() + 0.02;
      context.set_timer(next_tick_at, ++timer_token);
    }
    static constexpr std::uint64_t kEffectTimer = ~std::uint64_t{0};
    Cluster& cluster;
    const std::size_t index;
    const std::uint64_t generation;
    Client client;
    Client::Actions actions;
    std::pair<std::string, Token> pending_effect{"", 0};
    double next_effect = 0, next_tick_at = -1;
    std::uint64_t timer_token = 0;
  };

  Cluster(ClusterSettings cluster_settings, std::uint64_t seed)
      : settings(std::move(cluster_settings)), seed(seed), sim(seed) {
    sim.set_network({});
    for (std::size_t v = 0; v < settings.voters; ++v) {
      stores.push_back(std::make_unique<MemoryStore>((v + 1) * 0x1000000000000000ULL - 1 - v));
      sim.add([this, v](emulator::ActorId, std::uint64_t generation) {
        return std::make_unique<VoterActor>(*this, v, generation);
      });
    }
    for (std::size_t n = 0; n < settings.nodes; ++n) {
      sim.add([this, n](emulator::ActorId, std::uint64_t generation) {
        return std::make_unique<NodeActor>(*this, n, generation);
      });
    }
    RaftReplica::bootstrap(*stores[0], "v0");
  }
  // Starts all actors and adds the voters one by one. False if adding one of them takes more than 20 s.
  bool start() {
    for (emulator::ActorId i = 0; i < sim.size(); ++i) sim.start(i);
    for (std::size_t v = 1; v < settings.voters; ++v) {
      bool in = false;
      for (int tries = 0; tries < 200 && !in; ++tries) {
        run(0.1);
        VoterActor* lead = leader();
        if (lead == nullptr) continue;
        const auto voters = lead->voter->raft().voters();
        in = std::any_of(voters.begin(), voters.end(), [&](const VoterInfo& info) {
          return info.name == "v" + std::to_string(v) && info.role == VoterRole::kVoter;
        });
        if (in || tries % 20 != 0) continue;
        // The new voter's hello, as if it had connected, and an operator's request to add it.
        Voter::OutgoingFrames outs;
        VoterActor* added = voter(v);
        const double at = 100 + sim.now();
        lead->voter->on_voter_hello(at, added->voter->hello(std::string(kNonceBytes, 'n')), outs);
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
  // Runs the simulation and checks for two holders every 10 ms.
  void run(double seconds) {
    for (const double until = sim.now() + seconds; sim.now() < until - 1e-9;) {
      sim.run_until(std::min(until, sim.now() + 0.01));
      check_single_holder();
    }
  }

  VoterActor* voter(std::size_t i) {
    return static_cast<VoterActor*>(sim.actor(static_cast<emulator::ActorId>(i)));
  }
  NodeActor* node(std::size_t i) {
    return static_cast<NodeActor*>(sim.actor(static_cast<emulator::ActorId>(settings.voters + i)));
  }
  VoterActor* leader() {
    for (std::size_t i = 0; i < settings.voters; ++i) {
      if (VoterActor* v = voter(i); v != nullptr && v->voter && v->voter->raft().is_leader()) return v;
    }
    return nullptr;
  }
  // The first running node that believes it holds the duty.
  std::optional<std::size_t> holder(const std::string& duty) {
    for (std::size_t i = 0; i < settings.nodes; ++i) {
      NodeActor* n = node(i);
      if (n != nullptr && !sim.paused(static_cast<emulator::ActorId>(settings.voters + i)) &&
          n->client.held_token(n->local_time(sim.now()), duty))
        return i;
    }
    return std::nullopt;
  }
  bool all_held() {
    return std::all_of(settings.duties.begin(), settings.duties.end(),
                       [&](const Duty& d) { return holder(d.name).has_value(); });
  }

  void check_single_holder() {
    for (const Duty& d : settings.duties) {
      int holders = 0;
      for (std::size_t i = 0; i < settings.nodes; ++i) {
        NodeActor* n = node(i);
        if (n != nullptr && n->client.held_token(n->local_time(sim.now()), d.name)) ++holders;
      }
      if (holders > 1 && violation.empty())
        violation = d.name + " has two holders at " + std::to_string(sim.now());
    }
  }
  void on_lease_change(double at, std::size_t node, std::uint64_t generation,
                       const LeaseHolder::Change& change) {
    if (!change.gained) return;
    ++gained_leases;
    const auto [it, added] = token_owners.try_emplace(change.token, std::pair(node, generation));
    if (!added && it->second != std::pair(node, generation) && violation.empty())
      violation = "token " + std::to_string(change.token) + " has two holders at " + std::to_string(at);
  }
  void apply_effect(double at, const std::string& duty, Token token) {
    if (!fencing_checker.admit(duty, token) && !settings.fencing_disabled) {
      ++rejected_effects;
      return;
    }
    ++applied_effects;
    Token& last = last_effect[duty];
    if (token < last && violation.empty())
      violation = "an effect of " + duty + " came after one with a higher token at " + std::to_string(at);
    last = std::max(last, token);
  }

  ClusterSettings settings;
  const std::uint64_t seed;
  emulator::Simulation sim;
  std::vector<std::unique_ptr<MemoryStore>> stores;
  FencingChecker fencing_checker;
  std::map<std::string, Token> last_effect;
  std::map<Token, std::pair<std::size_t, std::uint64_t>> token_owners;
  std::size_t applied_effects = 0, rejected_effects = 0, gained_leases = 0;
  std::string violation;                                    // the first one; empty if none
  std::function<void(const std::string&)> on_raft_message;  // called with each Raft message
};

}  // namespace nettlestand::duties::testing
