// Which voter a node talks to: decided. Events and time in; no I/O. One connection at a time: to the leader
// where it is known and can be reached, else to any voter, which hands on what it is asked.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace nettlestand::duties {

struct WaySettings {
  double patience = 1;        // s without a word after something was asked, until another voter is tried
  double first_pause = 0.05;  // s between tries, doubled with each round of all voters,
  double longest_pause = 2;   // up to this
  double avoid = 3;           // s for which a voter that failed is not gone to for being the leader alone
  double idle = 2;            // s without a word until the voter is pinged
};

class Way {
 public:
  // `voters`: how many; `first`: which is tried first.
  Way(std::size_t voters, std::size_t first, WaySettings settings)
      : s_(settings), failed_at_(voters, -1e18), target_(voters == 0 ? 0 : first % voters) {}

  std::size_t target() const { return target_; }
  // Not before this; only where nothing is connected or being connected.
  double try_at() const { return try_at_; }
  bool connected() const { return connected_; }

  void came_up(double now) {
    connected_ = true;
    asked_at_ = leaderless_at_ = kNever;
    heard_at_ = now;
    failures_ = 0;
  }
  // It could not be reached, was closed, or fell silent: the next one.
  void failed(double now) {
    connected_ = false;
    asked_at_ = kNever;
    failed_at_[target_] = now;
    target_ = (target_ + 1) % failed_at_.size();
    ++failures_;
    const std::size_t rounds = failures_ / failed_at_.size();
    double pause = s_.first_pause;
    for (std::size_t i = 0; i < rounds && pause < s_.longest_pause; ++i) pause *= 2;
    try_at_ = now + (pause < s_.longest_pause ? pause : s_.longest_pause);
  }
  // That one leads, as a voter says. True: it is to be gone to.
  bool hint(double now, std::size_t leader) {
    if (leader >= failed_at_.size() || leader == target_ || now - failed_at_[leader] < s_.avoid) return false;
    // If it can't be reached, the one that said so stays good.
    back_ = target_;
    target_ = leader;
    connected_ = false;
    asked_at_ = kNever;
    try_at_ = now;
    return true;
  }
  // The leader that was hinted at could not be reached: back to who said so.
  void hint_failed(double now) {
    failed_at_[target_] = now;
    target_ = back_;
    connected_ = false;
    try_at_ = now;
  }
  bool on_hint() const { return back_ != kNone && target_ != back_ && !connected_; }
  void asked(double now) {
    if (asked_at_ == kNever) asked_at_ = now;
  }
  void heard(double now) {
    heard_at_ = now;
    asked_at_ = kNever;
  }
  // It says that it knows of no leader. True: for so long that another one is to be tried.
  bool leaderless(double now) {
    if (leaderless_at_ == kNever) leaderless_at_ = now;
    if (now - leaderless_at_ < s_.patience) return false;
    failed(now);
    return true;
  }
  void led() { leaderless_at_ = kNever; }
  bool silent(double now) const { return connected_ && now - asked_at_ >= s_.patience; }
  bool wants_ping(double now) const {
    return connected_ && asked_at_ == kNever && now - heard_at_ >= s_.idle;
  }
  double next() const {
    if (!connected_) return try_at_;
    return asked_at_ == kNever ? heard_at_ + s_.idle : asked_at_ + s_.patience;
  }

 private:
  static constexpr double kNever = 1e18;
  static constexpr std::size_t kNone = ~std::size_t{0};
  WaySettings s_;
  std::vector<double> failed_at_;  // s, by voter
  std::size_t target_, back_ = kNone, failures_ = 0;
  double try_at_ = -1e18, asked_at_ = kNever, heard_at_ = -1e18, leaderless_at_ = kNever;
  bool connected_ = false;
};

}  // namespace nettlestand::duties
