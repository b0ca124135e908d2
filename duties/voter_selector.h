// Chooses the voter that a node connects to. Gets events and the time; does no I/O. One connection at a time:
// to the leader if it is known and reachable, else to any voter, which forwards requests to the leader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace nettlestand::duties {

struct VoterSelectorSettings {
  // s without a frame after a request, or without a known leader, until another voter is tried.
  double reply_timeout = 1;
  double min_backoff = 0.05;    // s between attempts, doubled after each round over all voters
  double max_backoff = 2;       // s
  double avoid_failed_for = 3;  // s for which a hint at a leader that has just failed is ignored
  double ping_after_idle = 2;   // s without a frame until the voter is pinged
};

class VoterSelector {
 public:
  // `voters`: their number; `first`: index of the one to try first, taken modulo `voters`.
  VoterSelector(std::size_t voters, std::size_t first, VoterSelectorSettings settings)
      : s_(settings), failed_at_(voters, -1e18), target_(voters == 0 ? 0 : first % voters) {}

  std::size_t target() const { return target_; }
  // Earliest time for the next connection attempt, while nothing is connected or connecting.
  double next_attempt_at() const { return next_attempt_at_; }
  bool connected() const { return connected_; }

  void on_connected(double now) {
    connected_ = true;
    unanswered_since_ = leaderless_since_ = kNever;
    last_frame_at_ = now;
    failures_ = 0;
  }
  // The target could not be reached, closed the connection or stopped answering: moves on to the next voter.
  void on_failed(double now) {
    connected_ = false;
    unanswered_since_ = kNever;
    failed_at_[target_] = now;
    target_ = (target_ + 1) % failed_at_.size();
    ++failures_;
    const std::size_t rounds = failures_ / failed_at_.size();
    double pause = s_.min_backoff;
    for (std::size_t i = 0; i < rounds && pause < s_.max_backoff; ++i) pause *= 2;
    next_attempt_at_ = now + (pause < s_.max_backoff ? pause : s_.max_backoff);
  }
  // A voter says who leads. Returns true if the target has changed to that leader.
  bool on_leader_hint(double now, std::size_t leader) {
    if (leader >= failed_at_.size() || leader == target_ || now - failed_at_[leader] < s_.avoid_failed_for)
      return false;
    // The voter that gave the hint is returned to if the leader can't be reached.
    hinted_by_ = target_;
    target_ = leader;
    connected_ = false;
    unanswered_since_ = kNever;
    next_attempt_at_ = now;
    return true;
  }
  // The leader could not be reached: returns to the voter that gave the hint.
  void on_hint_failed(double now) {
    failed_at_[target_] = now;
    target_ = hinted_by_;
    connected_ = false;
    next_attempt_at_ = now;
  }
  bool following_hint() const { return hinted_by_ != kNone && target_ != hinted_by_ && !connected_; }
  void on_request_sent(double now) {
    if (unanswered_since_ == kNever) unanswered_since_ = now;
  }
  void on_frame_received(double now) {
    last_frame_at_ = now;
    unanswered_since_ = kNever;
  }
  // The voter knows no leader. Returns true, and moves on, if that has lasted for `reply_timeout`.
  bool on_leaderless(double now) {
    if (leaderless_since_ == kNever) leaderless_since_ = now;
    if (now - leaderless_since_ < s_.reply_timeout) return false;
    on_failed(now);
    return true;
  }
  void on_leader_known() { leaderless_since_ = kNever; }
  bool timed_out(double now) const { return connected_ && now - unanswered_since_ >= s_.reply_timeout; }
  bool wants_ping(double now) const {
    return connected_ && unanswered_since_ == kNever && now - last_frame_at_ >= s_.ping_after_idle;
  }
  double next_deadline() const {
    if (!connected_) return next_attempt_at_;
    return unanswered_since_ == kNever ? last_frame_at_ + s_.ping_after_idle
                                       : unanswered_since_ + s_.reply_timeout;
  }

 private:
  static constexpr double kNever = 1e18;
  static constexpr std::size_t kNone = ~std::size_t{0};
  VoterSelectorSettings s_;
  std::vector<double> failed_at_;  // s, by voter's index
  std::size_t target_, hinted_by_ = kNone, failures_ = 0;
  double next_attempt_at_ = -1e18, unanswered_since_ = kNever, last_frame_at_ = -1e18,
         leaderless_since_ = kNever;
  bool connected_ = false;
};

}  // namespace nettlestand::duties
