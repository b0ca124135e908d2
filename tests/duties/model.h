// A state machine of leases for a model checker: nodes with drifting clocks, two voters of which one can
// commit while the other may still believe that it is the leader, and messages that are reordered, duplicated
// or lost. The lease logic is the production code; agreement itself is reduced to a shared log.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "duties/fencing_checker.h"
#include "duties/lease_holder.h"
#include "duties/lease_manager.h"

namespace nettlestand::duties::testing {

// Faults that the checker must be able to find.
struct InjectedFaults {
  bool no_fencing = false;      // effects are applied whatever their token
  bool wall_clock = false;      // leases are timed by a clock that may be set back
  bool table_loss = false;      // the voters may lose the agreed lease table
  bool no_barrier = false;      // a voter that believes it leads confirms renewals without the others
  bool no_leader_wait = false;  // a new leader treats all existing leases as expired
  bool drift_ignored = false;   // lease holders assume that clocks are exact
};

// Size and timing of the model; times in seconds.
struct ModelSettings {
  int nodes = 3;
  std::vector<std::string> duties = {"a", "b"};
  double lease_seconds = 1, drift = 0.1;
  // Small enough for a few steps to fall between a lease's expiry by an exact clock and by the slowest clock.
  double time_step = 0.26;
  std::size_t max_messages = 3;
  bool crashes = true;
  InjectedFaults faults;
};

// One state of the model. The steps that are possible in it are numbered; taking one leads to the next state.
class Model {
 public:
  explicit Model(const ModelSettings& settings) : settings_(settings) {
    for (int v = 0; v < 2; ++v)
      voters_.emplace_back(settings_, v == 0 ? 1 + settings_.drift : 1 - settings_.drift);
    for (const std::string& duty : settings_.duties) {
      Command c;
      c.kind = Command::Kind::kDefine;
      c.duty = {duty, settings_.lease_seconds, {}, {}, {}};
      log_.push_back(c);
    }
    for (int n = 0; n < settings_.nodes; ++n) nodes_.push_back(node(n, 1));
    apply_log(0);
    apply_log(1);
    LeaseManager::Actions out;
    voters_[0].lease_manager.become_leader(local(voters_[0]), out);
    handle_manager_actions(0, out);
    for (int n = 0; n < settings_.nodes; ++n) {
      LeaseHolder::Actions actions;
      for (const std::string& duty : settings_.duties)
        nodes_[static_cast<std::size_t>(n)].lease_holder.acquire(local(n), duty, actions);
      handle_holder_actions(n, actions);
    }
  }
  Model(const Model& other) { *this = other; }
  Model& operator=(const Model& other) {
    settings_ = other.settings_;
    true_time_ = other.true_time_;
    log_ = other.log_;
    voters_ = other.voters_;
    for (VoterState& v : voters_) v.lease_manager.use_table(v.table);
    nodes_ = other.nodes_;
    messages_ = other.messages_;
    leader_ = other.leader_;
    fencing_checker_ = other.fencing_checker_;
    effects_ = other.effects_;
    last_effect_ = other.last_effect_;
    token_owners_ = other.token_owners_;
    violation_ = other.violation_;
    return *this;
  }

  // The number of steps that are possible now; step() takes one and returns its name.
  std::size_t step_count() const { return all_steps().size(); }
  std::string step(std::size_t which) {
    const Step s = all_steps().at(which);
    std::string name = name_of(s);  // before the step: the name refers to a message by its position
    execute(s);
    check();
    return name;
  }
  // Takes a step by its name, for scripted tests; false if it is not possible now.
  bool step(const std::string& name) {
    const auto all = all_steps();
    for (std::size_t i = 0; i < all.size(); ++i) {
      if (name_of(all[i]) != name) continue;
      step(i);
      return true;
    }
    return false;
  }
  std::vector<std::string> step_names() const {
    std::vector<std::string> out;
    for (const Step& s : all_steps()) out.push_back(name_of(s));
    return out;
  }
  // The first invariant violation, or empty.
  const std::string& violation() const { return violation_; }
  std::optional<int> holder(const std::string& duty) const {
    for (int n = 0; n < settings_.nodes; ++n) {
      if (nodes_[static_cast<std::size_t>(n)].running && holds_locally(n, duty)) return n;
    }
    return std::nullopt;
  }
  std::size_t effects() const { return effects_.size(); }
  const LeaseTable& table() const { return voters_[static_cast<std::size_t>(leader_)].table; }

  // States with equal keys have the same future.
  std::string state_key() const {
    std::string out = std::to_string(leader_);
    for (const VoterState& v : voters_) {
      out += "V" + std::to_string(log_.size() - v.applied);
      v.lease_manager.describe(local(v), out);
      for (const PendingItem& i : v.pending)
        out += i.barrier ? "b" + std::to_string(i.barrier) : "c" + encode(i.command);
    }
    out += table_key();
    for (int n = 0; n < settings_.nodes; ++n) {
      const NodeState& node = nodes_[static_cast<std::size_t>(n)];
      out += std::string("N") + (node.running ? "r" : "s") + std::to_string(node.generation) + ";";
      if (node.effect) out += node.effect->first + std::to_string(node.effect->second);
      node.lease_holder.describe(local(n), out);
    }
    for (const Message& m : messages_) out += "M" + message_key(m);
    for (const std::string& duty : settings_.duties)
      out += "F" + std::to_string(fencing_checker_.highest(duty));
    return out;
  }

 private:
  // A proposal that is not committed yet.
  struct PendingItem {
    Command command;
    std::uint64_t barrier = 0;  // 0: the item is a command
  };
  struct VoterState {
    VoterState(const ModelSettings& s, double rate) : lease_manager(table, manager_settings(s)), rate(rate) {
      lease_manager.use_table(table);
    }
    VoterState(const VoterState& o)
        : table(o.table),
          lease_manager(o.lease_manager),
          pending(o.pending),
          applied(o.applied),
          rate(o.rate) {
      lease_manager.use_table(table);
    }
    VoterState& operator=(const VoterState& o) {
      table = o.table;
      lease_manager = o.lease_manager;
      lease_manager.use_table(table);
      pending = o.pending;
      applied = o.applied;
      rate = o.rate;
      return *this;
    }
    static LeaseManagerSettings manager_settings(const ModelSettings& s) {
      LeaseManagerSettings out;
      out.drift = s.drift;
      out.request_ttl = 10;
      out.preferred_delay = 0;
      out.first_renewal_timeout = 0.5;
      return out;
    }
    LeaseTable table;
    LeaseManager lease_manager;
    std::vector<PendingItem> pending;
    std::size_t applied = 0;
    double rate = 1;
  };
  struct NodeState {
    explicit NodeState(LeaseHolderSettings s) : lease_holder(std::move(s)) {}
    LeaseHolder lease_holder;
    bool running = true;
    std::uint64_t generation = 1;
    double rate = 1, offset = 0;
    std::optional<std::pair<std::string, Token>> effect;  // lease checked, effect not applied yet
  };
  struct Message {
    int node = 0;  // the sender of a request or the recipient of a reply
    std::uint64_t generation = 0;
    std::optional<Request> request;
    std::optional<Reply> reply;
    bool duplicated = false;
  };
  struct Step {
    enum class Kind {
      kDeliver,
      kDuplicate,
      kDrop,
      kCommit,
      kElect,
      kElectKeepingPending,
      kStepDown,
      kPause,
      kResume,
      kCrash,
      kCheckLease,
      kApplyEffect,
      kAdvanceTime,
      kSetClockBack,
      kLoseTable
    } kind;
    int a = 0, b = 0;  // a: message or node; b: voter of a request, or duty of a lease check
  };

  NodeState node(int n, std::uint64_t generation) const {
    LeaseHolderSettings h;
    h.self = {"n" + std::to_string(n), generation, "", ""};
    h.drift = settings_.faults.drift_ignored ? 0 : settings_.drift;
    h.request_interval = 0.5;
    h.reply_timeout = 0.4;
    NodeState out(h);
    out.generation = generation;
    out.rate = n % 2 == 0 ? 1 - settings_.drift : 1 + settings_.drift;
    return out;
  }
  double local(const VoterState& v) const { return 10 + true_time_ * v.rate; }
  double local(int n) const {
    const NodeState& node = nodes_[static_cast<std::size_t>(n)];
    return 10 + true_time_ * node.rate + node.offset;
  }
  bool holds_locally(int n, const std::string& duty) const {
    return nodes_[static_cast<std::size_t>(n)].lease_holder.held_token(local(n), duty).has_value();
  }

  void apply_log(std::size_t v) {
    VoterState& voter = voters_[v];
    for (; voter.applied < log_.size(); ++voter.applied) {
      const Command& c = log_[voter.applied];
      const CommandResult result = voter.table.apply(c);
      LeaseManager::Actions out;
      voter.lease_manager.on_applied(local(voter), c, result, out);
      handle_manager_actions(v, out);
    }
  }
  void handle_manager_actions(std::size_t v, LeaseManager::Actions& out) {
    for (Command& c : out.proposals) voters_[v].pending.push_back({std::move(c), 0});
    for (const std::uint64_t b : out.barriers) {
      if (settings_.faults.no_barrier) {
        LeaseManager::Actions more;
        voters_[v].lease_manager.on_barrier_done(local(voters_[v]), b, more);
        handle_manager_actions(v, more);
      } else {
        voters_[v].pending.push_back({{}, b});
      }
    }
    for (LeaseManager::ClientReply& a : out.replies) {
      const int n = static_cast<int>(a.to) - 1;
      // Replies that change nothing would only use up the limited number of messages.
      if (n < 0 || a.reply.kind == Reply::Kind::kWaiting || a.reply.kind == Reply::Kind::kNotLeader) continue;
      enqueue_message({n, nodes_[static_cast<std::size_t>(n)].generation, std::nullopt, a.reply, false});
    }
  }
  void handle_holder_actions(int n, LeaseHolder::Actions& out) {
    for (Request& r : out.requests)
      enqueue_message({n, nodes_[static_cast<std::size_t>(n)].generation, std::move(r), std::nullopt, false});
    for (const LeaseHolder::Change& c : out.changes) {
      if (!c.gained) continue;
      const auto [it, fresh] =
          token_owners_.try_emplace(c.token, std::pair(n, nodes_[static_cast<std::size_t>(n)].generation));
      if (!fresh && it->second != std::pair(n, nodes_[static_cast<std::size_t>(n)].generation)) {
        violation_ = "token " + std::to_string(c.token) + " has two holders";
      }
    }
  }
  // Drops the message if max_messages are under way.
  void enqueue_message(Message m) {
    for (const Message& other : messages_) {
      if (message_key(other) == message_key(m))
        return;  // a retransmission: one is enough, as any message may be duplicated
    }
    if (messages_.size() < settings_.max_messages) messages_.push_back(std::move(m));
  }

  std::vector<Step> all_steps() const {
    std::vector<Step> out;
    if (!violation_.empty()) return out;
    using K = Step::Kind;
    for (std::size_t m = 0; m < messages_.size(); ++m) {
      const int i = static_cast<int>(m);
      const Message& one = messages_[m];
      if (one.request) {
        for (int v = 0; v < 2; ++v) {
          if (voters_[static_cast<std::size_t>(v)].lease_manager.is_leader())
            out.push_back({K::kDeliver, i, v});
        }
      } else if (nodes_[static_cast<std::size_t>(one.node)].running) {
        out.push_back({K::kDeliver, i, 0});
        if (!one.duplicated) out.push_back({K::kDuplicate, i, 0});
      }
      out.push_back({K::kDrop, i, 0});
    }
    if (!voters_[static_cast<std::size_t>(leader_)].pending.empty()) out.push_back({K::kCommit, 0, 0});
    if (!voters_[static_cast<std::size_t>(1 - leader_)].lease_manager.is_leader()) {
      out.push_back({K::kElect, 0, 0});
      if (!voters_[static_cast<std::size_t>(leader_)].pending.empty())
        out.push_back({K::kElectKeepingPending, 0, 0});
    } else {
      out.push_back({K::kStepDown, 0, 0});
    }
    for (int n = 0; n < settings_.nodes; ++n) {
      const NodeState& node = nodes_[static_cast<std::size_t>(n)];
      if (node.running) {
        if (node.effect) {
          out.push_back({K::kApplyEffect, n, 0});
        } else {
          for (std::size_t d = 0; d < settings_.duties.size(); ++d) {
            if (holds_locally(n, settings_.duties[d]))
              out.push_back({K::kCheckLease, n, static_cast<int>(d)});
          }
        }
        out.push_back({K::kPause, n, 0});
        if (settings_.crashes) out.push_back({K::kCrash, n, 0});
        if (settings_.faults.wall_clock && node.offset == 0) out.push_back({K::kSetClockBack, n, 0});
      } else {
        out.push_back({K::kResume, n, 0});
      }
    }
    out.push_back({K::kAdvanceTime, 0, 0});
    if (settings_.faults.table_loss) out.push_back({K::kLoseTable, 0, 0});
    return out;
  }

  static std::string message_key(const Message& m) {
    std::string out = std::to_string(m.node) + "." + std::to_string(m.generation);
    if (m.request) {
      out += "?" + std::to_string(static_cast<int>(m.request->kind)) + m.request->duty +
             std::to_string(m.request->token);
      // Renewals differ by their sequence number: each was sent at another time.
      if (m.request->kind == Request::Kind::kRenew) out += "#" + std::to_string(m.request->seq);
    } else {
      out += "!" + std::to_string(static_cast<int>(m.reply->kind)) + m.reply->duty +
             std::to_string(m.reply->token);
      if (m.reply->kind == Reply::Kind::kRenewed) out += "#" + std::to_string(m.reply->seq);
    }
    return out;
  }
  std::string name_of(const Step& s) const {
    const auto message = [&] { return message_key(messages_[static_cast<std::size_t>(s.a)]); };
    const std::string n = "n" + std::to_string(s.a);
    switch (s.kind) {
      case Step::Kind::kDeliver:
        return "deliver " + message() +
               (messages_[static_cast<std::size_t>(s.a)].request ? " to v" + std::to_string(s.b) : "");
      case Step::Kind::kDuplicate:
        return "deliver and keep " + message();
      case Step::Kind::kDrop:
        return "drop " + message();
      case Step::Kind::kCommit:
        return "commit";
      case Step::Kind::kElect:
        return "elect";
      case Step::Kind::kElectKeepingPending:
        return "elect, keeping pending commands";
      case Step::Kind::kStepDown:
        return "step down";
      case Step::Kind::kPause:
        return "pause " + n;
      case Step::Kind::kResume:
        return "resume " + n;
      case Step::Kind::kCrash:
        return "crash " + n;
      case Step::Kind::kCheckLease:
        return "check " + n + " " + settings_.duties[static_cast<std::size_t>(s.b)];
      case Step::Kind::kApplyEffect:
        return "apply " + n;
      case Step::Kind::kAdvanceTime:
        return "advance time";
      case Step::Kind::kSetClockBack:
        return "set clock back " + n;
      default:
        return "lose table";
    }
  }

  void execute(const Step& s) {
    const auto a = static_cast<std::size_t>(s.a);
    switch (s.kind) {
      case Step::Kind::kDeliver:
      case Step::Kind::kDuplicate: {
        Message m = messages_[a];
        if (s.kind == Step::Kind::kDuplicate) {
          messages_[a].duplicated = true;
        } else {
          messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(a));
        }
        if (m.request) {
          const auto v = static_cast<std::size_t>(s.b);
          LeaseManager::Actions out;
          voters_[v].lease_manager.on_request(
              local(voters_[v]), static_cast<LeaseManager::ClientId>(m.node) + 1, *m.request, out);
          handle_manager_actions(v, out);
        } else if (m.generation == nodes_[static_cast<std::size_t>(m.node)].generation) {
          LeaseHolder::Actions out;
          nodes_[static_cast<std::size_t>(m.node)].lease_holder.on_reply(local(m.node), *m.reply, out);
          handle_holder_actions(m.node, out);
        }
        break;
      }
      case Step::Kind::kDrop:
        messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(a));
        break;
      case Step::Kind::kCommit: {
        const auto v = static_cast<std::size_t>(leader_);
        const PendingItem item = voters_[v].pending.front();
        voters_[v].pending.erase(voters_[v].pending.begin());
        if (item.barrier != 0) {
          LeaseManager::Actions out;
          voters_[v].lease_manager.on_barrier_done(local(voters_[v]), item.barrier, out);
          handle_manager_actions(v, out);
        } else {
          log_.push_back(item.command);
          apply_log(v);
        }
        break;
      }
      case Step::Kind::kElect:
      case Step::Kind::kElectKeepingPending: {
        const auto old = static_cast<std::size_t>(leader_);
        if (s.kind == Step::Kind::kElectKeepingPending) {
          for (const PendingItem& i : voters_[old].pending) {
            if (i.barrier == 0) log_.push_back(i.command);
          }
        }
        // The old leader's pending items can no longer be committed, which it does not know yet.
        leader_ = 1 - leader_;
        const auto v = static_cast<std::size_t>(leader_);
        voters_[v].pending.clear();
        apply_log(v);
        LeaseManager::Actions out;
        voters_[v].lease_manager.become_leader(
            local(voters_[v]) - (settings_.faults.no_leader_wait ? 100 : 0), out);
        handle_manager_actions(v, out);
        break;
      }
      case Step::Kind::kStepDown: {
        const auto v = static_cast<std::size_t>(1 - leader_);
        LeaseManager::Actions out;
        voters_[v].lease_manager.become_follower(out);
        voters_[v].pending.clear();
        handle_manager_actions(v, out);
        apply_log(v);
        break;
      }
      case Step::Kind::kPause:
        nodes_[a].running = false;
        break;
      case Step::Kind::kResume: {
        nodes_[a].running = true;  // its next step may come before it reads its clock
        break;
      }
      case Step::Kind::kCrash: {
        const std::uint64_t generation = nodes_[a].generation + 1;
        const double offset = nodes_[a].offset;
        nodes_[a] = node(s.a, generation);
        nodes_[a].offset = offset;
        LeaseHolder::Actions out;
        for (const std::string& duty : settings_.duties)
          nodes_[a].lease_holder.acquire(local(s.a), duty, out);
        handle_holder_actions(s.a, out);
        break;
      }
      case Step::Kind::kCheckLease: {
        const std::string& duty = settings_.duties[static_cast<std::size_t>(s.b)];
        nodes_[a].effect = {duty, *nodes_[a].lease_holder.held_token(local(s.a), duty)};
        break;
      }
      case Step::Kind::kApplyEffect: {
        const auto [duty, token] = *nodes_[a].effect;
        nodes_[a].effect.reset();
        if (!fencing_checker_.admit(duty, token) && !settings_.faults.no_fencing) break;
        auto& last = last_effect_[duty];
        if (token < last)
          violation_ = "an effect of " + duty + " by token " + std::to_string(token) + " came after one by " +
                       std::to_string(last);
        last = std::max(last, token);
        effects_.push_back(token);
        break;
      }
      case Step::Kind::kAdvanceTime:
        true_time_ += settings_.time_step;
        for (int n = 0; n < settings_.nodes; ++n) {
          if (!nodes_[static_cast<std::size_t>(n)].running) continue;
          LeaseHolder::Actions out;
          nodes_[static_cast<std::size_t>(n)].lease_holder.tick(local(n), out);
          handle_holder_actions(n, out);
        }
        for (std::size_t v = 0; v < 2; ++v) {
          LeaseManager::Actions out;
          voters_[v].lease_manager.tick(local(voters_[v]), out);
          handle_manager_actions(v, out);
        }
        break;
      case Step::Kind::kSetClockBack:
        nodes_[a].offset = -2;
        break;
      case Step::Kind::kLoseTable: {
        std::vector<Command> defined;
        for (const Command& c : log_) {
          if (c.kind == Command::Kind::kDefine) defined.push_back(c);
        }
        log_ = defined;
        for (VoterState& v : voters_) {
          LeaseManager::Actions out;
          v.lease_manager.become_follower(out);
          v.table = LeaseTable();
          v.applied = 0;
          v.pending.clear();
        }
        apply_log(static_cast<std::size_t>(leader_));
        VoterState& v = voters_[static_cast<std::size_t>(leader_)];
        LeaseManager::Actions out;
        v.lease_manager.become_leader(local(v), out);
        handle_manager_actions(static_cast<std::size_t>(leader_), out);
        break;
      }
    }
  }

  void check() {
    if (!violation_.empty()) return;
    const LeaseTable& agreed = voters_[static_cast<std::size_t>(leader_)].table;
    for (const std::string& duty : settings_.duties) {
      std::optional<int> first;
      for (int n = 0; n < settings_.nodes; ++n) {
        if (!nodes_[static_cast<std::size_t>(n)].running || !holds_locally(n, duty)) continue;
        if (first) {
          violation_ = "n" + std::to_string(*first) + " and n" + std::to_string(n) + " both hold " + duty;
          return;
        }
        first = n;
        const Lease* lease = agreed.find(duty);
        const auto token = nodes_[static_cast<std::size_t>(n)].lease_holder.held_token(local(n), duty);
        if (!settings_.faults.table_loss && (lease == nullptr || !lease->holder || lease->token != *token)) {
          violation_ = "n" + std::to_string(n) + " holds " + duty + " by token " + std::to_string(*token) +
                       ", which the voters have revoked";
          return;
        }
      }
    }
  }

  std::string table_key() const {
    std::string out;
    for (const auto& [name, lease] : table().leases()) {
      out += "T" + name + std::to_string(lease.token) +
             (lease.holder ? lease.holder->name + std::to_string(lease.holder->generation) : "-");
    }
    return out + std::to_string(table().last_token());
  }

  ModelSettings settings_;
  double true_time_ = 0;  // s
  std::vector<Command> log_;
  std::vector<VoterState> voters_;
  std::vector<NodeState> nodes_;
  std::vector<Message> messages_;
  int leader_ = 0;  // the voter that can commit
  FencingChecker fencing_checker_;
  std::map<std::string, Token> last_effect_;
  std::vector<Token> effects_;
  std::map<Token, std::pair<int, std::uint64_t>> token_owners_;
  std::string violation_;
};

}  // namespace nettlestand::duties::testing
