#include "duties/lease_holder.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>
#include <utility>

namespace nettlestand::duties {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr std::size_t kMaxUnconfirmedRenewals = 64;  // per duty; older ones are forgotten

}  // namespace

const char* name_of(LeaseHolder::LossReason why) {
  constexpr const char* names[] = {"not lost",   "lapsed", "taken",  "hand over",
                                   "given back", "failed", "removed"};
  return names[static_cast<std::size_t>(why)];
}

LeaseHolder::LeaseHolder(LeaseHolderSettings settings) : s_(std::move(settings)) {
  if (s_.self.name.empty() || s_.self.name.size() > kMaxNameBytes)
    throw std::invalid_argument("name: must be 1 to 64 bytes");
  if (!(s_.drift >= 0 && s_.drift <= 0.2)) throw std::invalid_argument("drift: must be 0 to 0.2");
  if (!(s_.renew_fraction > 0 && s_.renew_fraction < 1))
    throw std::invalid_argument("renew_fraction: must be between 0 and 1");
  if (!(s_.request_interval > 0) || !(s_.reply_timeout > 0) || !(s_.min_backoff > 0) ||
      !(s_.max_backoff >= s_.min_backoff)) {
    throw std::invalid_argument("request_interval, reply_timeout, backoff: must be above 0");
  }
}

void LeaseHolder::acquire(double now, const std::string& duty, Actions& out, bool stops_slowly) {
  if (leaving_) return;
  const auto [it, fresh] = duties_.try_emplace(duty);
  it->second.wanted = true;
  it->second.stops_slowly = stops_slowly;
  if (fresh) send_request(now, duty, it->second, out);
}

void LeaseHolder::release(double now, const std::string& duty, Actions& out) {
  const auto it = duties_.find(duty);
  if (it == duties_.end()) return;
  it->second.wanted = false;
  if (it->second.token == 0) {
    duties_.erase(it);
  } else if (it->second.state != State::kReleasing && it->second.state != State::kStopping) {
    start_release(now, duty, it->second, LossReason::kReleased, out);
  }
}

void LeaseHolder::report_failure(double now, const std::string& duty, Actions& out) {
  const auto it = duties_.find(duty);
  if (it == duties_.end() || it->second.state != State::kHeld) return;
  Acquisition& entry = it->second;
  entry.backoff = std::clamp(entry.backoff * 2, s_.min_backoff, s_.max_backoff);
  entry.failed_here = true;
  start_release(now, duty, entry, LossReason::kFailed, out);
}

void LeaseHolder::release_all(double now, Actions& out) {
  leaving_ = true;
  std::vector<std::string> all;
  for (const auto& [duty, entry] : duties_) all.push_back(duty);
  for (const std::string& duty : all) release(now, duty, out);
}

std::optional<Token> LeaseHolder::held_token(double now, const std::string& duty) const {
  const auto it = duties_.find(duty);
  if (it == duties_.end() || it->second.state != State::kHeld || now >= it->second.held_until)
    return std::nullopt;
  return it->second.token;
}

bool LeaseHolder::idle() const {
  return std::none_of(duties_.begin(), duties_.end(), [](const auto& d) { return d.second.token != 0; });
}

bool LeaseHolder::is_requesting(const std::string& duty) const {
  const auto it = duties_.find(duty);
  return it != duties_.end() && it->second.state == State::kRequesting;
}

void LeaseHolder::request_soon(double now, const std::string& duty) {
  const auto it = duties_.find(duty);
  if (it != duties_.end())
    it->second.next_send_at = std::min(it->second.next_send_at, now + s_.request_interval / 10);
}

void LeaseHolder::end_lease(const std::string& duty, Acquisition& entry, LossReason why, Actions& out) {
  if (entry.state == State::kHeld) {
    entry.last_lost_token = entry.token;
    out.changes.push_back({duty, entry.token, false, why});
  }
  entry.held_until = -1e18;
  entry.unconfirmed_renewals.clear();
}

void LeaseHolder::start_release(double now, const std::string& duty, Acquisition& entry, LossReason why,
                                Actions& out) {
  const bool had = entry.state == State::kHeld;
  end_lease(duty, entry, why, out);
  if (had && entry.stops_slowly) {
    entry.state = State::kStopping;
    entry.next_send_at = kNever;
    return;
  }
  entry.state = State::kReleasing;
  send_request(now, duty, entry, out);
}

void LeaseHolder::confirm_stopped(double now, const std::string& duty, Actions& out) {
  const auto it = duties_.find(duty);
  if (it == duties_.end() || it->second.state != State::kStopping) return;
  it->second.state = State::kReleasing;
  send_request(now, duty, it->second, out);
}

double LeaseHolder::held_until(const std::string& duty) const {
  const auto it = duties_.find(duty);
  return it == duties_.end() ? -1e18 : it->second.last_held_until;
}

// Makes the request that a duty's state calls for, and sets when it is due again.
void LeaseHolder::send_request(double now, const std::string& duty, Acquisition& entry, Actions& out) {
  Request r;
  r.seq = ++seq_;
  r.node = s_.self;
  r.duty = duty;
  r.token = entry.token;
  switch (entry.state) {
    case State::kBackingOff:
    case State::kRequesting:
      entry.state = State::kRequesting;
      r.kind = Request::Kind::kAcquire;
      entry.next_send_at = now + s_.request_interval;
      break;
    case State::kConfirming:
    case State::kHeld:
      r.kind = Request::Kind::kRenew;
      if (entry.unconfirmed_renewals.size() >= kMaxUnconfirmedRenewals)
        entry.unconfirmed_renewals.erase(entry.unconfirmed_renewals.begin());
      entry.unconfirmed_renewals[r.seq] = now;
      entry.next_send_at = now + s_.reply_timeout;
      break;
    case State::kStopping:
      return;
    case State::kReleasing:
      r.kind = Request::Kind::kRelease;
      r.failed = entry.failed_here;
      entry.next_send_at = now + s_.reply_timeout;
      break;
  }
  out.requests.push_back(std::move(r));
}

void LeaseHolder::on_reply(double now, const Reply& reply, Actions& out) {
  auto it = duties_.find(reply.duty);
  if (it == duties_.end()) {
    if (reply.kind != Reply::Kind::kGranted) return;
    it = duties_.try_emplace(reply.duty).first;
    it->second.wanted = false;
    it->second.state = State::kReleasing;
  }
  Acquisition& entry = it->second;
  switch (reply.kind) {
    case Reply::Kind::kGranted:
      if (reply.token <= entry.token) return;  // a duplicate
      entry.token = reply.token;
      // This lease was lost here already, by the reply of a leader whose decision did not last. Work under
      // that token has ended, so it is not taken up again: released, and acquired with a new token.
      if (reply.token <= entry.last_lost_token && entry.state != State::kStopping) {
        entry.state = State::kReleasing;
        entry.reacquire_at_once = true;
        return send_request(now, reply.duty, entry, out);
      }
      // A grant that was in flight when this node stopped wanting the duty: without this release it would
      // block the duty for a whole lease.
      if (entry.state == State::kStopping) return;  // a later grant, released once the work has stopped
      if (entry.state == State::kReleasing || entry.state == State::kBackingOff) {
        entry.state = State::kReleasing;
        return send_request(now, reply.duty, entry, out);
      }
      if (entry.state == State::kHeld) end_lease(reply.duty, entry, LossReason::kRevoked, out);
      entry.state = State::kConfirming;
      entry.unconfirmed_renewals.clear();
      return send_request(now, reply.duty, entry, out);
    case Reply::Kind::kRenewed: {
      const auto sent = entry.unconfirmed_renewals.find(reply.seq);
      if (reply.token != entry.token || sent == entry.unconfirmed_renewals.end())
        return;  // of an earlier lease, or a duplicate
      const double until = sent->second + reply.lease_seconds * (1 - s_.drift);
      entry.unconfirmed_renewals.erase(entry.unconfirmed_renewals.begin(), std::next(sent));
      entry.lease_seconds = reply.lease_seconds;
      if (until <= now) return;  // confirmed too late to extend the lease; a later renewal may still do
      entry.held_until = std::max(entry.held_until, until);
      entry.last_held_until = entry.held_until;
      if (entry.state == State::kConfirming) {
        entry.state = State::kHeld;
        entry.failed_here = false;
        out.changes.push_back({reply.duty, entry.token, true, LossReason::kNone});
      }
      entry.next_send_at = now + reply.lease_seconds * s_.renew_fraction;
      return;
    }
    case Reply::Kind::kLost:
      if (reply.token != entry.token || (entry.state != State::kHeld && entry.state != State::kConfirming))
        return;
      end_lease(reply.duty, entry, LossReason::kRevoked, out);
      entry.state = State::kRequesting;
      entry.token = 0;
      entry.next_send_at = now;
      return;
    case Reply::Kind::kHandOver:
      if (reply.token != entry.token || (entry.state != State::kHeld && entry.state != State::kConfirming))
        return;
      return start_release(now, reply.duty, entry, LossReason::kHandOver, out);
    case Reply::Kind::kDone:
      if (entry.state != State::kReleasing) return;
      entry.token = 0;
      if (!entry.wanted) {
        duties_.erase(it);
        return;
      }
      entry.state = State::kBackingOff;
      entry.next_send_at =
          now +
          (std::exchange(entry.reacquire_at_once, false) ? 0 : std::max(entry.backoff, s_.request_interval));
      return;
    case Reply::Kind::kRefused:
      if (entry.state == State::kStopping) return;
      end_lease(reply.duty, entry, LossReason::kRemoved, out);
      entry.token = 0;
      if (!entry.wanted) {
        duties_.erase(it);
        return;
      }
      entry.state = State::kBackingOff;
      entry.next_send_at = now + s_.max_backoff / 6;  // the duty may be defined or allowed later
      return;
    default:  // kWaiting, kNotLeader, kBusy: sent again when due
      return;
  }
}

void LeaseHolder::on_leader_changed(double now, Actions& out) {
  for (auto& [duty, entry] : duties_) {
    if (entry.state != State::kBackingOff && entry.state != State::kStopping)
      send_request(now, duty, entry, out);
  }
}

void LeaseHolder::tick(double now, Actions& out) {
  for (auto& [duty, entry] : duties_) {
    if (entry.state == State::kHeld && now >= entry.held_until) {
      // The voters may not have granted it to another node yet. It is released and acquired again all the
      // same: work under this token has ended, and a new token tells its late effects from those of the work
      // to come.
      entry.reacquire_at_once = true;
      start_release(now, duty, entry, LossReason::kExpired, out);
    }
    if (now >= entry.next_send_at) send_request(now, duty, entry, out);
  }
}

void LeaseHolder::describe(double now, std::string& out) const {
  const auto put = [&out](double value) { out += std::to_string(std::llround(value * 1e4)) + ","; };
  for (const auto& [duty, entry] : duties_) {
    out += duty + ":" + std::to_string(static_cast<int>(entry.state)) + (entry.wanted ? "w" : "-") +
           (entry.failed_here ? "f" : "-") + (entry.reacquire_at_once ? "s" : "-") +
           std::to_string(entry.token) + "," + std::to_string(entry.last_lost_token) + ";";
    put(std::max(entry.held_until - now, -1.0));
    put(std::max(entry.next_send_at - now, -1.0));
    put(entry.backoff);
    for (const auto& [seq, sent] : entry.unconfirmed_renewals) put(now - sent);
  }
  out += leaving_ ? "l" : "-";
}

double LeaseHolder::next_deadline() const {
  double out = kNever;
  for (const auto& [duty, entry] : duties_) {
    out = std::min(out, entry.next_send_at);
    if (entry.state == State::kHeld) out = std::min(out, entry.held_until);
  }
  return out;
}

}  // namespace nettlestand::duties
