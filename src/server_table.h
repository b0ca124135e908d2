// Who is there: the servers that a copy has been told of, and what it has seen of each. A change in the list
// costs by what has changed, not by how many servers there are.
#pragma once

#include <algorithm>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "outlier_detector.h"
#include "quinceusher/balancer.h"
#include "ring.h"
#include "support.h"

namespace quinceusher {

constexpr double kLatencyMemory = 8;  // s; older answers tell nothing: a shunned server is tried again
constexpr double kMaxAnswers = 4;     // calls; more would hide a change from a copy with many calls

struct ServerRecord {
  Server info;
  double started = 0;  // when it started as far as this copy's clock goes: clocks may differ
  std::uint64_t ring_key = 0;
  int in_flight = 0;    // at this process
  int outstanding = 0;  // the same, and what is still out at processes before it
  double cold_tokens = 0, cold_tokens_at = 0;
  ThroughputMeter meter;
  DecayingMean latency{kLatencyMemory, kMaxAnswers};  // answer times, in the tier's usual ones
  ServerHealth health;
  double send_time_sum = 0;  // send times of the calls in flight, added up
  double rounding = 0;
  std::uint64_t last_list = 0,
                listed_in_batch = 0;  // the full list that named it last; when it was listed
  bool listed = false;                // in the ring: told to be ready
  std::size_t healthy_index = static_cast<std::size_t>(-1);  // its place among those that are well
};

// Each server has a slot for as long as it is there or has calls in flight. Danger: where servers are
// replaced all day, slots that are never used again, and what was seen of those servers, grow without end.
class ServerTable {
 public:
  explicit ServerTable(int own_zone) : own_zone_(own_zone) {}

  std::size_t size() const { return slots_.size(); }
  ServerRecord& operator[](std::size_t slot) { return slots_[slot]; }
  const ServerRecord& operator[](std::size_t slot) const { return slots_[slot]; }

  const Ring& ready_ring() const { return ready_; }   // all that are ready
  const Ring& own_ring() const { return own_ring_; }  // of these, the ones in the copy's own zone
  const Ring& remote_ring() const { return remote_ring_; }
  const std::vector<std::size_t>& healthy() const { return healthy_; }  // ready and not left out, in no order
  double ready_weight() const { return ready_weight_; }

  void apply(const Server& server, double now, Random& random) {
    const auto [it, is_new] = by_address_.try_emplace(server.address, next_slot());
    if (is_new) {
      if (it->second == slots_.size()) {
        slots_.emplace_back();
      } else {
        free_.pop_back();
      }
    }
    const std::size_t slot = it->second;
    const bool ready = server.state == ServerState::kReady;
    ServerRecord& s = slots_[slot];
    // Another process, another zone, or a drain that is over: it starts anew.
    if (s.listed && (!ready || server.zone != s.info.zone || server.started != s.info.started)) unlist(slot);
    if (is_new || server.started != s.info.started) {
      ServerRecord fresh;  // another process: what the last one did says nothing
      fresh.ring_key = hash_of(server.address);
      fresh.outstanding = s.outstanding;
      fresh.started = std::min(server.started, now);
      fresh.cold_tokens_at = now;
      fresh.rounding = random.unit();
      fresh.cold_tokens = random.unit();  // copies hear of a start together and must not send together
      s = fresh;
    }
    if (s.listed) ready_weight_ -= s.info.weight;
    s.info = server;
    if (!(s.info.weight > 0)) s.info.weight = 1;
    if (s.listed) ready_weight_ += s.info.weight;
    s.last_list = full_list_;
    if (ready && !s.listed) list(slot);
    if (server.state == ServerState::kGone) gone_.push_back(slot);
  }

  // A full list begins: what it does not name until it ends is gone.
  void begin_full_list() { ++full_list_; }
  void end_full_list() {
    for (std::size_t slot = 0; slot < slots_.size(); ++slot) {
      ServerRecord& s = slots_[slot];
      if (s.last_list == full_list_ || s.info.address.empty() || s.info.state == ServerState::kGone) continue;
      unlist(slot);
      s.info.state = ServerState::kGone;
      gone_.push_back(slot);
    }
  }

  // What has been told takes effect, and those that are gone and have nothing in flight lose their slots.
  void commit() {
    commit_rings();
    std::erase_if(gone_, [this](std::size_t slot) {
      ServerRecord& s = slots_[slot];
      if (s.info.state != ServerState::kGone || s.info.address.empty()) return true;
      if (s.outstanding > 0) return false;
      by_address_.erase(s.info.address);
      s = ServerRecord();
      s.info.state = ServerState::kGone;
      free_.push_back(slot);
      return true;
    });
  }

  // Follows a change of a server's standing.
  void update_health(std::size_t slot) {
    ServerRecord& s = slots_[slot];
    const bool is_healthy = s.listed && !s.health.ejected;
    if (is_healthy == (s.healthy_index != kNoIndex)) return;
    if (is_healthy) {
      s.healthy_index = healthy_.size();
      healthy_.push_back(slot);
    } else {
      slots_[healthy_.back()].healthy_index = s.healthy_index;
      healthy_[s.healthy_index] = healthy_.back();
      healthy_.pop_back();
      s.healthy_index = kNoIndex;
    }
  }

 private:
  static constexpr std::size_t kMaxExactSum = 64;  // servers
  static constexpr std::size_t kNoIndex = static_cast<std::size_t>(-1);

  void commit_rings() {
    ++batch_;
    ready_.commit();
    own_ring_.commit();
    remote_ring_.commit();
    if (ready_.size() <= kMaxExactSum) {  // what was added and taken away leaves an error behind
      ready_weight_ = 0;
      for (std::size_t i = 0; i < ready_.size(); ++i) ready_weight_ += slots_[ready_.at(i)].info.weight;
    }
  }

  std::size_t next_slot() const { return free_.empty() ? slots_.size() : free_.back(); }

  Ring& zone_ring(const ServerRecord& s) { return s.info.zone == own_zone_ ? own_ring_ : remote_ring_; }

  void list(std::size_t slot) {
    ServerRecord& s = slots_[slot];
    s.listed = true;
    s.listed_in_batch = batch_;
    s.health = ServerHealth();
    ready_.insert(s.ring_key, slot);
    zone_ring(s).insert(s.ring_key, slot);
    ready_weight_ += s.info.weight;
    update_health(slot);
  }

  void unlist(std::size_t slot) {
    ServerRecord& s = slots_[slot];
    if (!s.listed) return;
    if (s.listed_in_batch == batch_) commit_rings();  // named twice in one list
    s.listed = false;
    ready_.erase(s.ring_key, slot);
    zone_ring(s).erase(s.ring_key, slot);
    ready_weight_ -= s.info.weight;
    update_health(slot);
  }

  int own_zone_;
  std::uint64_t full_list_ = 0, batch_ = 1;
  double ready_weight_ = 0;
  Ring ready_, own_ring_, remote_ring_;
  std::vector<ServerRecord> slots_;
  std::vector<std::size_t> free_, gone_, healthy_;
  std::unordered_map<std::string, std::size_t> by_address_;
};

}  // namespace quinceusher
