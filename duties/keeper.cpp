#include "duties/keeper.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>
#include <utility>

namespace nettlestand::duties {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();

}  // namespace

Keeper::Keeper(const Table& table, KeeperSettings settings) : table_(&table), s_(settings) {
  if (!(s_.drift >= 0 && s_.drift <= 0.2)) throw std::invalid_argument("drift: 0 to 0.2");
  if (!(s_.ask_memory > 0) || !(s_.prefer_wait >= 0) || !(s_.propose_patience > 0) ||
      !(s_.take_patience > 0)) {
    throw std::invalid_argument("times: above 0");
  }
}

void Keeper::lead(double now, Actions& out) {
  leads_ = true;
  watched_.clear();
  for (const auto& [name, lease] : table_->leases()) watched_of(name, now);
  tick(now, out);
}

void Keeper::follow(Actions& out) {
  if (!leads_) return;
  leads_ = false;
  const auto refuse = [&](const Renewal& r) {
    out.answers.push_back({r.client, reply_to(r.request, Reply::Kind::kNotLeader)});
  };
  for (const auto& [barrier, renewals] : renewals_) {
    for (const Renewal& r : renewals) refuse(r);
  }
  for (const Renewal& r : waiting_) refuse(r);
  for (const Operator& o : operators_) {
    Reply reply;
    reply.kind = Reply::Kind::kNotLeader;
    reply.seq = o.seq;
    out.answers.push_back({o.client, reply});
  }
  renewals_.clear();
  waiting_.clear();
  operators_.clear();
  watched_.clear();
  barrier_at_ = -1e18;
}

Keeper::Watched& Keeper::watched_of(const std::string& duty, double now) {
  const auto [it, fresh] = watched_.try_emplace(duty);
  if (fresh) it->second.since = now;
  return it->second;
}

// Whether an operator wants a duty to be with another than has it.
bool passed(const Lease& lease) {
  return lease.holder && !lease.next.empty() && lease.next != lease.holder->name;
}

// Until then nobody else may be granted it.
double Keeper::lapses(const Lease& lease, const Watched& watched) const {
  // Who was granted it may be gone: it is held only from a confirmed renewal on, and none was confirmed.
  if (watched.untaken) return watched.since + std::min(s_.take_patience, lease.duty.length);
  return watched.since + lease.duty.length * (1 + s_.drift);
}

void Keeper::request(double now, Client from, const Request& r, Actions& out) {
  if (!leads_) {
    out.answers.push_back({from, reply_to(r, Reply::Kind::kNotLeader)});
    return;
  }
  if (r.kind == Request::Kind::kDefine || r.kind == Request::Kind::kRemove ||
      r.kind == Request::Kind::kPass) {
    Command c;
    c.kind = r.kind == Request::Kind::kDefine   ? Command::Kind::kDefine
             : r.kind == Request::Kind::kRemove ? Command::Kind::kRemove
                                                : Command::Kind::kPass;
    c.name = r.duty;
    c.duty = r.settings;
    c.node.name = r.to.empty() ? kAnyOther : r.to;
    return order(from, r.seq, std::move(c), out);
  }
  const Lease* lease = table_->find(r.duty);
  if (lease == nullptr) {
    Reply reply = reply_to(r, Reply::Kind::kRefused);
    reply.why = Refusal::kUnknown;
    out.answers.push_back({from, reply});
    return;
  }
  Watched& watched = watched_of(r.duty, now);
  const bool holds = lease->holder && lease->holder->is(r.node);
  switch (r.kind) {
    case Request::Kind::kAsk: {
      if (holds) {  // it has not heard so
        out.answers.push_back({from, reply_to(r, Reply::Kind::kYours, lease->token)});
        return;
      }
      if (std::find(lease->duty.never.begin(), lease->duty.never.end(), r.node.name) !=
          lease->duty.never.end()) {
        Reply reply = reply_to(r, Reply::Kind::kRefused);
        reply.why = Refusal::kNever;
        out.answers.push_back({from, reply});
        return;
      }
      if (watched.askers.size() < s_.most_askers || watched.askers.contains(r.node.name)) {
        watched.askers[r.node.name] = {r.node, from, now};
      }
      out.answers.push_back({from, reply_to(r, Reply::Kind::kWaiting)});
      return deal(now, *lease, watched, out);
    }
    case Request::Kind::kRenew:
      return renew(now, from, r, out);
    default: {  // kGiveBack
      watched.askers.erase(r.node.name);
      if (holds && lease->token == r.token && !watched.ending) {
        Command c;
        c.kind = Command::Kind::kRelease;
        c.name = r.duty;
        c.token = r.token;
        c.cause = r.failed ? Cause::kFailed : lease->next.empty() ? Cause::kGivenBack : Cause::kPassed;
        watched.ending = true;
        ++counters_.given_back;
        propose(now, watched, std::move(c), out);
      }
      out.answers.push_back({from, reply_to(r, Reply::Kind::kDone)});
      return;
    }
  }
}

void Keeper::renew(double now, Client from, const Request& r, Actions& out) {
  const Lease* lease = table_->find(r.duty);
  Watched& watched = watched_of(r.duty, now);
  if (!lease->holder || !lease->holder->is(r.node) || lease->token != r.token || watched.ending) {
    out.answers.push_back({from, reply_to(r, Reply::Kind::kLost, r.token)});
    return;
  }
  if (passed(*lease)) {
    out.answers.push_back({from, reply_to(r, Reply::Kind::kHandOver, r.token)});
    return;
  }
  watched.holder = from;
  waiting_.push_back({from, r, now});
  confirm(now, out);
}

// One barrier at a time confirms all that came before it.
void Keeper::confirm(double now, Actions& out) {
  if (waiting_.empty() || now - barrier_at_ < s_.propose_patience) return;
  barrier_at_ = now;
  renewals_[++last_barrier_] = std::move(waiting_);
  waiting_.clear();
  out.barriers.push_back(last_barrier_);
}

void Keeper::order(Client from, std::uint64_t seq, Command command, Actions& out) {
  const Refusal why = table_->check(command);
  if (why != Refusal::kNone) {
    Reply reply;
    reply.kind = Reply::Kind::kRefused;
    reply.seq = seq;
    reply.duty = command.kind == Command::Kind::kDefine ? command.duty.name : command.name;
    reply.why = why;
    out.answers.push_back({from, reply});
    return;
  }
  // Many nodes tell of a duty that their files name: it is as they say already.
  const Lease* lease = command.kind == Command::Kind::kDefine ? table_->find(command.duty.name) : nullptr;
  if (lease != nullptr && lease->duty == command.duty) {
    Reply reply;
    reply.kind = Reply::Kind::kDone;
    reply.seq = seq;
    reply.duty = command.duty.name;
    out.answers.push_back({from, reply});
    return;
  }
  operators_.push_back({from, seq, command});
  out.propose.push_back(std::move(command));
}

void Keeper::gone(Client client) {
  for (auto& [name, watched] : watched_) {
    std::erase_if(watched.askers, [client](const auto& a) { return a.second.client == client; });
  }
  std::erase_if(operators_, [client](const Operator& o) { return o.client == client; });
}

void Keeper::propose(double now, Watched& watched, Command command, Actions& out) {
  watched.proposed = now;
  out.propose.push_back(std::move(command));
}

// Of those that asked of late: whom an operator wants, who is preferred, who asked first by name.
const Keeper::Asker* Keeper::best(double now, const Lease& lease, const Watched& watched,
                                  bool& worth_waiting) const {
  const Asker* out = nullptr;
  std::size_t out_rank = 0;
  const auto& prefer = lease.duty.prefer;
  for (const auto& [name, asker] : watched.askers) {
    if (now - asker.at > s_.ask_memory) continue;
    Command c;
    c.kind = Command::Kind::kGrant;
    c.name = lease.duty.name;
    c.node = asker.node;
    c.token = lease.token;
    if (table_->check(c) != Refusal::kNone) continue;
    std::size_t rank = 1;
    while (rank <= prefer.size() && prefer[rank - 1] != asker.node.zone &&
           prefer[rank - 1] != asker.node.region)
      ++rank;
    if (name == lease.next) rank = 0;
    if (out == nullptr || rank < out_rank) {
      out = &asker;
      out_rank = rank;
    }
  }
  const bool named = !lease.next.empty() && lease.next != kAnyOther;
  const bool better_may_come = named ? out_rank > 0 : !prefer.empty() && out_rank > 1;
  worth_waiting = out == nullptr || better_may_come;
  return out;
}

void Keeper::deal(double now, const Lease& lease, Watched& watched, Actions& out) {
  if (lease.holder || now - watched.proposed < s_.propose_patience) return;
  bool worth_waiting = false;
  const Asker* asker = best(now, lease, watched, worth_waiting);
  if (asker == nullptr || (worth_waiting && now < watched.since + s_.prefer_wait)) return;
  Command c;
  c.kind = Command::Kind::kGrant;
  c.name = lease.duty.name;
  c.node = asker->node;
  c.token = lease.token;
  // What the table says of how it became free goes on to say why it is where it is.
  c.cause = lease.cause == Cause::kNew ? Cause::kAsked : lease.cause;
  propose(now, watched, std::move(c), out);
}

void Keeper::applied(double now, const Command& c, const Applied& result, Actions& out) {
  if (!leads_) return;
  for (std::size_t i = 0; i < operators_.size(); ++i) {
    if (!(operators_[i].command == c)) continue;
    Reply reply;
    reply.kind = result.done() ? Reply::Kind::kDone : Reply::Kind::kRefused;
    reply.seq = operators_[i].seq;
    reply.duty = c.kind == Command::Kind::kDefine ? c.duty.name : c.name;
    reply.why = result.refusal;
    out.answers.push_back({operators_[i].client, reply});
    operators_.erase(operators_.begin() + static_cast<std::ptrdiff_t>(i));
    break;
  }
  const std::string& name = c.kind == Command::Kind::kDefine ? c.duty.name : c.name;
  const Lease* lease = table_->find(name);
  if (lease == nullptr) {
    watched_.erase(name);
    return;
  }
  Watched& watched = watched_of(name, now);
  if (c.kind == Command::Kind::kGrant || c.kind == Command::Kind::kRelease) watched.proposed = -1e18;
  if (!result.done()) {
    if (c.kind == Command::Kind::kRelease) watched.ending = false;
    return;
  }
  if (c.kind == Command::Kind::kGrant) {
    ++counters_.granted;
    watched.since = now;
    watched.ending = false;
    watched.untaken = true;
    watched.holder = 0;
    const auto asker = watched.askers.find(c.node.name);
    if (asker != watched.askers.end() && asker->second.node.is(c.node)) {
      Reply reply;
      reply.kind = Reply::Kind::kYours;
      reply.duty = name;
      reply.token = result.token;
      out.answers.push_back({asker->second.client, reply});
      watched.askers.erase(asker);
    }
  } else if (c.kind == Command::Kind::kRelease) {
    watched.since = now;
    watched.ending = false;
    deal(now, *lease, watched, out);
  } else if (c.kind == Command::Kind::kDefine) {
    if (!lease->holder) deal(now, *lease, watched, out);
  } else if (c.kind == Command::Kind::kPass && passed(*lease) && watched.holder != 0) {
    Reply reply;
    reply.kind = Reply::Kind::kHandOver;
    reply.duty = name;
    reply.token = lease->token;
    out.answers.push_back({watched.holder, reply});
  }
}

void Keeper::barrier_done(double now, std::uint64_t barrier, Actions& out) {
  if (!leads_) return;
  if (barrier == last_barrier_) barrier_at_ = -1e18;
  const auto it = renewals_.find(barrier);
  if (it == renewals_.end()) return;
  const std::vector<Renewal> done = std::move(it->second);
  renewals_.erase(it);
  for (const Renewal& r : done) {
    const Lease* lease = table_->find(r.request.duty);
    const auto watched = watched_.find(r.request.duty);
    const bool holds = lease != nullptr && watched != watched_.end() && lease->holder &&
                       lease->holder->is(r.request.node) && lease->token == r.request.token;
    // Danger: what is being released, or passed on, must not be confirmed on the way.
    if (!holds || watched->second.ending) {
      out.answers.push_back({r.client, reply_to(r.request, Reply::Kind::kLost, r.request.token)});
      continue;
    }
    if (passed(*lease)) {
      out.answers.push_back({r.client, reply_to(r.request, Reply::Kind::kHandOver, r.request.token)});
      continue;
    }
    watched->second.since = std::max(watched->second.since, r.at);
    watched->second.untaken = false;
    Reply reply = reply_to(r.request, Reply::Kind::kRenewed, r.request.token);
    reply.length = lease->duty.length;
    out.answers.push_back({r.client, reply});
    ++counters_.renewed;
  }
  tick(now, out);
}

void Keeper::tick(double now, Actions& out) {
  if (!leads_) return;
  for (auto& [name, watched] : watched_) {
    const Lease* lease = table_->find(name);
    if (lease == nullptr) continue;
    if (!lease->holder) {
      std::erase_if(watched.askers, [&](const auto& a) { return now - a.second.at > s_.ask_memory; });
      deal(now, *lease, watched, out);
    } else if (now >= lapses(*lease, watched) && now - watched.proposed >= s_.propose_patience) {
      Command c;
      c.kind = Command::Kind::kRelease;
      c.name = name;
      c.token = lease->token;
      c.cause = Cause::kLapsed;
      if (!watched.ending) ++counters_.lapsed;
      watched.ending = true;
      propose(now, watched, std::move(c), out);
    }
  }
  confirm(now, out);
}

void Keeper::describe(double now, std::string& out) const {
  const auto put = [&](double since) {
    out += std::to_string(std::llround(std::min(now - since, 1e3) * 1e4)) + ",";
  };
  out += leads_ ? "L" : "F";
  for (const auto& [name, watched] : watched_) {
    out += name + (watched.ending ? "e" : "-") + (watched.untaken ? "u" : "-") +
           std::to_string(watched.holder) + ";";
    put(watched.since);
    put(watched.proposed);
    for (const auto& [node, asker] : watched.askers) {
      out += node + std::to_string(asker.node.life) + ";";
      put(asker.at);
    }
  }
  const auto renewal = [&](const Renewal& r) {
    out += r.request.duty + r.request.node.name + std::to_string(r.request.node.life) + "." +
           std::to_string(r.request.token) + ";";
    put(r.at);
  };
  for (const auto& [barrier, renewals] : renewals_) {
    out += "|" + std::to_string(last_barrier_ - barrier);
    for (const Renewal& r : renewals) renewal(r);
  }
  out += "|";
  for (const Renewal& r : waiting_) renewal(r);
  put(barrier_at_);
}

double Keeper::next() const {
  if (!leads_) return kNever;
  double out = waiting_.empty() ? kNever : barrier_at_ + s_.propose_patience;
  for (const auto& [name, watched] : watched_) {
    const Lease* lease = table_->find(name);
    if (lease == nullptr) continue;
    const double free = watched.proposed + s_.propose_patience;
    if (lease->holder) {
      out = std::min(out, std::max(lapses(*lease, watched), free));
    } else if (!watched.askers.empty()) {
      out = std::min(out, std::max(watched.since + s_.prefer_wait, free));
    }
  }
  return out;
}

}  // namespace nettlestand::duties
