// Who is there: the servers that a copy has been told of, and what it has seen of each.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "quinceusher/balancer.h"
#include "support.h"

namespace quinceusher {

constexpr double kAnsweredMemory = 2;  // s; smoothing of the rate at which a server answers this copy
constexpr double kAnswerMemory = 8;    // s; older answers tell nothing: a shunned server is tried again
constexpr double kMostAnswers = 4;     // calls; more would hide a change from a copy with many calls

struct ServerNode {
  Server told;
  std::uint64_t order = 0;
  int in_flight = 0;
  double cold_tokens = 0, cold_at = 0;
  FadingRate answered{kAnsweredMemory};
  FadingMean answers{kAnswerMemory, kMostAnswers};  // answer times, as parts of the aim
  double sent_sum = 0;                              // send times of the calls in flight, added up
  double met_at = 0, dither = 0;
};

// Each server has a slot for as long as it is there or has calls in flight. Danger: where servers are
// replaced all day, slots that are never used again, and what was seen of those servers, grow without end.
class Members {
 public:
  std::size_t size() const { return slots_.size(); }
  ServerNode& operator[](std::size_t slot) { return slots_[slot]; }
  const ServerNode& operator[](std::size_t slot) const { return slots_[slot]; }

  void learn(const Server& told, double now, Random& random) {
    const auto [it, unknown] = by_address_.try_emplace(told.address, free_slot());
    if (unknown) {
      if (it->second == slots_.size()) {
        slots_.emplace_back();
      } else {
        free_.pop_back();
      }
    }
    ServerNode& s = slots_[it->second];
    if (unknown || told.started != s.told.started) {
      ServerNode fresh;  // another process: what the last one did says nothing
      fresh.order = hash_of(told.address);
      fresh.in_flight = s.in_flight;
      fresh.sent_sum = s.sent_sum;
      fresh.met_at = fresh.cold_at = now;
      fresh.dither = random.unit();
      fresh.cold_tokens = random.unit();  // copies hear of a start together and must not send together
      s = fresh;
    }
    s.told = told;
    if (!(s.told.weight > 0)) s.told.weight = 1;
  }

  void all_gone() {
    for (ServerNode& s : slots_) s.told.state = ServerState::kGone;
  }

  void forget_gone() {
    for (std::size_t slot = 0; slot < slots_.size(); ++slot) {
      ServerNode& s = slots_[slot];
      if (s.told.state != ServerState::kGone || s.in_flight > 0 || s.told.address.empty()) continue;
      by_address_.erase(s.told.address);
      s = ServerNode();
      s.told.state = ServerState::kGone;
      free_.push_back(slot);
    }
  }

 private:
  std::size_t free_slot() const { return free_.empty() ? slots_.size() : free_.back(); }

  std::vector<ServerNode> slots_;
  std::vector<std::size_t> free_;
  std::unordered_map<std::string, std::size_t> by_address_;
};

}  // namespace quinceusher
