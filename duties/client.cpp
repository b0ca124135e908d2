#include "duties/client.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace nettlestand::duties {
namespace {

// Sequence numbers of operators' requests start here.
constexpr std::uint64_t kFirstOperatorSeq = std::uint64_t{1} << 62;
constexpr double kResendAfter = 3;           // s until an unanswered request, taken for lost, is sent again
constexpr double kRedefineInterval = 1;      // s between kDefine requests for the same duty
constexpr double kNoLeaderRetryDelay = 0.2;  // s until a request that found no leader is sent again

}  // namespace

Client::Client(ClientSettings settings)
    : s_(std::move(settings)),
      lease_holder_(s_.lease_holder),
      voter_selector_(s_.voters.size(), static_cast<std::size_t>(s_.seed), s_.voter_selector),
      seq_(kFirstOperatorSeq) {
  if (s_.voters.empty()) throw std::invalid_argument("voters: at least one is required");
}

void Client::acquire(double now, const Duty& duty, Actions& out, bool stops_slowly) {
  duty_settings_[duty.name] = duty;
  LeaseHolder::Actions actions;
  lease_holder_.acquire(now, duty.name, actions, stops_slowly);
  forward_actions(now, actions, out);
}

void Client::confirm_stopped(double now, const std::string& duty, Actions& out) {
  LeaseHolder::Actions actions;
  lease_holder_.confirm_stopped(now, duty, actions);
  forward_actions(now, actions, out);
}

void Client::release(double now, const std::string& duty, Actions& out) {
  LeaseHolder::Actions actions;
  lease_holder_.release(now, duty, actions);
  forward_actions(now, actions, out);
}

void Client::report_failure(double now, const std::string& duty, Actions& out) {
  LeaseHolder::Actions actions;
  lease_holder_.report_failure(now, duty, actions);
  forward_actions(now, actions, out);
}

void Client::release_all(double now, Actions& out) {
  leaving_ = true;
  LeaseHolder::Actions actions;
  lease_holder_.release_all(now, actions);
  forward_actions(now, actions, out);
}

void Client::send_operator_request(double now, Request request, RequestCallback done, Actions& out) {
  request.seq = ++seq_;
  request.node = s_.lease_holder.self;
  pending_requests_[request.seq] = {
      request, std::move(done), now + s_.operator_timeout, now + kResendAfter, {}};
  if (voter_selector_.connected()) send(now, {std::move(request)}, out);
}

void Client::send(double now, std::vector<Request> requests, Actions& out) {
  if (requests.empty() || !voter_selector_.connected()) return;
  Frame f;
  f.kind = Frame::Kind::kRequests;
  f.requests = std::move(requests);
  out.frames.push_back(std::move(f));
  voter_selector_.on_request_sent(now);
}

void Client::forward_actions(double now, LeaseHolder::Actions& from, Actions& out) {
  // Requests that can't be sent now are made again by the LeaseHolder once there is a connection.
  for (std::size_t at = 0; at < from.requests.size(); at += 4096) {
    const auto first = from.requests.begin() + static_cast<std::ptrdiff_t>(at);
    const auto last =
        from.requests.begin() + static_cast<std::ptrdiff_t>(std::min(at + 4096, from.requests.size()));
    send(now, {std::make_move_iterator(first), std::make_move_iterator(last)}, out);
  }
  for (const LeaseHolder::Change& c : from.changes) {
    ++(c.gained ? counters_.gained : counters_.lost);
    out.changes.push_back(c);
  }
}

void Client::on_connected(double now, Actions& out) {
  voter_selector_.on_connected(now);
  ++counters_.connections;
  LeaseHolder::Actions actions;
  lease_holder_.on_leader_changed(now, actions);
  forward_actions(now, actions, out);
  std::vector<Request> again;
  for (auto& [seq, pending] : pending_requests_) {
    pending.replies.clear();
    pending.resend_at = now + kResendAfter;
    again.push_back(pending.request);
  }
  send(now, std::move(again), out);
}

void Client::on_disconnected(double now, Actions& out) {
  if (voter_selector_.following_hint()) {
    voter_selector_.on_hint_failed(now);
  } else {
    voter_selector_.on_failed(now);
  }
  out.reconnect = true;
}

void Client::on_frame(double now, const Frame& f, Actions& out) {
  voter_selector_.on_frame_received(now);
  if (f.kind != Frame::Kind::kReplies) return;
  LeaseHolder::Actions actions;
  std::vector<Request> define;
  bool move = false, leaderless = false, led = false;
  for (const Reply& r : f.replies) {
    (r.kind == Reply::Kind::kNotLeader && r.text.empty() ? leaderless : led) = true;
    if (r.kind == Reply::Kind::kNotLeader && !r.text.empty()) {
      const auto it = std::find(s_.voters.begin(), s_.voters.end(), r.text);
      const auto leader = static_cast<std::size_t>(it - s_.voters.begin());
      move = (it != s_.voters.end() && voter_selector_.on_leader_hint(now, leader)) || move;
    }
    if (r.seq >= kFirstOperatorSeq) {
      const auto it = pending_requests_.find(r.seq);
      if (it == pending_requests_.end()) continue;
      if (r.kind == Reply::Kind::kNotLeader || r.kind == Reply::Kind::kBusy) {
        it->second.resend_at = now + kNoLeaderRetryDelay;
        continue;
      }
      it->second.replies.push_back(r);
      // Only kCollectReports has several replies.
      if (r.kind == Reply::Kind::kText && it->second.request.kind == Request::Kind::kCollectReports) continue;
      PendingRequest done = std::move(it->second);
      pending_requests_.erase(it);
      const bool refused = r.kind == Reply::Kind::kRefused;
      done.callback(std::move(done.replies),
                    refused ? (r.text.empty() ? std::string("refused: ") + name_of(r.refusal) : r.text) : "");
      continue;
    }
    const auto known = duty_settings_.find(r.duty);
    if (r.kind == Reply::Kind::kRefused && r.refusal == Refusal::kUnknownDuty &&
        known != duty_settings_.end() && lease_holder_.is_requesting(r.duty)) {
      lease_holder_.request_soon(now, r.duty);
      double& told = defined_at_.try_emplace(r.duty, -1e18).first->second;
      if (now - told < kRedefineInterval) continue;
      told = now;
      Request d;
      d.kind = Request::Kind::kDefine;
      d.seq = 0;
      d.node = s_.lease_holder.self;
      d.duty = r.duty;
      d.settings = known->second;
      define.push_back(std::move(d));
      continue;
    }
    lease_holder_.on_reply(now, r, actions);
  }
  if (led) {
    voter_selector_.on_leader_known();
  } else if (leaderless && !move) {
    move = voter_selector_.on_leaderless(now);
  }
  if (!move) send(now, std::move(define), out);
  forward_actions(now, actions, out);
  if (move) {  // the requests are made again once connected to the leader
    out.frames.clear();
    out.reconnect = true;
  }
}

void Client::tick(double now, Actions& out) {
  if (voter_selector_.timed_out(now)) {
    ++counters_.timed_out;
    voter_selector_.on_failed(now);
    out.reconnect = true;
  }
  LeaseHolder::Actions actions;
  lease_holder_.tick(now, actions);
  forward_actions(now, actions, out);
  if (voter_selector_.wants_ping(now)) {
    Frame ping;
    out.frames.push_back(ping);
    voter_selector_.on_request_sent(now);
  }
  std::vector<Request> again;
  for (auto it = pending_requests_.begin(); it != pending_requests_.end();) {
    if (now < it->second.deadline) {
      if (now >= it->second.resend_at) {
        it->second.resend_at = now + kResendAfter;
        it->second.replies.clear();
        again.push_back(it->second.request);
      }
      ++it;
      continue;
    }
    const RequestCallback done = std::move(it->second.callback);
    it = pending_requests_.erase(it);
    done({}, "timed out: no leader has answered");
  }
  send(now, std::move(again), out);
}

double Client::next_deadline() const {
  double out = std::min(lease_holder_.next_deadline(), voter_selector_.next_deadline());
  for (const auto& [seq, pending] : pending_requests_)
    out = std::min({out, pending.deadline, pending.resend_at});
  return out;
}

}  // namespace nettlestand::duties
