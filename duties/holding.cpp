#include "duties/holding.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>
#include <utility>

namespace nettlestand::duties {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr std::size_t kMostSent = 64;  // renewals that are remembered

}  // namespace

const char* name_of(Holding::Lost why) {
  constexpr const char* names[] = {"not lost",   "lapsed", "taken",  "hand over",
                                   "given back", "failed", "removed"};
  return names[static_cast<std::size_t>(why)];
}

Holding::Holding(HoldingSettings settings) : s_(std::move(settings)) {
  if (s_.self.name.empty() || s_.self.name.size() > kLongestName)
    throw std::invalid_argument("name: 1 to 64 bytes");
  if (!(s_.drift >= 0 && s_.drift <= 0.2)) throw std::invalid_argument("drift: 0 to 0.2");
  if (!(s_.renew_part > 0 && s_.renew_part < 1)) throw std::invalid_argument("renew_part: between 0 and 1");
  if (!(s_.ask_period > 0) || !(s_.answer_patience > 0) || !(s_.first_backoff > 0) ||
      !(s_.longest_backoff >= s_.first_backoff)) {
    throw std::invalid_argument("times: above 0");
  }
}

void Holding::want(double now, const std::string& duty, Actions& out, bool slowly) {
  if (leaving_) return;
  const auto [it, fresh] = duties_.try_emplace(duty);
  it->second.wanted = true;
  it->second.slowly = slowly;
  if (fresh) say(now, duty, it->second, out);
}

void Holding::unwant(double now, const std::string& duty, Actions& out) {
  const auto it = duties_.find(duty);
  if (it == duties_.end()) return;
  it->second.wanted = false;
  if (it->second.token == 0) {
    duties_.erase(it);
  } else if (it->second.state != State::kReturning && it->second.state != State::kStopping) {
    give_back(now, duty, it->second, Lost::kGivenBack, out);
  }
}

void Holding::failed(double now, const std::string& duty, Actions& out) {
  const auto it = duties_.find(duty);
  if (it == duties_.end() || it->second.state != State::kHeld) return;
  One& one = it->second;
  one.backoff = std::clamp(one.backoff * 2, s_.first_backoff, s_.longest_backoff);
  one.failed_here = true;
  give_back(now, duty, one, Lost::kFailed, out);
}

void Holding::leave(double now, Actions& out) {
  leaving_ = true;
  std::vector<std::string> all;
  for (const auto& [duty, one] : duties_) all.push_back(duty);
  for (const std::string& duty : all) unwant(now, duty, out);
}

std::optional<Token> Holding::holds(double now, const std::string& duty) const {
  const auto it = duties_.find(duty);
  if (it == duties_.end() || it->second.state != State::kHeld || now >= it->second.until) return std::nullopt;
  return it->second.token;
}

bool Holding::idle() const {
  return std::none_of(duties_.begin(), duties_.end(), [](const auto& d) { return d.second.token != 0; });
}

bool Holding::asks(const std::string& duty) const {
  const auto it = duties_.find(duty);
  return it != duties_.end() && it->second.state == State::kAsking;
}

void Holding::ask_soon(double now, const std::string& duty) {
  const auto it = duties_.find(duty);
  if (it != duties_.end()) it->second.next = std::min(it->second.next, now + s_.ask_period / 10);
}

void Holding::stop(const std::string& duty, One& one, Lost why, Actions& out) {
  if (one.state == State::kHeld) {
    one.spent = one.token;
    out.changes.push_back({duty, one.token, false, why});
  }
  one.until = -1e18;
  one.sent.clear();
}

void Holding::give_back(double now, const std::string& duty, One& one, Lost why, Actions& out) {
  const bool had = one.state == State::kHeld;
  stop(duty, one, why, out);
  if (had && one.slowly) {
    one.state = State::kStopping;
    one.next = kNever;
    return;
  }
  one.state = State::kReturning;
  say(now, duty, one, out);
}

void Holding::stopped(double now, const std::string& duty, Actions& out) {
  const auto it = duties_.find(duty);
  if (it == duties_.end() || it->second.state != State::kStopping) return;
  it->second.state = State::kReturning;
  say(now, duty, it->second, out);
}

double Holding::until(const std::string& duty) const {
  const auto it = duties_.find(duty);
  return it == duties_.end() ? -1e18 : it->second.was_until;
}

// What is to be said of a duty now.
void Holding::say(double now, const std::string& duty, One& one, Actions& out) {
  Request r;
  r.seq = ++seq_;
  r.node = s_.self;
  r.duty = duty;
  r.token = one.token;
  switch (one.state) {
    case State::kResting:
    case State::kAsking:
      one.state = State::kAsking;
      r.kind = Request::Kind::kAsk;
      one.next = now + s_.ask_period;
      break;
    case State::kTaking:
    case State::kHeld:
      r.kind = Request::Kind::kRenew;
      if (one.sent.size() >= kMostSent) one.sent.erase(one.sent.begin());
      one.sent[r.seq] = now;
      one.next = now + s_.answer_patience;
      break;
    case State::kStopping:
      return;
    case State::kReturning:
      r.kind = Request::Kind::kGiveBack;
      r.failed = one.failed_here;
      one.next = now + s_.answer_patience;
      break;
  }
  out.requests.push_back(std::move(r));
}

void Holding::reply(double now, const Reply& reply, Actions& out) {
  auto it = duties_.find(reply.duty);
  if (it == duties_.end()) {
    if (reply.kind != Reply::Kind::kYours) return;
    it = duties_.try_emplace(reply.duty).first;
    it->second.wanted = false;
    it->second.state = State::kReturning;
  }
  One& one = it->second;
  switch (reply.kind) {
    case Reply::Kind::kYours:
      if (reply.token <= one.token) return;  // heard before
      one.token = reply.token;
      // Told that it was lost, by a leader whose word did not last: what was done under it is over all the
      // same.
      if (reply.token <= one.spent && one.state != State::kStopping) {
        one.state = State::kReturning;
        one.soon = true;
        return say(now, reply.duty, one, out);
      }
      // Danger: a grant that was on its way when this node wanted the duty no more would stay with it for a
      // lease.
      if (one.state == State::kStopping) return;  // a later grant: it is given back with the rest
      if (one.state == State::kReturning || one.state == State::kResting) {
        one.state = State::kReturning;
        return say(now, reply.duty, one, out);
      }
      if (one.state == State::kHeld) stop(reply.duty, one, Lost::kTaken, out);
      one.state = State::kTaking;
      one.sent.clear();
      return say(now, reply.duty, one, out);
    case Reply::Kind::kRenewed: {
      const auto sent = one.sent.find(reply.seq);
      if (reply.token != one.token || sent == one.sent.end()) return;  // of an earlier lease, or heard before
      const double until = sent->second + reply.length * (1 - s_.drift);
      one.sent.erase(one.sent.begin(), std::next(sent));
      one.length = reply.length;
      if (until <= now) return;  // too late to count: the next one may not be
      one.until = std::max(one.until, until);
      one.was_until = one.until;
      if (one.state == State::kTaking) {
        one.state = State::kHeld;
        one.failed_here = false;
        out.changes.push_back({reply.duty, one.token, true, Lost::kNotLost});
      }
      one.next = now + reply.length * s_.renew_part;
      return;
    }
    case Reply::Kind::kLost:
      if (reply.token != one.token || (one.state != State::kHeld && one.state != State::kTaking)) return;
      stop(reply.duty, one, Lost::kTaken, out);
      one.state = State::kAsking;
      one.token = 0;
      one.next = now;
      return;
    case Reply::Kind::kHandOver:
      if (reply.token != one.token || (one.state != State::kHeld && one.state != State::kTaking)) return;
      return give_back(now, reply.duty, one, Lost::kHandOver, out);
    case Reply::Kind::kDone:
      if (one.state != State::kReturning) return;
      one.token = 0;
      if (!one.wanted) {
        duties_.erase(it);
        return;
      }
      one.state = State::kResting;
      one.next = now + (std::exchange(one.soon, false) ? 0 : std::max(one.backoff, s_.ask_period));
      return;
    case Reply::Kind::kRefused:
      if (one.state == State::kStopping) return;
      stop(reply.duty, one, Lost::kRemoved, out);
      one.token = 0;
      if (!one.wanted) {
        duties_.erase(it);
        return;
      }
      one.state = State::kResting;
      one.next = now + s_.longest_backoff / 6;  // it may be defined, or allowed, one day
      return;
    default:  // waiting, no leader, busy: it is said again in time
      return;
  }
}

void Holding::leader_changed(double now, Actions& out) {
  for (auto& [duty, one] : duties_) {
    if (one.state != State::kResting && one.state != State::kStopping) say(now, duty, one, out);
  }
}

void Holding::tick(double now, Actions& out) {
  for (auto& [duty, one] : duties_) {
    if (one.state == State::kHeld && now >= one.until) {
      // Perhaps the voters have not given it away. All the same it is given back, and asked for anew: what
      // was done under this token is over, and whatever of it comes late is told from what is done then.
      one.soon = true;
      give_back(now, duty, one, Lost::kLapsed, out);
    }
    if (now >= one.next) say(now, duty, one, out);
  }
}

void Holding::describe(double now, std::string& out) const {
  const auto put = [&out](double value) { out += std::to_string(std::llround(value * 1e4)) + ","; };
  for (const auto& [duty, one] : duties_) {
    out += duty + ":" + std::to_string(static_cast<int>(one.state)) + (one.wanted ? "w" : "-") +
           (one.failed_here ? "f" : "-") + (one.soon ? "s" : "-") + std::to_string(one.token) + "," +
           std::to_string(one.spent) + ";";
    put(std::max(one.until - now, -1.0));
    put(std::max(one.next - now, -1.0));
    put(one.backoff);
    for (const auto& [seq, sent] : one.sent) put(now - sent);
  }
  out += leaving_ ? "l" : "-";
}

double Holding::next() const {
  double out = kNever;
  for (const auto& [duty, one] : duties_) {
    out = std::min(out, one.next);
    if (one.state == State::kHeld) out = std::min(out, one.until);
  }
  return out;
}

}  // namespace nettlestand::duties
