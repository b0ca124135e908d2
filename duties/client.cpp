#include "duties/client.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace nettlestand::duties {
namespace {

constexpr std::uint64_t kOperators = std::uint64_t{1} << 62;  // their numbers begin there
constexpr double kUnheard = 3;    // s until what was not answered is said again: it was lost on the way
constexpr double kToldAgain = 1;  // s until the voters are told of a duty once more
constexpr double kAgain = 0.2;    // s until what met no leader is said again

}  // namespace

Client::Client(ClientSettings settings)
    : s_(std::move(settings)),
      holding_(s_.holding),
      way_(s_.voters.size(), static_cast<std::size_t>(s_.seed), s_.way),
      seq_(kOperators) {
  if (s_.voters.empty()) throw std::invalid_argument("voters: none is named");
}

void Client::want(double now, const Duty& duty, Actions& out, bool slowly) {
  defined_[duty.name] = duty;
  Holding::Actions actions;
  holding_.want(now, duty.name, actions, slowly);
  did(now, actions, out);
}

void Client::stopped(double now, const std::string& duty, Actions& out) {
  Holding::Actions actions;
  holding_.stopped(now, duty, actions);
  did(now, actions, out);
}

void Client::unwant(double now, const std::string& duty, Actions& out) {
  Holding::Actions actions;
  holding_.unwant(now, duty, actions);
  did(now, actions, out);
}

void Client::failed(double now, const std::string& duty, Actions& out) {
  Holding::Actions actions;
  holding_.failed(now, duty, actions);
  did(now, actions, out);
}

void Client::leave(double now, Actions& out) {
  leaving_ = true;
  Holding::Actions actions;
  holding_.leave(now, actions);
  did(now, actions, out);
}

void Client::ask(double now, Request request, Done done, Actions& out) {
  request.seq = ++seq_;
  request.node = s_.holding.self;
  asked_[request.seq] = {request, std::move(done), now + s_.operator_patience, now + kUnheard, {}};
  if (way_.connected()) send(now, {std::move(request)}, out);
}

void Client::send(double now, std::vector<Request> requests, Actions& out) {
  if (requests.empty() || !way_.connected()) return;
  Frame f;
  f.kind = Frame::Kind::kRequests;
  f.requests = std::move(requests);
  out.frames.push_back(std::move(f));
  way_.asked(now);
}

void Client::did(double now, Holding::Actions& from, Actions& out) {
  // What can't go now is said again once there is a connection.
  for (std::size_t at = 0; at < from.requests.size(); at += 4096) {
    const auto first = from.requests.begin() + static_cast<std::ptrdiff_t>(at);
    const auto last =
        from.requests.begin() + static_cast<std::ptrdiff_t>(std::min(at + 4096, from.requests.size()));
    send(now, {std::make_move_iterator(first), std::make_move_iterator(last)}, out);
  }
  for (const Holding::Change& c : from.changes) {
    ++(c.gained ? counters_.gained : counters_.lost);
    out.changes.push_back(c);
  }
}

void Client::came_up(double now, Actions& out) {
  way_.came_up(now);
  ++counters_.connections;
  Holding::Actions actions;
  holding_.leader_changed(now, actions);
  did(now, actions, out);
  std::vector<Request> again;
  for (auto& [seq, asked] : asked_) {
    asked.replies.clear();
    asked.again = now + kUnheard;
    again.push_back(asked.request);
  }
  send(now, std::move(again), out);
}

void Client::went_down(double now, Actions& out) {
  if (way_.on_hint()) {
    way_.hint_failed(now);
  } else {
    way_.failed(now);
  }
  out.reconnect = true;
}

void Client::frame(double now, const Frame& f, Actions& out) {
  way_.heard(now);
  if (f.kind != Frame::Kind::kReplies) return;
  Holding::Actions actions;
  std::vector<Request> define;
  bool move = false, leaderless = false, led = false;
  for (const Reply& r : f.replies) {
    (r.kind == Reply::Kind::kNotLeader && r.text.empty() ? leaderless : led) = true;
    if (r.kind == Reply::Kind::kNotLeader && !r.text.empty()) {
      const auto it = std::find(s_.voters.begin(), s_.voters.end(), r.text);
      const auto leader = static_cast<std::size_t>(it - s_.voters.begin());
      move = (it != s_.voters.end() && way_.hint(now, leader)) || move;
    }
    if (r.seq >= kOperators) {
      const auto it = asked_.find(r.seq);
      if (it == asked_.end()) continue;
      if (r.kind == Reply::Kind::kNotLeader || r.kind == Reply::Kind::kBusy) {
        it->second.again = now + kAgain;
        continue;
      }
      it->second.replies.push_back(r);
      // Only what is gathered comes in several parts.
      if (r.kind == Reply::Kind::kText && it->second.request.kind == Request::Kind::kGather) continue;
      Asked done = std::move(it->second);
      asked_.erase(it);
      const bool refused = r.kind == Reply::Kind::kRefused;
      done.done(std::move(done.replies),
                refused ? (r.text.empty() ? std::string("refused: ") + name_of(r.why) : r.text) : "");
      continue;
    }
    const auto known = defined_.find(r.duty);
    if (r.kind == Reply::Kind::kRefused && r.why == Refusal::kUnknown && known != defined_.end() &&
        holding_.asks(r.duty)) {
      holding_.ask_soon(now, r.duty);
      double& told = told_at_.try_emplace(r.duty, -1e18).first->second;
      if (now - told < kToldAgain) continue;
      told = now;
      Request d;
      d.kind = Request::Kind::kDefine;
      d.seq = 0;
      d.node = s_.holding.self;
      d.duty = r.duty;
      d.settings = known->second;
      define.push_back(std::move(d));
      continue;
    }
    holding_.reply(now, r, actions);
  }
  if (led) {
    way_.led();
  } else if (leaderless && !move) {
    move = way_.leaderless(now);
  }
  if (!move) send(now, std::move(define), out);
  did(now, actions, out);
  if (move) {  // what was to go now is said again to the leader
    out.frames.clear();
    out.reconnect = true;
  }
}

void Client::tick(double now, Actions& out) {
  if (way_.silent(now)) {
    ++counters_.silent;
    way_.failed(now);
    out.reconnect = true;
  }
  Holding::Actions actions;
  holding_.tick(now, actions);
  did(now, actions, out);
  if (way_.wants_ping(now)) {
    Frame ping;
    out.frames.push_back(ping);
    way_.asked(now);
  }
  std::vector<Request> again;
  for (auto it = asked_.begin(); it != asked_.end();) {
    if (now < it->second.until) {
      if (now >= it->second.again) {
        it->second.again = now + kUnheard;
        it->second.replies.clear();
        again.push_back(it->second.request);
      }
      ++it;
      continue;
    }
    const Done done = std::move(it->second.done);
    it = asked_.erase(it);
    done({}, "no leader among the voters has answered");
  }
  send(now, std::move(again), out);
}

double Client::next() const {
  double out = std::min(holding_.next(), way_.next());
  for (const auto& [seq, asked] : asked_) out = std::min({out, asked.until, asked.again});
  return out;
}

}  // namespace nettlestand::duties
