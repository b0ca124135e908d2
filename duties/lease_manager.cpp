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
  if (!(s_.drift >= 0 && s_.drift <= 0.2)) throw std::invalid_argument("drift: 0 to 0.2");
  if (!(s_.request_ttl > 0) || !(s_.preferred_delay >= 0) || !(s_.propose_timeout > 0) ||
      !(s_.first_renewal_timeout > 0)) {
    throw std::invalid_argument("times: above 0");
  }
}

void LeaseManager::become_leader(double now, Actions& out) {
  leads_ = true;
  tracked_.clear();
  for (const auto& [name, lease] : table_->leases()) tracked_for(name, now);
  tick(now, out);
}

void LeaseManager::become_follower(Actions& out) {
  if (!leads_) return;
  leads_ = false;
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

// Whether an operator wants a duty to be with another than has it.
bool transfer_pending(const Lease& lease) {
  return lease.holder && !lease.transfer_to.empty() && lease.transfer_to != lease.holder->name;
}

// Until then nobody else may be granted it.
double LeaseManager::expires_at(const Lease& lease, const Tracked& watched) const {
  // Who was granted it may be gone: it is held only from a confirmed renewal on, and none was confirmed.
  if (watched.unconfirmed)
    return watched.lease_started_at + std::min(s_.first_renewal_timeout, lease.duty.lease_seconds);
  return watched.lease_started_at + lease.duty.lease_seconds * (1 + s_.drift);
}

void LeaseManager::on_request(double now, ClientId from, const Request& r, Actions& out) {
  if (!leads_) {
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
  Tracked& watched = tracked_for(r.duty, now);
  const bool holds = lease->holder && lease->holder->same_generation(r.node);
  switch (r.kind) {
    case Request::Kind::kAcquire: {
      if (holds) {  // it has not heard so
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
      if (watched.requesters.size() < s_.max_requesters || watched.requesters.contains(r.node.name)) {
        watched.requesters[r.node.name] = {r.node, from, now};
      }
      out.replies.push_back({from, reply_to(r, Reply::Kind::kWaiting)});
      return grant_if_free(now, *lease, watched, out);
    }
    case Request::Kind::kRenew:
      return on_renew(now, from, r, out);
    default: {  // kGiveBack
      watched.requesters.erase(r.node.name);
      if (holds && lease->token == r.token && !watched.releasing) {
        Command c;
        c.kind = Command::Kind::kRelease;
        c.name = r.duty;
        c.token = r.token;
        c.cause = r.failed                     ? Cause::kFailed
                  : lease->transfer_to.empty() ? Cause::kReleased
                                               : Cause::kTransferred;
        watched.releasing = true;
        ++counters_.released;
        propose(now, watched, std::move(c), out);
      }
      out.replies.push_back({from, reply_to(r, Reply::Kind::kDone)});
      return;
    }
  }
}

void LeaseManager::on_renew(double now, ClientId from, const Request& r, Actions& out) {
  const Lease* lease = table_->find(r.duty);
  Tracked& watched = tracked_for(r.duty, now);
  if (!lease->holder || !lease->holder->same_generation(r.node) || lease->token != r.token ||
      watched.releasing) {
    out.replies.push_back({from, reply_to(r, Reply::Kind::kLost, r.token)});
    return;
  }
  if (transfer_pending(*lease)) {
    out.replies.push_back({from, reply_to(r, Reply::Kind::kHandOver, r.token)});
    return;
  }
  watched.holder = from;
  unconfirmed_.push_back({from, r, now});
  start_barrier(now, out);
}

// One barrier at a time confirms all that came before it.
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
  // Many nodes tell of a duty that their files name: it is as they say already.
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
  for (auto& [name, watched] : tracked_) {
    std::erase_if(watched.requesters, [client](const auto& a) { return a.second.client == client; });
  }
  std::erase_if(operator_commands_, [client](const OperatorCommand& o) { return o.client == client; });
}

void LeaseManager::propose(double now, Tracked& watched, Command command, Actions& out) {
  watched.proposed_at = now;
  out.proposals.push_back(std::move(command));
}

// Of those that asked of late: whom an operator wants, who is preferred, who asked first by name.
const LeaseManager::Requester* LeaseManager::best_requester(double now, const Lease& lease,
                                                            const Tracked& watched,
                                                            bool& worth_waiting) const {
  const Requester* out = nullptr;
  std::size_t out_rank = 0;
  const auto& prefer = lease.duty.preferred_locations;
  for (const auto& [name, asker] : watched.requesters) {
    if (now - asker.requested_at > s_.request_ttl) continue;
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
    if (name == lease.transfer_to) rank = 0;
    if (out == nullptr || rank < out_rank) {
      out = &asker;
      out_rank = rank;
    }
  }
  const bool named = !lease.transfer_to.empty() && lease.transfer_to != kAnyOtherNode;
  const bool better_may_come = named ? out_rank > 0 : !prefer.empty() && out_rank > 1;
  worth_waiting = out == nullptr || better_may_come;
  return out;
}

void LeaseManager::grant_if_free(double now, const Lease& lease, Tracked& watched, Actions& out) {
  if (lease.holder || now - watched.proposed_at < s_.propose_timeout) return;
  bool worth_waiting = false;
  const Requester* asker = best_requester(now, lease, watched, worth_waiting);
  if (asker == nullptr || (worth_waiting && now < watched.lease_started_at + s_.preferred_delay)) return;
  Command c;
  c.kind = Command::Kind::kGrant;
  c.name = lease.duty.name;
  c.node = asker->node;
  c.token = lease.token;
  // What the table says of how it became free goes on to say why it is where it is.
  c.cause = lease.cause == Cause::kNew ? Cause::kRequested : lease.cause;
  propose(now, watched, std::move(c), out);
}

void LeaseManager::on_applied(double now, const Command& c, const CommandResult& result, Actions& out) {
  if (!leads_) return;
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
  Tracked& watched = tracked_for(name, now);
  if (c.kind == Command::Kind::kGrant || c.kind == Command::Kind::kRelease) watched.proposed_at = -1e18;
  if (!result.ok()) {
    if (c.kind == Command::Kind::kRelease) watched.releasing = false;
    return;
  }
  if (c.kind == Command::Kind::kGrant) {
    ++counters_.granted;
    watched.lease_started_at = now;
    watched.releasing = false;
    watched.unconfirmed = true;
    watched.holder = 0;
    const auto asker = watched.requesters.find(c.node.name);
    if (asker != watched.requesters.end() && asker->second.node.same_generation(c.node)) {
      Reply reply;
      reply.kind = Reply::Kind::kGranted;
      reply.duty = name;
      reply.token = result.token;
      out.replies.push_back({asker->second.client, reply});
      watched.requesters.erase(asker);
    }
  } else if (c.kind == Command::Kind::kRelease) {
    watched.lease_started_at = now;
    watched.releasing = false;
    grant_if_free(now, *lease, watched, out);
  } else if (c.kind == Command::Kind::kDefine) {
    if (!lease->holder) grant_if_free(now, *lease, watched, out);
  } else if (c.kind == Command::Kind::kTransfer && transfer_pending(*lease) && watched.holder != 0) {
    Reply reply;
    reply.kind = Reply::Kind::kHandOver;
    reply.duty = name;
    reply.token = lease->token;
    out.replies.push_back({watched.holder, reply});
  }
}

void LeaseManager::on_barrier_done(double now, std::uint64_t barrier, Actions& out) {
  if (!leads_) return;
  if (barrier == last_barrier_) barrier_started_at_ = -1e18;
  const auto it = renewals_.find(barrier);
  if (it == renewals_.end()) return;
  const std::vector<Renewal> done = std::move(it->second);
  renewals_.erase(it);
  for (const Renewal& r : done) {
    const Lease* lease = table_->find(r.request.duty);
    const auto watched = tracked_.find(r.request.duty);
    const bool holds = lease != nullptr && watched != tracked_.end() && lease->holder &&
                       lease->holder->same_generation(r.request.node) && lease->token == r.request.token;
    // Danger: what is being released, or passed on, must not be confirmed on the way.
    if (!holds || watched->second.releasing) {
      out.replies.push_back({r.client, reply_to(r.request, Reply::Kind::kLost, r.request.token)});
      continue;
    }
    if (transfer_pending(*lease)) {
      out.replies.push_back({r.client, reply_to(r.request, Reply::Kind::kHandOver, r.request.token)});
      continue;
    }
    watched->second.lease_started_at = std::max(watched->second.lease_started_at, r.received_at);
    watched->second.unconfirmed = false;
    Reply reply = reply_to(r.request, Reply::Kind::kRenewed, r.request.token);
    reply.lease_seconds = lease->duty.lease_seconds;
    out.replies.push_back({r.client, reply});
    ++counters_.renewed;
  }
  tick(now, out);
}

void LeaseManager::tick(double now, Actions& out) {
  if (!leads_) return;
  for (auto& [name, watched] : tracked_) {
    const Lease* lease = table_->find(name);
    if (lease == nullptr) continue;
    if (!lease->holder) {
      std::erase_if(watched.requesters,
                    [&](const auto& a) { return now - a.second.requested_at > s_.request_ttl; });
      grant_if_free(now, *lease, watched, out);
    } else if (now >= expires_at(*lease, watched) && now - watched.proposed_at >= s_.propose_timeout) {
      Command c;
      c.kind = Command::Kind::kRelease;
      c.name = name;
      c.token = lease->token;
      c.cause = Cause::kExpired;
      if (!watched.releasing) ++counters_.expired;
      watched.releasing = true;
      propose(now, watched, std::move(c), out);
    }
  }
  start_barrier(now, out);
}

void LeaseManager::describe(double now, std::string& out) const {
  const auto put = [&](double since) {
    out += std::to_string(std::llround(std::min(now - since, 1e3) * 1e4)) + ",";
  };
  out += leads_ ? "L" : "F";
  for (const auto& [name, watched] : tracked_) {
    out += name + (watched.releasing ? "e" : "-") + (watched.unconfirmed ? "u" : "-") +
           std::to_string(watched.holder) + ";";
    put(watched.lease_started_at);
    put(watched.proposed_at);
    for (const auto& [node, asker] : watched.requesters) {
      out += node + std::to_string(asker.node.generation) + ";";
      put(asker.requested_at);
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
  if (!leads_) return kNever;
  double out = unconfirmed_.empty() ? kNever : barrier_started_at_ + s_.propose_timeout;
  for (const auto& [name, watched] : tracked_) {
    const Lease* lease = table_->find(name);
    if (lease == nullptr) continue;
    const double free = watched.proposed_at + s_.propose_timeout;
    if (lease->holder) {
      out = std::min(out, std::max(expires_at(*lease, watched), free));
    } else if (!watched.requesters.empty()) {
      out = std::min(out, std::max(watched.lease_started_at + s_.preferred_delay, free));
    }
  }
  return out;
}

}  // namespace nettlestand::duties
