#include "duties/lease_manager.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>
#include <utility>

namespace nettlestand::duties {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();

}  // namespace

LeaseManager::LeaseManager(const LeaseTable& table, LeaseManagerSettings settings)
    : table_(&table), s_(settings) {
  if (!(s_.drift >= 0 && s_.drift <= 0.2)) throw std::invalid_argument("drift: must be 0 to 0.2");
  if (!(s_.request_ttl > 0) || !(s_.preferred_delay >= 0) || !(s_.propose_timeout > 0) ||
      !(s_.first_renewal_timeout > 0)) {
    throw std::invalid_argument("request_ttl, propose_timeout, first_renewal_timeout: must be above 0");
  }
}

void LeaseManager::become_leader(double now, Actions& out) {
  is_leader_ = true;
  tracked_.clear();
  for (const auto& [name, lease] : table_->leases()) tracked_for(name, now);
  tick(now, out);
}

void LeaseManager::become_follower(Actions& out) {
  if (!is_leader_) return;
  is_leader_ = false;
  const auto refuse = [&](const Renewal& r) {
    out.replies.push_back({r.client, reply_to(r.request, Reply::Kind::kNotLeader)});
  };
  for (const auto& [barrier, renewals] : renewals_) {
    for (const Renewal& r : renewals) refuse(r);
  }
  for (const Renewal& r : unconfirmed_) refuse(r);
  for (const OperatorCommand& o : operator_commands_) {
    Reply reply;
    reply.kind = Reply::Kind::kNotLeader;
    reply.seq = o.seq;
    out.replies.push_back({o.client, reply});
  }
  renewals_.clear();
  unconfirmed_.clear();
  operator_commands_.clear();
  tracked_.clear();
  barrier_started_at_ = -1e18;
}

LeaseManager::Tracked& LeaseManager::tracked_for(const std::string& duty, double now) {
  const auto [it, fresh] = tracked_.try_emplace(duty);
  if (fresh) it->second.lease_started_at = now;
  return it->second;
}

// Whether an operator's transfer of a held duty to another node is pending.
bool transfer_pending(const Lease& lease) {
  return lease.holder && !lease.transfer_to.empty() && lease.transfer_to != lease.holder->name;
}

// End of a lease: no other node may be granted the duty before.
double LeaseManager::expires_at(const Lease& lease, const Tracked& tracked) const {
  // The new holder may have gone. Waiting shorter than a lease is safe: a lease is held only from a confirmed
  // renewal on, and none was confirmed.
  if (tracked.unconfirmed)
    return tracked.lease_started_at + std::min(s_.first_renewal_timeout, lease.duty.lease_seconds);
  return tracked.lease_started_at + lease.duty.lease_seconds * (1 + s_.drift);
}

void LeaseManager::on_request(double now, ClientId from, const Request& r, Actions& out) {
  if (!is_leader_) {
    out.replies.push_back({from, reply_to(r, Reply::Kind::kNotLeader)});
    return;
  }
  if (r.kind == Request::Kind::kDefine || r.kind == Request::Kind::kRemove ||
      r.kind == Request::Kind::kTransfer) {
    Command c;
    c.kind = r.kind == Request::Kind::kDefine   ? Command::Kind::kDefine
             : r.kind == Request::Kind::kRemove ? Command::Kind::kRemove
                                                : Command::Kind::kTransfer;
    c.name = r.duty;
    c.duty = r.settings;
    c.node.name = r.target.empty() ? kAnyOtherNode : r.target;
    return propose_operator_command(from, r.seq, std::move(c), out);
  }
  const Lease* lease = table_->find(r.duty);
  if (lease == nullptr) {
    Reply reply = reply_to(r, Reply::Kind::kRefused);
    reply.refusal = Refusal::kUnknownDuty;
    out.replies.push_back({from, reply});
    return;
  }
  Tracked& tracked = tracked_for(r.duty, now);
  const bool holds = lease->holder && lease->holder->same_generation(r.node);
  switch (r.kind) {
    case Request::Kind::kAcquire: {
      if (holds) {  // it has not received the grant
        out.replies.push_back({from, reply_to(r, Reply::Kind::kGranted, lease->token)});
        return;
      }
      if (std::find(lease->duty.excluded_nodes.begin(), lease->duty.excluded_nodes.end(), r.node.name) !=
          lease->duty.excluded_nodes.end()) {
        Reply reply = reply_to(r, Reply::Kind::kRefused);
        reply.refusal = Refusal::kNodeExcluded;
        out.replies.push_back({from, reply});
        return;
      }
      if (tracked.requesters.size() < s_.max_requesters || tracked.requesters.contains(r.node.name)) {
        tracked.requesters[r.node.name] = {r.node, from, now};
      }
      out.replies.push_back({from, reply_to(r, Reply::Kind::kWaiting)});
      return grant_if_free(now, *lease, tracked, out);
    }
    case Request::Kind::kRenew:
      return on_renew(now, from, r, out);
    default: {  // kGiveBack
      tracked.requesters.erase(r.node.name);
      if (holds && lease->token == r.token && !tracked.releasing) {
        Command c;
        c.kind = Command::Kind::kRelease;
        c.name = r.duty;
        c.token = r.token;
        c.cause = r.failed                     ? Cause::kFailed
                  : lease->transfer_to.empty() ? Cause::kReleased
                                               : Cause::kTransferred;
        tracked.releasing = true;
        ++counters_.released;
        propose(now, tracked, std::move(c), out);
      }
      out.replies.push_back({from, reply_to(r, Reply::Kind::kDone)});
      return;
    }
  }
}

void LeaseManager::on_renew(double now, ClientId from, const Request& r, Actions& out) {
  const Lease* lease = table_->find(r.duty);
  Tracked& tracked = tracked_for(r.duty, now);
  if (!lease->holder || !lease->holder->same_generation(r.node) || lease->token != r.token ||
      tracked.releasing) {
    out.replies.push_back({from, reply_to(r, Reply::Kind::kLost, r.token)});
    return;
  }
  if (transfer_pending(*lease)) {
    out.replies.push_back({from, reply_to(r, Reply::Kind::kHandOver, r.token)});
    return;
  }
  tracked.holder = from;
  unconfirmed_.push_back({from, r, now});
  start_barrier(now, out);
}

// Starts the next barrier. One at a time, each confirming all renewals received before it.
void LeaseManager::start_barrier(double now, Actions& out) {
  if (unconfirmed_.empty() || now - barrier_started_at_ < s_.propose_timeout) return;
  barrier_started_at_ = now;
  renewals_[++last_barrier_] = std::move(unconfirmed_);
  unconfirmed_.clear();
  out.barriers.push_back(last_barrier_);
}

void LeaseManager::propose_operator_command(ClientId from, std::uint64_t seq, Command command, Actions& out) {
  const Refusal why = table_->check(command);
  if (why != Refusal::kNone) {
    Reply reply;
    reply.kind = Reply::Kind::kRefused;
    reply.seq = seq;
    reply.duty = command.kind == Command::Kind::kDefine ? command.duty.name : command.name;
    reply.refusal = why;
    out.replies.push_back({from, reply});
    return;
  }
  // Many nodes define a duty of their configuration: if it is already defined so, nothing is proposed.
  const Lease* lease = command.kind == Command::Kind::kDefine ? table_->find(command.duty.name) : nullptr;
  if (lease != nullptr && lease->duty == command.duty) {
    Reply reply;
    reply.kind = Reply::Kind::kDone;
    reply.seq = seq;
    reply.duty = command.duty.name;
    out.replies.push_back({from, reply});
    return;
  }
  operator_commands_.push_back({from, seq, command});
  out.proposals.push_back(std::move(command));
}

void LeaseManager::on_client_gone(ClientId client) {
  for (auto& [name, tracked] : tracked_) {
    std::erase_if(tracked.requesters, [client](const auto& a) { return a.second.client == client; });
  }
  std::erase_if(operator_commands_, [client](const OperatorCommand& o) { return o.client == client; });
}

void LeaseManager::propose(double now, Tracked& tracked, Command command, Actions& out) {
  tracked.proposed_at = now;
  out.proposals.push_back(std::move(command));
}

// The best of the recent requesters: the target of an operator's transfer, then the most preferred location,
// then the first by name. `worth_waiting`: a better one may still come.
const LeaseManager::Requester* LeaseManager::best_requester(double now, const Lease& lease,
                                                            const Tracked& tracked,
                                                            bool& worth_waiting) const {
  const Requester* out = nullptr;
  std::size_t out_rank = 0;
  const auto& prefer = lease.duty.preferred_locations;
  for (const auto& [name, requester] : tracked.requesters) {
    if (now - requester.requested_at > s_.request_ttl) continue;
    Command c;
    c.kind = Command::Kind::kGrant;
    c.name = lease.duty.name;
    c.node = requester.node;
    c.token = lease.token;
    if (table_->check(c) != Refusal::kNone) continue;
    std::size_t rank = 1;
    while (rank <= prefer.size() && prefer[rank - 1] != requester.node.zone &&
           prefer[rank - 1] != requester.node.region)
      ++rank;
    if (name == lease.transfer_to) rank = 0;
    if (out == nullptr || rank < out_rank) {
      out = &requester;
      out_rank = rank;
    }
  }
  const bool named = !lease.transfer_to.empty() && lease.transfer_to != kAnyOtherNode;
  const bool better_may_come = named ? out_rank > 0 : !prefer.empty() && out_rank > 1;
  worth_waiting = out == nullptr || better_may_come;
  return out;
}

void LeaseManager::grant_if_free(double now, const Lease& lease, Tracked& tracked, Actions& out) {
  if (lease.holder || now - tracked.proposed_at < s_.propose_timeout) return;
  bool worth_waiting = false;
  const Requester* requester = best_requester(now, lease, tracked, worth_waiting);
  if (requester == nullptr || (worth_waiting && now < tracked.lease_started_at + s_.preferred_delay)) return;
  Command c;
  c.kind = Command::Kind::kGrant;
  c.name = lease.duty.name;
  c.node = requester->node;
  c.token = lease.token;
  // The cause for which the duty became free is kept as the cause of the grant.
  c.cause = lease.cause == Cause::kNew ? Cause::kRequested : lease.cause;
  propose(now, tracked, std::move(c), out);
}

void LeaseManager::on_applied(double now, const Command& c, const CommandResult& result, Actions& out) {
  if (!is_leader_) return;
  for (std::size_t i = 0; i < operator_commands_.size(); ++i) {
    if (!(operator_commands_[i].command == c)) continue;
    Reply reply;
    reply.kind = result.ok() ? Reply::Kind::kDone : Reply::Kind::kRefused;
    reply.seq = operator_commands_[i].seq;
    reply.duty = c.kind == Command::Kind::kDefine ? c.duty.name : c.name;
    reply.refusal = result.refusal;
    out.replies.push_back({operator_commands_[i].client, reply});
    operator_commands_.erase(operator_commands_.begin() + static_cast<std::ptrdiff_t>(i));
    break;
  }
  const std::string& name = c.kind == Command::Kind::kDefine ? c.duty.name : c.name;
  const Lease* lease = table_->find(name);
  if (lease == nullptr) {
    tracked_.erase(name);
    return;
  }
  Tracked& tracked = tracked_for(name, now);
  if (c.kind == Command::Kind::kGrant || c.kind == Command::Kind::kRelease) tracked.proposed_at = -1e18;
  if (!result.ok()) {
    if (c.kind == Command::Kind::kRelease) tracked.releasing = false;
    return;
  }
  if (c.kind == Command::Kind::kGrant) {
    ++counters_.granted;
    tracked.lease_started_at = now;
    tracked.releasing = false;
    tracked.unconfirmed = true;
    tracked.holder = 0;
    const auto requester = tracked.requesters.find(c.node.name);
    if (requester != tracked.requesters.end() && requester->second.node.same_generation(c.node)) {
      Reply reply;
      reply.kind = Reply::Kind::kGranted;
      reply.duty = name;
      reply.token = result.token;
      out.replies.push_back({requester->second.client, reply});
      tracked.requesters.erase(requester);
    }
  } else if (c.kind == Command::Kind::kRelease) {
    tracked.lease_started_at = now;
    tracked.releasing = false;
    grant_if_free(now, *lease, tracked, out);
  } else if (c.kind == Command::Kind::kDefine) {
    if (!lease->holder) grant_if_free(now, *lease, tracked, out);
  } else if (c.kind == Command::Kind::kTransfer && transfer_pending(*lease) && tracked.holder != 0) {
    Reply reply;
    reply.kind = Reply::Kind::kHandOver;
    reply.duty = name;
    reply.token = lease->token;
    out.replies.push_back({tracked.holder, reply});
  }
}

void LeaseManager::on_barrier_done(double now, std::uint64_t barrier, Actions& out) {
  if (!is_leader_) return;
  if (barrier == last_barrier_) barrier_started_at_ = -1e18;
  const auto it = renewals_.find(barrier);
  if (it == renewals_.end()) return;
  const std::vector<Renewal> done = std::move(it->second);
  renewals_.erase(it);
  for (const Renewal& r : done) {
    const Lease* lease = table_->find(r.request.duty);
    const auto tracked = tracked_.find(r.request.duty);
    const bool holds = lease != nullptr && tracked != tracked_.end() && lease->holder &&
                       lease->holder->same_generation(r.request.node) && lease->token == r.request.token;
    // A lease that is being released or transferred must not be confirmed meanwhile: its holder would go on
    // using it.
    if (!holds || tracked->second.releasing) {
      out.replies.push_back({r.client, reply_to(r.request, Reply::Kind::kLost, r.request.token)});
      continue;
    }
    if (transfer_pending(*lease)) {
      out.replies.push_back({r.client, reply_to(r.request, Reply::Kind::kHandOver, r.request.token)});
      continue;
    }
    tracked->second.lease_started_at = std::max(tracked->second.lease_started_at, r.received_at);
    tracked->second.unconfirmed = false;
    Reply reply = reply_to(r.request, Reply::Kind::kRenewed, r.request.token);
    reply.lease_seconds = lease->duty.lease_seconds;
    out.replies.push_back({r.client, reply});
    ++counters_.renewed;
  }
  tick(now, out);
}

void LeaseManager::tick(double now, Actions& out) {
  if (!is_leader_) return;
  for (auto& [name, tracked] : tracked_) {
    const Lease* lease = table_->find(name);
    if (lease == nullptr) continue;
    if (!lease->holder) {
      std::erase_if(tracked.requesters,
                    [&](const auto& a) { return now - a.second.requested_at > s_.request_ttl; });
      grant_if_free(now, *lease, tracked, out);
    } else if (now >= expires_at(*lease, tracked) && now - tracked.proposed_at >= s_.propose_timeout) {
      Command c;
      c.kind = Command::Kind::kRelease;
      c.name = name;
      c.token = lease->token;
      c.cause = Cause::kExpired;
      if (!tracked.releasing) ++counters_.expired;
      tracked.releasing = true;
      propose(now, tracked, std::move(c), out);
    }
  }
  start_barrier(now, out);
}

void LeaseManager::describe(double now, std::string& out) const {
  const auto put = [&](double since) {
    out += std::to_string(std::llround(std::min(now - since, 1e3) * 1e4)) + ",";
  };
  out += is_leader_ ? "L" : "F";
  for (const auto& [name, tracked] : tracked_) {
    out += name + (tracked.releasing ? "e" : "-") + (tracked.unconfirmed ? "u" : "-") +
           std::to_string(tracked.holder) + ";";
    put(tracked.lease_started_at);
    put(tracked.proposed_at);
    for (const auto& [node, requester] : tracked.requesters) {
      out += node + std::to_string(requester.node.generation) + ";";
      put(requester.requested_at);
    }
  }
  const auto renewal = [&](const Renewal& r) {
    out += r.request.duty + r.request.node.name + std::to_string(r.request.node.generation) + "." +
           std::to_string(r.request.token) + ";";
    put(r.received_at);
  };
  for (const auto& [barrier, renewals] : renewals_) {
    out += "|" + std::to_string(last_barrier_ - barrier);
    for (const Renewal& r : renewals) renewal(r);
  }
  out += "|";
  for (const Renewal& r : unconfirmed_) renewal(r);
  put(barrier_started_at_);
}

double LeaseManager::next_deadline() const {
  if (!is_leader_) return kNever;
  double out = unconfirmed_.empty() ? kNever : barrier_started_at_ + s_.propose_timeout;
  for (const auto& [name, tracked] : tracked_) {
    const Lease* lease = table_->find(name);
    if (lease == nullptr) continue;
    const double free = tracked.proposed_at + s_.propose_timeout;
    if (lease->holder) {
      out = std::min(out, std::max(expires_at(*lease, tracked), free));
    } else if (!tracked.requesters.empty()) {
      out = std::min(out, std::max(tracked.lease_started_at + s_.preferred_delay, free));
    }
  }
  return out;
}

}  // namespace nettlestand::duties
